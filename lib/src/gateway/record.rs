//! The decision log: one line for each decision that touches a request, with
//! what decided it.

use std::net::SocketAddr;

use http::StatusCode;

use super::course::Course;
use super::elsewhere::Reason;
use super::job::Job;
use super::pace::Pace;
use crate::coordination::feedback::Observation;
use crate::coordination::freshness::StateSummary;
use crate::coordination::interrupted::InterruptedRequest;
use crate::coordination::placement::Place;
use crate::coordination::quarantine::Suspicion;
use crate::coordination::shared_prefix::SharedPrefix;
use crate::error::Failure;
use crate::protocol::words::Words;
use crate::state::clock;
use crate::transport::body::Cut;

/// Lines of this target are about single requests; their number is bounded.
pub const TARGET: &str = "request";

fn age(job: &Job) -> u128 {
    clock::now().saturating_duration_since(job.arrived).as_millis()
}

fn team(job: &Job) -> &str {
    job.team.as_ref().map_or("-", |team| team.name.as_str())
}

/// What stands for the shared text of the prompt; 0 where there is none.
fn text(job: &Job) -> u64 {
    SharedPrefix::of(&job.ask.parts).map_or(0, |text| text.id())
}

/// A request under which servers have ended goes to one.
pub fn on_trial(job: &Job, server: &str, suspicion: Suspicion, beside: bool) {
    let Suspicion { ends, of_caller, callers, width } = suspicion;
    log::info!(
        target: TARGET,
        "event=on_trial request={} content={} server={server} ends={ends} of_caller={of_caller} callers={callers} \
         width={width} beside={beside}",
        job.ask.id,
        job.fingerprint,
    );
}

/// A backend server was chosen.
pub fn placed(job: &Job, course: &Course, place: &Place, state: StateSummary) {
    log::info!(
        target: TARGET,
        "event=placed request={} route={} team={} service={} server={} send={} in_flight={} others={} unread={:.0} \
         candidates={} at_home={} cold={} text={:x} content={} version={} boxes={} {state} left_ms={}",
        job.ask.id,
        job.route.name,
        team(job),
        job.service,
        place.server,
        course.arrivals() + 1,
        place.in_flight,
        place.others_in_flight,
        place.prefill_tokens,
        place.candidates,
        place.at_home,
        place.cold,
        text(job),
        job.fingerprint,
        job.version,
        job.snapshot.fleet,
        job.left(clock::now()).as_millis(),
    );
}

/// The request goes to a box of another region.
pub fn passed_on(job: &Job, course: &Course, address: SocketAddr, reason: Reason) {
    log::info!(
        target: TARGET,
        "event=passed_on request={} route={} service={} box={address} reason={reason} send={} text={:x} content={} version={} left_ms={}",
        job.ask.id,
        job.route.name,
        job.service,
        course.arrivals() + 1,
        text(job),
        job.fingerprint,
        job.version,
        job.left(clock::now()).as_millis(),
    );
}

/// A send gave no answer.
pub fn attempt_failed(job: &Job, course: &Course, failure: &Failure) {
    log::info!(
        target: TARGET,
        "event=attempt_failed request={} route={} server={} sends={} maybe_ran={} content={} age_ms={} cause=\"{failure}\"",
        job.ask.id,
        job.route.name,
        course.tried.last().map_or("-", String::as_str),
        course.arrivals(),
        course.maybe_ran,
        job.fingerprint,
        age(job),
    );
}

/// The request ended with a failure of the gateway.
pub fn failed(id: &str, job: Option<&Job>, course: &Course, failure: &Failure) {
    log::info!(
        target: TARGET,
        "event=failed request={id} route={} team={} status={} ran={} sends={} unsent={} version={} age_ms={} cause=\"{failure}\"",
        job.map_or("-", |job| job.route.name.as_str()),
        job.map_or("-", team),
        failure.status().as_u16(),
        failure.ran().as_str(),
        course.arrivals(),
        course.unsent,
        job.map_or(0, |job| job.version),
        job.map_or(0, age),
    );
}

/// The request ended with a server's answer.
pub fn answered(job: &Job, course: &Course, status: u16) {
    log::info!(
        target: TARGET,
        "event=answered request={} route={} server={} status={status} sends={} age_ms={}",
        job.ask.id,
        job.route.name,
        course.tried.last().map_or("-", String::as_str),
        course.arrivals(),
        age(job),
    );
}

/// A stream broke and is to go on elsewhere.
pub fn stream_broken(
    job: &Job,
    course: &Course,
    server: Option<&str>,
    last_id: Option<u64>,
    cut: &Cut,
) {
    log::info!(
        target: TARGET,
        "event=stream_broken request={} route={} server={} sends={} last_event={last_id:?} content={} age_ms={} cause=\"{cut}\"",
        job.ask.id,
        job.route.name,
        server.unwrap_or("-"),
        course.arrivals(),
        job.fingerprint,
        age(job),
    );
}

/// The head of an answer says something of its server that bears on what it may get.
pub fn server_said(job: &Job, server: &str, words: &Words, status: StatusCode) {
    log::info!(
        target: TARGET,
        "event=server_said request={} route={} server={server} leaving={} rest_ms={} rate={} cold_ms={} status={} age_ms={}",
        job.ask.id,
        job.route.name,
        words.leaving,
        words.rest.map_or("-".to_owned(), |rest| rest.as_millis().to_string()),
        words.rate.map_or("-".to_owned(), |rate| rate.to_string()),
        words.cold_left.map_or("-".to_owned(), |left| left.as_millis().to_string()),
        status.as_u16(),
        age(job),
    );
}

/// Most requests that a line names.
const NAMED: usize = 16;

/// Something was learned of a server, or of a request that it ran.
pub fn learned(server: &str, note: &Observation) {
    match note {
        Observation::Leaving => log::info!("event=server_leaves server={server} by=answer"),
        Observation::RequestedBackoff(rest) => {
            log::info!(target: TARGET, "event=server_rests server={server} rest_ms={}", rest.as_millis());
        }
        Observation::TurnedCold(left) => {
            log::info!("event=server_says server={server} cold_ms={}", left.as_millis());
        }
        Observation::Rate { before, after } => {
            log::info!(
                "event=server_rate server={server} rate={after:?} before={before:?} by=answer"
            );
        }
        Observation::Crashed(runs) => server_ended(server, runs),
        Observation::Cleared(request) => {
            log::info!("event=acquitted server={server} content={request}")
        }
    }
}

/// A server that broke answers off no longer accepts connections: it has ended, under whatever ran there.
fn server_ended(server: &str, runs: &[InterruptedRequest]) {
    let named: Vec<String> = runs.iter().take(NAMED).map(|run| run.request.to_string()).collect();
    log::info!(
        "event=server_ended server={server} lost={} running={}",
        runs.len(),
        named.join(",")
    );
}

/// A stream ended, well or not.
pub fn stream_ended(
    job: &Job,
    course: &Course,
    server: Option<&str>,
    pace: &Pace,
    ended: &Result<(), Cut>,
) {
    let cause = ended.as_ref().err().map_or(String::new(), |cut| format!(" cause=\"{cut}\""));
    log::info!(
        target: TARGET,
        "event=stream_ended request={} route={} server={} whole={} sends={} first_ms={} pause_ms={} age_ms={}{cause}",
        job.ask.id,
        job.route.name,
        server.unwrap_or("-"),
        ended.is_ok(),
        course.arrivals(),
        pace.first.as_millis(),
        pace.longest_pause.as_millis(),
        age(job),
    );
}

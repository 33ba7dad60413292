//! The decision log: one line for each decision about a request, with the data that it was based
//! on.

use std::net::SocketAddr;

use http::StatusCode;

use super::forwarding::ForwardReason;
use super::history::RequestHistory;
use super::job::Job;
use super::stream_timing::StreamTiming;
use super::stream_versions::FoundVersion;
use super::stream_versions::Source;
use crate::coordination::feedback::Observation;
use crate::coordination::freshness::StateSummary;
use crate::coordination::interrupted::InterruptedRequest;
use crate::coordination::placement::Place;
use crate::coordination::quarantine::Evaluation;
use crate::coordination::quarantine::PartVerdict;
use crate::coordination::quarantine::Suspicion;
use crate::coordination::shared_prefix::SharedPrefix;
use crate::error::Failure;
use crate::protocol::events::OutOfSequence;
use crate::protocol::fleet::VersionHash;
use crate::protocol::server_status::ServerStatus;
use crate::state::clock;
use crate::transport::body::BodyError;

/// Log target of lines about single requests. Their number is limited.
pub const TARGET: &str = "request";

fn age_ms(job: &Job) -> u128 {
    clock::now().saturating_duration_since(job.arrived).as_millis()
}

fn team(job: &Job) -> &str {
    job.team.as_ref().map_or("-", |team| team.name.as_str())
}

/// Id of the shared prefix of the prompt; 0 if there is none.
fn prefix_id(job: &Job) -> u64 {
    SharedPrefix::of(&job.metadata.segments).map_or(0, |prefix| prefix.id())
}

/// The version of a server's software for the log.
fn software(version: &str) -> &str {
    if version.is_empty() { "-" } else { version }
}

/// Logs that a request that crashed servers before is sent to a server.
pub fn on_trial(job: &Job, server: &str, suspicion: Suspicion, shares_server: bool) {
    let Suspicion { crashes, crashes_of_caller, callers, server_count } = suspicion;
    log::info!(
        target: TARGET,
        "event=on_trial request={} content={} server={server} ends={crashes} of_caller={crashes_of_caller} callers={callers} \
         width={server_count} beside={shares_server}",
        job.metadata.id,
        job.fingerprint,
    );
}

/// Logs why a content that crashed servers is refused or not.
pub fn evaluated(evaluation: &Evaluation) {
    log::info!(target: TARGET, "event=evaluated {evaluation}");
}

/// Logs that requests with a part in their prompts are refused from now on.
pub fn part_quarantined(verdict: &PartVerdict) {
    let PartVerdict { part, crashes, successes } = verdict;
    log::warn!("event=part_quarantined part={part:016x} ends={crashes} successes={successes}");
}

/// Logs that a backend server was chosen.
pub fn placed(
    job: &Job,
    history: &RequestHistory,
    place: &Place,
    after_event: Option<u64>,
    state: StateSummary,
) {
    log::info!(
        target: TARGET,
        "event=placed request={} route={} team={} service={} server={} send={} in_flight={} others={} unread={:.0} \
         candidates={} at_home={} cold={} text={:x} content={} version={} boxes={} {state} left_ms={} \
         software={} after_event={} resumes={} warm_ms={} since_warm={}",
        job.metadata.id,
        job.route.name,
        team(job),
        job.service,
        place.server,
        history.arrivals() + 1,
        place.in_flight,
        place.others_in_flight,
        place.prefill_tokens,
        place.candidates,
        place.at_home,
        place.cold,
        prefix_id(job),
        job.fingerprint,
        job.version,
        job.snapshot.fleet_size,
        job.time_left(clock::now()).as_millis(),
        software(&place.registration.version),
        after_event.map_or(-1, |id| id as i64),
        job.metadata.resumes.as_deref().unwrap_or("-"),
        place.warm_report_age.map_or(-1, |age| age.as_millis() as i64),
        place.sent_since_report,
    );
}

/// Logs that the request is forwarded to another box.
pub fn passed_on(job: &Job, history: &RequestHistory, address: SocketAddr, reason: ForwardReason) {
    log::info!(
        target: TARGET,
        "event=passed_on request={} route={} service={} box={address} reason={reason} send={} text={:x} content={} version={} left_ms={}",
        job.metadata.id,
        job.route.name,
        job.service,
        history.arrivals() + 1,
        prefix_id(job),
        job.fingerprint,
        job.version,
        job.time_left(clock::now()).as_millis(),
    );
}

/// Logs that a send to a server, or to the box with this address, got no response to forward.
pub fn attempt_failed(
    job: &Job,
    history: &RequestHistory,
    peer: Option<SocketAddr>,
    failure: &Failure,
) {
    log::info!(
        target: TARGET,
        "event=attempt_failed request={} route={} service={} server={} box={} sends={} maybe_ran={} content={} age_ms={} cause=\"{failure}\"",
        job.metadata.id,
        job.route.name,
        job.service,
        history.tried.last().filter(|_| peer.is_none()).map_or("-", String::as_str),
        peer.map_or("-".to_owned(), |address| address.to_string()),
        history.arrivals(),
        history.maybe_ran,
        job.fingerprint,
        age_ms(job),
    );
}

/// Logs that the request ended with a failure of the gateway.
pub fn failed(id: &str, job: Option<&Job>, history: &RequestHistory, failure: &Failure) {
    log::info!(
        target: TARGET,
        "event=failed request={id} route={} team={} status={} ran={} sends={} unsent={} version={} age_ms={} cause=\"{failure}\"",
        job.map_or("-", |job| job.route.name.as_str()),
        job.map_or("-", team),
        failure.status().as_u16(),
        failure.executed().as_str(),
        history.arrivals(),
        history.unsent,
        job.map_or(0, |job| job.version),
        job.map_or(0, age_ms),
    );
}

/// Logs that the request ended with a server's response.
pub fn answered(job: &Job, history: &RequestHistory, status: u16) {
    log::info!(
        target: TARGET,
        "event=answered request={} route={} server={} status={status} sends={} age_ms={}",
        job.metadata.id,
        job.route.name,
        history.tried.last().map_or("-", String::as_str),
        history.arrivals(),
        age_ms(job),
    );
}

/// Logs that a body broke off that was relayed as it arrived.
pub fn body_broken(job: &Job, history: &RequestHistory, cut: &BodyError) {
    log::info!(
        target: TARGET,
        "event=body_broken request={} route={} server={} sends={} age_ms={} cause=\"{cut}\"",
        job.metadata.id,
        job.route.name,
        history.tried.last().map_or("-", String::as_str),
        history.arrivals(),
        age_ms(job),
    );
}

/// Logs that a stream broke and is resumed on another server.
pub fn stream_broken(
    job: &Job,
    history: &RequestHistory,
    server: Option<&str>,
    last_event_id: Option<u64>,
    cut: &BodyError,
) {
    log::info!(
        target: TARGET,
        "event=stream_broken request={} route={} server={} sends={} last_event={last_event_id:?} content={} age_ms={} began_at={} \
         cause=\"{cut}\"",
        job.metadata.id,
        job.route.name,
        server.unwrap_or("-"),
        history.arrivals(),
        job.fingerprint,
        age_ms(job),
        version_text(history.version),
    );
}

/// Logs that the next event of a stream doesn't follow the last one that was forwarded.
pub fn stream_out_of_sequence(
    job: &Job,
    history: &RequestHistory,
    server: Option<&str>,
    gap: &OutOfSequence,
) {
    log::warn!(
        target: TARGET,
        "event=stream_out_of_sequence request={} route={} server={} last={} first={} sends={} content={} age_ms={}",
        job.metadata.id,
        job.route.name,
        server.unwrap_or("-"),
        gap.last_id,
        gap.id,
        history.arrivals(),
        job.fingerprint,
        age_ms(job),
    );
}

/// Hash of the version that began a stream for the log.
fn version_text(version: Option<VersionHash>) -> String {
    version.map_or("-".to_owned(), |version| format!("{version:x}"))
}

/// Logs that a caller resumes a stream: the hash of the version that began it and what told it, the
/// number of versions that count for the service, and the age of the state from the store.
pub fn stream_resumed(
    job: &Job,
    found: Option<&FoundVersion>,
    known_versions: usize,
    state_age_ms: i64,
) {
    let told_by = match found.map(|found| found.source) {
        Some(Source::Own) => "box",
        Some(Source::Other) => "other",
        None => "-",
    };
    log::info!(
        target: TARGET,
        "event=stream_resumed request={} route={} service={} resumes={} last_event={:?} began_at={} told_by={told_by} versions={known_versions} state_ms={state_age_ms} age_ms={}",
        job.metadata.id,
        job.route.name,
        found.map_or(&job.service, |found| &found.service),
        job.metadata.resumes.as_deref().unwrap_or("-"),
        job.metadata.last_event,
        version_text(found.map(|found| found.version)),
        age_ms(job),
    );
}

/// Logs the status in the head of a response, if it affects which requests the server gets.
pub fn status_received(job: &Job, server: &str, server_status: &ServerStatus, status: StatusCode) {
    log::info!(
        target: TARGET,
        "event=server_said request={} route={} server={server} leaving={} rest_ms={} rate={} brittle={} cold_ms={} status={} age_ms={}",
        job.metadata.id,
        job.route.name,
        server_status.leaving,
        server_status.rest.map_or("-".to_owned(), |rest| rest.as_millis().to_string()),
        server_status.rate.map_or("-".to_owned(), |rate| rate.to_string()),
        server_status.brittle.map_or("-".to_owned(), |rejections| rejections.to_string()),
        server_status.cold_left.map_or("-".to_owned(), |left| left.as_millis().to_string()),
        status.as_u16(),
        age_ms(job),
    );
}

/// Maximum number of requests listed in one line.
const MAX_LOGGED_REQUESTS: usize = 16;

/// Logs an observation about a server, or about a request that it ran.
pub fn observed(server: &str, observation: &Observation) {
    match observation {
        Observation::Leaving => log::info!("event=server_leaves server={server} by=answer"),
        Observation::RequestedRestPeriod(rest) => {
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
        Observation::Brittle { before, after } => {
            log::info!(
                "event=server_brittle server={server} rejections={after:?} before={before:?} by=answer"
            );
        }
        Observation::Crashed(runs) => server_ended(server, runs),
        Observation::Cleared(request) => {
            log::info!("event=acquitted server={server} content={request}")
        }
    }
}

/// Logs that a server that broke off responses no longer accepts connections: it has crashed while
/// the listed requests ran.
fn server_ended(server: &str, runs: &[InterruptedRequest]) {
    let request_names: Vec<String> =
        runs.iter().take(MAX_LOGGED_REQUESTS).map(|run| run.request.to_string()).collect();
    log::info!(
        "event=server_ended server={server} lost={} running={}",
        runs.len(),
        request_names.join(",")
    );
}

/// Logs that a stream ended, completely or not.
pub fn stream_ended(
    job: &Job,
    history: &RequestHistory,
    server: Option<&str>,
    stream_timing: &StreamTiming,
    result: &Result<(), BodyError>,
) {
    let cause = result.as_ref().err().map_or(String::new(), |cut| format!(" cause=\"{cut}\""));
    log::info!(
        target: TARGET,
        "event=stream_ended request={} route={} server={} whole={} sends={} first_ms={} pause_ms={} age_ms={}{cause}",
        job.metadata.id,
        job.route.name,
        server.unwrap_or("-"),
        result.is_ok(),
        history.arrivals(),
        stream_timing.first_event.as_millis(),
        stream_timing.longest_pause.as_millis(),
        age_ms(job),
    );
}

//! Runs a request: a place here or in another region, a send, and another one
//! where that is allowed.
//!
//! What a caller is told follows from what was sent: a failure says "not run"
//! only if nothing was sent, or whoever got it said so.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::attempt;
use super::attempt::Payload;
use super::attempt::Reply;
use super::attempt::Tried;
use super::course::Course;
use super::elsewhere;
use super::elsewhere::Reason;
use super::job::Job;
use super::job::Origin;
use super::quarantine;
use super::quarantine::Trial;
use super::record;
use super::shared::Held;
use super::shared::Shared;
use super::shared::lock;
use super::throttle;
use crate::coordination::placement::Among;
use crate::coordination::placement::Blocked;
use crate::coordination::placement::Demand;
use crate::error::Failure;
use crate::error::Kind;
use crate::error::Ran;
use crate::protocol::ServerId;
use crate::protocol::adapter::Adapter;
use crate::state::clock;
use crate::state::counters::Counter;

/// Most servers that a request is offered to in vain; each may take as long as a connection.
const MAX_OFFERS: usize = 4;
/// Part of the latency objective after which a refused caller is asked to come back.
const COME_BACK: u32 = 2;
/// Time after which a caller comes back who finds only servers that leave: one that takes their place needs longer to
/// start.
const REPLACED_AFTER: Duration = Duration::from_secs(1);
/// Least time that is worth a send.
const MIN_LEFT: Duration = Duration::from_millis(20);

/// Where a request goes next.
enum Target<A> {
    Server(Box<Held<A>>),
    Peer(std::net::SocketAddr, Reason),
}

/// Runs a request to an answer or a failure.
pub async fn run<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    course: &mut Course,
) -> Result<Reply<A>, Failure> {
    let after = job.ask.last_event;
    count_first(shared, job);
    // An answer by which a server says that it failed, kept while another one is tried.
    let mut failed: Option<Reply<A>> = None;
    loop {
        let failure = match step(shared, job, course, after).await {
            Ok(reply) if may_improve(&reply, job) && may_repeat(shared, job, course) => {
                failed = Some(reply);
                continue;
            }
            Ok(reply) => return Ok(reply),
            Err(Step::Stop(failure)) => failure,
            Err(Step::Again(failure)) => {
                if may_go_on(shared, job, course) {
                    continue;
                }
                failure
            }
        };
        return match failed {
            Some(reply) => Ok(reply),
            None => Err(truthful(course, failure)),
        };
    }
}

/// Sends a stream that broke off once more, to go on after an event.
pub async fn again<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    course: &mut Course,
    after: Option<u64>,
) -> Option<Reply<A>> {
    course.maybe_ran = true;
    while may_repeat(shared, job, course) {
        match step(shared, job, course, after).await {
            Ok(reply) => return Some(reply),
            Err(Step::Again(_)) => {}
            Err(Step::Stop(_)) => return None,
        }
    }
    None
}

/// Why a step gave no answer.
enum Step {
    /// Another may.
    Again(Failure),
    /// No other will.
    Stop(Failure),
}

/// One place and one send.
async fn step<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    course: &mut Course,
    after: Option<u64>,
) -> Result<Reply<A>, Step> {
    if job.left(clock::now()) < MIN_LEFT {
        let failure = Failure::new(Kind::WouldBeLate, "no time is left");
        return Err(Step::Stop(failure));
    }
    // Between two sends, other boxes may have seen what this request does.
    quarantine::admit(shared, job).map_err(Step::Stop)?;
    let tried = match target(shared, job, course).map_err(Step::Stop)? {
        Target::Server(held) => {
            course.tried.push(held.place.server.clone());
            let state = lock(&shared.freshness).standing(clock::now());
            record::placed(job, course, &held.place, state);
            attempt::to_server(shared, job, *held, after).await
        }
        Target::Peer(address, reason) => {
            course.boxes.push(address);
            record::passed_on(job, course, address, reason);
            attempt::to_peer(shared, job, address, after).await
        }
    };
    let failure = match tried {
        Tried::Answered(reply) => {
            course.sends += 1;
            return Ok(reply);
        }
        Tried::Unsent(failure) => {
            course.unsent += 1;
            record::attempt_failed(job, course, &failure);
            return Err(Step::Again(failure));
        }
        Tried::Refused(failure) => {
            course.refused += 1;
            failure
        }
        Tried::Rests(failure) => {
            course.refused += 1;
            course.rests += 1;
            failure
        }
        Tried::Lost(failure) => {
            course.sends += 1;
            course.maybe_ran = true;
            failure
        }
    };
    record::attempt_failed(job, course, &failure);
    // A box with a newer configuration than this one says that the key is no longer held by anyone.
    let taken_away = failure.kind == Kind::Unauthorized;
    if taken_away || (course.maybe_ran && !job.route.repeatable()) {
        return Err(Step::Stop(failure));
    }
    Err(Step::Again(failure))
}

fn target<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    course: &Course,
) -> Result<Target<A>, Failure> {
    if let Some(address) = elsewhere::home(shared, job, course) {
        return Ok(Target::Peer(address, Reason::Home));
    }
    if let Some((address, reason)) = elsewhere::overflow(shared, job, course, clock::now()) {
        return Ok(Target::Peer(address, reason));
    }
    lock(&shared.throttles).record_request(throttle::service_hash(&job.service), clock::now());
    let blocked = match place(shared, job, course, Among::Sound) {
        Ok(held) => return Ok(Target::Server(held)),
        Err(blocked) => blocked,
    };
    if job.origin == Origin::Peer {
        return Err(refusal(shared, job, blocked));
    }
    // A sound server in another region comes before one here that failed lately: offering requests
    // to ten servers that had gone silent cost 400 ms each, up to four times a request.
    if let Some(address) = elsewhere::choose(shared, job, &course.boxes) {
        return Ok(Target::Peer(address, Reason::NoPlace));
    }
    if blocked == Blocked::Failing
        && let Ok(held) = place(shared, job, course, Among::Any)
    {
        return Ok(Target::Server(held));
    }
    Err(refusal(shared, job, blocked))
}

/// A place on a server of this region.
fn place<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    course: &Course,
    among: Among,
) -> Result<Box<Held<A>>, Blocked> {
    if !job.allows(&shared.settings.region) {
        return Err(Blocked::NoServer);
    }
    let now = clock::now();
    let stale = lock(&shared.freshness).is_stale(now);
    let choose = |tried: &[ServerId]| {
        let chosen = shared.with_service(&job.service, |service| {
            let loads = &lock(&shared.loads);
            let mut throttles = lock(&shared.throttles);
            let demand =
                Demand { parts: &job.ask.parts, tried, loads, throttles: &throttles, among, stale };
            let place = service.placement.choose(demand, now, &mut rand::rng())?;
            throttles.record_sent(place.life, now);
            Ok(place)
        });
        chosen.unwrap_or(Err(Blocked::NoServer))
    };
    let Trial { suspicion, occupied, reserved } = quarantine::trial(shared, job, now);
    let but = |servers: &[ServerId]| choose(&[&course.tried[..], servers].concat());
    let place = match but(&occupied) {
        // Beside another suspect rather than not at all: at times all servers run one.
        Err(_) if reserved.len() < occupied.len() => but(&reserved)?,
        apart => apart?,
    };
    if let Some(suspicion) = suspicion {
        let beside = occupied.contains(&place.server);
        record::on_trial(job, &place.server, suspicion, beside);
    }
    Ok(Box::new(Held::new(shared, &job.service, place, job.fingerprint)))
}

fn refusal<A: Adapter>(shared: &Shared<A>, job: &Job, blocked: Blocked) -> Failure {
    let come_back = job.route.objective / COME_BACK;
    match blocked {
        Blocked::Throttled => return throttle::refuse(shared, job),
        Blocked::NoServer => {
            Failure::new(Kind::NoServer, "no backend server may run the request now")
        }
        Blocked::Resting { until } => return rest_refusal(shared, job, until),
        Blocked::Leaving => {
            let message = "the backend servers leave";
            return Failure::new(Kind::NoServer, message).with_retry_after(REPLACED_AFTER);
        }
        Blocked::Full => Failure::new(Kind::QueueFull, "all backend servers are full"),
        Blocked::Failing => Failure::new(Kind::NoServer, "all backend servers failed lately"),
    }
    .with_retry_after(come_back)
}

/// Refuses a request for which only servers are left that want nothing before some moment.
fn rest_refusal<A: Adapter>(shared: &Shared<A>, job: &Job, until: Instant) -> Failure {
    let message = "the backend servers want no requests for a while";
    let failure = Failure::new(Kind::QueueFull, message);
    let now = clock::now();
    let come_back =
        shared.with_service(&job.service, |service| service.placement.come_back(until, now));
    match come_back {
        Some(come_back) => failure.with_retry_after(come_back),
        None => failure,
    }
}

/// A server's own failure of work that may be repeated; another server may do better.
fn may_improve<A: Adapter>(reply: &Reply<A>, job: &Job) -> bool {
    let whole = matches!(reply.payload, Payload::Whole(_));
    whole && reply.status.is_server_error() && job.route.repeatable()
}

/// Whether a request that got no answer goes on. An attempt is a send that may have run: what was
/// refused or never sent uses none up, but what arrived somewhere is paid for from the budget. With
/// refusals counted as attempts, requests that may run once were refused at the first server that
/// was full or had been replaced, 2,325 of them in 8 s while 22 of 128 servers came back under new names.
fn may_go_on<A: Adapter>(shared: &Arc<Shared<A>>, job: &Job, course: &Course) -> bool {
    if course.in_vain() >= MAX_OFFERS {
        return false;
    }
    course.arrivals() == 0 || may_repeat(shared, job, course)
}

/// Takes a further send from the budget, if the route and the time left allow one.
fn may_repeat<A: Adapter>(shared: &Arc<Shared<A>>, job: &Job, course: &Course) -> bool {
    let now = clock::now();
    if course.sends >= job.max_attempts() || job.left(now) < MIN_LEFT {
        return false;
    }
    let boxes = job.snapshot.fleet;
    let admitted =
        shared.with_service(&job.service, |service| service.budget.try_resend(boxes, now));
    let admitted = admitted.unwrap_or(false);
    shared.counters.count(if admitted { Counter::Retries } else { Counter::RetriesDenied });
    admitted
}

/// Counts the request for the budget, at the box that its caller asked.
fn count_first<A: Adapter>(shared: &Arc<Shared<A>>, job: &Job) {
    if job.origin == Origin::Caller {
        shared.with_service(&job.service, |service| service.budget.record_first_send(clock::now()));
    }
}

/// A request of which a send may have run is never called "not run".
fn truthful(course: &Course, failure: Failure) -> Failure {
    if !course.maybe_ran || failure.ran() != Ran::No {
        return failure;
    }
    let message = format!("an earlier send may have run, and then: {}", failure.message);
    Failure::new(Kind::BackendFailed, message).with_ran(Ran::Unknown)
}

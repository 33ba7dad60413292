//! Dispatches a request: chooses a server or another box, sends the request, and sends it again
//! where that is allowed.
//!
//! The response to the caller depends on what was sent. A failure says "not run" only if nothing
//! was sent, or if every receiver reported that it did not run the request.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::attempt;
use super::attempt::Payload;
use super::attempt::Reply;
use super::attempt::SendOutcome;
use super::decision_log;
use super::forwarding;
use super::forwarding::ForwardReason;
use super::history::RequestHistory;
use super::job::Job;
use super::job::Origin;
use super::quarantine;
use super::quarantine::Isolation;
use super::room;
use super::shared::Reservation;
use super::shared::Shared;
use super::shared::lock;
use super::stream_versions;
use super::throttle;
use super::upgrade;
use super::upgrade::TrackedSend;
use crate::coordination::drain;
use crate::coordination::placement::Blocked;
use crate::coordination::placement::Eligible;
use crate::coordination::placement::PlacementRequest;
use crate::coordination::upgrade::Role;
use crate::error::ErrorKind;
use crate::error::Executed;
use crate::error::Failure;
use crate::protocol::ServerId;
use crate::protocol::adapter::Adapter;
use crate::state::clock;
use crate::state::counters::Counter;

/// Maximum number of failed sends of a request, as counted by
/// [`RequestHistory::recurring_failures`]. Each may take as long as a connection timeout.
const MAX_RECURRING_FAILURES: usize = 4;
/// Divides the latency objective into the delay after which a refused caller is asked to retry.
const RETRY_AFTER_DIVISOR: u32 = 2;
/// Delay after which a caller is asked to retry if all servers are leaving. Their replacements need
/// longer than this to start.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(1);
/// When a caller may retry a request that a leaving box refuses. Other boxes serve it at once; the
/// smallest delay that the header can state and that isn't zero.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Minimum time left for a send to be worthwhile.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Where to send a request next.
enum Target<A> {
    Server(Box<Reservation<A>>),
    Peer(std::net::SocketAddr, ForwardReason),
}

/// Refuses a request if this box is leaving and passes nothing more on.
pub fn admit<A>(shared: &Shared<A>) -> Result<(), Failure> {
    if drain::refuses_requests(*shared.stop_requested_at.borrow(), clock::now()) {
        let failure = Failure::new(ErrorKind::Leaving, "the box is leaving");
        return Err(failure.with_retry_after(LEAVING_RETRY_AFTER));
    }
    Ok(())
}

/// Dispatches a request until there is a response or a failure. A box that is leaving may learn that
/// while the request waits or is to be sent again; then it isn't passed on either.
pub async fn dispatch<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &mut Job,
    history: &mut RequestHistory,
) -> Result<Reply<A>, Failure> {
    let after_event = job.metadata.last_event;
    count_first_send(shared, job);
    if let Some((service, version)) = stream_versions::version_to_continue(shared, job).await? {
        job.service = service;
        history.version = Some(version);
    }
    let job = &*job;
    // A server error, kept while another server is tried.
    let mut failed_reply: Option<Reply<A>> = None;
    loop {
        let sent = match admit(shared) {
            Ok(()) => send_once(shared, job, history, after_event).await,
            Err(failure) => Err(StepError::Final(failure)),
        };
        let failure = match sent {
            Ok(reply) if is_retryable_failure(&reply, job) && take_retry(shared, job, history) => {
                failed_reply = Some(reply);
                continue;
            }
            Ok(reply) => return Ok(reply),
            Err(StepError::Final(failure)) => failure,
            Err(StepError::Misdirected) => continue,
            Err(StepError::Retry(failure)) => {
                if may_continue(shared, job, history) {
                    continue;
                }
                failure
            }
        };
        return match failed_reply {
            Some(reply) => Ok(reply),
            None => Err(mark_possible_run(history, failure)),
        };
    }
}

/// Sends the request of a broken stream again, to continue after the event `after_event` at the
/// version that began it.
pub async fn resume_stream<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    history: &mut RequestHistory,
    after_event: Option<u64>,
) -> Option<Reply<A>> {
    history.maybe_ran = true;
    let mut was_misdirected = false;
    while std::mem::take(&mut was_misdirected) || take_retry(shared, job, history) {
        match send_once(shared, job, history, after_event).await {
            Ok(reply) => return Some(reply),
            Err(StepError::Misdirected) => was_misdirected = true,
            Err(StepError::Retry(_)) => {}
            Err(StepError::Final(_)) => return None,
        }
    }
    None
}

/// Why a send led to no response.
enum StepError {
    /// Another send may get a response.
    Retry(Failure),
    /// Another instance has the address of the chosen server. The other names of that address count
    /// as absent by now, so that the next send is no retry.
    Misdirected,
    /// No other send would get a response.
    Final(Failure),
}

/// Chooses a target and sends the request to it once.
async fn send_once<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    history: &mut RequestHistory,
    after_event: Option<u64>,
) -> Result<Reply<A>, StepError> {
    if job.time_left(clock::now()) < MIN_TIME_LEFT {
        let failure = Failure::new(ErrorKind::WouldBeLate, "no time is left");
        return Err(StepError::Final(failure));
    }
    // Since the last send, other boxes may have found that this request crashes servers.
    quarantine::admit(shared, job).map_err(StepError::Final)?;
    let target = match choose_target(shared, job, history) {
        Ok(target) => target,
        Err(Blocked::Brittle) if !history.refused_by_brittle => {
            let reservation = room::wait_for_server(shared, job, history).await;
            Target::Server(reservation.map_err(StepError::Final)?)
        }
        Err(blocked) => return Err(StepError::Final(refusal(shared, job, history, blocked))),
    };
    let peer = match target {
        Target::Peer(address, _) => Some(address),
        Target::Server(_) => None,
    };
    let outcome = match target {
        Target::Server(reservation) => {
            history.tried.push(reservation.place.server.clone());
            let state = lock(&shared.freshness).summary(clock::now());
            decision_log::placed(job, history, &reservation.place, after_event, state);
            // A request that may run only once uses a new connection. On a reused one, remains of
            // an earlier response could be taken for its response. One that is sent again should
            // not fail for the same reason twice.
            let new_connection = !job.route.repeatable() || history.maybe_ran;
            attempt::to_server(shared, job, *reservation, after_event, new_connection).await
        }
        Target::Peer(address, reason) => {
            let boxes =
                if reason.is_in_region() { &mut history.neighbors } else { &mut history.boxes };
            boxes.push(address);
            decision_log::passed_on(job, history, address, reason);
            attempt::to_peer(shared, job, address, after_event, history.version).await
        }
    };
    let failure = match outcome {
        SendOutcome::Answered(reply) => {
            history.sends += 1;
            return Ok(reply);
        }
        SendOutcome::Unsent(failure) => {
            history.unsent += 1;
            decision_log::attempt_failed(job, history, peer, &failure);
            return Err(StepError::Retry(failure));
        }
        SendOutcome::Refused(failure) => {
            history.refused += 1;
            failure
        }
        SendOutcome::Misdirected(failure) => {
            decision_log::attempt_failed(job, history, peer, &failure);
            return Err(StepError::Misdirected);
        }
        SendOutcome::RefusedWithRest(failure) => {
            history.refused += 1;
            history.rest_refusals += 1;
            failure
        }
        SendOutcome::RefusedByBrittle(failure) => {
            history.refused += 1;
            history.refused_by_brittle = true;
            failure
        }
        SendOutcome::MaybeRan(failure) => {
            history.sends += 1;
            history.maybe_ran = true;
            failure
        }
    };
    decision_log::attempt_failed(job, history, peer, &failure);
    // A box with a newer configuration than this one reports that the key is no longer valid.
    let key_rejected = failure.kind == ErrorKind::Unauthorized;
    if key_rejected || (history.maybe_ran && !job.route.repeatable()) {
        return Err(StepError::Final(failure));
    }
    Err(StepError::Retry(failure))
}

fn choose_target<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    history: &RequestHistory,
) -> Result<Target<A>, Blocked> {
    let may_forward = forwarding::may_forward(shared, job);
    if may_forward && let Some(address) = forwarding::home_box(shared, job, history) {
        return Ok(Target::Peer(address, ForwardReason::Home));
    }
    if may_forward
        && let Some((address, reason)) =
            forwarding::overflow_target(shared, job, history, clock::now())
    {
        return Ok(Target::Peer(address, reason));
    }
    if may_forward && let Some(address) = forwarding::detour(shared, job, history) {
        return Ok(Target::Peer(address, ForwardReason::LostPath));
    }
    lock(&shared.throttles).record_request(throttle::service_hash(&job.service), clock::now());
    let is_turn = !history.refused_by_brittle && !room::has_waiting(shared, job);
    let blocked = match is_turn.then(|| reserve_server(shared, job, history, Eligible::Healthy)) {
        Some(Ok(reservation)) => return Ok(Target::Server(reservation)),
        Some(Err(blocked)) => blocked,
        None => Blocked::Brittle,
    };
    if job.origin == Origin::Peer || !may_forward {
        return reserve_failing(shared, job, history, blocked);
    }
    if let Some(address) = forwarding::neighbor(shared, job, history) {
        return Ok(Target::Peer(address, ForwardReason::LostPath));
    }
    if blocked == Blocked::Brittle
        && let Some(address) = forwarding::room_holder(shared, job, history)
    {
        return Ok(Target::Peer(address, ForwardReason::NoRoom));
    }
    // A healthy server in another region is preferred to a local one that failed recently. When
    // requests were sent to ten unresponsive servers first, each send cost 400 ms, up to four times
    // per request.
    if let Some(address) = forwarding::fallback_target(shared, job, history) {
        return Ok(Target::Peer(address, ForwardReason::NoPlace));
    }
    reserve_failing(shared, job, history, blocked)
}

/// Reserves a slot on a server that failed recently, for a caller's request that no other server can
/// run.
fn reserve_failing<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    history: &RequestHistory,
    blocked: Blocked,
) -> Result<Target<A>, Blocked> {
    if blocked != Blocked::Failing || job.origin == Origin::Peer {
        return Err(blocked);
    }
    let reserved = reserve_server(shared, job, history, Eligible::Any);
    reserved.map(Target::Server).map_err(|_| blocked)
}

/// Reserves a slot on a server of this region.
pub(super) fn reserve_server<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    history: &RequestHistory,
    eligible: Eligible,
) -> Result<Box<Reservation<A>>, Blocked> {
    if !job.is_allowed_in(&shared.settings.region) {
        return Err(Blocked::NoServer);
    }
    let now = clock::now();
    let role = upgrade::draw_role(shared, job, history.tried.is_empty());
    let listed = stream_versions::listed_versions(shared, job);
    let choose_with_role = |role: Role, tried: &[ServerId]| {
        let chosen = shared.with_service(&job.service, |service| {
            let loads = &lock(&shared.loads);
            let mut throttles = lock(&shared.throttles);
            let demand = PlacementRequest {
                parts: &job.metadata.segments,
                tried,
                loads,
                throttles: &throttles,
                service: throttle::service_hash(&job.service),
                eligible,
                role,
                version: history.version,
                listed: listed.as_deref(),
            };
            let place = service.placement.choose(demand, now, &mut rand::rng())?;
            throttles.record_sent(place.incarnation, now);
            Ok(place)
        });
        chosen.unwrap_or(Err(Blocked::NoServer))
    };
    let choose = |tried: &[ServerId]| match choose_with_role(role, tried) {
        Err(_) if role == Role::Canary => choose_with_role(Role::Serving, tried),
        chosen => chosen,
    };
    let Isolation { suspicion, occupied, reserved } = quarantine::isolation(shared, job, now);
    let choose_except = |servers: &[ServerId]| choose(&[&history.tried[..], servers].concat());
    let place = match choose_except(&occupied) {
        // Sharing a server with another suspect is better than no server: at times, all servers run
        // one.
        Err(_) if reserved.len() < occupied.len() => choose_except(&reserved)?,
        separate => separate?,
    };
    if let Some(suspicion) = suspicion {
        let shares_server = occupied.contains(&place.server);
        decision_log::on_trial(job, &place.server, suspicion, shares_server);
    }
    let tracked = TrackedSend::new(shared, job, &place);
    Ok(Box::new(Reservation::new(shared, &job.service, place, job.fingerprint, tracked)))
}

/// The refusal of a request that no server may or can run now.
pub(super) fn refusal<A: Adapter>(
    shared: &Shared<A>,
    job: &Job,
    history: &RequestHistory,
    blocked: Blocked,
) -> Failure {
    let retry_after = job.route.latency_objective / RETRY_AFTER_DIVISOR;
    match blocked {
        Blocked::Throttled => return throttle::refuse(shared, job),
        Blocked::Brittle => return room::refuse(shared, job),
        Blocked::NoServer if history.version.is_some() => {
            let message = "no backend server of the version that began the stream may run it now";
            return Failure::new(ErrorKind::NoServer, message).with_retry_after(REPLACEMENT_DELAY);
        }
        Blocked::NoServer if stream_versions::awaits_list(shared, job) => {
            shared.counters.increment(Counter::StreamsAwaitingList);
            let message = "the store does not list the version of the backend servers yet";
            return Failure::new(ErrorKind::NoServer, message).with_retry_after(REPLACEMENT_DELAY);
        }
        Blocked::NoServer => {
            Failure::new(ErrorKind::NoServer, "no backend server may run the request now")
        }
        Blocked::Resting { until } => return resting_refusal(shared, job, until),
        Blocked::Leaving => {
            let message = "the backend servers leave";
            return Failure::new(ErrorKind::NoServer, message).with_retry_after(REPLACEMENT_DELAY);
        }
        Blocked::Full => Failure::new(ErrorKind::QueueFull, "all backend servers are full"),
        Blocked::Failing => Failure::new(ErrorKind::NoServer, "all backend servers failed lately"),
        Blocked::Unreachable => {
            Failure::new(ErrorKind::NoServer, "this box can't reach the backend servers")
        }
    }
    .with_retry_after(retry_after)
}

/// Refuses a request because all remaining servers are in a rest period; the first one ends at
/// `until`.
fn resting_refusal<A: Adapter>(shared: &Shared<A>, job: &Job, until: Instant) -> Failure {
    let message = "the backend servers want no requests for a while";
    let failure = Failure::new(ErrorKind::QueueFull, message);
    let now = clock::now();
    let retry_after =
        shared.with_service(&job.service, |service| service.placement.retry_after(until, now));
    match retry_after {
        Some(retry_after) => failure.with_retry_after(retry_after),
        None => failure,
    }
}

/// Whether the response is a server error and the request may be repeated; another server may
/// succeed.
fn is_retryable_failure<A: Adapter>(reply: &Reply<A>, job: &Job) -> bool {
    let is_stream = matches!(reply.payload, Payload::Stream(_));
    !is_stream && reply.status.is_server_error() && job.route.repeatable()
}

/// Whether a request that got no response may be sent again. Only sends that may have run count as
/// attempts. Refusals and failed connections don't count, but a send that reached a server takes a
/// retry from the budget. When refusals counted as attempts, requests that may run only once were
/// refused at the first server that was full or had been replaced: 2,325 requests in 8 s while 22
/// of 128 servers came back under new names.
fn may_continue<A: Adapter>(shared: &Arc<Shared<A>>, job: &Job, history: &RequestHistory) -> bool {
    if history.recurring_failures() >= MAX_RECURRING_FAILURES {
        return false;
    }
    history.arrivals() == 0 || take_retry(shared, job, history)
}

/// Takes a retry from the budget, if the route and the remaining time allow one.
fn take_retry<A: Adapter>(shared: &Arc<Shared<A>>, job: &Job, history: &RequestHistory) -> bool {
    let now = clock::now();
    if history.sends >= job.max_attempts() || job.time_left(now) < MIN_TIME_LEFT {
        return false;
    }
    let admitted = lock(&shared.retries).try_resend(&job.service, now);
    shared.counters.increment(if admitted { Counter::Retries } else { Counter::RetriesDenied });
    admitted
}

/// Counts the request for the retry budget, at the box that received it from the caller.
fn count_first_send<A: Adapter>(shared: &Arc<Shared<A>>, job: &Job) {
    if job.origin == Origin::Caller {
        lock(&shared.retries).record_first_send(&job.service, clock::now());
    }
}

/// Turns "not run" into "unknown" in the failure of a request that an earlier send may have run.
fn mark_possible_run(history: &RequestHistory, failure: Failure) -> Failure {
    if !history.maybe_ran || failure.executed() != Executed::No {
        return failure;
    }
    let message = format!("an earlier send may have run, and then: {}", failure.message);
    Failure::new(ErrorKind::BackendFailed, message).with_executed(Executed::Unknown)
}

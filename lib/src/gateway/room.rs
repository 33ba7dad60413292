//! Lets requests wait until a brittle server has room for them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::dispatch;
use super::history::RequestHistory;
use super::job::Job;
use super::shared::Reservation;
use super::shared::Service;
use super::shared::Shared;
use super::shared::lock;
use super::throttle;
use crate::coordination::placement::Blocked;
use crate::coordination::placement::Eligible;
use crate::error::ErrorKind;
use crate::error::Failure;
use crate::protocol::adapter::Adapter;
use crate::state::clock;
use crate::transport::timer;

/// Maximum time between two attempts of the request whose turn it is. This box's share of a room
/// may grow while none of its requests ends.
const MAX_ATTEMPT_INTERVAL: Duration = Duration::from_millis(50);

/// Counts a request as waiting until it is dropped.
struct Waiting<'a, A> {
    shared: &'a Shared<A>,
    job: &'a Job,
}

impl<A> Drop for Waiting<'_, A> {
    fn drop(&mut self) {
        self.shared.with_service(&self.job.service, |service| service.queue.leave());
    }
}

/// Returns whether requests for the service wait already.
pub fn has_waiting<A>(shared: &Shared<A>, job: &Job) -> bool {
    shared.with_service(&job.service, |service| !service.queue.is_empty()) == Some(true)
}

/// Waits until a brittle server has room for the request, and reserves a place there. The request
/// is refused at once if it would not get its turn in time.
pub async fn wait_for_server<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    history: &RequestHistory,
) -> Result<Box<Reservation<A>>, Failure> {
    let now = clock::now();
    let joined = shared.with_service(&job.service, |service| {
        may_wait(shared, service, job, now).then(|| {
            service.queue.join();
            let until = now + patience(service, job, now);
            (Arc::clone(&service.turn), Arc::clone(&service.released), until)
        })
    });
    let Some(Some((turn, released, until))) = joined else { return Err(refuse(shared, job)) };
    let _waiting = Waiting { shared, job };
    let Ok(_turn) = timer::timeout_at(until, turn.lock()).await else {
        return Err(refuse(shared, job));
    };
    loop {
        match dispatch::reserve_server(shared, job, history, Eligible::Healthy) {
            Ok(reservation) => return Ok(reservation),
            Err(Blocked::Brittle) if clock::now() < until => {}
            Err(blocked) => return Err(dispatch::refusal(shared, job, history, blocked)),
        }
        let next_attempt = until.min(clock::now() + MAX_ATTEMPT_INTERVAL);
        // An attempt follows in either case.
        let _ = timer::timeout_at(next_attempt, released.notified()).await;
    }
}

/// The longest wait after which the response would still be in time.
fn patience(service: &Service, job: &Job, now: Instant) -> Duration {
    let time_left = job.time_left(now).saturating_sub(service.queue.duration());
    time_left.min(job.route.latency_objective)
}

/// Returns whether the request is expected to get room at a brittle server in time if it waits.
pub fn may_wait<A>(shared: &Shared<A>, service: &Service, job: &Job, now: Instant) -> bool {
    service.queue.admits(places(shared, service, job, now), patience(service, job, now))
}

/// Requests that this box may have at the brittle servers of the service.
fn places<A>(shared: &Shared<A>, service: &Service, job: &Job, now: Instant) -> u32 {
    let throttles = lock(&shared.throttles);
    let rooms = service.placement.capacities(throttle::service_hash(&job.service));
    rooms.filter_map(|capacity| throttles.room_share(capacity, now)).sum()
}

/// Refuses a request because this box has all the requests at brittle servers that it may have.
pub fn refuse<A: Adapter>(shared: &Shared<A>, job: &Job) -> Failure {
    let now = clock::now();
    let retry_after = shared.with_service(&job.service, |service| {
        let places = places(shared, service, job, now);
        service.queue.retry_after(places, now)
    });
    let message = "the backend servers are brittle and have no room";
    let failure = Failure::new(ErrorKind::Throttled, message);
    match retry_after {
        Some(retry_after) => failure.with_retry_after(retry_after),
        None => failure,
    }
}

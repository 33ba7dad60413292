//! Feeds the outcomes of sends and the responses of probed servers to the [`FeedbackHandler`], and
//! applies its effects.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::decision_log;
use super::job::Job;
use super::path_checks;
use super::shared::Reservation;
use super::shared::Service;
use super::shared::Shared;
use super::shared::lock;
use super::throttle;
use crate::coordination::attempt::AttemptEvent;
use crate::coordination::attempt::AttemptReport;
use crate::coordination::departures::wire::DepartureNotice;
use crate::coordination::feedback::Effects;
use crate::coordination::feedback::FeedbackHandler;
use crate::coordination::feedback::Observation;
use crate::coordination::feedback::SentRequest;
use crate::coordination::placement::Place;
use crate::coordination::quarantine::Audience;
use crate::protocol::adapter::Adapter;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::server_crash;
use crate::transport::timer;

/// Wait until the connections to all servers that broke at the same moment have been noticed.
const SETTLE_TIME: Duration = Duration::from_millis(5);

/// Records an event of a send: its progress or its end.
pub fn record_event<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    reservation: &mut Option<Reservation<A>>,
    report: &AttemptReport,
) {
    let Some(reservation) = reservation else { return };
    reservation.set_outcome(report.event.outcome());
    let sent = SentRequest {
        place: &reservation.place,
        service: throttle::service_hash(&job.service),
        request: job.fingerprint,
        parts: &job.metadata.segments,
    };
    let now = clock::now();
    let effects = with_feedback_handler(shared, &job.service, |handler| {
        handler.handle_report(sent, report, now)
    });
    apply_effects(shared, &reservation.place, &effects);
}

/// Records the end of a send.
pub fn record_end<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    reservation: &mut Option<Reservation<A>>,
    event: AttemptEvent,
) {
    record_event(shared, job, reservation, &AttemptReport::end(event));
}

/// Calls `handle` with a [`FeedbackHandler`], while all tables that it updates are locked.
pub fn with_feedback_handler<A: Adapter, T>(
    shared: &Shared<A>,
    service: &str,
    handle: impl FnOnce(&mut FeedbackHandler<'_>) -> T,
) -> T {
    let mut services = lock(&shared.services);
    let placement = services.get_mut(service).map(|Service { placement, .. }| placement);
    handle(&mut FeedbackHandler {
        placement,
        throttles: &mut lock(&shared.throttles),
        departures: &mut lock(&shared.departures),
        interrupted: &mut lock(&shared.interrupted),
        quarantine: &mut lock(&shared.quarantine),
    })
}

/// Publishes the effects of a report about the server of a place, and probes it if required.
fn apply_effects<A: Adapter>(shared: &Arc<Shared<A>>, place: &Place, effects: &Effects) {
    publish_effects(shared, &place.server, effects);
    if effects.confirm {
        tokio::spawn(confirm_crash(Arc::clone(shared), place.clone()));
    } else if effects.probe {
        tokio::spawn(check_for_crash(Arc::clone(shared), place.clone()));
    }
}

/// Checks whether a server still accepts connections.
async fn check_for_crash<A: Adapter>(shared: Arc<Shared<A>>, place: Place) {
    if !server_crash::has_crashed(&shared.servers, place.address).await {
        lock(&shared.interrupted).forget(place.incarnation);
        return;
    }
    confirm_crash(shared, place).await;
}

/// Records the crash of a server, unless it is only this box that can't reach the server.
async fn confirm_crash<A: Adapter>(shared: Arc<Shared<A>>, place: Place) {
    timer::sleep(SETTLE_TIME).await;
    if doubts_paths(&shared, &place)
        && (!server_crash::has_crashed(&shared.servers, place.address).await
            || path_checks::is_reached_by_peer(&shared, place.incarnation).await)
    {
        log::info!("event=crash_dismissed server={}", place.server);
        lock(&shared.interrupted).dismiss(place.incarnation);
        return;
    }
    // No service is named: a crash concerns the requests that the server ran, whatever their
    // service.
    let effects = with_feedback_handler(&shared, "", |handler| {
        handler.handle_crash(place.incarnation, clock::now())
    });
    publish_effects(&shared, &place.server, &effects);
}

/// Whether this box may have lost its paths to servers of the service.
fn doubts_paths<A>(shared: &Shared<A>, place: &Place) -> bool {
    let service = &place.registration.service;
    let now = clock::now();
    shared.with_service(service, |state| state.placement.doubts_paths(now)) == Some(true)
}

/// Logs the observations, and wakes the report task if other boxes must be notified at once.
pub fn publish_effects<A: Adapter>(shared: &Shared<A>, server: &str, effects: &Effects) {
    for observation in &effects.observations {
        if let Observation::Crashed(_) = observation {
            shared.counters.increment(Counter::ServersEnded);
        }
        decision_log::observed(server, observation);
    }
    match effects.notify {
        Some(Audience::AllRegions) => {
            shared.global_update.notify_one();
            shared.region_update.notify_one();
        }
        Some(Audience::Region) => shared.region_update.notify_one(),
        None => {}
    }
}

/// Applies another box's report about servers that leave.
pub fn receive_leaving<A: Adapter>(
    shared: &Shared<A>,
    leaving_servers: &[DepartureNotice],
    now: Instant,
) {
    if leaving_servers.is_empty() {
        return;
    }
    let mut services = lock(&shared.services);
    let mut departures = lock(&shared.departures);
    let newly_leaving = departures.receive(leaving_servers, now);
    if newly_leaving.is_empty() {
        return;
    }
    for service in services.values_mut() {
        service.placement.set_leaving(|incarnation| departures.is_leaving(incarnation));
    }
    for incarnation in newly_leaving {
        log::info!("event=server_leaves life={incarnation:x} by=box");
    }
}

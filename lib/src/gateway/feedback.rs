//! Feeds the outcomes of sends and the answers of probed servers to the [`Learner`], and acts on
//! its conclusions.

use std::sync::Arc;
use std::time::Instant;

use super::decision_log;
use super::job::Job;
use super::server_exit;
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
    };
    let now = clock::now();
    let lesson =
        with_learner(shared, &job.service, |learner| learner.handle_report(sent, report, now));
    apply_lesson(shared, &reservation.place, &lesson);
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

/// Runs `teach` on a learner that has all tables of a service locked.
pub fn with_learner<A: Adapter, T>(
    shared: &Shared<A>,
    service: &str,
    teach: impl FnOnce(&mut FeedbackHandler<'_>) -> T,
) -> T {
    let mut services = lock(&shared.services);
    let placement = services.get_mut(service).map(|Service { placement, .. }| placement);
    teach(&mut FeedbackHandler {
        placement,
        throttles: &mut lock(&shared.throttles),
        departures: &mut lock(&shared.departures),
        interrupted: &mut lock(&shared.broken),
        quarantine: &mut lock(&shared.quarantine),
    })
}

/// Acts on what was learned about the server of a place.
fn apply_lesson<A: Adapter>(shared: &Arc<Shared<A>>, place: &Place, lesson: &Effects) {
    publish_lesson(shared, &place.server, lesson);
    if lesson.probe {
        tokio::spawn(check_exit(Arc::clone(shared), place.clone()));
    }
}

/// Checks whether a server still accepts connections.
async fn check_exit<A: Adapter>(shared: Arc<Shared<A>>, place: Place) {
    if !server_exit::has_exited(place.address).await {
        lock(&shared.broken).forget(place.incarnation);
        return;
    }
    // No service is named: a crash concerns the requests that the server ran, whatever their
    // service.
    let lesson =
        with_learner(&shared, "", |learner| learner.handle_crash(place.incarnation, clock::now()));
    publish_lesson(&shared, &place.server, &lesson);
}

/// Logs what was learned, and notifies the report task if other boxes must know at once.
pub fn publish_lesson<A: Adapter>(shared: &Shared<A>, server: &str, lesson: &Effects) {
    for note in &lesson.observations {
        if let Observation::Crashed(_) = note {
            shared.counters.increment(Counter::ServersEnded);
        }
        decision_log::server_learned(server, note);
    }
    match lesson.notify {
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
        service.placement.set_leaving(|life| departures.is_leaving(life));
    }
    for life in newly_leaving {
        log::info!("event=server_leaves life={life:x} by=box");
    }
}

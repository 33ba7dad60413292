//! Hands what came of sends, and what servers say when they are asked, to the place that learns, and does what follows.

use std::sync::Arc;
use std::time::Instant;

use super::ended;
use super::job::Job;
use super::record;
use super::shared::Held;
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

/// An attempt has got so far, or has ended so.
pub fn report<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    held: &mut Option<Held<A>>,
    report: &AttemptReport,
) {
    let Some(held) = held else { return };
    held.set_outcome(report.event.outcome());
    let sent = SentRequest {
        place: &held.place,
        service: throttle::service_hash(&job.service),
        request: job.fingerprint,
    };
    let now = clock::now();
    let lesson =
        with_learner(shared, &job.service, |learner| learner.handle_report(sent, report, now));
    follow(shared, &held.place, &lesson);
}

/// An attempt has ended so.
pub fn end<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    held: &mut Option<Held<A>>,
    event: AttemptEvent,
) {
    report(shared, job, held, &AttemptReport::end(event));
}

/// Lets all tables of a service learn from one thing.
pub fn with_learner<A: Adapter, T>(
    shared: &Shared<A>,
    service: &str,
    learn: impl FnOnce(&mut FeedbackHandler<'_>) -> T,
) -> T {
    let mut services = lock(&shared.services);
    let placement = services.get_mut(service).map(|Service { placement, .. }| placement);
    learn(&mut FeedbackHandler {
        placement,
        throttles: &mut lock(&shared.throttles),
        departures: &mut lock(&shared.departures),
        interrupted: &mut lock(&shared.broken),
        quarantine: &mut lock(&shared.quarantine),
    })
}

/// Does what follows from a report on a place.
fn follow<A: Adapter>(shared: &Arc<Shared<A>>, place: &Place, lesson: &Effects) {
    announce(shared, &place.server, lesson);
    if lesson.probe {
        tokio::spawn(look(Arc::clone(shared), place.clone()));
    }
}

/// Looks whether the server of a place still accepts connections.
async fn look<A: Adapter>(shared: Arc<Shared<A>>, place: Place) {
    if !ended::has_ended(place.address).await {
        lock(&shared.broken).forget(place.incarnation);
        return;
    }
    // No service of its own: an end bears on the requests that the server ran.
    let lesson =
        with_learner(&shared, "", |learner| learner.handle_crash(place.incarnation, clock::now()));
    announce(&shared, &place.server, &lesson);
}

/// Writes the log, and tells other boxes what they must hear at once.
pub fn announce<A: Adapter>(shared: &Shared<A>, server: &str, lesson: &Effects) {
    for note in &lesson.observations {
        if let Observation::Crashed(_) = note {
            shared.counters.count(Counter::ServersEnded);
        }
        record::learned(server, note);
    }
    match lesson.notify {
        Some(Audience::AllRegions) => {
            shared.alarm.notify_one();
            shared.news.notify_one();
        }
        Some(Audience::Region) => shared.news.notify_one(),
        None => {}
    }
}

/// Other boxes told of servers that leave.
pub fn hear_leaving<A: Adapter>(shared: &Shared<A>, words: &[DepartureNotice], now: Instant) {
    if words.is_empty() {
        return;
    }
    let mut services = lock(&shared.services);
    let mut departures = lock(&shared.departures);
    let news = departures.receive(words, now);
    if news.is_empty() {
        return;
    }
    for service in services.values_mut() {
        service.placement.set_leaving(|life| departures.is_leaving(life));
    }
    for life in news {
        log::info!("event=server_leaves life={life:x} by=box");
    }
}

//! Learns from servers' answers which rates they name, and asks what they have left.

use super::job::Job;
use super::shared::Service;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::placement::Place;
use crate::coordination::rendezvous;
use crate::coordination::throttle::ServiceHash;
use crate::error::Failure;
use crate::error::Kind;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Verdict;
use crate::state::clock;
use crate::state::counters::Counter;

/// What stands for a service among boxes.
pub fn service_hash(service: &str) -> ServiceHash {
    rendezvous::weight(service, "")
}

/// Takes in what the head of a server's answer says of its rate, or that it says none. One that only
/// refuses may leave it out.
pub fn learn<A: Adapter>(shared: &Shared<A>, job: &Job, place: &Place, verdict: &Verdict) {
    if verdict.rate.is_none() && !verdict.sealed {
        return;
    }
    let mut throttles = lock(&shared.throttles);
    let before = throttles.rate(place.life);
    let service = service_hash(&job.service);
    let is_news = throttles.said(place.life, service, verdict.rate, clock::now());
    drop(throttles);
    if is_news {
        shared.news.notify_one();
    }
    if before != verdict.rate {
        let (server, life, rate) = (&place.server, place.life, verdict.rate);
        log::info!(
            "event=server_rate server={server} life={life:x} rate={rate:?} before={before:?} by=answer"
        );
    }
}

/// Refuses a request for which only servers are left that get as much as they take.
pub fn refuse<A: Adapter>(shared: &Shared<A>, job: &Job) -> Failure {
    shared.counters.count(Counter::Throttled);
    let come_back = shared.with_service(&job.service, |Service { placement, .. }| {
        let service = service_hash(&job.service);
        lock(&shared.throttles).come_back(service, placement.lives(), clock::now())
    });
    let message = "the backend servers get as many requests as they take";
    let failure = Failure::new(Kind::Throttled, message);
    match come_back {
        Some(come_back) => failure.with_retry_after(come_back),
        None => failure,
    }
}

//! Asks servers whether they are cold, while neither the store nor another box
//! can tell.
//!
//! A region that is cut off, or a store that is away for all, leaves the servers
//! themselves as the only ones who know. They are asked by few boxes each, which
//! tell the others of the region. A server that none has a recent word of counts
//! as cold.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use rand::Rng;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::learning;
use super::shared::Shared;
use super::shared::lock;
use super::throttle;
use crate::coordination::feedback::ServerRef;
use crate::coordination::interrupted::ServerIncarnation;
use crate::coordination::presence;
use crate::coordination::warmup;
use crate::protocol::ServerId;
use crate::protocol::adapter::Adapter;
use crate::protocol::routing::ServiceId;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::listen::Stop;
use crate::transport::timer;

/// Longest wait for an answer; a server without a free slot answers late.
const TIMEOUT: Duration = Duration::from_millis(500);

/// A server to ask.
#[derive(Clone, Debug)]
struct Duty {
    service: ServiceId,
    server: ServerId,
    hash: u64,
    life: ServerIncarnation,
    address: SocketAddr,
    path: String,
    /// Time between questions.
    pause: Duration,
}

/// A question to a server.
struct Question {
    task: JoinHandle<()>,
    /// When the next one is due.
    next_at: Instant,
}

/// Asks until told to stop.
pub async fn ask_servers<A: Adapter>(shared: Arc<Shared<A>>, mut stop: watch::Receiver<Stop>) {
    let mut asked: HashMap<ServerId, Question> = HashMap::new();
    let mut asking = false;
    loop {
        let tick = if asking { warmup::MIN_PROBE_INTERVAL } else { warmup::MAX_PROBE_INTERVAL };
        tokio::select! {
            () = timer::sleep(tick) => {}
            _ = stop.wait_for(|stop| *stop != Stop::No) => return,
        }
        let now = clock::now();
        let aging = lock(&shared.freshness).is_aging(now);
        if aging != asking {
            asking = aging;
            log::info!("event=asking_servers asking={asking} state_ms={}", shared.state_age_ms());
        }
        asked.retain(|_, question| !question.task.is_finished() || now < question.next_at);
        if !asking {
            continue;
        }
        for duty in duties(&shared, now) {
            if asked.contains_key(&duty.server) {
                continue;
            }
            // The boxes that ask a server would do so at the same moment otherwise.
            let next_at = now + duty.pause.mul_f64(0.5 + rand::rng().random::<f64>());
            let server = duty.server.clone();
            let task = tokio::spawn(ask(Arc::clone(&shared), duty));
            asked.insert(server, Question { task, next_at });
        }
    }
}

/// The servers that this box asks.
fn duties<A: Adapter>(shared: &Shared<A>, now: Instant) -> Vec<Duty> {
    let mut duties = Vec::new();
    for (service, state) in lock(&shared.services).iter_mut() {
        let Some(path) = state.placement.health_path().map(str::to_owned) else { continue };
        duties.extend(state.placement.probe_targets(now).map(|turning| Duty {
            service: service.clone(),
            server: turning.server.clone(),
            hash: turning.hash,
            life: turning.incarnation,
            address: turning.address,
            path: path.clone(),
            pause: turning.probe_interval,
        }));
    }
    let own = presence::box_hash(&shared.settings.name);
    let freshness = lock(&shared.freshness);
    duties.retain(|duty| freshness.probes_server(own, duty.hash, now));
    duties
}

/// Asks one server, and tells the other boxes at once if it has turned cold.
async fn ask<A: Adapter>(shared: Arc<Shared<A>>, duty: Duty) {
    shared.counters.count(Counter::Probes);
    let Some(answer) = fetch(&shared, &duty).await else { return };
    let verdict = shared.adapter.verdict(answer.status(), answer.headers());
    let now = clock::now();
    let Duty { service, server, .. } = &duty;
    if verdict.instance.as_deref().is_some_and(|instance| instance != server) {
        log::info!("event=server_replaced server={server} instance={:?}", verdict.instance);
        shared.with_service(service, |state| state.placement.mark_replaced(server));
        return;
    }
    let speaker =
        ServerRef { server, incarnation: duty.life, service: throttle::service_hash(service) };
    let refused = answer.status() != StatusCode::OK;
    let lesson = learning::with_learner(&shared, service, |learner| {
        learner.handle_probe_answer(speaker, &verdict.words, refused, now)
    });
    learning::announce(&shared, server, &lesson);
}

async fn fetch<A: Adapter>(shared: &Shared<A>, duty: &Duty) -> Option<http::Response<Bytes>> {
    let request = Request::get(&duty.path).header(header::HOST, duty.address.to_string());
    let request = request
        .body(Full::default())
        .inspect_err(|error| log::error!("event=bad_health_path error=\"{error}\""))
        .ok()?;
    let answer = shared.servers.fetch(duty.address, request);
    let error = match timer::timeout(TIMEOUT, answer).await {
        Ok(Ok(answer)) => return Some(answer),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_owned(),
    };
    log::debug!("event=server_does_not_say server={} error=\"{error}\"", duty.server);
    None
}

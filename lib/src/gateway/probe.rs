//! Probes servers to find out whether they are cold, while neither the store nor another box
//! reports it.
//!
//! If a region is cut off or the store is unavailable to all boxes, only the servers themselves
//! have this information. A few boxes probe each server and report the responses to the others of
//! the region. A server without a recent response counts as cold.

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

use super::feedback;
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
use crate::transport::listen::Shutdown;
use crate::transport::timer;

/// Maximum wait for a response. A server without a free slot responds late.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Servers that a selection may look at in each tick of the probes, on average.
const SERVERS_PER_TICK: usize = 512;

/// A server to probe.
#[derive(Clone, Debug)]
struct ProbeTarget {
    service: ServiceId,
    server: ServerId,
    incarnation: ServerIncarnation,
    address: SocketAddr,
    path: String,
    /// Time between two probes.
    interval: Duration,
}

/// A probe of a server.
struct ActiveProbe {
    task: JoinHandle<()>,
    /// When the next probe is due.
    next_due_at: Instant,
}

/// Probes servers until shutdown.
pub async fn probe_servers<A: Adapter>(
    shared: Arc<Shared<A>>,
    mut stop: watch::Receiver<Shutdown>,
) {
    let mut active: HashMap<ServerId, ActiveProbe> = HashMap::new();
    let mut probing = false;
    let mut targets = Vec::new();
    let mut next_selection_at = clock::now();
    loop {
        let tick = if probing { warmup::MIN_PROBE_INTERVAL } else { warmup::MAX_PROBE_INTERVAL };
        tokio::select! {
            () = timer::sleep(tick) => {}
            _ = stop.wait_for(|stop| *stop != Shutdown::No) => return,
        }
        let now = clock::now();
        let aging = lock(&shared.freshness).is_aging(now);
        if aging != probing {
            probing = aging;
            log::info!("event=asking_servers asking={probing} state_ms={}", shared.state_age_ms());
        }
        active.retain(|_, probe| !probe.task.is_finished() || now < probe.next_due_at);
        if !probing {
            continue;
        }
        if now >= next_selection_at {
            let servers = lock(&shared.services).values().map(|state| state.placement.len()).sum();
            next_selection_at = now + selection_interval(servers);
            targets = probe_targets(&shared, now);
        }
        for target in &targets {
            if active.contains_key(&target.server) {
                continue;
            }
            // Random, because the boxes that probe a server would otherwise do so at the same
            // moment.
            let next_due_at = now + target.interval.mul_f64(0.5 + rand::rng().random::<f64>());
            let server = target.server.clone();
            let task = tokio::spawn(probe_server(Arc::clone(&shared), target.clone()));
            active.insert(server, ActiveProbe { task, next_due_at });
        }
    }
}

/// Time between two selections of the servers to probe. A selection looks at all servers of the
/// region, so it is made less often if there are many.
fn selection_interval(servers: usize) -> Duration {
    let ticks = servers.div_ceil(SERVERS_PER_TICK) as u32;
    (warmup::MIN_PROBE_INTERVAL * ticks).min(warmup::MAX_PROBE_INTERVAL)
}

/// The servers that this box probes.
fn probe_targets<A: Adapter>(shared: &Shared<A>, now: Instant) -> Vec<ProbeTarget> {
    let own_hash = presence::box_hash(&shared.settings.name);
    let mut targets = Vec::new();
    for (service, state) in lock(&shared.services).iter_mut() {
        let Some(path) = state.placement.health_path().map(str::to_owned) else { continue };
        let probed = lock(&shared.freshness).probed_servers(
            own_hash,
            state.placement.servers_to_probe(now),
            now,
        );
        targets.extend(state.placement.probe_targets(&probed, now).map(|target| ProbeTarget {
            service: service.clone(),
            server: target.server.clone(),
            incarnation: target.incarnation,
            address: target.address,
            path: path.clone(),
            interval: target.probe_interval,
        }));
    }
    targets
}

/// Probes one server. If it has turned cold, the other boxes are notified at once.
async fn probe_server<A: Adapter>(shared: Arc<Shared<A>>, target: ProbeTarget) {
    shared.counters.increment(Counter::Probes);
    let Some(response) = fetch(&shared, &target).await else { return };
    let metadata = shared.adapter.parse_response(response.status(), response.headers());
    let now = clock::now();
    let ProbeTarget { service, server, .. } = &target;
    if metadata.instance.as_deref().is_some_and(|instance| instance != server) {
        log::info!("event=server_replaced server={server} instance={:?}", metadata.instance);
        shared.with_service(service, |state| state.placement.mark_replaced(server));
        return;
    }
    let server_ref = ServerRef {
        server,
        incarnation: target.incarnation,
        service: throttle::service_hash(service),
    };
    let is_refusal = response.status() != StatusCode::OK;
    let effects = feedback::with_feedback_handler(&shared, service, |handler| {
        handler.handle_probe_response(server_ref, &metadata.server_status, is_refusal, now)
    });
    feedback::publish_effects(&shared, server, &effects);
}

async fn fetch<A: Adapter>(
    shared: &Shared<A>,
    target: &ProbeTarget,
) -> Option<http::Response<Bytes>> {
    let request = Request::get(&target.path).header(header::HOST, target.address.to_string());
    let request = request
        .body(Full::default())
        .inspect_err(|error| log::error!("event=bad_health_path error=\"{error}\""))
        .ok()?;
    let response = shared.servers.fetch(target.address, request);
    let error = match timer::timeout(PROBE_TIMEOUT, response).await {
        Ok(Ok(response)) => return Some(response),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_owned(),
    };
    log::debug!("event=server_does_not_say server={} error=\"{error}\"", target.server);
    None
}

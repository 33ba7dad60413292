//! Serves the metrics as text, one line each.

use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;

use super::shared::Shared;
use super::shared::lock;
use crate::coordination::upgrade::table::Progress;
use crate::protocol::adapter::Adapter;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::activity::RequestBody;
use crate::transport::body::NonRelayBody;
use crate::transport::body::ResponseBody;

/// Handles a request on the metrics port, whatever its path.
pub async fn handle<A: Adapter>(
    shared: Arc<Shared<A>>,
    _request: Request<RequestBody>,
) -> Response<NonRelayBody> {
    let mut response = Response::new(ResponseBody::buffered(render(&shared)));
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, text);
    response
}

fn render<A: Adapter>(shared: &Shared<A>) -> String {
    let mut text = String::new();
    for counter in Counter::ALL {
        let value = shared.counters.get(*counter);
        // Writing to a string can't fail.
        let _ = writeln!(text, "copperweir_{} {value}", counter.as_str());
    }
    let snapshot = shared.snapshot.load();
    let version = snapshot.routing.as_ref().map_or(0, |routing| routing.version);
    let _ = writeln!(text, "copperweir_in_flight {}", shared.in_flight.load(Ordering::Relaxed));
    let _ = writeln!(text, "copperweir_configuration_version {version}");
    let _ = writeln!(text, "copperweir_boxes {}", snapshot.fleet_size);
    let position = lock(&shared.freshness).version().position;
    let _ = writeln!(text, "copperweir_state_era {}", position.era);
    let _ = writeln!(text, "copperweir_state_revision {}", position.revision);
    let _ = writeln!(text, "copperweir_state_age_ms {}", shared.state_age_ms());
    let _ = writeln!(text, "copperweir_store_era {}", shared.eras.get());
    let _ = writeln!(text, "copperweir_state_keys {}", lock(&shared.replica).len());
    let upgrades = lock(&shared.upgrades).progress();
    let _ = writeln!(text, "copperweir_upgrades {}", upgrades.len());
    for upgrade in upgrades {
        let Progress { service, stage, share, responses, bad_responses, is_stopped } = upgrade;
        // Services are named by the configuration, so their names need no more escaping than this.
        let label = service.replace(['\\', '"', '\n'], "_");
        let mut write = |name: &str, value: f64| {
            let _ = writeln!(text, "copperweir_upgrade_{name}{{service=\"{label}\"}} {value}");
        };
        write("stage", f64::from(stage as u8));
        write("share", share);
        write("responses", responses as f64);
        write("bad_responses", f64::from(bad_responses));
        write("stopped", f64::from(u8::from(is_stopped)));
    }
    let refused = lock(&shared.quarantine).len();
    let _ = writeln!(text, "copperweir_quarantined_contents {refused}");
    let throttled = lock(&shared.throttles).len();
    let _ = writeln!(text, "copperweir_throttled_servers {throttled}");
    let brittle = lock(&shared.throttles).brittle_count();
    let _ = writeln!(text, "copperweir_brittle_servers {brittle}");
    let leaving = lock(&shared.departures).len();
    let _ = writeln!(text, "copperweir_leaving_servers {leaving}");
    let now = clock::now();
    let services = lock(&shared.services);
    let resting: usize = services.values().map(|service| service.placement.resting(now)).sum();
    let failing: Vec<(usize, usize)> =
        services.values().map(|service| service.placement.failing(now)).collect();
    let unreachable: usize =
        services.values().map(|service| service.placement.unreachable_servers()).sum();
    let unreachable_services =
        services.values().filter(|service| service.placement.is_unreachable()).count();
    drop(services);
    let _ = writeln!(text, "copperweir_unreachable_servers {unreachable}");
    let _ = writeln!(text, "copperweir_unreachable_services {unreachable_services}");
    let failing_servers: usize = failing.iter().map(|(failing, _)| failing).sum();
    let failing_services =
        failing.iter().filter(|(failing, usable)| *usable > 0 && failing == usable).count();
    let _ = writeln!(text, "copperweir_failing_servers {failing_servers}");
    let _ = writeln!(text, "copperweir_services_without_healthy_servers {failing_services}");
    let _ = writeln!(text, "copperweir_resting_servers {resting}");
    shared.latencies.write_metrics(&mut text);
    text
}

//! `copperweir demo`

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use copperweir_lib::daemon::Daemon;
use copperweir_lib::operators::apply::apply;
use copperweir_lib::protocol::config::check::Files;
use copperweir_lib::protocol::settings::Settings;
use copperweir_lib::state::counters::Counters;
use copperweir_lib::transport::platform::Platform as Store;
use copperweir_standin::engine::Engine;
use copperweir_standin::engine::Speed;
use copperweir_standin::platform::Platform;
use copperweir_standin::service::Service;
use lexopt::Arg;
use lexopt::Parser;
use tokio::runtime::Runtime;

use super::serve::parse_address;
use super::serve::start_logger;
use super::serve::stop_on_signals;
use super::serve::stop_result;
use super::stand_in::bind;
use crate::error::CommandError;

pub const HELP: &str = "\
Run one box with stand-ins for all other services

Usage: copperweir demo [--listen <address>]

Options:
  --listen <address>  Address for callers (127.0.0.1:8080)
";

const DEFAULT_LISTEN: ([u8; 4], u16) = ([127, 0, 0, 1], 8080);
/// Loopback address whose port the system chooses.
const ANY_LOOPBACK_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// Time between two tokens of the demo's engines.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time to wait for the box to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a stopping box stays open after announcing that it is leaving. It can be short because
/// no other box or caller learns of the demo's box from a list.
const STOP_GRACE_MS: u64 = 100;

struct StandIns {
    platform: SocketAddr,
    engines: [SocketAddr; 2],
    service: SocketAddr,
}

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    let mut listen = SocketAddr::from(DEFAULT_LISTEN);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("listen") => listen = parse_address(&mut parser)?,
            Arg::Short('h') | Arg::Long("help") => return super::print_help(HELP),
            other => return Err(other.unexpected().into()),
        }
    }
    let _logger = start_logger("warn")?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("cannot start the stand-ins")?;
    let stand_ins = runtime.block_on(start_stand_ins())?;
    let settings = Settings::parse("demo settings", &settings_json(listen, stand_ins.platform))?;
    let daemon = Daemon::start(settings)?;
    apply_configuration(&runtime, &stand_ins)?;
    wait_until_ready(&daemon)?;
    print!("{}", welcome_message(daemon.addresses().callers));
    stop_on_signals(daemon.stop_handle())?;
    stop_result(daemon.wait())
}

async fn start_stand_ins() -> Result<StandIns, CommandError> {
    let any_port = SocketAddr::from(ANY_LOOPBACK_PORT);
    let speed = Speed { token_interval: TOKEN_INTERVAL, ..Speed::default() };
    let (platform, first, second, service) =
        (bind(any_port)?, bind(any_port)?, bind(any_port)?, bind(any_port)?);
    let stand_ins = StandIns {
        platform: platform.local_addr()?,
        engines: [first.local_addr()?, second.local_addr()?],
        service: service.local_addr()?,
    };
    tokio::spawn(Platform::default().serve(platform));
    tokio::spawn(Engine::new(speed).serve(first));
    tokio::spawn(Engine::new(speed).serve(second));
    tokio::spawn(Service::default().serve(service));
    Ok(stand_ins)
}

fn settings_json(listen: SocketAddr, platform: SocketAddr) -> String {
    format!(
        r#"{{
            "box": "demo", "region": "here", "failure_domain": "a",
            "callers": "{listen}", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0",
            "platform": "{platform}", "peer_secret": "a secret for the demo",
            "stop_grace_ms": {STOP_GRACE_MS}
        }}"#
    )
}

fn configuration_json(stand_ins: &StandIns) -> String {
    let StandIns { engines: [first, second], service, .. } = stand_ins;
    format!(
        r#"{{
            "regions": {{"here": {{"failure_domains": ["a"]}}}},
            "pools": {{"demo-pool": {{"servers": {{
                "engine-1": {{"region": "here", "failure_domain": "a", "address": "{first}", "checks_epochs": true}},
                "engine-2": {{"region": "here", "failure_domain": "a", "address": "{second}", "checks_epochs": true}}
            }}}}}},
            "models": {{"demo-model": {{"pool": "demo-pool", "version": "1"}}}},
            "services": {{"intake": {{
                "servers": {{"intake-1": {{"region": "here", "failure_domain": "a", "address": "{service}"}}}},
                "not_repeatable": [{{"method": "POST", "path": "/filings"}}]
            }}}},
            "teams": {{"anyone": {{"anonymous": true, "models": ["*"], "services": ["*"], "max_priority": "high"}}}},
            "objectives": {{"demo-first-token": {{"pool": "demo-pool", "target": 0.95, "first_byte_ms": 1400}}}}
        }}"#
    )
}

fn apply_configuration(runtime: &Runtime, stand_ins: &StandIns) -> Result<(), CommandError> {
    let store = Store::new(stand_ins.platform, Arc::new(Counters::default()));
    let files = Files::from([("demo.jsonc".to_owned(), configuration_json(stand_ins))]);
    runtime.block_on(apply(&store, &files, "demo"))?;
    Ok(())
}

fn wait_until_ready(daemon: &Daemon) -> Result<(), CommandError> {
    let attempts = READY_TIMEOUT.as_millis() / READY_POLL_INTERVAL.as_millis();
    for _ in 0..attempts {
        if daemon.is_ready() {
            return Ok(());
        }
        std::thread::sleep(READY_POLL_INTERVAL);
    }
    Err(anyhow::anyhow!("the box did not become ready").into())
}

fn welcome_message(callers: SocketAddr) -> String {
    format!(
        r#"copperweir demo: one box at http://{callers}, with two engines and a service. Press Ctrl-C to stop it.

A streamed completion:
  curl -sN http://{callers}/v1/chat/completions -H 'content-type: application/json' -d '{{"model":"demo-model","stream":true,"max_tokens":20,"messages":[{{"role":"user","content":"fault 17"}}]}}'

The boxes to use, and a ticket for a request that must run at most once:
  curl -s http://{callers}/v1/boxes

A filing that must not run twice, sent twice with the same key:
  for i in 1 2; do curl -s http://{callers}/services/intake/filings -H 'idempotency-key: my-key' -d '{{"id":"f-1"}}'; echo; done; curl -s http://{callers}/services/intake/filings/f-1; echo
"#
    )
}

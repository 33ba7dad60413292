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

use super::serve::address;
use super::serve::ended;
use super::serve::start_logger;
use super::serve::stop_on_signals;
use super::stand_in::bind;
use crate::error::CommandError;

pub const HELP: &str = "\
Run one box with stand-ins, to try it out

Usage: copperweir demo [--listen <address>]

Options:
  --listen <address>  Where callers connect (127.0.0.1:8080)
";

const DEFAULT_LISTEN: ([u8; 4], u16) = ([127, 0, 0, 1], 8080);
const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// Time between tokens of the demo's engines.
const TOKEN: Duration = Duration::from_millis(20);
/// Longest wait for the box to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL: Duration = Duration::from_millis(20);
/// A box that nobody else is told of need not wait before it closes.
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
            Arg::Long("listen") => listen = address(&mut parser)?,
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
    let settings = Settings::parse("demo settings", &settings(listen, stand_ins.platform))?;
    let daemon = Daemon::start(settings)?;
    configure(&runtime, &stand_ins)?;
    wait_until_ready(&daemon)?;
    print!("{}", welcome(daemon.addresses().callers));
    stop_on_signals(daemon.stop_handle())?;
    ended(daemon.wait())
}

async fn start_stand_ins() -> Result<StandIns, CommandError> {
    let any = SocketAddr::from(ANY_PORT);
    let speed = Speed { token_interval: TOKEN, ..Speed::default() };
    let (platform, first, second, service) = (bind(any)?, bind(any)?, bind(any)?, bind(any)?);
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

fn settings(listen: SocketAddr, platform: SocketAddr) -> String {
    format!(
        r#"{{
            "box": "demo", "region": "here", "failure_domain": "a",
            "callers": "{listen}", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0",
            "platform": "{platform}", "peer_secret": "a secret for the demo",
            "stop_grace_ms": {STOP_GRACE_MS}
        }}"#
    )
}

fn configuration(stand_ins: &StandIns) -> String {
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

fn configure(runtime: &Runtime, stand_ins: &StandIns) -> Result<(), CommandError> {
    let store = Store::new(stand_ins.platform, Arc::new(Counters::default()));
    let files = Files::from([("demo.jsonc".to_owned(), configuration(stand_ins))]);
    runtime.block_on(apply(&store, &files, "demo"))?;
    Ok(())
}

fn wait_until_ready(daemon: &Daemon) -> Result<(), CommandError> {
    let tries = READY_TIMEOUT.as_millis() / READY_POLL.as_millis();
    for _ in 0..tries {
        if daemon.is_ready() {
            return Ok(());
        }
        std::thread::sleep(READY_POLL);
    }
    Err(anyhow::anyhow!("the box did not become ready").into())
}

fn welcome(callers: SocketAddr) -> String {
    format!(
        r#"copperweir demo: one box at http://{callers}, with two engines and a service. Ctrl-C ends it.

A completion, token by token:
  curl -sN http://{callers}/v1/chat/completions -H 'content-type: application/json' -d '{{"model":"demo-model","stream":true,"max_tokens":20,"messages":[{{"role":"user","content":"fault 17"}}]}}'

Which box to use, and a ticket to run something at most once:
  curl -s http://{callers}/v1/boxes

A filing that may not be doubled, sent twice with one key:
  for i in 1 2; do curl -s http://{callers}/services/intake/filings -H 'idempotency-key: my-key' -d '{{"id":"f-1"}}'; echo; done; curl -s http://{callers}/services/intake/filings/f-1; echo
"#
    )
}

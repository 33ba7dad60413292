//! `copperweir stand-in`

use std::net::SocketAddr;
use std::time::Duration;

use copperweir_standin::engine::Engine;
use copperweir_standin::engine::Speed;
use copperweir_standin::http1;
use copperweir_standin::link::Link;
use copperweir_standin::platform::Platform;
use copperweir_standin::service::Service;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use tokio::net::TcpListener;

use super::serve::address;
use crate::client;
use crate::error::CommandError;

pub const HELP: &str = "\
Run a stand-in of what copperweir meets

Usage: copperweir stand-in <platform|engine|service|link> --listen <address>...

Options:
  --listen <address>   Where to listen; several addresses of a service share
                       their filings, each one of `engine` is an engine
  --to <address>       Where the link of the latest --listen goes
  --delay-ms <number>  Time that a link takes, one way (0)
  --slots <number>     Requests that an engine runs at once (8)
  --token-us <number>  Time between an engine's tokens, microseconds (2000)
  --prefill-us <n>     Time to read 1,000 bytes of a new prompt, microseconds (5000)

Each takes POST /control with a JSON object that tells it how to fail.
";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    let mut kind = None;
    let mut listen = Vec::new();
    let mut speed = Speed::default();
    let mut to = Vec::new();
    let mut delay = Duration::ZERO;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("listen") => listen.push(address(&mut parser)?),
            Arg::Long("to") => to.push(address(&mut parser)?),
            Arg::Long("delay-ms") => delay = Duration::from_millis(parser.value()?.parse()?),
            Arg::Long("slots") => speed.slots = parser.value()?.parse()?,
            Arg::Long("token-us") => {
                speed.token_interval = Duration::from_micros(parser.value()?.parse()?)
            }
            Arg::Long("prefill-us") => {
                speed.prefill_per_1000_bytes = Duration::from_micros(parser.value()?.parse()?);
            }
            Arg::Value(value) if kind.is_none() => kind = Some(value.string()?),
            Arg::Short('h') | Arg::Long("help") => return super::print_help(HELP),
            other => return Err(other.unexpected().into()),
        }
    }
    let kind = kind.ok_or_else(|| CommandError::Usage("expected a kind of stand-in".to_owned()))?;
    if listen.is_empty() {
        return Err(CommandError::Usage("--listen is missing".to_owned()));
    }
    if kind == "link" {
        if listen.len() != to.len() {
            let message = "a link takes as many --to as --listen".to_owned();
            return Err(CommandError::Usage(message));
        }
        return client::runtime()?.block_on(serve_links(&listen, &to, delay));
    }
    client::runtime()?.block_on(serve(&kind, &listen, speed))
}

async fn serve_links(
    listen: &[SocketAddr],
    to: &[SocketAddr],
    delay: Duration,
) -> Result<(), CommandError> {
    for (listen, to) in listen.iter().zip(to) {
        let listener = bind(*listen)?;
        tokio::spawn(Link::new(delay).serve(listener, *to));
    }
    std::future::pending().await
}

async fn serve(kind: &str, listen: &[SocketAddr], speed: Speed) -> Result<(), CommandError> {
    let mut listeners = Vec::new();
    for address in listen {
        listeners.push(bind(*address)?);
    }
    let (platform, service) = (Platform::default(), Service::default());
    for listener in listeners {
        match kind {
            "platform" => drop(tokio::spawn(platform.serve(listener))),
            "service" => drop(tokio::spawn(service.serve(listener))),
            "engine" => drop(tokio::spawn(Engine::new(speed).serve(listener))),
            other => {
                let message = format!("there is no stand-in \"{other}\"");
                return Err(CommandError::Usage(message));
            }
        }
    }
    std::future::pending().await
}

/// Opens a port for a stand-in.
pub fn bind(address: SocketAddr) -> Result<TcpListener, CommandError> {
    let bound = http1::bind(address);
    let (listener, _) = bound
        .map_err(|error| CommandError::Listen(format!("cannot listen on {address}: {error}")))?;
    Ok(listener)
}

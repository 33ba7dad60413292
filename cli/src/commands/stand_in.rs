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

use super::serve::parse_address;
use crate::client;
use crate::error::CommandError;

pub const HELP: &str = "\
Run a stand-in for a service that copperweir uses

Usage: copperweir stand-in <platform|engine|service|link> --listen <address>...

Options:
  --listen <address>   Address to listen on; may be repeated. The addresses of a
                       `service` share its filings, each address of `engine`
                       is an engine of its own
  --to <address>       Destination of a link, one for each --listen in order
  --delay-ms <number>  One-way latency of a link, milliseconds (0)
  --slots <number>     Maximum number of concurrent requests of an engine (8)
  --token-us <number>  Time between two tokens of an engine, microseconds (2000)
  --prefill-us <n>     Time to process 1,000 bytes of a new prompt, microseconds
                       (5000)

Each stand-in accepts POST /control with a JSON object of faults to inject.
";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    let mut kind = None;
    let mut listen_addresses = Vec::new();
    let mut speed = Speed::default();
    let mut destinations = Vec::new();
    let mut delay = Duration::ZERO;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("listen") => listen_addresses.push(parse_address(&mut parser)?),
            Arg::Long("to") => destinations.push(parse_address(&mut parser)?),
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
    let kind = kind.ok_or_else(|| {
        CommandError::Usage("expected platform, engine, service or link".to_owned())
    })?;
    if listen_addresses.is_empty() {
        return Err(CommandError::Usage("--listen is missing".to_owned()));
    }
    if kind == "link" {
        if listen_addresses.len() != destinations.len() {
            let message = "a link needs one --to for each --listen".to_owned();
            return Err(CommandError::Usage(message));
        }
        return client::runtime()?.block_on(serve_links(&listen_addresses, &destinations, delay));
    }
    client::runtime()?.block_on(serve(&kind, &listen_addresses, speed))
}

async fn serve_links(
    listen_addresses: &[SocketAddr],
    destinations: &[SocketAddr],
    delay: Duration,
) -> Result<(), CommandError> {
    for (address, destination) in listen_addresses.iter().zip(destinations) {
        let listener = bind(*address)?;
        tokio::spawn(Link::new(delay).serve(listener, *destination));
    }
    std::future::pending().await
}

async fn serve(
    kind: &str,
    listen_addresses: &[SocketAddr],
    speed: Speed,
) -> Result<(), CommandError> {
    let mut listeners = Vec::new();
    for address in listen_addresses {
        listeners.push(bind(*address)?);
    }
    let (platform, service) = (Platform::default(), Service::default());
    for listener in listeners {
        match kind {
            "platform" => drop(tokio::spawn(platform.serve(listener))),
            "service" => drop(tokio::spawn(service.serve(listener))),
            "engine" => drop(tokio::spawn(Engine::new(speed).serve(listener))),
            other => {
                let message = format!("unknown stand-in \"{other}\"");
                return Err(CommandError::Usage(message));
            }
        }
    }
    std::future::pending().await
}

/// Opens a listening socket for a stand-in.
pub fn bind(address: SocketAddr) -> Result<TcpListener, CommandError> {
    let result = http1::bind(address);
    let (listener, _) = result
        .map_err(|error| CommandError::Listen(format!("cannot listen on {address}: {error}")))?;
    Ok(listener)
}

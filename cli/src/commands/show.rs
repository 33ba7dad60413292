//! `copperweir show`

use std::net::SocketAddr;

use anyhow::Context;
use copperweir_lib::daemon::operator_api::Status;
use copperweir_lib::protocol::config::document::Document;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use super::serve::parse_address;
use crate::client;
use crate::error::CommandError;
use crate::output::Format;
use crate::output::table;

pub const HELP: &str = "\
Show the state of a box

Usage: copperweir show --box <operators' address> [status|configuration|counters]

Options:
  --box <address>       Address of the operator API of a box
  --key <key>           The operators' key, if the box requires one
  --format <text|json>  Output format
";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    let mut target: Option<SocketAddr> = None;
    let mut key = None;
    let mut format = Format::Text;
    let mut view = "status".to_owned();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("box") => target = Some(parse_address(&mut parser)?),
            Arg::Long("key") => key = Some(parser.value()?.string()?),
            Arg::Long("format") => format = parser.value()?.parse()?,
            Arg::Value(value) => view = value.string()?,
            Arg::Short('h') | Arg::Long("help") => return super::print_help(HELP),
            other => return Err(other.unexpected().into()),
        }
    }
    let target = target.ok_or_else(|| CommandError::Usage("--box is missing".to_owned()))?;
    let path = match view.as_str() {
        "status" | "configuration" | "counters" => format!("/{view}"),
        other => return Err(CommandError::Usage(format!("cannot show \"{other}\""))),
    };
    let body = client::runtime()?.block_on(client::get(target, &path, key.as_deref()))?;
    if format == Format::Json || view == "counters" {
        println!("{}", String::from_utf8_lossy(&body).trim_end());
        return Ok(());
    }
    match view.as_str() {
        "configuration" => print_configuration(&body),
        _ => print_status(&body),
    }
}

fn print_configuration(body: &[u8]) -> Result<(), CommandError> {
    if body.is_empty() {
        println!("no configuration yet");
        return Ok(());
    }
    let document = Document::decode(body)?;
    println!("// version {}", document.version);
    for (name, text) in &document.files {
        println!("// file {name}\n{}", text.trim_end());
    }
    Ok(())
}

fn print_status(body: &[u8]) -> Result<(), CommandError> {
    let status: Status = serde_json::from_slice(body).context("cannot parse the box's response")?;
    println!(
        "{} in {}: {}, version {}, up {} s, {} requests in progress, {} keys",
        status.name,
        status.region,
        if status.ready { status.stage.as_str() } else { "not ready" },
        status.version,
        status.uptime_s,
        status.in_flight,
        status.keys,
    );
    let boxes: Vec<Vec<String>> = status
        .boxes
        .into_iter()
        .map(|row| vec![row.name, row.region, row.callers, row.phase, row.version.to_string()])
        .collect();
    println!("\n{}", table(&["box", "region", "callers", "phase", "version"], &boxes));
    let pools: Vec<Vec<String>> = status
        .pools
        .into_iter()
        .map(|row| {
            let counts =
                [row.in_flight.to_string(), row.waiting.to_string(), row.spare.to_string()];
            std::iter::once(row.name).chain(counts).collect()
        })
        .collect();
    println!("\n{}", table(&["pool", "in flight", "waiting", "spare"], &pools));
    for (invariant, count) in status.breaches {
        println!("\nBROKEN INVARIANT {invariant}: {count} times");
    }
    Ok(())
}

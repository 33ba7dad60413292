//! `copperweir boxes`

use anyhow::Context;
use copperweir_lib::protocol::caller::BoxesResponse;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use super::serve::parse_address;
use crate::client;
use crate::error::CommandError;
use crate::output::Format;
use crate::output::table;

pub const HELP: &str = "\
List the boxes that callers can use

Usage: copperweir boxes --at <callers' address>

Options:
  --at <address>        Address of the caller API of any box
  --key <key>           A team's key, if the configuration requires one
  --format <text|json>  Output format
";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    let mut target = None;
    let mut key = None;
    let mut format = Format::Text;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("at") => target = Some(parse_address(&mut parser)?),
            Arg::Long("key") => key = Some(parser.value()?.string()?),
            Arg::Long("format") => format = parser.value()?.parse()?,
            Arg::Short('h') | Arg::Long("help") => return super::print_help(HELP),
            other => return Err(other.unexpected().into()),
        }
    }
    let target = target.ok_or_else(|| CommandError::Usage("--at is missing".to_owned()))?;
    let body = client::runtime()?.block_on(client::get(target, "/v1/boxes", key.as_deref()))?;
    if format == Format::Json {
        println!("{}", String::from_utf8_lossy(&body));
        return Ok(());
    }
    let boxes: BoxesResponse =
        serde_json::from_slice(&body).context("cannot parse the box's response")?;
    let rows: Vec<Vec<String>> = boxes
        .boxes
        .into_iter()
        .map(|row| {
            vec![row.name, row.region, row.failure_domain, row.address, row.weight.to_string()]
        })
        .collect();
    println!("{}", table(&["box", "region", "failure domain", "address", "weight"], &rows));
    println!("\nvalid for {} ms; ticket of {}: {}", boxes.valid_ms, boxes.ticket_box, boxes.ticket);
    Ok(())
}

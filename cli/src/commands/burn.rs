//! `copperweir burn`

use std::net::SocketAddr;

use anyhow::Context;
use copperweir_lib::state::burn::BurnReport;
use copperweir_lib::state::burn::ObjectiveBurn;
use copperweir_lib::state::burn::WINDOWS;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use super::serve::parse_address;
use crate::client;
use crate::error::CommandError;
use crate::output::Format;
use crate::output::table;

pub const HELP: &str = "\
Report error budget burn rates

Usage: copperweir burn --box <operators' address>...

Options:
  --box <address>       Address of the operator API of a box; may be repeated
  --key <key>           The operators' key, if the boxes require one
  --format <text|json>  Output format

A burn rate of 1 uses up exactly the error budget; above 1, the objective will
be missed if the rate continues. The counts of all boxes are added up. Each box
counts from its own start; the report shows the shortest of these periods.
";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    let mut targets = Vec::new();
    let mut key = None;
    let mut format = Format::Text;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("box") => targets.push(parse_address(&mut parser)?),
            Arg::Long("key") => key = Some(parser.value()?.string()?),
            Arg::Long("format") => format = parser.value()?.parse()?,
            Arg::Short('h') | Arg::Long("help") => return super::print_help(HELP),
            other => return Err(other.unexpected().into()),
        }
    }
    if targets.is_empty() {
        return Err(CommandError::Usage("--box is missing".to_owned()));
    }
    let mut merged = BurnReport::default();
    let mut shortest_period_s = u64::MAX;
    let mut unreachable = Vec::new();
    let runtime = client::runtime()?;
    for target in &targets {
        match runtime.block_on(fetch_report(*target, key.as_deref())) {
            Ok(report) => {
                shortest_period_s = shortest_period_s.min(report.since_s);
                merged.merge(&report);
            }
            Err(CommandError::Unreachable(_)) => unreachable.push(target.to_string()),
            Err(error) => return Err(error),
        }
    }
    if unreachable.len() == targets.len() {
        return Err(CommandError::Unreachable("no box responded".to_owned()));
    }
    merged.name = format!("{} boxes", targets.len() - unreachable.len());
    merged.since_s = shortest_period_s;
    match format {
        Format::Json => println!("{}", serde_json::json!(merged)),
        Format::Text => print_report(&merged),
    }
    if !unreachable.is_empty() {
        eprintln!("Warning: no response, not counted: {}", unreachable.join(", "));
    }
    Ok(())
}

async fn fetch_report(target: SocketAddr, key: Option<&str>) -> Result<BurnReport, CommandError> {
    let body = client::get(target, "/burn", key).await?;
    Ok(serde_json::from_slice(&body).context("cannot parse the box's response")?)
}

fn print_report(report: &BurnReport) {
    let format_cell = |row: &ObjectiveBurn, window: usize| {
        let count = row.windows.get(window).copied().unwrap_or_default();
        format!("{:.2} ({}/{})", count.burn_rate(row.target), count.bad, count.total)
    };
    let rows: Vec<Vec<String>> = report
        .rows
        .iter()
        .map(|row| {
            let mut cells = vec![row.objective.clone(), row.pool.clone(), row.target.to_string()];
            cells.extend((0..WINDOWS.len()).map(|window| format_cell(row, window)));
            cells
        })
        .collect();
    println!("{}", table(&["objective", "pool", "target", "5 min", "1 h", "6 h"], &rows));
    println!(
        "\nburn rate (bad/total) of {}; shortest counting period {} s",
        report.name, report.since_s
    );
}

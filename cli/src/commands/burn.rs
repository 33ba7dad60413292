//! `copperweir burn`

use std::net::SocketAddr;

use anyhow::Context;
use copperweir_lib::state::burn::BurnReport;
use copperweir_lib::state::burn::ObjectiveBurn;
use copperweir_lib::state::burn::WINDOWS;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use super::serve::address;
use crate::client;
use crate::error::CommandError;
use crate::output::Format;
use crate::output::table;

pub const HELP: &str = "\
Report service-level burn

Usage: copperweir burn --box <operators' address>...

Options:
  --box <address>       The operators' port of a box; may stand several times
  --key <key>           The operators' key, where the boxes ask for one
  --format <text|json>  Form of the output

A burn rate of 1 spends just the error budget; over 1, the objective will be
missed if it goes on. Counts of all boxes are added up. A box counts from its
own start: the report says how far back the youngest one reaches.
";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    let mut targets = Vec::new();
    let mut key = None;
    let mut format = Format::Text;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("box") => targets.push(address(&mut parser)?),
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
    let mut youngest = u64::MAX;
    let mut silent = Vec::new();
    let runtime = client::runtime()?;
    for target in &targets {
        match runtime.block_on(report(*target, key.as_deref())) {
            Ok(report) => {
                youngest = youngest.min(report.since_s);
                merged.merge(&report);
            }
            Err(CommandError::Unreachable(_)) => silent.push(target.to_string()),
            Err(error) => return Err(error),
        }
    }
    if silent.len() == targets.len() {
        return Err(CommandError::Unreachable("no box answered".to_owned()));
    }
    merged.name = format!("{} boxes", targets.len() - silent.len());
    merged.since_s = youngest;
    match format {
        Format::Json => println!("{}", serde_json::json!(merged)),
        Format::Text => print(&merged),
    }
    if !silent.is_empty() {
        eprintln!("Warning: not counted, no answer: {}", silent.join(", "));
    }
    Ok(())
}

async fn report(target: SocketAddr, key: Option<&str>) -> Result<BurnReport, CommandError> {
    let body = client::get(target, "/burn", key).await?;
    Ok(serde_json::from_slice(&body).context("the box's answer cannot be read")?)
}

fn print(report: &BurnReport) {
    let cell = |row: &ObjectiveBurn, window: usize| {
        let count = row.windows.get(window).copied().unwrap_or_default();
        format!("{:.2} ({}/{})", count.burn_rate(row.target), count.bad, count.total)
    };
    let rows: Vec<Vec<String>> = report
        .rows
        .iter()
        .map(|row| {
            let mut cells = vec![row.objective.clone(), row.pool.clone(), row.target.to_string()];
            cells.extend((0..WINDOWS.len()).map(|window| cell(row, window)));
            cells
        })
        .collect();
    println!("{}", table(&["objective", "pool", "target", "5 min", "1 h", "6 h"], &rows));
    println!("\nburn rate (bad/all) of {}; counts reach back {} s", report.name, report.since_s);
}

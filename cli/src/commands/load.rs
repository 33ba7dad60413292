//! `copperweir load`

use std::time::Duration;

use anyhow::Context;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use super::serve::parse_address;
use crate::error::CommandError;
use crate::load;
use crate::load::LoadMode;
use crate::load::LoadPlan;
use crate::load::mix::Mix;
use crate::load::report;
use crate::output::Format;

pub const HELP: &str = "\
Generate load on boxes and report the results

Usage: copperweir load --at <callers' address>... [options]

Options:
  --at <address>        Address to send requests to; may be repeated, and requests
                        then go to the addresses in turn
  --vs <address>        Address to compare with, such as an engine; every other
                        request goes there
  --key <key>           A team's key
  --mix <name>          Request mix: utility, tickets, plain or stream (plain)
  --model <name>        Model for completions (demo-model)
  --tokens <number>     Number of tokens of every completion
  --rate <number>       Requests per second, open loop, Poisson arrivals (50)
  --concurrency <n>     Concurrent requests, closed loop, instead of --rate
  --seconds <number>    Duration in seconds (10)
  --seed <number>       Seed of arrival times and requests (1)
  --format <text|json>  Output format
";

/// Maximum duration of a run, so that every run ends.
const MAX_SECONDS: u64 = 3600;
const MAX_CONCURRENCY: usize = 10_000;

struct Options {
    plan: LoadPlan,
    compares: bool,
    format: Format,
}

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), CommandError> {
    let Some(Options { plan, compares, format }) = parse_options(parser)? else {
        return super::print_help(HELP);
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("cannot start the load generator")?;
    let targets: Vec<String> = plan.targets.iter().map(ToString::to_string).collect();
    let (mix, duration) = (plan.mix.clone(), plan.duration);
    let samples = runtime.block_on(load::run(plan));
    if samples.is_empty() {
        return Err(CommandError::Unreachable("no request was sent".to_owned()));
    }
    let rows = report::summarize(&samples, &mix);
    match format {
        Format::Json => println!("{}", report::json(&rows, &targets)),
        Format::Text => {
            print!("{}", report::text(&rows, &targets, duration));
            if compares {
                print!("\n{}", report::latency_differences(&rows));
            }
        }
    }
    Ok(())
}

fn parse_options(mut parser: Parser) -> Result<Option<Options>, CommandError> {
    let mut targets = Vec::new();
    let (mut vs, mut key, mut tokens) = (None, None, None);
    let (mut mix, mut model) = ("plain".to_owned(), "demo-model".to_owned());
    let mut mode = LoadMode::Rate(50.0);
    let (mut seconds, mut seed) = (10, 1);
    let mut format = Format::Text;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("at") => targets.push(parse_address(&mut parser)?),
            Arg::Long("vs") => vs = Some(parse_address(&mut parser)?),
            Arg::Long("key") => key = Some(parser.value()?.string()?),
            Arg::Long("mix") => mix = parser.value()?.string()?,
            Arg::Long("model") => model = parser.value()?.string()?,
            Arg::Long("tokens") => tokens = Some(parser.value()?.parse()?),
            Arg::Long("rate") => mode = LoadMode::Rate(parser.value()?.parse()?),
            Arg::Long("concurrency") => mode = LoadMode::Concurrency(parser.value()?.parse()?),
            Arg::Long("seconds") => seconds = parser.value()?.parse()?,
            Arg::Long("seed") => seed = parser.value()?.parse()?,
            Arg::Long("format") => format = parser.value()?.parse()?,
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    let usage = |text: &str| CommandError::Usage(text.to_owned());
    if targets.is_empty() {
        return Err(usage("--at is missing"));
    }
    if vs.is_some() && targets.len() > 1 {
        return Err(usage("--vs compares one --at with another address"));
    }
    if !(1..=MAX_SECONDS).contains(&seconds) {
        return Err(usage("--seconds: expected 1 to 3600"));
    }
    match mode {
        LoadMode::Rate(rate) if !(rate > 0.0 && rate.is_finite()) => {
            return Err(usage("--rate: expected a number above 0"));
        }
        LoadMode::Concurrency(count) if !(1..=MAX_CONCURRENCY).contains(&count) => {
            return Err(usage("--concurrency: expected 1 to 10000"));
        }
        _ => {}
    }
    targets.extend(vs);
    let mix = Mix::by_name(&mix, &model, tokens).ok_or_else(|| usage("--mix: unknown mix"))?;
    let duration = Duration::from_secs(seconds);
    let plan = LoadPlan { targets, key, mix, duration, mode, seed };
    Ok(Some(Options { plan, compares: vs.is_some(), format }))
}

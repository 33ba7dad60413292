//! `copperweir load`

use std::time::Duration;

use anyhow::Context;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use super::serve::address;
use crate::error::CommandError;
use crate::load;
use crate::load::Pace;
use crate::load::Plan;
use crate::load::mix::Mix;
use crate::load::report;
use crate::output::Format;

pub const HELP: &str = "\
Put load on boxes and report what came of it

Usage: copperweir load --at <callers' address>... [options]

Options:
  --at <address>        Where to; requests go to several addresses in turn
  --vs <address>        Compare with this address (an engine itself, say): every
                        other request goes there
  --key <key>           A team's key
  --mix <name>          utility, tickets, plain or stream (plain)
  --model <name>        Model of completions (demo-model)
  --tokens <number>     Tokens of every completion
  --rate <number>       Requests a second, open loop, Poisson arrivals (50)
  --concurrency <n>     Requests at any time, closed loop, in place of --rate
  --seconds <number>    How long (10)
  --seed <number>       Seed of arrivals and kinds (1)
  --format <text|json>  Form of the output
";

/// Longest run, so that a load always ends.
const MOST_SECONDS: u64 = 3600;
const MOST_CONCURRENCY: usize = 10_000;

struct Options {
    plan: Plan,
    compare: bool,
    format: Format,
}

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), CommandError> {
    let Some(Options { plan, compare, format }) = options(parser)? else {
        return super::print_help(HELP);
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("cannot start the load")?;
    let targets: Vec<String> = plan.targets.iter().map(ToString::to_string).collect();
    let (mix, length) = (plan.mix.clone(), plan.length);
    let samples = runtime.block_on(load::run(plan));
    if samples.is_empty() {
        return Err(CommandError::Unreachable("not one request was sent".to_owned()));
    }
    let lines = report::lines(&samples, &mix);
    match format {
        Format::Json => println!("{}", report::json(&lines, &targets)),
        Format::Text => {
            print!("{}", report::text(&lines, &targets, length));
            if compare {
                print!("\n{}", report::added(&lines));
            }
        }
    }
    Ok(())
}

fn options(mut parser: Parser) -> Result<Option<Options>, CommandError> {
    let mut targets = Vec::new();
    let (mut vs, mut key, mut tokens) = (None, None, None);
    let (mut mix, mut model) = ("plain".to_owned(), "demo-model".to_owned());
    let mut pace = Pace::Rate(50.0);
    let (mut seconds, mut seed) = (10, 1);
    let mut format = Format::Text;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("at") => targets.push(address(&mut parser)?),
            Arg::Long("vs") => vs = Some(address(&mut parser)?),
            Arg::Long("key") => key = Some(parser.value()?.string()?),
            Arg::Long("mix") => mix = parser.value()?.string()?,
            Arg::Long("model") => model = parser.value()?.string()?,
            Arg::Long("tokens") => tokens = Some(parser.value()?.parse()?),
            Arg::Long("rate") => pace = Pace::Rate(parser.value()?.parse()?),
            Arg::Long("concurrency") => pace = Pace::Concurrency(parser.value()?.parse()?),
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
    if !(1..=MOST_SECONDS).contains(&seconds) {
        return Err(usage("--seconds: expected 1 to 3600"));
    }
    match pace {
        Pace::Rate(rate) if !(rate > 0.0 && rate.is_finite()) => {
            return Err(usage("--rate: expected a number over 0"));
        }
        Pace::Concurrency(count) if !(1..=MOST_CONCURRENCY).contains(&count) => {
            return Err(usage("--concurrency: expected 1 to 10000"));
        }
        _ => {}
    }
    targets.extend(vs);
    let mix = Mix::named(&mix, &model, tokens).ok_or_else(|| usage("--mix: no such mix"))?;
    let length = Duration::from_secs(seconds);
    let plan = Plan { targets, key, mix, length, pace, seed };
    Ok(Some(Options { plan, compare: vs.is_some(), format }))
}

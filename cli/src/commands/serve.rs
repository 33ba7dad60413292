//! `copperweir serve`

use std::path::PathBuf;

use anyhow::Context;
use copperweir_lib::daemon::Daemon;
use copperweir_lib::daemon::StopHandle;
use copperweir_lib::daemon::StopOutcome;
use copperweir_lib::protocol::settings::Settings;
use flexi_logger::DeferredNow;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::error::CommandError;

pub const HELP: &str = "\
Run one box

Usage: copperweir serve --settings <file>

Options:
  --settings <file>  Settings file of the box, JSON with comments
  --check            Check the settings and exit

SIGTERM or SIGINT stops the box after all requests in progress have completed;
a second one stops it immediately.
";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    let mut path: Option<PathBuf> = None;
    let mut check_only = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("settings") => path = Some(parser.value()?.into()),
            Arg::Long("check") => check_only = true,
            Arg::Short('h') | Arg::Long("help") => return super::print_help(HELP),
            other => return Err(other.unexpected().into()),
        }
    }
    let path = path.ok_or_else(|| CommandError::Usage("--settings is missing".to_owned()))?;
    let text = std::fs::read_to_string(&path)
        .with_context(|| format!("cannot read {}", path.display()))?;
    let settings = Settings::parse(&path.display().to_string(), &text)?;
    if check_only {
        return Ok(());
    }
    let _logger = start_logger(&settings.log)?;
    let daemon = Daemon::start(settings)?;
    stop_on_signals(daemon.stop_handle())?;
    stop_result(daemon.wait())
}

/// Converts the stop outcome of a box into the result of the command.
pub fn stop_result(outcome: StopOutcome) -> Result<(), CommandError> {
    match outcome {
        StopOutcome::Done | StopOutcome::Cut(0) => Ok(()),
        StopOutcome::Cut(requests) => Err(CommandError::Aborted(requests)),
    }
}

/// Starts logging to standard error. The daemon logs one line for each change of state.
pub fn start_logger(levels: &str) -> Result<LoggerHandle, CommandError> {
    let logger = Logger::try_with_str(levels)
        .map_err(|error| CommandError::Invalid(format!("log: {error}")))?;
    let handle = logger.format(write_log_line).log_to_stderr().start();
    Ok(handle.context("cannot start the logger")?)
}

fn write_log_line(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> Result<(), std::io::Error> {
    let time = now.format_rfc3339();
    let level = record.level().as_str().to_lowercase();
    write!(out, "time={time} level={level} {}", record.args())
}

/// Stops the box on SIGTERM and SIGINT.
pub fn stop_on_signals(stop_handle: StopHandle) -> Result<(), CommandError> {
    let runtime = crate::client::runtime()?;
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        runtime.block_on(async move {
            let terminate = signal(SignalKind::terminate());
            let interrupt = signal(SignalKind::interrupt());
            let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else { return };
            loop {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                stop_handle.stop_async().await;
            }
        });
    })?;
    Ok(())
}

/// Parses the value of an option as an IP address and port.
pub fn parse_address(parser: &mut Parser) -> Result<std::net::SocketAddr, CommandError> {
    let text = parser.value()?.string()?;
    text.parse().map_err(|_| {
        let message = format!("\"{text}\" is not an IP address and port, such as 127.0.0.1:8080");
        CommandError::Usage(message)
    })
}

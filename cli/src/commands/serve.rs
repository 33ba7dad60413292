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
  --settings <file>  Settings of the box, JSON with comments
  --check            Check the settings and end

SIGTERM or SIGINT ends the box after everything in progress is finished; a
second one ends it at once.
";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    let mut file: Option<PathBuf> = None;
    let mut only_check = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("settings") => file = Some(parser.value()?.into()),
            Arg::Long("check") => only_check = true,
            Arg::Short('h') | Arg::Long("help") => return super::print_help(HELP),
            other => return Err(other.unexpected().into()),
        }
    }
    let file = file.ok_or_else(|| CommandError::Usage("--settings is missing".to_owned()))?;
    let text = std::fs::read_to_string(&file)
        .with_context(|| format!("cannot read {}", file.display()))?;
    let settings = Settings::parse(&file.display().to_string(), &text)?;
    if only_check {
        return Ok(());
    }
    let _logger = start_logger(&settings.log)?;
    let daemon = Daemon::start(settings)?;
    stop_on_signals(daemon.stop_handle())?;
    ended(daemon.wait())
}

/// What the ending of a box means for the command.
pub fn ended(ending: StopOutcome) -> Result<(), CommandError> {
    match ending {
        StopOutcome::Done | StopOutcome::Cut(0) => Ok(()),
        StopOutcome::Cut(requests) => Err(CommandError::Cut(requests)),
    }
}

/// Logs to the error stream, a line for each change of state.
pub fn start_logger(levels: &str) -> Result<LoggerHandle, CommandError> {
    let logger = Logger::try_with_str(levels)
        .map_err(|error| CommandError::Invalid(format!("log: {error}")))?;
    let handle = logger.format(line).log_to_stderr().start();
    Ok(handle.context("cannot start the logger")?)
}

fn line(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> Result<(), std::io::Error> {
    let time = now.format_rfc3339();
    let level = record.level().as_str().to_lowercase();
    write!(out, "time={time} level={level} {}", record.args())
}

/// Turns SIGTERM and SIGINT into a planned stop.
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

/// Reads an address argument.
pub fn address(parser: &mut Parser) -> Result<std::net::SocketAddr, CommandError> {
    let text = parser.value()?.string()?;
    text.parse().map_err(|_| {
        let message = format!("\"{text}\" is not an IP number and port, such as 127.0.0.1:8080");
        CommandError::Usage(message)
    })
}

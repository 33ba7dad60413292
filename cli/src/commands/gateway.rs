//! `copperweir gateway`

use std::path::PathBuf;

use anyhow::Context;
use copperweir_lib::gateway;
use copperweir_lib::gateway::Gateway;
use copperweir_lib::gateway::control::Event;
use copperweir_platform::Platform;
use copperweir_platform::settings;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;

use crate::error::CommandError;
use crate::journal::Journal;

pub const HELP: &str = "\
Run the gateway on a box of the users' platform

Usage: copperweir gateway [options]

Options:
  --settings <file>  Settings as the platform lays them down; default: the
                     file that the platform names in the environment
  --metrics <port>   Port for metrics; default: the second of the ports that
                     the settings leave free
  --log <levels>     Log levels in the logger's form; default: info
  --check            Check the settings and end

SIGTERM or SIGINT ends the box after everything in progress is finished; a
second one ends it at once. SIGHUP cuts nothing and is noted in the log;
changed settings count from the next start.
";

/// Log levels where none are asked for.
const LOG: &str = "info";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    let mut file: Option<PathBuf> = std::env::var_os(settings::PATH_VARIABLE).map(PathBuf::from);
    let mut only_check = false;
    let mut metrics: Option<u16> = None;
    let mut levels = LOG.to_owned();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("settings") => file = Some(parser.value()?.into()),
            Arg::Long("metrics") => metrics = Some(parser.value()?.parse()?),
            Arg::Long("log") => levels = parser.value()?.string()?,
            Arg::Long("check") => only_check = true,
            Arg::Short('h') | Arg::Long("help") => return super::print_help(HELP),
            other => return Err(other.unexpected().into()),
        }
    }
    let file = file.ok_or_else(|| {
        CommandError::Usage(format!(
            "--settings is missing, and {} is not set",
            settings::PATH_VARIABLE
        ))
    })?;
    let text = std::fs::read_to_string(&file)
        .with_context(|| format!("cannot read {}", file.display()))?;
    let (mut settings, regions) = settings::parse(&text)
        .map_err(|error| CommandError::Invalid(format!("{}: {error}", file.display())))?;
    if let Some(port) = metrics {
        settings.listen.metrics.set_port(port);
    }
    if only_check {
        return Ok(());
    }
    let _logger = start_logger(&levels)?;
    let (sender, receiver) = gateway::events();
    watch_signals(sender.clone())?;
    let gateway = Gateway::start_with_events(settings, regions, Platform, (sender, receiver))?;
    super::serve::ended(gateway.wait())
}

/// Logs to standard output without ever waiting for it.
fn start_logger(levels: &str) -> Result<LoggerHandle, CommandError> {
    let logger = Logger::try_with_str(levels)
        .map_err(|error| CommandError::Invalid(format!("--log: {error}")))?;
    let journal = Journal::start().context("cannot start the log's thread")?;
    let handle = logger.log_to_writer(Box::new(journal)).start();
    Ok(handle.context("cannot start the logger")?)
}

/// Turns signals into events; they are caught from here on, before any port is open.
fn watch_signals(events: mpsc::Sender<Event>) -> Result<(), CommandError> {
    let runtime = crate::client::runtime()?;
    let catch = || -> std::io::Result<[Signal; 3]> {
        Ok([
            signal(SignalKind::terminate())?,
            signal(SignalKind::interrupt())?,
            signal(SignalKind::hangup())?,
        ])
    };
    let caught = {
        let _guard = runtime.enter();
        catch().context("cannot catch signals")?
    };
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        let [mut terminate, mut interrupt, mut hangup] = caught;
        runtime.block_on(async move {
            loop {
                let event = tokio::select! {
                    _ = terminate.recv() => Event::Stop,
                    _ = interrupt.recv() => Event::Stop,
                    _ = hangup.recv() => Event::Reload,
                };
                if events.send(event).await.is_err() {
                    return;
                }
            }
        });
    })?;
    Ok(())
}

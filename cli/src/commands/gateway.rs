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
use crate::log_writer::BufferedLogWriter;

pub const HELP: &str = "\
Run the gateway on a box of the users' platform

Usage: copperweir gateway [options]

Options:
  --settings <file>  Settings in the platform's format; default: the file that
                     the platform names in the environment
  --metrics <port>   Port for metrics; default: the second port of the range
                     in the settings
  --log <levels>     Log levels in flexi_logger's syntax; default: info
  --check            Check the settings and exit

SIGTERM or SIGINT stops the box after all requests in progress have completed.
SIGINT after another signal stops it immediately; a second SIGTERM changes
nothing. SIGHUP aborts no requests and is only
logged; changed settings take effect at the next start.
";

/// Log levels if `--log` is not given.
const DEFAULT_LOG_LEVELS: &str = "info";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    let mut path: Option<PathBuf> = std::env::var_os(settings::PATH_VARIABLE).map(PathBuf::from);
    let mut check_only = false;
    let mut metrics: Option<u16> = None;
    let mut levels = DEFAULT_LOG_LEVELS.to_owned();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("settings") => path = Some(parser.value()?.into()),
            Arg::Long("metrics") => metrics = Some(parser.value()?.parse()?),
            Arg::Long("log") => levels = parser.value()?.string()?,
            Arg::Long("check") => check_only = true,
            Arg::Short('h') | Arg::Long("help") => return super::print_help(HELP),
            other => return Err(other.unexpected().into()),
        }
    }
    let path = path.ok_or_else(|| {
        CommandError::Usage(format!(
            "--settings is missing, and {} is not set",
            settings::PATH_VARIABLE
        ))
    })?;
    let text = std::fs::read_to_string(&path)
        .with_context(|| format!("cannot read {}", path.display()))?;
    let (mut settings, regions) = settings::parse(&text)
        .map_err(|error| CommandError::Invalid(format!("{}: {error}", path.display())))?;
    if let Some(port) = metrics {
        settings.listen.metrics.set_port(port);
    }
    if check_only {
        return Ok(());
    }
    let _logger = start_logger(&levels)?;
    let (sender, receiver) = gateway::events();
    watch_signals(sender.clone())?;
    let gateway = Gateway::start_with_events(settings, regions, Platform, (sender, receiver))?;
    super::serve::stop_result(gateway.wait())
}

/// Starts logging to standard output; log calls never block on it.
fn start_logger(levels: &str) -> Result<LoggerHandle, CommandError> {
    let logger = Logger::try_with_str(levels)
        .map_err(|error| CommandError::Invalid(format!("--log: {error}")))?;
    let writer = BufferedLogWriter::start().context("cannot start the log writer thread")?;
    let handle = logger.log_to_writer(Box::new(writer)).start();
    Ok(handle.context("cannot start the logger")?)
}

/// Converts signals into events. The handlers are installed when this returns, before any port is
/// open.
fn watch_signals(events: mpsc::Sender<Event>) -> Result<(), CommandError> {
    let runtime = crate::client::runtime()?;
    let install_handlers = || -> std::io::Result<[Signal; 3]> {
        Ok([
            signal(SignalKind::terminate())?,
            signal(SignalKind::interrupt())?,
            signal(SignalKind::hangup())?,
        ])
    };
    let signals = {
        let _guard = runtime.enter();
        install_handlers().context("cannot install signal handlers")?
    };
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        let [mut terminate, mut interrupt, mut hangup] = signals;
        runtime.block_on(async move {
            let mut is_stopping = false;
            loop {
                let event = tokio::select! {
                    // A second stop event cuts requests, which a repeated SIGTERM doesn't ask for.
                    _ = terminate.recv() => match is_stopping {
                        true => continue,
                        false => Event::Stop,
                    },
                    _ = interrupt.recv() => Event::Stop,
                    _ = hangup.recv() => Event::Reload,
                };
                is_stopping |= event == Event::Stop;
                if events.send(event).await.is_err() {
                    return;
                }
            }
        });
    })?;
    Ok(())
}

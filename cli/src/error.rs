//! Errors of commands, with their hints and exit codes.

use std::process::ExitCode;

use copperweir_lib::daemon::StartError;
use copperweir_lib::operators::apply::ApplyError;
use copperweir_lib::protocol::config::document::DocumentError;
use copperweir_lib::protocol::jsonc::Problems;

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// The command line is invalid.
    Usage(String),
    /// Configuration files, settings or log levels are invalid.
    Invalid(String),
    /// Another operator changed the configuration first.
    Conflict(String),
    /// It is unknown whether the platform made the change.
    Unresolved(String),
    /// A request to a box or the platform got no response, or an unsuccessful one.
    Unreachable(String),
    /// The stop aborted this many requests in progress.
    Aborted(usize),
    /// A listening socket could not be opened.
    Listen(String),
    /// Any other error.
    Other(anyhow::Error),
}

impl CommandError {
    /// Suggests what the user can do.
    pub fn hint(&self) -> Option<&'static str> {
        match self {
            CommandError::Usage(_) => Some("`copperweir help` lists the commands"),
            CommandError::Conflict(_) => {
                Some("check the current version with `copperweir show`, then apply again")
            }
            CommandError::Unresolved(_) => Some(
                "look for the id in the output of `copperweir show --format json` before you apply again",
            ),
            CommandError::Unreachable(_) => {
                Some("check that the address is right and that the process is running")
            }
            CommandError::Listen(_) => Some("choose another address with --listen"),
            CommandError::Invalid(_) | CommandError::Aborted(_) | CommandError::Other(_) => None,
        }
    }

    /// Returns the exit code, as listed in docs/operators/exit-codes.md.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Other(_) => 1,
            CommandError::Usage(_) => 2,
            CommandError::Invalid(_) => 3,
            CommandError::Conflict(_) => 4,
            CommandError::Unresolved(_) => 5,
            CommandError::Unreachable(_) => 6,
            CommandError::Aborted(_) => 7,
            CommandError::Listen(_) => 8,
        })
    }
}

impl std::fmt::Display for CommandError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CommandError::Usage(text)
            | CommandError::Invalid(text)
            | CommandError::Conflict(text)
            | CommandError::Unresolved(text)
            | CommandError::Unreachable(text)
            | CommandError::Listen(text) => f.write_str(text),
            CommandError::Aborted(requests) => {
                write!(f, "stopping aborted {requests} requests in progress")
            }
            CommandError::Other(error) => write!(f, "{error:#}"),
        }
    }
}

impl From<anyhow::Error> for CommandError {
    fn from(error: anyhow::Error) -> CommandError {
        CommandError::Other(error)
    }
}

impl From<lexopt::Error> for CommandError {
    fn from(error: lexopt::Error) -> CommandError {
        CommandError::Usage(error.to_string())
    }
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> CommandError {
        CommandError::Other(error.into())
    }
}

impl From<Problems> for CommandError {
    fn from(problems: Problems) -> CommandError {
        CommandError::Invalid(format!("{} problems:\n{problems}", problems.0.len()))
    }
}

impl From<DocumentError> for CommandError {
    fn from(error: DocumentError) -> CommandError {
        match error {
            DocumentError::Invalid(problems) => problems.into(),
            error => CommandError::Invalid(error.to_string()),
        }
    }
}

impl From<ApplyError> for CommandError {
    fn from(error: ApplyError) -> CommandError {
        match error {
            ApplyError::Document(error) => error.into(),
            ApplyError::Conflict { .. } => CommandError::Conflict(error.to_string()),
            ApplyError::Unresolved(..) => CommandError::Unresolved(error.to_string()),
            ApplyError::Platform(_) => CommandError::Unreachable(error.to_string()),
        }
    }
}

impl From<StartError> for CommandError {
    fn from(error: StartError) -> CommandError {
        match error {
            StartError::Listen { .. } => CommandError::Listen(error.to_string()),
            error => CommandError::Other(error.into()),
        }
    }
}

//! What a command can fail with, its hint, and its exit code.

use std::process::ExitCode;

use copperweir_lib::daemon::StartError;
use copperweir_lib::operators::apply::ApplyError;
use copperweir_lib::protocol::config::document::DocumentError;
use copperweir_lib::protocol::jsonc::Problems;

/// A failed command.
#[derive(Debug)]
pub enum CommandError {
    /// The command line is wrong.
    Usage(String),
    /// Files or settings do not pass the check.
    Invalid(String),
    /// Another operator came first.
    Conflict(String),
    /// A change may or may not have been made.
    Unresolved(String),
    /// Nothing answers there.
    Unreachable(String),
    /// A stop cut requests in progress.
    Cut(usize),
    /// A port cannot be listened on.
    Listen(String),
    /// Anything else.
    Other(anyhow::Error),
}

impl CommandError {
    /// What to do about it.
    pub fn hint(&self) -> Option<&'static str> {
        match self {
            CommandError::Usage(_) => Some("`copperweir help` lists the commands"),
            CommandError::Conflict(_) => {
                Some("look at the version that stands with `copperweir show`, then apply again")
            }
            CommandError::Unresolved(_) => {
                Some("look for the id in `copperweir show --format json` before you apply again")
            }
            CommandError::Unreachable(_) => Some("is the address right, and does the process run?"),
            CommandError::Listen(_) => Some("give another address with --listen"),
            CommandError::Invalid(_) | CommandError::Cut(_) | CommandError::Other(_) => None,
        }
    }

    /// Exit code; the list stands in docs/operators/exit-codes.md.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Other(_) => 1,
            CommandError::Usage(_) => 2,
            CommandError::Invalid(_) => 3,
            CommandError::Conflict(_) => 4,
            CommandError::Unresolved(_) => 5,
            CommandError::Unreachable(_) => 6,
            CommandError::Cut(_) => 7,
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
            CommandError::Cut(requests) => {
                write!(f, "the stop cut {requests} requests in progress")
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

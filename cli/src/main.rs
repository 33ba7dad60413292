//! The `copperweir` command-line tool.

mod client;
mod commands;
mod error;
mod load;
mod log_writer;
mod output;

use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

use crate::error::CommandError;

fn main() -> ExitCode {
    match commands::run(lexopt::Parser::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => print_error(&error),
    }
}

/// Maximum time to print an error. Standard error may be a full pipe without a reader.
const PRINT_TIMEOUT: Duration = Duration::from_millis(200);

fn print_error(error: &CommandError) -> ExitCode {
    let hint = error.hint().map(|hint| format!("Hint: {hint}\n")).unwrap_or_default();
    let text = format!("Error: {error}\n{hint}");
    // If the text can't be printed, the exit code remains.
    let _ = output::run_within(PRINT_TIMEOUT, move || {
        let _ = std::io::stderr().write_all(text.as_bytes());
    });
    error.exit_code()
}

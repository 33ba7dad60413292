//! The `copperweir` command-line tool.

mod client;
mod commands;
mod error;
mod load;
mod log_writer;
mod output;

use std::process::ExitCode;

use crate::error::CommandError;

fn main() -> ExitCode {
    match commands::run(lexopt::Parser::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => print_error(&error),
    }
}

fn print_error(error: &CommandError) -> ExitCode {
    eprintln!("Error: {error}");
    if let Some(hint) = error.hint() {
        eprintln!("Hint: {hint}");
    }
    error.exit_code()
}

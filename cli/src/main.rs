//! The `copperweir` command.

mod client;
mod commands;
mod error;
mod journal;
mod load;
mod output;

use std::process::ExitCode;

use crate::error::CommandError;

fn main() -> ExitCode {
    match commands::run(lexopt::Parser::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(&error),
    }
}

fn report(error: &CommandError) -> ExitCode {
    eprintln!("Error: {error}");
    if let Some(hint) = error.hint() {
        eprintln!("Hint: {hint}");
    }
    error.exit_code()
}

//! The commands, one module each.

mod apply;
mod boxes;
mod burn;
mod check;
mod demo;
mod gateway;
mod load;
mod serve;
mod show;
mod stand_in;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use crate::error::CommandError;

struct Command {
    name: &'static str,
    summary: &'static str,
    help: &'static str,
    run: fn(Parser) -> Result<(), CommandError>,
}

const COMMANDS: &[Command] = &[
    Command { name: "serve", summary: "Run one box", help: serve::HELP, run: serve::run },
    Command {
        name: "gateway",
        summary: "Run the gateway on the users' platform",
        help: gateway::HELP,
        run: gateway::run,
    },
    Command {
        name: "check",
        summary: "Check configuration files",
        help: check::HELP,
        run: check::run,
    },
    Command {
        name: "apply",
        summary: "Apply configuration files",
        help: apply::HELP,
        run: apply::run,
    },
    Command { name: "show", summary: "Show the state of a box", help: show::HELP, run: show::run },
    Command {
        name: "boxes",
        summary: "List the boxes that callers can use",
        help: boxes::HELP,
        run: boxes::run,
    },
    Command {
        name: "burn",
        summary: "Report error budget burn rates",
        help: burn::HELP,
        run: burn::run,
    },
    Command {
        name: "load",
        summary: "Generate load on boxes and report the results",
        help: load::HELP,
        run: load::run,
    },
    Command {
        name: "stand-in",
        summary: "Run a stand-in for a service that copperweir uses",
        help: stand_in::HELP,
        run: stand_in::run,
    },
    Command {
        name: "demo",
        summary: "Run one box with stand-ins for all other services",
        help: demo::HELP,
        run: demo::run,
    },
];

/// Runs the command that the command line names.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    match parser.next()? {
        None => {
            print!("{}", command_overview());
            Ok(())
        }
        Some(Arg::Short('h') | Arg::Long("help")) => {
            print!("{}", command_overview());
            Ok(())
        }
        Some(Arg::Short('V') | Arg::Long("version")) => {
            println!("copperweir {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some(Arg::Value(name)) => {
            let name = name.string()?;
            if name == "help" {
                return print_command_help(parser);
            }
            (find_command(&name)?.run)(parser)
        }
        Some(argument) => Err(argument.unexpected().into()),
    }
}

fn print_command_help(mut parser: Parser) -> Result<(), CommandError> {
    match parser.next()? {
        Some(Arg::Value(name)) => print!("{}", find_command(&name.string()?)?.help),
        _ => print!("{}", command_overview()),
    }
    Ok(())
}

fn find_command(name: &str) -> Result<&'static Command, CommandError> {
    let command = COMMANDS.iter().find(|command| command.name == name);
    command.ok_or_else(|| CommandError::Usage(format!("unknown command \"{name}\"")))
}

fn command_overview() -> String {
    let mut text = String::from(
        "copperweir: a multi-region inference gateway\n\nUsage: copperweir <command> [options]\n\nCommands:\n",
    );
    for command in COMMANDS {
        text.push_str(&format!("  {:<10}{}\n", command.name, command.summary));
    }
    text.push_str("\n`copperweir help <command>` shows its options.\n");
    text
}

/// Prints a help text.
fn print_help(help: &str) -> Result<(), CommandError> {
    print!("{help}");
    Ok(())
}

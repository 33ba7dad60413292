//! The commands, one file each.

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
    about: &'static str,
    help: &'static str,
    run: fn(Parser) -> Result<(), CommandError>,
}

const COMMANDS: &[Command] = &[
    Command { name: "serve", about: "Run one box", help: serve::HELP, run: serve::run },
    Command {
        name: "gateway",
        about: "Run the gateway on the users' platform",
        help: gateway::HELP,
        run: gateway::run,
    },
    Command {
        name: "check",
        about: "Check configuration files",
        help: check::HELP,
        run: check::run,
    },
    Command {
        name: "apply",
        about: "Put configuration files in force",
        help: apply::HELP,
        run: apply::run,
    },
    Command { name: "show", about: "Show what a box knows", help: show::HELP, run: show::run },
    Command { name: "boxes", about: "Ask which box to use", help: boxes::HELP, run: boxes::run },
    Command { name: "burn", about: "Report service-level burn", help: burn::HELP, run: burn::run },
    Command {
        name: "load",
        about: "Put load on boxes and report",
        help: load::HELP,
        run: load::run,
    },
    Command {
        name: "stand-in",
        about: "Run a stand-in of what copperweir meets",
        help: stand_in::HELP,
        run: stand_in::run,
    },
    Command {
        name: "demo",
        about: "Run one box with stand-ins, to try it out",
        help: demo::HELP,
        run: demo::run,
    },
];

/// Runs the command that the arguments name.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    match parser.next()? {
        None => {
            print!("{}", overview());
            Ok(())
        }
        Some(Arg::Short('h') | Arg::Long("help")) => {
            print!("{}", overview());
            Ok(())
        }
        Some(Arg::Short('V') | Arg::Long("version")) => {
            println!("copperweir {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some(Arg::Value(name)) => {
            let name = name.string()?;
            if name == "help" {
                return help(parser);
            }
            (find(&name)?.run)(parser)
        }
        Some(argument) => Err(argument.unexpected().into()),
    }
}

fn help(mut parser: Parser) -> Result<(), CommandError> {
    match parser.next()? {
        Some(Arg::Value(name)) => print!("{}", find(&name.string()?)?.help),
        _ => print!("{}", overview()),
    }
    Ok(())
}

fn find(name: &str) -> Result<&'static Command, CommandError> {
    let found = COMMANDS.iter().find(|command| command.name == name);
    found.ok_or_else(|| CommandError::Usage(format!("there is no command \"{name}\"")))
}

fn overview() -> String {
    let mut text = String::from(
        "copperweir: a multi-region inference gateway\n\nUsage: copperweir <command> [options]\n\nCommands:\n",
    );
    for command in COMMANDS {
        text.push_str(&format!("  {:<10}{}\n", command.name, command.about));
    }
    text.push_str("\n`copperweir help <command>` tells more.\n");
    text
}

/// Prints a command's help.
fn print_help(help: &str) -> Result<(), CommandError> {
    print!("{help}");
    Ok(())
}

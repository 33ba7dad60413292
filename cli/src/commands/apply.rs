//! `copperweir apply`

use std::path::PathBuf;
use std::sync::Arc;

use copperweir_lib::operators::apply::apply;
use copperweir_lib::state::counters::Counters;
use copperweir_lib::transport::platform::Platform;
use lexopt::Arg;
use lexopt::Parser;
use rand::Rng;

use super::check::read_configuration_files;
use super::serve::parse_address;
use crate::client;
use crate::error::CommandError;

pub const HELP: &str = "\
Apply configuration files

Usage: copperweir apply --platform <address> <file>...

Options:
  --platform <address>  Address of the platform

Each file replaces the stored file of the same name; other stored files are
kept. The resulting configuration is checked before it is written.

Exit codes: 3 the check found problems, 4 another operator changed the
configuration first, 5 it is unknown whether the change was made, 6 the
platform is unavailable.
";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    let mut platform = None;
    let mut paths = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("platform") => platform = Some(parse_address(&mut parser)?),
            Arg::Value(path) => paths.push(PathBuf::from(path)),
            Arg::Short('h') | Arg::Long("help") => return super::print_help(HELP),
            other => return Err(other.unexpected().into()),
        }
    }
    let platform =
        platform.ok_or_else(|| CommandError::Usage("--platform is missing".to_owned()))?;
    let files = read_configuration_files(&paths)?;
    let store = Platform::new(platform, Arc::new(Counters::default()));
    let id = format!("{:016x}", rand::rng().random::<u64>());
    let version = client::runtime()?.block_on(apply(&store, &files, &id))?;
    println!("version {version} is accepted");
    Ok(())
}

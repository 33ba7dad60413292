//! `copperweir check`

use std::path::PathBuf;

use anyhow::Context;
use copperweir_lib::protocol::config::Configuration;
use copperweir_lib::protocol::config::check::Files;
use lexopt::Arg;
use lexopt::Parser;

use crate::error::CommandError;

pub const HELP: &str = "\
Check configuration files

Usage: copperweir check <file>...

The files are checked together as one configuration. All problems are shown.
";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), CommandError> {
    let mut paths = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Value(path) => paths.push(PathBuf::from(path)),
            Arg::Short('h') | Arg::Long("help") => return super::print_help(HELP),
            other => return Err(other.unexpected().into()),
        }
    }
    let files = read_configuration_files(&paths)?;
    let configuration = Configuration::try_from(&files)?;
    println!(
        "{} files are valid: {} regions, {} models, {} services, {} teams, {} backend servers",
        files.len(),
        configuration.regions.len(),
        configuration.models.len(),
        configuration.services.len(),
        configuration.teams.len(),
        configuration.pools.values().map(|pool| pool.servers.len()).sum::<usize>(),
    );
    Ok(())
}

/// Reads configuration files. The key of a file is the last component of its path.
pub fn read_configuration_files(paths: &[PathBuf]) -> Result<Files, CommandError> {
    if paths.is_empty() {
        return Err(CommandError::Usage("expected at least one file".to_owned()));
    }
    let mut files = Files::new();
    for path in paths {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        let name = path.file_name().map(|name| name.to_string_lossy().into_owned());
        let name =
            name.ok_or_else(|| CommandError::Usage(format!("{} is not a file", path.display())))?;
        if files.insert(name.clone(), text).is_some() {
            return Err(CommandError::Usage(format!("two files have the name {name}")));
        }
    }
    Ok(files)
}

//! Runs a case of the review: `harness CASE FOLDER TROUBLE`.
//!
//! It starts the gateway as separate processes, with stand-ins of the store, workers and clients in
//! this one, and writes `record.txt` to the folder. Exit codes: 0 the rule held, 1 it was broken, 2
//! the case could not run. If TROUBLE is 0, the disruption is left out.

mod foreign_entry;
mod gateway;
mod http;
mod json;
mod record;
mod setup;
mod slow_head;
mod stale_forward;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;
use setup::Failure;
use setup::Folder;
use setup::Verdict;

/// Longest time of a case. The boxes end with this process.
const TIME_LIMIT: Duration = Duration::from_secs(100);

fn run_case(name: &str, record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let folder = Folder::create()?;
    match name {
        "stale-forward" => stale_forward::run(record, &folder, trouble),
        "slow-head" => slow_head::run(record, &folder, trouble),
        "foreign-entry" => foreign_entry::run(record, &folder, trouble),
        other => Err(format!("unknown case {other}").into()),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder, trouble] = arguments.as_slice() else {
        eprintln!("usage: harness CASE FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let trouble = trouble != "0";
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        setup::report("the case takes too long");
        std::process::exit(2);
    });
    let record = Record::new();
    record.note(format!("case {name}, with the disruption: {trouble}"));
    let result = run_case(name, &record, trouble);
    let code = match &result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    };
    match &result {
        Ok(verdict) => record.note(format!("the rule: {verdict:?}")),
        Err(failure) => record.note(format!("the case could not run: {failure}")),
    };
    setup::report(&format!("{name}: {result:?}"));
    if let Err(error) = record.write(&Path::new(folder).join("record.txt")) {
        eprintln!("record.txt: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}

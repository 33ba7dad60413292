//! The committed reference pages match the types that they are generated from.
//!
//! `COPPERWEIR_WRITE_DOCS=1 cargo test -p copperweir-lib --test test_docs` regenerates them.

use std::fmt::Write;
use std::path::Path;

use copperweir_lib::coordination::invariant::Invariant;
use copperweir_lib::error::Retry;
use copperweir_lib::error::TABLE;
use copperweir_lib::protocol::config::shape;
use copperweir_lib::protocol::settings;
use copperweir_lib::state::counters::Counter;

fn check_page(name: &str, expected: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/operators").join(name);
    if std::env::var_os("COPPERWEIR_WRITE_DOCS").is_some() {
        std::fs::write(&path, expected).expect("write the page");
    }
    let found = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(found, expected, "docs/operators/{name} does not match the types");
}

#[test]
fn error_kinds() {
    let mut text = String::from(
        "# Error kinds\n\nEvery error response has one of these codes in `error.code`, and a `Copperweir-Ran` header.\n\
         \"varies\" means that only the header has the value. `Retry-After` is set only if the request was not executed.\n\n\
         | code | status | type | ran | Retry-After, s |\n|---|---|---|---|---|\n",
    );
    for row in TABLE {
        let ran = row.executed.map_or("varies", |ran| ran.as_str());
        let retry = match row.retry {
            Retry::Never => "none".to_owned(),
            Retry::After(seconds) => format!("{seconds} or more"),
        };
        let _ = writeln!(
            text,
            "| `{}` | {} | `{}` | {ran} | {retry} |",
            row.code, row.status, row.error_type
        );
    }
    check_page("errors.md", &text);
}

#[test]
fn counters() {
    let mut text = String::from(
        "# Counters\n\n`copperweir show --box <address> counters` prints them; if `statsd` is set, their increments are sent\n\
         every 10 s as `copperweir.<name>` with the tags `box` and `region`.\n\n| name | counts |\n|---|---|\n",
    );
    for counter in Counter::ALL {
        let _ = writeln!(text, "| `{}` | {} |", counter.as_str(), counter.doc());
    }
    text.push_str("\nViolated invariants are listed by name in `show`; there should be none:\n\n");
    for invariant in Invariant::ALL {
        let _ = writeln!(text, "- `{}`", invariant.as_str());
    }
    check_page("counters.md", &text);
}

#[test]
fn configuration_reference() {
    let text = format!(
        "# Configuration files\n\nJSON with comments. All files together form one configuration; each name is declared in one place only.\n\n\
         | field | expected | required | meaning |\n|---|---|---|---|\n{}",
        shape::FILE.reference_rows()
    );
    check_page("configuration.md", &text);
}

#[test]
fn settings_reference() {
    let text = format!(
        "# Settings of a box\n\nJSON with comments; `copperweir serve --check --settings <file>` checks them.\n\n\
         | field | expected | required | meaning |\n|---|---|---|---|\n{}",
        settings::SHAPE.reference_rows()
    );
    check_page("settings.md", &text);
}

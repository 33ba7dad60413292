//! Files of `copperweir serve` that are deeply nested or have values out of range.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::Fleet;
use common::Plan;
use copperweir_lib::protocol::config::Configuration;
use copperweir_lib::protocol::config::document::Document;
use copperweir_lib::protocol::config::document::STORE_KEY;
use copperweir_lib::protocol::platform::Put;
use copperweir_lib::protocol::platform::Store as _;
use copperweir_lib::protocol::settings::Settings;
use copperweir_lib::state::counters::Counters;
use copperweir_lib::transport::platform::Platform as Store;

fn documents() -> Vec<(String, String)> {
    let mut documents = Vec::new();
    for levels in [65, 1000, 100_000] {
        let arrays = format!("{}{}", "[".repeat(levels), "]".repeat(levels));
        let objects = format!("{}1{}", "{\"a\":".repeat(levels), "}".repeat(levels));
        documents.extend([
            (format!("{levels} arrays"), arrays.clone()),
            (format!("{levels} objects"), objects.clone()),
            (format!("{levels} arrays in a field"), format!("{{\"services\":{arrays}}}")),
            (format!("{levels} objects in a field"), format!("{{\"a\":{objects}}}")),
            (format!("{levels} arrays without end"), "[".repeat(levels)),
            (format!("{levels} arrays after a comment"), format!("/* ] */ // ]\n{arrays}")),
        ]);
    }
    for value in ["1e400", "-1", "NaN", "18446744073709551616", "null", "\"\\ud800\""] {
        documents.push((value.to_owned(), format!("{{\"services\":{value},\"box\":{value}}}")));
    }
    documents
}

/// Guards against a stored configuration that ends each box which reads it, and again at each start.
#[test]
fn odd_configurations_are_rejected() {
    for (name, text) in documents() {
        let files = [("a.json".to_owned(), text)].into_iter().collect();
        let document = Document { version: 2, files, changes: Vec::new() };
        let stored = document.encode().expect("a value");
        let document = Document::decode(&stored).expect("a document");
        assert!(document.check().is_err(), "{name}");
    }
}

/// Guards against a settings file that ends a box without a message.
#[test]
fn odd_settings_are_rejected() {
    for (name, text) in documents() {
        assert!(Settings::parse("box.json", &text).is_err(), "{name}");
    }
}

/// Brackets in texts and comments don't count as levels.
#[test]
fn brackets_in_texts_are_no_levels() {
    let text = format!("{{/* {0} */ \"a\": \"{0}\" // {0}\n}}", "[".repeat(1000));
    let files = [("a.json".to_owned(), text)].into_iter().collect();
    let error = Configuration::try_from(&files).expect_err("an unknown field").to_string();
    assert!(!error.contains("nesting"), "{error}");
}

/// Writes a file to the store without the check that operators' commands make.
fn write_unchecked(fleet: &Fleet, version: u64, text: String) {
    let store = Store::new(fleet.plan.platform_address(), Arc::new(Counters::default()));
    let files = [("main".to_owned(), text)].into_iter().collect();
    let document = Document { version, files, changes: Vec::new() };
    let value = String::from_utf8(document.encode().expect("a value")).expect("text");
    fleet.block_on(async {
        let entry = store.get(STORE_KEY).await.expect("a response");
        let expect = entry.map_or(0, |entry| entry.revision);
        let put = Put { value, expect, lease: None, life_ms: None };
        store.put(STORE_KEY, put).await.expect("a write");
    });
}

/// Guards against boxes that end while they read the configuration, and that can't be started again.
#[test]
fn boxes_survive_a_deeply_nested_configuration() {
    let mut fleet = Fleet::start(Plan { boxes: 2, ..Plan::new(77) });
    write_unchecked(&fleet, 2, "[".repeat(100_000));
    std::thread::sleep(Duration::from_millis(500));
    fleet.kill_box(0, 1);
    fleet.start_box(0, 1);
    common::eventually("the box that starts is ready", || fleet.is_ready(0, 1));
    assert!(fleet.is_ready(0, 0));
    let version = fleet.apply("main", &fleet.plan.configuration()).expect("a version");
    assert_eq!(version, 3);
    fleet.wait_for_version(version);
}

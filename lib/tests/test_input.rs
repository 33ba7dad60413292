//! Parsing arbitrary input never panics, and limits are enforced.

use copperweir_lib::protocol::caller::Completion;
use copperweir_lib::protocol::caller::Endpoint;
use copperweir_lib::protocol::caller::RequestOptions;
use copperweir_lib::protocol::config::Configuration;
use copperweir_lib::protocol::config::Limits;
use copperweir_lib::protocol::config::check::Files;
use copperweir_lib::protocol::config::document::Document;
use copperweir_lib::protocol::config::document::DocumentError;
use copperweir_lib::protocol::config::document::MAX_DOCUMENT_BYTES;
use copperweir_lib::protocol::peer::Heartbeat;
use copperweir_lib::protocol::peer::wire;
use copperweir_lib::protocol::settings::Settings;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::TestRunner;
use prost::Message;

fn check_property<S: Strategy>(strategy: S, test: impl Fn(S::Value)) {
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&strategy, |value| {
        test(value);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn chat_requires_list_of_messages_and_text_completion_does_not() {
    let parse = |path: &str, body: &str| {
        Completion::parse(path, body.as_bytes()).map_err(|failure| failure.to_string())
    };
    let chat = "/v1/chat/completions";
    assert!(parse(chat, r#"{"model": "m", "messages": [{"role": "user"}]}"#).is_ok());
    assert!(parse("/v1/completions", r#"{"model": "m", "prompt": "x"}"#).is_ok());
    for body in [r#"{"model": "m"}"#, r#"{"model": "m", "messages": null}"#] {
        let failure = parse(chat, body).expect_err("no messages");
        assert!(failure.contains("messages"), "{failure}");
    }
    for body in [r#"{"model": "m", "messages": "hello"}"#, r#"{"model": "m", "messages": {}}"#] {
        let failure = parse(chat, body).expect_err("not a list");
        assert!(failure.contains("messages"), "{failure}");
    }
}

#[test]
fn parsing_arbitrary_files_never_panics() {
    let pieces = prop::sample::select(vec![
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        "\"regions\"",
        "\"teams\"",
        "\"a\"",
        "1",
        "-1",
        "1e99",
        "true",
        "null",
        "// x\n",
        "/* y */",
        "\"limits\"",
        "\"pools\"",
        "\"servers\"",
        "\u{fe}",
        " ",
    ]);
    check_property(prop::collection::vec(pieces, 0..40), |pieces| {
        let text = pieces.concat();
        let files = Files::from([("f".to_owned(), text.clone())]);
        let _ = Configuration::try_from(&files);
        let _ = Settings::parse("f", &text);
        let _ = Document::decode(text.as_bytes());
    });
    check_property(".{0,200}", |text: String| {
        let files = Files::from([("f".to_owned(), text.clone())]);
        let _ = Configuration::try_from(&files);
        let _ = Settings::parse("f", &text);
    });
}

#[test]
fn parsing_arbitrary_requests_never_panics() {
    check_property((prop::collection::vec(any::<u8>(), 0..200), "/.{0,80}"), |(bytes, path)| {
        let _ = Completion::parse("/v1/chat/completions", &bytes);
        let _ = Endpoint::parse(&Method::POST, &path);
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_bytes(&bytes) {
            for name in ["copperweir-timeout-ms", "copperweir-priority", "idempotency-key"] {
                headers.insert(name, value.clone());
            }
        }
        if let Ok(options) = RequestOptions::parse(&headers, &Limits::default()) {
            assert!(options.timeout <= Limits::default().max_timeout);
        }
    });
}

#[test]
fn parsing_arbitrary_heartbeats_never_panics() {
    check_property(prop::collection::vec(any::<u8>(), 0..300), |bytes| {
        if let Ok(raw) = wire::Heartbeat::decode(bytes.as_slice()) {
            let _ = Heartbeat::try_from(raw);
        }
    });
    let oversized = wire::Heartbeat {
        sender: Some(wire::Member::default()),
        wanted: vec![1; 100_000],
        ..wire::Heartbeat::default()
    };
    assert!(Heartbeat::try_from(oversized).is_err());
}

#[test]
fn oversized_configuration_is_rejected_with_its_size() {
    let files = Files::from([("f".to_owned(), format!("{{}}{}", " ".repeat(MAX_DOCUMENT_BYTES)))]);
    let document = Document::default().with_files(&files, "id");
    match document.encode() {
        Err(DocumentError::TooLarge(bytes)) => assert!(bytes > MAX_DOCUMENT_BYTES),
        other => panic!("{other:?}"),
    }
}

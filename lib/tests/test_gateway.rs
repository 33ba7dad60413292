//! Tests the callers' API of one box.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use bytes::Bytes;
use common::Fleet;
use common::Plan;
use common::Reply;
use common::eventually;
use common::send;
use copperweir_lib::error::TABLE;
use copperweir_standin::engine;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

fn assert_failure(reply: &Reply, code: &str, ran: &str) {
    assert_eq!(reply.code(), code, "{reply:?}");
    assert_eq!(reply.header("copperweir-ran"), ran, "{reply:?}");
    let row = TABLE.iter().find(|row| row.code == code).expect("a known code");
    assert_eq!(reply.status.as_u16(), row.status);
    assert_eq!(reply.json()["error"]["type"], row.error_type);
    assert!(!reply.header("copperweir-request-id").is_empty());
}

fn send_raw(to: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
    stream.write_all(request.as_bytes()).expect("a request");
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn completions_are_forwarded_completely() {
    let fleet = Fleet::start(Plan::new(10));
    let address = fleet.plan.callers_address(0, 0);
    let body =
        json!({"model": "log", "max_tokens": 5, "messages": [{"role": "user", "content": "17"}]});
    let prompt = engine::prompt_hash(body.to_string().as_bytes());
    let expected: String = (0..5).map(|index| engine::token_text(prompt, index)).collect();
    let reply = fleet.complete(address, &[], &body);
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.json()["choices"][0]["message"]["content"], expected);
    assert_eq!(reply.header("copperweir-region"), "north");
    assert_eq!(reply.header("copperweir-box"), "north-0");
    assert_eq!(reply.header("copperweir-config-version"), "1");

    let body = json!({"model": "log", "messages": [], "max_tokens": 200, "stream": true});
    let prompt = engine::prompt_hash(body.to_string().as_bytes());
    let reply = fleet.complete(address, &[], &body);
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    for index in 0..200 {
        assert!(text.contains(&engine::token_text(prompt, index)), "token {index} is missing");
    }
    assert!(text.ends_with("data: [DONE]\n\n"));
}

#[test]
fn http2_is_supported() {
    let fleet = Fleet::start(Plan::new(22));
    let address = fleet.plan.callers_address(0, 0);
    let body = json!({"model": "log", "messages": [], "max_tokens": 3, "stream": true}).to_string();
    let text = fleet.block_on(async {
        let stream =
            TokioIo::new(tokio::net::TcpStream::connect(address).await.expect("a connection"));
        let handshake = hyper::client::conn::http2::handshake(TokioExecutor::new(), stream).await;
        let (mut sender, connection) = handshake.expect("HTTP/2");
        tokio::spawn(connection);
        let uri = format!("http://{address}/v1/chat/completions");
        let request = Request::post(uri).body(Full::new(Bytes::from(body))).expect("a request");
        let response = sender.send_request(request).await.expect("a response");
        assert_eq!(response.status(), StatusCode::OK);
        response.into_body().collect().await.expect("a whole body").to_bytes()
    });
    assert!(text.ends_with(b"data: [DONE]\n\n"));
}

#[test]
fn models_health_and_readiness_are_served() {
    let fleet = Fleet::start(Plan::new(11));
    let address = fleet.plan.callers_address(0, 0);
    assert_eq!(fleet.get(address, "/v1/models").json()["data"][0]["id"], "log");
    assert_eq!(fleet.get(address, "/healthz").status, StatusCode::OK);
    assert_eq!(fleet.get(address, "/readyz").status, StatusCode::OK);
    let echoed = fleet.send(address, Method::PUT, "/services/intake/echo?x=1", &[], "as it is");
    assert_eq!(echoed.body, "as it is");
    assert_eq!(fleet.get(address, "/services/intake/nothing").status, StatusCode::NOT_FOUND);
}

#[test]
fn invalid_requests_get_specific_errors() {
    let fleet = Fleet::start(Plan::new(12));
    let address = fleet.plan.callers_address(0, 0);
    let post = |headers: &[(&str, &str)], body: &str| {
        fleet.send(address, Method::POST, "/v1/chat/completions", headers, body)
    };
    let malformed = post(&[], "{\"model\": \"log\",\n  nonsense}");
    assert_failure(&malformed, "bad_request", "no");
    let message = malformed.json()["error"]["message"].to_string();
    assert!(message.contains("line 2, column 3"), "{message}");
    assert_failure(&post(&[], "{\"model\":\"none\",\"messages\":[]}"), "unknown_model", "no");
    assert_failure(&fleet.get(address, "/services/none/x"), "unknown_service", "no");
    assert_failure(&fleet.get(address, "/nowhere"), "not_found", "no");
    assert_failure(&fleet.get(address, "/v1/chat/completions"), "method_not_allowed", "no");
    let valid_body = "{\"model\":\"log\",\"messages\":[]}";
    for timeout in ["0", "-1", "soon", "99999999999999999999"] {
        assert_failure(
            &post(&[("copperweir-timeout-ms", timeout)], valid_body),
            "bad_request",
            "no",
        );
    }
    assert_failure(&post(&[("copperweir-priority", "urgent")], valid_body), "bad_request", "no");
    assert_failure(&post(&[("copperweir-not-repeatable", "yes")], valid_body), "bad_request", "no");
    assert_failure(&post(&[("idempotency-key", "")], valid_body), "bad_request", "no");
    assert_failure(
        &post(&[("idempotency-key", &"k".repeat(256))], valid_body),
        "bad_request",
        "no",
    );
    assert_failure(&post(&[("idempotency-key", "cw1.nonsense")], valid_body), "bad_request", "no");
    assert_failure(&post(&[("authorization", "Basic abc")], valid_body), "unauthorized", "no");
    for path in ["/services/intake/x/../filings", "/services/intake/%2e%2e/filings"] {
        assert_failure(&fleet.get(address, path), "bad_request", "no");
    }
    assert_failure(&post(&[], &"x".repeat(1_100_000)), "body_too_large", "no");
    assert_eq!(fleet.engines[0][0].completions_started(), 0);
}

#[test]
fn body_over_the_limit_is_refused_before_it_is_read() {
    let fleet = Fleet::start(Plan::new(13));
    let address = fleet.plan.callers_address(0, 0);
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 999999999\r\n\r\n";
    let response = send_raw(address, head);
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
}

#[test]
fn incomplete_headers_do_not_hold_a_connection() {
    let fleet = Fleet::start(Plan::new(23));
    let mut stream = TcpStream::connect(fleet.plan.callers_address(0, 0)).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
    stream.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-").expect("a beginning");
    let mut response = Vec::new();
    // The box closes the connection. Without its limit on the time for headers, the read would time
    // out.
    stream.read_to_end(&mut response).expect("the box ends the connection");
    assert!(!response.starts_with(b"HTTP/1.1 200"));
}

#[test]
fn ambiguous_framing_never_reaches_a_backend_server() {
    let fleet = Fleet::start(Plan::new(14));
    let address = fleet.plan.callers_address(0, 0);
    let start = "POST /services/intake/filings HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
    let two_lengths =
        format!("{start}content-length: 5\r\ncontent-length: 16\r\n\r\n{{\"id\":\"smuggled\"}}");
    assert!(send_raw(address, &two_lengths).starts_with("HTTP/1.1 400"));
    let unknown_encoding = format!("{start}transfer-encoding: xchunked\r\n\r\n0\r\n\r\n");
    assert!(send_raw(address, &unknown_encoding).starts_with("HTTP/1.1 400"));
    // Chunked encoding takes precedence over a length. What follows the chunks must not be
    // forwarded to the backend server as another request.
    let inner =
        "POST /filings HTTP/1.1\r\nhost: x\r\ncontent-length: 17\r\n\r\n{\"id\":\"smuggled\"}";
    let length_and_chunks =
        format!("{start}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{inner}");
    send_raw(address, &length_and_chunks);
    assert_eq!(fleet.run_count("smuggled"), 0);
}

#[test]
fn api_keys_teams_and_priorities_are_checked() {
    let fleet = Fleet::start(Plan::new(15));
    let address = fleet.plan.callers_address(0, 0);
    let mut configuration = fleet.plan.configuration();
    configuration["teams"] = json!({
        "few": {"keys_sha256": [sha256("a-key")], "models": ["log"], "requests_per_second": 1000},
    });
    fleet.apply("main", &configuration).expect("applied");
    fleet.wait_for_version(2);
    let complete = |headers: &[(&str, &str)], model: &str| {
        fleet.complete(address, headers, &json!({"model": model, "messages": [], "max_tokens": 1}))
    };
    assert_failure(&complete(&[], "log"), "unauthorized", "no");
    assert_failure(&complete(&[("authorization", "Bearer b-key")], "log"), "unauthorized", "no");
    let key = ("authorization", "Bearer a-key");
    assert_eq!(complete(&[key], "log").status, StatusCode::OK);
    assert_failure(&complete(&[key], "log-first"), "forbidden", "no");
    assert_failure(&complete(&[key, ("copperweir-priority", "high")], "log"), "forbidden", "no");
    let service = fleet.send(address, Method::GET, "/services/intake/filings/x", &[key], "");
    assert_failure(&service, "forbidden", "no");
}

fn sha256(text: &str) -> String {
    Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn broken_stream_ends_with_an_error() {
    let fleet = Fleet::start(Plan::new(16));
    let address = fleet.plan.callers_address(0, 0);
    let body =
        json!({"model": "log", "messages": [], "max_tokens": 50, "stream": true}).to_string();
    for faults in [
        engine::Faults { cut_after: 5, ..engine::Faults::default() },
        engine::Faults { end_after: 5, ..engine::Faults::default() },
    ] {
        fleet.engines[0][0].set_faults(faults);
        let response = send_raw(
            address,
            &format!(
                "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            ),
        );
        assert!(response.contains("\"code\":\"backend_failed\""), "{response}");
        assert!(!response.contains("[DONE]"), "{response}");
        assert!(!response.ends_with("\r\n0\r\n\r\n"), "the end looks clean: {response}");
        let whole = fleet.block_on(send(
            &fleet.client,
            address,
            Method::POST,
            "/v1/chat/completions",
            &[],
            &body,
        ));
        assert!(whole.is_err(), "a broken response was accepted as complete");
    }
}

#[test]
fn hanging_engine_causes_a_timeout_at_the_deadline() {
    let fleet = Fleet::start(Plan::new(17));
    let address = fleet.plan.callers_address(0, 0);
    fleet.engines[0][0].set_faults(engine::Faults { hang: true, ..engine::Faults::default() });
    let reply = fleet.complete(
        address,
        &[("copperweir-timeout-ms", "300")],
        &json!({"model": "log", "messages": []}),
    );
    assert_failure(&reply, "backend_timeout", "unknown");
    assert_eq!(reply.header("retry-after"), "");
}

#[test]
fn request_with_a_lost_response_is_never_called_not_run() {
    let mut plan = Plan::new(21);
    plan.engines = 2;
    let fleet = Fleet::start(plan);
    let address = fleet.plan.callers_address(0, 0);
    let faults_losing = |count| engine::Faults { lose_answers: count, ..engine::Faults::default() };
    // One response is lost. The request may be repeated, and is, on the other engine.
    let body = json!({"model": "log", "messages": [], "max_tokens": 1});
    for engine in &fleet.engines[0] {
        engine.set_faults(faults_losing(1));
        assert_eq!(fleet.complete(address, &[], &body).status, StatusCode::OK);
        engine.set_faults(faults_losing(0));
    }
    // Both engines lose their responses. No server is left, but the request may have run.
    fleet.engines[0].iter().for_each(|engine| engine.set_faults(faults_losing(100)));
    let reply = fleet.complete(address, &[], &body);
    assert_failure(&reply, "backend_failed", "unknown");
    assert_eq!(reply.header("retry-after"), "");
}

#[test]
fn request_without_a_backend_server_is_refused_at_once_with_retry_after() {
    let fleet = Fleet::start(Plan::new(18));
    let address = fleet.plan.callers_address(0, 0);
    fleet.engines[0][0].set_faults(engine::Faults { leaving: true, ..engine::Faults::default() });
    eventually("the leaving server is known", || {
        fleet
            .complete(address, &[], &json!({"model": "log", "messages": [], "max_tokens": 1}))
            .code()
            == "no_server"
    });
    let reply = fleet.complete(address, &[], &json!({"model": "log", "messages": []}));
    assert_failure(&reply, "no_server", "no");
    assert_eq!(reply.header("retry-after"), "5");
    fleet.engines[0][0].set_faults(engine::Faults::default());
    eventually("the server is back", || {
        fleet
            .complete(address, &[], &json!({"model": "log", "messages": [], "max_tokens": 1}))
            .status
            == StatusCode::OK
    });
}

#[test]
fn team_over_its_limit_gets_retry_after() {
    let fleet = Fleet::start(Plan::new(19));
    let address = fleet.plan.callers_address(0, 0);
    let mut configuration = fleet.plan.configuration();
    configuration["teams"]["anyone"]["requests_per_second"] = json!(5);
    fleet.apply("main", &configuration).expect("applied");
    fleet.wait_for_version(2);
    let replies: Vec<Reply> = (0..40)
        .map(|_| {
            fleet.complete(address, &[], &json!({"model": "log", "messages": [], "max_tokens": 0}))
        })
        .collect();
    let limited: Vec<&Reply> =
        replies.iter().filter(|reply| reply.status == StatusCode::TOO_MANY_REQUESTS).collect();
    assert!(!limited.is_empty());
    for reply in limited {
        assert_failure(reply, "rate_limited", "no");
        assert_eq!(reply.header("retry-after"), "1");
    }
}

#[test]
fn full_queue_sheds_the_lowest_priority() {
    let mut plan = Plan::new(20);
    plan.speed.slots = 1;
    plan.speed.token_interval = Duration::from_millis(20);
    let fleet = Fleet::start(plan);
    let address = fleet.plan.callers_address(0, 0);
    let mut configuration = fleet.plan.configuration();
    configuration["pools"]["logs"]["queue_limit"] = json!(2);
    fleet.apply("main", &configuration).expect("applied");
    fleet.wait_for_version(2);
    let body = json!({"model": "log", "messages": [], "max_tokens": 20}).to_string();
    let replies = fleet.block_on(async {
        let send_with_priority = |priority: &'static str| {
            let (client, body) = (fleet.client.clone(), body.clone());
            tokio::spawn(async move {
                let headers = [("copperweir-priority", priority)];
                send(&client, address, Method::POST, "/v1/chat/completions", &headers, &body).await
            })
        };
        let mut pending = Vec::new();
        for priority in ["low", "low", "low", "high", "high"] {
            pending.push((priority, send_with_priority(priority)));
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        let mut replies = Vec::new();
        for (priority, reply) in pending {
            replies.push((priority, reply.await.expect("a task").expect("a response")));
        }
        replies
    });
    let served = |wanted: &str| {
        let with_priority = replies.iter().filter(|(priority, _)| *priority == wanted);
        with_priority.filter(|(_, reply)| reply.status == StatusCode::OK).count()
    };
    assert_eq!(served("high"), 2, "{replies:?}");
    assert_eq!(served("low"), 1, "{replies:?}");
    for (_, reply) in replies.iter().filter(|(_, reply)| reply.status != StatusCode::OK) {
        assert_failure(reply, "queue_full", "no");
    }
}

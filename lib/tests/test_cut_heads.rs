//! Engines and services of `copperweir serve` that stop in the middle of a response, at each of its
//! bytes.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::Fleet;
use common::Plan;
use common::REGIONS;
use common::eventually;
use copperweir_standin::cut::Action;
use copperweir_standin::cut::CutServers;
use copperweir_standin::cut::End;
use copperweir_standin::cut::ID;
use copperweir_standin::cut::RawCaller;
use copperweir_standin::cut::SCRIPT;
use copperweir_standin::cut::Script;
use copperweir_standin::cut::Shape;
use copperweir_standin::cut_play::Play;
use copperweir_standin::cut_play::Tally;
use copperweir_standin::cut_play::cuts;
use copperweir_standin::cut_play::is_plain;
use copperweir_standin::cut_play::sample;
use http::Method;
use serde_json::Value;
use serde_json::json;

/// Number of servers, so that few are ejected for their cuts.
const SERVERS: u16 = 400;
const ENDS: [End; 2] = [End::Close, End::Reset];
const ONCE: &str = "/services/cuts/once";
const SAFE: &str = "/services/cuts/safe";
const COMPLETION: &str = "/v1/chat/completions";
const COMPLETION_BODY: &str =
    r#"{"model":"cut","stream":true,"messages":[{"role":"user","content":"a"}]}"#;

struct Fixture {
    fleet: Fleet,
    servers: CutServers,
    configuration: Value,
}

impl Fixture {
    /// Boxes in `regions` regions. The servers are in the last one.
    fn start(test_id: u8, regions: usize, cuts_once: bool) -> Fixture {
        Fixture::with_servers(SERVERS, test_id, regions, cuts_once)
    }

    fn with_servers(count: u16, test_id: u8, regions: usize, cuts_once: bool) -> Fixture {
        let plan = Plan { regions, ..Plan::new(test_id) };
        let fleet = Fleet::start(plan);
        let addresses: Vec<SocketAddr> = (0..count)
            .map(|number| {
                let mut address = plan.service_address(regions - 1);
                address.set_port(9100 + number);
                address
            })
            .collect();
        let servers = fleet.runtime.block_on(CutServers::start(&addresses, cuts_once));
        let mut configuration = plan.configuration();
        let (mut services, mut engines) = (serde_json::Map::new(), serde_json::Map::new());
        for (number, address) in addresses.iter().enumerate() {
            let entry = json!({
                "region": REGIONS[regions - 1], "failure_domain": "a",
                "address": address.to_string(), "slots": 32,
            });
            let entries = if number % 2 == 0 { &mut services } else { &mut engines };
            entries.insert(format!("cut-{number}"), entry);
        }
        configuration["pools"]["cut"] = json!({"servers": engines});
        configuration["models"]["cut"] = json!({"pool": "cut", "version": "1"});
        let not_repeatable = json!([{"method": "POST", "path": "/once"}]);
        configuration["services"]["cuts"] =
            json!({"servers": services, "not_repeatable": not_repeatable});
        fleet.apply("main", &configuration).expect("more services");
        fleet.wait_for_version(2);
        // The first box may not know yet that the servers can be reached.
        let address = plan.callers_address(0, 0);
        eventually("services and engines are reached", || {
            [(SAFE, ""), (COMPLETION, COMPLETION_BODY)].iter().all(|(path, body)| {
                fleet.send(address, Method::POST, path, &[], body).status == 200
            })
        });
        Fixture { fleet, servers: servers.expect("the servers start"), configuration }
    }

    fn callers(&self, name: &'static str, path: &'static str) -> Play {
        Play {
            address: self.fleet.plan.callers_address(0, 0),
            servers: self.servers.clone(),
            name,
            path,
            protocol: "HTTP/1.1",
            timeout_header: "copperweir-timeout-ms",
            body: if path == COMPLETION { COMPLETION_BODY } else { "" },
            key_header: None,
            is_repeatable: path != ONCE,
            relays_bodies: true,
            has_late_surplus: false,
            tally: Default::default(),
        }
    }

    fn run(&self, callers: Play, shapes: fn(Shape) -> bool, ends: &[End], step: usize) -> Tally {
        let scripts = sample(cuts(shapes, ends), step);
        let tally = self.fleet.runtime.block_on(callers.run(scripts));
        let faults = &tally.faults[..tally.faults.len().min(12)];
        assert!(faults.is_empty(), "{} of {}: {faults:#?}", tally.faults.len(), tally.tried);
        assert!(tally.executed * 10 >= tally.tried * 9, "{} of {}", tally.executed, tally.tried);
        tally
    }
}

#[test]
fn response_cut_at_any_byte_is_never_told_as_whole() {
    let fixture = Fixture::start(90, 1, false);
    fixture.run(fixture.callers("one", ONCE), is_plain, &ENDS, 11);
    fixture.run(fixture.callers("one", SAFE), is_plain, &ENDS, 23);
    let is_unsized_stream = |shape: Shape| shape.is_stream() && shape != Shape::EventLength;
    fixture.run(fixture.callers("one", COMPLETION), is_unsized_stream, &ENDS, 5);
}

#[test]
fn response_cut_in_another_region_is_never_told_as_whole() {
    let fixture = Fixture::start(91, 2, false);
    fixture.run(fixture.callers("far", ONCE), is_plain, &ENDS, 11);
}

/// Guards against an error event that fills a broken stream up to the length that its server stated.
#[test]
fn broken_stream_with_a_length_is_never_told_as_whole() {
    let is_sized = |shape| shape == Shape::EventLength;
    let fixture = Fixture::start(93, 1, false);
    fixture.run(fixture.callers("sized", COMPLETION), is_sized, &ENDS, 3);
    let fixture = Fixture::start(94, 2, false);
    fixture.run(fixture.callers("sized-far", COMPLETION), is_sized, &[End::Close], 23);
}

/// Guards against a response that breaks off and ends like a whole one, because a caller of this
/// version gets the end of a body of unknown length as the end of its connection.
#[test]
fn body_that_breaks_off_has_no_orderly_end_for_callers_without_chunks() {
    let fixture = Fixture::start(92, 1, false);
    let callers = Play { protocol: "HTTP/1.0", ..fixture.callers("old", ONCE) };
    fixture.run(callers, is_plain, &ENDS, 7);
}

/// Guards against servers that count as crashed, and a content that is quarantined for it, because
/// several of their responses broke off at once.
#[test]
fn content_of_servers_that_cut_responses_and_run_on_is_not_refused() {
    // Half of them are services.
    let fixture = Fixture::with_servers(20, 102, 1, true);
    let callers = fixture.callers("at-once", ONCE);
    let send = |number: usize, script: Script| {
        let request = callers.request(&format!("{number:a>32}"), script);
        let address = callers.address;
        fixture.fleet.runtime.spawn(async move {
            let mut caller = RawCaller::connect(address).await.expect("a connection");
            caller.exchange(&request).await
        })
    };
    let cut = Script { shape: Shape::Length, action: Action::Cut(40, End::Close) };
    for round in 0..10 {
        let sent: Vec<_> = (0..30).map(|number| send(100 * round + number, cut)).collect();
        for response in sent {
            fixture.fleet.block_on(response).expect("no panic");
        }
    }
    // A box decides about a content some time after the last end of a server.
    std::thread::sleep(Duration::from_millis(500));
    let sound = fixture.fleet.block_on(send(2000, Script::whole(Shape::Length)));
    let text = format!("{:?}", sound.expect("no panic"));
    assert!(!text.contains("quarantined") && !text.contains("servers ended under"), "{text}");
}

/// Guards against a second response to one request that is taken for that of the next request.
#[test]
fn surplus_response_reaches_no_caller() {
    // Few servers, so that their connections are used again at once.
    let fixture = Fixture::with_servers(4, 95, 1, false);
    for is_late in [false, true] {
        let shapes = Shape::ALL.into_iter().filter(|shape| !shape.ends_with_connection());
        let scripts = shapes.map(|shape| Script { shape, action: Action::Surplus { is_late } });
        let scripts: Vec<Script> = scripts.flat_map(|script| [script; 20]).collect();
        let (events, bodies): (Vec<_>, Vec<_>) =
            scripts.into_iter().partition(|script| script.shape.is_stream());
        for (path, scripts) in [(SAFE, &bodies), (ONCE, &bodies), (COMPLETION, &events)] {
            let callers = fixture.callers(if is_late { "late" } else { "surplus" }, path);
            let callers = Play { has_late_surplus: is_late, ..callers };
            let tally = fixture.fleet.runtime.block_on(callers.run(scripts.clone()));
            let faults = &tally.faults[..tally.faults.len().min(12)];
            assert!(faults.is_empty(), "{}: {faults:#?}", tally.faults.len());
        }
    }
}

#[test]
fn response_of_a_server_that_falls_silent_is_never_told_as_whole() {
    let mut fixture = Fixture::start(99, 1, false);
    fixture.configuration["limits"]["stream_idle_ms"] = json!(500);
    fixture.fleet.apply("main", &fixture.configuration).expect("a shorter limit");
    fixture.fleet.wait_for_version(3);
    let silent = [End::Silence];
    fixture.run(fixture.callers("silent", ONCE), is_plain, &silent, 17);
    fixture.run(fixture.callers("silent", COMPLETION), Shape::is_stream, &silent, 13);
}

#[test]
fn response_to_a_request_with_a_key_is_never_told_as_whole_after_a_cut() {
    let fixture = Fixture::start(100, 1, false);
    let callers = Play { key_header: Some("idempotency-key"), ..fixture.callers("keyed", ONCE) };
    fixture.run(callers, is_plain, &ENDS, 13);
}

/// The server speaks another protocol from there on, which nobody relays.
#[test]
fn change_of_the_protocol_reaches_no_caller() {
    let fixture = Fixture::start(101, 1, false);
    for path in [ONCE, SAFE, COMPLETION] {
        let callers = fixture.callers("switch", path);
        let request = callers.request("switch", Script::whole(Shape::Switch));
        let received = fixture.fleet.block_on(async {
            let mut caller = RawCaller::connect(callers.address).await.expect("a connection");
            caller.exchange(&request).await
        });
        assert_eq!(received.status, 502, "{path}: {received:?}");
    }
}

/// Ends the only box of the other region, or the path to it, while servers there are silent in the
/// middle of their responses.
fn end_in_the_middle(test_id: u8, end: fn(&mut Fleet)) {
    let Fixture { mut fleet, servers, .. } = Fixture::start(test_id, 2, false);
    let address = fleet.plan.callers_address(0, 0);
    let scripts = sample(cuts(|_| true, &[End::Silence]), 61);
    let callers: Vec<_> = scripts
        .into_iter()
        .enumerate()
        .map(|(number, script)| {
            let (path, body) = match script.shape.is_stream() {
                true => (COMPLETION, COMPLETION_BODY),
                false => (ONCE, ""),
            };
            let id = format!("{number:i>32}");
            let request = format!(
                "{} {path} HTTP/1.1\r\nhost: h.example\r\n{ID}: {id}\r\n{SCRIPT}: {script}\r\n\
                 copperweir-timeout-ms: 20000\r\ncontent-length: {}\r\n\r\n{body}",
                script.shape.method(),
                body.len()
            );
            let caller = fleet.runtime.spawn(async move {
                let mut caller = RawCaller::connect(address).await.expect("a connection");
                caller.exchange(&request).await
            });
            (id, script, caller)
        })
        .collect();
    eventually("requests have arrived or were refused", || {
        callers.iter().all(|(id, _, caller)| caller.is_finished() || servers.has_executed(id))
    });
    end(&mut fleet);
    let mut executed = 0;
    for (id, script, caller) in callers {
        let received = fleet.block_on(caller).expect("no panic");
        let was_executed = servers.has_executed(&id);
        executed += usize::from(was_executed);
        let is_explicit = received.status == 502 || received.status == 503 && !was_executed;
        assert!(!received.is_complete || is_explicit, "{script}: {received:?}");
    }
    assert!(executed > 0);
}

#[test]
fn response_of_a_box_that_is_killed_is_never_told_as_whole() {
    end_in_the_middle(96, |fleet| fleet.kill_box(1, 0));
}

#[test]
fn response_over_a_path_that_breaks_is_never_told_as_whole() {
    end_in_the_middle(97, |fleet| fleet.set_region_partitioned(1, true));
}

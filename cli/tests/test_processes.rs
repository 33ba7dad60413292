//! Runs nine boxes as processes under load while random faults occur: killed, frozen and stopped
//! boxes, regions cut off, and a failing platform. The callers record the responses, and the
//! records are compared with what the service executed. This guards against filings that run twice,
//! and against responses that misreport whether a filing ran.

#[path = "../../lib/tests/common/mod.rs"]
mod common;
mod processes;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::Fleet;
use common::Plan;
use common::Reply;
use common::eventually;
use common::send;
use copperweir_lib::transport::backend::Client;
use copperweir_standin::engine;
use copperweir_standin::platform;
use http::Method;
use http::StatusCode;
use processes::BoxProcesses;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;

const SEED: u64 = 20261202;
/// Number of fault rounds, unless COPPERWEIR_ROUNDS sets another.
const DEFAULT_ROUNDS: usize = 12;
const CALLER_COUNT: usize = 12;

/// What the callers observed.
#[derive(Default)]
struct CallerRecords {
    /// Outcomes of all attempts of each filing, by id.
    outcomes: Mutex<BTreeMap<String, Vec<Outcome>>>,
    /// Descriptions of responses with wrong content.
    wrong_responses: Mutex<Vec<String>>,
    /// Numbers of complete and failed completions.
    completion_counts: Mutex<(u64, u64)>,
}

/// What the response to a filing states about its execution.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Executed,
    NotExecuted,
    Unknown,
}

fn outcome(reply: &Result<Reply, String>) -> Outcome {
    match reply {
        Ok(reply) if reply.status == StatusCode::CREATED => Outcome::Executed,
        Ok(reply) if reply.header("copperweir-ran") == "no" => Outcome::NotExecuted,
        _ => Outcome::Unknown,
    }
}

/// Sends random requests until `stop` is set.
async fn run_caller(plan: Plan, number: u64, records: Arc<CallerRecords>, stop: Arc<AtomicBool>) {
    let mut rng = SmallRng::seed_from_u64(SEED + number);
    let client = Client::default();
    let mut filing = 0;
    while !stop.load(Ordering::Relaxed) {
        let at = plan
            .callers_address(rng.random_range(0..plan.regions), rng.random_range(0..plan.boxes));
        match rng.random_range(0..3) {
            0 => send_completion(&client, at, &mut rng, &records).await,
            _ => {
                filing += 1;
                let id = format!("f-{number}-{filing}");
                submit_filing(&client, plan, at, &id, &mut rng, &records).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..20))).await;
    }
}

/// Sends a filing to a box. With a key, it is retried at other boxes.
async fn submit_filing(
    client: &Client,
    plan: Plan,
    at: std::net::SocketAddr,
    id: &str,
    rng: &mut SmallRng,
    records: &CallerRecords,
) {
    let key = match rng.random_range(0..3) {
        0 => None,
        1 => Some(format!("key-{id}")),
        _ => match send(client, at, Method::GET, "/v1/boxes", &[], "").await {
            Ok(reply) => reply.json()["ticket"].as_str().map(str::to_owned),
            Err(_) => return,
        },
    };
    // A filing with a key may be retried, at any box.
    let attempts = if key.is_some() { 3 } else { 1 };
    for attempt in 0..attempts {
        let other_box = plan.callers_address(rng.random_range(0..plan.regions), 0);
        let to = if attempt == 0 { at } else { other_box };
        let mut headers = vec![("copperweir-timeout-ms", "3000")];
        headers.extend(key.as_deref().map(|key| ("idempotency-key", key)));
        let body = json!({"id": id}).to_string();
        let reply =
            send(client, to, Method::POST, "/services/intake/filings", &headers, &body).await;
        let outcome = outcome(&reply);
        records
            .outcomes
            .lock()
            .expect("the records")
            .entry(id.to_owned())
            .or_default()
            .push(outcome);
        if let Ok(reply) = &reply
            && outcome == Outcome::Executed
            && reply.json()["id"] != id
        {
            records
                .wrong_responses
                .lock()
                .expect("the records")
                .push(format!("{id} got {reply:?}"));
        }
        if outcome == Outcome::Executed {
            return;
        }
    }
}

/// Sends a completion request to a box and checks the tokens of the response.
async fn send_completion(
    client: &Client,
    at: std::net::SocketAddr,
    rng: &mut SmallRng,
    records: &CallerRecords,
) {
    let is_restricted = rng.random_bool(0.5);
    let model = if is_restricted { "log-first" } else { "log" };
    let (stream, tokens) = (rng.random_bool(0.5), rng.random_range(1..30));
    let prompt: u64 = rng.random();
    let body: Value = json!({"model": model, "messages": [], "stream": stream, "max_tokens": tokens, "prompt": prompt});
    let body = body.to_string();
    let headers = [("copperweir-timeout-ms", "3000")];
    let reply = send(client, at, Method::POST, "/v1/chat/completions", &headers, &body).await;
    let Ok(reply) = reply else {
        return records.completion_counts.lock().expect("the records").1 += 1;
    };
    if reply.status != StatusCode::OK {
        return records.completion_counts.lock().expect("the records").1 += 1;
    }
    records.completion_counts.lock().expect("the records").0 += 1;
    let hash = engine::prompt_hash(body.as_bytes());
    let text = String::from_utf8_lossy(&reply.body);
    let has_all_tokens = (0..tokens).all(|index| text.contains(&engine::token_text(hash, index)));
    let has_no_extra_token = !text.contains(&engine::token_text(hash, tokens));
    let ran_in_allowed_region =
        !is_restricted || reply.header("copperweir-region") == common::REGIONS[0];
    if !(has_all_tokens && has_no_extra_token && ran_in_allowed_region) {
        records.wrong_responses.lock().expect("the records").push(format!("{body} got {reply:?}"));
    }
}

/// Injects one or two random faults, and returns once all of them have ended.
fn inject_faults(fleet: &Fleet, boxes: &mut BoxProcesses, rng: &mut SmallRng) {
    let plan = fleet.plan;
    let at = (rng.random_range(0..plan.regions), rng.random_range(0..plan.boxes));
    let pause = |rng: &mut SmallRng, max_ms: u64| {
        std::thread::sleep(Duration::from_millis(rng.random_range(100..max_ms)));
    };
    // In some rounds, the platform fails in addition to the main fault.
    let platform_fails = rng.random_bool(0.4);
    if platform_fails {
        let faults = match rng.random_range(0..3) {
            0 => platform::Faults { down: true, ..Default::default() },
            1 => platform::Faults { hang: true, ..Default::default() },
            _ => platform::Faults { lose_answers: 20, slow_ms: 50, ..Default::default() },
        };
        fleet.platform.set_faults(faults);
    }
    match rng.random_range(0..4) {
        0 => {
            boxes.send_signal(at, "-KILL");
            boxes.wait_for_exit(at);
            pause(rng, 1500);
            boxes.start_box(at.0, at.1);
        }
        1 => {
            boxes.send_signal(at, "-STOP");
            pause(rng, 4000);
            boxes.send_signal(at, "-CONT");
        }
        2 => {
            boxes.send_signal(at, "-TERM");
            assert_eq!(boxes.wait_for_exit(at), Some(0), "a planned stop aborted requests");
            boxes.start_box(at.0, at.1);
        }
        _ => {
            fleet.set_region_partitioned(at.0, true);
            pause(rng, 4000);
            fleet.set_region_partitioned(at.0, false);
        }
    }
    if platform_fails {
        fleet.platform.set_faults(platform::Faults::default());
    }
    pause(rng, 1000);
}

#[test]
fn filings_run_at_most_once_through_random_faults() {
    let mut plan = Plan::new(90);
    (plan.regions, plan.boxes, plan.engines) = (3, 3, 2);
    let fleet = Fleet::without_configuration(plan);
    fleet.apply("main", &plan.configuration()).expect("applied");
    let mut boxes = BoxProcesses::start(plan);
    let is_ready = |region, number| {
        let at = plan.callers_address(region, number);
        let reply = fleet.block_on(send(&fleet.client, at, Method::GET, "/readyz", &[], ""));
        reply.is_ok_and(|reply| reply.status == StatusCode::OK)
    };
    let all_boxes =
        || (0..plan.regions).flat_map(|region| (0..plan.boxes).map(move |n| (region, n)));
    eventually("nine boxes are ready", || {
        all_boxes().all(|(region, number)| is_ready(region, number))
    });

    let (records, stop) = (Arc::new(CallerRecords::default()), Arc::new(AtomicBool::new(false)));
    let callers: Vec<_> = (0..CALLER_COUNT as u64)
        .map(|number| {
            fleet.runtime.spawn(run_caller(plan, number, Arc::clone(&records), Arc::clone(&stop)))
        })
        .collect();
    let rounds = std::env::var("COPPERWEIR_ROUNDS").ok().and_then(|text| text.parse().ok());
    let mut rng = SmallRng::seed_from_u64(SEED);
    for _ in 0..rounds.unwrap_or(DEFAULT_ROUNDS) {
        inject_faults(&fleet, &mut boxes, &mut rng);
    }
    // A configuration change after the faults reaches every box without intervention.
    let version = fleet.apply("main", &plan.configuration()).expect("applied");
    eventually("the change is in force on nine boxes", || {
        all_boxes().all(|(region, number)| {
            let at = plan.operators_address(region, number);
            let reply = fleet.block_on(send(&fleet.client, at, Method::GET, "/status", &[], ""));
            reply.is_ok_and(|reply| reply.json()["version"] == version)
        })
    });
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        fleet.block_on(caller).expect("the caller task");
    }
    check_records(&fleet, &records);
    let logs = boxes.read_logs();
    let breaches: Vec<&str> =
        logs.lines().filter(|line| line.contains("invariant_breach")).collect();
    assert!(breaches.is_empty(), "{breaches:#?}");
}

fn check_records(fleet: &Fleet, records: &CallerRecords) {
    let wrong_responses = records.wrong_responses.lock().expect("the records");
    assert!(wrong_responses.is_empty(), "{wrong_responses:#?}");
    let run_counts = fleet.service.run_counts();
    let outcomes = records.outcomes.lock().expect("the records");
    let mut counts = (0, 0, 0);
    for (id, outcomes) in outcomes.iter() {
        let runs = run_counts.get(id).copied().unwrap_or(0);
        assert!(runs <= 1, "{id} ran {runs} times; outcomes seen by callers: {outcomes:?}");
        if outcomes.contains(&Outcome::Executed) {
            counts.0 += 1;
            assert_eq!(runs, 1, "{id} was reported as executed");
        } else if outcomes.iter().all(|outcome| *outcome == Outcome::NotExecuted) {
            counts.1 += 1;
            assert_eq!(runs, 0, "{id} was reported as not executed");
        } else {
            counts.2 += 1;
        }
    }
    let completions = *records.completion_counts.lock().expect("the records");
    println!(
        "filings (executed, not executed, unknown): {counts:?}; completions (complete, failed): {completions:?}"
    );
    assert!(counts.0 > 100, "too few filings for a meaningful result");
    assert!(completions.0 > 50, "too few completions for a meaningful result");
}

//! Nine boxes as processes, killed, frozen, cut off and restarted at random
//! under load, with a ledger on the callers' side that checks what they were told.

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
use processes::Boxes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;

const SEED: u64 = 20261202;
/// Rounds of faults; COPPERWEIR_ROUNDS makes a longer run.
const ROUNDS: usize = 12;
const CALLERS: usize = 12;

/// What callers were told of each filing.
#[derive(Default)]
struct Ledger {
    told: Mutex<BTreeMap<String, Vec<Told>>>,
    wrong: Mutex<Vec<String>>,
    completions: Mutex<(u64, u64)>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Told {
    Filed,
    NotRun,
    Unknown,
}

fn told(reply: &Result<Reply, String>) -> Told {
    match reply {
        Ok(reply) if reply.status == StatusCode::CREATED => Told::Filed,
        Ok(reply) if reply.header("copperweir-ran") == "no" => Told::NotRun,
        _ => Told::Unknown,
    }
}

async fn caller(plan: Plan, number: u64, ledger: Arc<Ledger>, stop: Arc<AtomicBool>) {
    let mut rng = SmallRng::seed_from_u64(SEED + number);
    let client = Client::default();
    let mut filing = 0;
    while !stop.load(Ordering::Relaxed) {
        let at = plan
            .callers_address(rng.random_range(0..plan.regions), rng.random_range(0..plan.boxes));
        match rng.random_range(0..3) {
            0 => complete(&client, at, &mut rng, &ledger).await,
            _ => {
                filing += 1;
                let id = format!("f-{number}-{filing}");
                file(&client, plan, at, &id, &mut rng, &ledger).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..20))).await;
    }
}

async fn file(
    client: &Client,
    plan: Plan,
    at: std::net::SocketAddr,
    id: &str,
    rng: &mut SmallRng,
    ledger: &Ledger,
) {
    let key = match rng.random_range(0..3) {
        0 => None,
        1 => Some(format!("key-{id}")),
        _ => match send(client, at, Method::GET, "/v1/boxes", &[], "").await {
            Ok(reply) => reply.json()["ticket"].as_str().map(str::to_owned),
            Err(_) => return,
        },
    };
    // With a key the caller may try again, at any box.
    let tries = if key.is_some() { 3 } else { 1 };
    for attempt in 0..tries {
        let elsewhere = plan.callers_address(rng.random_range(0..plan.regions), 0);
        let to = if attempt == 0 { at } else { elsewhere };
        let mut headers = vec![("copperweir-timeout-ms", "3000")];
        headers.extend(key.as_deref().map(|key| ("idempotency-key", key)));
        let body = json!({"id": id}).to_string();
        let reply =
            send(client, to, Method::POST, "/services/intake/filings", &headers, &body).await;
        let told = told(&reply);
        ledger.told.lock().expect("ledger").entry(id.to_owned()).or_default().push(told);
        if let Ok(reply) = &reply
            && told == Told::Filed
            && reply.json()["id"] != id
        {
            ledger.wrong.lock().expect("ledger").push(format!("{id} got {reply:?}"));
        }
        if told == Told::Filed {
            return;
        }
    }
}

async fn complete(client: &Client, at: std::net::SocketAddr, rng: &mut SmallRng, ledger: &Ledger) {
    let bound = rng.random_bool(0.5);
    let model = if bound { "log-first" } else { "log" };
    let (stream, tokens) = (rng.random_bool(0.5), rng.random_range(1..30));
    let prompt: u64 = rng.random();
    let body: Value = json!({"model": model, "messages": [], "stream": stream, "max_tokens": tokens, "prompt": prompt});
    let body = body.to_string();
    let headers = [("copperweir-timeout-ms", "3000")];
    let reply = send(client, at, Method::POST, "/v1/chat/completions", &headers, &body).await;
    let Ok(reply) = reply else { return ledger.completions.lock().expect("ledger").1 += 1 };
    if reply.status != StatusCode::OK {
        return ledger.completions.lock().expect("ledger").1 += 1;
    }
    ledger.completions.lock().expect("ledger").0 += 1;
    let hash = engine::prompt_hash(body.as_bytes());
    let text = String::from_utf8_lossy(&reply.body);
    let whole = (0..tokens).all(|index| text.contains(&engine::token_text(hash, index)));
    let own = !text.contains(&engine::token_text(hash, tokens));
    let home = !bound || reply.header("copperweir-region") == common::REGIONS[0];
    if !(whole && own && home) {
        ledger.wrong.lock().expect("ledger").push(format!("{body} got {reply:?}"));
    }
}

/// One round of trouble; ends with everything running again.
fn trouble(fleet: &Fleet, boxes: &mut Boxes, rng: &mut SmallRng) {
    let plan = fleet.plan;
    let at = (rng.random_range(0..plan.regions), rng.random_range(0..plan.boxes));
    let pause = |rng: &mut SmallRng, most: u64| {
        std::thread::sleep(Duration::from_millis(rng.random_range(100..most)));
    };
    // One fault, or a second one on top of it.
    let second = rng.random_bool(0.4);
    if second {
        let faults = match rng.random_range(0..3) {
            0 => platform::Faults { down: true, ..Default::default() },
            1 => platform::Faults { hang: true, ..Default::default() },
            _ => platform::Faults { lose_answers: 20, slow_ms: 50, ..Default::default() },
        };
        fleet.platform.set_faults(faults);
    }
    match rng.random_range(0..4) {
        0 => {
            boxes.signal(at, "-KILL");
            boxes.wait(at);
            pause(rng, 1500);
            boxes.start_one(at.0, at.1);
        }
        1 => {
            boxes.signal(at, "-STOP");
            pause(rng, 4000);
            boxes.signal(at, "-CONT");
        }
        2 => {
            boxes.signal(at, "-TERM");
            assert_eq!(boxes.wait(at), Some(0), "a planned stop cut something");
            boxes.start_one(at.0, at.1);
        }
        _ => {
            fleet.set_region_cut(at.0, true);
            pause(rng, 4000);
            fleet.set_region_cut(at.0, false);
        }
    }
    if second {
        fleet.platform.set_faults(platform::Faults::default());
    }
    pause(rng, 1000);
}

#[test]
fn nine_boxes_keep_their_promises_through_trouble() {
    let mut plan = Plan::new(90);
    (plan.regions, plan.boxes, plan.engines) = (3, 3, 2);
    let fleet = Fleet::without_configuration(plan);
    fleet.apply("main", &plan.configuration()).expect("applied");
    let mut boxes = Boxes::start(plan);
    let ready = |region, number| {
        let at = plan.callers_address(region, number);
        let reply = fleet.block_on(send(&fleet.client, at, Method::GET, "/readyz", &[], ""));
        reply.is_ok_and(|reply| reply.status == StatusCode::OK)
    };
    let all = || (0..plan.regions).flat_map(|region| (0..plan.boxes).map(move |n| (region, n)));
    eventually("nine boxes are ready", || all().all(|(region, number)| ready(region, number)));

    let (ledger, stop) = (Arc::new(Ledger::default()), Arc::new(AtomicBool::new(false)));
    let callers: Vec<_> = (0..CALLERS as u64)
        .map(|number| {
            fleet.runtime.spawn(caller(plan, number, Arc::clone(&ledger), Arc::clone(&stop)))
        })
        .collect();
    let rounds = std::env::var("COPPERWEIR_ROUNDS").ok().and_then(|text| text.parse().ok());
    let mut rng = SmallRng::seed_from_u64(SEED);
    for _ in 0..rounds.unwrap_or(ROUNDS) {
        trouble(&fleet, &mut boxes, &mut rng);
    }
    // A change made now is in force everywhere, without anybody's help.
    let version = fleet.apply("main", &plan.configuration()).expect("applied");
    eventually("the change is in force on nine boxes", || {
        all().all(|(region, number)| {
            let at = plan.operators_address(region, number);
            let reply = fleet.block_on(send(&fleet.client, at, Method::GET, "/status", &[], ""));
            reply.is_ok_and(|reply| reply.json()["version"] == version)
        })
    });
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        fleet.block_on(caller).expect("a caller");
    }
    verify(&fleet, &ledger);
    let logs = boxes.logs();
    let breaches: Vec<&str> =
        logs.lines().filter(|line| line.contains("invariant_breach")).collect();
    assert!(breaches.is_empty(), "{breaches:#?}");
}

fn verify(fleet: &Fleet, ledger: &Ledger) {
    let wrong = ledger.wrong.lock().expect("ledger");
    assert!(wrong.is_empty(), "{wrong:#?}");
    let runs = fleet.service.run_counts();
    let told = ledger.told.lock().expect("ledger");
    let mut counts = (0, 0, 0);
    for (id, told) in told.iter() {
        let ran = runs.get(id).copied().unwrap_or(0);
        assert!(ran <= 1, "{id} ran {ran} times; callers were told {told:?}");
        if told.contains(&Told::Filed) {
            counts.0 += 1;
            assert_eq!(ran, 1, "{id} was said to be filed");
        } else if told.iter().all(|told| *told == Told::NotRun) {
            counts.1 += 1;
            assert_eq!(ran, 0, "{id} was said not to have run");
        } else {
            counts.2 += 1;
        }
    }
    let completions = *ledger.completions.lock().expect("ledger");
    println!(
        "filings (filed, not run, unknown): {counts:?}; completions (whole, failed): {completions:?}"
    );
    assert!(counts.0 > 100, "too few filings to prove anything");
    assert!(completions.0 > 50, "too few completions to prove anything");
}

//! Load on a box, and what came of it.
//!
//! Open loop: requests leave at the times that a seed gives, whatever the
//! answers do, and latency counts from the time at which a request should have
//! left, so that a slow box cannot hide behind a waiting client. Closed loop:
//! a fixed number of requests at any time, for the cost of passing through.

pub mod mix;
pub mod report;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use copperweir_lib::protocol::caller;
use copperweir_lib::transport::backend::Client;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Mutex;
use tokio::sync::mpsc;

use self::mix::Ask;
use self::mix::Mix;

/// Longest wait for one answer.
const PATIENCE: Duration = Duration::from_secs(60);
/// Results that wait to be counted.
const RESULTS: usize = 4096;

/// What came of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Which of the targets.
    pub target: usize,
    /// Kind, as an index into the mix.
    pub kind: usize,
    /// Status; `None` where the answer was cut or never came.
    pub status: Option<u16>,
    /// From the time it should have left to the first byte of the body.
    pub first_byte: Duration,
    /// From the time it should have left to the end.
    pub total: Duration,
    /// Longest silence between parts of the body.
    pub gap: Duration,
    /// Region that ran it.
    pub region: String,
    /// What a failure says about its having run.
    pub ran: String,
}

/// What load to put on.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where to; requests go to the targets in turn.
    pub targets: Vec<SocketAddr>,
    /// Key of a team.
    pub key: Option<String>,
    /// What to ask.
    pub mix: Mix,
    /// How long.
    pub length: Duration,
    /// Requests a second, or requests at any time.
    pub pace: Pace,
    /// Seed of arrivals and kinds.
    pub seed: u64,
}

/// When requests leave.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    /// Open loop, requests a second.
    Rate(f64),
    /// Closed loop, requests at any time.
    Concurrency(usize),
}

/// Puts the load on and gives all samples.
pub async fn run(plan: Plan) -> Vec<Sample> {
    let (sender, mut receiver) = mpsc::channel(RESULTS);
    let plan = Arc::new(plan);
    match plan.pace {
        Pace::Rate(rate) => drop(tokio::spawn(open_loop(Arc::clone(&plan), rate, sender))),
        Pace::Concurrency(count) => closed_loop(&plan, count, sender),
    }
    let mut samples = Vec::new();
    while let Some(sample) = receiver.recv().await {
        samples.push(sample);
    }
    samples
}

async fn open_loop(plan: Arc<Plan>, rate: f64, samples: mpsc::Sender<Sample>) {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let client = Client::default();
    let start = Instant::now();
    let mut due = start;
    let mut number = 0;
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / rate);
        if due >= start + plan.length {
            return;
        }
        let ask = plan.mix.draw(&mut rng);
        tokio::time::sleep_until(due.into()).await;
        let (plan, client, samples) = (Arc::clone(&plan), client.clone(), samples.clone());
        let target = number % plan.targets.len();
        number += 1;
        tokio::spawn(async move {
            let sample = one(&plan, &client, target, &ask, due).await;
            let _ = samples.send(sample).await;
        });
    }
}

fn closed_loop(plan: &Arc<Plan>, count: usize, samples: mpsc::Sender<Sample>) {
    let client = Client::default();
    let rng = Arc::new(Mutex::new(SmallRng::seed_from_u64(plan.seed)));
    let until = Instant::now() + plan.length;
    for worker in 0..count {
        let (plan, client, samples) = (Arc::clone(plan), client.clone(), samples.clone());
        let rng = Arc::clone(&rng);
        tokio::spawn(async move {
            let mut number = worker;
            while Instant::now() < until {
                let ask = plan.mix.draw(&mut *rng.lock().await);
                let target = number % plan.targets.len();
                number += 1;
                let sample = one(&plan, &client, target, &ask, Instant::now()).await;
                if samples.send(sample).await.is_err() {
                    return;
                }
            }
        });
    }
}

async fn one(plan: &Plan, client: &Client, target: usize, ask: &Ask, due: Instant) -> Sample {
    let mut sample = Sample {
        target,
        kind: ask.kind,
        status: None,
        first_byte: PATIENCE,
        total: PATIENCE,
        gap: Duration::ZERO,
        region: String::new(),
        ran: String::new(),
    };
    let exchange = exchange(plan, client, ask, due, &mut sample);
    let whole = tokio::time::timeout(PATIENCE, exchange).await.unwrap_or(None);
    sample.total = due.elapsed();
    if whole.is_none() {
        sample.status = None;
    }
    sample
}

async fn exchange(
    plan: &Plan,
    client: &Client,
    ask: &Ask,
    due: Instant,
    sample: &mut Sample,
) -> Option<()> {
    let address = plan.targets[sample.target];
    let request = request(plan, ask, address)?;
    let response = client.send(address, request, false).await.ok()?;
    let (head, mut exchange) = response.into_parts();
    sample.status = Some(head.status.as_u16());
    let text = |name: &str| {
        let value = head.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    sample.region = text(caller::REGION_HEADER);
    sample.ran = text(caller::RAN_HEADER);
    let mut last: Option<Instant> = None;
    loop {
        let Some(frame) = exchange.body().frame().await else { break };
        frame.ok()?;
        let now = Instant::now();
        match last {
            None => sample.first_byte = now.saturating_duration_since(due),
            Some(last) => sample.gap = sample.gap.max(now - last),
        }
        last = Some(now);
    }
    if last.is_none() {
        sample.first_byte = due.elapsed();
    }
    exchange.release();
    Some(())
}

fn request(plan: &Plan, ask: &Ask, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::post(&*ask.path).header("host", address.to_string());
    if let Some(key) = &plan.key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    if !ask.priority.is_empty() {
        request = request.header(caller::PRIORITY_HEADER, &*ask.priority);
    }
    if ask.timeout_ms > 0 {
        request = request.header(caller::TIMEOUT_HEADER, ask.timeout_ms);
    }
    request.body(Full::new(ask.body.clone())).ok()
}

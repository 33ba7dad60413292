//! Load generator: sends requests to boxes and measures the responses.
//!
//! Open loop: requests are sent at times derived from a seed, regardless of the
//! responses. Latency counts from the scheduled send time, so it includes the
//! time that a request waits in the client because of a slow box (no coordinated
//! omission). Closed loop: a fixed number of concurrent requests, to measure the
//! overhead of a box.

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

use self::mix::GeneratedRequest;
use self::mix::Mix;

/// Maximum time to wait for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of samples that can wait to be collected.
const SAMPLE_CHANNEL_CAPACITY: usize = 4096;

/// The result of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the target.
    pub target: usize,
    /// Index of the kind in the mix.
    pub kind: usize,
    /// Response status; `None` if the response was missing or truncated.
    pub status: Option<u16>,
    /// Time from the scheduled send to the first byte of the body.
    pub first_byte: Duration,
    /// Time from the scheduled send to the end of the response.
    pub total: Duration,
    /// Longest time between two chunks of the body.
    pub max_gap: Duration,
    /// Region that executed the request, from the response headers.
    pub region: String,
    /// Value of the header that states whether a failed request was executed.
    pub ran_header: String,
}

/// The load to generate.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Addresses to send requests to, in turn.
    pub targets: Vec<SocketAddr>,
    /// Key of the team that sends the requests.
    pub key: Option<String>,
    /// Mix of requests.
    pub mix: Mix,
    /// Duration of the load.
    pub duration: Duration,
    /// Open or closed loop.
    pub mode: LoadMode,
    /// Seed of arrival times and requests.
    pub seed: u64,
}

/// When requests are sent.
#[derive(Clone, Copy, Debug)]
pub enum LoadMode {
    /// Open loop with this number of requests per second.
    Rate(f64),
    /// Closed loop with this number of concurrent requests.
    Concurrency(usize),
}

/// Generates the load and returns all samples.
pub async fn run(plan: LoadPlan) -> Vec<Sample> {
    let (sender, mut receiver) = mpsc::channel(SAMPLE_CHANNEL_CAPACITY);
    let plan = Arc::new(plan);
    match plan.mode {
        LoadMode::Rate(rate) => drop(tokio::spawn(run_open_loop(Arc::clone(&plan), rate, sender))),
        LoadMode::Concurrency(count) => run_closed_loop(&plan, count, sender),
    }
    let mut samples = Vec::new();
    while let Some(sample) = receiver.recv().await {
        samples.push(sample);
    }
    samples
}

async fn run_open_loop(plan: Arc<LoadPlan>, rate: f64, samples: mpsc::Sender<Sample>) {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let client = Client::default();
    let start = Instant::now();
    let mut due = start;
    let mut sequence = 0;
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / rate);
        if due >= start + plan.duration {
            return;
        }
        let generated = plan.mix.generate(&mut rng);
        tokio::time::sleep_until(due.into()).await;
        let (plan, client, samples) = (Arc::clone(&plan), client.clone(), samples.clone());
        let target = sequence % plan.targets.len();
        sequence += 1;
        tokio::spawn(async move {
            let sample = measure_request(&plan, &client, target, &generated, due).await;
            let _ = samples.send(sample).await;
        });
    }
}

fn run_closed_loop(plan: &Arc<LoadPlan>, count: usize, samples: mpsc::Sender<Sample>) {
    let client = Client::default();
    let rng = Arc::new(Mutex::new(SmallRng::seed_from_u64(plan.seed)));
    let deadline = Instant::now() + plan.duration;
    for worker in 0..count {
        let (plan, client, samples) = (Arc::clone(plan), client.clone(), samples.clone());
        let rng = Arc::clone(&rng);
        tokio::spawn(async move {
            let mut sequence = worker;
            while Instant::now() < deadline {
                let generated = plan.mix.generate(&mut *rng.lock().await);
                let target = sequence % plan.targets.len();
                sequence += 1;
                let sample =
                    measure_request(&plan, &client, target, &generated, Instant::now()).await;
                if samples.send(sample).await.is_err() {
                    return;
                }
            }
        });
    }
}

async fn measure_request(
    plan: &LoadPlan,
    client: &Client,
    target: usize,
    generated: &GeneratedRequest,
    due: Instant,
) -> Sample {
    let mut sample = Sample {
        target,
        kind: generated.kind,
        status: None,
        first_byte: RESPONSE_TIMEOUT,
        total: RESPONSE_TIMEOUT,
        max_gap: Duration::ZERO,
        region: String::new(),
        ran_header: String::new(),
    };
    let receive = receive_response(plan, client, generated, due, &mut sample);
    let completed = tokio::time::timeout(RESPONSE_TIMEOUT, receive).await.unwrap_or(None);
    sample.total = due.elapsed();
    if completed.is_none() {
        sample.status = None;
    }
    sample
}

async fn receive_response(
    plan: &LoadPlan,
    client: &Client,
    generated: &GeneratedRequest,
    due: Instant,
    sample: &mut Sample,
) -> Option<()> {
    let address = plan.targets[sample.target];
    let request = build_request(plan, generated, address)?;
    let response = client.send(address, request, false).await.ok()?;
    let (head, mut exchange) = response.into_parts();
    sample.status = Some(head.status.as_u16());
    let header = |name: &str| {
        let value = head.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    sample.region = header(caller::REGION_HEADER);
    sample.ran_header = header(caller::RAN_HEADER);
    let mut last_chunk: Option<Instant> = None;
    loop {
        let Some(frame) = exchange.body().frame().await else { break };
        frame.ok()?;
        let now = Instant::now();
        match last_chunk {
            None => sample.first_byte = now.saturating_duration_since(due),
            Some(last) => sample.max_gap = sample.max_gap.max(now - last),
        }
        last_chunk = Some(now);
    }
    if last_chunk.is_none() {
        sample.first_byte = due.elapsed();
    }
    exchange.release();
    Some(())
}

fn build_request(
    plan: &LoadPlan,
    generated: &GeneratedRequest,
    address: SocketAddr,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::post(&*generated.path).header("host", address.to_string());
    if let Some(key) = &plan.key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    if !generated.priority.is_empty() {
        request = request.header(caller::PRIORITY_HEADER, &*generated.priority);
    }
    if generated.timeout_ms > 0 {
        request = request.header(caller::TIMEOUT_HEADER, generated.timeout_ms);
    }
    request.body(Full::new(generated.body.clone())).ok()
}

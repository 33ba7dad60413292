//! The settings of one box: its names, its addresses and the addresses of its peers and services.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use super::BoxId;
use super::RegionId;
use super::jsonc::Document;
use super::jsonc::Problem;
use super::jsonc::Problems;
use super::schema::Field;
use super::schema::Shape;

/// The shape of a settings file. The reference page is generated from it.
pub const SHAPE: Shape = Shape::Object(&[
    Field::required("box", Shape::String, "Name of this box; unique in the installation."),
    Field::required("region", Shape::String, "Region of this box."),
    Field::required("failure_domain", Shape::String, "Failure domain of this box."),
    Field::required("callers", Shape::String, "IP number and port for callers."),
    Field::required("peers", Shape::String, "IP number and port for other boxes."),
    Field::required("operators", Shape::String, "IP number and port for operators."),
    Field::required("platform", Shape::String, "IP number and port of the platform's service."),
    Field::required(
        "peer_secret",
        Shape::String,
        "Secret that all boxes share; 16 characters or more.",
    ),
    Field::optional(
        "operator_key_sha256",
        Shape::String,
        "SHA-256 of the operators' key in hex. Default: no key, and the operators' port must be on a loopback address.",
    ),
    Field::optional(
        "seeds",
        Shape::List(&Shape::String),
        "Peer addresses of boxes to contact when the platform is unavailable. Default: none.",
    ),
    Field::optional(
        "peer_routes",
        Shape::Map(&Shape::String),
        "Replacements for the peer addresses of other boxes, for networks with address translation. Default: none.",
    ),
    Field::optional(
        "traffic_threads",
        Shape::UnsignedInteger,
        "Number of traffic threads. Default: 2.",
    ),
    Field::optional(
        "stop_limit_ms",
        Shape::UnsignedInteger,
        "Maximum time that a planned stop waits for requests in progress. Default: 600000.",
    ),
    Field::optional(
        "stop_grace_ms",
        Shape::UnsignedInteger,
        "Time for which a leaving box still accepts requests, until callers are no longer directed to it. Default: 5000.",
    ),
    Field::optional(
        "log",
        Shape::String,
        "Log filter in the syntax of the logger, such as \"info\". Default: \"info\".",
    ),
    Field::optional(
        "statsd",
        Shape::String,
        "IP number and port that counters are sent to. Default: none.",
    ),
]);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    r#box: String,
    region: String,
    failure_domain: String,
    callers: String,
    peers: String,
    operators: String,
    platform: String,
    peer_secret: String,
    operator_key_sha256: Option<String>,
    #[serde(default)]
    seeds: Vec<String>,
    #[serde(default)]
    peer_routes: BTreeMap<String, String>,
    traffic_threads: Option<usize>,
    stop_limit_ms: Option<u64>,
    stop_grace_ms: Option<u64>,
    log: Option<String>,
    statsd: Option<String>,
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this box.
    pub name: BoxId,
    /// The region of this box.
    pub region: RegionId,
    /// The failure domain of this box.
    pub failure_domain: String,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other boxes.
    pub peers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address of the platform's service.
    pub platform: SocketAddr,
    /// The secret that all boxes share.
    pub peer_secret: String,
    /// The SHA-256 digest of the operators' key, in hex.
    pub operator_key_sha256: Option<String>,
    /// The addresses of boxes to contact when the platform is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Replacements for the peer addresses of other boxes.
    pub peer_routes: BTreeMap<SocketAddr, SocketAddr>,
    /// The number of traffic threads.
    pub traffic_threads: usize,
    /// The longest time that a planned stop waits for requests in progress.
    pub stop_limit: Duration,
    /// The time for which a leaving box still accepts requests.
    pub stop_grace: Duration,
    /// The log filter, such as `info`.
    pub log: String,
    /// The statsd address that counters are sent to.
    pub statsd: Option<SocketAddr>,
}

const DEFAULT_TRAFFIC_THREADS: usize = 2;
const MAX_TRAFFIC_THREADS: usize = 256;
const DEFAULT_STOP_LIMIT: Duration = Duration::from_secs(600);
const DEFAULT_STOP_GRACE: Duration = Duration::from_secs(5);
const MIN_SECRET_LEN: usize = 16;

impl Settings {
    /// Parses and validates a file. Reports all problems at once.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Problems> {
        let document = Document::parse(file, text).map_err(|problem| Problems(vec![problem]))?;
        let problems = SHAPE.validate(&document);
        if !problems.is_empty() {
            return Err(Problems(problems));
        }
        let raw: Raw = serde_json::from_value(document.to_json())
            .map_err(|error| Problems(vec![document.problem(&[], error.to_string(), None)]))?;
        validate(&document, raw)
    }
}

fn validate(document: &Document<'_>, raw: Raw) -> Result<Settings, Problems> {
    let mut problems = Vec::new();
    for (field, text) in
        [("box", &raw.r#box), ("region", &raw.region), ("failure_domain", &raw.failure_domain)]
    {
        if text.is_empty() {
            problems.push(document.problem(&[field], "expected a name", None));
        }
    }
    let callers = parse_address(document, "callers", &raw.callers, &mut problems);
    let peers = parse_address(document, "peers", &raw.peers, &mut problems);
    let operators = parse_address(document, "operators", &raw.operators, &mut problems);
    let platform = parse_address(document, "platform", &raw.platform, &mut problems);
    let statsd =
        raw.statsd.as_deref().map(|text| parse_address(document, "statsd", text, &mut problems));
    let seeds = raw
        .seeds
        .iter()
        .map(|text| parse_address(document, "seeds", text, &mut problems))
        .collect();
    let mut route = |(from, to): (&String, &String)| {
        let from = parse_address(document, "peer_routes", from, &mut problems);
        (from, parse_address(document, "peer_routes", to, &mut problems))
    };
    let peer_routes = raw.peer_routes.iter().map(&mut route).collect();
    if raw.peer_secret.len() < MIN_SECRET_LEN {
        let message = format!("expected {MIN_SECRET_LEN} characters or more");
        problems.push(document.problem(&["peer_secret"], message, None));
    }
    if raw.operator_key_sha256.is_none() && !operators.ip().is_loopback() {
        let hint = "set operator_key_sha256, or listen on a loopback address".to_owned();
        let message = "the operators' port is open to others and has no key";
        problems.push(document.problem(&["operators"], message, Some(hint)));
    }
    let threads = raw.traffic_threads.unwrap_or(DEFAULT_TRAFFIC_THREADS);
    if !(1..=MAX_TRAFFIC_THREADS).contains(&threads) {
        let message = format!("expected 1 to {MAX_TRAFFIC_THREADS}");
        problems.push(document.problem(&["traffic_threads"], message, None));
    }
    if !problems.is_empty() {
        return Err(Problems(problems));
    }
    Ok(Settings {
        name: raw.r#box,
        region: raw.region,
        failure_domain: raw.failure_domain,
        callers,
        peers,
        operators,
        platform,
        peer_secret: raw.peer_secret,
        operator_key_sha256: raw.operator_key_sha256,
        seeds,
        peer_routes,
        traffic_threads: threads,
        stop_limit: raw.stop_limit_ms.map_or(DEFAULT_STOP_LIMIT, Duration::from_millis),
        stop_grace: raw.stop_grace_ms.map_or(DEFAULT_STOP_GRACE, Duration::from_millis),
        log: raw.log.unwrap_or_else(|| "info".to_owned()),
        statsd,
    })
}

fn parse_address(
    document: &Document<'_>,
    field: &str,
    text: &str,
    problems: &mut Vec<Problem>,
) -> SocketAddr {
    text.parse().unwrap_or_else(|_| {
        let message = "expected an IP number and port, such as \"127.0.0.1:8080\"";
        problems.push(document.problem(&[field], message, None));
        SocketAddr::from(([0, 0, 0, 0], 0))
    })
}

//! Request mixes: kinds of requests and their relative frequency.

use bytes::Bytes;
use rand::Rng;
use serde_json::json;

/// Number of distinct shared prompt prefixes. Their popularity follows Zipf's law.
const PREFIX_COUNT: usize = 200;

/// A kind of request in a mix.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Name in the report.
    pub name: &'static str,
    /// Frequency relative to the other kinds.
    pub weight: f64,
    /// Size of the prompt prefix that requests of this kind share, in bytes.
    pub shared_prefix_bytes: usize,
    /// Size of the rest of the prompt, which is unique, in bytes.
    pub unique_bytes: usize,
    /// Number of tokens requested (`max_tokens`).
    pub max_tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Priority; empty for the default.
    pub priority: &'static str,
    /// Timeout in milliseconds; 0 for the default.
    pub timeout_ms: u64,
    /// Service that the request is a filing for; `None` for a completion.
    pub service: Option<&'static str>,
}

/// A weighted set of request kinds.
#[derive(Clone, Debug)]
pub struct Mix {
    /// The kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// Model that completions request.
    pub model: String,
}

/// A generated request.
#[derive(Clone, Debug)]
pub struct GeneratedRequest {
    /// Index of the kind in the mix.
    pub kind: usize,
    /// Request path.
    pub path: String,
    /// Request body.
    pub body: Bytes,
    /// Priority; empty for the default.
    pub priority: String,
    /// Timeout in milliseconds; 0 for the default.
    pub timeout_ms: u64,
}

const COMPLETION: RequestKind = RequestKind {
    name: "completion",
    weight: 1.0,
    shared_prefix_bytes: 200,
    unique_bytes: 50,
    max_tokens: 8,
    stream: false,
    priority: "",
    timeout_ms: 0,
    service: None,
};

impl Mix {
    /// Returns the mix with this name: `utility`, `tickets`, `plain` or `stream`. `max_tokens`
    /// overrides the number of tokens of every kind.
    pub fn by_name(name: &str, model: &str, max_tokens: Option<u32>) -> Option<Mix> {
        let mut kinds = match name {
            "utility" => utility_mix(),
            "tickets" => tickets_mix(),
            "plain" => vec![COMPLETION],
            "stream" => vec![RequestKind { name: "stream", stream: true, ..COMPLETION }],
            _ => return None,
        };
        if let Some(max_tokens) = max_tokens {
            kinds.iter_mut().for_each(|kind| kind.max_tokens = max_tokens);
        }
        Some(Mix { kinds, model: model.to_owned() })
    }

    /// Generates a random request according to the weights.
    pub fn generate(&self, rng: &mut impl Rng) -> GeneratedRequest {
        let total: f64 = self.kinds.iter().map(|kind| kind.weight).sum();
        let mut remaining = rng.random_range(0.0..total);
        let index = self.kinds.iter().position(|kind| {
            remaining -= kind.weight;
            remaining < 0.0
        });
        let index = index.unwrap_or(self.kinds.len() - 1);
        let kind = &self.kinds[index];
        GeneratedRequest {
            kind: index,
            path: request_path(kind),
            body: request_body(kind, &self.model, rng),
            priority: kind.priority.to_owned(),
            timeout_ms: kind.timeout_ms,
        }
    }
}

/// Requests of a utility: summaries of long fault logs, short questions about fault codes, and
/// filings.
fn utility_mix() -> Vec<RequestKind> {
    vec![
        RequestKind {
            name: "summary",
            weight: 0.3,
            shared_prefix_bytes: 6000,
            unique_bytes: 2000,
            max_tokens: 60,
            stream: true,
            priority: "high",
            timeout_ms: 10_000,
            ..COMPLETION
        },
        RequestKind {
            name: "question",
            weight: 0.5,
            shared_prefix_bytes: 400,
            unique_bytes: 100,
            max_tokens: 20,
            stream: true,
            ..COMPLETION
        },
        RequestKind { name: "filing", weight: 0.2, service: Some("intake"), ..COMPLETION },
    ]
}

/// Requests of a ticket shop: reviews of listings, buyers' questions, holds and checkouts.
fn tickets_mix() -> Vec<RequestKind> {
    vec![
        RequestKind {
            name: "review",
            weight: 0.2,
            shared_prefix_bytes: 9000,
            unique_bytes: 1000,
            max_tokens: 40,
            priority: "low",
            ..COMPLETION
        },
        RequestKind {
            name: "question",
            weight: 0.4,
            shared_prefix_bytes: 300,
            unique_bytes: 100,
            max_tokens: 15,
            stream: true,
            ..COMPLETION
        },
        RequestKind {
            name: "hold",
            weight: 0.3,
            service: Some("storefront"),
            priority: "high",
            timeout_ms: 2000,
            ..COMPLETION
        },
        RequestKind { name: "checkout", weight: 0.1, service: Some("storefront"), ..COMPLETION },
    ]
}

fn request_path(kind: &RequestKind) -> String {
    match kind.service {
        None => "/v1/chat/completions".to_owned(),
        Some(service) => format!("/services/{service}/filings"),
    }
}

fn request_body(kind: &RequestKind, model: &str, rng: &mut impl Rng) -> Bytes {
    let id: u64 = rng.random();
    if kind.service.is_some() {
        return Bytes::from(json!({"id": format!("{id:016x}")}).to_string());
    }
    let content = format!(
        "{}{}{id:016x}",
        filler_text(zipf_rank(rng), kind.shared_prefix_bytes),
        filler_text(id as usize, kind.unique_bytes)
    );
    let body = json!({
        "model": model,
        "stream": kind.stream,
        "max_tokens": kind.max_tokens,
        "messages": [{"role": "user", "content": content}],
    });
    Bytes::from(body.to_string())
}

/// Draws a rank from 1 up to about [`PREFIX_COUNT`], with a probability of about 1/rank.
fn zipf_rank(rng: &mut impl Rng) -> usize {
    let uniform: f64 = rng.random();
    ((PREFIX_COUNT as f64).powf(uniform)) as usize
}

/// Returns text of this size that differs between seeds.
fn filler_text(seed: usize, bytes: usize) -> String {
    let word = format!("{seed:08x} ");
    word.repeat(bytes.div_ceil(word.len())).chars().take(bytes).collect()
}

//! What callers ask: kinds of requests and how often each comes.

use bytes::Bytes;
use rand::Rng;
use serde_json::json;

/// Different beginnings of prompts that requests of a kind share, by Zipf's law.
const PREFIXES: usize = 200;

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Name in the report.
    pub name: &'static str,
    /// How often, relative to the others.
    pub share: f64,
    /// Bytes of the shared beginning of its prompt.
    pub prefix_bytes: usize,
    /// Bytes of its own.
    pub own_bytes: usize,
    /// Tokens asked for.
    pub tokens: u32,
    /// Whether the answer is a stream.
    pub stream: bool,
    /// Priority; empty for the default.
    pub priority: &'static str,
    /// Deadline, milliseconds; 0 for the default.
    pub timeout_ms: u64,
    /// A call of this service instead of a completion.
    pub service: Option<&'static str>,
}

/// Kinds of one user.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Kinds.
    pub kinds: Vec<Kind>,
    /// Model of completions.
    pub model: String,
}

/// One request to send.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Index of its kind.
    pub kind: usize,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Priority.
    pub priority: String,
    /// Deadline, milliseconds.
    pub timeout_ms: u64,
}

const COMPLETION: Kind = Kind {
    name: "completion",
    share: 1.0,
    prefix_bytes: 200,
    own_bytes: 50,
    tokens: 8,
    stream: false,
    priority: "",
    timeout_ms: 0,
    service: None,
};

impl Mix {
    /// A mix by its name: `utility`, `tickets`, `plain` or `stream`.
    pub fn named(name: &str, model: &str, tokens: Option<u32>) -> Option<Mix> {
        let mut kinds = match name {
            "utility" => utility(),
            "tickets" => tickets(),
            "plain" => vec![COMPLETION],
            "stream" => vec![Kind { name: "stream", stream: true, ..COMPLETION }],
            _ => return None,
        };
        if let Some(tokens) = tokens {
            kinds.iter_mut().for_each(|kind| kind.tokens = tokens);
        }
        Some(Mix { kinds, model: model.to_owned() })
    }

    /// Draws the next request.
    pub fn draw(&self, rng: &mut impl Rng) -> Ask {
        let total: f64 = self.kinds.iter().map(|kind| kind.share).sum();
        let mut left = rng.random_range(0.0..total);
        let drawn = self.kinds.iter().position(|kind| {
            left -= kind.share;
            left < 0.0
        });
        let index = drawn.unwrap_or(self.kinds.len() - 1);
        let kind = &self.kinds[index];
        Ask {
            kind: index,
            path: path(kind),
            body: body(kind, &self.model, rng),
            priority: kind.priority.to_owned(),
            timeout_ms: kind.timeout_ms,
        }
    }
}

/// Long fault logs, short questions about codes, and filings.
fn utility() -> Vec<Kind> {
    vec![
        Kind {
            name: "summary",
            share: 0.3,
            prefix_bytes: 6000,
            own_bytes: 2000,
            tokens: 60,
            stream: true,
            priority: "high",
            timeout_ms: 10_000,
            ..COMPLETION
        },
        Kind {
            name: "question",
            share: 0.5,
            prefix_bytes: 400,
            own_bytes: 100,
            tokens: 20,
            stream: true,
            ..COMPLETION
        },
        Kind { name: "filing", share: 0.2, service: Some("intake"), ..COMPLETION },
    ]
}

/// Reviews of listings, buyers' questions, holds and checkouts.
fn tickets() -> Vec<Kind> {
    vec![
        Kind {
            name: "review",
            share: 0.2,
            prefix_bytes: 9000,
            own_bytes: 1000,
            tokens: 40,
            priority: "low",
            ..COMPLETION
        },
        Kind {
            name: "question",
            share: 0.4,
            prefix_bytes: 300,
            own_bytes: 100,
            tokens: 15,
            stream: true,
            ..COMPLETION
        },
        Kind {
            name: "hold",
            share: 0.3,
            service: Some("storefront"),
            priority: "high",
            timeout_ms: 2000,
            ..COMPLETION
        },
        Kind { name: "checkout", share: 0.1, service: Some("storefront"), ..COMPLETION },
    ]
}

fn path(kind: &Kind) -> String {
    match kind.service {
        None => "/v1/chat/completions".to_owned(),
        Some(service) => format!("/services/{service}/filings"),
    }
}

fn body(kind: &Kind, model: &str, rng: &mut impl Rng) -> Bytes {
    let id: u64 = rng.random();
    if kind.service.is_some() {
        return Bytes::from(json!({"id": format!("{id:016x}")}).to_string());
    }
    let content = format!(
        "{}{}{id:016x}",
        text(zipf(rng), kind.prefix_bytes),
        text(id as usize, kind.own_bytes)
    );
    let body = json!({
        "model": model,
        "stream": kind.stream,
        "max_tokens": kind.tokens,
        "messages": [{"role": "user", "content": content}],
    });
    Bytes::from(body.to_string())
}

/// A number from 1 that is small most of the time.
fn zipf(rng: &mut impl Rng) -> usize {
    let uniform: f64 = rng.random();
    ((PREFIXES as f64).powf(uniform)) as usize
}

fn text(seed: usize, bytes: usize) -> String {
    let word = format!("{seed:08x} ");
    word.repeat(bytes.div_ceil(word.len())).chars().take(bytes).collect()
}

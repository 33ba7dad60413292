//! Callers that send requests to a box whose servers stop in the middle of their responses, and judge
//! what they get.
//!
//! A response that ends with its connection and is closed in order between two bytes of its body
//! can't be told from a shorter one. These cuts are counted as [`Tally::prefixes`].

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::task::JoinSet;

use crate::cut::Action;
use crate::cut::CutServers;
use crate::cut::End;
use crate::cut::ID;
use crate::cut::RawCaller;
use crate::cut::Received;
use crate::cut::SCRIPT;
use crate::cut::Script;
use crate::cut::Shape;

/// Number of callers at once, each with a connection of its own.
pub const CALLERS: usize = 16;
/// Deadline of requests whose server is silent. Longer than the time for a head.
const SILENT_DEADLINE_MS: u64 = 700;
const DEADLINE_MS: u64 = 4000;
/// Length of the IDs of requests.
const ID_LEN: usize = 32;

/// What callers saw.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests whose response was to be cut.
    pub tried: usize,
    /// Those that a server received.
    pub executed: usize,
    /// Explicit failures.
    pub failed: usize,
    /// Responses that broke off.
    pub broken: usize,
    /// Whole responses.
    pub whole: usize,
    /// Responses that ended with their connection at a place that can't be told from their end.
    pub prefixes: usize,
    /// Descriptions of what may not be.
    pub faults: Vec<String>,
}

/// Callers that send requests with scripts to a box, between sound requests.
#[derive(Clone)]
pub struct Play {
    /// The box.
    pub address: SocketAddr,
    /// The servers that run the requests.
    pub servers: CutServers,
    /// Name of the test, for the IDs.
    pub name: &'static str,
    /// Path of the requests.
    pub path: &'static str,
    /// Protocol of the callers.
    pub protocol: &'static str,
    /// The header with the time that a request has.
    pub timeout_header: &'static str,
    /// Body of the requests, unless they have none.
    pub body: &'static str,
    /// The header with a key of its own for each request.
    pub key_header: Option<&'static str>,
    /// Whether a request may go on at another server.
    pub is_repeatable: bool,
    /// Whether the box relays bodies as they arrive.
    pub relays_bodies: bool,
    /// Whether servers send surplus bytes at any time.
    pub has_late_surplus: bool,
    /// What callers saw.
    pub tally: Arc<Mutex<Tally>>,
}

impl Play {
    /// Sends each script once.
    pub async fn run(self, scripts: Vec<Script>) -> Tally {
        let scripts =
            Arc::new(Mutex::new(scripts.into_iter().enumerate().collect::<VecDeque<_>>()));
        let mut callers = JoinSet::new();
        for _ in 0..CALLERS {
            let (play, scripts) = (self.clone(), Arc::clone(&scripts));
            callers.spawn(async move { play.call(&scripts).await });
        }
        while let Some(joined) = callers.join_next().await {
            joined.expect("no panic");
        }
        let tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner).clone();
        println!(
            "{} {}: tried={} executed={} failed={} broken={} whole={} prefixes={} faults={}",
            self.name,
            self.path,
            tally.tried,
            tally.executed,
            tally.failed,
            tally.broken,
            tally.whole,
            tally.prefixes,
            tally.faults.len()
        );
        tally
    }

    async fn call(&self, scripts: &Mutex<VecDeque<(usize, Script)>>) {
        let mut caller = None;
        loop {
            let next = scripts.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
            let Some((number, script)) = next else { return };
            let sound = Script::whole(if script.shape.is_stream() {
                Shape::EventChunks
            } else {
                Shape::Length
            });
            for (script, step) in [(sound, "before"), (script, "cut"), (sound, "after")] {
                let mut open = match caller.take().filter(RawCaller::is_open) {
                    Some(open) => open,
                    None => RawCaller::connect(self.address).await.expect("a connection"),
                };
                let id = format!("{}-{}-{number}-{step}", self.name, self.path.replace('/', ""));
                let id = format!("{id:x<ID_LEN$}");
                let received = open.exchange(&self.request(&id, script)).await;
                self.judge(&id, script, &received, open.surplus());
                caller = Some(open);
            }
        }
    }

    /// The text of a request.
    pub fn request(&self, id: &str, script: Script) -> String {
        let deadline = match script.action {
            Action::Cut(_, End::Silence) => SILENT_DEADLINE_MS,
            _ => DEADLINE_MS,
        };
        let key = self.key_header.map(|name| format!("{name}: {id}\r\n")).unwrap_or_default();
        let body = if script.shape == Shape::HeadOnly { "" } else { self.body };
        format!(
            "{} {} {}\r\nhost: h.example\r\n{ID}: {id}\r\n{SCRIPT}: {script}\r\n{key}\
             {}: {deadline}\r\ncontent-length: {}\r\n\r\n{body}",
            script.shape.method(),
            self.path,
            self.protocol,
            self.timeout_header,
            body.len(),
        )
    }

    fn judge(&self, id: &str, script: Script, received: &Received, surplus: &[u8]) {
        let was_executed = self.servers.has_executed(id);
        let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        let is_cut = matches!(script.action, Action::Cut(..));
        if is_cut {
            tally.tried += 1;
            tally.executed += usize::from(was_executed);
        }
        let is_success = matches!(received.status, 200 | 204) && received.is_complete;
        let is_own = received.id == id && received.has_seal;
        let is_fault = if is_success {
            let is_whole = received.body == script.shape.body() && is_own;
            let is_prefix = is_own && is_prefix(script, &received.body);
            tally.whole += usize::from(is_cut && is_whole);
            tally.prefixes += usize::from(is_cut && is_prefix && !is_whole);
            !(is_whole && (!is_cut || self.is_repeatable) || is_prefix)
        } else if received.is_complete {
            tally.failed += usize::from(is_cut);
            let is_refused = received.status == 503 && !was_executed;
            !matches!(received.status, 502 | 504) && !is_refused
        } else {
            tally.broken += usize::from(is_cut);
            !script.shape.is_stream() && !self.relays_bodies
        };
        // Surplus bytes that arrive while the next request is sent make that one fail.
        let is_sound = is_cut || is_success || !was_executed || self.has_late_surplus;
        if is_fault || !is_sound || !surplus.is_empty() {
            tally.faults.push(format!("{id} {script}: {received:?} executed={was_executed}"));
        }
    }
}

/// Whether a body is what arrived before the orderly end of a response that ends with it.
fn is_prefix(script: Script, body: &str) -> bool {
    let Action::Cut(len, End::Close) = script.action else { return false };
    let (head, _) = script.shape.response(&"i".repeat(ID_LEN), 0);
    script.shape.ends_with_connection()
        && len >= head.len()
        && script.shape.body().starts_with(body)
        && (!script.shape.is_stream() || body.ends_with("\n\n") || body.contains("[DONE]"))
}

/// Cuts at each byte of some shapes' responses.
pub fn cuts(shapes: impl Fn(Shape) -> bool, ends: &[End]) -> Vec<Script> {
    let mut scripts = Vec::new();
    for shape in Shape::ALL.into_iter().filter(|shape| shapes(*shape)) {
        let (head, rest) = shape.response(&"i".repeat(ID_LEN), 0);
        for end in ends {
            let all = 0..head.len() + rest.len();
            scripts.extend(all.map(|len| Script { shape, action: Action::Cut(len, *end) }));
        }
    }
    scripts
}

/// Whether a shape is no stream.
pub fn is_plain(shape: Shape) -> bool {
    !shape.is_stream()
}

/// Each `step`-th cut.
pub fn sample(scripts: Vec<Script>, step: usize) -> Vec<Script> {
    scripts.into_iter().step_by(step).collect()
}

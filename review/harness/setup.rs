//! What the cases have in common: the configuration, clients and the folder for settings and logs.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Answer;
use crate::record::Record;

/// The result of a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Why a case could not run.
pub type Failure = Box<dyn std::error::Error>;

/// The host of all routes.
const HOST: &str = "reventa.example";
/// The route of the requests; the site's seat holds.
pub const PATH: &str = "/seat-hold/";
/// The time budget of a seat hold.
pub const TIME_BUDGET: Duration = Duration::from_millis(6000);

/// A configuration with one route, which is not idempotent, to a service.
pub fn configuration(version: u64, service: &str, services: &[&str]) -> String {
    let one = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"maxConns\":110,\"healthPath\":\"/health\",\"coldS\":0.0,\
             \"warmupPerS\":0.0}}"
        )
    };
    let services: Vec<String> = services.iter().map(one).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"seat-hold\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"{PATH}\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"goalMs\":400,\
         \"priority\":2,\"service\":\"{service}\",\"maxAttempts\":1}}],\"services\":[{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        services.join(",")
    )
}

/// Prints a line. Nobody need read it.
pub fn report(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Milliseconds since the epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// A folder for settings and logs that is removed at the end, unless the case could not run.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates a folder.
    pub fn create() -> std::io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("copperweir-review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt: String,
    pub at: Instant,
    pub answer: Answer,
}

/// Clients, each request on a channel and with an id of its own.
#[derive(Clone)]
pub struct Clients {
    record: Record,
    next: Arc<AtomicU64>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Clients {
    /// Creates clients that write to a record.
    pub fn new(record: &Record) -> Clients {
        Clients { record: record.clone(), next: Arc::default(), sent: Arc::default() }
    }

    /// Sends a request on a new channel and waits for its answer.
    pub fn call(&self, to: SocketAddr) -> Sent {
        self.send(to, |head, body, timeout| http::call(to, head, body, timeout))
    }

    /// Sends requests one after the other on a kept channel, until one is not answered.
    pub fn call_on_kept_channel(&self, to: SocketAddr, count: usize) -> Vec<Sent> {
        let Ok(mut stream) = http::open(to) else { return Vec::new() };
        let mut sent = Vec::new();
        for _ in 0..count {
            let next = self
                .send(to, |head, body, timeout| http::call_on(&mut stream, head, body, timeout));
            let is_closed = matches!(next.answer, Answer::Closed(_));
            sent.push(next);
            if is_closed {
                break;
            }
        }
        sent
    }

    /// Sends a request on a new channel, the first part of its head at one time and the rest at
    /// another one.
    pub fn call_in_two_parts(&self, to: SocketAddr, first: Instant, second: Instant) -> Sent {
        std::thread::sleep(first.saturating_duration_since(Instant::now()));
        let record = self.record.clone();
        self.send(to, |head, body, timeout| {
            let (first_part, rest) = head.split_at(head.len() / 2);
            let mut stream = match http::open(to) {
                Ok(stream) => stream,
                Err(error) => return Answer::Closed(error.to_string()),
            };
            if let Err(error) = stream.write_all(first_part.as_bytes()) {
                return Answer::Closed(error.to_string());
            }
            std::thread::sleep(second.saturating_duration_since(Instant::now()));
            record.note("a client sends the rest of a request");
            http::call_on(&mut stream, rest, body, timeout)
        })
    }

    fn send(&self, to: SocketAddr, call: impl FnOnce(&str, &[u8], Duration) -> Answer) -> Sent {
        let number = self.next.fetch_add(1, Ordering::SeqCst) + 1;
        let attempt = format!("{number:016x}");
        let body = b"one seat";
        let head = format!(
            "POST {PATH}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Copperweir-Attempt-Id: {attempt}\r\n\
             X-Copperweir-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            TIME_BUDGET.as_millis(),
            body.len()
        );
        let at = self.record.note(format!("client sends request {attempt} to {to}"));
        let answer = call(&head, body, TIME_BUDGET + Duration::from_secs(1));
        self.record.note(format!("request {attempt} {}", answer.describe()));
        let sent = Sent { attempt, at, answer };
        self.sent.lock().unwrap().push(sent.clone());
        sent
    }

    /// Sends a request without waiting for its answer.
    pub fn start(&self, to: SocketAddr) -> JoinHandle<Sent> {
        let clients = self.clone();
        std::thread::spawn(move || clients.call(to))
    }

    /// Sends requests at an interval for a time, and waits for all answers.
    pub fn load(&self, to: SocketAddr, interval: Duration, time: Duration) -> Vec<Sent> {
        let begun = Instant::now();
        let mut calls = Vec::new();
        while begun.elapsed() < time {
            calls.push(self.start(to));
            std::thread::sleep(interval);
        }
        calls.into_iter().filter_map(|call| call.join().ok()).collect()
    }

    /// Sends requests until one succeeds.
    pub fn warm_up(&self, to: SocketAddr) -> bool {
        http::eventually(Duration::from_secs(10), || self.call(to).answer.is_success())
    }
}

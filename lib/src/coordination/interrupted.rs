//! Requests whose response broke off, until it is known whether their server has crashed.
//!
//! A crashing server breaks off all requests that it executes. A connection reset, or a response
//! that a faulty server cuts short, breaks off one response of a server that continues to run.
//! Several interruptions at the same moment therefore prove a crash, unless the paths to several
//! servers broke at that moment. After fewer of them the box
//! probes whether the server still accepts connections; further interruptions at that server wait
//! here for the result of the probe.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use super::fingerprint::Fingerprint;

/// Hash that identifies one incarnation of a server: its id and start time. Computed by
/// [`incarnation_hash`](super::candidate::incarnation_hash).
pub type ServerIncarnation = u64;

/// How long a crash is remembered: a busy box processes the last interruptions some time after the
/// first.
const CRASH_RETENTION: Duration = Duration::from_secs(5);

/// Interruptions within [`CRASH_WINDOW`] that prove a crash. The probe is not needed then, and
/// would be unreliable: the port of a crashed server was still open up to 200 ms later.
const CRASH_INTERRUPTIONS: usize = 3;
/// Time window in which simultaneous interruptions are counted.
const CRASH_WINDOW: Duration = Duration::from_millis(40);

/// A request whose response broke off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InterruptedRequest {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// When the request was sent to the server.
    pub sent_at: Instant,
    /// When its response broke off.
    pub interrupted_at: Instant,
}

/// The action that an interruption requires.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// Probe whether the server has crashed.
    Probe,
    /// Nothing: a probe is already running.
    AwaitProbe,
    /// The server has crashed, unless this box has lost its paths to servers.
    Confirm,
    /// The server is known to have crashed while executing these requests.
    ServerCrashed(Vec<InterruptedRequest>),
}

/// Interrupted requests by server incarnation.
#[derive(Debug, Default)]
pub struct InterruptedRequests {
    pending: HashMap<ServerIncarnation, Vec<InterruptedRequest>>,
    /// Servers whose crash is being confirmed.
    confirming: HashSet<ServerIncarnation>,
    crashed_at: HashMap<ServerIncarnation, Instant>,
}

impl InterruptedRequests {
    /// Records an interruption. Returns the action that it requires.
    pub fn record(
        &mut self,
        server: ServerIncarnation,
        interrupted: InterruptedRequest,
        now: Instant,
    ) -> NextStep {
        self.crashed_at.retain(|_, at| now < *at + CRASH_RETENTION);
        if self.crashed_at.contains_key(&server) {
            return NextStep::ServerCrashed(vec![interrupted]);
        }
        let requests = self.pending.entry(server).or_default();
        requests.push(interrupted);
        let recent = requests
            .iter()
            .filter(|other| other.interrupted_at + CRASH_WINDOW >= interrupted.interrupted_at)
            .count();
        let is_first = requests.len() == 1;
        if recent >= CRASH_INTERRUPTIONS && self.confirming.insert(server) {
            return NextStep::Confirm;
        }
        if is_first { NextStep::Probe } else { NextStep::AwaitProbe }
    }

    /// Records that the server has crashed. Returns the requests that it was executing.
    pub fn record_crash(
        &mut self,
        server: ServerIncarnation,
        now: Instant,
    ) -> Vec<InterruptedRequest> {
        self.crashed_at.insert(server, now);
        self.confirming.remove(&server);
        self.pending.remove(&server).unwrap_or_default()
    }

    /// Drops the interruptions of a server that is running, or that cannot be probed, unless its
    /// crash is being confirmed.
    pub fn forget(&mut self, server: ServerIncarnation) {
        if !self.confirming.contains(&server) {
            self.pending.remove(&server);
        }
    }

    /// Drops the interruptions of a server that other boxes reach.
    pub fn dismiss(&mut self, server: ServerIncarnation) {
        self.confirming.remove(&server);
        self.pending.remove(&server);
    }
}

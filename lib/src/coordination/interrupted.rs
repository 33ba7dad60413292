//! Answers that broke off, until it is known whether their server has ended.
//!
//! A server that ends breaks off all that it runs; a connection that is reset,
//! or an answer that a faulty server cuts short, breaks off one answer of a server
//! that lives. So several that break off at one moment show that it has ended; after
//! fewer, whoever lost them looks whether the server still accepts
//! connections, and what it lost there meanwhile waits here for the outcome.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::fingerprint::Fingerprint;

/// One life of a server.
pub type ServerIncarnation = u64;

/// How long an end is remembered: a busy box sees the last broken answers some time after the first.
const CRASH_RETENTION: Duration = Duration::from_secs(5);

/// Answers that break off together from which their server has ended, whatever its port says: the port of a
/// server that had ended was found open for up to 200 ms more.
const CRASH_INTERRUPTIONS: usize = 3;
/// Time within which they do.
const CRASH_WINDOW: Duration = Duration::from_millis(40);

/// A request whose answer broke off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InterruptedRequest {
    /// The request.
    pub request: Fingerprint,
    /// When it was sent to the server.
    pub sent_at: Instant,
    /// When its answer broke off.
    pub interrupted_at: Instant,
}

/// What follows from a broken answer.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// Look whether the server has ended.
    Probe,
    /// Somebody is looking.
    AwaitProbe,
    /// It has ended under these.
    ServerCrashed(Vec<InterruptedRequest>),
}

/// Broken answers by the life of their server.
#[derive(Debug, Default)]
pub struct InterruptedRequests {
    pending: HashMap<ServerIncarnation, Vec<InterruptedRequest>>,
    crashed_at: HashMap<ServerIncarnation, Instant>,
}

impl InterruptedRequests {
    /// An answer has broken off.
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
        let pending_here = self.pending.entry(server).or_default();
        pending_here.push(interrupted);
        let recent = pending_here
            .iter()
            .filter(|other| other.interrupted_at + CRASH_WINDOW >= interrupted.interrupted_at)
            .count();
        if recent >= CRASH_INTERRUPTIONS {
            return NextStep::ServerCrashed(self.record_crash(server, now));
        }
        if pending_here.len() == 1 { NextStep::Probe } else { NextStep::AwaitProbe }
    }

    /// The server has ended. Gives what it was running.
    pub fn record_crash(
        &mut self,
        server: ServerIncarnation,
        now: Instant,
    ) -> Vec<InterruptedRequest> {
        self.crashed_at.insert(server, now);
        self.pending.remove(&server).unwrap_or_default()
    }

    /// The server lives, or nobody can say.
    pub fn forget(&mut self, server: ServerIncarnation) {
        self.pending.remove(&server);
    }
}

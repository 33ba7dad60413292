//! Crashes of servers under a request, and how many of them count.
//!
//! Servers that crash at the same moment have a cause other than a request: a power failure or the
//! loss of a switch. Simultaneous crashes therefore count once, unless the request was sent to the
//! second server after it had broken off at the first.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::coordination::fingerprint::CallerHash;
use crate::coordination::interrupted::ServerIncarnation;

/// Maximum number of crashes kept for one request: more than a certain verdict needs.
const MAX_CRASHES: usize = 12;

/// Crashes less than this apart have one cause: machines of one failure domain lose power within
/// some milliseconds, and boxes notice it with different latencies.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(40);

/// Crash of a server under a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Crash {
    /// Incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// Caller of the request.
    pub caller: CallerHash,
    /// When the request was sent to the server.
    pub sent_at: Instant,
    /// When the response broke off.
    pub crashed_at: Instant,
    /// Whether this box observed the crash.
    pub observed_here: bool,
}

impl Crash {
    /// Whether the crash cannot have the same external cause as an earlier one: the request was
    /// sent after that one, or the two are far enough apart.
    fn is_independent_of(&self, earlier: &Crash) -> bool {
        let is_later = self.crashed_at >= earlier.crashed_at + COMMON_CAUSE_WINDOW;
        self.incarnation != earlier.incarnation && (self.sent_at >= earlier.crashed_at || is_later)
    }
}

/// Known crashes under one content.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// In order of time.
    crashes: Vec<Crash>,
    /// Number of crashes that were removed to make room.
    forgotten: usize,
}

impl Evidence {
    /// Adds a crash. Returns whether it is new.
    pub fn add(&mut self, crash: Crash) -> bool {
        let is_known =
            |other: &Crash| other.incarnation == crash.incarnation && other.caller == crash.caller;
        if self.crashes.iter().any(is_known) {
            return false;
        }
        let index = self.crashes.partition_point(|other| other.crashed_at <= crash.crashed_at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
            self.forgotten += 1;
        }
        true
    }

    /// Removes the crashes under requests of one caller.
    pub fn clear(&mut self, caller: CallerHash) {
        self.crashes.retain(|crash| crash.caller != caller);
    }

    /// Callers under whose requests servers crashed.
    pub fn callers(&self) -> BTreeSet<CallerHash> {
        self.crashes.iter().map(|crash| crash.caller).collect()
    }

    /// Number of crashes that were removed to make room for others.
    pub fn forgotten_crashes(&self) -> usize {
        self.forgotten
    }

    /// All crashes.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Number of independent consecutive crashes under requests of one caller, or of all callers.
    pub fn consecutive_crashes(&self, caller: Option<CallerHash>) -> usize {
        let mut count = 0;
        let mut last: Option<&Crash> = None;
        for crash in
            self.crashes.iter().filter(|crash| caller.is_none_or(|caller| crash.caller == caller))
        {
            let is_independent = last.is_none_or(|last| crash.is_independent_of(last));
            if is_independent {
                count += 1;
                last = Some(crash);
            }
        }
        count
    }

    /// Whether a server is among those that crashed under this content.
    pub fn includes_server(&self, server: ServerIncarnation) -> bool {
        self.crashes.iter().any(|crash| crash.incarnation == server)
    }

    /// Incarnation of the server that crashed last.
    pub fn last_crashed_server(&self) -> Option<ServerIncarnation> {
        self.crashes.last().map(|crash| crash.incarnation)
    }
}

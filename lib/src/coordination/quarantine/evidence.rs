//! Ends of servers under a request, and how many of them count.
//!
//! Servers that end at the same moment have a cause outside of what they run: a
//! power failure, or the loss of a switch. So ends that come together count once,
//! unless the request was sent to the second server after it had broken off at the first.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::coordination::fingerprint::CallerHash;
use crate::coordination::interrupted::ServerIncarnation;

/// Most ends that are kept of one request: more than are ever needed to be certain.
const MAX_CRASHES: usize = 12;

/// Ends that are no further apart have one cause: machines of one failure domain lose power within some
/// milliseconds, and boxes hear of it by as much later as the way to them takes.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(40);

/// The end of a server under a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Crash {
    /// Which life of which server.
    pub incarnation: ServerIncarnation,
    /// Whose request it was.
    pub caller: CallerHash,
    /// When it was sent there.
    pub sent_at: Instant,
    /// When its answer broke off.
    pub crashed_at: Instant,
    /// Whether this box has seen it.
    pub observed_here: bool,
}

impl Crash {
    /// Whether it has not the same cause as an earlier one, unless that is the request: it was sent
    /// there after the earlier one, or the two lie apart.
    fn is_independent_of(&self, earlier: &Crash) -> bool {
        let is_later = self.crashed_at >= earlier.crashed_at + COMMON_CAUSE_WINDOW;
        self.incarnation != earlier.incarnation && (self.sent_at >= earlier.crashed_at || is_later)
    }
}

/// The ends that are known of one content.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// By the time of the end.
    crashes: Vec<Crash>,
}

impl Evidence {
    /// Adds an end, unless it is known. Says whether it was news.
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
        }
        true
    }

    /// Drops what speaks against a caller.
    pub fn clear(&mut self, caller: CallerHash) {
        self.crashes.retain(|crash| crash.caller != caller);
    }

    /// Who sent it.
    pub fn callers(&self) -> BTreeSet<CallerHash> {
        self.crashes.iter().map(|crash| crash.caller).collect()
    }

    /// All ends.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Servers that ended one after the other under it, as one caller sent it, or all.
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

    /// Whether some request here ended with that server.
    pub fn includes_server(&self, server: ServerIncarnation) -> bool {
        self.crashes.iter().any(|crash| crash.incarnation == server)
    }

    /// Life of the server that ended last.
    pub fn last_crashed_server(&self) -> Option<ServerIncarnation> {
        self.crashes.last().map(|crash| crash.incarnation)
    }
}

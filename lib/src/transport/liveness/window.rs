//! Tells a peer that doesn't read from a dead path.
//!
//! The operating system probes a peer without room for more data, and repeats data that it sent and
//! that the peer had no room for. The host of a process that stalls acknowledges both, although the
//! data doesn't advance. A dead path acknowledges nothing. The counters of `TCP_INFO` show which of
//! the two holds.

use std::time::Duration;
use std::time::Instant;

/// A host answers at most one probe within this time; the default of `tcp_invalid_ratelimit`.
const ANSWER_SPACING: Duration = Duration::from_millis(500);
/// The first bytes of `struct tcp_info` of Linux 4.6 and later, up to `tcpi_notsent_bytes`.
pub const INFO_BYTES: usize = 148;

/// How far a connection's peer has acknowledged what was written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Repetitions of data that remained unacknowledged.
    pub retransmits: u8,
    /// Probes of the peer's window that remained unanswered.
    pub probes: u8,
    /// Timeouts since data last advanced.
    pub backoff: u8,
    /// Number of segments that were sent and aren't acknowledged.
    pub unacknowledged: u32,
    /// Number of bytes that weren't sent.
    pub unsent: u32,
    /// Time since data was last sent.
    pub sent_ago: Duration,
    /// Time since the last acknowledgement.
    pub acknowledged_ago: Duration,
}

impl From<[u8; INFO_BYTES]> for Progress {
    fn from(info: [u8; INFO_BYTES]) -> Progress {
        let number = |offset: usize| {
            u32::from_ne_bytes([info[offset], info[offset + 1], info[offset + 2], info[offset + 3]])
        };
        let millis = |offset| Duration::from_millis(number(offset).into());
        Progress {
            retransmits: info[2],
            probes: info[3],
            backoff: info[4],
            unacknowledged: number(24),
            unsent: number(144),
            sent_ago: millis(44),
            acknowledged_ago: millis(56),
        }
    }
}

impl Progress {
    fn is_complete(&self) -> bool {
        self.unacknowledged == 0 && self.unsent == 0
    }

    /// Whether data doesn't advance, so that the operating system repeats it or probes.
    fn is_stalled(&self) -> bool {
        self.retransmits > 0 || self.probes > 0 || self.backoff > 0
    }

    /// Whether the peer's host acknowledged what was last sent.
    fn is_answered(&self) -> bool {
        if self.unacknowledged == 0 {
            self.probes == 0
        } else {
            self.acknowledged_ago <= self.sent_ago
        }
    }
}

/// What a connection needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The peer's host has all data.
    Complete,
    /// Data is under way.
    Advancing,
    /// The peer doesn't read, and its host answers. The operating system's bound must become this.
    Unread(Duration),
    /// The peer's host hasn't answered yet.
    Unanswered,
}

/// The time for which the data of a connection hasn't advanced.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stall {
    since: Option<Instant>,
    /// Whether the peer's host has answered since then.
    has_answered: bool,
}

impl Stall {
    /// Decides on the bound, which is `usual` without a stall. The next decision follows after
    /// `interval`.
    pub fn observe(
        &mut self,
        progress: &Progress,
        usual: Duration,
        interval: Duration,
        now: Instant,
    ) -> Verdict {
        if progress.is_complete() || !progress.is_stalled() {
            *self = Stall::default();
            let is_complete = progress.is_complete();
            return if is_complete { Verdict::Complete } else { Verdict::Advancing };
        }
        // The operating system measures the bound from the beginning of the stall.
        let since = *self.since.get_or_insert(now);
        let is_answered = progress.is_answered();
        self.has_answered |= is_answered;
        let answered_lately = progress.acknowledged_ago <= usual + ANSWER_SPACING;
        if is_answered || self.has_answered && answered_lately {
            Verdict::Unread(now.saturating_duration_since(since) + interval + usual)
        } else {
            Verdict::Unanswered
        }
    }
}

//! Whether a backend server still says anything at all.
//!
//! An engine makes a token for each stream in each of its steps, so all its
//! streams pause together only when it has stopped. One stream alone may pause
//! for long: it was put back, or waits behind a long prompt.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Silence of several streams after which a server counts as stopped. An event takes some 0.3 s at
/// an engine that reads without pause (seven tokens, 45 ms each).
const SEVERAL: Duration = Duration::from_millis(1000);
/// The same for a single stream.
const SINGLE: Duration = Duration::from_millis(2000);
/// Time between two looks. Two in a row have to find silence: after a pause of the box itself the
/// first finds old news.
const LOOK: Duration = Duration::from_millis(250);

/// What one box hears of one server.
#[derive(Debug)]
pub struct Pulse {
    since: Instant,
    /// When it was last heard, milliseconds since then.
    heard: AtomicU64,
    /// Streams of this box that have begun there.
    streams: AtomicU32,
    /// It counts as stopped until it is heard again.
    stopped: AtomicBool,
}

impl Pulse {
    /// A server that nothing was heard of yet.
    pub fn new(now: Instant) -> Pulse {
        Pulse {
            since: now,
            heard: AtomicU64::new(0),
            streams: AtomicU32::new(0),
            stopped: AtomicBool::new(false),
        }
    }

    /// Something came from it.
    pub fn heard(&self, now: Instant) {
        let at = now.saturating_duration_since(self.since).as_millis() as u64;
        self.heard.fetch_max(at, Ordering::Relaxed);
        self.stopped.store(false, Ordering::Relaxed);
    }

    /// A request goes there all the same, to find out whether it is back.
    pub fn tried(&self, now: Instant) {
        if self.stopped.load(Ordering::Relaxed) {
            self.heard(now);
        }
    }

    /// A stream has begun there.
    pub fn stream_begun(&self) {
        self.streams.fetch_add(1, Ordering::Relaxed);
    }

    /// A stream has ended there.
    pub fn stream_ended(&self) {
        self.streams.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether it has stopped: all its streams were silent for long, and nothing came since.
    pub fn has_stopped(&self, now: Instant) -> bool {
        if self.stopped.load(Ordering::Relaxed) {
            return true;
        }
        let heard = self.since + Duration::from_millis(self.heard.load(Ordering::Relaxed));
        let silent = now.saturating_duration_since(heard);
        let stopped = match self.streams.load(Ordering::Relaxed) {
            0 => false,
            1 => silent >= SINGLE,
            _ => silent >= SEVERAL,
        };
        if stopped {
            self.stopped.store(true, Ordering::Relaxed);
        }
        stopped
    }

    /// Waits until it has stopped.
    pub async fn stop(&self) {
        let mut suspected = false;
        loop {
            tokio::time::sleep(LOOK).await;
            let stopped = self.has_stopped(Instant::now());
            if stopped && suspected {
                return;
            }
            suspected = stopped;
        }
    }
}

//! The timer service: parts subscribe to ticks of a period.
//!
//! Each tick says how late it is. A large lateness means that the process was
//! frozen or starved, and that what it believes of others is old.
//!
//! Everything that waits does so through this module: a machine that was
//! suspended has waited as well, and its waits end when it wakes.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::state::clock;

/// One tick.
#[derive(Clone, Copy, Debug)]
pub struct Tick<T> {
    /// Which subscription.
    pub topic: T,
    /// When it was delivered.
    pub now: Instant,
    /// How much later than planned.
    pub lateness: Duration,
}

/// A subscription.
#[derive(Clone, Copy, Debug)]
struct Subscription<T> {
    topic: T,
    period: Duration,
    due: Instant,
}

/// Delivers ticks of all subscriptions into one channel.
#[derive(Debug)]
pub struct Timer<T> {
    subscriptions: Vec<Subscription<T>>,
}

impl<T> Default for Timer<T> {
    fn default() -> Timer<T> {
        Timer { subscriptions: Vec::new() }
    }
}

impl<T: Copy + Send + 'static> Timer<T> {
    /// Subscribes a topic; the first tick comes after `first`.
    pub fn subscribe(&mut self, topic: T, period: Duration, first: Duration) {
        let due = clock::now() + first;
        self.subscriptions.push(Subscription { topic, period, due });
    }

    /// Delivers until the receiver goes away. A tick that would come while the
    /// receiver has not yet taken earlier ones waits; lateness ticks are not made up for.
    pub async fn run(mut self, ticks: mpsc::Sender<Tick<T>>) {
        loop {
            let Some(next) = self.subscriptions.iter_mut().min_by_key(|next| next.due) else {
                return;
            };
            sleep_until(next.due).await;
            let now = clock::now();
            let lateness = now.saturating_duration_since(next.due);
            next.due += next.period;
            if next.due < now {
                next.due = now + next.period;
            }
            if ticks.send(Tick { topic: next.topic, now, lateness }).await.is_err() {
                return;
            }
        }
    }
}

/// Time between looks whether the machine was suspended: waits end so much late after that, at most.
const WATCH: Duration = Duration::from_millis(200);
/// Least suspension that waits are corrected for: less than this is within what timers are late anyway.
const SUSPENDED: Duration = Duration::from_millis(50);

/// Wakes all waits when the machine was suspended.
static RESUMED: Notify = Notify::const_new();

/// Watches for suspensions as long as the runtime lives.
pub async fn watch_for_suspensions() {
    let mut known = clock::total_suspension();
    loop {
        tokio::time::sleep(WATCH).await;
        let suspended = clock::total_suspension();
        let more = suspended.saturating_sub(known);
        if more < SUSPENDED {
            continue;
        }
        known = suspended;
        log::warn!("event=resumed suspended_ms={}", more.as_millis());
        RESUMED.notify_waiters();
    }
}

/// Waits until a moment of [`clock::now`]. A machine that was suspended meanwhile is taken into account:
/// the runtime's own timers stand still with it.
pub async fn sleep_until(at: Instant) {
    loop {
        let mut resumed = pin!(RESUMED.notified());
        resumed.as_mut().enable();
        let left = at.saturating_duration_since(clock::now());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(left) => return,
            () = resumed => {}
        }
    }
}

/// Waits for so long, as [`sleep_until`] does.
pub async fn sleep(time: Duration) {
    sleep_until(clock::now() + time).await;
}

/// The time for something is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not done in time")]
pub struct Elapsed;

/// Waits for something until a moment of [`clock::now`] at most.
pub async fn timeout_at<F: Future>(at: Instant, future: F) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(at) => Err(Elapsed),
    }
}

/// Waits for something for so long at most.
pub async fn timeout<F: Future>(time: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(clock::now() + time, future).await
}

//! The timer service: components subscribe to periodic ticks.
//!
//! Each tick has its lateness. A large lateness means that the process was frozen or starved, and
//! that its view of the other boxes is out of date.
//!
//! All waits in the process use this module. The time for which the machine was suspended counts
//! towards a wait, so waits that have expired meanwhile end when the machine resumes.

use std::future::Future;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::Sleep;

use crate::state::clock;

/// A tick of a subscription.
#[derive(Clone, Copy, Debug)]
pub struct Tick<T> {
    /// The topic of the subscription.
    pub topic: T,
    /// The time of delivery.
    pub now: Instant,
    /// The delay after the planned time.
    pub lateness: Duration,
}

/// A subscription to periodic ticks.
#[derive(Clone, Copy, Debug)]
struct Subscription<T> {
    topic: T,
    period: Duration,
    due: Instant,
}

/// Delivers the ticks of all subscriptions to one channel.
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
    /// Subscribes to ticks with a topic. The first tick comes after `initial_delay`.
    pub fn subscribe(&mut self, topic: T, period: Duration, initial_delay: Duration) {
        let due = clock::now() + initial_delay;
        self.subscriptions.push(Subscription { topic, period, due });
    }

    /// Delivers ticks until the receiver is dropped. A tick waits while the receiver has not yet
    /// taken earlier ones. Missed ticks are skipped.
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

/// The interval of checks for a suspension. After a resume, waits end late by at most this time.
const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The shortest suspension for which waits are corrected. Anything shorter is within the usual
/// lateness of timers.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Wakes all waits after a suspension of the machine.
static RESUMED: Notify = Notify::const_new();

/// Checks for suspensions for the lifetime of the runtime.
pub async fn watch_for_suspensions() {
    let mut previous_total = clock::total_suspension();
    loop {
        tokio::time::sleep(SUSPENSION_CHECK_INTERVAL).await;
        let total = clock::total_suspension();
        let suspension = total.saturating_sub(previous_total);
        if suspension < MIN_SUSPENSION {
            continue;
        }
        previous_total = total;
        log::warn!("event=resumed suspended_ms={}", suspension.as_millis());
        RESUMED.notify_waiters();
    }
}

/// Waits until an instant of [`clock::now`]. This accounts for suspensions of the machine, during
/// which the runtime's own timers stand still.
pub async fn sleep_until(at: Instant) {
    loop {
        let mut resumed = pin!(RESUMED.notified());
        resumed.as_mut().enable();
        let remaining = at.saturating_duration_since(clock::now());
        if remaining.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(remaining) => return,
            () = resumed => {}
        }
    }
}

/// Waits for a duration, as [`sleep_until`] does.
pub async fn sleep(time: Duration) {
    sleep_until(clock::now() + time).await;
}

/// A wait that its owner polls and sets again. It ignores suspensions, so it suits checks of state
/// that a suspension doesn't change.
#[derive(Debug)]
pub struct Alarm(Pin<Box<Sleep>>);

impl Alarm {
    /// Waits for a duration from now on.
    pub fn new(time: Duration) -> Alarm {
        Alarm(Box::pin(tokio::time::sleep(time)))
    }

    /// Waits for a duration from now on, whether the last wait has ended or not.
    pub fn reset(&mut self, time: Duration) {
        self.0.as_mut().reset(tokio::time::Instant::now() + time);
    }

    /// Whether the wait is over.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(context)
    }
}

/// An error for a wait that reached its timeout.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not done in time")]
pub struct Elapsed;

/// Waits for a future until an instant of [`clock::now`] at most.
pub async fn timeout_at<F: Future>(at: Instant, future: F) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(at) => Err(Elapsed),
    }
}

/// Waits for a future for a duration at most.
pub async fn timeout<F: Future>(time: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(clock::now() + time, future).await
}

//! The timer service: parts subscribe to ticks of a period.
//!
//! Each tick says how late it is. A large lateness means that the process was
//! frozen or starved, and that what it believes of others is old.

use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;

/// One tick.
#[derive(Clone, Copy, Debug)]
pub struct Tick<T> {
    /// Which subscription.
    pub topic: T,
    /// When it was delivered.
    pub now: Instant,
    /// How much later than planned.
    pub late: Duration,
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
        let due = Instant::now() + first;
        self.subscriptions.push(Subscription { topic, period, due });
    }

    /// Delivers until the receiver goes away. A tick that would come while the
    /// receiver has not yet taken earlier ones waits; late ticks are not made up for.
    pub async fn run(mut self, ticks: mpsc::Sender<Tick<T>>) {
        loop {
            let Some(next) = self.subscriptions.iter_mut().min_by_key(|next| next.due) else {
                return;
            };
            tokio::time::sleep_until(next.due.into()).await;
            let now = Instant::now();
            let late = now.saturating_duration_since(next.due);
            next.due += next.period;
            if next.due < now {
                next.due = now + next.period;
            }
            if ticks.send(Tick { topic: next.topic, now, late }).await.is_err() {
                return;
            }
        }
    }
}

//! Leader election by a lease in the platform's store.
//!
//! The holder measures the lease on its own monotonic clock, starting before it sends the request,
//! and subtracts a margin. It therefore stops before the store can grant the lease to another box,
//! and a holder that was frozen sees that its time is over before it acts.
//!
//! The epoch is the store's revision of the holder's key and increases with each holder. Backend
//! servers that can't check an epoch get orders only once the last order of the previous holder can
//! no longer arrive.

use std::time::Duration;
use std::time::Instant;

use statig::prelude::*;

/// Fencing token: increases with each holder of the lease.
pub type Epoch = u64;

/// Time parameters of a lease.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time to live of the lease in the store.
    pub ttl: Duration,
    /// Time before the end of the lease at which the holder stops acting.
    pub stop_margin: Duration,
    /// Time between attempts to acquire the lease.
    pub retry_interval: Duration,
    /// Maximum time an order takes to reach a backend server.
    pub max_order_delay: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            ttl: Duration::from_secs(9),
            stop_margin: Duration::from_secs(2),
            retry_interval: Duration::from_secs(3),
            max_order_delay: Duration::from_secs(5),
        }
    }
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Periodic timer.
    Tick(Instant),
    /// The lease was acquired.
    Acquired {
        /// Epoch of this holder.
        epoch: Epoch,
        /// When the request to acquire the lease was sent.
        asked_at: Instant,
    },
    /// Another box holds the lease, or the store did not respond.
    AcquireFailed(Instant),
    /// The lease was renewed.
    Renewed {
        /// When the request to renew the lease was sent.
        asked_at: Instant,
    },
    /// The renewal failed; the lease may still be valid.
    RenewalFailed,
    /// The store reports that the lease has expired.
    Expired(Instant),
}

/// Output of the state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Try to acquire the lease.
    Acquire,
    /// Renew the lease.
    Renew,
    /// This box holds the lease and may send orders under this epoch.
    StartLeading(Epoch),
    /// This box no longer holds the lease and must stop sending orders.
    StopLeading(Epoch),
}

/// The state machine of one box that competes for the lease.
pub struct LeaseClient {
    machine: StateMachine<machine::Machine>,
}

impl LeaseClient {
    /// Creates a client that does not hold the lease.
    pub fn new(timing: Timing) -> LeaseClient {
        LeaseClient { machine: machine::Machine::new(timing).state_machine() }
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.machine.handle_with_context(&event, &mut actions);
        actions
    }

    /// Returns when the holder must stop unless it renews the lease; `None` without the lease.
    pub fn held_until(&self) -> Option<Instant> {
        match self.machine.state() {
            machine::State::Holding { until, .. } => Some(*until),
            _ => None,
        }
    }

    /// Returns the epoch for orders to servers that check epochs; `None` if none may be sent now.
    pub fn epoch(&self, now: Instant) -> Option<Epoch> {
        match self.machine.state() {
            machine::State::Holding { epoch, until, .. } if now < *until => Some(*epoch),
            _ => None,
        }
    }

    /// Returns the epoch for orders to servers that don't check epochs; `None` if none may be sent
    /// now.
    pub fn exclusive_epoch(&self, now: Instant) -> Option<Epoch> {
        match self.machine.state() {
            machine::State::Holding { exclusive_from, .. } if now >= *exclusive_from => {
                self.epoch(now)
            }
            _ => None,
        }
    }
}

#[allow(missing_docs)]
mod machine {
    use super::*;

    pub struct Machine {
        timing: Timing,
        retry_at: Option<Instant>,
        renewal_pending: bool,
    }

    impl Machine {
        pub fn new(timing: Timing) -> Machine {
            Machine { timing, retry_at: None, renewal_pending: false }
        }

        fn schedule_retry(&mut self, now: Instant) {
            self.renewal_pending = false;
            self.retry_at = Some(now + self.timing.retry_interval);
        }

        fn end_of_term(&self, asked_at: Instant) -> Instant {
            asked_at + self.timing.ttl - self.timing.stop_margin
        }
    }

    #[state_machine(initial = "State::free()", state(derive(Debug)))]
    impl Machine {
        #[state]
        fn free(&mut self, event: &Event, context: &mut Vec<Action>) -> Outcome<State> {
            match event {
                Event::Tick(now) if self.retry_at.is_none_or(|at| *now >= at) => {
                    context.push(Action::Acquire);
                    Transition(State::acquiring())
                }
                _ => Handled,
            }
        }

        #[state]
        fn acquiring(&mut self, event: &Event, context: &mut Vec<Action>) -> Outcome<State> {
            match event {
                Event::Acquired { epoch, asked_at } => {
                    context.push(Action::StartLeading(*epoch));
                    let exclusive_from = *asked_at + self.timing.ttl + self.timing.max_order_delay;
                    Transition(State::holding(*epoch, self.end_of_term(*asked_at), exclusive_from))
                }
                Event::AcquireFailed(now) => {
                    self.schedule_retry(*now);
                    Transition(State::free())
                }
                _ => Handled,
            }
        }

        #[state]
        fn holding(
            &mut self,
            epoch: &mut Epoch,
            until: &mut Instant,
            exclusive_from: &mut Instant,
            event: &Event,
            context: &mut Vec<Action>,
        ) -> Outcome<State> {
            let _ = exclusive_from;
            match event {
                Event::Tick(now) if now >= until => {
                    context.push(Action::StopLeading(*epoch));
                    self.schedule_retry(*now);
                    Transition(State::free())
                }
                Event::Tick(now) => {
                    let renew_at = *until - (self.timing.ttl - self.timing.stop_margin) * 2 / 3;
                    if !self.renewal_pending && *now >= renew_at {
                        self.renewal_pending = true;
                        context.push(Action::Renew);
                    }
                    Handled
                }
                Event::Renewed { asked_at } => {
                    self.renewal_pending = false;
                    *until = self.end_of_term(*asked_at).max(*until);
                    Handled
                }
                Event::RenewalFailed => {
                    self.renewal_pending = false;
                    Handled
                }
                Event::Expired(now) => {
                    context.push(Action::StopLeading(*epoch));
                    self.schedule_retry(*now);
                    Transition(State::free())
                }
                _ => Handled,
            }
        }
    }
}

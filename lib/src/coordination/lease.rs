//! A duty that one box holds at a time, by a lease in the platform's store.
//!
//! The holder counts its lease on its own monotonic clock, from before it asked,
//! less a margin: it stops before the store gives the lease to another, and
//! one that was frozen finds its time over before it acts. The epoch is the
//! store's revision of the holder's key and grows with each holder. What
//! cannot check an epoch is ordered only after the predecessor's last order
//! must have landed.

use std::time::Duration;
use std::time::Instant;

use statig::prelude::*;

/// Grows with each holder of a duty.
pub type Epoch = u64;

/// Times of a lease.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Life of a lease in the store.
    pub ttl: Duration,
    /// Time before its end at which the holder stops.
    pub stop_margin: Duration,
    /// Time between attempts to become holder.
    pub retry_interval: Duration,
    /// Longest flight of an order to a backend server.
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

/// What a holder is told.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Time passes.
    Tick(Instant),
    /// The lease is ours.
    Acquired {
        /// Epoch.
        epoch: Epoch,
        /// When the lease was asked for.
        asked_at: Instant,
    },
    /// Another holds it, or the store did not answer.
    AcquireFailed(Instant),
    /// The lease was renewed.
    Renewed {
        /// When the renewal was asked for.
        asked_at: Instant,
    },
    /// The renewal failed; the lease may still live.
    RenewalFailed,
    /// The store says that the lease is over.
    Expired(Instant),
}

/// What a holder asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Try to take the lease.
    Acquire,
    /// Renew it.
    Renew,
    /// The duty begins.
    StartLeading(Epoch),
    /// The duty ends.
    StopLeading(Epoch),
}

/// One box's part in a duty.
pub struct LeaseClient {
    machine: StateMachine<machine::Machine>,
}

impl LeaseClient {
    /// A box without the lease.
    pub fn new(timing: Timing) -> LeaseClient {
        LeaseClient { machine: machine::Machine::new(timing).state_machine() }
    }

    /// Takes an event and gives what to do now.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.machine.handle_with_context(&event, &mut actions);
        actions
    }

    /// When the holder must have stopped unless it renews; `None` without the lease.
    pub fn held_until(&self) -> Option<Instant> {
        match self.machine.state() {
            machine::State::Holding { until, .. } => Some(*until),
            _ => None,
        }
    }

    /// The epoch under which orders may go now to servers that check epochs.
    pub fn epoch(&self, now: Instant) -> Option<Epoch> {
        match self.machine.state() {
            machine::State::Holding { epoch, until, .. } if now < *until => Some(*epoch),
            _ => None,
        }
    }

    /// The epoch under which orders may go now to servers that do not check epochs.
    pub fn exclusive_epoch(&self, now: Instant) -> Option<Epoch> {
        match self.machine.state() {
            machine::State::Holding { alone_from, .. } if now >= *alone_from => self.epoch(now),
            _ => None,
        }
    }
}

#[allow(missing_docs)]
mod machine {
    use super::*;

    pub struct Machine {
        timing: Timing,
        try_at: Option<Instant>,
        renewing: bool,
    }

    impl Machine {
        pub fn new(timing: Timing) -> Machine {
            Machine { timing, try_at: None, renewing: false }
        }

        fn lapse(&mut self, now: Instant) {
            self.renewing = false;
            self.try_at = Some(now + self.timing.retry_interval);
        }

        fn held_until(&self, asked_at: Instant) -> Instant {
            asked_at + self.timing.ttl - self.timing.stop_margin
        }
    }

    #[state_machine(initial = "State::free()", state(derive(Debug)))]
    impl Machine {
        #[state]
        fn free(&mut self, event: &Event, context: &mut Vec<Action>) -> Outcome<State> {
            match event {
                Event::Tick(now) if self.try_at.is_none_or(|at| *now >= at) => {
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
                    let alone_from = *asked_at + self.timing.ttl + self.timing.max_order_delay;
                    Transition(State::holding(*epoch, self.held_until(*asked_at), alone_from))
                }
                Event::AcquireFailed(now) => {
                    self.lapse(*now);
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
            alone_from: &mut Instant,
            event: &Event,
            context: &mut Vec<Action>,
        ) -> Outcome<State> {
            let _ = alone_from;
            match event {
                Event::Tick(now) if now >= until => {
                    context.push(Action::StopLeading(*epoch));
                    self.lapse(*now);
                    Transition(State::free())
                }
                Event::Tick(now) => {
                    let renew_from = *until - (self.timing.ttl - self.timing.stop_margin) * 2 / 3;
                    if !self.renewing && *now >= renew_from {
                        self.renewing = true;
                        context.push(Action::Renew);
                    }
                    Handled
                }
                Event::Renewed { asked_at } => {
                    self.renewing = false;
                    *until = self.held_until(*asked_at).max(*until);
                    Handled
                }
                Event::RenewalFailed => {
                    self.renewing = false;
                    Handled
                }
                Event::Expired(now) => {
                    context.push(Action::StopLeading(*epoch));
                    self.lapse(*now);
                    Transition(State::free())
                }
                _ => Handled,
            }
        }
    }
}

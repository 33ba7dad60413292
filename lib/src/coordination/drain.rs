//! The planned stop of a box.
//!
//! Serving, then announced: the box says everywhere that it leaves and still
//! accepts requests, since callers are told of it for a while yet. Then closing:
//! it refuses new requests and finishes those in progress. Then done.

use std::time::Duration;
use std::time::Instant;

use statig::prelude::*;

/// Times of a stop.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// How long an announced box still accepts.
    pub grace: Duration,
    /// Longest time from the request to stop to its end.
    pub limit: Duration,
}

/// What the drain is told.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The operator asks to stop; a second time means at once.
    Stop(Instant),
    /// Time passes.
    Tick {
        /// Now.
        now: Instant,
        /// Requests in progress.
        in_flight: usize,
    },
}

/// How far the stop is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Not stopping.
    Serving,
    /// Leaving, and still accepting.
    Announced,
    /// Leaving, and refusing new requests.
    Closing,
    /// Nothing is in progress.
    Done,
    /// The limit passed, or a second stop came, with requests in progress.
    Cut,
}

impl Stage {
    /// Whether new requests are accepted.
    pub fn accepts_requests(self) -> bool {
        matches!(self, Stage::Serving | Stage::Announced)
    }

    /// Whether the process should end.
    pub fn is_finished(self) -> bool {
        matches!(self, Stage::Done | Stage::Cut)
    }
}

/// A box's stop.
pub struct Drain {
    machine: StateMachine<machine::Machine>,
}

impl Drain {
    /// A serving box.
    pub fn new(timeouts: Timeouts) -> Drain {
        Drain { machine: machine::Machine { timeouts }.state_machine() }
    }

    /// Takes an event and gives the stage after it.
    pub fn handle(&mut self, event: Event) -> Stage {
        self.machine.handle(&event);
        self.stage()
    }

    /// The stage now.
    pub fn stage(&self) -> Stage {
        match self.machine.state() {
            machine::State::Serving {} => Stage::Serving,
            machine::State::Announced { .. } => Stage::Announced,
            machine::State::Closing { .. } => Stage::Closing,
            machine::State::Done {} => Stage::Done,
            machine::State::Cut {} => Stage::Cut,
        }
    }
}

#[allow(missing_docs)]
mod machine {
    use super::*;

    pub struct Machine {
        pub timeouts: Timeouts,
    }

    #[state_machine(initial = "State::serving()", state(derive(Debug)))]
    impl Machine {
        #[state]
        fn serving(&mut self, event: &Event) -> Outcome<State> {
            match event {
                Event::Stop(now) => Transition(State::announced(*now)),
                Event::Tick { .. } => Handled,
            }
        }

        #[state]
        fn announced(&mut self, since: &mut Instant, event: &Event) -> Outcome<State> {
            match event {
                Event::Stop(_) => Transition(State::cut()),
                Event::Tick { now, .. } if *now >= *since + self.timeouts.grace => {
                    Transition(State::closing(*since))
                }
                Event::Tick { .. } => Handled,
            }
        }

        #[state]
        fn closing(&mut self, since: &mut Instant, event: &Event) -> Outcome<State> {
            match event {
                Event::Stop(_) => Transition(State::cut()),
                Event::Tick { in_flight: 0, .. } => Transition(State::done()),
                Event::Tick { now, .. } if *now >= *since + self.timeouts.limit => {
                    Transition(State::cut())
                }
                Event::Tick { .. } => Handled,
            }
        }

        #[state]
        fn done(event: &Event) -> Outcome<State> {
            let _ = event;
            Handled
        }

        #[state]
        fn cut(event: &Event) -> Outcome<State> {
            let _ = event;
            Handled
        }
    }
}

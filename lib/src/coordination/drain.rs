//! Graceful shutdown of a box.
//!
//! A box starts in [`Stage::Serving`]. After a stop request it is [`Stage::Announced`]: it
//! announces that it is leaving and still accepts requests, because callers learn of the stop with
//! a delay. In [`Stage::Closing`] it accepts no new connections, soon refuses new requests and
//! finishes those in progress, until [`Stage::Done`].
//!
//! A box is done when no request is in progress and none can become so. The number of requests in
//! progress doesn't show this: while a request head is being read, or a response is being flushed,
//! it may be zero.

use std::time::Duration;
use std::time::Instant;

use statig::prelude::*;

/// How long a leaving box still accepts new connections, because callers may still be directed to
/// it for a while. After that, connections are refused and callers go to another box at once.
pub const GRACE: Duration = Duration::from_millis(2500);
/// How long a closing box still passes requests on. A caller whose connection was accepted last sends
/// its request a round trip later. Together with [`GRACE`] it stays below 3 s after the stop request,
/// after which callers may expect a response to all that was passed on.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Whether a box that was asked to stop at a time passes nothing more on. This counts from the
/// request itself, as the box may notice the end of its grace late.
pub fn refuses_requests(stop_requested_at: Option<Instant>, now: Instant) -> bool {
    stop_requested_at.is_some_and(|at| now >= at + GRACE + LAST_REQUEST_TIMEOUT)
}

/// Time limits of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time for which a box accepts requests after it has announced the stop.
    pub grace: Duration,
    /// Maximum time from the stop request until the process ends.
    pub limit: Duration,
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The operator requests a stop. A second request ends the process at once.
    Stop(Instant),
    /// Periodic timer.
    Tick {
        /// The current time.
        now: Instant,
        /// Number of requests in progress.
        in_flight: usize,
        /// Number of open connections and ports on which a request may still become complete, or
        /// whose last response is still being flushed.
        open: usize,
    },
}

/// Progress of a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// No stop was requested.
    Serving,
    /// The box is leaving and still accepts requests.
    Announced,
    /// The box is leaving, accepts no new connections and soon refuses new requests.
    Closing,
    /// No request is in progress, and none can become so.
    Done,
    /// The time limit passed, or a second stop was requested, before that.
    Cut,
}

impl Stage {
    /// Returns whether new requests are accepted.
    pub fn accepts_requests(self) -> bool {
        matches!(self, Stage::Serving | Stage::Announced)
    }

    /// Returns whether the process should exit.
    pub fn is_finished(self) -> bool {
        matches!(self, Stage::Done | Stage::Cut)
    }
}

/// The shutdown state machine of a box.
pub struct Drain {
    machine: StateMachine<machine::Machine>,
}

impl Drain {
    /// Creates the state machine of a box that is serving.
    pub fn new(timeouts: Timeouts) -> Drain {
        Drain { machine: machine::Machine { timeouts }.state_machine() }
    }

    /// Handles an event and returns the resulting stage.
    pub fn handle(&mut self, event: Event) -> Stage {
        self.machine.handle(&event);
        self.stage()
    }

    /// Returns the current stage.
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
                Event::Tick { in_flight: 0, open: 0, .. } => Transition(State::done()),
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

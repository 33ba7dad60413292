//! What came of a send to a backend server: one report, whatever the kind of answer.
//!
//! An attempt is reported when the head of its answer has come, with all that the server says of itself there, and
//! once more when it has ended. All reports go to [`super::learning`], so that no kind of answer teaches less than
//! another.

use super::candidate::Outcome;
use crate::protocol::server_status::ServerStatus;

/// What came of a send, so far or in the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The head of an answer; the rest is to come.
    Begun,
    /// A whole answer that says that the request was done.
    Answered,
    /// A whole answer that says that the request was at fault.
    Rejected,
    /// A whole answer that says that the server failed.
    Failed,
    /// The server refused, and did not run it.
    Refused,
    /// Another instance has the address, and did not run it.
    Replaced,
    /// No connection came up; it was not sent.
    Unreachable,
    /// The connection broke, or the answer did.
    BrokenOff,
    /// Bytes that are no answer to this request.
    Invalid,
    /// No answer in time.
    Silent,
    /// The server said something meanwhile by which it gets nothing; it was not sent.
    Withheld,
}

impl Event {
    /// What it means for the server's health.
    pub fn outcome(self) -> Outcome {
        match self {
            Event::Begun | Event::Withheld => Outcome::Abandoned,
            Event::Answered | Event::Rejected => Outcome::Answered,
            Event::Failed => Outcome::Failed,
            Event::Refused => Outcome::Shed,
            Event::Replaced => Outcome::Replaced,
            Event::Unreachable => Outcome::Unreachable,
            Event::BrokenOff | Event::Invalid => Outcome::Lost,
            Event::Silent => Outcome::Silent,
        }
    }

    /// Whether the server took the request, so that its head says all that the server has to say.
    pub fn is_taken(self) -> bool {
        matches!(self, Event::Begun | Event::Answered | Event::Rejected | Event::Failed)
    }
}

/// One report of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// What came of it.
    pub event: Event,
    /// What the server said of itself, where the head of an answer has just come.
    pub words: Option<ServerStatus>,
}

impl Report {
    /// The head of an answer has come.
    pub fn head(event: Event, words: ServerStatus) -> Report {
        Report { event, words: Some(words) }
    }

    /// It has ended, some time after its head or without one.
    pub fn end(event: Event) -> Report {
        Report { event, words: None }
    }
}

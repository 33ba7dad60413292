//! What came of a send to a backend server: one report, whatever the kind of answer.
//!
//! An attempt is reported when the head of its answer has come, with all that the server says of itself there, and
//! once more when it has ended. All reports go to [`super::feedback`], so that no kind of answer teaches less than
//! another.

use super::candidate::Outcome;
use crate::protocol::words::Words;

/// What came of a send, so far or in the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// The head of an answer; the rest is to come.
    HeadReceived,
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
    Interrupted,
    /// Bytes that are no answer to this request.
    Invalid,
    /// No answer in time.
    TimedOut,
    /// The server said something meanwhile by which it gets nothing; it was not sent.
    NotSent,
}

impl AttemptEvent {
    /// What it means for the server's health.
    pub fn outcome(self) -> Outcome {
        match self {
            AttemptEvent::HeadReceived | AttemptEvent::NotSent => Outcome::Abandoned,
            AttemptEvent::Answered | AttemptEvent::Rejected => Outcome::Answered,
            AttemptEvent::Failed => Outcome::Failed,
            AttemptEvent::Refused => Outcome::Shed,
            AttemptEvent::Replaced => Outcome::Replaced,
            AttemptEvent::Unreachable => Outcome::Unreachable,
            AttemptEvent::Interrupted | AttemptEvent::Invalid => Outcome::Lost,
            AttemptEvent::TimedOut => Outcome::TimedOut,
        }
    }

    /// Whether the server took the request, so that its head says all that the server has to say.
    pub fn is_accepted(self) -> bool {
        matches!(
            self,
            AttemptEvent::HeadReceived
                | AttemptEvent::Answered
                | AttemptEvent::Rejected
                | AttemptEvent::Failed
        )
    }
}

/// One report of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptReport {
    /// What came of it.
    pub event: AttemptEvent,
    /// What the server said of itself, where the head of an answer has just come.
    pub words: Option<Words>,
}

impl AttemptReport {
    /// The head of an answer has come.
    pub fn head(event: AttemptEvent, words: Words) -> AttemptReport {
        AttemptReport { event, words: Some(words) }
    }

    /// It has ended, some time after its head or without one.
    pub fn end(event: AttemptEvent) -> AttemptReport {
        AttemptReport { event, words: None }
    }
}

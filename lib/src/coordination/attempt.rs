//! The result of sending a request to a backend server, in one form for all kinds of response.
//!
//! An attempt is reported when the head of its response has arrived, with the [`ServerStatus`] in
//! that head, and again when the attempt has ended. All reports go to [`super::feedback`], so that
//! every kind of response is evaluated in the same way.

use super::candidate::Outcome;
use crate::protocol::server_status::ServerStatus;

/// Progress or final result of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// The head of a response has arrived; the body is outstanding.
    HeadReceived,
    /// A complete response: the request succeeded.
    Answered,
    /// A complete response: the request was invalid.
    Rejected,
    /// A complete response: the server failed.
    Failed,
    /// The server refused the request without executing it.
    Refused,
    /// Another instance has the address; it did not execute the request.
    Replaced,
    /// No connection could be established; the request was not sent.
    Unreachable,
    /// The server's host stopped acknowledging data; the request may have been executed.
    PathLost,
    /// The connection or the response broke off.
    Interrupted,
    /// The server sent bytes that are no valid response to this request.
    Invalid,
    /// The server did not respond in time.
    TimedOut,
    /// The request was not sent: while the connection was being established, the server reported a
    /// state in which it must get no requests.
    NotSent,
}

impl AttemptEvent {
    /// The outcome of the event with regard to the health of the server.
    pub fn outcome(self) -> Outcome {
        match self {
            AttemptEvent::HeadReceived | AttemptEvent::NotSent => Outcome::Abandoned,
            AttemptEvent::Answered | AttemptEvent::Rejected => Outcome::Answered,
            AttemptEvent::Failed => Outcome::Failed,
            AttemptEvent::Refused => Outcome::Shed,
            AttemptEvent::Replaced => Outcome::Replaced,
            AttemptEvent::Unreachable | AttemptEvent::PathLost => Outcome::Unreachable,
            AttemptEvent::Interrupted | AttemptEvent::Invalid => Outcome::Lost,
            AttemptEvent::TimedOut => Outcome::TimedOut,
        }
    }

    /// Whether the server accepted the request, so that the head of its response is a complete
    /// statement of its state.
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

/// Report of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptReport {
    /// Progress or final result.
    pub event: AttemptEvent,
    /// The status that the server reports in the head of its response; `None` if no head has just
    /// arrived.
    pub server_status: Option<ServerStatus>,
}

impl AttemptReport {
    /// Reports that the head of a response has arrived.
    pub fn head(event: AttemptEvent, server_status: ServerStatus) -> AttemptReport {
        AttemptReport { event, server_status: Some(server_status) }
    }

    /// Reports that the attempt has ended, after its head or without one.
    pub fn end(event: AttemptEvent) -> AttemptReport {
        AttemptReport { event, server_status: None }
    }
}

//! The body of an answer to a caller.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::sync::mpsc;

/// Why an answer ended before its end.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Cut {
    /// The backend server's connection broke.
    #[error("the backend server's answer broke off: {0}")]
    Broken(String),
    /// Silence for too long.
    #[error("the backend server was silent for too long")]
    Silent,
    /// The answer ended without its closing mark.
    #[error("the backend server's stream has no end mark")]
    Unfinished,
    /// The task that carried it is gone.
    #[error("the answer was given up")]
    GivenUp,
}

/// Parts of an answer.
pub type Part = Result<Bytes, Cut>;

/// The body of an answer.
#[derive(Debug)]
pub enum Answer<R> {
    /// Already whole.
    Whole(Option<Bytes>),
    /// Passed on as it arrives.
    Relay(R),
    /// Passed on by a task that outlives the caller; ends only with [`Part`]s and a final `None`.
    Channel(mpsc::Receiver<Option<Part>>),
}

/// An answer that is never relayed by polling: whole, or passed on by a task.
pub type Passed = Answer<Never>;

/// No body.
#[derive(Debug)]
pub enum Never {}

impl Body for Never {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match *self {}
    }
}

impl<R> Answer<R> {
    /// A whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> Answer<R> {
        Answer::Whole(Some(bytes.into()))
    }
}

impl<R> Body for Answer<R>
where
    R: Body<Data = Bytes, Error = Cut> + Unpin,
{
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut *self {
            Answer::Whole(bytes) => Poll::Ready(
                bytes.take().filter(|bytes| !bytes.is_empty()).map(|bytes| Ok(Frame::data(bytes))),
            ),
            Answer::Relay(relay) => Pin::new(relay).poll_frame(context),
            Answer::Channel(parts) => match parts.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Some(part))) => Poll::Ready(Some(part.map(Frame::data))),
                Poll::Ready(Some(None)) => Poll::Ready(None),
                Poll::Ready(None) => Poll::Ready(Some(Err(Cut::GivenUp))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Answer::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Answer::Relay(relay) => relay.is_end_stream(),
            Answer::Channel(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Answer::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Answer::Relay(relay) => relay.size_hint(),
            Answer::Channel(_) => SizeHint::default(),
        }
    }
}

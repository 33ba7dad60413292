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
pub enum BodyError {
    /// The backend server's connection broke.
    #[error("the backend server's answer broke off: {0}")]
    ConnectionLost(String),
    /// Silence for too long.
    #[error("the backend server was silent for too long")]
    IdleTimeout,
    /// The answer ended without its closing mark.
    #[error("the backend server's stream has no end mark")]
    MissingEnd,
    /// The task that carried it is gone.
    #[error("the answer was given up")]
    TaskGone,
}

/// Parts of an answer.
pub type Chunk = Result<Bytes, BodyError>;

/// The body of an answer.
#[derive(Debug)]
pub enum ResponseBody<R> {
    /// Already whole.
    Buffered(Option<Bytes>),
    /// Passed on as it arrives.
    Relay(R),
    /// Passed on by a task that outlives the caller; ends only with [`Chunk`]s and a final `None`.
    Channel(mpsc::Receiver<Option<Chunk>>),
}

/// An answer that is never relayed by polling: whole, or passed on by a task.
pub type RelayFreeBody = ResponseBody<NoRelay>;

/// No body.
#[derive(Debug)]
pub enum NoRelay {}

impl Body for NoRelay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match *self {}
    }
}

impl<R> ResponseBody<R> {
    /// A whole body.
    pub fn buffered(bytes: impl Into<Bytes>) -> ResponseBody<R> {
        ResponseBody::Buffered(Some(bytes.into()))
    }
}

impl<R> Body for ResponseBody<R>
where
    R: Body<Data = Bytes, Error = BodyError> + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            ResponseBody::Buffered(bytes) => Poll::Ready(
                bytes.take().filter(|bytes| !bytes.is_empty()).map(|bytes| Ok(Frame::data(bytes))),
            ),
            ResponseBody::Relay(relay) => Pin::new(relay).poll_frame(context),
            ResponseBody::Channel(parts) => match parts.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Some(part))) => Poll::Ready(Some(part.map(Frame::data))),
                Poll::Ready(Some(None)) => Poll::Ready(None),
                Poll::Ready(None) => Poll::Ready(Some(Err(BodyError::TaskGone))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            ResponseBody::Relay(relay) => relay.is_end_stream(),
            ResponseBody::Channel(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Relay(relay) => relay.size_hint(),
            ResponseBody::Channel(_) => SizeHint::default(),
        }
    }
}

//! The body of a response to a caller.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::sync::mpsc;

use crate::protocol::events::OutOfSequence;

/// The reason for which a response broke off.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BodyError {
    /// The connection to the backend server broke.
    #[error("the backend server's answer broke off: {0}")]
    ConnectionLost(String),
    /// The backend server sent nothing for too long.
    #[error("the backend server was silent for too long")]
    IdleTimeout,
    /// The stream ended without its end marker.
    #[error("the backend server's stream has no end mark")]
    MissingEnd,
    /// An event doesn't follow the one before it.
    #[error("the backend server's events are out of sequence: {0}")]
    OutOfSequence(OutOfSequence),
    /// The response exceeds a bound.
    #[error("the backend server's answer is too long: {0}")]
    TooLong(String),
    /// The backend server sent bytes that are no valid body.
    #[error("the backend server's answer is invalid: {0}")]
    Malformed(String),
    /// The caller read nothing for too long.
    #[error("the caller read nothing for too long")]
    CallerStalled,
    /// The task that relayed the response has ended.
    #[error("the answer was given up")]
    TaskGone,
}

/// A chunk of a body.
pub type Chunk = Result<Bytes, BodyError>;

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody<R> {
    /// A complete body.
    Buffered(Option<Bytes>),
    /// A body that is relayed as it arrives.
    Relay(R),
    /// A body relayed by a task that outlives the caller's request. A final `None` marks its end; a
    /// channel that closes without it is an error.
    Channel(mpsc::Receiver<Option<Chunk>>),
    /// As `Channel`, for a body of which this number of bytes is left.
    SizedChannel(mpsc::Receiver<Option<Chunk>>, u64),
}

/// A body that is never relayed by polling: it is either complete or relayed by a task.
pub type NonRelayBody = ResponseBody<NoRelay>;

/// A body type without values, for bodies that are never relayed by polling.
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
    /// Creates a complete body.
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
            ResponseBody::Channel(parts) => poll_channel(parts, context),
            ResponseBody::SizedChannel(parts, bytes_left) => {
                let polled = poll_channel(parts, context);
                if let Poll::Ready(Some(Ok(frame))) = &polled {
                    let len = frame.data_ref().map_or(0, Bytes::len) as u64;
                    *bytes_left = bytes_left.saturating_sub(len);
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            ResponseBody::Relay(relay) => relay.is_end_stream(),
            ResponseBody::Channel(_) => false,
            ResponseBody::SizedChannel(_, bytes_left) => *bytes_left == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Relay(relay) => relay.size_hint(),
            ResponseBody::Channel(_) => SizeHint::default(),
            ResponseBody::SizedChannel(_, bytes_left) => SizeHint::with_exact(*bytes_left),
        }
    }
}

fn poll_channel(
    parts: &mut mpsc::Receiver<Option<Chunk>>,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    match parts.poll_recv(context) {
        Poll::Pending => Poll::Pending,
        Poll::Ready(Some(Some(part))) => Poll::Ready(Some(part.map(Frame::data))),
        Poll::Ready(Some(None)) => Poll::Ready(None),
        Poll::Ready(None) => Poll::Ready(Some(Err(BodyError::TaskGone))),
    }
}

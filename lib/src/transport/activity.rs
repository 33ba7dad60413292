//! Activity of a server connection, which decides when it may be closed.
//!
//! The HTTP library doesn't report whether a part of a request head has arrived, or whether a response
//! is flushed. Both follow from the reads and writes of the connection: the first byte after a
//! response begins a head, and a flush after the end of a response's body shows that the operating
//! system has all of it.

use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use super::liveness;
use super::truncation::Reset;
use crate::state::clock;

/// Counts ports that accept connections, and open connections. While there are none, no request is
/// in progress or can become so.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections(Arc<AtomicUsize>);

impl OpenConnections {
    /// Counts one more until the guard is dropped.
    pub fn track(&self) -> OpenGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        OpenGuard(self.clone())
    }

    /// The current number.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

/// Counts a port or a connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenGuard(OpenConnections);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What is known of a connection without a request in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rest {
    /// What arrives next is the next request, or the rest of its head.
    BetweenRequests,
    /// The last request may not have arrived completely.
    Unknown,
}

/// Activity of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Nothing has arrived since the connection was accepted.
    Silent(Instant),
    /// A part of a request head has arrived.
    Head(Instant),
    /// A request is in progress.
    Request,
    /// The response is complete, but not flushed.
    Flushing,
    /// A response was flushed, and nothing has arrived since.
    Idle,
}

impl Phase {
    /// When the connection is closed during a shutdown, if its caller sends no more; `None` if
    /// nothing is expected of the caller.
    pub fn closes_at(self, header_timeout: Duration) -> Option<Instant> {
        match self {
            Phase::Silent(since) | Phase::Head(since) => Some(since + header_timeout),
            Phase::Request | Phase::Flushing | Phase::Idle => None,
        }
    }
}

#[derive(Debug)]
struct Inner {
    stream: liveness::Stream,
    phase: Phase,
    /// Whether the request in progress has arrived completely.
    is_request_whole: bool,
    /// Whether a part of the next request has arrived during the one in progress.
    has_next: bool,
    /// Whether nothing more is read once the request in progress has been responded to.
    holds_next: bool,
    /// Bytes that were read and given back.
    unread: Bytes,
}

impl Inner {
    fn poll_read(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.unread.is_empty() {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let len = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread.split_to(len));
        Poll::Ready(Ok(()))
    }

    fn record_read(&mut self) {
        match self.phase {
            Phase::Silent(_) | Phase::Idle => self.phase = Phase::Head(clock::now()),
            Phase::Request | Phase::Flushing => self.has_next |= self.is_request_whole,
            Phase::Head(_) => {}
        }
    }

    fn record_flush(&mut self) {
        if self.phase == Phase::Flushing {
            let has_next = std::mem::take(&mut self.has_next);
            self.phase = if has_next { Phase::Head(clock::now()) } else { Phase::Idle };
        }
    }
}

/// The connection, shared by the HTTP library and the task that decides about its end.
#[derive(Clone, Debug)]
pub struct Activity(Arc<Mutex<Inner>>);

impl Activity {
    /// Tracks a connection that was just accepted.
    pub fn new(stream: liveness::Stream) -> Activity {
        Activity(Arc::new(Mutex::new(Inner {
            stream,
            phase: Phase::Silent(clock::now()),
            is_request_whole: true,
            has_next: false,
            holds_next: false,
            unread: Bytes::new(),
        })))
    }

    /// The stream for the HTTP library.
    pub fn stream(&self) -> TrackedStream {
        TrackedStream(self.clone())
    }

    /// Activity of the connection.
    pub fn phase(&self) -> Phase {
        self.lock().phase
    }

    /// Records a complete request head, and wraps the request's body to find out when it has
    /// arrived.
    pub fn begin_request(&self, request: Request<Incoming>) -> Request<RequestBody> {
        let mut inner = self.lock();
        inner.phase = Phase::Request;
        inner.is_request_whole = request.body().is_end_stream();
        inner.has_next = false;
        drop(inner);
        request.map(|body| RequestBody { body, activity: self.clone() })
    }

    /// Whether the connection is between two requests; `None` while one is in progress.
    pub fn rest(&self) -> Option<Rest> {
        let inner = self.lock();
        match inner.phase {
            Phase::Request | Phase::Flushing => None,
            Phase::Silent(_) | Phase::Head(_) | Phase::Idle if inner.is_request_whole => {
                Some(Rest::BetweenRequests)
            }
            Phase::Silent(_) | Phase::Head(_) | Phase::Idle => Some(Rest::Unknown),
        }
    }

    /// Sets whether the next request stays unread.
    pub fn hold_next_request(&self, holds_next: bool) {
        self.lock().holds_next = holds_next;
    }

    /// Gives back bytes, which are read again before others.
    pub fn unread(&self, bytes: Bytes) {
        self.lock().unread = bytes;
    }

    /// Wraps the response's body to find out when it ends.
    pub fn track_body<B>(&self, body: B) -> TrackedBody<B> {
        TrackedBody { body, _end: BodyEnd(self.clone()) }
    }

    /// Whether the operating system has received bytes that were not read.
    pub fn has_unread(&self) -> bool {
        let inner = self.lock();
        let mut byte = [MaybeUninit::uninit()];
        !inner.unread.is_empty()
            || SockRef::from(&inner.stream).peek(&mut byte).is_ok_and(|length| length > 0)
    }

    /// Sends bytes at once, without waiting. Only for a connection that has nothing else to send.
    pub fn send_now(&self, bytes: &[u8]) {
        // The caller may be gone, or reads nothing.
        let _ = self.lock().stream.get_ref().try_write(bytes);
    }

    /// Prepares the close of a connection whose caller may not have read everything.
    pub fn leave_to_system(&self) {
        self.lock().stream.leave_to_system();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stream that records reads and flushes.
#[derive(Debug)]
pub struct TrackedStream(Activity);

impl Reset for TrackedStream {
    fn reset_on_close(&self) {
        self.0.lock().stream.reset_on_close();
    }

    fn end_on_close(&self) {
        self.0.lock().stream.end_on_close();
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let mut inner = self.0.lock();
        if inner.holds_next && inner.phase == Phase::Idle {
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let result = inner.poll_read(context, buffer);
        if buffer.filled().len() > before {
            inner.record_read();
        }
        result
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0.lock().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0.lock().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.lock().stream.is_write_vectored()
    }

    /// The HTTP library flushes the stream only once its own buffer is empty.
    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        let mut inner = self.0.lock();
        let result = Pin::new(&mut inner.stream).poll_flush(context);
        if matches!(result, Poll::Ready(Ok(()))) {
            inner.record_flush();
        }
        result
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0.lock().stream).poll_shutdown(context)
    }
}

/// A request's body, whose end is recorded.
#[derive(Debug)]
pub struct RequestBody {
    body: Incoming,
    activity: Activity,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let has_ended = match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if has_ended {
            self.activity.lock().is_request_whole = true;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[derive(Debug)]
struct BodyEnd(Activity);

impl Drop for BodyEnd {
    fn drop(&mut self) {
        self.0.lock().phase = Phase::Flushing;
    }
}

/// A response body whose end is recorded. The HTTP library drops a body once it has all of it.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    _end: BodyEnd,
}

impl<B: Body<Data = Bytes> + Unpin> Body for TrackedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

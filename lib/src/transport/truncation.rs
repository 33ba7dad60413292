//! Responses whose end is the end of their connection.
//!
//! An HTTP/1.0 caller gets no chunks. It takes the orderly close of the connection for the end of a
//! body without a length. So the connection is set to be reset when it closes, before the first byte
//! of such a response, until the operating system has all of it. A killed process can't set this any
//! more.

use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::Version;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use super::liveness;

/// A stream whose close can be made a reset.
pub trait Reset {
    /// Makes the close of the connection a reset, which discards what the caller hasn't received.
    fn reset_on_close(&self);
    /// Makes the close of the connection orderly again.
    fn end_on_close(&self);
}

impl Reset for liveness::Stream {
    fn reset_on_close(&self) {
        // The connection may have ended already.
        let _ = self.get_ref().set_zero_linger();
    }

    fn end_on_close(&self) {
        let _ = SockRef::from(self).set_linger(None);
    }
}

/// Whether a response on a connection is incomplete without the caller being able to tell.
#[derive(Clone, Debug, Default)]
pub struct Truncation(Arc<AtomicBool>);

impl Truncation {
    /// Watches the body of a response to a request of this version.
    pub fn watch<B: Body>(&self, body: B, version: Version) -> WatchedBody<B> {
        let is_unframed = version < Version::HTTP_11 && body.size_hint().exact().is_none();
        if is_unframed {
            self.set(true);
        }
        WatchedBody { body, truncation: is_unframed.then(|| self.clone()), is_read: false }
    }

    fn set(&self, is_incomplete: bool) {
        self.0.store(is_incomplete, Ordering::Release);
    }

    fn is_possible(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A body whose regular end is recorded if it is that of the connection.
#[derive(Debug)]
pub struct WatchedBody<B> {
    body: B,
    truncation: Option<Truncation>,
    is_read: bool,
}

impl<B> Drop for WatchedBody<B> {
    /// The response to a HEAD request is complete without its body, which isn't read then.
    fn drop(&mut self) {
        if let Some(truncation) = self.truncation.as_ref().filter(|_| !self.is_read) {
            truncation.set(false);
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for WatchedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        self.is_read = true;
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let has_ended = match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if let Some(truncation) = self.truncation.as_ref().filter(|_| has_ended) {
            truncation.set(false);
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

/// A connection that is reset if it closes within a response whose end is its own.
#[derive(Debug)]
pub struct ResettableStream<S: Reset> {
    stream: S,
    truncation: Truncation,
    resets: bool,
}

impl<S: Reset> ResettableStream<S> {
    /// Wraps a connection.
    pub fn new(stream: S, truncation: Truncation) -> ResettableStream<S> {
        ResettableStream { stream, truncation, resets: false }
    }

    fn before_write(&mut self) {
        if !self.resets && self.truncation.is_possible() {
            self.stream.reset_on_close();
            self.resets = true;
        }
    }
}

impl<S: Reset + AsyncRead + Unpin> AsyncRead for ResettableStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: Reset + AsyncWrite + Unpin> AsyncWrite for ResettableStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.before_write();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.before_write();
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// The HTTP library shuts a connection down once all that it has written is flushed.
    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.truncation.is_possible() {
            return Poll::Ready(Ok(()));
        }
        if std::mem::take(&mut self.resets) {
            self.stream.end_on_close();
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

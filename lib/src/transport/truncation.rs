//! Responses whose end is the end of their connection.
//!
//! An HTTP/1.0 caller gets no chunks. It takes the orderly close of the connection for the end of a
//! body without a length, so the connection of one that breaks off is reset.

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
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// A stream whose close can be made a reset.
pub trait Reset {
    /// Makes the close of the connection a reset, which discards what the caller hasn't received.
    fn reset_on_close(&self);
}

impl Reset for TcpStream {
    fn reset_on_close(&self) {
        // The connection may have ended already.
        let _ = self.set_zero_linger();
    }
}

/// Whether a response on a connection broke off without the caller being able to tell.
#[derive(Clone, Debug, Default)]
pub struct Truncation(Arc<AtomicBool>);

impl Truncation {
    /// Watches the body of a response to a request of this version.
    pub fn watch<B: Body>(&self, body: B, version: Version) -> WatchedBody<B> {
        let is_unframed = version < Version::HTTP_11 && body.size_hint().exact().is_none();
        WatchedBody { body, truncation: is_unframed.then(|| self.clone()) }
    }

    fn record(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn has_occurred(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A body whose errors are recorded if its end is that of the connection.
#[derive(Debug)]
pub struct WatchedBody<B> {
    body: B,
    truncation: Option<Truncation>,
}

impl<B: Body<Data = Bytes> + Unpin> Body for WatchedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let (Poll::Ready(Some(Err(_))), Some(truncation)) = (&polled, &self.truncation) {
            truncation.record();
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

/// A connection that is reset when it is dropped after a truncation.
#[derive(Debug)]
pub struct ResettableStream<S: Reset> {
    stream: S,
    truncation: Truncation,
}

impl<S: Reset> ResettableStream<S> {
    /// Wraps a connection.
    pub fn new(stream: S, truncation: Truncation) -> ResettableStream<S> {
        ResettableStream { stream, truncation }
    }
}

impl<S: Reset> Drop for ResettableStream<S> {
    fn drop(&mut self) {
        if self.truncation.has_occurred() {
            self.stream.reset_on_close();
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
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
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

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

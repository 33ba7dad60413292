//! Bounds the bytes that are read from a connection for one response.
//!
//! The HTTP library parses heads within the task of the connection, passes over interim responses
//! and buffers what it has read, so that a client doesn't see how much arrives. [`Metered`] counts
//! below it, and ends the connection with an error beyond the bounds.
//!
//! It also keeps responses apart from requests that they can't belong to. The runtime learns of
//! bytes some time after they have arrived, so the socket itself is asked immediately before a
//! request is written to a connection that was idle.

use std::io;
use std::io::Read;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::Notify;

use super::liveness;
use super::timer;
use crate::protocol::bounds::HEAD_TIMEOUT;
use crate::protocol::bounds::HEAD_TIMEOUT_GRACE;
use crate::protocol::bounds::MAX_HEAD_BYTES;
use crate::protocol::bounds::MAX_INTERIM_RESPONSES;
use crate::state::clock;

/// Number of bytes of a status line that tell whether the response is an interim one.
const STATUS_BYTES: usize = 12;
/// Position of the status code in a status line.
const STATUS_START: usize = 9;

/// The bound that a response exceeds.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Exceeded {
    /// More than [`MAX_HEAD_BYTES`].
    #[error("the head of the response has over {MAX_HEAD_BYTES} bytes")]
    HeadBytes,
    /// More than [`MAX_INTERIM_RESPONSES`].
    #[error("the server sent over {MAX_INTERIM_RESPONSES} interim responses")]
    InterimResponses,
    /// Longer than [`HEAD_TIMEOUT`].
    #[error("the head of the response is incomplete after {} ms", HEAD_TIMEOUT.as_millis())]
    HeadTime,
    /// More than the reader of the body allows.
    #[error("the server sent more bytes than the response may have")]
    BodyBytes,
}

impl Exceeded {
    /// Returns the bound for which a connection was ended with this error.
    pub fn from_io(error: &io::Error) -> Option<Exceeded> {
        error.get_ref()?.downcast_ref().copied()
    }
}

/// Bytes or the end of a connection arrived before the request that was to be written.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the server used or closed the connection while it was idle")]
struct NotIdle;

impl From<NotIdle> for io::Error {
    fn from(error: NotIdle) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// The part of a head that has been read.
#[derive(Default)]
struct HeadScanner {
    bytes: usize,
    interim_responses: u32,
    status_line: [u8; STATUS_BYTES],
    /// Length of the current line without its end.
    line_len: usize,
    /// Whether the status line is complete.
    in_headers: bool,
    /// When the incomplete head began to arrive.
    began_at: Option<Instant>,
    /// Time spent on earlier interim responses.
    time_spent: Duration,
}

impl HeadScanner {
    /// Reads bytes. Returns the number of bytes up to the end of the head, if it is complete.
    fn scan(&mut self, bytes: &[u8], now: Instant) -> Result<Option<usize>, Exceeded> {
        for (index, byte) in bytes.iter().enumerate() {
            self.bytes += 1;
            if self.bytes > MAX_HEAD_BYTES {
                return Err(Exceeded::HeadBytes);
            }
            match byte {
                b'\n' if self.line_len > 0 => {
                    self.in_headers = true;
                    self.line_len = 0;
                }
                b'\n' if self.in_headers && !self.is_interim() => return Ok(Some(index + 1)),
                b'\n' if self.in_headers => self.end_interim(now)?,
                // The parser skips empty lines before a status line.
                b'\n' | b'\r' => {}
                _ => {
                    if !self.in_headers && self.line_len < STATUS_BYTES {
                        self.status_line[self.line_len] = *byte;
                    }
                    self.line_len += 1;
                }
            }
        }
        if self.in_headers || self.line_len > 0 {
            self.began_at.get_or_insert(now);
        }
        Ok(None)
    }

    fn end_interim(&mut self, now: Instant) -> Result<(), Exceeded> {
        self.interim_responses += 1;
        if self.interim_responses > MAX_INTERIM_RESPONSES {
            return Err(Exceeded::InterimResponses);
        }
        if let Some(began_at) = self.began_at.take() {
            self.time_spent += now.saturating_duration_since(began_at);
        }
        self.in_headers = false;
        Ok(())
    }

    /// Whether the status code is 1xx. 101 ends the exchange as an HTTP one, so it is not interim.
    fn is_interim(&self) -> bool {
        let code = &self.status_line[STATUS_START..];
        code.starts_with(b"1") && code != b"101"
    }

    /// When the head must be complete, if a part of it has arrived.
    fn due_at(&self) -> Option<Instant> {
        Some(self.began_at? + HEAD_TIMEOUT.saturating_sub(self.time_spent))
    }
}

/// Use of a connection by requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Use {
    /// No request is under way.
    Idle,
    /// A request is to be written to a connection that was idle.
    Unwritten,
    /// A request is under way.
    Busy,
    /// A request was not written, since the connection was no longer idle.
    Refused,
}

struct State {
    usage: Use,
    /// Whether bytes arrived that no request had asked for.
    has_surplus: bool,
    /// Set while a head is awaited.
    head: Option<HeadScanner>,
    /// Bytes read after the head.
    body_bytes: u64,
    /// Maximum of `body_bytes`.
    max_body_bytes: u64,
    /// Maximum of `body_bytes` until the next part of the body is complete.
    max_part_bytes: u64,
}

impl State {
    /// Records bytes that arrived while no request was under way.
    fn record_surplus(&mut self, bytes: &[u8]) {
        self.has_surplus |= !bytes.is_empty() && !is_idle_timeout(bytes);
    }

    fn record(&mut self, bytes: &[u8]) -> Result<(), Exceeded> {
        let mut body_bytes = bytes.len();
        if let Some(head) = &mut self.head {
            let Some(head_bytes) = head.scan(bytes, clock::now())? else { return Ok(()) };
            self.head = None;
            body_bytes -= head_bytes;
        }
        self.body_bytes += body_bytes as u64;
        if self.body_bytes > self.max_body_bytes.min(self.max_part_bytes) {
            return Err(Exceeded::BodyBytes);
        }
        Ok(())
    }
}

/// Counts the bytes that are read from a connection.
#[derive(Clone)]
pub struct Meter(Arc<Shared>);

struct Shared {
    state: Mutex<State>,
    /// Notified when a part of a head has arrived.
    head_began: Notify,
}

impl Meter {
    /// Creates a meter without bounds; [`Meter::begin`] sets those on a head.
    pub fn new() -> Meter {
        let state = State {
            usage: Use::Idle,
            has_surplus: false,
            head: None,
            body_bytes: 0,
            max_body_bytes: u64::MAX,
            max_part_bytes: u64::MAX,
        };
        Meter(Arc::new(Shared { state: Mutex::new(state), head_began: Notify::new() }))
    }

    /// Begins an exchange. The head of the response is bounded, and its body isn't yet. With
    /// `was_idle`, the request is refused if anything has arrived before it is written.
    pub fn begin(&self, was_idle: bool) {
        let mut state = self.lock();
        state.usage = if was_idle { Use::Unwritten } else { Use::Busy };
        state.head = Some(HeadScanner::default());
        state.body_bytes = 0;
        state.max_body_bytes = u64::MAX;
        state.max_part_bytes = u64::MAX;
    }

    /// Ends an exchange whose response was read completely.
    pub fn end(&self) {
        self.lock().usage = Use::Idle;
    }

    /// Whether the last request was not written, since the connection was no longer idle.
    pub fn has_refused(&self) -> bool {
        self.lock().usage == Use::Refused
    }

    /// Whether the server sent bytes that no request had asked for.
    pub fn has_surplus(&self) -> bool {
        self.lock().has_surplus
    }

    /// Bounds the number of bytes of the body and its framing.
    pub fn limit_body(&self, max_bytes: u64) {
        self.lock().max_body_bytes = max_bytes;
    }

    /// Bounds the number of bytes that may be read from now on.
    pub fn limit_next(&self, max_bytes: u64) {
        let mut state = self.lock();
        state.max_body_bytes = state.body_bytes.saturating_add(max_bytes);
    }

    /// Bounds the number of bytes that may be read until the next part of the body is complete.
    pub fn limit_part(&self, max_bytes: u64) {
        let mut state = self.lock();
        state.max_part_bytes = state.body_bytes.saturating_add(max_bytes);
    }

    /// Waits until the time for an incomplete head is over. Never returns for a head that doesn't
    /// begin or that is complete.
    pub async fn head_overdue(&self) {
        loop {
            let began = self.0.head_began.notified();
            match self.due_at() {
                None => began.await,
                Some(due_at) => {
                    timer::sleep_until(due_at).await;
                    timer::sleep(HEAD_TIMEOUT_GRACE).await;
                    if self.due_at().is_some_and(|due_at| due_at <= clock::now()) {
                        return;
                    }
                }
            }
        }
    }

    fn due_at(&self) -> Option<Instant> {
        self.lock().head.as_ref().and_then(HeadScanner::due_at)
    }

    fn record(&self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        match state.usage {
            Use::Idle => state.record_surplus(bytes),
            Use::Unwritten => {
                state.record_surplus(bytes);
                state.usage = Use::Refused;
            }
            Use::Busy | Use::Refused => {}
        }
        let result = state.record(bytes);
        let is_head_incomplete = state.head.is_some();
        drop(state);
        if is_head_incomplete {
            self.0.head_began.notify_one();
        }
        result.map_err(|exceeded| io::Error::new(io::ErrorKind::InvalidData, exceeded))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Meter {
    fn default() -> Meter {
        Meter::new()
    }
}

/// Whether bytes begin the response by which servers may announce that they close an idle
/// connection.
fn is_idle_timeout(bytes: &[u8]) -> bool {
    bytes.starts_with(b"HTTP/1.") && bytes.get(STATUS_START..STATUS_BYTES) == Some(b"408")
}

/// A connection whose read bytes are counted.
pub struct Metered {
    stream: liveness::Stream,
    meter: Meter,
}

impl Metered {
    /// Counts the bytes that are read from `stream`.
    pub fn new(stream: liveness::Stream, meter: Meter) -> Metered {
        Metered { stream, meter }
    }

    /// Fails if bytes or the end of the connection arrived before the request.
    fn check_idle(&self) -> io::Result<()> {
        let mut state = self.meter.lock();
        match state.usage {
            Use::Idle | Use::Busy => return Ok(()),
            Use::Refused => return Err(NotIdle.into()),
            Use::Unwritten => {}
        }
        // The runtime can't tell of what it has not been told of yet.
        let mut bytes = [0; STATUS_BYTES];
        match (&*SockRef::from(&self.stream)).read(&mut bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock && !state.has_surplus => {
                state.usage = Use::Busy;
                return Ok(());
            }
            Ok(len) => state.record_surplus(&bytes[..len]),
            Err(_) => {}
        }
        state.usage = Use::Refused;
        Err(NotIdle.into())
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.meter.record(&buffer.filled()[filled..]))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_idle()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_idle()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

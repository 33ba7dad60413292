//! Relays the response of one backend exchange to one caller and reports a
//! truncated response as an error.
//!
//! The relay owns the exchange, the slot and the in-flight count of its
//! request. It ends the response cleanly only if the backend server did so; a
//! stream of events must also contain its end marker. Otherwise the caller
//! receives an error event, if the response is a stream of events, and the
//! response always ends with an error.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use serde_json::json;
use tokio::time::Sleep;
use tokio_stream::Stream;
use tonic::Streaming;

use super::pools::Slot;
use super::quarantine::Execution;
use super::shared::InFlightGuard;
use super::shared::SharedState;
use super::shared::lock;
use crate::coordination::invariant;
use crate::coordination::invariant::Invariant;
use crate::coordination::pool::Outcome;
use crate::protocol::PoolId;
use crate::protocol::peer::wire;
use crate::protocol::peer::wire::forward_frame::Frame as PeerFrame;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::snapshot::Snapshot;
use crate::transport::backend;
use crate::transport::backend::PooledBody;
use crate::transport::body::BodyError;

/// Maximum time between checks for an idle stream. The runtime's timer stops
/// while the machine is suspended, but the clock that decides does not.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
const STREAM_END_MARKER: &[u8] = b"data: [DONE]";
/// Number of trailing bytes of a stream that are kept to search for the end
/// marker: the marker itself and the line ends that may follow it.
const TAIL_BYTES: usize = STREAM_END_MARKER.len() + 8;

/// Where a response comes from.
pub enum ResponseSource {
    /// A backend server of this region.
    Backend(Box<PooledBody>),
    /// Another box.
    Peer {
        /// Frames received from the box.
        frames: Box<Streaming<wire::ForwardFrame>>,
        /// Whether the end frame was received.
        ended: bool,
    },
}

/// Data needed to account for a request.
pub struct RequestAccounting {
    /// State shared by all threads.
    pub shared: Arc<SharedState>,
    /// Control state that the decisions about the request are based on.
    pub snapshot: Arc<Snapshot>,
    /// Pool that executes the request.
    pub pool: PoolId,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// When the request was sent.
    pub sent_at: Instant,
    /// Whether the caller sent the request to this box, which then records its
    /// error-budget burn.
    pub from_caller: bool,
    /// Slot that the request holds; `None` if another box executes it.
    pub slot: Option<Slot>,
    /// The execution of the request on the slot's server.
    pub execution: Option<Execution>,
    /// Counts the request as in flight.
    pub in_flight_guard: InFlightGuard,
}

/// Error that ends a truncated stream after its error event was sent.
struct PendingError {
    error: BodyError,
    /// Whether the HTTP server had a chance to write the error event.
    flushed: bool,
}

/// Body of a response that is being relayed.
pub struct Relay {
    source: ResponseSource,
    accounting: RequestAccounting,
    is_event_stream: bool,
    /// Last bytes of a stream of events.
    tail: Vec<u8>,
    bytes_relayed: u64,
    /// Time from the arrival of the request to the first byte of the response.
    first_byte: Option<Duration>,
    idle_timeout: Duration,
    last_data_at: Instant,
    idle_timer: Pin<Box<Sleep>>,
    pending_error: Option<PendingError>,
    ended: bool,
}

impl Relay {
    /// Creates a relay. Set `is_event_stream` if the response is a stream of
    /// server-sent events.
    pub fn new(
        source: ResponseSource,
        accounting: RequestAccounting,
        is_event_stream: bool,
    ) -> Relay {
        let now = clock::now();
        let idle_timeout = accounting.snapshot.configuration.limits.stream_idle_timeout;
        Relay {
            source,
            accounting,
            is_event_stream,
            tail: Vec::new(),
            bytes_relayed: 0,
            first_byte: None,
            idle_timeout,
            last_data_at: now,
            idle_timer: Box::pin(tokio::time::sleep(idle_timeout.min(IDLE_CHECK_INTERVAL))),
            pending_error: None,
            ended: false,
        }
    }

    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match &mut self.source {
            ResponseSource::Backend(exchange) => poll_backend(exchange, context),
            ResponseSource::Peer { frames, ended } => {
                poll_peer(frames, ended, self.bytes_relayed, context)
            }
        }
    }

    fn record_data(&mut self, data: &Bytes) {
        let now = clock::now();
        self.last_data_at = now;
        self.bytes_relayed += data.len() as u64;
        if self.first_byte.is_none() {
            self.first_byte = Some(now.saturating_duration_since(self.accounting.arrived_at));
            self.record_burn();
        }
        if self.is_event_stream {
            append_to_tail(&mut self.tail, data);
        }
    }

    fn record_burn(&self) {
        if self.accounting.from_caller {
            let accounting = &self.accounting;
            let configuration = &accounting.snapshot.configuration;
            let mut burn = lock(&accounting.shared.burn);
            burn.record(configuration, &accounting.pool, self.first_byte, clock::now());
        }
    }

    /// Returns whether the source has sent nothing for the idle timeout.
    fn poll_idle_timeout(&mut self, context: &mut Context<'_>) -> bool {
        while self.idle_timer.as_mut().poll(context).is_ready() {
            let deadline = self.last_data_at + self.idle_timeout;
            if clock::now() >= deadline {
                return true;
            }
            let delay = IDLE_CHECK_INTERVAL.min(deadline.saturating_duration_since(clock::now()));
            self.idle_timer.as_mut().reset(tokio::time::Instant::now() + delay);
        }
        false
    }

    fn is_complete(&self) -> bool {
        !self.is_event_stream || contains(&self.tail, STREAM_END_MARKER)
    }

    /// Accounts for a complete response and releases its connection and slot.
    fn complete(&mut self) {
        self.ended = true;
        let now = clock::now();
        let sent_at = self.accounting.sent_at;
        let total = now.saturating_duration_since(sent_at);
        let first_byte = self.first_byte.map_or(total, |first_byte| {
            (self.accounting.arrived_at + first_byte).saturating_duration_since(sent_at)
        });
        if self.first_byte.is_none() {
            self.first_byte = Some(now.saturating_duration_since(self.accounting.arrived_at));
            self.record_burn();
        }
        if let ResponseSource::Backend(exchange) = &mut self.source {
            exchange.release();
        }
        if let Some(slot) = &mut self.accounting.slot {
            slot.set_outcome(Outcome::Answered { first_byte, total });
        }
        self.accounting.slot = None;
        if let Some(execution) = self.accounting.execution.take() {
            execution.succeeded();
        }
        self.accounting.shared.counters.increment(Counter::Answered);
    }

    /// Accounts for a truncated response. Returns the error, or first an error
    /// event if the response is a stream of events.
    fn fail(&mut self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.accounting.shared.counters.increment(Counter::Cut);
        if let Some(slot) = &mut self.accounting.slot {
            slot.set_outcome(Outcome::Failed);
        }
        self.accounting.slot = None;
        let execution = self.accounting.execution.take();
        if let BodyError::ConnectionLost(_) = error {
            execution.iter().for_each(Execution::interrupted);
        }
        if !self.is_event_stream {
            self.ended = true;
            return Poll::Ready(Some(Err(error)));
        }
        let event = error_event(&error);
        self.pending_error = Some(PendingError { error, flushed: false });
        Poll::Ready(Some(Ok(Frame::data(event))))
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(pending_error) = self.pending_error.as_mut() {
            // On an error, the HTTP server discards data that it has not written yet.
            // Yield once so that it can write the error event.
            if !std::mem::replace(&mut pending_error.flushed, true) {
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
        }
        if let Some(pending_error) = self.pending_error.take() {
            self.ended = true;
            return Poll::Ready(Some(Err(pending_error.error)));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        match self.poll_source(context) {
            Poll::Ready(Some(Ok(data))) => {
                self.record_data(&data);
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(Some(Err(error))) => self.fail(error),
            Poll::Ready(None) if !self.is_complete() => self.fail(BodyError::MissingEnd),
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Pending if self.poll_idle_timeout(context) => self.fail(BodyError::IdleTimeout),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended && self.pending_error.is_none()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            self.accounting.shared.counters.increment(Counter::CallerGone);
        }
    }
}

fn poll_backend(
    exchange: &mut PooledBody,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Bytes, BodyError>>> {
    loop {
        match Pin::new(exchange.body()).poll_frame(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Ready(Some(Err(error))) => {
                return Poll::Ready(Some(Err(backend::body_error(&error))));
            }
            // Trailers are not relayed.
            Poll::Ready(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

fn poll_peer(
    frames: &mut Streaming<wire::ForwardFrame>,
    ended: &mut bool,
    bytes: u64,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Bytes, BodyError>>> {
    if *ended {
        return Poll::Ready(None);
    }
    let frame = match Pin::new(frames).poll_next(context) {
        Poll::Pending => return Poll::Pending,
        Poll::Ready(None) => return Poll::Ready(Some(Err(BodyError::MissingEnd))),
        Poll::Ready(Some(Err(status))) => {
            return Poll::Ready(Some(Err(BodyError::ConnectionLost(status.message().to_owned()))));
        }
        Poll::Ready(Some(Ok(frame))) => frame.frame,
    };
    match frame {
        Some(PeerFrame::Data(data)) => Poll::Ready(Some(Ok(data))),
        Some(PeerFrame::End(end)) if end.bytes == bytes => {
            *ended = true;
            Poll::Ready(None)
        }
        Some(PeerFrame::End(end)) => {
            invariant::check(Invariant::WholeAnswer, end.bytes == bytes, || {
                format!("sent={} received={bytes}", end.bytes)
            });
            Poll::Ready(Some(Err(BodyError::ConnectionLost("bytes are missing".to_owned()))))
        }
        Some(PeerFrame::Failure(failure)) => {
            Poll::Ready(Some(Err(BodyError::ConnectionLost(failure.message))))
        }
        Some(PeerFrame::Head(_)) | None => {
            Poll::Ready(Some(Err(BodyError::ConnectionLost("a frame out of order".to_owned()))))
        }
    }
}

fn append_to_tail(tail: &mut Vec<u8>, data: &[u8]) {
    tail.extend_from_slice(&data[data.len().saturating_sub(TAIL_BYTES)..]);
    let excess = tail.len().saturating_sub(TAIL_BYTES);
    tail.drain(..excess);
}

fn contains(bytes: &[u8], marker: &[u8]) -> bool {
    bytes.windows(marker.len()).any(|window| window == marker)
}

fn error_event(body_error: &BodyError) -> Bytes {
    let error = json!({"error": {
        "message": body_error.to_string(), "type": "backend_error", "code": "backend_failed",
    }});
    Bytes::from(format!("\n\ndata: {error}\n\n"))
}

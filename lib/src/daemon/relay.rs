//! Passes the answer of one backend exchange on to one caller, whole or not at all.
//!
//! The relay owns the exchange, the slot and the count of requests in
//! progress. It ends cleanly only where the backend server's answer did: for a
//! stream of events, with its closing mark. Otherwise the caller gets an error
//! event where the format has one, and in any case an unclean end.

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
use super::shared::Progress;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::invariant;
use crate::coordination::invariant::Invariant;
use crate::coordination::pool::Outcome;
use crate::protocol::PoolId;
use crate::protocol::peer::wire;
use crate::protocol::peer::wire::forward_frame::Frame as Kind;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::snapshot::Snapshot;
use crate::transport::backend::PooledBody;
use crate::transport::body::BodyError;

/// Longest time between looks whether a stream is silent: the runtime's timer stands still while the
/// machine is suspended, and the clock that decides does not.
const IDLE_LOOK: Duration = Duration::from_secs(1);
const END_MARK: &[u8] = b"data: [DONE]";
/// Bytes of a stream's end that are kept to find the mark in.
const TAIL: usize = END_MARK.len() + 8;

/// Where an answer comes from.
pub enum Source {
    /// A backend server of this region.
    Backend(Box<PooledBody>),
    /// Another box.
    Peer {
        /// Its frames.
        frames: Box<Streaming<wire::ForwardFrame>>,
        /// Whether its end came.
        ended: bool,
    },
}

/// What the accounts need to know of a request.
pub struct Account {
    /// Process.
    pub shared: Arc<Shared>,
    /// Control state that the request was decided by.
    pub snapshot: Arc<Snapshot>,
    /// Pool.
    pub pool: PoolId,
    /// When the request arrived.
    pub arrived: Instant,
    /// When it was sent.
    pub sent: Instant,
    /// Whether the caller came to this box, so that burn is counted here.
    pub from_caller: bool,
    /// The slot it holds, unless another box runs it.
    pub slot: Option<Slot>,
    /// The request in progress.
    pub progress: Progress,
}

/// The end of a stream that was cut, after its error event.
struct Ending {
    cut: BodyError,
    flushed: bool,
}

/// The body of an answer in progress.
pub struct Relay {
    source: Source,
    account: Account,
    events: bool,
    tail: Vec<u8>,
    bytes: u64,
    first_byte: Option<Duration>,
    idle_limit: Duration,
    active_at: Instant,
    idle: Pin<Box<Sleep>>,
    ending: Option<Ending>,
    ended: bool,
}

impl Relay {
    /// A relay; `events` where the answer is a stream of server-sent events.
    pub fn new(source: Source, account: Account, events: bool) -> Relay {
        let now = clock::now();
        let idle_limit = account.snapshot.configuration.limits.stream_idle_timeout;
        Relay {
            source,
            account,
            events,
            tail: Vec::new(),
            bytes: 0,
            first_byte: None,
            idle_limit,
            active_at: now,
            idle: Box::pin(tokio::time::sleep(idle_limit.min(IDLE_LOOK))),
            ending: None,
            ended: false,
        }
    }

    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match &mut self.source {
            Source::Backend(exchange) => poll_backend(exchange, context),
            Source::Peer { frames, ended } => poll_peer(frames, ended, self.bytes, context),
        }
    }

    fn took(&mut self, data: &Bytes) {
        let now = clock::now();
        self.active_at = now;
        self.bytes += data.len() as u64;
        if self.first_byte.is_none() {
            self.first_byte = Some(now.saturating_duration_since(self.account.arrived));
            self.record_burn();
        }
        if self.events {
            keep_tail(&mut self.tail, data);
        }
    }

    fn record_burn(&self) {
        if self.account.from_caller {
            let account = &self.account;
            let configuration = &account.snapshot.configuration;
            let mut burn = lock(&account.shared.burn);
            burn.record(configuration, &account.pool, self.first_byte, clock::now());
        }
    }

    fn silent(&mut self, context: &mut Context<'_>) -> bool {
        while self.idle.as_mut().poll(context).is_ready() {
            let due = self.active_at + self.idle_limit;
            if clock::now() >= due {
                return true;
            }
            let look = IDLE_LOOK.min(due.saturating_duration_since(clock::now()));
            self.idle.as_mut().reset(tokio::time::Instant::now() + look);
        }
        false
    }

    fn is_whole(&self) -> bool {
        !self.events || find(&self.tail, END_MARK)
    }

    fn end(&mut self) {
        self.ended = true;
        let now = clock::now();
        let sent = self.account.sent;
        let total = now.saturating_duration_since(sent);
        let first_byte = self.first_byte.map_or(total, |first_byte| {
            (self.account.arrived + first_byte).saturating_duration_since(sent)
        });
        if self.first_byte.is_none() {
            self.first_byte = Some(now.saturating_duration_since(self.account.arrived));
            self.record_burn();
        }
        if let Source::Backend(exchange) = &mut self.source {
            exchange.release();
        }
        if let Some(slot) = &mut self.account.slot {
            slot.set_outcome(Outcome::Answered { first_byte, total });
        }
        self.account.slot = None;
        self.account.shared.counters.increment(Counter::Answered);
    }

    fn cut(&mut self, cut: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.account.shared.counters.increment(Counter::Cut);
        if let Some(slot) = &mut self.account.slot {
            slot.set_outcome(Outcome::Failed);
        }
        self.account.slot = None;
        if !self.events {
            self.ended = true;
            return Poll::Ready(Some(Err(cut)));
        }
        let event = error_event(&cut);
        self.ending = Some(Ending { cut, flushed: false });
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
        if let Some(ending) = self.ending.as_mut() {
            // An error makes the server drop what it has not written yet: give
            // it one turn to write the error event.
            if !std::mem::replace(&mut ending.flushed, true) {
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
        }
        if let Some(ending) = self.ending.take() {
            self.ended = true;
            return Poll::Ready(Some(Err(ending.cut)));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        match self.poll_source(context) {
            Poll::Ready(Some(Ok(data))) => {
                self.took(&data);
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(Some(Err(cut))) => self.cut(cut),
            Poll::Ready(None) if !self.is_whole() => self.cut(BodyError::MissingEnd),
            Poll::Ready(None) => {
                self.end();
                Poll::Ready(None)
            }
            Poll::Pending if self.silent(context) => self.cut(BodyError::IdleTimeout),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended && self.ending.is_none()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            self.account.shared.counters.increment(Counter::CallerGone);
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
                return Poll::Ready(Some(Err(BodyError::ConnectionLost(error.to_string()))));
            }
            // Trailers are not passed on.
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
        Some(Kind::Data(data)) => Poll::Ready(Some(Ok(data))),
        Some(Kind::End(end)) if end.bytes == bytes => {
            *ended = true;
            Poll::Ready(None)
        }
        Some(Kind::End(end)) => {
            invariant::check(Invariant::WholeAnswer, end.bytes == bytes, || {
                format!("sent={} received={bytes}", end.bytes)
            });
            Poll::Ready(Some(Err(BodyError::ConnectionLost("bytes are missing".to_owned()))))
        }
        Some(Kind::Failure(failure)) => {
            Poll::Ready(Some(Err(BodyError::ConnectionLost(failure.message))))
        }
        Some(Kind::Head(_)) | None => {
            Poll::Ready(Some(Err(BodyError::ConnectionLost("a frame out of order".to_owned()))))
        }
    }
}

fn keep_tail(tail: &mut Vec<u8>, data: &[u8]) {
    tail.extend_from_slice(&data[data.len().saturating_sub(TAIL)..]);
    let excess = tail.len().saturating_sub(TAIL);
    tail.drain(..excess);
}

fn find(bytes: &[u8], mark: &[u8]) -> bool {
    bytes.windows(mark.len()).any(|window| window == mark)
}

fn error_event(cut: &BodyError) -> Bytes {
    let error = json!({"error": {
        "message": cut.to_string(), "type": "backend_error", "code": "backend_failed",
    }});
    Bytes::from(format!("\n\ndata: {error}\n\n"))
}

//! The task that relays a body to the caller as it arrives, because the box has no room to hold it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;

use super::attempt;
use super::decision_log;
use super::feedback;
use super::history::RequestHistory;
use super::job::Job;
use super::shared::InFlightGuard;
use super::shared::Reservation;
use super::shared::Shared;
use crate::coordination::attempt::AttemptEvent;
use crate::protocol::adapter::Adapter;
use crate::protocol::bounds::CALLER_STALL_TIMEOUT;
use crate::protocol::bounds::MAX_UNSIZED_BODY_BYTES;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::latency::Timing;
use crate::transport::backend::PooledBody;
use crate::transport::body::BodyError;
use crate::transport::body::Chunk;
use crate::transport::timer;

/// Capacity of the queue of chunks. One chunk is read while the caller takes the one before.
const QUEUE_LEN: usize = 1;

/// A body of which a part may have been read.
pub struct BodyReader<A: Adapter> {
    /// The body.
    pub exchange: PooledBody,
    /// The slot on a backend server of this region.
    pub reservation: Option<Reservation<A>>,
    /// The bytes that were read.
    pub read: Bytes,
    /// Length of the whole body, if it is known.
    pub len: Option<u64>,
    /// How long the connection may be idle afterwards.
    pub idle_time: Duration,
    /// The event to record when the body is complete.
    pub event: AttemptEvent,
}

/// Relays a body to the caller.
pub struct BodyRelay<A: Adapter> {
    /// State shared by all threads.
    pub shared: Arc<Shared<A>>,
    /// The request.
    pub job: Job,
    /// The body.
    pub reader: BodyReader<A>,
    /// Status of the response.
    pub status: u16,
    /// Sends of the request.
    pub history: RequestHistory,
    /// Counts the request as in progress.
    pub in_flight_guard: InFlightGuard<A>,
}

impl<A: Adapter> BodyRelay<A> {
    /// Starts the task. Returns the receiver that the caller's response reads from.
    pub fn start(self) -> mpsc::Receiver<Option<Chunk>> {
        let (sender, receiver) = mpsc::channel(QUEUE_LEN);
        tokio::spawn(self.run(sender));
        receiver
    }

    async fn run(mut self, sender: mpsc::Sender<Option<Chunk>>) {
        let result = self.relay(&sender).await;
        let counters = &self.shared.counters;
        match &result {
            Ok(()) => {
                counters.increment(Counter::Answered);
                let time = clock::since(self.job.arrived);
                self.shared.latencies.record(Timing::FullResponse, time);
                decision_log::answered(&self.job, &self.history, self.status);
            }
            Err(BodyError::TaskGone) => counters.increment(Counter::CallerGone),
            Err(cut) => {
                counters.increment(Counter::Cut);
                decision_log::body_broken(&self.job, &self.history, cut);
            }
        }
        let last = match result {
            Ok(()) => None,
            Err(cut) => Some(Err(cut)),
        };
        // The send fails if the caller is already gone.
        let _ = sender.send(last).await;
        drop(self.in_flight_guard);
    }

    /// Relays all bytes. The time that the server takes counts towards the deadline; the time that
    /// the caller takes doesn't, as for a body that is held.
    async fn relay(&mut self, sender: &mpsc::Sender<Option<Chunk>>) -> Result<(), BodyError> {
        let mut time_left = self.job.time_left(clock::now());
        let mut relayed = 0;
        let mut chunk = std::mem::take(&mut self.reader.read);
        loop {
            relayed += chunk.len() as u64;
            if self.reader.len.is_none() && relayed > MAX_UNSIZED_BODY_BYTES as u64 {
                let message = format!("the body has over {MAX_UNSIZED_BODY_BYTES} bytes");
                return Err(self.fail(BodyError::TooLong(message)));
            }
            // The caller's side reads no further than the length. The end is therefore processed
            // before the last bytes are sent.
            let is_last = self.reader.len.is_some_and(|len| relayed >= len);
            if is_last {
                self.read(&mut time_left).await?;
                self.finish();
            }
            if !chunk.is_empty() {
                send(sender, chunk).await?;
            }
            if is_last {
                return Ok(());
            }
            let next = tokio::select! {
                next = self.read(&mut time_left) => next?,
                () = sender.closed() => return Err(BodyError::TaskGone),
            };
            let Some(next) = next else {
                self.finish();
                return Ok(());
            };
            chunk = next;
        }
    }

    async fn read(&mut self, time_left: &mut Duration) -> Result<Option<Bytes>, BodyError> {
        let began_at = clock::now();
        let result = timer::timeout(*time_left, self.reader.exchange.read()).await;
        *time_left = time_left.saturating_sub(clock::since(began_at));
        match result {
            Ok(Ok(chunk)) => Ok(chunk),
            Ok(Err(cut)) => Err(self.fail(cut)),
            Err(_) => Err(self.fail(BodyError::IdleTimeout)),
        }
    }

    fn finish(&mut self) {
        self.reader.exchange.release_for(self.reader.idle_time);
        let BodyReader { reservation, event, .. } = &mut self.reader;
        feedback::record_end(&self.shared, &self.job, reservation, *event);
        *reservation = None;
    }

    fn fail(&mut self, cut: BodyError) -> BodyError {
        let event = attempt::cut_event(&cut);
        feedback::record_end(&self.shared, &self.job, &mut self.reader.reservation, event);
        self.reader.reservation = None;
        cut
    }
}

async fn send(sender: &mpsc::Sender<Option<Chunk>>, chunk: Bytes) -> Result<(), BodyError> {
    match timer::timeout(CALLER_STALL_TIMEOUT, sender.send(Some(Ok(chunk)))).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(BodyError::TaskGone),
        Err(_) => Err(BodyError::CallerStalled),
    }
}

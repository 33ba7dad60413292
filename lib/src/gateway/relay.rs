//! The task that forwards a stream of events to the caller, and resumes it on another server if it
//! breaks.

use std::sync::Arc;

use tokio::sync::mpsc;

use super::attempt;
use super::attempt::Payload;
use super::decision_log;
use super::dispatch;
use super::feedback;
use super::history::RequestHistory;
use super::job::Job;
use super::shared::InFlightGuard;
use super::shared::Shared;
use super::stream::Stream;
use super::stream_timing::StreamTiming;
use super::stream_versions;
use crate::coordination::attempt::AttemptEvent;
use crate::protocol::adapter::Adapter;
use crate::protocol::events::OutOfSequence;
use crate::protocol::events::Sequence;
use crate::protocol::fleet::VersionHash;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::latency::Timing;
use crate::transport::body::BodyError;
use crate::transport::body::Chunk;
use crate::transport::timer;

/// Capacity of the queue of events for a caller that reads slowly.
const EVENT_QUEUE_LEN: usize = 8;

/// Forwards a stream of events. If the stream breaks, it is resumed on another server where the
/// route allows that.
pub struct Relay<A: Adapter> {
    /// State shared by all threads.
    pub shared: Arc<Shared<A>>,
    /// The request.
    pub job: Job,
    /// The stream of events.
    pub stream: Stream<A>,
    /// Sends of the request so far.
    pub history: RequestHistory,
    /// Counts the request as in progress.
    pub in_flight_guard: InFlightGuard<A>,
    /// Times at which the events arrived, for the log.
    pub stream_timing: StreamTiming,
}

impl<A: Adapter> Relay<A> {
    /// Starts the task. Returns the receiver that the caller's response reads from.
    pub fn start(self) -> mpsc::Receiver<Option<Chunk>> {
        let (sender, receiver) = mpsc::channel(EVENT_QUEUE_LEN);
        tokio::spawn(self.run(sender));
        receiver
    }

    async fn run(mut self, caller_sender: mpsc::Sender<Option<Chunk>>) {
        let deadline = self.job.deadline;
        let result = tokio::select! {
            result = self.forward_events(&caller_sender) => result,
            () = caller_sender.closed() => Err(BodyError::TaskGone),
            () = timer::sleep_until(deadline) => Err(BodyError::IdleTimeout),
        };
        let counters = &self.shared.counters;
        match &result {
            Ok(()) => {
                counters.increment(Counter::Answered);
                self.shared.latencies.record(Timing::Stream, clock::since(self.job.arrived));
            }
            Err(BodyError::TaskGone) => counters.increment(Counter::CallerGone),
            Err(_) => counters.increment(Counter::Cut),
        }
        decision_log::stream_ended(
            &self.job,
            &self.history,
            self.stream.server(),
            &self.stream_timing,
            &result,
        );
        // The send fails if the caller is already gone.
        let _ = match result {
            Ok(()) => caller_sender.send(None).await,
            Err(cut) => {
                // The HTTP library drops what it has not written when a body fails. The task of the
                // connection writes the last events first.
                tokio::task::yield_now().await;
                caller_sender.send(Some(Err(cut))).await
            }
        };
        drop(self.in_flight_guard);
    }

    async fn forward_events(
        &mut self,
        caller_sender: &mpsc::Sender<Option<Chunk>>,
    ) -> Result<(), BodyError> {
        let mut sequence = Sequence::after(self.job.continued_event());
        loop {
            match self.stream.next().await {
                Ok(Some(mut events)) => {
                    let (valid_len, gap) = sequence.advance(&events);
                    events.truncate(valid_len);
                    if !events.is_empty() {
                        self.stream_timing.record_event(clock::now());
                        if caller_sender.send(Some(Ok(events))).await.is_err() {
                            return Err(BodyError::TaskGone);
                        }
                    }
                    if let Some(gap) = gap {
                        self.record_gap(&gap);
                        self.replace_stream(&sequence, BodyError::OutOfSequence(gap)).await?;
                    }
                }
                Ok(None) => {
                    feedback::record_end(
                        &self.shared,
                        &self.job,
                        self.stream.reservation(),
                        AttemptEvent::Answered,
                    );
                    return Ok(());
                }
                Err(cut) => self.replace_stream(&sequence, cut).await?,
            }
        }
    }

    /// Gives up a broken stream and continues with that of another server.
    async fn replace_stream(
        &mut self,
        sequence: &Sequence,
        cut: BodyError,
    ) -> Result<(), BodyError> {
        let event = attempt::cut_event(&cut);
        feedback::record_end(&self.shared, &self.job, self.stream.reservation(), event);
        if !sequence.is_known() {
            return Err(cut);
        }
        self.stream = self.resume(sequence.last_id(), cut).await?;
        Ok(())
    }

    fn record_gap(&mut self, gap: &OutOfSequence) {
        self.shared.counters.increment(Counter::StreamsOutOfSequence);
        decision_log::stream_out_of_sequence(&self.job, &self.history, self.stream.server(), gap);
    }

    /// The version that began the stream, if it is known. A box of an older build doesn't report it.
    async fn find_version(&self) -> Option<VersionHash> {
        match self.stream.version() {
            Some(version) => Some(version),
            None => {
                let found = stream_versions::find_version(&self.shared, &self.job).await?;
                Some(found.version)
            }
        }
    }

    /// Resumes the stream on another server.
    async fn resume(
        &mut self,
        last_event_id: Option<u64>,
        cut: BodyError,
    ) -> Result<Stream<A>, BodyError> {
        if !self.job.route.resumable {
            return Err(cut);
        }
        self.history.version = self.stream.version();
        decision_log::stream_broken(
            &self.job,
            &self.history,
            self.stream.server(),
            last_event_id,
            &cut,
        );
        self.history.version = self.find_version().await;
        if self.history.version.is_none() {
            return Err(cut);
        }
        match dispatch::resume_stream(&self.shared, &self.job, &mut self.history, last_event_id)
            .await
        {
            Some(reply) => match reply.payload {
                Payload::Stream(stream) if reply.status.is_success() => Ok(*stream),
                _ => Err(cut),
            },
            None => Err(cut),
        }
    }
}

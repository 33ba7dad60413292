//! The task that passes a stream of events on to its caller, and goes on elsewhere when it breaks.

use std::sync::Arc;

use tokio::sync::mpsc;

use super::attempt::Payload;
use super::course::Course;
use super::job::Job;
use super::learning;
use super::pace::Pace;
use super::record;
use super::run;
use super::shared::Progress;
use super::shared::Shared;
use super::stream::Stream;
use crate::coordination::attempt::AttemptEvent;
use crate::protocol::adapter::Adapter;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::latency::Timing;
use crate::transport::body::Cut;
use crate::transport::body::Part;
use crate::transport::timer;

/// Events that wait for a caller who reads slowly.
const WAITING_EVENTS: usize = 8;

/// Passes a stream on; where the route allows it, it goes on elsewhere when it breaks.
pub struct Relay<A: Adapter> {
    /// What all threads share.
    pub shared: Arc<Shared<A>>,
    /// The request.
    pub job: Job,
    /// The events.
    pub stream: Stream<A>,
    /// Sends so far.
    pub course: Course,
    /// Counts the request as in progress.
    pub progress: Progress<A>,
    /// How the events came.
    pub pace: Pace,
}

impl<A: Adapter> Relay<A> {
    /// Starts the task; gives what the caller's answer reads from.
    pub fn start(self) -> mpsc::Receiver<Option<Part>> {
        let (sender, receiver) = mpsc::channel(WAITING_EVENTS);
        tokio::spawn(self.run(sender));
        receiver
    }

    async fn run(mut self, caller: mpsc::Sender<Option<Part>>) {
        let deadline = self.job.deadline;
        let ended = tokio::select! {
            ended = self.pass_on(&caller) => ended,
            () = caller.closed() => Err(Cut::GivenUp),
            () = timer::sleep_until(deadline) => Err(Cut::Silent),
        };
        let counters = &self.shared.counters;
        match &ended {
            Ok(()) => {
                counters.count(Counter::Answered);
                self.shared.latencies.record(Timing::Stream, clock::since(self.job.arrived));
            }
            Err(Cut::GivenUp) => counters.count(Counter::CallerGone),
            Err(_) => counters.count(Counter::Cut),
        }
        record::stream_ended(&self.job, &self.course, self.stream.server(), &self.pace, &ended);
        // The caller may be gone already.
        let _ = match ended {
            Ok(()) => caller.send(None).await,
            Err(cut) => caller.send(Some(Err(cut))).await,
        };
        drop(self.progress);
    }

    async fn pass_on(&mut self, caller: &mpsc::Sender<Option<Part>>) -> Result<(), Cut> {
        let mut last_id = self.job.ask.last_event;
        loop {
            match self.stream.next().await {
                Ok(Some(events)) => {
                    last_id = self.stream.last_id().or(last_id);
                    self.pace.event(clock::now());
                    if caller.send(Some(Ok(events))).await.is_err() {
                        return Err(Cut::GivenUp);
                    }
                }
                Ok(None) => {
                    learning::end(
                        &self.shared,
                        &self.job,
                        self.stream.held(),
                        AttemptEvent::Answered,
                    );
                    return Ok(());
                }
                Err(cut) => {
                    learning::end(
                        &self.shared,
                        &self.job,
                        self.stream.held(),
                        AttemptEvent::Interrupted,
                    );
                    self.stream = self.resume(last_id, cut).await?;
                }
            }
        }
    }

    /// The rest of the stream from another server.
    async fn resume(&mut self, last_id: Option<u64>, cut: Cut) -> Result<Stream<A>, Cut> {
        if !self.job.route.resumable {
            return Err(cut);
        }
        record::stream_broken(&self.job, &self.course, self.stream.server(), last_id, &cut);
        match run::again(&self.shared, &self.job, &mut self.course, last_id).await {
            Some(reply) => match reply.payload {
                Payload::Stream(stream) if reply.status.is_success() => Ok(*stream),
                _ => Err(cut),
            },
            None => Err(cut),
        }
    }
}

//! The end of a box. See [`crate::coordination::drain`] for the rule.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::Control;
use super::Event;
use crate::coordination::drain;
use crate::coordination::drain::Stage;
use crate::daemon::StopOutcome;
use crate::gateway::stream_records;
use crate::protocol::adapter::Adapter;
use crate::state::clock;
use crate::transport::listen::Shutdown;
use crate::transport::timer;

/// Maximum time at shutdown to end connections that requests of callers don't arrive on, and the
/// lease.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

impl<A: Adapter> Control<A> {
    pub(super) fn begin_stop(&mut self) {
        let before = self.drain.stage();
        let requested_at = self.shared.stop_requested_at.borrow().unwrap_or_else(clock::now);
        let stage = self.drain.handle(drain::Event::Stop(requested_at));
        if stage != before {
            log::info!("event=stop_requested stage={stage:?}");
            self.own_record.leaving = true;
            self.record_sender.send_replace(self.own_record.clone());
            self.publish();
        }
    }

    /// Advances the shutdown. Returns whether the process ends.
    pub(super) fn update_drain(&mut self, now: Instant) -> bool {
        let before = self.drain.stage();
        if before == Stage::Serving {
            return false;
        }
        let in_flight = self.shared.in_flight.load(Ordering::Acquire);
        let open = self.shared.open.count();
        let stage = self.drain.handle(drain::Event::Tick { now, in_flight, open });
        if stage != before {
            log::info!("event=stop_stage stage={stage:?} in_flight={in_flight} open={open}");
            if stage == Stage::Closing {
                self.shared.closing_since.send_replace(Some(now));
                // The send fails if the traffic thread has already ended.
                let _ = self.stop.send(Shutdown::Graceful);
            }
            self.publish();
        }
        stage.is_finished()
    }

    /// Closes the remaining connections and removes this box's record from the store.
    pub(super) async fn end(self, lease_task: JoinHandle<()>) -> StopOutcome {
        let stage = self.drain.stage();
        let in_flight = self.shared.in_flight.load(Ordering::Acquire);
        let ending = match stage {
            Stage::Done => StopOutcome::Done,
            _ => StopOutcome::Cut(in_flight),
        };
        if stage == Stage::Done && timer::timeout(FLUSH_TIMEOUT, self.stop.closed()).await.is_err()
        {
            log::warn!("event=connections_cut reason=\"answers were not read in time\"");
        }
        // The send fails if the traffic thread has already ended.
        let _ = self.stop.send(Shutdown::Immediate);
        let rest = stream_records::write_rest(&self.shared, &self.store);
        if timer::timeout(FLUSH_TIMEOUT, rest).await.is_err() {
            log::info!("event=streams_not_written error=\"no answer in time\"");
        }
        drop(self.record_sender);
        if timer::timeout(FLUSH_TIMEOUT, lease_task).await.is_err() {
            log::info!("event=lease_not_ended error=\"no answer in time\"");
        }
        log::info!("event=stopped stage={stage:?} in_flight={in_flight}");
        ending
    }
}

/// Forwards events to the control loop. Returns once the limit of a stop is over: the loop may be
/// waiting for the store or for other boxes then.
pub(super) async fn forward_events(
    events: &mut mpsc::Receiver<Event>,
    control: mpsc::Sender<Event>,
    stop_requested_at: &watch::Sender<Option<Instant>>,
    stop_limit: Duration,
) {
    // Sending fails if the loop has ended, and then nothing is left to do.
    let forward = async |event| {
        let _ = control.send(event).await;
    };
    while let Some(event) = events.recv().await {
        let now = clock::now();
        let limit_at = now + stop_limit;
        if event != Event::Stop {
            forward(event).await;
            continue;
        }
        stop_requested_at.send_replace(Some(now));
        let end_grace = async {
            timer::sleep_until(now + drain::GRACE).await;
            forward(Event::GraceOver).await;
        };
        let forward_rest = async {
            while let Some(event) = events.recv().await {
                forward(event).await;
            }
        };
        let forward_all = async {
            forward(event).await;
            tokio::join!(end_grace, forward_rest);
        };
        let _ = timer::timeout_at(limit_at, forward_all).await;
        timer::sleep_until(limit_at).await;
        return;
    }
    std::future::pending().await
}

//! Quarantines requests that crash every server that executes them.
//!
//! Executions are recorded from the send until the end of the response. A connection that breaks
//! off may mean that the server has crashed; a probe of its port decides. Boxes report crashes and verdicts to each other in heartbeats.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use super::control;
use super::pools::Slot;
use super::request::ValidatedRequest;
use super::shared::SharedState;
use super::shared::lock;
use crate::coordination::fingerprint::Fingerprint;
use crate::coordination::incarnations::Incarnations;
use crate::coordination::interrupted::InterruptedRequest;
use crate::coordination::interrupted::InterruptedRequests;
use crate::coordination::interrupted::NextStep;
use crate::coordination::interrupted::ServerIncarnation;
use crate::coordination::quarantine;
use crate::coordination::quarantine::Audience;
use crate::coordination::quarantine::wire::CrashReport;
use crate::coordination::quarantine::wire::VerdictReport;
use crate::error::ErrorKind;
use crate::error::Failure;
use crate::protocol::NameHash;
use crate::protocol::ServerId;
use crate::protocol::name_hash;
use crate::protocol::peer::Crash;
use crate::protocol::peer::Verdict;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::server_crash;

/// Requests that crash servers, as known to this box.
#[derive(Debug, Default)]
pub struct Quarantine {
    tables: Mutex<Tables>,
}

#[derive(Debug, Default)]
struct Tables {
    decisions: quarantine::Quarantine,
    interrupted: InterruptedRequests,
    incarnations: Incarnations,
}

impl Tables {
    /// Records that a server has crashed under these requests. Returns whether other boxes must be
    /// notified.
    fn record_crash(
        &mut self,
        server: NameHash,
        requests: &[InterruptedRequest],
        now: Instant,
    ) -> bool {
        let Some(first) = requests.iter().map(|request| request.interrupted_at).min() else {
            return false;
        };
        let crashed = self.incarnations.record_crash(server, first);
        let record = |request: &InterruptedRequest| {
            self.decisions.record_crash(crashed, *request, now).is_some()
        };
        requests.iter().map(record).fold(false, |any, is_new| any | is_new)
    }
}

impl Quarantine {
    /// How much longer a request is refused, if it is.
    fn refused_for(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let mut tables = lock(&self.tables);
        if tables.decisions.is_empty() {
            return None;
        }
        tables.decisions.refused_for(request, now)
    }

    /// Servers that a request should avoid, because they execute another one that may crash them.
    pub fn occupied_servers(&self, request: Fingerprint, now: Instant) -> Vec<ServerId> {
        let tables = lock(&self.tables);
        if tables.decisions.is_empty() || !tables.decisions.needs_isolation(request) {
            return Vec::new();
        }
        tables.decisions.servers_with_suspects(request, now).cloned().collect()
    }

    /// Number of verdicts.
    pub fn len(&self) -> usize {
        lock(&self.tables).decisions.len()
    }

    /// Whether there are no verdicts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Crashes and verdicts for a heartbeat.
    pub fn reports(&self, now: Instant) -> (Vec<Crash>, Vec<Verdict>) {
        let tables = lock(&self.tables);
        if tables.decisions.is_empty() {
            return (Vec::new(), Vec::new());
        }
        let crashes = tables.decisions.crash_reports(Audience::Region, now);
        let crashes = crashes.iter().filter_map(|report| {
            let server = tables.incarnations.server_of(report.life)?;
            let CrashReport { content, caller, sent_ms, ended_ms, .. } = *report;
            let ages = [sent_ms, ended_ms].map(|millis| Duration::from_millis(millis.into()));
            Some(Crash { content, caller, server, sent_age: ages[0], age: ages[1] })
        });
        let verdicts = tables.decisions.verdict_reports(now, &mut rand::rng());
        let verdicts = verdicts.iter().map(|VerdictReport { content, caller, left_ms }| Verdict {
            content: *content,
            caller: *caller,
            time_left: Duration::from_millis((*left_ms).into()),
        });
        (crashes.collect(), verdicts.collect())
    }

    /// Applies crashes and verdicts of another box. Returns whether a crash was unknown here.
    pub fn receive(&self, crashes: &[Crash], verdicts: &[Verdict], now: Instant) -> bool {
        if crashes.is_empty() && verdicts.is_empty() {
            return false;
        }
        let millis = |time: Duration| time.as_millis().try_into().unwrap_or(u32::MAX);
        let mut tables = lock(&self.tables);
        let known_crashes = tables.decisions.recorded_crashes();
        for crash in crashes {
            let Some(at) = now.checked_sub(crash.age) else { continue };
            let report = CrashReport {
                content: crash.content,
                caller: crash.caller,
                life: tables.incarnations.record_crash(crash.server, at),
                sent_ms: millis(crash.sent_age),
                ended_ms: millis(crash.age),
            };
            tables.decisions.receive_crash(&report, now);
        }
        for Verdict { content, caller, time_left } in verdicts {
            let left_ms = millis(*time_left);
            let report = VerdictReport { content: *content, caller: *caller, left_ms };
            tables.decisions.receive_verdict(&report, now);
        }
        tables.decisions.recorded_crashes() > known_crashes
    }

    /// Decides the verdicts that are due. Returns whether there are any.
    pub fn tick(&self, now: Instant) -> bool {
        let mut tables = lock(&self.tables);
        let decided = tables.decisions.tick(now);
        for evaluation in tables.decisions.take_evaluations() {
            log::info!("event=evaluated {evaluation}");
        }
        drop(tables);
        for quarantine::Target { content, caller } in &decided {
            log::warn!("event=quarantined content={content:016x} caller={caller:x?}");
        }
        !decided.is_empty()
    }
}

/// Refuses a request that is quarantined.
pub fn admit(shared: &SharedState, request: &ValidatedRequest) -> Result<(), Failure> {
    let Some(remaining) = shared.quarantine.refused_for(request.identity, clock::now()) else {
        return Ok(());
    };
    shared.counters.increment(Counter::Quarantined);
    let message = format!("servers ended under request {} before", request.identity);
    Err(Failure::new(ErrorKind::Quarantined, message).with_retry_after(remaining))
}

/// One execution of a request on a server, until dropped.
pub struct Execution {
    shared: Arc<SharedState>,
    server: ServerId,
    address: std::net::SocketAddr,
    incarnation: ServerIncarnation,
    request: Fingerprint,
    sent_at: Instant,
}

impl Execution {
    /// Records that a request is sent to the server of a slot.
    pub fn begin(
        shared: &Arc<SharedState>,
        request: &ValidatedRequest,
        slot: &Slot,
        sent_at: Instant,
    ) -> Execution {
        let mut tables = lock(&shared.quarantine.tables);
        tables.decisions.begin_execution(slot.server.clone(), request.identity);
        Execution {
            shared: Arc::clone(shared),
            server: slot.server.clone(),
            address: slot.address,
            incarnation: tables.incarnations.current(name_hash(&slot.server)),
            request: request.identity,
            sent_at,
        }
    }

    /// Records that the server has answered completely.
    pub fn succeeded(&self) {
        lock(&self.shared.quarantine.tables).decisions.record_success(self.request, clock::now());
    }

    /// Records that the connection broke off.
    pub fn interrupted(&self) {
        let now = clock::now();
        let interrupted = InterruptedRequest {
            request: self.request,
            sent_at: self.sent_at,
            interrupted_at: now,
        };
        let mut tables = lock(&self.shared.quarantine.tables);
        let next_step = tables.interrupted.record(self.incarnation, interrupted, now);
        drop(tables);
        match next_step {
            NextStep::AwaitProbe => {}
            NextStep::Probe | NextStep::Confirm => {
                let probe = check_for_crash(
                    Arc::clone(&self.shared),
                    self.server.clone(),
                    self.address,
                    self.incarnation,
                    next_step == NextStep::Confirm,
                );
                tokio::spawn(probe);
            }
            NextStep::ServerCrashed(requests) => {
                record_crash(&self.shared, &self.server, &requests);
            }
        }
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        let mut tables = lock(&self.shared.quarantine.tables);
        tables.decisions.finish_execution(&self.server, self.request);
    }
}

/// Checks whether a server still accepts connections. A server that does runs on, however many of its
/// responses broke off at once. `confirms` is set for the check that decides about such a server.
async fn check_for_crash(
    shared: Arc<SharedState>,
    server: ServerId,
    address: std::net::SocketAddr,
    incarnation: ServerIncarnation,
    confirms: bool,
) {
    if !server_crash::has_crashed(&shared.backend, address).await {
        let interrupted = &mut lock(&shared.quarantine.tables).interrupted;
        match confirms {
            true => interrupted.dismiss(incarnation),
            false => interrupted.forget(incarnation),
        }
        return;
    }
    let requests =
        lock(&shared.quarantine.tables).interrupted.record_crash(incarnation, clock::now());
    record_crash(&shared, &server, &requests);
}

/// Records that a server crashed under these requests, and notifies other boxes.
fn record_crash(shared: &SharedState, server: &ServerId, requests: &[InterruptedRequest]) {
    if requests.is_empty() {
        return;
    }
    shared.counters.increment(Counter::ServersEnded);
    log::info!("event=server_ended server={server} lost={}", requests.len());
    let now = clock::now();
    let is_new = lock(&shared.quarantine.tables).record_crash(name_hash(server), requests, now);
    if is_new {
        // If the queue is full, the next heartbeat contains the crash.
        let _ = shared.control.try_send(control::Event::ServerCrashed);
    }
}

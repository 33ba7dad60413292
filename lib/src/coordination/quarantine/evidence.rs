//! Crashes of servers under a request, and how many of them count.
//!
//! Servers that crash at the same moment have a cause other than a request: a power failure or the
//! loss of a switch. Simultaneous crashes therefore count once, unless the request was sent to the
//! second server after it had broken off at the first.
//!
//! A verdict counts servers. Crashes are therefore kept and bounded by server; the callers whose
//! requests a server was executing have a limit of their own, and displace only each other.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::coordination::fingerprint::CallerHash;
use crate::coordination::interrupted::ServerIncarnation;

/// Maximum number of crashed servers kept for one content: more than a certain verdict needs.
const MAX_SERVERS: usize = 12;
/// Maximum number of callers kept for one crashed server.
const MAX_CALLERS: usize = 12;

/// Crashes less than this apart have one cause: machines of one failure domain lose power within
/// some milliseconds, and boxes notice it with different latencies.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(40);

/// Crash of a server under a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Crash {
    /// Incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// Caller of the request.
    pub caller: CallerHash,
    /// When the request was sent to the server.
    pub sent_at: Instant,
    /// When the response broke off.
    pub crashed_at: Instant,
    /// Whether this box observed the crash.
    pub observed_here: bool,
}

/// Request of one caller that a server was executing when it crashed.
#[derive(Clone, Copy, Debug)]
struct Execution {
    caller: CallerHash,
    /// When the request was last sent to the server.
    sent_at: Instant,
    observed_here: bool,
}

/// Crash of one server while it executed the content.
#[derive(Clone, Debug)]
struct CrashedServer {
    incarnation: ServerIncarnation,
    /// When the first response broke off.
    crashed_at: Instant,
    /// When the first and the last of its requests was sent, including those of callers that are
    /// not kept.
    first_sent_at: Instant,
    last_sent_at: Instant,
    /// In order of callers, at most [`MAX_CALLERS`], and at least one.
    executions: Vec<Execution>,
}

impl CrashedServer {
    /// Adds a request that the server was executing. Returns whether it was unknown and is kept.
    fn add(&mut self, execution: Execution) -> bool {
        self.first_sent_at = self.first_sent_at.min(execution.sent_at);
        self.last_sent_at = self.last_sent_at.max(execution.sent_at);
        match self.executions.binary_search_by_key(&execution.caller, |other| other.caller) {
            Ok(index) => {
                let known = &mut self.executions[index];
                known.sent_at = known.sent_at.max(execution.sent_at);
                false
            }
            // The lowest hashes are kept, so that boxes keep the same callers for each server.
            Err(index) if index < MAX_CALLERS => {
                self.executions.insert(index, execution);
                self.executions.truncate(MAX_CALLERS);
                true
            }
            Err(_) => false,
        }
    }

    /// When a request of one caller, or of any, was last sent to the server.
    fn last_sent_at(&self, caller: Option<CallerHash>) -> Option<Instant> {
        let Some(caller) = caller else { return Some(self.last_sent_at) };
        let index = self.executions.binary_search_by_key(&caller, |execution| execution.caller);
        index.ok().map(|index| self.executions[index].sent_at)
    }

    /// The crash as seen by each caller, starting with the one whose request was sent last: it
    /// shows best that the crash is independent of earlier ones.
    fn crashes(&self) -> impl Iterator<Item = Crash> {
        let mut executions = self.executions.clone();
        executions.sort_by_key(|execution| std::cmp::Reverse(execution.sent_at));
        executions.into_iter().map(|Execution { caller, sent_at, observed_here }| Crash {
            incarnation: self.incarnation,
            caller,
            sent_at,
            crashed_at: self.crashed_at,
            observed_here,
        })
    }
}

/// Known crashes under one content.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// In order of time, at most [`MAX_SERVERS`].
    servers: Vec<CrashedServer>,
    /// Number of servers that were removed to make room.
    forgotten: usize,
    /// When a request of any caller last succeeded.
    succeeded_at: Option<Instant>,
}

impl Evidence {
    /// Adds a crash. Returns whether it is new.
    pub fn add(&mut self, crash: Crash) -> bool {
        let Crash { incarnation, caller, sent_at, crashed_at, observed_here } = crash;
        let execution = Execution { caller, sent_at, observed_here };
        let known = self.servers.iter().position(|server| server.incarnation == incarnation);
        if let Some(index) = known {
            let mut server = self.servers.remove(index);
            let is_new = server.add(execution);
            server.crashed_at = server.crashed_at.min(crashed_at);
            self.insert(server);
            return is_new;
        }
        if self.servers.len() >= MAX_SERVERS {
            if self.servers[0].crashed_at >= crashed_at {
                return false;
            }
            self.servers.remove(0);
            self.forgotten += 1;
        }
        self.insert(CrashedServer {
            incarnation,
            crashed_at,
            first_sent_at: sent_at,
            last_sent_at: sent_at,
            executions: vec![execution],
        });
        true
    }

    fn insert(&mut self, server: CrashedServer) {
        let index = self.servers.partition_point(|other| other.crashed_at <= server.crashed_at);
        self.servers.insert(index, server);
    }

    /// Removes the crashes under requests of one caller.
    pub fn clear(&mut self, caller: CallerHash) {
        for server in &mut self.servers {
            server.executions.retain(|execution| execution.caller != caller);
        }
        self.servers.retain(|server| !server.executions.is_empty());
    }

    /// Records that a request of some caller succeeded: earlier crashes no longer show that the
    /// content crashes servers whoever sends it.
    pub fn record_success(&mut self, at: Instant) {
        self.succeeded_at = self.succeeded_at.max(Some(at));
    }

    /// Whether there are no crashes.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Callers under whose requests servers crashed.
    pub fn callers(&self) -> BTreeSet<CallerHash> {
        let executions = self.servers.iter().flat_map(|server| &server.executions);
        executions.map(|execution| execution.caller).collect()
    }

    /// Whether a server crashed under the content.
    pub fn includes_server(&self, server: ServerIncarnation) -> bool {
        self.servers.iter().any(|crashed| crashed.incarnation == server)
    }

    /// Number of crashed servers, whether their crashes are independent or not.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Number of crashed servers that were removed to make room for others.
    pub fn forgotten_servers(&self) -> usize {
        self.forgotten
    }

    /// The crashes of each server, starting with the server that crashed last.
    pub fn crashes_by_server(&self) -> impl Iterator<Item = impl Iterator<Item = Crash>> {
        self.servers.iter().rev().map(CrashedServer::crashes)
    }

    fn is_since_success(&self, server: &CrashedServer) -> bool {
        self.succeeded_at.is_none_or(|at| server.crashed_at > at)
    }

    /// Crashes after the last success of any caller.
    fn crashes_since_success(&self) -> impl Iterator<Item = &CrashedServer> {
        self.servers.iter().filter(|server| self.is_since_success(server))
    }

    /// Number of independent consecutive crashes under requests of one caller, or of all callers.
    /// Crashes before a success of any caller do not count for all callers.
    pub fn consecutive_crashes(&self, caller: Option<CallerHash>) -> usize {
        let mut count = 0;
        let mut counted_at: Option<Instant> = None;
        for server in &self.servers {
            let is_before_success = caller.is_none() && !self.is_since_success(server);
            let Some(sent_at) = server.last_sent_at(caller).filter(|_| !is_before_success) else {
                continue;
            };
            // The request was sent after the last crash, or the two are far enough apart.
            let is_independent = counted_at.is_none_or(|counted_at| {
                sent_at >= counted_at || server.crashed_at >= counted_at + COMMON_CAUSE_WINDOW
            });
            if is_independent {
                count += 1;
                counted_at = Some(server.crashed_at);
            }
        }
        count
    }

    /// The largest number of callers whose requests a server was executing when it crashed.
    pub fn most_callers(&self) -> usize {
        self.servers.iter().map(|server| server.executions.len()).max().unwrap_or_default()
    }

    /// The longest time for which a server executed the content before it crashed.
    pub fn longest_execution(&self) -> Duration {
        let times = self
            .servers
            .iter()
            .map(|server| server.crashed_at.saturating_duration_since(server.first_sent_at));
        times.max().unwrap_or_default()
    }

    /// Whether all crashes that count under another content count under this one too. If a success
    /// leaves none that count for all callers there, those before it are compared.
    pub fn explains(&self, other: &Evidence) -> bool {
        let is_known = |server: &CrashedServer| {
            self.crashes_since_success().any(|own| own.incarnation == server.incarnation)
        };
        match other.crashes_since_success().next() {
            Some(_) => other.crashes_since_success().all(is_known),
            None => !other.is_empty() && other.servers.iter().all(is_known),
        }
    }
}

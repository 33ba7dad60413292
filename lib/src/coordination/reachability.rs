//! Which servers this box reaches, and which services other boxes reach.
//!
//! Reachability is a property of a path, not of a server. A server that this box can't connect to
//! may have crashed, or this box may have lost its path while all other boxes reach the server. In
//! both cases the box sends the server no requests and probes the path itself. Boxes report which
//! share of a service's servers they reach. Others forward fewer requests to a box that has lost
//! paths, and none to a box that reaches no server; such a box forwards its own requests to a
//! neighbor.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use super::loads::BoxReport;
use super::throttle::ServiceHash;
use crate::protocol::Incarnation;

/// Delay of the first probe of a lost path. A process that restarts or a flapping link needs
/// longer.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(50);
/// Maximum time between probes of a path; a path that returns is used again after one or two.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a path is doubtful after it was lost or a response broke off. A cut concerns all paths
/// at about the same time.
const DOUBT_PERIOD: Duration = Duration::from_millis(500);
/// A path that is lost again within this time after its return is flapping.
const STABLE_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of successful probes that a flapping path needs to count as restored.
const MAX_REQUIRED_SUCCESSES: u32 = 8;
/// Minimum difference between the shares of servers that two boxes reach from which one forwards
/// requests to the other.
const MIN_SHARE_GAP: f64 = 0.25;
/// How long a report counts. A box that reaches all services again reports this at once, but a
/// large fleet takes longer to repeat a report to every box.
const REPORT_TTL: Duration = Duration::from_secs(10);
/// How long a box gets no more requests after it refused one while it had lost paths: the servers
/// that it still reaches are full.
const REFUSAL_TTL: Duration = Duration::from_secs(1);

/// The path from this box to one server.
#[derive(Clone, Debug, Default)]
pub struct Path {
    loss: Option<Loss>,
    restored_at: Option<Instant>,
    /// When a response of the server last broke off.
    broken_at: Option<Instant>,
    /// Number of consecutive losses that each followed soon after a return.
    relapses: u32,
}

#[derive(Clone, Copy, Debug)]
struct Loss {
    /// Whether the loss was concluded from the paths to other servers.
    is_inferred: bool,
    lost_at: Instant,
    next_probe_at: Instant,
    failed_probes: u32,
    successful_probes: u32,
}

impl Path {
    /// Whether the server can't be reached from this box.
    pub fn is_lost(&self) -> bool {
        self.loss.is_some()
    }

    /// Records that a response of the server broke off.
    pub fn record_break(&mut self, now: Instant) {
        self.broken_at = Some(now);
    }

    /// Whether the path was lost, or a response broke off, so recently that the cause is unknown.
    pub fn is_doubtful(&self, now: Instant) -> bool {
        let lost_at = self.loss.map(|loss| loss.lost_at);
        lost_at.max(self.broken_at).is_some_and(|at| now < at + DOUBT_PERIOD)
    }

    /// Records that no connection could be established, or that the server's host stopped
    /// acknowledging data. Returns whether the path was in use until then.
    pub fn record_loss(&mut self, now: Instant) -> bool {
        let was_in_use = self.lose(false, now);
        if was_in_use {
            let is_relapse = self.restored_at.is_some_and(|at| now < at + STABLE_PERIOD);
            self.relapses = if is_relapse { self.relapses + 1 } else { 0 };
        }
        was_in_use
    }

    /// Records that the path is probably lost, because the paths to other servers are.
    pub fn infer_loss(&mut self, now: Instant) {
        self.lose(true, now);
    }

    fn lose(&mut self, is_inferred: bool, now: Instant) -> bool {
        if let Some(loss) = &mut self.loss {
            loss.is_inferred &= is_inferred;
            return false;
        }
        self.loss = Some(Loss {
            is_inferred,
            lost_at: now,
            next_probe_at: now + FIRST_PROBE_DELAY,
            failed_probes: 0,
            successful_probes: 0,
        });
        true
    }

    /// Ends a loss that was only inferred.
    pub fn withdraw_inference(&mut self) {
        self.loss = self.loss.filter(|loss| !loss.is_inferred);
    }

    /// Returns whether a probe is due. If so, schedules the next one.
    pub fn start_due_probe(&mut self, now: Instant, rng: &mut impl Rng) -> bool {
        let Some(loss) = self.loss.as_mut().filter(|loss| loss.next_probe_at <= now) else {
            return false;
        };
        let interval = FIRST_PROBE_DELAY * 2u32.pow(loss.failed_probes.min(8));
        // Random, because all boxes lose their paths at the same moment.
        let interval = interval.min(MAX_PROBE_INTERVAL).mul_f64(0.75 + 0.25 * rng.random::<f64>());
        loss.next_probe_at = now + interval;
        true
    }

    /// Records whether a probe could connect. Returns whether the path is in use again.
    pub fn record_probe(&mut self, connected: bool, now: Instant) -> bool {
        let Some(loss) = &mut self.loss else { return false };
        if !connected {
            loss.failed_probes += 1;
            loss.successful_probes = 0;
            return false;
        }
        loss.failed_probes = 0;
        loss.successful_probes += 1;
        // Hysteresis keeps a flapping path out of use until it is stable.
        let required = 2u32.pow(self.relapses.min(8)).min(MAX_REQUIRED_SUCCESSES);
        if loss.successful_probes < required {
            return false;
        }
        self.loss = None;
        self.restored_at = Some(now);
        true
    }
}

/// Share of the requests that a box forwards to a neighbor, if it reaches the share `own` of the
/// servers and the neighbor the share `neighbor`. The servers that both reach then get as many
/// requests as the others. None are forwarded if the shares differ little, as they do for some
/// tenths of a second after a server has crashed.
pub fn detour_share(own: f64, neighbor: f64) -> f64 {
    if neighbor < own + MIN_SHARE_GAP { 0.0 } else { 1.0 - own / neighbor }
}

/// Effect of a request's outcome on the paths to a service's servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PathChange {
    /// None.
    #[default]
    Unchanged,
    /// The path to the server was lost.
    Lost,
    /// The last path to a server of the service was lost.
    AllLost,
}

/// What a box reported about its paths.
#[derive(Clone, Debug)]
struct PathReport {
    incarnation: Incarnation,
    number: u64,
    shares: HashMap<ServiceHash, f64>,
    is_isolated: bool,
    received_at: Instant,
}

/// Which share of the servers in their region other boxes reach, by their reports. A box without a
/// report reaches all, as boxes of older versions report nothing.
#[derive(Debug, Default)]
pub struct PeerReachability {
    reports: HashMap<u64, PathReport>,
    refused_at: HashMap<(u64, ServiceHash), Instant>,
}

impl PeerReachability {
    /// Applies a report, unless a newer one of its sender has been received.
    pub fn receive(&mut self, report: &BoxReport, now: Instant) {
        let sequence = (report.incarnation, report.number);
        let latest = self.reports.get(&report.sender);
        if latest.is_some_and(|latest| (latest.incarnation, latest.number) >= sequence) {
            return;
        }
        let path_report = PathReport {
            incarnation: report.incarnation,
            number: report.number,
            shares: report
                .limited_services
                .iter()
                .zip(&report.reached_percent)
                .map(|(service, percent)| (*service, f64::from(*percent) / 100.0))
                .collect(),
            is_isolated: report.isolated,
            received_at: now,
        };
        self.reports.insert(report.sender, path_report);
    }

    /// Records that a box refused a request while it had lost paths to servers of the service.
    pub fn record_refusal(&mut self, box_hash: u64, service: ServiceHash, now: Instant) {
        self.refused_at.insert((box_hash, service), now);
    }

    /// Share of a service's servers that a box reaches in its region, as far as known.
    pub fn share(&self, box_hash: u64, service: ServiceHash, now: Instant) -> f64 {
        let refused_at = self.refused_at.get(&(box_hash, service));
        if refused_at.is_some_and(|at| now < *at + REFUSAL_TTL) {
            return 0.0;
        }
        let report = self.report(box_hash, now);
        report.and_then(|report| report.shares.get(&service)).copied().unwrap_or(1.0)
    }

    /// Whether a box reaches no server of any service.
    pub fn is_isolated(&self, box_hash: u64, now: Instant) -> bool {
        self.report(box_hash, now).is_some_and(|report| report.is_isolated)
    }

    fn report(&self, box_hash: u64, now: Instant) -> Option<&PathReport> {
        self.reports.get(&box_hash).filter(|report| now < report.received_at + REPORT_TTL)
    }

    /// Drops expired reports and refusals.
    pub fn expire(&mut self, now: Instant) {
        self.reports.retain(|_, report| now < report.received_at + REPORT_TTL);
        self.refused_at.retain(|_, at| now < *at + REFUSAL_TTL);
    }
}

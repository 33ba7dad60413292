//! Reports of the other boxes of the region, and the share of a rate that unreachable boxes keep.

use std::collections::HashMap;
use std::time::Instant;

use super::ServerIncarnation;
use super::ServiceHash;
use super::demand::DemandRate;

/// Part of a rate that boxes share evenly while some are unreachable. The demand on unreachable
/// boxes changes without being reported.
const EVEN_SHARE: f64 = 0.3;

/// The last reports of another box of the region.
#[derive(Debug)]
pub struct Peer {
    /// Incarnation of the box.
    pub incarnation: u64,
    /// Number of its last report.
    pub number: u64,
    /// When the last report arrived.
    pub last_report_at: Instant,
    /// Number of requests that the box has sent, by server.
    pub counts: HashMap<ServerIncarnation, u64>,
    /// Demand on the box, by service.
    pub demands: HashMap<ServiceHash, DemandRate>,
    /// The demand by which the boxes share the room of brittle servers, by service.
    pub weights: HashMap<ServiceHash, f64>,
}

/// Totals over the other boxes for one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerTotals {
    /// Number of reachable boxes.
    reachable: usize,
    /// Number of reachable boxes that have not reported their demand.
    pub unreported: usize,
    /// Total demand on the reachable boxes.
    pub demand: DemandRate,
    /// Number of boxes that have become unreachable.
    unreachable: usize,
    /// Total usual demand on the unreachable boxes, in requests per second, as last reported.
    unreachable_usual: f64,
}

impl PeerTotals {
    /// Adds a box, with its demand if it has reported it.
    pub fn add(&mut self, demand: Option<DemandRate>, is_reachable: bool) {
        if !is_reachable {
            self.unreachable += 1;
            self.unreachable_usual += demand.map_or(0.0, |demand| demand.usual);
            return;
        }
        self.reachable += 1;
        match demand {
            Some(demand) => {
                self.demand.recent += demand.recent;
                self.demand.usual += demand.usual;
            }
            None => self.unreported += 1,
        }
    }

    /// Returns the share of a rate for this box and the reachable ones. `unknown` boxes have never
    /// sent a report; they are assumed to have the average demand of the others.
    pub fn reachable_share(&self, own_usual: f64, unknown: usize) -> f64 {
        let missing = (self.unreachable + unknown) as f64;
        if missing == 0.0 {
            return 1.0;
        }
        let known = (1 + self.reachable + self.unreachable) as f64;
        let known_usual = own_usual + self.demand.usual + self.unreachable_usual;
        let unknown_usual = unknown as f64 * known_usual / known;
        let even_share = missing / (known + unknown as f64);
        let total_usual = known_usual + unknown_usual;
        let demand_share = if total_usual > 0.0 {
            (self.unreachable_usual + unknown_usual) / total_usual
        } else {
            even_share
        };
        1.0 - EVEN_SHARE * even_share - (1.0 - EVEN_SHARE) * demand_share
    }
}

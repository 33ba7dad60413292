//! Which senders of datagrams and of forwarded requests are boxes.
//!
//! Any process on the network can send a datagram, and name any box as its sender. A report is
//! applied only if it comes from the address at which the store lists the box that it names. A box
//! that the store doesn't list yet has to confirm over a connection that it is the box that its
//! datagrams name; until then they have no effect. Boxes depend on each other most while the store
//! is unavailable, so these can't be ignored altogether.
//!
//! What a forwarded request says of its caller counts if it comes from the host of a box.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::unlisted::NEIGHBOR_TTL;
use super::unlisted::Neighbor;

/// Hash of the name of a box.
pub type BoxHash = u64;

/// The sender of a datagram that doesn't name the box it comes from.
pub const UNNAMED: BoxHash = 0;
/// Time after which a box of another region is checked if the store still doesn't list it. When a
/// fleet starts, the store lists all of it by then.
const REMOTE_CHECK_DELAY: Duration = Duration::from_secs(1);
/// Delay before a sender that didn't confirm is checked again. It doubles with each failure.
const RECHECK_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of times that this delay doubles.
const MAX_DOUBLINGS: u32 = 3;
/// Maximum number of checks that begin in one interval of the reports. They cost this box and the
/// checked ones a small call each.
const MAX_CHECKS_PER_ROUND: usize = 4;
/// Maximum number of claims that are kept: somewhat more than the largest fleet has boxes.
const MAX_CLAIMS: usize = 1024;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Proof {
    /// It has not been checked, or the check failed `failures` times.
    Missing { failures: u32, check_at: Instant },
    /// It is being checked.
    Pending { failures: u32 },
    /// The box has confirmed.
    Given,
}

/// Claim of the process at an address to be a box.
#[derive(Debug)]
struct Claim {
    /// The box that the process claims to be.
    neighbor: Neighbor,
    proof: Proof,
    last_received_at: Instant,
}

/// The addresses of boxes, and what is known of other senders.
#[derive(Debug, Default)]
pub struct Senders {
    listed: HashMap<SocketAddr, Vec<BoxHash>>,
    listed_hosts: HashSet<IpAddr>,
    claims: HashMap<SocketAddr, Claim>,
    checks_in_round: usize,
}

impl Senders {
    /// Sets the boxes that the store lists, or listed until recently, and their addresses.
    pub fn set_listed(&mut self, boxes: impl Iterator<Item = (SocketAddr, BoxHash)>) {
        self.listed.clear();
        self.listed_hosts.clear();
        for (address, box_hash) in boxes {
            self.listed_hosts.insert(address.ip());
            self.listed.entry(address).or_default().push(box_hash);
        }
    }

    /// Whether a datagram that names `sender` comes from that box. One that names none may come
    /// from any box.
    pub fn is_box(&mut self, sender: BoxHash, from: SocketAddr, now: Instant) -> bool {
        let matches = |box_hash: BoxHash| sender == UNNAMED || sender == box_hash;
        if self.listed.get(&from).is_some_and(|boxes| boxes.iter().copied().any(matches)) {
            return true;
        }
        let Some(claim) = self.claims.get_mut(&from) else { return false };
        let is_confirmed = claim.proof == Proof::Given && matches(claim.neighbor.box_hash);
        if is_confirmed {
            claim.last_received_at = claim.last_received_at.max(now);
        }
        is_confirmed
    }

    /// Whether a box is on a host. The ports of connections say nothing about their senders.
    pub fn is_box_host(&self, host: IpAddr) -> bool {
        let is_confirmed =
            |claim: &Claim| claim.proof == Proof::Given && claim.neighbor.address.ip() == host;
        self.listed_hosts.contains(&host) || self.claims.values().any(is_confirmed)
    }

    /// Records the claim of a process to be a box. It is checked, unless this was done already.
    /// `own_region` is that of this box.
    pub fn record_claim(&mut self, neighbor: Neighbor, own_region: &str, now: Instant) {
        let address = neighbor.address;
        if let Some(claim) = self.claims.get_mut(&address) {
            claim.last_received_at = now;
            // A box that was replaced by another one at its address has to confirm anew.
            if claim.neighbor.box_hash != neighbor.box_hash {
                claim.neighbor = neighbor;
                if claim.proof == Proof::Given {
                    claim.proof = Proof::Missing { failures: 0, check_at: now };
                }
            }
            return;
        }
        if self.claims.len() >= MAX_CLAIMS && !self.drop_oldest_unconfirmed() {
            return;
        }
        let is_near = neighbor.region == own_region;
        let delay = if is_near { Duration::ZERO } else { REMOTE_CHECK_DELAY };
        let proof = Proof::Missing { failures: 0, check_at: now + delay };
        self.claims.insert(address, Claim { neighbor, proof, last_received_at: now });
    }

    /// Drops a claim to make room for another one. Returns whether there is room.
    fn drop_oldest_unconfirmed(&mut self) -> bool {
        let unconfirmed = self.claims.iter().filter(|(_, other)| other.proof != Proof::Given);
        let oldest = unconfirmed.min_by_key(|(_, other)| other.last_received_at);
        let Some(address) = oldest.map(|(address, _)| *address) else { return false };
        self.claims.remove(&address).is_some()
    }

    /// Begins an interval of the reports: drops senders that have fallen silent, and allows further
    /// checks.
    pub fn begin_round(&mut self, now: Instant) {
        self.checks_in_round = 0;
        self.claims.retain(|_, other| now < other.last_received_at + NEIGHBOR_TTL);
    }

    /// The processes to check now.
    pub fn take_checks(&mut self, now: Instant) -> Vec<Neighbor> {
        let mut checks = Vec::new();
        for claim in self.claims.values_mut() {
            if self.checks_in_round >= MAX_CHECKS_PER_ROUND {
                break;
            }
            let Proof::Missing { failures, check_at } = claim.proof else { continue };
            if now < check_at {
                continue;
            }
            claim.proof = Proof::Pending { failures };
            self.checks_in_round += 1;
            checks.push(claim.neighbor.clone());
        }
        checks
    }

    /// Records whether a process has confirmed that it is the box that it claims to be. Returns
    /// whether it counts as that box from now on.
    pub fn record_check(&mut self, checked: &Neighbor, has_confirmed: bool, now: Instant) -> bool {
        let Some(claim) = self.claims.get_mut(&checked.address) else { return false };
        let Proof::Pending { failures } = claim.proof else { return false };
        let is_box = has_confirmed && claim.neighbor.box_hash == checked.box_hash;
        claim.proof = if is_box {
            Proof::Given
        } else {
            let delay = RECHECK_DELAY * 2u32.pow(failures.min(MAX_DOUBLINGS));
            Proof::Missing { failures: failures + 1, check_at: now + delay }
        };
        is_box
    }

    /// Number of claims that are kept.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }
}

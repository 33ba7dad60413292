//! Policies that choose the backend server of a pool for a request.
//!
//! The daemon uses [`PrefixAffinity`]. The other policies are baselines for benchmarks, behind the
//! same trait.

use std::time::Duration;

use rand::Rng;

use super::rendezvous;

/// A backend server that can take the request now.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the server.
    pub server: &'a str,
    /// Hash of the server's name.
    pub hash: u64,
    /// Estimated number of requests on the server from all boxes, including its queue.
    pub load: f64,
    /// Number of this box's requests on the server.
    pub own: u32,
    /// Number of requests the server runs concurrently.
    pub slots: f64,
    /// Smoothed time to first byte; `None` before the first response.
    pub first_byte: Option<Duration>,
}

/// The properties of a request that a policy uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Hash of the start of the prompt, if the request has a prompt.
    pub prefix: Option<u64>,
}

/// A load-balancing policy.
pub trait Policy: Send {
    /// Returns the index of the chosen candidate; `None` only if `candidates` is empty.
    fn choose(
        &mut self,
        request: Request,
        candidates: &[Candidate<'_>],
        rng: &mut impl Rng,
    ) -> Option<usize>;
}

/// Chooses uniformly at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl Policy for Random {
    fn choose(
        &mut self,
        _request: Request,
        candidates: &[Candidate<'_>],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        (!candidates.is_empty()).then(|| rng.random_range(0..candidates.len()))
    }
}

/// Chooses the candidates in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn choose(
        &mut self,
        _request: Request,
        candidates: &[Candidate<'_>],
        _rng: &mut impl Rng,
    ) -> Option<usize> {
        self.next = self.next.wrapping_add(1);
        (!candidates.is_empty()).then(|| self.next % candidates.len())
    }
}

/// Chooses the candidate with the fewest requests of this box. Ties are broken at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl Policy for LeastInFlight {
    fn choose(
        &mut self,
        _request: Request,
        candidates: &[Candidate<'_>],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let fewest = candidates.iter().map(|candidate| candidate.own).min()?;
        let tied = candidates.iter().enumerate().filter(|(_, candidate)| candidate.own == fewest);
        rand::seq::IteratorRandom::choose(tied.map(|(index, _)| index), rng)
    }
}

/// Chooses by rendezvous hash of the prefix, whatever the load.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixHash;

impl Policy for PrefixHash {
    fn choose(
        &mut self,
        request: Request,
        candidates: &[Candidate<'_>],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        match request.prefix {
            None => Random.choose(request, candidates, rng),
            Some(prefix) => highest_weight(prefix, candidates, 0..candidates.len()),
        }
    }
}

/// Rendezvous hashing of prefixes with bounded loads.
///
/// Only servers whose number of this box's requests stays within a bound around the average are
/// considered. A prefix that has to move always moves to the same next server, and finds its cache
/// there.
///
/// A request without a prefix goes to the less loaded of two random candidates. That keeps boxes
/// that act on the same stale load report from all choosing the same server.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixAffinity;

/// Load of a server, as a factor of the average load, above which its prefixes move to another
/// server.
const LOAD_BOUND_FACTOR: f64 = 1.25;

impl Policy for PrefixAffinity {
    fn choose(
        &mut self,
        request: Request,
        candidates: &[Candidate<'_>],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        if let Some(prefix) = request.prefix {
            let eligible = within_load_bound(candidates);
            if let Some(index) = highest_weight(prefix, candidates, eligible) {
                return Some(index);
            }
        }
        let first = rng.random_range(0..candidates.len());
        let second = rng.random_range(0..candidates.len());
        let better = cost(&candidates[second]) < cost(&candidates[first]);
        Some(if better { second } else { first })
    }
}

fn highest_weight(
    prefix: u64,
    candidates: &[Candidate<'_>],
    indices: impl Iterator<Item = usize>,
) -> Option<usize> {
    indices.max_by_key(|index| rendezvous::mix(candidates[*index].hash, prefix))
}

/// Returns the servers whose number of this box's requests stays within the bound.
///
/// Only this box's own requests are counted, because that count is exact. The load from other boxes
/// is known late, and it is even if every box balances its own requests.
fn within_load_bound(candidates: &[Candidate<'_>]) -> impl Iterator<Item = usize> {
    let own: f64 = candidates.iter().map(|candidate| f64::from(candidate.own)).sum();
    let slots: f64 = candidates.iter().map(|candidate| candidate.slots).sum();
    let per_slot = LOAD_BOUND_FACTOR * (own + 1.0) / slots.max(1.0);
    (0..candidates.len()).filter(move |index| {
        let candidate = &candidates[*index];
        f64::from(candidate.own) + 1.0 <= (per_slot * candidate.slots).ceil()
    })
}

/// Weight of the reported load relative to the exact count of this box's requests. Reports are
/// late.
const REPORTED_LOAD_WEIGHT: f64 = 0.25;

fn cost(candidate: &Candidate<'_>) -> f64 {
    (f64::from(candidate.own) + REPORTED_LOAD_WEIGHT * candidate.load) / candidate.slots.max(1.0)
}

//! Which backend server of a pool gets a request.
//!
//! [`Estimate`] is what the daemon uses. The others are the baselines that it
//! is measured against, kept behind the same trait.

use std::time::Duration;

use rand::Rng;

use super::rendezvous;

/// A backend server that could take the request now.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub server: &'a str,
    /// Hash of its name.
    pub hash: u64,
    /// Requests on it, its queue included, as far as known.
    pub load: f64,
    /// Requests of this box on it.
    pub own: u32,
    /// Requests it runs at once.
    pub slots: f64,
    /// Smoothed time to its first byte; `None` before the first answer.
    pub first_byte: Option<Duration>,
}

/// What a policy knows of the request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Hash of the beginning of its prompt, if it has one.
    pub prefix: Option<u64>,
}

/// A way to choose. Gives the index of a candidate; `None` only where there are none.
pub trait Policy: Send {
    /// Chooses among the candidates.
    fn choose(
        &mut self,
        request: Request,
        candidates: &[Candidate<'_>],
        rng: &mut impl Rng,
    ) -> Option<usize>;
}

/// Any candidate.
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

/// Each candidate in turn.
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

/// The candidate with fewest requests of this box.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl Policy for LeastInFlight {
    fn choose(
        &mut self,
        _request: Request,
        candidates: &[Candidate<'_>],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let least = candidates.iter().map(|candidate| candidate.own).min()?;
        let equal = candidates.iter().enumerate().filter(|(_, candidate)| candidate.own == least);
        rand::seq::IteratorRandom::choose(equal.map(|(index, _)| index), rng)
    }
}

/// The server that a prefix hashes to, however loaded.
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
            Some(prefix) => heaviest(prefix, candidates, 0..candidates.len()),
        }
    }
}

/// Of the servers that do not hold well over the average of this box's own
/// requests, the one that the prefix hashes to; so a prefix that must move always moves to the same next
/// server, and finds its cache there. Without a prefix, the better of two drawn
/// at random: that keeps boxes that act on the same old report from all
/// choosing the same server.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixAffinity;

/// Load over the average, as a factor, at which a prefix goes elsewhere.
const BOUNDED_LOAD: f64 = 1.25;

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
            let light = light(candidates);
            if let Some(index) = heaviest(prefix, candidates, light) {
                return Some(index);
            }
        }
        let first = rng.random_range(0..candidates.len());
        let second = rng.random_range(0..candidates.len());
        let better = cost(&candidates[second]) < cost(&candidates[first]);
        Some(if better { second } else { first })
    }
}

fn heaviest(
    prefix: u64,
    candidates: &[Candidate<'_>],
    among: impl Iterator<Item = usize>,
) -> Option<usize> {
    among.max_by_key(|index| rendezvous::mix(candidates[*index].hash, prefix))
}

/// The servers whose count of this box's own requests stays within the bound.
/// Own requests are counted exactly; what others do is only known late, and
/// spreads evenly if every box spreads its own.
fn light(candidates: &[Candidate<'_>]) -> impl Iterator<Item = usize> {
    let own: f64 = candidates.iter().map(|candidate| f64::from(candidate.own)).sum();
    let slots: f64 = candidates.iter().map(|candidate| candidate.slots).sum();
    let per_slot = BOUNDED_LOAD * (own + 1.0) / slots.max(1.0);
    (0..candidates.len()).filter(move |index| {
        let candidate = &candidates[*index];
        f64::from(candidate.own) + 1.0 <= (per_slot * candidate.slots).ceil()
    })
}

/// Weight of the late report beside the exact count of own requests.
const REPORT_WEIGHT: f64 = 0.25;

fn cost(candidate: &Candidate<'_>) -> f64 {
    (f64::from(candidate.own) + REPORT_WEIGHT * candidate.load) / candidate.slots.max(1.0)
}

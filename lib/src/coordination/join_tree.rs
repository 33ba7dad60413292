//! Tells boxes that start where to get the state, so that few of them read it from the store or
//! from another failure domain.
//!
//! Boxes that start ask a seed. The seed arranges those of each failure domain in a tree: the first
//! one gets the state from the seed, and each other one is referred to one that asked earlier. No
//! box hands the state to more than a few others, and the depth of the tree grows with the
//! logarithm of the number of boxes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::protocol::fleet::FailureDomainId;

/// Number of boxes that are referred to one other box.
const FANOUT: usize = 4;
/// How long a box that asked is part of a tree.
const JOIN_TTL: Duration = Duration::from_secs(15);
/// Maximum number of boxes in the tree of a failure domain.
const MAX_JOINS: usize = 2048;

/// Maximum number of failure domains, and of bytes of their names. Boxes of any further ones get the
/// state from the seed.
const MAX_DOMAINS: usize = 256;
const MAX_NAME_BYTES: usize = 255;

/// A box that asked for the state.
#[derive(Clone, Copy, Debug)]
struct Join {
    address: SocketAddr,
    /// When it first asked.
    at: Instant,
    /// How often it has asked.
    queries: u32,
}

/// The trees of one seed.
#[derive(Clone, Debug, Default)]
pub struct JoinTree {
    domains: HashMap<FailureDomainId, Vec<Join>>,
}

impl JoinTree {
    /// Records the query of a box that starts. Returns the boxes to ask for the state, in this
    /// order; none if the box is to get the state from the seed.
    pub fn add(&mut self, domain: &str, address: SocketAddr, now: Instant) -> Vec<SocketAddr> {
        self.domains.retain(|_, joins| {
            joins.retain(|join| now < join.at + JOIN_TTL);
            !joins.is_empty()
        });
        let has_room = self.domains.len() < MAX_DOMAINS && domain.len() <= MAX_NAME_BYTES;
        if !has_room && !self.domains.contains_key(domain) {
            return Vec::new();
        }
        let joins = self.domains.entry(domain.to_owned()).or_default();
        let position = joins.iter().position(|join| join.address == address);
        let position = position.unwrap_or_else(|| {
            if joins.len() < MAX_JOINS {
                joins.push(Join { address, at: now, queries: 0 });
            }
            joins.len() - 1
        });
        joins[position].queries += 1;
        let root = joins[0].address;
        // A box that asks again did not get the state from the boxes that it was referred to.
        match (position, joins[position].queries) {
            (0, _) => Vec::new(),
            (_, 1) => {
                let parent = joins[(position - 1) / FANOUT].address;
                if parent == root { vec![root] } else { vec![parent, root] }
            }
            (_, 2) => vec![root],
            _ => Vec::new(),
        }
    }

    /// Number of failure domains.
    pub fn domain_count(&self) -> usize {
        self.domains.len()
    }
}

//! Addresses that several servers of the service name. Only one of them can have each; an answer
//! there shows which.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use super::Placement;
use super::QueryTarget;
use crate::coordination::candidate::Candidate;
use crate::protocol::ServerId;

/// Addresses that several servers name, and the servers that have them as far as it is known.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders {
    contested: BTreeSet<SocketAddr>,
    /// The servers that answered last, and when they were asked.
    known: BTreeMap<SocketAddr, (ServerId, Instant)>,
}

impl Placement {
    /// Finds the addresses that several servers name, and forgets holders that are gone.
    pub(super) fn update_holders(&mut self) {
        let mut seen = BTreeSet::new();
        let addresses = self.servers.values().map(|candidate| candidate.state.server.address);
        self.holders.contested = addresses.filter(|address| !seen.insert(*address)).collect();
        let known = self.holders.known.iter();
        let gone = known.filter(|(address, (holder, _))| !self.is_listed_at(holder, **address));
        let gone: Vec<SocketAddr> = gone.map(|(address, _)| *address).collect();
        gone.into_iter().for_each(|address| self.forget_holder(address));
    }

    /// Records which instance answered at an address to a request or query that was sent at
    /// `asked_at`. The other servers that named the address by then are absent.
    pub fn record_holder(&mut self, instance: &str, address: SocketAddr, asked_at: Instant) {
        if !self.holders.contested.contains(&address) {
            return;
        }
        match self.holders.known.get(&address) {
            // The answer of an earlier holder may arrive after that of the present one.
            Some((holder, at)) if holder != instance && asked_at < *at => return,
            Some((holder, _)) if holder != instance => self.forget_holder(address),
            _ => {}
        }
        if let Some(candidate) = self.servers.get_mut(instance)
            && candidate.state.server.address == address
        {
            candidate.mark_present();
            self.holders.known.insert(address, (instance.to_owned(), asked_at));
        }
        self.set_absent(instance, address, asked_at);
    }

    /// Records that a server is not at its address, according to the answer to a request that was
    /// sent at `asked_at`. Returns whether a server that may get requests is known to be there.
    pub fn record_absence(&mut self, server: &str, address: SocketAddr, asked_at: Instant) -> bool {
        let Some((holder, at)) = self.holders.known.get(&address).cloned() else { return false };
        if holder != server {
            self.set_absent(&holder, address, asked_at);
        } else if asked_at >= at {
            self.forget_holder(address);
        }
        self.has_usable_holder(address)
    }

    /// Whether a server that may get requests is known to have an address.
    pub fn has_usable_holder(&self, address: SocketAddr) -> bool {
        let holder = self.holders.known.get(&address);
        let holder = holder.and_then(|(holder, _)| self.servers.get(holder));
        holder.is_some_and(Candidate::is_usable)
    }

    /// The query that shows which instance has an address; `None` if no two servers name it.
    pub fn holder_query(&self, address: SocketAddr) -> Option<QueryTarget> {
        let path = self.health_path.clone()?;
        self.holders.contested.contains(&address).then_some(QueryTarget { address, path })
    }

    fn is_listed_at(&self, server: &str, address: SocketAddr) -> bool {
        let candidate = self.servers.get(server);
        candidate.is_some_and(|candidate| candidate.state.server.address == address)
    }

    fn set_absent(&mut self, holder: &str, address: SocketAddr, asked_at: Instant) {
        for (id, candidate) in &mut self.servers {
            let is_at_address = candidate.state.server.address == address;
            if is_at_address && id != holder && candidate.listed_since <= asked_at {
                candidate.set_absent(true);
            }
        }
    }

    fn forget_holder(&mut self, address: SocketAddr) {
        self.holders.known.remove(&address);
        for candidate in self.servers.values_mut() {
            if candidate.state.server.address == address {
                candidate.set_absent(false);
            }
        }
    }
}

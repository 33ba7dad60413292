//! Handles the period after the store was restored from an older copy. Until lost writes have been
//! repeated, the state keeps some entries that the store lacks, and holds back others that it
//! lists.

use std::time::Instant;

use super::ClusterState;
use super::Evacuation;
use crate::coordination::candidate;
use crate::protocol::adapter::Fact;
use crate::protocol::adapter::Subject;
use crate::protocol::fleet::FailureDomainId;
use crate::protocol::platform::Revision;

impl ClusterState {
    /// Records that the store was restored from an older copy at `at`.
    pub fn record_store_restored(&mut self, at: Instant) {
        self.rollback.record_rollback(at);
        self.record_store_recovered(at);
    }

    /// Whether writes that the store lost when it was restored may still be repeated.
    pub fn is_settling(&self, now: Instant) -> bool {
        self.rollback.is_settling(now)
    }

    /// Whether an entry comes from the older copy and has been superseded since: a leaving server
    /// that the copy lists as serving, or an entry that was removed.
    pub(super) fn is_outdated(
        &self,
        fact: &Fact,
        subject: &Subject,
        revision: Revision,
        now: Instant,
    ) -> bool {
        if !self.rollback.is_settling(now) {
            return false;
        }
        match fact {
            // `apply` never accepts an older version.
            Fact::Routing(_) | Fact::Upgrade(_) => false,
            Fact::Server(server) => match self.servers.get(&server.id) {
                Some(entry) => {
                    let same_incarnation = entry.incarnation == candidate::incarnation_hash(server);
                    same_incarnation && entry.server.leaving && !server.leaving
                }
                None => self.rollback.was_removed(subject, revision),
            },
            Fact::Evacuated(domain) => {
                !self.evacuated.contains_key(domain) && self.rollback.was_removed(subject, revision)
            }
        }
    }

    /// Removes an evacuation that is gone from the store. While the store settles, it stays in
    /// force because it may be written again.
    pub(super) fn remove_evacuation(&mut self, domain: &FailureDomainId, now: Instant) {
        if self.rollback.is_settling(now) {
            if let Some(evacuation) = self.evacuated.get_mut(domain) {
                log::info!("event=evacuation_missing failure_domain={domain}");
                evacuation.missing_since.get_or_insert(now);
            }
            return;
        }
        if let Some(evacuation) = self.evacuated.remove(domain) {
            log::info!("event=evacuation_over failure_domain={domain}");
            let subject = Subject::Evacuation(domain.clone());
            self.rollback.record_removal(subject, evacuation.revision, now);
            self.mark_domain_cold(domain, now);
        }
    }

    /// Once the store has settled, accepts the entries that it lists. Returns whether that changes
    /// anything.
    pub(super) fn settle(&mut self, now: Instant) -> bool {
        if self.rollback.is_settling(now) {
            return false;
        }
        let missing = |evacuation: &Evacuation| evacuation.missing_since.is_some();
        let missing: Vec<FailureDomainId> = self
            .evacuated
            .iter()
            .filter(|(_, evacuation)| missing(evacuation))
            .map(|(domain, _)| domain.clone())
            .collect();
        for domain in &missing {
            self.remove_evacuation(domain, now);
        }
        let released = self.rollback.release(now);
        let mut changed = !missing.is_empty();
        for (fact, revision) in released {
            changed |= self.apply(fact, revision, now);
        }
        changed
    }
}

/// The subject of a fact.
pub(super) fn subject(fact: &Fact) -> Subject {
    match fact {
        Fact::Routing(_) => Subject::Routing,
        Fact::Server(server) => Subject::Server(server.id.clone()),
        Fact::Evacuated(domain) => Subject::Evacuation(domain.clone()),
        Fact::Upgrade(order) => Subject::Upgrade(order.service.clone()),
    }
}

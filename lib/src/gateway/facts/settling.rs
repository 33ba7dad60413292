//! What control still holds to, and what it holds back, while a store that came
//! back from an older copy settles.

use std::time::Instant;

use super::Evacuation;
use super::Facts;
use crate::coordination::candidate;
use crate::protocol::adapter::Fact;
use crate::protocol::adapter::Subject;
use crate::protocol::fleet::FailureDomainId;
use crate::protocol::platform::Revision;

impl Facts {
    /// The store came back from an older copy then.
    pub fn store_is_restored(&mut self, at: Instant) {
        self.restored.record_rollback(at);
        self.store_is_back(at);
    }

    /// Whether what the store lost with its return to an older copy may still be written again.
    pub fn is_settling(&self, now: Instant) -> bool {
        self.restored.is_settling(now)
    }

    /// Whether the store shows, from the copy that it came back from, what has been superseded since:
    /// a server as serving that leaves, or an entry that was removed.
    pub(super) fn is_outdated(
        &self,
        fact: &Fact,
        subject: &Subject,
        revision: Revision,
        now: Instant,
    ) -> bool {
        if !self.restored.is_settling(now) {
            return false;
        }
        match fact {
            // An older version never comes into force.
            Fact::Routing(_) => false,
            Fact::Server(server) => match self.servers.get(&server.id) {
                Some(entry) => {
                    let same_life = entry.life == candidate::incarnation_hash(server);
                    same_life && entry.server.leaving && !server.leaving
                }
                None => self.restored.was_removed(subject, revision),
            },
            Fact::Evacuated(domain) => {
                !self.evacuated.contains_key(domain) && self.restored.was_removed(subject, revision)
            }
        }
    }

    /// An evacuation is gone; while the store settles, it may be written again.
    pub(super) fn forget_evacuation(&mut self, domain: &FailureDomainId, now: Instant) {
        if self.restored.is_settling(now) {
            if let Some(evacuation) = self.evacuated.get_mut(domain) {
                log::info!("event=evacuation_missing failure_domain={domain}");
                evacuation.missing_since.get_or_insert(now);
            }
            return;
        }
        if let Some(evacuation) = self.evacuated.remove(domain) {
            log::info!("event=evacuation_over failure_domain={domain}");
            let subject = Subject::Evacuation(domain.clone());
            self.restored.record_removal(subject, evacuation.revision, now);
            self.cool(domain, now);
        }
    }

    /// What the store still shows after its return to an older copy counts from now on. Says whether
    /// that changes anything.
    pub(super) fn settle(&mut self, now: Instant) -> bool {
        if self.restored.is_settling(now) {
            return false;
        }
        let over = |evacuation: &Evacuation| evacuation.missing_since.is_some();
        let over: Vec<FailureDomainId> = self
            .evacuated
            .iter()
            .filter(|(_, evacuation)| over(evacuation))
            .map(|(domain, _)| domain.clone())
            .collect();
        for domain in &over {
            self.forget_evacuation(domain, now);
        }
        let released = self.restored.release(now);
        let mut changed = !over.is_empty();
        for (fact, revision) in released {
            changed |= self.learn(fact, revision, now);
        }
        changed
    }
}

/// What a fact is about.
pub(super) fn subject(fact: &Fact) -> Subject {
    match fact {
        Fact::Routing(_) => Subject::Routing,
        Fact::Server(server) => Subject::Server(server.id.clone()),
        Fact::Evacuated(domain) => Subject::Evacuation(domain.clone()),
    }
}

//! Orders and plans for a version that is in use because the service has no other one.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::upgrade::Plan;
use copperweir_lib::coordination::upgrade::Role;
use copperweir_lib::coordination::upgrade::Stage;
use copperweir_lib::coordination::upgrade::Upgrades;
use copperweir_lib::coordination::upgrade::table::Limits;
use copperweir_lib::coordination::upgrade::table::ServerCounts;
use copperweir_lib::protocol::platform::Position;
use copperweir_lib::protocol::upgrade::Order;

const LIMITS: Limits = Limits { exposure_share: 0.1, exposure_slack: None, rollback: None };
const SERVICE: &str = "engine";

/// One judge whose plans reach the store at once.
struct Judge {
    upgrades: Upgrades,
    servers: ServerCounts,
    revision: u64,
    start: Instant,
}

impl Judge {
    fn new(servers: &[(&str, usize)]) -> Judge {
        let mut judge = Judge {
            upgrades: Upgrades::new(LIMITS),
            servers: ServerCounts::default(),
            revision: 0,
            start: Instant::now(),
        };
        judge.set_servers(servers);
        judge
    }

    fn set_servers(&mut self, servers: &[(&str, usize)]) {
        let counts = servers.iter().map(|(version, count)| ((*version).to_owned(), *count));
        self.servers = ServerCounts { by_version: counts.collect::<BTreeMap<_, _>>() };
    }

    fn order(&mut self, target: &str, duration: Duration) {
        self.revision += 1;
        let order = Order { service: SERVICE.to_owned(), target: target.to_owned(), duration };
        let position = Position { era: 0, revision: self.revision };
        self.upgrades.apply_order(order, position, self.start);
    }

    /// Decides once and applies the plan.
    fn decide(&mut self, after: Duration) -> Plan {
        let now = self.start + after;
        let servers = self.servers.clone();
        self.upgrades.record_published(|_| servers.clone(), now);
        let context = (self.revision, now);
        let judged = self.upgrades.decide(SERVICE, 0, (&[], &[]), 0, &servers, context);
        let plan = judged.expect("a decision").decision.plan;
        self.upgrades.apply_plan(SERVICE, plan.clone(), now);
        plan
    }

    fn role(&self, version: &str) -> Role {
        self.upgrades.versions()[SERVICE].role(version)
    }
}

/// Guards against a first server of a new version that gets all requests, because the version in use
/// is excluded.
#[test]
fn version_in_use_is_not_excluded_when_its_order_has_no_time_or_is_withdrawn() {
    let mut judge = Judge::new(&[("v1", 3)]);
    judge.order("v1", Duration::ZERO);
    assert_eq!(judge.decide(Duration::ZERO).stage, Stage::RolledBack);
    assert_eq!(judge.role("v1"), Role::Serving);

    let mut judge = Judge::new(&[("v1", 3)]);
    judge.order("v1", Duration::from_secs(10));
    judge.decide(Duration::ZERO);
    judge.upgrades.remove_order(SERVICE);
    assert_eq!(judge.decide(Duration::from_secs(1)).stage, Stage::RolledBack);
    assert_eq!(judge.role("v1"), Role::Serving);
}

#[test]
fn new_version_is_excluded_while_the_servers_of_the_other_one_are_unusable() {
    let mut judge = Judge::new(&[("v1", 0), ("v2", 3)]);
    judge.order("v2", Duration::ZERO);
    assert_eq!(judge.decide(Duration::ZERO).stage, Stage::RolledBack);
    assert_eq!(judge.role("v2"), Role::Rejected);
}

#[test]
fn version_found_bad_is_excluded_though_it_is_the_only_one() {
    let mut judge = Judge::new(&[("v1", 3)]);
    judge.order("v1", Duration::from_secs(10));
    let plan = judge.decide(Duration::ZERO);
    assert!(judge.upgrades.halt(plan.id));
    assert_eq!(judge.decide(Duration::from_secs(1)).stage, Stage::RolledBack);
    assert_eq!(judge.role("v1"), Role::Rejected);
}

/// Guards against a new version that gets all requests at once, because the version in use was the
/// target of an order before.
#[test]
fn version_in_use_serves_beside_the_next_target() {
    let mut judge = Judge::new(&[("v1", 3)]);
    judge.order("v1", Duration::from_secs(10));
    judge.decide(Duration::ZERO);
    judge.set_servers(&[("v1", 3), ("v2", 3)]);
    judge.order("v2", Duration::from_secs(10));
    assert_eq!(judge.decide(Duration::from_secs(1)).stage, Stage::Canary);
    assert_eq!((judge.role("v1"), judge.role("v2")), (Role::Serving, Role::Canary));
}

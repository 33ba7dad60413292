//! Tests the state that the control thread derives from the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use copperweir_lib::coordination::presence::box_hash;
use copperweir_lib::gateway::cluster_state::ClusterState;
use copperweir_lib::gateway::cluster_state::LocalContext;
use copperweir_lib::gateway::store_keys::LISTING_BUILD;
use copperweir_lib::protocol::adapter::Fact;
use copperweir_lib::protocol::adapter::Subject;
use copperweir_lib::protocol::fleet::BoxRecord;
use copperweir_lib::protocol::fleet::Server;
use copperweir_lib::protocol::routing::Limits;
use copperweir_lib::protocol::routing::Routing;
use copperweir_lib::protocol::routing::Service;

fn cluster_state() -> ClusterState {
    let mut cluster_state = ClusterState::new(HashMap::from([("z".to_owned(), "r".to_owned())]));
    let service = Service {
        max_connections: 10,
        health_path: None,
        cold_time: Duration::from_secs(3),
        warmup_rate: 10.0,
        kv_cache_tokens: None,
    };
    let services = BTreeMap::from([("s".to_owned(), service)]);
    let routing = Routing::new(1, Vec::new(), services, Limits::default());
    cluster_state.apply(Fact::Routing(Box::new(routing)), 1, Instant::now());
    cluster_state
}

fn server(cold_left: Duration) -> Server {
    Server {
        id: "i-1".to_owned(),
        started_at: None,
        service: "s".to_owned(),
        version: "v1".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        failure_domain: "z".to_owned(),
        slots: 4,
        leaving: false,
        cold_left,
    }
}

fn record(name: &str) -> BoxRecord {
    BoxRecord {
        name: name.to_owned(),
        incarnation: 1,
        region: "r".to_owned(),
        failure_domain: "z".to_owned(),
        callers: ([10, 0, 0, 2], 80).into(),
        peers: ([10, 0, 0, 2], 81).into(),
        leaving: false,
        weight: 1.0,
        records_streams: true,
    }
}

fn context(own_record: &BoxRecord, just_started: bool) -> LocalContext<'_> {
    LocalContext { own_record, just_started, cold_excess: 1.5, cold_slack: 3.0 }
}

fn cold_share(cluster_state: &ClusterState, own_record: &BoxRecord, just_started: bool) -> u32 {
    cluster_state.local_servers(&context(own_record, just_started))["s"][0]
        .cold_share
        .expect("it may turn cold")
        .cold
}

#[test]
fn boxes_that_start_together_share_the_bound_of_a_cold_server() {
    let mut cluster_state = cluster_state();
    cluster_state.apply(Fact::Server(server(Duration::from_secs(3))), 1, Instant::now());
    let own_record = record("b1");
    cluster_state.apply_box(own_record.clone());
    let sole_share = cold_share(&cluster_state, &own_record, true);
    for name in ["b1", "b2", "b3"] {
        cluster_state.apply_roster_entry("r", name, LISTING_BUILD);
    }
    assert!(!cluster_state.may_have_unlisted_streams());
    cluster_state.apply_roster_entry("other", "b4", b"");
    assert!(cluster_state.may_have_unlisted_streams());
    assert_eq!(
        cold_share(&cluster_state, &own_record, true),
        sole_share / 3,
        "others are not in the store yet"
    );
    assert_eq!(
        cold_share(&cluster_state, &own_record, false),
        sole_share,
        "after startup only live boxes count"
    );
    assert_eq!(cluster_state.fleet_size(&context(&own_record, true)), 4);
}

#[test]
fn expired_box_counts_until_its_retention_ends() {
    let mut cluster_state = cluster_state();
    cluster_state.apply(Fact::Server(server(Duration::from_secs(3))), 1, Instant::now());
    let own_record = record("b1");
    cluster_state.apply_box(record("b2"));
    let now = Instant::now();
    let joint_share = cold_share(&cluster_state, &own_record, false);
    cluster_state.remove_box("b2", now);
    assert_eq!(cold_share(&cluster_state, &own_record, false), joint_share);
    assert!(cluster_state.expire(now + Duration::from_secs(60)));
    assert!(cold_share(&cluster_state, &own_record, false) > joint_share);
}

#[test]
fn unlisted_box_counts_once_its_datagrams_arrive() {
    let now = Instant::now();
    let own_record = record("b1");
    let mut cluster_state = cluster_state();
    cluster_state.apply(Fact::Server(server(Duration::from_secs(3))), 1, now);
    assert_eq!(cold_share(&cluster_state, &own_record, false), 14);
    assert!(cluster_state.record_senders([box_hash("b2")].into_iter(), now));
    assert!(!cluster_state.record_senders([box_hash("b2")].into_iter(), now));
    assert_eq!(cold_share(&cluster_state, &own_record, false), 7);
    cluster_state.apply_box(record("b2"));
    assert_eq!(cold_share(&cluster_state, &own_record, false), 7, "it is the same box");
    cluster_state.remove_box("b2", now);
    cluster_state.expire(now + Duration::from_secs(31));
    assert_eq!(cold_share(&cluster_state, &own_record, false), 14);
}

#[test]
fn expired_box_counts_while_its_datagrams_arrive() {
    let mut now = Instant::now();
    let own_record = record("b1");
    let mut cluster_state = cluster_state();
    cluster_state.apply(Fact::Server(server(Duration::from_secs(3))), 1, now);
    cluster_state.apply_box(record("b2"));
    cluster_state.remove_box("b2", now);
    for _ in 0..100 {
        now += Duration::from_secs(1);
        cluster_state.refresh_expired_boxes(|name| name == "b2", now);
        cluster_state.expire(now);
    }
    assert_eq!(cold_share(&cluster_state, &own_record, false), 7);
    assert_eq!(cluster_state.other_expired_boxes(&own_record), [record("b2")]);
    now += Duration::from_secs(31);
    cluster_state.refresh_expired_boxes(|_| false, now);
    cluster_state.expire(now);
    assert_eq!(cold_share(&cluster_state, &own_record, false), 14);
    assert!(cluster_state.other_expired_boxes(&own_record).is_empty());
}

#[test]
fn entries_missing_after_an_outage_are_kept_for_a_grace_period() {
    let mut cluster_state = cluster_state();
    let now = Instant::now();
    cluster_state.apply(Fact::Server(server(Duration::ZERO)), 1, now);
    cluster_state.record_store_recovered(now);
    cluster_state.retain_listed(&BTreeSet::new(), &BTreeSet::new(), now);
    assert_eq!(cluster_state.slots()["s"]["r"], 4, "the entry may be written again");
    assert!(!cluster_state.expire(now + Duration::from_millis(1900)));
    assert!(cluster_state.expire(now + Duration::from_millis(2500)));
    assert!(cluster_state.slots().is_empty());
}

#[test]
fn entry_removed_without_an_outage_is_dropped_at_once() {
    let mut cluster_state = cluster_state();
    cluster_state.apply(Fact::Server(server(Duration::ZERO)), 1, Instant::now());
    cluster_state.remove(&Subject::Server("i-1".to_owned()), Instant::now());
    assert!(cluster_state.slots().is_empty());
}

#[test]
fn servers_are_cold_after_an_evacuation() {
    let mut cluster_state = cluster_state();
    let now = Instant::now();
    cluster_state.apply(Fact::Server(server(Duration::ZERO)), 1, now);
    cluster_state.apply(Fact::Evacuated("z".to_owned()), 1, now);
    let own_record = record("b1");
    let local_servers = |cluster_state: &ClusterState| {
        cluster_state.local_servers(&context(&own_record, false))["s"][0].clone()
    };
    assert!(!local_servers(&cluster_state).usable);
    cluster_state.remove(&Subject::Evacuation("z".to_owned()), now);
    assert!(local_servers(&cluster_state).usable);
    assert!(local_servers(&cluster_state).cold_until >= Some(now + Duration::from_secs(3)));
}

#[test]
fn repeated_cold_entry_with_a_new_revision_makes_a_server_cold_again() {
    let now = Instant::now();
    let own_record = record("b1");
    let cold_left = Duration::from_secs(3);
    let mut cluster_state = cluster_state();
    cluster_state.apply(Fact::Server(server(cold_left)), 5, now);
    let later = now + Duration::from_secs(60);
    cluster_state.apply(Fact::Server(server(cold_left)), 5, later);
    assert_eq!(
        cluster_state.local_servers(&context(&own_record, false))["s"][0].cold_until,
        Some(now + cold_left)
    );
    cluster_state.apply(Fact::Server(server(cold_left)), 9, later);
    assert_eq!(
        cluster_state.local_servers(&context(&own_record, false))["s"][0].cold_until,
        Some(later + cold_left)
    );
}

#[test]
fn older_configuration_is_rejected() {
    let mut cluster_state = cluster_state();
    let older = Routing::new(0, Vec::new(), BTreeMap::new(), Limits::default());
    assert!(!cluster_state.apply(Fact::Routing(Box::new(older)), 1, Instant::now()));
    assert_eq!(cluster_state.routing.as_ref().map(|routing| routing.version), Some(1));
}

fn server_born_at(seconds: u64) -> Server {
    let born = SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
    Server { started_at: Some(born), ..server(Duration::ZERO) }
}

#[test]
fn earlier_incarnation_of_a_server_never_replaces_a_later_one() {
    let (mut cluster_state, now, own_record) = (cluster_state(), Instant::now(), record("b1"));
    let leaving = Server { leaving: true, ..server_born_at(10) };
    assert!(cluster_state.apply(Fact::Server(leaving.clone()), 5, now));
    assert!(
        cluster_state.apply(Fact::Server(server_born_at(20)), 6, now),
        "the new incarnation is not leaving"
    );
    assert!(!cluster_state.apply(Fact::Server(leaving), 7, now), "a late write of the earlier one");
    assert!(
        !cluster_state.apply(Fact::Server(server(Duration::ZERO)), 8, now),
        "an entry without a start time"
    );
    let local_servers = cluster_state.local_servers(&context(&own_record, false));
    assert!(
        local_servers["s"][0].usable
            && local_servers["s"][0].server.started_at == server_born_at(20).started_at
    );
}

/// A server whose machine's clock was set back by 2 s between two starts was ignored from then on,
/// also when it announced that it leaves.
#[test]
fn incarnation_with_an_earlier_start_time_replaces_one_that_it_did_not_precede() {
    let (mut cluster_state, now, own_record) = (cluster_state(), Instant::now(), record("b1"));
    let usable = |cluster_state: &ClusterState| {
        let local_servers = cluster_state.local_servers(&context(&own_record, false));
        (local_servers["s"][0].usable, local_servers["s"][0].server.started_at)
    };
    assert!(cluster_state.apply(Fact::Server(server_born_at(20)), 5, now));
    assert!(cluster_state.apply(Fact::Server(server_born_at(18)), 6, now));
    assert_eq!(usable(&cluster_state), (true, server_born_at(18).started_at));
    let leaving = Server { leaving: true, ..server_born_at(18) };
    assert!(cluster_state.apply(Fact::Server(leaving), 7, now));
    assert!(!usable(&cluster_state).0);
    assert!(cluster_state.apply(Fact::Server(server_born_at(17)), 8, now));
    let late = Server { leaving: true, ..server_born_at(16) };
    assert!(!cluster_state.apply(Fact::Server(late), 4, now), "an older write");
    assert_eq!(usable(&cluster_state), (true, server_born_at(17).started_at));
}

#[test]
fn server_is_dropped_if_its_key_holds_another_value() {
    let (mut cluster_state, own_record) = (cluster_state(), record("b1"));
    cluster_state.apply(Fact::Server(server_born_at(10)), 5, Instant::now());
    cluster_state.discard_server("i-1");
    assert!(cluster_state.local_servers(&context(&own_record, false)).is_empty());
}

#[test]
fn leaving_server_is_not_used_until_a_restored_store_has_settled() {
    let (mut cluster_state, now, own_record) = (cluster_state(), Instant::now(), record("b1"));
    let leaving = Server { leaving: true, ..server(Duration::ZERO) };
    cluster_state.apply(Fact::Server(leaving.clone()), 9, now);
    cluster_state.record_store_restored(now);
    let usable = |cluster_state: &ClusterState| {
        cluster_state.local_servers(&context(&own_record, false))["s"][0].usable
    };
    assert!(
        !cluster_state.apply(Fact::Server(server(Duration::ZERO)), 5, now),
        "the entry comes from the older copy"
    );
    assert!(!usable(&cluster_state));
    let settled = now + Duration::from_millis(2500);
    assert!(cluster_state.expire(settled), "no newer entry was written");
    assert!(usable(&cluster_state));
    cluster_state.record_store_restored(settled);
    cluster_state.apply(Fact::Server(server(Duration::ZERO)), 5, settled);
    cluster_state.apply(Fact::Server(leaving), 6, settled);
    cluster_state.expire(settled + Duration::from_secs(3));
    assert!(!usable(&cluster_state), "the server has announced it again");
}

#[test]
fn removed_server_returns_from_a_restored_store_only_if_it_stays_listed() {
    let (mut cluster_state, now) = (cluster_state(), Instant::now());
    let subject = Subject::Server("i-1".to_owned());
    cluster_state.apply(Fact::Server(server(Duration::ZERO)), 5, now);
    cluster_state.remove(&subject, now);
    cluster_state.record_store_restored(now);
    assert!(
        !cluster_state.apply(Fact::Server(server(Duration::ZERO)), 5, now),
        "the entry comes from the older copy"
    );
    cluster_state.remove(&subject, now);
    cluster_state.expire(now + Duration::from_secs(3));
    assert!(cluster_state.slots().is_empty(), "removed again");
    cluster_state.record_store_restored(now);
    assert!(
        cluster_state.apply(Fact::Server(server(Duration::ZERO)), 6, now),
        "the entry is newer than the removal"
    );
    assert_eq!(cluster_state.slots()["s"]["r"], 4);
}

#[test]
fn ended_evacuation_returns_from_a_restored_store_only_if_it_stays_listed() {
    let (mut cluster_state, now) = (cluster_state(), Instant::now());
    cluster_state.apply(Fact::Server(server(Duration::ZERO)), 1, now);
    cluster_state.apply(Fact::Evacuated("z".to_owned()), 2, now);
    cluster_state.remove(&Subject::Evacuation("z".to_owned()), now);
    cluster_state.record_store_restored(now);
    cluster_state.apply(Fact::Evacuated("z".to_owned()), 2, now);
    assert_eq!(cluster_state.slots()["s"]["r"], 4);
    cluster_state.expire(now + Duration::from_secs(3));
    assert!(cluster_state.slots().is_empty(), "the evacuation is still listed after settling");
}

#[test]
fn server_that_turned_cold_after_the_copy_stays_cold() {
    let (mut cluster_state, now, own_record) = (cluster_state(), Instant::now(), record("b1"));
    let cold_left = Duration::from_secs(5);
    cluster_state.apply(Fact::Server(server(cold_left)), 9, now);
    cluster_state.record_store_restored(now);
    cluster_state.apply(Fact::Server(server(Duration::ZERO)), 5, now);
    assert_eq!(
        cluster_state.local_servers(&context(&own_record, false))["s"][0].cold_until,
        Some(now + cold_left)
    );
}

/// Guards against a server that gets no requests because a box had its address long ago.
#[test]
fn address_of_a_removed_box_may_become_that_of_a_server() {
    let start = Instant::now();
    let mut cluster_state = cluster_state();
    let own_record = BoxRecord { callers: ([10, 0, 0, 9], 80).into(), ..record("b1") };
    cluster_state.add_own_addresses(&own_record);
    cluster_state.apply_box(record("b2"));
    let at_box = Server { address: record("b2").callers, ..server(Duration::ZERO) };
    cluster_state.apply(Fact::Server(at_box), 1, start);
    let is_usable = |cluster_state: &ClusterState| {
        cluster_state.local_servers(&context(&own_record, false))["s"][0].usable
    };
    assert!(!is_usable(&cluster_state));
    cluster_state.remove_box("b2", start);
    assert!(!is_usable(&cluster_state), "it may only have lost the store");
    cluster_state.expire(start + Duration::from_secs(40));
    assert!(is_usable(&cluster_state));
    let at_own = Server { address: own_record.callers, ..server(Duration::ZERO) };
    cluster_state.apply(Fact::Server(at_own), 2, start);
    assert!(!is_usable(&cluster_state));
}

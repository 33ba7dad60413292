//! What control concludes from the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use copperweir_lib::coordination::presence::box_hash;
use copperweir_lib::gateway::facts::Facts;
use copperweir_lib::gateway::facts::View;
use copperweir_lib::protocol::adapter::Fact;
use copperweir_lib::protocol::adapter::Subject;
use copperweir_lib::protocol::fleet::BoxRecord;
use copperweir_lib::protocol::fleet::Server;
use copperweir_lib::protocol::routing::Limits;
use copperweir_lib::protocol::routing::Routing;
use copperweir_lib::protocol::routing::Service;

fn facts() -> Facts {
    let mut facts = Facts::new(HashMap::from([("z".to_owned(), "r".to_owned())]));
    let service = Service {
        max_connections: 10,
        health_path: None,
        cold_time: Duration::from_secs(3),
        warmup_rate: 10.0,
        kv_cache_tokens: None,
    };
    let services = BTreeMap::from([("s".to_owned(), service)]);
    let routing = Routing::new(1, Vec::new(), services, Limits::default());
    facts.learn(Fact::Routing(Box::new(routing)), 1, Instant::now());
    facts
}

fn server(cold_left: Duration) -> Server {
    Server {
        id: "i-1".to_owned(),
        started_at: None,
        service: "s".to_owned(),
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
    }
}

fn view(own: &BoxRecord, fresh: bool) -> View<'_> {
    View { own, fresh, cold_excess: 1.5, cold_slack: 3.0 }
}

fn cold_share(facts: &Facts, own: &BoxRecord, fresh: bool) -> u32 {
    facts.known(&view(own, fresh))["s"][0].cold_share.expect("it may turn cold")
}

#[test]
fn boxes_that_start_together_share_a_cold_server_from_the_first_moment() {
    let mut facts = facts();
    facts.learn(Fact::Server(server(Duration::from_secs(3))), 1, Instant::now());
    let own = record("b1");
    facts.learn_box(own.clone());
    let alone = cold_share(&facts, &own, true);
    for name in ["b1", "b2", "b3"] {
        facts.learn_roster("r", name);
    }
    facts.learn_roster("other", "b4");
    assert_eq!(cold_share(&facts, &own, true), alone / 3, "others are not in the store yet");
    assert_eq!(cold_share(&facts, &own, false), alone, "after a while those that live count");
    assert_eq!(facts.fleet(&view(&own, true)), 4);
}

#[test]
fn a_box_that_is_gone_still_counts_for_a_while() {
    let mut facts = facts();
    facts.learn(Fact::Server(server(Duration::from_secs(3))), 1, Instant::now());
    let own = record("b1");
    facts.learn_box(record("b2"));
    let now = Instant::now();
    let shared = cold_share(&facts, &own, false);
    facts.forget_box("b2", now);
    assert_eq!(cold_share(&facts, &own, false), shared);
    assert!(facts.expire(now + Duration::from_secs(60)));
    assert!(cold_share(&facts, &own, false) > shared);
}

#[test]
fn a_box_that_the_store_never_showed_counts_once_it_is_heard() {
    let now = Instant::now();
    let own = record("b1");
    let mut facts = facts();
    facts.learn(Fact::Server(server(Duration::from_secs(3))), 1, now);
    assert_eq!(cold_share(&facts, &own, false), 14);
    assert!(facts.hear_boxes([box_hash("b2")].into_iter(), now));
    assert!(!facts.hear_boxes([box_hash("b2")].into_iter(), now));
    assert_eq!(cold_share(&facts, &own, false), 7);
    facts.learn_box(record("b2"));
    assert_eq!(cold_share(&facts, &own, false), 7, "it is the same box");
    facts.forget_box("b2", now);
    facts.expire(now + Duration::from_secs(31));
    assert_eq!(cold_share(&facts, &own, false), 14);
}

#[test]
fn a_box_that_is_gone_from_the_store_and_still_heard_goes_on_counting() {
    let mut now = Instant::now();
    let own = record("b1");
    let mut facts = facts();
    facts.learn(Fact::Server(server(Duration::from_secs(3))), 1, now);
    facts.learn_box(record("b2"));
    facts.forget_box("b2", now);
    for _ in 0..100 {
        now += Duration::from_secs(1);
        facts.keep_lost(|name| name == "b2", now);
        facts.expire(now);
    }
    assert_eq!(cold_share(&facts, &own, false), 7);
    assert_eq!(facts.lost(&own), [record("b2")]);
    now += Duration::from_secs(31);
    facts.keep_lost(|_| false, now);
    facts.expire(now);
    assert_eq!(cold_share(&facts, &own, false), 14);
    assert!(facts.lost(&own).is_empty());
}

#[test]
fn entries_that_lapsed_while_the_store_was_away_get_two_seconds() {
    let mut facts = facts();
    let now = Instant::now();
    facts.learn(Fact::Server(server(Duration::ZERO)), 1, now);
    facts.store_is_back(now);
    facts.keep_only(&BTreeSet::new(), &BTreeSet::new(), now);
    assert_eq!(facts.slots()["s"]["r"], 4, "it may be back in a moment");
    assert!(!facts.expire(now + Duration::from_millis(1900)));
    assert!(facts.expire(now + Duration::from_millis(2500)));
    assert!(facts.slots().is_empty());
}

#[test]
fn an_entry_that_goes_while_the_store_is_well_is_gone() {
    let mut facts = facts();
    facts.learn(Fact::Server(server(Duration::ZERO)), 1, Instant::now());
    facts.forget(&Subject::Server("i-1".to_owned()), Instant::now());
    assert!(facts.slots().is_empty());
}

#[test]
fn servers_come_cold_out_of_an_evacuation() {
    let mut facts = facts();
    let now = Instant::now();
    facts.learn(Fact::Server(server(Duration::ZERO)), 1, now);
    facts.learn(Fact::Evacuated("z".to_owned()), 1, now);
    let own = record("b1");
    let known = |facts: &Facts| facts.known(&view(&own, false))["s"][0].clone();
    assert!(!known(&facts).usable);
    facts.forget(&Subject::Evacuation("z".to_owned()), now);
    assert!(known(&facts).usable);
    assert!(known(&facts).cold_until >= Some(now + Duration::from_secs(3)));
}

#[test]
fn a_server_that_turns_cold_again_in_the_same_words_is_cold_again() {
    let now = Instant::now();
    let own = record("b1");
    let cold_left = Duration::from_secs(3);
    let mut facts = facts();
    facts.learn(Fact::Server(server(cold_left)), 5, now);
    let later = now + Duration::from_secs(60);
    facts.learn(Fact::Server(server(cold_left)), 5, later);
    assert_eq!(facts.known(&view(&own, false))["s"][0].cold_until, Some(now + cold_left));
    facts.learn(Fact::Server(server(cold_left)), 9, later);
    assert_eq!(facts.known(&view(&own, false))["s"][0].cold_until, Some(later + cold_left));
}

#[test]
fn an_older_configuration_is_not_taken() {
    let mut facts = facts();
    let older = Routing::new(0, Vec::new(), BTreeMap::new(), Limits::default());
    assert!(!facts.learn(Fact::Routing(Box::new(older)), 1, Instant::now()));
    assert_eq!(facts.routing.as_ref().map(|routing| routing.version), Some(1));
}

fn born_at(seconds: u64) -> Server {
    let born = SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
    Server { started_at: Some(born), ..server(Duration::ZERO) }
}

#[test]
fn an_earlier_life_of_a_server_never_replaces_a_later_one() {
    let (mut facts, now, own) = (facts(), Instant::now(), record("b1"));
    let leaving = Server { leaving: true, ..born_at(10) };
    assert!(facts.learn(Fact::Server(leaving.clone()), 5, now));
    assert!(facts.learn(Fact::Server(born_at(20)), 6, now), "a new life leaves no more");
    assert!(!facts.learn(Fact::Server(leaving), 7, now), "a late write of the earlier one");
    assert!(!facts.learn(Fact::Server(server(Duration::ZERO)), 8, now), "of whom nothing is known");
    let known = facts.known(&view(&own, false));
    assert!(known["s"][0].usable && known["s"][0].server.started_at == born_at(20).started_at);
}

#[test]
fn what_another_writer_put_under_a_servers_name_is_no_server() {
    let (mut facts, own) = (facts(), record("b1"));
    facts.learn(Fact::Server(born_at(10)), 5, Instant::now());
    facts.disown_server("i-1");
    assert!(facts.known(&view(&own, false)).is_empty());
}

#[test]
fn a_server_that_leaves_is_held_back_from_serving_until_a_restored_store_has_settled() {
    let (mut facts, now, own) = (facts(), Instant::now(), record("b1"));
    let leaving = Server { leaving: true, ..server(Duration::ZERO) };
    facts.learn(Fact::Server(leaving.clone()), 9, now);
    facts.store_is_restored(now);
    let usable = |facts: &Facts| facts.known(&view(&own, false))["s"][0].usable;
    assert!(!facts.learn(Fact::Server(server(Duration::ZERO)), 5, now), "the copy's entry");
    assert!(!usable(&facts));
    let settled = now + Duration::from_millis(2500);
    assert!(facts.expire(settled), "nobody has written otherwise");
    assert!(usable(&facts));
    facts.store_is_restored(settled);
    facts.learn(Fact::Server(server(Duration::ZERO)), 5, settled);
    facts.learn(Fact::Server(leaving), 6, settled);
    facts.expire(settled + Duration::from_secs(3));
    assert!(!usable(&facts), "the server has said so again");
}

#[test]
fn what_was_removed_comes_back_with_a_restored_store_only_if_it_stays_there() {
    let (mut facts, now) = (facts(), Instant::now());
    let subject = Subject::Server("i-1".to_owned());
    facts.learn(Fact::Server(server(Duration::ZERO)), 5, now);
    facts.forget(&subject, now);
    facts.store_is_restored(now);
    assert!(!facts.learn(Fact::Server(server(Duration::ZERO)), 5, now), "the copy's entry");
    facts.forget(&subject, now);
    facts.expire(now + Duration::from_secs(3));
    assert!(facts.slots().is_empty(), "removed again");
    facts.store_is_restored(now);
    assert!(facts.learn(Fact::Server(server(Duration::ZERO)), 6, now), "written since");
    assert_eq!(facts.slots()["s"]["r"], 4);
}

#[test]
fn an_evacuation_that_ended_does_not_come_back_with_a_restored_store() {
    let (mut facts, now) = (facts(), Instant::now());
    facts.learn(Fact::Server(server(Duration::ZERO)), 1, now);
    facts.learn(Fact::Evacuated("z".to_owned()), 2, now);
    facts.forget(&Subject::Evacuation("z".to_owned()), now);
    facts.store_is_restored(now);
    facts.learn(Fact::Evacuated("z".to_owned()), 2, now);
    assert_eq!(facts.slots()["s"]["r"], 4);
    facts.expire(now + Duration::from_secs(3));
    assert!(facts.slots().is_empty(), "the operator has left it there");
}

#[test]
fn a_server_that_turned_cold_after_the_copy_stays_cold() {
    let (mut facts, now, own) = (facts(), Instant::now(), record("b1"));
    let cold_left = Duration::from_secs(5);
    facts.learn(Fact::Server(server(cold_left)), 9, now);
    facts.store_is_restored(now);
    facts.learn(Fact::Server(server(Duration::ZERO)), 5, now);
    assert_eq!(facts.known(&view(&own, false))["s"][0].cold_until, Some(now + cold_left));
}

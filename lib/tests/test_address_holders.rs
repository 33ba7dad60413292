//! Which of several servers that name one address gets requests, without sockets or a clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::candidate::Outcome;
use copperweir_lib::coordination::candidate::ServerState;
use copperweir_lib::coordination::loads::Loads;
use copperweir_lib::coordination::placement::Eligible;
use copperweir_lib::coordination::placement::Place;
use copperweir_lib::coordination::placement::Placement;
use copperweir_lib::coordination::placement::PlacementRequest;
use copperweir_lib::coordination::throttle::Throttles;
use copperweir_lib::coordination::upgrade::Role;
use copperweir_lib::protocol::fleet::Server;
use copperweir_lib::protocol::routing::Service;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SECOND: Duration = Duration::from_secs(1);

fn address() -> SocketAddr {
    ([10, 0, 0, 1], 80).into()
}

fn entry(id: &str, slots: u32) -> ServerState {
    let server = Server {
        id: id.to_owned(),
        started_at: None,
        service: "s".to_owned(),
        version: "v1".to_owned(),
        address: address(),
        failure_domain: "z".to_owned(),
        slots,
        leaving: false,
        cold_left: Duration::ZERO,
    };
    ServerState {
        server: Arc::new(server),
        usable: true,
        role: Role::Serving,
        cold_until: None,
        cold_share: None,
        same_failure_domain: true,
    }
}

struct Fixture {
    placement: Placement,
    now: Instant,
}

impl Fixture {
    fn new(names: &[&str]) -> Fixture {
        let now = Instant::now();
        let mut fixture = Fixture { placement: Placement::new(now), now };
        fixture.list(names.iter().map(|name| entry(name, 8)).collect());
        fixture
    }

    fn list(&mut self, entries: Vec<ServerState>) {
        let service = Service {
            max_connections: 100,
            health_path: Some("/health".to_owned()),
            ..Service::default()
        };
        self.placement.update(entries, 1, &service, self.now);
        self.now += SECOND;
    }

    fn choose(&mut self, tried: &[&str]) -> Option<Place> {
        let tried: Vec<String> = tried.iter().map(|name| (*name).to_owned()).collect();
        let request = PlacementRequest {
            parts: &[],
            tried: &tried,
            loads: &Loads::default(),
            throttles: &Throttles::new(0.5),
            service: 0,
            eligible: Eligible::Healthy,
            role: Role::Serving,
            version: None,
            listed: None,
        };
        self.placement.choose(request, self.now, &mut SmallRng::seed_from_u64(7)).ok()
    }

    /// Reserves a place at a server.
    fn place_at(&mut self, server: &str, others: &[&str]) -> Place {
        let place = self.choose(others).expect("a place");
        assert_eq!(place.server, server);
        place
    }

    fn finish(&mut self, mut place: Place, outcome: Outcome) {
        self.placement.finish(&mut place, outcome, self.now);
    }

    /// The servers that may get requests.
    fn usable(&mut self) -> Vec<String> {
        let mut usable: Vec<String> = Vec::new();
        while let Some(place) = self.choose(&usable.iter().map(String::as_str).collect::<Vec<_>>())
        {
            usable.push(place.server.clone());
            self.finish(place, Outcome::Abandoned);
        }
        usable.sort();
        usable
    }
}

#[test]
fn one_answer_shows_which_server_has_an_address() {
    let mut fixture = Fixture::new(&["i-1", "i-2", "i-3"]);
    let place = fixture.place_at("i-2", &["i-1", "i-3"]);
    fixture.finish(place, Outcome::Answered);
    assert_eq!(fixture.usable(), ["i-2"]);
}

#[test]
fn one_refusal_and_a_query_show_which_server_has_an_address() {
    let mut fixture = Fixture::new(&["i-1", "i-2", "i-3"]);
    let (place, now) = (fixture.place_at("i-1", &["i-2", "i-3"]), fixture.now);
    assert!(!fixture.placement.record_absence("i-1", address(), now));
    assert!(fixture.placement.holder_query(address()).is_some());
    fixture.placement.record_holder("i-2", address(), now);
    assert!(fixture.placement.has_usable_holder(address()));
    fixture.finish(place, Outcome::Replaced);
    assert_eq!(fixture.usable(), ["i-2"]);
}

#[test]
fn entry_that_changes_is_tried_again_once() {
    let mut fixture = Fixture::new(&["i-1", "i-2"]);
    let now = fixture.now;
    fixture.placement.record_holder("i-1", address(), now);
    fixture.list(vec![entry("i-1", 8), entry("i-2", 8)]);
    assert_eq!(fixture.usable(), ["i-1"]);
    fixture.list(vec![entry("i-1", 8), entry("i-2", 9), entry("i-3", 8)]);
    assert_eq!(fixture.usable(), ["i-1", "i-2", "i-3"]);
    let now = fixture.now;
    assert!(fixture.placement.record_absence("i-3", address(), now), "i-1 is known to be there");
    assert_eq!(fixture.usable(), ["i-1"]);
}

/// Guards against a server that waits for good, because the earlier one at its address was seen last.
#[test]
fn others_return_when_the_holder_is_gone() {
    let mut fixture = Fixture::new(&["i-1", "i-2"]);
    let now = fixture.now;
    fixture.placement.record_holder("i-1", address(), now);
    fixture.list(vec![entry("i-2", 8), entry("i-3", 8)]);
    assert_eq!(fixture.usable(), ["i-2", "i-3"]);
}

#[test]
fn others_return_when_the_holder_is_refused() {
    let mut fixture = Fixture::new(&["i-1", "i-2"]);
    let now = fixture.now;
    fixture.placement.record_holder("i-1", address(), now);
    let place = fixture.place_at("i-1", &["i-2"]);
    assert!(!fixture.placement.record_absence("i-1", address(), place.reserved_at));
    fixture.finish(place, Outcome::Replaced);
    assert_eq!(fixture.usable(), ["i-2"]);
}

/// Guards against a new server that is taken for absent, because a long request at its predecessor
/// ends after the new one has answered.
#[test]
fn late_answer_of_an_earlier_holder_is_ignored() {
    let mut fixture = Fixture::new(&["i-1", "i-2"]);
    let early = fixture.place_at("i-1", &["i-2"]);
    fixture.now += SECOND;
    let place = fixture.place_at("i-2", &["i-1"]);
    fixture.finish(place, Outcome::Answered);
    fixture.now += SECOND;
    fixture.finish(early, Outcome::Answered);
    assert_eq!(fixture.usable(), ["i-2"]);
}

#[test]
fn servers_at_addresses_of_their_own_are_not_queried() {
    let fixture = Fixture::new(&["i-1"]);
    assert!(fixture.placement.holder_query(address()).is_none());
}

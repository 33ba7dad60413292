//! The splits of routes, as boxes count and the store lists them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::stream_versions::Destination;
use copperweir_lib::coordination::stream_versions::StreamVersions;
use copperweir_lib::coordination::version_list::RouteLists;
use copperweir_lib::gateway::stream_routes;
use copperweir_lib::protocol::routing::Limits;
use copperweir_lib::protocol::routing::Repeatability;
use copperweir_lib::protocol::routing::Route;
use copperweir_lib::protocol::routing::Routing;

const ERA: u64 = 1;
const SECOND: Duration = Duration::from_secs(1);

fn route(prefix: &str, services: &[(&str, u32)]) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "h.example".to_owned(),
        prefix: prefix.to_owned(),
        repeatability: Repeatability::Stream,
        timeout: 5 * SECOND,
        latency_objective: SECOND,
        priority: 0,
        services: services.iter().map(|(name, weight)| ((*name).to_owned(), *weight)).collect(),
        max_attempts: 2,
        resumable: true,
        home_regions: Vec::new(),
        anonymous: true,
    }
}

/// A box and the lists in the store.
struct Fixture {
    versions: StreamVersions,
    stored: BTreeSet<String>,
    now: Instant,
}

impl Fixture {
    fn start(is_first: bool) -> Fixture {
        let now = Instant::now();
        let mut versions = StreamVersions::default();
        versions.record_state(ERA, now);
        versions.record_fleet(is_first);
        Fixture { versions, stored: BTreeSet::new(), now }
    }

    /// Follows a configuration with these routes, and writes the lists. Returns what was written.
    fn follow(&mut self, routes: &[Route]) -> Option<RouteLists> {
        let routing = Routing::new(1, routes.to_vec(), BTreeMap::new(), Limits::default());
        stream_routes::record_splits(&mut self.versions, &routing, &self.stored, self.now);
        self.versions.expire(self.now);
        let lists =
            stream_routes::lists_to_write(&self.versions, &routing, &self.stored, true, self.now)?;
        for name in self.stored.iter().filter(|name| !lists.routes.contains_key(*name)) {
            self.versions.apply_list(stream_routes::route_hash(name), None, self.now);
        }
        self.stored = lists.routes.keys().cloned().collect();
        for (name, list) in &lists.routes {
            let list = Some(list.clone());
            self.versions.apply_list(stream_routes::route_hash(name), list, self.now);
        }
        Some(lists)
    }

    /// Whether a stream that nobody knows began by the split that the route has now.
    fn has_proof(&self, route: &Route) -> bool {
        let destination = Destination {
            service: 0,
            route: stream_routes::route_hash(&stream_routes::route_name(route)),
            split: stream_routes::split_hash(route),
        };
        let list = self.versions.list(destination.route);
        list.is_some_and(|list| self.versions.is_sole_split(destination, (list, ERA), self.now))
    }
}

#[test]
fn split_is_that_of_the_services_that_get_requests() {
    let split = |services: &[(&str, u32)]| stream_routes::split_hash(&route("/a/", services));
    assert_eq!(split(&[("a", 1)]), split(&[("a", 5), ("b", 0)]));
    assert_eq!(split(&[("a", 1)]), split(&[("b", 0), ("a", 3)]));
    assert_ne!(split(&[("a", 1)]), split(&[("b", 1)]));
    assert_ne!(split(&[("a", 1), ("b", 1)]), split(&[("a", 3), ("b", 1)]));
    assert_ne!(split(&[("a", 1), ("b", 3)]), split(&[("a", 3), ("b", 1)]));
}

#[test]
fn route_that_moved_proves_nothing_until_its_streams_have_ended() {
    let mut fixture = Fixture::start(true);
    let (before, after) = (route("/a/", &[("a", 1)]), route("/a/", &[("b", 1)]));
    fixture.follow(std::slice::from_ref(&before));
    assert!(fixture.has_proof(&before));
    assert!(!fixture.has_proof(&after), "it is not listed yet");
    fixture.now += SECOND;
    let lists = fixture.follow(std::slice::from_ref(&after)).expect("both splits are listed");
    assert_eq!(lists.routes["h.example/a/"].versions.len(), 2);
    fixture.now += 59 * SECOND;
    assert_eq!(fixture.follow(std::slice::from_ref(&after)), None);
    assert!(!fixture.has_proof(&after));
    fixture.now += 2 * SECOND;
    let lists = fixture.follow(std::slice::from_ref(&after)).expect("the earlier split leaves");
    assert_eq!(lists.routes["h.example/a/"].versions.len(), 1);
    fixture.now += 61 * SECOND;
    fixture.versions.expire(fixture.now);
    assert!(fixture.has_proof(&after));
}

#[test]
fn new_route_has_proof_at_once_and_a_removed_one_is_forgotten() {
    let mut fixture = Fixture::start(true);
    let (kept, added) = (route("/a/", &[("a", 1)]), route("/b/", &[("b", 1)]));
    fixture.follow(std::slice::from_ref(&kept));
    fixture.now += 5 * SECOND;
    fixture.follow(&[kept.clone(), added.clone()]);
    assert!(fixture.has_proof(&added));
    fixture.now += 5 * SECOND;
    assert_eq!(fixture.follow(std::slice::from_ref(&kept)), None);
    fixture.now += 61 * SECOND;
    let lists = fixture.follow(std::slice::from_ref(&kept)).expect("the removed route leaves");
    assert_eq!(lists.routes.keys().collect::<Vec<_>>(), ["h.example/a/"]);
    assert!(fixture.has_proof(&kept));
}

#[test]
fn first_lists_of_a_fleet_that_has_run_before_are_no_proof() {
    let mut fixture = Fixture::start(false);
    let (first, added) = (route("/a/", &[("a", 1)]), route("/b/", &[("b", 1)]));
    fixture.follow(std::slice::from_ref(&first));
    assert!(!fixture.has_proof(&first));
    fixture.now += SECOND;
    fixture.follow(&[first.clone(), added.clone()]);
    assert!(!fixture.has_proof(&added));
    fixture.now += 60 * SECOND;
    fixture.follow(&[first.clone(), added.clone()]);
    assert!(fixture.has_proof(&first) && fixture.has_proof(&added));
}

#[test]
fn lists_are_not_removed_by_a_box_that_has_read_no_state() {
    let routing = Routing::new(1, Vec::new(), BTreeMap::new(), Limits::default());
    let listed = BTreeSet::from(["h.example/a/".to_owned()]);
    let versions = StreamVersions::default();
    let now = Instant::now();
    assert_eq!(stream_routes::lists_to_write(&versions, &routing, &listed, true, now), None);
}

//! The splits of routes, as boxes count and the store lists them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::stream_versions;
use copperweir_lib::coordination::stream_versions::Destination;
use copperweir_lib::coordination::stream_versions::StreamVersions;
use copperweir_lib::coordination::version_list::RouteLists;
use copperweir_lib::gateway::store_keys;
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
    names: BTreeSet<String>,
    /// Routes whose streams are to be announced since the last configuration.
    changed: BTreeSet<u64>,
    now: Instant,
}

impl Fixture {
    fn start(is_first: bool) -> Fixture {
        let now = Instant::now();
        let mut versions = StreamVersions::default();
        versions.record_state(ERA, now);
        versions.record_fleet(is_first);
        Fixture { versions, names: BTreeSet::new(), changed: BTreeSet::new(), now }
    }

    /// Follows a configuration with these routes, and writes the lists. Returns what was written.
    fn follow(&mut self, routes: &[Route]) -> Option<RouteLists> {
        self.record(routes);
        let lists = stream_routes::lists_to_write(&self.versions, &self.names, true, self.now)?;
        self.apply(&lists);
        Some(lists)
    }

    /// Follows a configuration without writing the lists.
    fn record(&mut self, routes: &[Route]) {
        let routing = Routing::new(1, routes.to_vec(), BTreeMap::new(), Limits::default());
        self.changed =
            stream_routes::record_splits(&mut self.versions, &routing, &mut self.names, self.now);
        self.versions.expire(self.now);
    }

    /// Reads the lists from the store.
    fn apply(&mut self, lists: &RouteLists) {
        for name in self.names.iter().filter(|name| !lists.routes.contains_key(*name)) {
            self.versions.apply_list(stream_routes::route_hash(name), None, self.now);
        }
        for split in lists.splits.values() {
            self.versions.define_split(split.clone());
        }
        self.names.extend(lists.routes.keys().cloned());
        for (name, list) in &lists.routes {
            let list = Some(list.clone());
            self.versions.apply_list(stream_routes::route_hash(name), list, self.now);
        }
    }

    /// Whether the streams of a route are to be announced since the last configuration.
    fn has_changed(&self, route: &Route) -> bool {
        self.changed.contains(&stream_routes::route_hash(&stream_routes::route_name(route)))
    }

    /// Whether a stream that nobody knows began by the split that the route has now.
    fn has_proof(&self, route: &Route) -> bool {
        self.has_proof_at(route, Some(0))
    }

    /// The same for a caller whose service is picked by this point; `None` if it doesn't name the
    /// attempt that began its stream.
    fn has_proof_at(&self, route: &Route, point: Option<u64>) -> bool {
        let service = route.pick_service(point.unwrap_or_default()).expect("a service");
        let destination = Destination {
            service: copperweir_lib::gateway::stream_versions::service_hash(service),
            route: stream_routes::route_hash(&stream_routes::route_name(route)),
            point,
        };
        let list = self.versions.list(destination.route);
        list.is_some_and(|list| self.versions.is_sole_service(destination, (list, ERA), self.now))
    }
}

#[test]
fn split_is_that_of_the_services_that_get_requests() {
    let split = |services: &[(&str, u32)]| {
        stream_versions::split_hash(&stream_routes::split(&route("/a/", services)))
    };
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
fn weights_that_change_leave_the_proof_for_streams_that_they_do_not_move() {
    let mut fixture = Fixture::start(true);
    let before = route("/a/", &[("a", 1), ("b", 1)]);
    let after = route("/a/", &[("a", 3), ("b", 1)]);
    fixture.follow(std::slice::from_ref(&before));
    assert!((0..8).all(|point| fixture.has_proof_at(&before, Some(point))));
    fixture.now += SECOND;
    fixture.follow(std::slice::from_ref(&after));
    for point in 0..8 {
        let is_moved = before.pick_service(point) != after.pick_service(point);
        assert_eq!(fixture.has_proof_at(&after, Some(point)), !is_moved, "{point}");
    }
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
fn route_with_a_longer_prefix_has_no_proof_until_earlier_streams_have_ended() {
    let mut fixture = Fixture::start(true);
    let (wide, narrow) = (route("/a/", &[("a", 1)]), route("/a/b/", &[("b", 1)]));
    fixture.follow(std::slice::from_ref(&wide));
    fixture.now += 5 * SECOND;
    let lists = fixture.follow(&[wide.clone(), narrow.clone()]).expect("the new route is listed");
    assert_eq!(lists.routes["h.example/a/b/"].versions.len(), 2);
    assert!(fixture.has_proof(&wide) && !fixture.has_proof(&narrow));
    fixture.now += 61 * SECOND;
    fixture.follow(&[wide.clone(), narrow.clone()]).expect("the earlier split leaves");
    fixture.now += 61 * SECOND;
    assert_eq!(fixture.follow(&[wide.clone(), narrow.clone()]), None);
    assert!(fixture.has_proof(&wide) && fixture.has_proof(&narrow));
}

#[test]
fn route_that_gets_the_paths_of_a_removed_one_has_no_proof_until_their_streams_have_ended() {
    let mut fixture = Fixture::start(true);
    let (wide, narrow) = (route("/a/", &[("a", 1)]), route("/a/b/", &[("b", 1)]));
    fixture.follow(&[wide.clone(), narrow]);
    assert!(fixture.has_proof(&wide));
    fixture.now += 5 * SECOND;
    fixture.follow(std::slice::from_ref(&wide));
    assert!(!fixture.has_proof(&wide));
    let mut last_write = fixture.now;
    for _ in 0..200 {
        fixture.now += SECOND;
        if fixture.follow(std::slice::from_ref(&wide)).is_some() {
            last_write = fixture.now;
        }
    }
    assert!(fixture.has_proof(&wide));
    assert!(fixture.now > last_write + 60 * SECOND, "the lists settle");
}

#[test]
fn route_that_was_away_has_no_proof_until_streams_of_meanwhile_have_ended() {
    let mut fixture = Fixture::start(true);
    let (wide, narrow) = (route("/a/", &[("a", 1)]), route("/a/b/c/", &[("b", 1)]));
    let between = route("/a/b/", &[("b", 1)]);
    fixture.follow(&[wide.clone(), between, narrow.clone()]);
    assert!(fixture.has_proof(&narrow));
    for _ in 0..2 {
        fixture.now += 5 * SECOND;
        fixture.follow(std::slice::from_ref(&wide));
    }
    fixture.now += 5 * SECOND;
    let lists = fixture.follow(&[wide.clone(), narrow.clone()]).expect("the splits are listed");
    assert_eq!(lists.routes["h.example/a/b/c/"].versions.len(), 2);
    fixture.now += 59 * SECOND;
    fixture.follow(&[wide.clone(), narrow.clone()]);
    assert!(!fixture.has_proof(&narrow));
    for _ in 0..130 {
        fixture.now += SECOND;
        fixture.follow(&[wide.clone(), narrow.clone()]);
    }
    assert!(fixture.has_proof(&wide) && fixture.has_proof(&narrow));
}

#[test]
fn route_with_a_longer_prefix_has_proof_after_a_start() {
    let mut fixture = Fixture::start(true);
    let routes = [route("/a/", &[("a", 1)]), route("/a/b/", &[("b", 1)])];
    let lists = fixture.follow(&routes).expect("both are listed");
    let mut started = Fixture::start(false);
    started.names = fixture.names;
    for (name, list) in lists.routes {
        let route = stream_routes::route_hash(&name);
        started.versions.apply_list(route, Some(list), started.now);
    }
    assert_eq!(started.follow(&routes), None);
    assert!(routes.iter().all(|route| started.has_proof(route)));
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
    let names = BTreeSet::from(["h.example/a/".to_owned()]);
    let versions = StreamVersions::default();
    let now = Instant::now();
    assert_eq!(stream_routes::lists_to_write(&versions, &names, true, now), None);
}

#[test]
fn lists_with_splits_that_are_missing_or_altered_are_unreadable() {
    let mut fixture = Fixture::start(true);
    let lists = fixture.follow(&[route("/a/", &[("a", 1), ("b", 1)])]).expect("lists");
    let read = |lists: &RouteLists| RouteLists::try_from(&lists.to_value()[..]);
    assert_eq!(read(&lists), Ok(lists.clone()));
    let missing = RouteLists { splits: BTreeMap::new(), ..lists.clone() };
    assert!(read(&missing).is_err());
    let mut altered = lists;
    altered.splits.values_mut().for_each(|split| split.truncate(1));
    assert!(read(&altered).is_err());
}

#[test]
fn caller_that_names_no_attempt_has_proof_only_if_all_splits_have_one_service() {
    let mut fixture = Fixture::start(true);
    let both = route("/a/", &[("a", 1), ("b", 1)]);
    let one = route("/a/", &[("b", 1)]);
    fixture.follow(std::slice::from_ref(&both));
    assert!(!fixture.has_proof_at(&both, None));
    fixture.now += SECOND;
    fixture.follow(std::slice::from_ref(&one));
    assert!(!fixture.has_proof_at(&one, None));
    for _ in 0..130 {
        fixture.now += SECOND;
        fixture.follow(std::slice::from_ref(&one));
    }
    assert!(fixture.has_proof_at(&one, None));
}

#[test]
fn split_that_is_gone_before_it_was_listed_counts() {
    let mut fixture = Fixture::start(true);
    let (first, second) = (route("/a/", &[("a", 1)]), route("/a/", &[("b", 1)]));
    fixture.follow(std::slice::from_ref(&first));
    fixture.record(std::slice::from_ref(&second));
    let lists = fixture.follow(std::slice::from_ref(&first)).expect("both are listed");
    assert_eq!(lists.routes["h.example/a/"].versions.len(), 2);
    assert!(!fixture.has_proof(&first));
}

#[test]
fn route_that_is_removed_before_it_was_listed_hands_its_split_on() {
    let mut fixture = Fixture::start(true);
    let (wide, narrow) = (route("/a/", &[("a", 1)]), route("/a/b/", &[("b", 1)]));
    fixture.follow(std::slice::from_ref(&wide));
    fixture.record(&[wide.clone(), narrow]);
    fixture.follow(std::slice::from_ref(&wide)).expect("the split of the removed route is listed");
    assert!(!fixture.has_proof(&wide));
    assert!(fixture.has_changed(&wide));
    for _ in 0..200 {
        fixture.now += SECOND;
        fixture.follow(std::slice::from_ref(&wide));
    }
    assert!(fixture.has_proof(&wide));
    assert_eq!(fixture.names.len(), 1);
}

#[test]
fn streams_are_announced_though_the_list_came_with_the_configuration() {
    let (first, second) = (route("/a/", &[("a", 1)]), route("/a/", &[("b", 1)]));
    let (mut writer, mut reader) = (Fixture::start(true), Fixture::start(true));
    let lists = writer.follow(std::slice::from_ref(&first)).expect("a list");
    reader.record(std::slice::from_ref(&first));
    reader.apply(&lists);
    assert!(!reader.has_changed(&first));
    let lists = writer.follow(std::slice::from_ref(&second)).expect("both are listed");
    reader.apply(&lists);
    reader.record(std::slice::from_ref(&second));
    assert!(reader.has_changed(&second));
    reader.record(std::slice::from_ref(&second));
    assert!(!reader.has_changed(&second), "once");
}

#[test]
fn keys_of_services_with_long_names_are_short() {
    for name in ["engine", &"long".repeat(100)] {
        let key = store_keys::versions_key(name);
        assert!(key.len() <= 200);
        let service = copperweir_lib::gateway::stream_versions::service_hash(name);
        assert_eq!(store_keys::listed_service(&key), Some(service));
    }
}

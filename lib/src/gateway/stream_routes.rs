//! Where the streams of a route go: hashes of routes and of their splits, and the lists of splits that
//! the store has.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use super::job;
use super::job::Job;
use super::shared::Shared;
use super::shared::lock;
use super::stream_versions;
use crate::coordination::rendezvous;
use crate::coordination::stream_versions::Destination;
use crate::coordination::stream_versions::RouteHash;
use crate::coordination::stream_versions::Split;
use crate::coordination::stream_versions::SplitHash;
use crate::coordination::stream_versions::StreamVersions;
use crate::coordination::version_list::RouteLists;
use crate::coordination::version_list::VersionList;
use crate::protocol::routing::Route;
use crate::protocol::routing::Routing;

/// Host and path prefix of a route, as its list is named in the store.
pub fn route_name(route: &Route) -> String {
    format!("{}{}", route.host, route.prefix)
}

/// Hash of the name of a route.
pub fn route_hash(name: &str) -> RouteHash {
    // A service may have the same name as a route.
    rendezvous::weight(name, "route")
}

/// The services that get requests of a route.
pub fn split(route: &Route) -> Split {
    let weighted = route.services.iter().filter(|(_, weight)| *weight > 0);
    let mut split: Split = weighted
        .map(|(service, weight)| (stream_versions::service_hash(service), *weight))
        .collect();
    match &mut split[..] {
        [] => {
            let first = route.services.first();
            split.extend(first.map(|(service, _)| (stream_versions::service_hash(service), 1)));
        }
        [(_, weight)] => *weight = 1,
        _ => {}
    }
    split
}

/// Where a request goes.
pub fn destination(job: &Job) -> Destination {
    let is_unnamed = job.continues_stream() && job.metadata.resumes.is_none();
    Destination {
        service: stream_versions::service_hash(&job.service),
        route: route_hash(&route_name(&job.route)),
        point: (!is_unnamed).then(|| job::routing_point(job.first_attempt())),
    }
}

/// Records the splits of all routes. `names` are those of routes that the store lists or that were
/// configured lately. Returns the routes that have another split than before, beside earlier ones.
pub fn record_splits(
    versions: &mut StreamVersions,
    routing: &Routing,
    names: &mut BTreeSet<String>,
    now: Instant,
) -> BTreeSet<RouteHash> {
    let mut splits: BTreeMap<String, SplitHash> = BTreeMap::new();
    for route in routing.resumable_routes() {
        splits.insert(route_name(route), versions.define_split(split(route)));
    }
    let mut changed = BTreeSet::new();
    for (from, to) in moved_paths(versions, &splits, names, now) {
        if versions.inherit_splits(route_hash(from), route_hash(to), now) {
            changed.insert(route_hash(to));
        }
    }
    names.extend(splits.keys().cloned());
    for name in names.iter() {
        let route = route_hash(name);
        if versions.record_split(route, splits.get(name).copied(), now) {
            changed.insert(route);
        }
    }
    names.retain(|name| versions.is_known(route_hash(name), now));
    changed.retain(|route| versions.has_several_versions(*route, now));
    changed
}

/// Pairs of a known route and a current one to which paths of the first belong now: because the
/// second one is new, or back, and has a longer prefix, or because the first one was removed.
fn moved_paths<'a>(
    versions: &StreamVersions,
    current: &'a BTreeMap<String, SplitHash>,
    names: &'a BTreeSet<String>,
    now: Instant,
) -> Vec<(&'a String, &'a String)> {
    let is_away = |name: &&String| versions.is_away(route_hash(name));
    let new = current.keys().filter(|name| !names.contains(*name) || is_away(name));
    let removed = names.iter().filter(|name| !current.contains_key(*name));
    // A route that was away has handed its paths on.
    let may_have_streams =
        |name: &&String| !is_away(name) && versions.count_versions(route_hash(name), now) > 0;
    let present = || names.iter().filter(may_have_streams);
    let from_known = new.filter_map(|name| Some((longest_prefix(present(), name)?, name)));
    let to_current = removed.filter_map(|name| Some((name, longest_prefix(current.keys(), name)?)));
    from_known.chain(to_current).collect()
}

/// The longest name that begins another one.
fn longest_prefix<'a>(names: impl Iterator<Item = &'a String>, longer: &str) -> Option<&'a String> {
    names.filter(|name| longer.starts_with(name.as_str())).max_by_key(|name| name.len())
}

/// Records the lists that the store has.
pub fn apply_lists<A>(shared: &Shared<A>, lists: RouteLists, now: Instant) {
    let directory = &mut *lock(&shared.streams);
    for name in directory.route_names.iter().filter(|name| !lists.routes.contains_key(*name)) {
        directory.versions.apply_list(route_hash(name), None, now);
    }
    for split in lists.splits.into_values() {
        directory.versions.define_split(split);
    }
    directory.route_names.extend(lists.routes.keys().cloned());
    for (name, list) in lists.routes {
        directory.versions.apply_list(route_hash(&name), Some(list), now);
    }
}

/// The lists that the store should have, if it has others.
pub fn lists_to_write(
    versions: &StreamVersions,
    names: &BTreeSet<String>,
    is_current: bool,
    now: Instant,
) -> Option<RouteLists> {
    versions.era()?;
    let stored = |name: &String| versions.list(route_hash(name));
    // A route that complete lists don't name is new, so it has no earlier streams.
    let listed: Vec<&VersionList> = names.iter().filter_map(stored).collect();
    let complete_lists: Vec<&&VersionList> = listed.iter().filter(|list| list.complete).collect();
    let needed = |name: &String| {
        let mut list = versions.needed_list(route_hash(name), is_current, now)?;
        if stored(name).is_none() {
            list.complete |= complete_lists.iter().any(|complete| complete.era == list.era);
        }
        Some((name.clone(), list))
    };
    let routes: BTreeMap<String, VersionList> = names.iter().filter_map(needed).collect();
    let is_written = routes.len() == listed.len()
        && routes.iter().all(|(name, list)| stored(name) == Some(list));
    let hashes = routes.values().flat_map(|list| &list.versions);
    let defined = hashes.filter_map(|hash| Some((*hash, versions.split(*hash)?.clone())));
    let splits = defined.collect();
    (!is_written).then_some(RouteLists { routes, splits })
}

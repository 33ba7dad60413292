//! Resolution of teams from keys on boxes with different configuration versions.

use std::collections::BTreeMap;
use std::time::Duration;

use copperweir_lib::coordination::identity::Credentials;
use copperweir_lib::coordination::identity::ForwardedIdentity;
use copperweir_lib::coordination::identity::resolve_team;
use copperweir_lib::coordination::urgency;
use copperweir_lib::error::ErrorKind;
use copperweir_lib::protocol::routing::Limits;
use copperweir_lib::protocol::routing::Repeatability;
use copperweir_lib::protocol::routing::Route;
use copperweir_lib::protocol::routing::Routing;
use copperweir_lib::protocol::team::KeyDigest;
use copperweir_lib::protocol::team::RateLimit;
use copperweir_lib::protocol::team::RateUnit;
use copperweir_lib::protocol::team::Team;
use copperweir_lib::protocol::team::Teams;

fn route(anonymous: bool) -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        repeatability: Repeatability::Safe,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_secs(1),
        priority: 1,
        services: vec![("s".to_owned(), 1)],
        max_attempts: 1,
        resumable: false,
        home_regions: Vec::new(),
        anonymous,
    }
}

/// Returns a configuration version in which team "water" holds `keys`.
fn routing(version: u64, keys: &[&str]) -> Routing {
    let keys = keys.iter().map(|key| KeyDigest::of(key)).collect();
    let teams = Teams::new([(Team::with_name("water"), keys)]);
    Routing::new(version, Vec::new(), BTreeMap::new(), Limits::default()).with_teams(Some(teams))
}

fn key(text: &str) -> Credentials {
    Credentials { key: Some(KeyDigest::of(text)), forwarded: None }
}

fn forwarded(text: &str, team: Option<&str>, version: u64) -> Credentials {
    let checked = ForwardedIdentity { team: team.map(str::to_owned), version };
    Credentials { forwarded: Some(checked), ..key(text) }
}

/// Returns the team's name, "" for no team, or the kind of the failure.
fn resolve(
    credentials: &Credentials,
    routing: &Routing,
    anonymous: bool,
    stale: bool,
) -> Result<String, ErrorKind> {
    let team = resolve_team(credentials, routing, &route(anonymous), stale);
    team.map(|team| team.map_or(String::new(), |team| team.name.clone()))
        .map_err(|failure| failure.kind)
}

#[test]
fn known_key_resolves_to_its_team() {
    let routing = routing(3, &["k1", "k2"]);
    assert_eq!(resolve(&key("k2"), &routing, false, false), Ok("water".to_owned()));
    assert_eq!(resolve(&key("k3"), &routing, false, false), Err(ErrorKind::Unauthorized));
    assert_eq!(
        resolve(&Credentials::default(), &routing, false, false),
        Err(ErrorKind::Unauthorized)
    );
}

#[test]
fn stale_box_does_not_reject_an_unknown_key() {
    let routing = routing(3, &["k1"]);
    assert_eq!(resolve(&key("new"), &routing, false, true), Err(ErrorKind::Behind));
    assert_eq!(
        resolve(&Credentials::default(), &routing, false, true),
        Err(ErrorKind::Unauthorized)
    );
}

#[test]
fn anonymous_routes_still_resolve_known_keys() {
    let routing = routing(3, &["k1"]);
    assert_eq!(resolve(&Credentials::default(), &routing, true, false), Ok(String::new()));
    assert_eq!(resolve(&key("k3"), &routing, true, false), Ok(String::new()));
    assert_eq!(resolve(&key("k1"), &routing, true, false), Ok("water".to_owned()));
}

#[test]
fn no_key_is_needed_without_teams() {
    let routing = Routing::new(3, Vec::new(), BTreeMap::new(), Limits::default());
    assert_eq!(resolve(&key("k1"), &routing, false, false), Ok(String::new()));
}

/// Version 4 revokes a key. The box that the caller contacted still has version 3.
#[test]
fn newer_configuration_version_decides() {
    let (older, newer) = (routing(3, &["k1", "k2"]), routing(4, &["k1"]));
    let from_older = forwarded("k2", Some("water"), 3);
    assert_eq!(resolve(&from_older, &newer, false, false), Err(ErrorKind::Unauthorized));
    // Version 5 adds a key and its team.
    let from_newer = forwarded("k5", Some("heat"), 5);
    assert_eq!(resolve(&from_newer, &older, false, false), Ok("heat".to_owned()));
    let anonymous_since = forwarded("k5", None, 5);
    assert_eq!(resolve(&anonymous_since, &older, false, false), Ok(String::new()));
    // Two boxes with the same version look up the key with the same result.
    let from_same = forwarded("k2", Some("water"), 4);
    assert_eq!(resolve(&from_same, &newer, false, false), Err(ErrorKind::Unauthorized));
}

#[test]
fn digests_round_trip_and_reveal_no_key() {
    let digest = KeyDigest::of("secret");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!(format!("{digest:?}").len() < 20);
    for malformed in ["", "ab", &"g".repeat(64), &"é".repeat(32)] {
        assert!(malformed.parse::<KeyDigest>().is_err(), "{malformed}");
    }
}

#[test]
fn cost_is_the_token_count_or_one() {
    let tokens =
        RateLimit { rate: 1.0, burst: 1.0, unit: RateUnit::Tokens { default_tokens: 200 } };
    assert_eq!((tokens.cost(Some(1540)), tokens.cost(None)), (1540.0, 200.0));
    let requests = RateLimit { unit: RateUnit::Requests, ..tokens };
    assert_eq!(requests.cost(Some(1540)), 1.0);
}

#[test]
fn team_rank_precedes_route_rank() {
    assert!(urgency::rank(Some(0), 2) < urgency::rank(Some(1), 0));
    assert!(urgency::rank(Some(1), 0) < urgency::rank(Some(1), 1));
    assert_eq!(urgency::rank(None, 4), 4);
    assert_eq!((urgency::rank(Some(200), 9), urgency::rank(None, 200)), (9, 9));
}

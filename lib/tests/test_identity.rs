//! Whose request it is, where boxes know different configurations.

use std::collections::BTreeMap;
use std::time::Duration;

use copperweir_lib::coordination::identity::Credentials;
use copperweir_lib::coordination::identity::ForwardedIdentity;
use copperweir_lib::coordination::identity::resolve_team;
use copperweir_lib::coordination::urgency;
use copperweir_lib::error::Kind;
use copperweir_lib::protocol::routing::Limits;
use copperweir_lib::protocol::routing::Method;
use copperweir_lib::protocol::routing::Route;
use copperweir_lib::protocol::routing::Routing;
use copperweir_lib::protocol::team::KeyDigest;
use copperweir_lib::protocol::team::Limit;
use copperweir_lib::protocol::team::Team;
use copperweir_lib::protocol::team::Teams;
use copperweir_lib::protocol::team::Unit;

fn route(anonymous: bool) -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        method: Method::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        priority: 1,
        services: vec![("s".to_owned(), 1)],
        max_attempts: 1,
        resumable: false,
        homes: Vec::new(),
        anonymous,
    }
}

/// A version in which `keys` are held by the team "water".
fn routing(version: u64, keys: &[&str]) -> Routing {
    let keys = keys.iter().map(|key| KeyDigest::of(key)).collect();
    let teams = Teams::new([(Team::named("water"), keys)]);
    Routing::new(version, Vec::new(), BTreeMap::new(), Limits::default()).with_teams(Some(teams))
}

fn key(text: &str) -> Credentials {
    Credentials { key: Some(KeyDigest::of(text)), forwarded: None }
}

fn passed_on(text: &str, team: Option<&str>, version: u64) -> Credentials {
    let checked = ForwardedIdentity { team: team.map(str::to_owned), version };
    Credentials { forwarded: Some(checked), ..key(text) }
}

/// Name of the team, "" for none, or the kind of the refusal.
fn verdict(
    claim: &Credentials,
    routing: &Routing,
    anonymous: bool,
    stale: bool,
) -> Result<String, Kind> {
    let team = resolve_team(claim, routing, &route(anonymous), stale);
    team.map(|team| team.map_or(String::new(), |team| team.name.clone()))
        .map_err(|failure| failure.kind)
}

#[test]
fn a_key_that_is_held_names_the_team() {
    let routing = routing(3, &["k1", "k2"]);
    assert_eq!(verdict(&key("k2"), &routing, false, false), Ok("water".to_owned()));
    assert_eq!(verdict(&key("k3"), &routing, false, false), Err(Kind::Unauthorized));
    assert_eq!(verdict(&Credentials::default(), &routing, false, false), Err(Kind::Unauthorized));
}

#[test]
fn a_box_that_may_lack_a_newer_version_does_not_say_that_there_is_no_such_key() {
    let routing = routing(3, &["k1"]);
    assert_eq!(verdict(&key("new"), &routing, false, true), Err(Kind::Behind));
    assert_eq!(verdict(&Credentials::default(), &routing, false, true), Err(Kind::Unauthorized));
}

#[test]
fn routes_that_need_no_key_still_know_a_team_by_its_key() {
    let routing = routing(3, &["k1"]);
    assert_eq!(verdict(&Credentials::default(), &routing, true, false), Ok(String::new()));
    assert_eq!(verdict(&key("k3"), &routing, true, false), Ok(String::new()));
    assert_eq!(verdict(&key("k1"), &routing, true, false), Ok("water".to_owned()));
}

#[test]
fn without_teams_nobody_needs_a_key() {
    let routing = Routing::new(3, Vec::new(), BTreeMap::new(), Limits::default());
    assert_eq!(verdict(&key("k1"), &routing, false, false), Ok(String::new()));
}

/// A key was taken away in version 4. The box that the caller asked has not heard of it.
#[test]
fn of_two_boxes_the_one_with_the_newer_version_decides() {
    let (older, newer) = (routing(3, &["k1", "k2"]), routing(4, &["k1"]));
    let from_older = passed_on("k2", Some("water"), 3);
    assert_eq!(verdict(&from_older, &newer, false, false), Err(Kind::Unauthorized));
    // A key was added in version 5, and a team with it.
    let from_newer = passed_on("k5", Some("heat"), 5);
    assert_eq!(verdict(&from_newer, &older, false, false), Ok("heat".to_owned()));
    let anonymous_since = passed_on("k5", None, 5);
    assert_eq!(verdict(&anonymous_since, &older, false, false), Ok(String::new()));
    // With the same version both look the key up alike.
    let from_same = passed_on("k2", Some("water"), 4);
    assert_eq!(verdict(&from_same, &newer, false, false), Err(Kind::Unauthorized));
}

#[test]
fn digests_are_read_as_they_are_written_and_show_no_key() {
    let digest = KeyDigest::of("secret");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!(format!("{digest:?}").len() < 20);
    for odd in ["", "ab", &"g".repeat(64), &"é".repeat(32)] {
        assert!(odd.parse::<KeyDigest>().is_err(), "{odd}");
    }
}

#[test]
fn a_request_counts_by_its_tokens_or_as_one() {
    let tokens = Limit { rate: 1.0, burst: 1.0, unit: Unit::Tokens { plain: 200 } };
    assert_eq!((tokens.cost(Some(1540)), tokens.cost(None)), (1540.0, 200.0));
    let requests = Limit { unit: Unit::Requests, ..tokens };
    assert_eq!(requests.cost(Some(1540)), 1.0);
}

#[test]
fn a_teams_rank_goes_first_and_a_routes_rank_counts_within_it() {
    assert!(urgency::rank(Some(0), 2) < urgency::rank(Some(1), 0));
    assert!(urgency::rank(Some(1), 0) < urgency::rank(Some(1), 1));
    assert_eq!(urgency::rank(None, 4), 4);
    assert_eq!((urgency::rank(Some(200), 9), urgency::rank(None, 200)), (9, 9));
}

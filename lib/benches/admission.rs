//! Cost of resolving the team of a request and charging it to the team's limit, by number of teams.
//! Without keys and limits, a request incurs neither cost.
//!
//! `cargo bench -p copperweir-lib --bench admission`

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::identity;
use copperweir_lib::coordination::identity::Credentials;
use copperweir_lib::coordination::quota::Quotas;
use copperweir_lib::coordination::quota::Tolerance;
use copperweir_lib::coordination::rendezvous;
use copperweir_lib::protocol::routing::Limits;
use copperweir_lib::protocol::routing::Repeatability;
use copperweir_lib::protocol::routing::Route;
use copperweir_lib::protocol::routing::Routing;
use copperweir_lib::protocol::team::KeyDigest;
use copperweir_lib::protocol::team::RateLimit;
use copperweir_lib::protocol::team::RateUnit;
use copperweir_lib::protocol::team::Team;
use copperweir_lib::protocol::team::Teams;

const REQUESTS: u32 = 100_000;
const ROUNDS: usize = 7;
const TEAM_COUNTS: [usize; 3] = [16, 480, 5000];

fn route() -> Route {
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
        anonymous: false,
    }
}

fn key(number: usize) -> String {
    format!("some-key-of-team-{number}")
}

/// Returns the microseconds per request.
fn measure(count: usize) -> f64 {
    let limit = RateLimit { rate: 1e9, burst: 1e9, unit: RateUnit::Tokens { default_tokens: 200 } };
    let team = |number| {
        let team = Team { limit: Some(limit), ..Team::with_name(&format!("team-{number}")) };
        (team, vec![KeyDigest::of(&key(number))])
    };
    let routing = Routing::new(1, Vec::new(), BTreeMap::new(), Limits::default())
        .with_teams(Some(Teams::new((0..count).map(team))));
    let start = Instant::now();
    let mut quotas = Quotas::new(Tolerance { slack: 0.0, dither: 0.5 }, start);
    let (route, after_start) = (route(), start + Duration::from_secs(10));
    let keys: Vec<String> = (0..count).map(key).collect();
    let started = Instant::now();
    for number in 0..REQUESTS as usize {
        let digest = KeyDigest::of(&keys[number % count]);
        let credentials = Credentials { key: Some(digest), forwarded: None };
        let team =
            identity::resolve_team(&credentials, &routing, &route, false).expect("a known key");
        let team = team.expect("a team");
        let now = after_start + Duration::from_micros(number as u64);
        let admitted = quotas.admit(rendezvous::weight(&team.name, ""), limit, 1000.0, now);
        assert!(admitted.is_ok());
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS)
}

fn main() {
    println!("teams  us a request (min..max)");
    for count in TEAM_COUNTS {
        let rounds: Vec<f64> = (0..ROUNDS).map(|_| measure(count)).collect();
        let min = rounds.iter().copied().fold(f64::MAX, f64::min);
        let max = rounds.iter().copied().fold(0.0, f64::max);
        println!("{count:>5}  {min:.2}..{max:.2}");
    }
}

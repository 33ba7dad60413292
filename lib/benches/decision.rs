//! Cost of one placement decision, by number of backend servers.
//!
//! `cargo bench -p copperweir-lib --bench decision`

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::policy::PrefixAffinity;
use copperweir_lib::coordination::pool::Arrival;
use copperweir_lib::coordination::pool::Decision;
use copperweir_lib::coordination::pool::Limits;
use copperweir_lib::coordination::pool::Outcome;
use copperweir_lib::coordination::pool::Placement;
use copperweir_lib::coordination::pool::Pool;
use copperweir_lib::coordination::pool::ServerSnapshot;
use copperweir_lib::protocol::config::Priority;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const DECISIONS: u32 = 20_000;
const REFRESHES: u32 = 200;
const ROUNDS: usize = 5;
const SERVER_COUNTS: [usize; 5] = [12, 40, 150, 316, 600];

fn server_snapshots(count: usize, now: Instant) -> BTreeMap<String, ServerSnapshot> {
    let server_snapshot = |index: usize| ServerSnapshot {
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        slots: 8,
        leaving: false,
        reachable: true,
        report: Some(((index % 7) as u32, now)),
    };
    (0..count).map(|index| (format!("engine-{index:03}"), server_snapshot(index))).collect()
}

/// Returns the microseconds per decision and per refresh of the pool.
fn measure(count: usize) -> (f64, f64) {
    let now = Instant::now();
    let limits = Limits { max_queued: 256, max_queued_bytes: 1 << 30, boxes: 3 };
    let mut pool = Pool::new(PrefixAffinity, limits, now);
    let mut rng = SmallRng::seed_from_u64(1);
    pool.update(limits, server_snapshots(count, now), BTreeSet::new());
    let outcome = Outcome::Answered {
        first_byte: Duration::from_millis(20),
        total: Duration::from_millis(100),
    };
    let started = Instant::now();
    for id in 0..u64::from(DECISIONS) {
        let arrival = Arrival {
            id,
            priority: Priority::Normal,
            deadline: now + Duration::from_secs(10),
            bytes: 100,
            local_allowed: true,
            remote_regions: Vec::new(),
            prefix: Some(id % 200),
            tried_servers: Vec::new(),
        };
        let (decision, _) = pool.submit(arrival, now, &mut rng);
        if let Decision::Immediate(Placement::Server(server, _)) = decision {
            pool.finish(&server, outcome, now, &mut rng);
        }
    }
    let decision = started.elapsed() / DECISIONS;
    let started = Instant::now();
    for _ in 0..REFRESHES {
        pool.update(limits, server_snapshots(count, now), BTreeSet::new());
    }
    let refresh = started.elapsed() / REFRESHES;
    (decision.as_secs_f64() * 1e6, refresh.as_secs_f64() * 1e6)
}

fn main() {
    println!("servers  decision us (min..max)  refresh us (min..max)");
    for count in SERVER_COUNTS {
        let mut rounds: Vec<(f64, f64)> = (0..ROUNDS).map(|_| measure(count)).collect();
        rounds.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (low, high) = (rounds[0].0, rounds[ROUNDS - 1].0);
        rounds.sort_by(|a, b| a.1.total_cmp(&b.1));
        let (low_refresh, high_refresh) = (rounds[0].1, rounds[ROUNDS - 1].1);
        println!("{count:>7}  {low:>8.2}..{high:<8.2}  {low_refresh:>8.1}..{high_refresh:.1}");
    }
}

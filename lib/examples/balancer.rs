//! A load balancer over a fixed set of servers. The pool assigns requests to servers, queues them
//! and rejects them, without tokio or sockets.

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

fn main() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let limits = Limits { max_queued: 2, max_queued_bytes: 1 << 20, boxes: 1 };
    let mut pool = Pool::new(PrefixAffinity, limits, now);
    let server_snapshot = |port| ServerSnapshot {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        slots: 1,
        leaving: false,
        reachable: true,
        report: None,
    };
    let servers = BTreeMap::from([
        ("one".to_owned(), server_snapshot(9001)),
        ("two".to_owned(), server_snapshot(9002)),
    ]);
    pool.update(limits, servers, BTreeSet::new());

    let mut running = Vec::new();
    for id in 0..5 {
        let arrival = Arrival {
            id,
            priority: Priority::Normal,
            deadline: now + Duration::from_secs(10),
            bytes: 100,
            local_allowed: true,
            remote_regions: Vec::new(),
            prefix: None,
            tried_servers: Vec::new(),
        };
        let (decision, _) = pool.submit(arrival, now, &mut rng);
        println!("request {id}: {decision:?}");
        if let Decision::Immediate(Placement::Server(server, _)) = decision {
            running.push(server);
        }
    }
    assert_eq!((running.len(), pool.waiting()), (2, 2));

    let outcome = Outcome::Answered {
        first_byte: Duration::from_millis(20),
        total: Duration::from_millis(80),
    };
    let wakes = pool.finish(&running[0], outcome, now, &mut rng);
    println!("a slot became free: {wakes:?}");
    assert_eq!((wakes.len(), pool.waiting()), (1, 1));
}

//! A box gets SIGTERM while clients are sending the heads of their requests. Each head arrives in two
//! parts; the second one comes some tenths of a second after the box has closed its port, when no
//! other request is in progress.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::gateway;
use crate::gateway::Gateway;
use crate::gateway::Place;
use crate::http::Answer;
use crate::record::Record;
use crate::setup;
use crate::setup::Clients;
use crate::setup::Failure;
use crate::setup::Folder;
use crate::setup::Verdict;
use crate::store::Store;
use crate::worker::Worker;

/// How long the worker works on a request; the sheet's seat holds take up to 220 ms.
const WORK: Duration = Duration::from_millis(200);
/// When the clients open their channels and send the first part, after the signal.
const FIRST_PART: Duration = Duration::from_millis(1500);
/// When the first of them sends the second part, after the signal.
const SECOND_PART: Duration = Duration::from_millis(2950);
/// Time from one client's second part to the next one's: no more than five requests run at once.
const SECOND_PART_GAP: Duration = Duration::from_millis(40);
/// Number of clients. The last one needs 1,810 ms for its head; `headerTimeoutMs` is 3,000.
const CLIENTS: u32 = 10;
/// `graceS`.
const GRACE: Duration = Duration::from_secs(8);

/// Runs the case.
pub fn run(record: &Record, folder: &Folder, trouble: bool) -> Result<Verdict, Failure> {
    let (store, store_address) = Store::start()?;
    let worker = Worker::start("w-1", SocketAddr::from(([127, 0, 0, 1], 0)), record)?;
    store.put("op/config", &setup::configuration(1, "storefront-api", &["storefront-api"]));
    let entry = worker.entry("storefront-api", "bog-sala-a", "ready", setup::unix_ms());
    store.put("servers/w-1", &entry);
    let network = gateway::free_network(1).ok_or("no free addresses")?;
    let place = Place { number: 1, zone: "bog-sala-a", region: "bogota" };
    let mut front = Gateway::start(network, 1, &place, store_address, &folder.0, true)?;
    let clients = Clients::new(record);
    if !front.wait_ready() || !clients.warm_up(front.callers) {
        return Err("no request succeeds".into());
    }
    // The machine has been in touch for longer than contactMs.
    std::thread::sleep(Duration::from_secs(6));

    worker.set_delay(WORK);
    let signaled_at = Instant::now();
    if trouble {
        record.note("SIGTERM");
        front.signal(gateway::SIGTERM);
    }
    let calls: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let second_part = SECOND_PART + SECOND_PART_GAP * number;
            let (clients, to) = (clients.clone(), front.callers);
            std::thread::spawn(move || {
                clients.call_in_two_parts(to, signaled_at + FIRST_PART, signaled_at + second_part)
            })
        })
        .collect();
    let sent: Vec<_> = calls.into_iter().filter_map(|call| call.join().ok()).collect();
    if trouble {
        let left = GRACE.saturating_sub(signaled_at.elapsed());
        if !front.wait_end(left) {
            return Err("the process has not ended in time".into());
        }
        record.note("the process has ended");
    }

    let runs = record.runs_by_attempt();
    let ran = sent.iter().filter(|sent| runs.contains_key(&sent.attempt));
    let lost = ran.filter(|sent| matches!(sent.answer, Answer::Closed(_))).count();
    record.note(format!("{lost} of {} requests ran and got no complete answer", sent.len()));
    setup::report(&format!("ran and got no complete answer: {lost} of {}", sent.len()));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

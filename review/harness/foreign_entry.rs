//! Another writer puts an entry among those of the workers. Its service is not named, and its
//! `coldLeftMs` is the largest number of seconds that fits in 63 bits, in milliseconds.

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway;
use crate::gateway::Gateway;
use crate::gateway::Place;
use crate::record::Record;
use crate::setup;
use crate::setup::Clients;
use crate::setup::Failure;
use crate::setup::Folder;
use crate::setup::Verdict;
use crate::store::Store;
use crate::worker::Worker;

/// The number of the entry.
const COLD_LEFT_MS: &str = "9223372036854775807000";
/// Number of boxes, all in one region.
const BOXES: u8 = 3;
/// Number of kept channels to each box.
const CHANNELS: usize = 2;
/// Number of requests on each of them.
const REQUESTS: usize = 30;
/// How long the worker works on a request: with this, clients send 40 requests a second, and the
/// sheet's seat holds are 48 a second and take up to 220 ms.
const WORK: Duration = Duration::from_millis(150);
/// How often the processes are looked after.
const STARTS: usize = 3;
/// Time until a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// The rule allows as many channels that are closed without an answer.
const ALLOWED: usize = 3;

/// Runs the case.
pub fn run(record: &Record, folder: &Folder, trouble: bool) -> Result<Verdict, Failure> {
    let (store, store_address) = Store::start()?;
    let worker = Worker::start("w-1", SocketAddr::from(([127, 0, 0, 1], 0)), record)?;
    worker.set_delay(WORK);
    store.put("op/config", &setup::configuration(1, "storefront-api", &["storefront-api"]));
    let entry = worker.entry("storefront-api", "bog-sala-a", "ready", setup::unix_ms());
    store.put("servers/w-1", &entry);
    let network = gateway::free_network(BOXES).ok_or("no free addresses")?;
    let start = |number, bootstrap| {
        let place = Place { number, zone: "bog-sala-a", region: "bogota" };
        Gateway::start(network, BOXES, &place, store_address, &folder.0, bootstrap)
    };
    let mut boxes = (1..=BOXES).map(|number| start(number, true)).collect::<Result<Vec<_>, _>>()?;
    let clients = Clients::new(record);
    if !boxes.iter().all(|front| front.wait_ready() && clients.warm_up(front.callers)) {
        return Err("no request succeeds".into());
    }
    // The machines have been in touch for longer than contactMs.
    std::thread::sleep(Duration::from_secs(6));

    let callers = boxes.iter().flat_map(|front| [front.callers; CHANNELS]);
    let channels: Vec<_> = callers
        .map(|to| {
            let clients = clients.clone();
            std::thread::spawn(move || clients.call_on_kept_channel(to, REQUESTS))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    if trouble {
        let entry = worker.entry("another-service", "bog-sala-a", "ready", setup::unix_ms());
        let entry = entry.replace("\"coldLeftMs\":0", &format!("\"coldLeftMs\":{COLD_LEFT_MS}"));
        store.put("servers/another-writers", &entry);
        record.note(format!("another writer puts an entry: {entry}"));
    }
    let sent: Vec<_> = channels.into_iter().filter_map(|channel| channel.join().ok()).collect();
    // The platform starts a process that has ended again after a short delay.
    let mut ends = [0; BOXES as usize];
    for _ in 0..STARTS {
        std::thread::sleep(RESTART_DELAY);
        for (number, front) in (1..=BOXES).zip(&mut boxes) {
            if front.has_ended() {
                ends[usize::from(number) - 1] += 1;
                record.note(format!("{} has ended by itself and is started again", front.name));
                *front = start(number, false)?;
            }
        }
    }
    record.note(format!("how often the boxes ended by themselves: {ends:?}"));

    let runs = record.runs_by_attempt();
    // The first request on a channel doesn't show that it is kept.
    let on_kept = sent.iter().flat_map(|channel| channel.iter().skip(1));
    let closed = on_kept.filter(|sent| {
        runs.contains_key(&sent.attempt) && matches!(sent.answer, crate::http::Answer::Closed(_))
    });
    let closed = closed.count();
    record.note(format!(
        "{closed} kept channels were closed without an answer to a request that ran"
    ));
    setup::report(&format!(
        "ends of the boxes by themselves {ends:?}, channels closed under a request {closed}"
    ));
    Ok(if closed > ALLOWED { Verdict::Broken } else { Verdict::Held })
}

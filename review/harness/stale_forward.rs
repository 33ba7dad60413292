//! Configurations move a route from service to service while one box is partitioned from the store.
//! Another box, whose zone is evacuated, has the new configuration and forwards requests to the one
//! that is cut off, which runs them by the old configuration.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

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

/// How long the box is partitioned from the store; the site's own partitions last up to 6.7 s.
const CUT_OFF: Duration = Duration::from_millis(5500);
/// How long clients send requests.
const LOAD: Duration = Duration::from_millis(5000);
/// Versions of the configurations; the first one is in force from the start.
const VERSIONS: [u64; 5] = [1, 3, 4, 8, 10];
/// Time from the evacuation of the first box's zone to the first request.
const EVACUATED_BEFORE: Duration = Duration::from_millis(1500);
/// Time between two configurations.
const CHANGE_GAP: Duration = Duration::from_millis(1000);
/// `revertSlackMs`.
const REVERT_SLACK: Duration = Duration::from_millis(250);
/// Time between two requests: 40 a second, where the sheet has 48 seat holds.
const INTERVAL: Duration = Duration::from_millis(25);

/// Runs the case.
pub fn run(record: &Record, folder: &Folder, trouble: bool) -> Result<Verdict, Failure> {
    let (store, store_address) = Store::start()?;
    let (store_of_second, second_address) = store.add_address()?;
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let services: Vec<String> =
        (0..VERSIONS.len()).map(|number| format!("storefront-{number}")).collect();
    let services: Vec<&str> = services.iter().map(String::as_str).collect();
    store.put("op/config", &setup::configuration(VERSIONS[0], services[0], &services));
    // The names of the workers begin with those of their services.
    let mut workers = Vec::new();
    for service in &services {
        for zone in ["bog-sala-a", "med-sala-b", "baq-sala-c"] {
            let id = format!("{service}-{zone}");
            let worker = Worker::start(&id, any_port, record)?;
            let entry = worker.entry(service, zone, "ready", setup::unix_ms());
            store.put(&format!("servers/{id}"), &entry);
            workers.push(worker);
        }
    }
    let network = gateway::free_network(3).ok_or("no free addresses")?;
    let boxes = [
        ("bog-sala-a", "bogota", store_address),
        ("med-sala-b", "medellin", second_address),
        ("baq-sala-c", "barranquilla", store_address),
    ];
    let boxes = (1..)
        .zip(boxes)
        .map(|(number, (zone, region, store))| {
            let place = Place { number, zone, region };
            Gateway::start(network, 3, &place, store, &folder.0, true)
        })
        .collect::<Result<Vec<_>, _>>()?;
    if !boxes.iter().all(Gateway::wait_ready) {
        return Err("a box is not ready".into());
    }
    let clients = Clients::new(record);
    let front = &boxes[0];
    if !clients.warm_up(front.callers) {
        return Err("no request succeeds".into());
    }
    // The machines have been in touch for longer than contactMs.
    std::thread::sleep(Duration::from_secs(6));
    store.put("op/evacuate/bog-sala-a", "{}");
    record.note("the store acknowledges that bog-sala-a is evacuated");
    std::thread::sleep(EVACUATED_BEFORE);

    let begun = Instant::now();
    if trouble {
        record.note(format!("{} is partitioned from the store", boxes[1].name));
        store_of_second.cut_off(true);
    }
    let load = {
        let (clients, to) = (clients.clone(), front.callers);
        std::thread::spawn(move || clients.load(to, INTERVAL, LOAD))
    };
    for (number, service) in services.iter().enumerate().skip(1) {
        std::thread::sleep((CHANGE_GAP * number as u32).saturating_sub(begun.elapsed()));
        store.put("op/config", &setup::configuration(VERSIONS[number], service, &services));
        record.note(format!("the store acknowledges a configuration: the route goes to {service}"));
    }
    std::thread::sleep(CUT_OFF.saturating_sub(begun.elapsed()));
    if trouble {
        store_of_second.cut_off(false);
        record.note(format!("{} reaches the store again", boxes[1].name));
    }
    let sent = load.join().map_err(|_| "the clients failed")?;

    let runs = record.runs_by_attempt();
    let service_of = |attempt: &str| {
        let run = runs.get(attempt)?;
        services.iter().position(|service| run.worker.starts_with(service))
    };
    let mut reverted = 0;
    for number in 1..services.len() {
        let effects = sent.iter().filter(|sent| service_of(&sent.attempt) == Some(number));
        let first_effect = effects.map(|sent| runs[&sent.attempt].at).min();
        let first_effect = first_effect.ok_or("a configuration has no effect")?;
        let is_older = |attempt: &str| service_of(attempt).is_some_and(|other| other < number);
        let older = sent.iter().filter(|sent| is_older(&sent.attempt));
        let late: Vec<Duration> = older
            .filter_map(|sent| sent.at.checked_duration_since(first_effect))
            .filter(|late| *late > REVERT_SLACK)
            .collect();
        let latest = late.iter().max().copied().unwrap_or_default();
        record.note(format!(
            "configuration {}: of the requests that clients sent to {} later than {REVERT_SLACK:?} \
             after a worker had run one of theirs by it, {} were run by an older one; the last was \
             sent {latest:?} after",
            VERSIONS[number],
            front.name,
            late.len(),
        ));
        reverted += late.len();
    }
    setup::report(&format!(
        "requests run by an older configuration, of {}: {reverted}",
        sent.len()
    ));
    Ok(if reverted > 0 { Verdict::Broken } else { Verdict::Held })
}

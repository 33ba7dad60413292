//! Streams that callers take up at a box that was suspended, or cut off from the store and the other
//! boxes, while servers of a second version joined.

#![allow(missing_docs)]

mod streams;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use copperweir_platform_standin::store::Fault;
use streams::BoxProcess;
use streams::Fixture;
use streams::REGIONS;
use streams::caller::Caller;
use streams::caller::FAST;
use streams::caller::Protocol;
use streams::caller::Record;
use streams::engine::Behavior;

const BEHAVIOR: Behavior =
    Behavior { events: 12, padding: 0, delay: Duration::from_millis(10), breaks_off: false };
/// Number of streams of each version.
const STREAMS: usize = 16;
/// The last event that callers have received before they take a stream up.
const LAST_EVENT: u64 = 2;
/// The longest time for which streams of a new version don't begin yet.
const LISTING_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a box takes at most to catch up.
const CATCH_UP: Duration = Duration::from_secs(6);

/// What surrounds the stale box when its callers take their streams up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Surroundings {
    /// The store and the other boxes.
    All,
    /// The other boxes.
    NoStore(Fault),
    /// Neither.
    Nothing(Fault),
}

/// Whether the servers of the first version stay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Release {
    Partial,
    Whole,
}

fn caller(fixture: &Fixture, name: String) -> Caller {
    Caller {
        name,
        protocol: Protocol::Http11,
        pace: FAST,
        boxes: fixture.addresses(),
        last_event: BEHAVIOR.events,
        padding: BEHAVIOR.padding,
    }
}

/// Begins streams at boxes other than the stale one until enough have a version.
async fn begin(fixture: &Fixture, stale: usize, version: &str) -> Vec<(Caller, Record)> {
    let until = Instant::now() + LISTING_TIMEOUT;
    let mut streams = Vec::new();
    for number in 0.. {
        if streams.len() == STREAMS {
            break;
        }
        assert!(Instant::now() < until, "{} streams of {version}", streams.len());
        let caller = caller(fixture, format!("{version}-{number}"));
        let address = fixture.boxes[(stale + 1 + number % 3) % fixture.boxes.len()].address;
        let record = caller.begin(address, LAST_EVENT).await;
        if record.version == version {
            streams.push((caller, record));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    streams
}

/// Takes each stream up once at the stale box. Returns those that did not go on.
async fn take_up(
    address: SocketAddr,
    streams: Vec<(Caller, Record)>,
    when: &str,
) -> Vec<(Caller, Record)> {
    let mut tasks = tokio::task::JoinSet::new();
    for (caller, mut record) in streams {
        tasks.spawn(async move {
            let wait = caller.try_once(address, &mut record);
            let _ = tokio::time::timeout(Duration::from_secs(2), wait).await;
            (caller, record)
        });
    }
    let mut streams = tasks.join_all().await;
    let faults: Vec<_> = streams.iter().flat_map(|(_, record)| &record.faults).collect();
    assert!(faults.is_empty(), "{when}: {} of {}: {faults:#?}", faults.len(), streams.len());
    streams.retain(|(_, record)| !record.is_whole);
    streams
}

fn others(fixture: &Fixture, stale: usize) -> impl Iterator<Item = &BoxProcess> {
    let others = fixture.boxes.iter().enumerate().filter(move |(index, _)| *index != stale);
    others.map(|(_, process)| process)
}

async fn play(number: u8, stale: usize, surroundings: Surroundings, release: Release) {
    let mut fixture = Fixture::start(number, &REGIONS, &["v1"], BEHAVIOR).await;
    let mut streams = begin(&fixture, stale, "v1").await;
    fixture.boxes[stale].suspend();
    let address = fixture.boxes[stale].address;
    for region in REGIONS {
        for _ in 0..streams::ENGINES {
            fixture.add_engine(region, "v2", BEHAVIOR).await;
        }
    }
    let newer = begin(&fixture, stale, "v2").await;
    if release == Release::Whole {
        fixture.remove_version("v1");
        // The first version has no servers left that its streams may go on at.
        streams.clear();
    }
    streams.extend(newer);
    let count = streams.len();
    match surroundings {
        Surroundings::All => {}
        Surroundings::NoStore(fault) => fixture.store.set_fault(fault),
        Surroundings::Nothing(fault) => {
            fixture.store.set_fault(fault);
            others(&fixture, stale).for_each(BoxProcess::suspend);
        }
    }
    fixture.boxes[stale].resume();
    let mut waiting = take_up(address, streams, "stale").await;
    if surroundings != Surroundings::All {
        tokio::time::sleep(Duration::from_millis(500)).await;
        waiting = take_up(address, waiting, "still stale").await;
        fixture.store.set_fault(Fault::None);
        if let Surroundings::Nothing(_) = surroundings {
            others(&fixture, stale).for_each(BoxProcess::resume);
        }
    }
    let until = Instant::now() + CATCH_UP;
    while !waiting.is_empty() && Instant::now() < until {
        waiting = take_up(address, waiting, "catching up").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let went_on = count - waiting.len();
    println!("{surroundings:?}, {release:?}: {went_on} of {count} streams went on");
    assert!(went_on * 2 >= count, "{went_on} of {count} streams went on");
}

/// Faults of the store. Of the two boxes of a region, one records its streams in the store.
const FAULTS: [(Fault, usize); 4] =
    [(Fault::Silent, 0), (Fault::Reset, 1), (Fault::Busy, 0), (Fault::Silent, 1)];

/// Guards against a box that joins streams of two versions after it stood still.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_taken_up_at_a_box_that_stood_still_are_not_joined() {
    for stale in [0, 1] {
        play(20, stale, Surroundings::All, Release::Partial).await;
        play(20, stale, Surroundings::All, Release::Whole).await;
    }
}

/// Guards against a stale box that believes its own list of versions while the store is away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_taken_up_at_a_stale_box_without_the_store_are_not_joined() {
    for (fault, stale) in FAULTS {
        play(21, stale, Surroundings::NoStore(fault), Release::Partial).await;
        play(21, stale, Surroundings::NoStore(fault), Release::Whole).await;
    }
}

/// Guards against a box that joins streams while it is cut off, or while it catches up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_taken_up_at_a_stale_box_that_is_cut_off_are_not_joined() {
    for (fault, stale) in FAULTS {
        play(22, stale, Surroundings::Nothing(fault), Release::Partial).await;
        play(22, stale, Surroundings::Nothing(fault), Release::Whole).await;
    }
}

//! Boxes of an earlier build beside boxes of this one: no box of this build joins a stream with the
//! events of another version, whichever box began it. The program of the earlier build is named by
//! COPPERWEIR_EARLIER_PROGRAM.

#![allow(missing_docs)]

mod streams;

use std::time::Duration;

use streams::Fixture;
use streams::REGIONS;
use streams::caller::Caller;
use streams::caller::FAST;
use streams::caller::Protocol;
use streams::caller::Record;
use streams::engine::Behavior;
use streams::eventually;

const STREAMS: usize = 16;
const BEHAVIOR: Behavior =
    Behavior { events: 12, padding: 0, delay: Duration::from_millis(10), breaks_off: false };
/// The events that callers have before they leave.
const LAST_EVENT: u64 = 4;
/// Streams may have to wait until the store lists their version.
const MAX_ATTEMPTS: usize = 200;
/// Boxes of the earlier build, and of this one.
const EARLIER: [usize; 2] = [0, 2];
const CURRENT: [usize; 2] = [1, 3];
const ALL: [usize; 4] = [0, 1, 2, 3];

fn earlier_program() -> String {
    std::env::var("COPPERWEIR_EARLIER_PROGRAM").expect("the program of an earlier build")
}

async fn start_mixed(number: u8, versions: &[&'static str]) -> Fixture {
    let program = earlier_program();
    let programs = [Some(&*program), None, Some(&*program), None];
    Fixture::start_with_programs(number, &REGIONS, versions, BEHAVIOR, programs).await
}

/// Begins streams at these boxes. Their callers leave after a few events.
async fn begin(fixture: &Fixture, name: &str, boxes: &[usize]) -> Vec<(Caller, Record)> {
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let address = fixture.boxes[boxes[number % boxes.len()]].address;
        let caller = |attempt: usize| Caller {
            name: format!("{name}-{number}-{attempt}"),
            protocol: Protocol::Http11,
            pace: FAST,
            boxes: vec![address],
            last_event: BEHAVIOR.events,
            padding: BEHAVIOR.padding,
        };
        let mut begun: Option<(Caller, Record)> = None;
        for attempt in 0..MAX_ATTEMPTS {
            let record = caller(attempt).begin(address, LAST_EVENT).await;
            assert!(record.faults.is_empty(), "{record:?}");
            if !record.events.is_empty() {
                begun = Some((caller(attempt), record));
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        streams.push(begun.expect("a stream begins"));
    }
    streams
}

/// Takes each stream up once at these boxes. None of them is joined. Returns how many became whole.
async fn take_up(fixture: &Fixture, streams: &[(Caller, Record)], boxes: &[usize]) -> usize {
    let mut went_on = 0;
    for (number, (caller, record)) in streams.iter().enumerate() {
        let mut record = record.clone();
        let address = fixture.boxes[boxes[number % boxes.len()]].address;
        caller.try_once(address, &mut record).await;
        assert!(record.faults.is_empty(), "{}: {:?}", record.name, record.faults);
        went_on += usize::from(record.is_whole);
    }
    went_on
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs COPPERWEIR_EARLIER_PROGRAM"]
async fn streams_of_two_versions_go_on_at_boxes_of_either_build() {
    let mut fixture = start_mixed(40, &["v1", "v2"]).await;
    let by_earlier = begin(&fixture, "earlier", &EARLIER).await;
    let by_current = begin(&fixture, "current", &CURRENT).await;
    assert!(take_up(&fixture, &by_earlier, &CURRENT).await * 2 >= STREAMS);
    assert!(take_up(&fixture, &by_current, &EARLIER).await * 2 >= STREAMS);
    EARLIER.into_iter().for_each(|index| fixture.boxes[index].kill());
    take_up(&fixture, &by_earlier, &CURRENT).await;
    assert!(take_up(&fixture, &by_current, &CURRENT).await * 2 >= STREAMS);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs COPPERWEIR_EARLIER_PROGRAM"]
async fn stream_is_not_joined_if_all_boxes_restart_and_its_version_is_replaced() {
    let mut fixture = start_mixed(41, &["v1"]).await;
    let by_earlier = begin(&fixture, "earlier", &EARLIER).await;
    let by_current = begin(&fixture, "current", &CURRENT).await;
    ALL.into_iter().for_each(|index| fixture.boxes[index].kill());
    fixture.remove_version("v1");
    for region in REGIONS {
        fixture.add_engine(region, "v2", BEHAVIOR).await;
    }
    fixture.start_boxes().await;
    assert_eq!(take_up(&fixture, &by_earlier, &CURRENT).await, 0);
    assert_eq!(take_up(&fixture, &by_current, &CURRENT).await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs COPPERWEIR_EARLIER_PROGRAM"]
async fn stream_is_not_joined_by_boxes_with_new_names_after_an_earlier_build() {
    let program = earlier_program();
    let programs = [Some(&*program); 4];
    let mut fixture = Fixture::start_with_programs(42, &REGIONS, &["v1"], BEHAVIOR, programs).await;
    let streams = begin(&fixture, "earlier", &ALL).await;
    for process in &mut fixture.boxes {
        process.kill();
        process.replace();
    }
    fixture.remove_version("v1");
    for region in REGIONS {
        fixture.add_engine(region, "v2", BEHAVIOR).await;
    }
    let records = || fixture.store.keys("copperweir/boxes/");
    eventually(|| async { records().is_empty() }).await;
    fixture.start_boxes().await;
    // New streams begin once the store lists the version.
    begin(&fixture, "later", &ALL).await;
    assert_eq!(take_up(&fixture, &streams, &ALL).await, 0);
}

//! Streams whose boxes are killed or stopped in the middle of a response. Each caller takes its
//! stream up at another box after the last whole event, and compares all events with those of the
//! server that began it.

#![allow(missing_docs)]

mod streams;

use std::time::Duration;

use streams::ENGINES;
use streams::Fixture;
use streams::REGIONS;
use streams::caller::Caller;
use streams::caller::FAST;
use streams::caller::Pace;
use streams::caller::Protocol;
use streams::caller::Record;
use streams::engine::Behavior;
use streams::link::Link;
use tokio::task::JoinSet;

const CALLERS: usize = 24;
const SHORT: Behavior =
    Behavior { events: 25, padding: 0, delay: Duration::from_millis(20), breaks_off: false };
const BREAKING: Behavior = Behavior { breaks_off: true, ..SHORT };
/// Streams of a megabyte, which fill the buffers on the way to a slow caller.
const LARGE: Behavior = Behavior { padding: 40_000, ..SHORT };
const SLOW: Pace = Pace { bytes: 16_384, pause: Duration::from_millis(20) };
const SLOW_LINK: Link = Link { chunk_bytes: 16_384, pause: Duration::from_millis(20) };
/// The boxes of the north and the south.
const NORTH: [usize; 2] = [0, 1];
const SOUTH: [usize; 2] = [2, 3];

fn callers(fixture: &Fixture, behavior: Behavior, protocol: Protocol) -> Vec<Caller> {
    let caller = |number: usize| {
        let mut boxes = fixture.addresses();
        boxes.rotate_left(number % fixture.boxes.len());
        Caller {
            name: format!("stream-{number}"),
            protocol,
            pace: FAST,
            boxes,
            last_event: behavior.events,
            padding: behavior.padding,
        }
    };
    (0..CALLERS).map(caller).collect()
}

/// Begins the streams a few milliseconds apart.
fn begin(callers: Vec<Caller>) -> JoinSet<Record> {
    let mut streams = JoinSet::new();
    for (number, caller) in callers.into_iter().enumerate() {
        streams.spawn(async move {
            tokio::time::sleep(Duration::from_millis(5 * number as u64)).await;
            caller.follow().await
        });
    }
    streams
}

/// All streams become whole, and no caller gets an event that isn't the next one.
async fn assert_exact(streams: JoinSet<Record>) -> Vec<Record> {
    let records = streams.join_all().await;
    let faults: Vec<String> = records
        .iter()
        .flat_map(|record| record.faults.iter().map(|fault| format!("{}: {fault}", record.name)))
        .collect();
    assert!(faults.is_empty(), "{} of {CALLERS}: {faults:#?}", faults.len());
    for record in &records {
        assert!(record.is_whole, "{}: {} events", record.name, record.events.len());
    }
    records
}

/// At least this many streams were answered by several boxes.
fn assert_taken_up(records: &[Record], least: usize) {
    let taken_up = records.iter().filter(|record| record.responses > 1).count();
    assert!(taken_up >= least, "{taken_up} streams were taken up");
}

async fn mid_answer() {
    tokio::time::sleep(Duration::from_millis(250)).await;
}

async fn play_kills(number: u8, protocol: Protocol, behavior: Behavior, killed: &[usize]) {
    let mut fixture = Fixture::start(number, &REGIONS, &["v1"], behavior).await;
    let streams = begin(callers(&fixture, behavior, protocol));
    mid_answer().await;
    for index in killed {
        fixture.boxes[*index].kill();
    }
    fixture.boxes.iter_mut().for_each(|process| process.start());
    let records = assert_exact(streams).await;
    assert_taken_up(&records, CALLERS / 8);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_killed_boxes_are_exact() {
    play_kills(1, Protocol::Http11, SHORT, &[0, 2]).await;
}

/// Without chunks, only a reset tells an HTTP/1.0 caller that a response is incomplete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_killed_boxes_are_exact_for_callers_without_chunks() {
    play_kills(2, Protocol::Http10, SHORT, &[0, 2]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_exact_if_all_boxes_are_killed() {
    play_kills(3, Protocol::Http11, SHORT, &[0, 1, 2, 3]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_that_servers_break_off_are_exact_if_boxes_are_killed() {
    play_kills(4, Protocol::Http11, BREAKING, &[0, 2]).await;
    play_kills(4, Protocol::Http10, BREAKING, &[1, 3]).await;
}

async fn play_stop(number: u8, protocol: Protocol, stopped: &[usize]) {
    // The streams take longer than a stopped box may run.
    let behavior = Behavior { events: 200, ..SHORT };
    let mut fixture = Fixture::start(number, &REGIONS, &["v1"], behavior).await;
    let streams = begin(callers(&fixture, behavior, protocol));
    mid_answer().await;
    for index in stopped {
        fixture.boxes[*index].stop();
    }
    for index in stopped {
        fixture.boxes[*index].wait().await;
        fixture.boxes[*index].start();
    }
    let records = assert_exact(streams).await;
    assert_taken_up(&records, CALLERS / 8);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_stopped_boxes_are_exact() {
    play_stop(5, Protocol::Http11, &[0, 2]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_stopped_boxes_are_exact_for_callers_without_chunks() {
    play_stop(6, Protocol::Http10, &[0, 1, 2, 3]).await;
}

/// The callers of the north, whose boxes forward to the south.
fn northern_callers(fixture: &Fixture, behavior: Behavior, protocol: Protocol) -> Vec<Caller> {
    let mut callers = callers(fixture, behavior, protocol);
    let boxes = fixture.addresses();
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.boxes = NORTH.map(|index| boxes[(number + index) % NORTH.len()]).to_vec();
    }
    callers
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_forwarded_to_a_killed_box_are_exact() {
    for (behavior, protocol) in [(SHORT, Protocol::Http10), (BREAKING, Protocol::Http11)] {
        let mut fixture = Fixture::start(7, &["south"], &["v1"], behavior).await;
        let streams = begin(northern_callers(&fixture, behavior, protocol));
        mid_answer().await;
        fixture.boxes[SOUTH[0]].kill();
        assert_exact(streams).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_forwarded_to_a_stopped_box_are_exact() {
    let behavior = Behavior { events: 200, ..SHORT };
    let fixture = Fixture::start(8, &["south"], &["v1"], behavior).await;
    let streams = begin(northern_callers(&fixture, behavior, Protocol::Http11));
    mid_answer().await;
    fixture.boxes[SOUTH[0]].stop();
    assert_exact(streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_forwarded_from_a_killed_box_are_exact() {
    let mut fixture = Fixture::start(9, &["south"], &["v1"], BREAKING).await;
    let streams = begin(northern_callers(&fixture, BREAKING, Protocol::Http10));
    mid_answer().await;
    fixture.boxes[NORTH[0]].kill();
    assert_exact(streams).await;
}

async fn play_slow_callers(number: u8, protocol: Protocol) {
    let behavior = Behavior { breaks_off: true, ..LARGE };
    let mut fixture = Fixture::start(number, &REGIONS, &["v1"], behavior).await;
    let mut callers = callers(&fixture, behavior, protocol);
    callers.iter_mut().for_each(|caller| caller.pace = SLOW);
    let streams = begin(callers);
    mid_answer().await;
    fixture.boxes[NORTH[0]].kill();
    fixture.boxes[SOUTH[0]].stop();
    assert_exact(streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_slow_callers_are_exact() {
    play_slow_callers(10, Protocol::Http11).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_slow_callers_without_chunks_are_exact() {
    play_slow_callers(11, Protocol::Http10).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_over_slow_links_between_callers_and_boxes_are_exact() {
    let mut fixture = Fixture::start(12, &REGIONS, &["v1"], LARGE).await;
    let mut links = Vec::new();
    for address in fixture.addresses() {
        links.push(SLOW_LINK.serve(address).await);
    }
    let mut callers = callers(&fixture, LARGE, Protocol::Http11);
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.boxes.clone_from(&links);
        caller.boxes.rotate_left(number % links.len());
    }
    let streams = begin(callers);
    mid_answer().await;
    fixture.boxes[NORTH[0]].kill();
    fixture.boxes[SOUTH[0]].stop();
    assert_exact(streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_over_slow_links_between_boxes_and_servers_are_exact() {
    let behavior = Behavior { breaks_off: true, ..LARGE };
    let mut fixture = Fixture::start(13, &[], &["v1"], behavior).await;
    for region in REGIONS {
        for _ in 0..ENGINES {
            fixture.add_engine_behind(SLOW_LINK, region, "v1", behavior).await;
        }
    }
    let streams = begin(callers(&fixture, behavior, Protocol::Http11));
    mid_answer().await;
    fixture.boxes[NORTH[0]].kill();
    assert_exact(streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_over_slow_links_between_boxes_are_exact() {
    let behavior = Behavior { breaks_off: true, ..LARGE };
    let mut fixture = Fixture::start(14, &["south"], &["v1"], behavior).await;
    let mut links = Vec::new();
    for index in SOUTH {
        links.push(format!("box={} ", fixture.put_behind(SLOW_LINK, index).await));
    }
    let streams = begin(northern_callers(&fixture, behavior, Protocol::Http11));
    mid_answer().await;
    fixture.boxes[SOUTH[0]].kill();
    assert_exact(streams).await;
    let logs = NORTH.map(|index| fixture.boxes[index].log_text()).concat();
    assert!(links.iter().any(|link| logs.contains(link)), "streams go over the links");
}

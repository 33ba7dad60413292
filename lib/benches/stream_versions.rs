//! Cost of a stream that begins while its service has several versions, by number of boxes: the
//! choice of the holders, the datagrams to them, and what a box keeps. And the cost of keeping these
//! streams in the store: calls of all boxes, bytes, and the time of one recorder.
//!
//! `cargo bench -p copperweir-lib --bench stream_versions`

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use copperweir_lib::coordination::loads::BoxReport;
use copperweir_lib::coordination::stream_batch::StreamBatch;
use copperweir_lib::coordination::stream_holders::BoxLocation;
use copperweir_lib::coordination::stream_holders::holders;
use copperweir_lib::coordination::stream_report::StreamReport;
use copperweir_lib::coordination::stream_versions::StreamVersions;
use prost::Message;

const STREAMS: u64 = 2000;
const ROUNDS: usize = 7;
/// Boxes and regions.
const FLEETS: [(usize, usize); 3] = [(9, 3), (85, 3), (984, 4)];
/// Entries that a box keeps for each stream: a key and a version, and when it was noted.
const BYTES_PER_STREAM: usize = 64;
/// Seconds for which a version is kept.
const RETENTION_S: usize = 60;
/// Streams that each box begins in a second.
const STREAMS_PER_BOX: usize = 10;

/// Writes of a recorder in a second.
const WRITES_PER_RECORDER: usize = 4;

fn main() {
    holder_costs();
    store_costs();
}

/// What the store is asked to keep while a service has several versions, and what a lookup reads.
fn store_costs() {
    println!(
        "\nboxes  writes/s  streams a batch  batch bytes  us to encode  us to apply  \
         bytes written/s  streams kept  bytes of a lookup  ms to apply them"
    );
    for (boxes, regions) in FLEETS {
        let streams_per_second = boxes * STREAMS_PER_BOX;
        let in_batch = streams_per_second.div_ceil(regions * WRITES_PER_RECORDER) as u64;
        let batch = StreamBatch { streams: (0..in_batch).map(|key| (key, key % 2)).collect() };
        let value = batch.to_value();
        let encode = micros(|| batch.to_value().len());
        let apply = micros(|| apply_batches(&[&value]));
        let batches = regions * WRITES_PER_RECORDER * RETENTION_S;
        let values = vec![&value; batches];
        let started = Instant::now();
        apply_batches(&values);
        let apply_all = started.elapsed().as_secs_f64() * 1e3;
        println!(
            "{boxes:>5}  {:>8}  {in_batch:>15}  {:>11}  {encode:>12.1}  {apply:>11.1}  {:>15}  {:>12}  {:>17}  {apply_all:>16.1}",
            regions * WRITES_PER_RECORDER,
            value.len(),
            value.len() * regions * WRITES_PER_RECORDER * 4 / 3,
            streams_per_second * RETENTION_S,
            value.len() * batches * 4 / 3,
        );
    }
}

/// Decodes batches and records their streams. Returns the number of streams.
fn apply_batches(values: &[&Bytes]) -> usize {
    let now = Instant::now();
    let mut versions = StreamVersions::default();
    for (number, value) in values.iter().enumerate() {
        let batch = StreamBatch::try_from(&value[..]).expect("a batch");
        for (key, version) in batch.streams {
            // Each batch has other streams.
            versions.record_announcement(key ^ ((number as u64) << 32), version, now);
        }
    }
    versions.len()
}

/// Mean duration of a call in microseconds.
fn micros(call: impl Fn() -> usize) -> f64 {
    const CALLS: usize = 200;
    let started = Instant::now();
    (0..CALLS).for_each(|_| {
        std::hint::black_box(call());
    });
    started.elapsed().as_secs_f64() * 1e6 / CALLS as f64
}

fn holder_costs() {
    println!("boxes  us a stream (min..max)  holders  datagram bytes  bytes sent/s  kept KB");
    for (boxes, regions) in FLEETS {
        let names: Vec<[String; 3]> = (0..boxes)
            .map(|n| {
                [format!("box-{n}"), format!("region-{}", n % regions), format!("fd-{}", n % 12)]
            })
            .collect();
        let address: SocketAddr = ([127, 0, 0, 1], 1).into();
        let locations = || {
            names.iter().map(|[name, region, failure_domain]| BoxLocation {
                name,
                region,
                failure_domain,
                address,
            })
        };
        let mut chosen = 0;
        let rounds: Vec<f64> = (0..ROUNDS)
            .map(|_| {
                let started = Instant::now();
                chosen = (0..STREAMS).map(|key| holders(key, locations()).len()).sum::<usize>();
                started.elapsed().as_secs_f64() * 1e6 / STREAMS as f64
            })
            .collect();
        let min = rounds.iter().copied().fold(f64::MAX, f64::min);
        let max = rounds.iter().copied().fold(0.0, f64::max);
        let holder_count = chosen / STREAMS as usize;
        let announcement =
            StreamReport { announced: vec![1], versions: vec![2], ..StreamReport::default() };
        let datagram = BoxReport {
            sender: u64::MAX,
            incarnation: u64::MAX,
            region: "pohjois-pohjanmaa".to_owned(),
            streams: Some(announcement),
            ..BoxReport::default()
        };
        let bytes = datagram.encoded_len();
        println!(
            "{boxes:>5}  {min:>6.2}..{max:<6.2}          {holder_count:>7}  {bytes:>14}  {:>12}  {:>7}",
            bytes * holder_count * STREAMS_PER_BOX,
            (holder_count + 1) * STREAMS_PER_BOX * RETENTION_S * BYTES_PER_STREAM / 1000,
        );
    }
}

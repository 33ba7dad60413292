//! Cost of a stream that begins while its service has several versions, by number of boxes: the
//! choice of the holders, the datagrams to them, and what a box keeps.
//!
//! `cargo bench -p copperweir-lib --bench stream_versions`

use std::net::SocketAddr;
use std::time::Instant;

use copperweir_lib::coordination::loads::BoxReport;
use copperweir_lib::coordination::stream_versions::BoxLocation;
use copperweir_lib::coordination::stream_versions::StreamReport;
use copperweir_lib::coordination::stream_versions::holders;
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

fn main() {
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

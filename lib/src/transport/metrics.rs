//! Sends what the counters grew by to a statsd address.

use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::Counted;
use cadence::MetricError;
use cadence::StatsdClient;
use cadence::UdpMetricSink;

use crate::state::counters::Counter;
use crate::state::counters::Counters;

const PREFIX: &str = "copperweir";

/// A statsd client for one process.
pub struct StatsdSink {
    client: StatsdClient,
    sent: [u64; Counter::ALL.len()],
}

impl StatsdSink {
    /// Opens a socket; counters carry the box and the region as tags.
    pub fn open(address: SocketAddr, name: &str, region: &str) -> Result<StatsdSink, MetricError> {
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket)?;
        let client = StatsdClient::builder(PREFIX, sink)
            .with_tag("box", name)
            .with_tag("region", region)
            .build();
        Ok(StatsdSink { client, sent: [0; Counter::ALL.len()] })
    }

    /// Sends what has grown; a datagram that gets lost is not made up for.
    pub fn flush(&mut self, counters: &Counters) {
        for counter in Counter::ALL {
            let value = counters.get(*counter);
            let grown = value - std::mem::replace(&mut self.sent[*counter as usize], value);
            if grown > 0 {
                let _ =
                    self.client.count(counter.as_str(), i64::try_from(grown).unwrap_or(i64::MAX));
            }
        }
    }
}

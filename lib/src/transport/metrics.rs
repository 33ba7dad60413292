//! Sends counter increments to a statsd address.

use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::Counted;
use cadence::MetricError;
use cadence::StatsdClient;
use cadence::UdpMetricSink;

use crate::state::counters::Counter;
use crate::state::counters::Counters;

const METRIC_PREFIX: &str = "copperweir";

/// A statsd client for one process.
pub struct StatsdSink {
    client: StatsdClient,
    last_sent: [u64; Counter::ALL.len()],
}

impl StatsdSink {
    /// Opens a UDP socket. Metrics are tagged with the box and the region.
    pub fn open(address: SocketAddr, name: &str, region: &str) -> Result<StatsdSink, MetricError> {
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket)?;
        let client = StatsdClient::builder(METRIC_PREFIX, sink)
            .with_tag("box", name)
            .with_tag("region", region)
            .build();
        Ok(StatsdSink { client, last_sent: [0; Counter::ALL.len()] })
    }

    /// Sends the increments since the previous flush. A lost datagram is not sent again.
    pub fn flush(&mut self, counters: &Counters) {
        for counter in Counter::ALL {
            let value = counters.get(*counter);
            let increment =
                value - std::mem::replace(&mut self.last_sent[*counter as usize], value);
            if increment > 0 {
                let _ = self
                    .client
                    .count(counter.as_str(), i64::try_from(increment).unwrap_or(i64::MAX));
            }
        }
    }
}

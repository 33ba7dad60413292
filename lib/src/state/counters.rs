//! Counters of events on one box.
//!
//! Each counter is an atomic that can be read on the operators' port. If a statsd address is set, a
//! [`cadence`] client sends the increments to it.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

macro_rules! counters {
    ($($name:ident $text:literal $doc:literal;)*) => {
        /// The counters.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Counter {
            $(#[doc = $doc] $name,)*
        }

        impl Counter {
            /// All counters.
            pub const ALL: &[Counter] = &[$(Counter::$name,)*];

            /// Returns the name used on the operators' port and for statsd.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Counter::$name => $text,)*
                }
            }

            /// Returns what the counter counts.
            pub fn doc(self) -> &'static str {
                match self {
                    $(Counter::$name => $doc,)*
                }
            }
        }
    };
}

counters! {
    Requests "requests" "Requests that arrived from callers.";
    Answered "answered" "Requests that received a complete response from a backend server.";
    Failed "failed" "Requests that failed with an error of the gateway.";
    Refused "refused" "Failed requests that were not executed.";
    ServersEnded "servers_ended" "Backend servers found to have crashed while they executed requests of this box.";
    Quarantined "quarantined" "Requests rejected because backend servers had crashed while executing them.";
    Unauthorized "unauthorized" "Requests rejected because they had no valid API key.";
    OverLimit "over_limit" "Requests rejected because their team was over its rate limit.";
    Throttled "throttled" "Requests rejected because all backend servers with free slots were at the rate limits that they report.";
    Cut "cut" "Responses that broke off before their end.";
    CallerGone "caller_gone" "Callers that disconnected before the end of their response.";
    Attempts "attempts" "Attempts to send a request to a backend server of this region.";
    Retries "retries" "Attempts after the first.";
    RetriesDenied "retries_denied" "Retries that the retry budget did not allow.";
    StreamsResumed "streams_resumed" "Streams that callers resumed with another request.";
    StreamsAwaitingList "streams_awaiting_list" "Streams that did not begin because the store did not list the software version of the servers yet.";
    StreamBatches "stream_batches" "Batches of streams that were written to the store, so that they can go on after all boxes have started anew.";
    StreamsOfUnknownVersion "streams_of_unknown_version" "Streams that were not continued because the software version that began them is unknown.";
    StreamsOutOfSequence "streams_out_of_sequence" "Streams with an event whose id doesn't follow the one before it.";
    Queued "queued" "Requests that waited for a slot.";
    ForwardedOut "forwarded_out" "Requests sent to another box.";
    ForwardedIn "forwarded_in" "Requests received from another box.";
    Replayed "replayed" "Stored responses returned again for an idempotency key.";
    Claims "claims" "Idempotency keys claimed in the platform's store.";
    HeartbeatsSent "heartbeats_sent" "Heartbeats sent.";
    HeartbeatsFailed "heartbeats_failed" "Heartbeats that got no response.";
    HeartbeatsReceived "heartbeats_received" "Heartbeats received.";
    HeartbeatBytes "heartbeat_bytes" "Bytes of heartbeats sent and received, without framing.";
    PeerRefused "peer_refused" "Calls from other boxes that failed authentication.";
ReportBytes "report_bytes" "Bytes of load reports sent to boxes of the same region.";
    RemoteReportBytes "remote_report_bytes" "Bytes of load reports sent to boxes of other regions.";
    ForeignDatagrams "foreign_datagrams" "Datagrams that were ignored because their senders are not known to be boxes.";
    Probes "probes" "Probes of backend servers.";
    ReportWaits "report_waits" "Requests that waited until a server reported whether it is cold.";
    PathProbes "path_probes" "Probes of lost paths to backend servers.";
    StoreReads "store_reads" "Reads and watches of the platform's store.";
    StoreRenewals "store_renewals" "Lease renewals in the platform's store.";
    StoreWrites "store_writes" "Writes to the platform's store.";
    StoreFailures "store_failures" "Calls to the platform that failed.";
    StoreRestored "store_restored" "Restores of the platform's store from an older copy.";
    Snapshots "snapshots" "Snapshots of the known state published to the traffic thread.";
    ConfigurationsAdopted "configurations_adopted" "Configuration versions put in force.";
    OlderOffers "older_offers" "Configuration versions offered that are older than the one in force.";
    Orders "orders" "Orders sent to backend servers.";
    OrdersFailed "orders_failed" "Orders that failed or were rejected.";
    Breaches "breaches" "Violated invariants.";
}

/// The values of the counters of one process.
#[derive(Debug)]
pub struct Counters {
    values: [AtomicU64; Counter::ALL.len()],
}

impl Default for Counters {
    fn default() -> Counters {
        Counters { values: [const { AtomicU64::new(0) }; Counter::ALL.len()] }
    }
}

impl Counters {
    /// Adds one to a counter.
    pub fn increment(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds a number to a counter.
    pub fn add(&self, counter: Counter, count: u64) {
        self.values[counter as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the current value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }
}

//! Counters, the first thing to look at.
//!
//! Each is an atomic in the process, readable on the operators' port; a
//! [`cadence`] client sends what they grew by to a statsd address, if one is set.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

macro_rules! counters {
    ($($name:ident $text:literal $doc:literal;)*) => {
        /// Names of the counters.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Counter {
            $(#[doc = $doc] $name,)*
        }

        impl Counter {
            /// All of them.
            pub const ALL: &[Counter] = &[$(Counter::$name,)*];

            /// Name on the operators' port and for statsd.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Counter::$name => $text,)*
                }
            }

            /// What it counts.
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
    Answered "answered" "Requests answered by a backend server.";
    Failed "failed" "Requests answered with an error of the gateway.";
    Refused "refused" "Of those, requests that were not run.";
    ServersEnded "servers_ended" "Times that backend servers were found to have ended under requests of this box.";
    Quarantined "quarantined" "Requests refused because backend servers ended under them.";
    Unauthorized "unauthorized" "Requests refused for want of a key that is held.";
    OverLimit "over_limit" "Requests refused because their team was over its limit.";
    Throttled "throttled" "Requests refused because all backend servers with room get as many as they say they take.";
    Cut "cut" "Answers that ended before their end.";
    CallerGone "caller_gone" "Callers that went away before the end of their answer.";
    Attempts "attempts" "Attempts on backend servers of this region.";
    Retries "retries" "Attempts after the first.";
    RetriesDenied "retries_denied" "Attempts that the budget did not allow.";
    Queued "queued" "Requests that waited for a slot.";
    ForwardedOut "forwarded_out" "Requests sent to another box.";
    ForwardedIn "forwarded_in" "Requests that came from another box.";
    Replayed "replayed" "Answers given again for a key.";
    Claims "claims" "Keys claimed in the platform's store.";
    HeartbeatsSent "heartbeats_sent" "Heartbeats sent.";
    HeartbeatsFailed "heartbeats_failed" "Heartbeats without an answer.";
    HeartbeatsReceived "heartbeats_received" "Heartbeats received.";
    HeartbeatBytes "heartbeat_bytes" "Bytes of heartbeats sent and received, without framing.";
    PeerRefused "peer_refused" "Calls between boxes that were not let in.";
    Probes "probes" "Probes of backend servers.";
    StoreReads "store_reads" "Reads and watches of the platform's store.";
    StoreRenewals "store_renewals" "Renewals of leases in the platform's store.";
    StoreWrites "store_writes" "Writes to the platform's store.";
    StoreFailures "store_failures" "Calls to the platform that failed.";
    StoreRestored "store_restored" "Times that the platform's store came back from an older copy.";
    ConfigurationsAdopted "configurations_adopted" "Versions of the configuration put in force.";
    OlderOffers "older_offers" "Offers of an older version than the one in force.";
    Orders "orders" "Orders given to backend servers.";
    OrdersFailed "orders_failed" "Orders that failed or were refused.";
    Breaches "breaches" "Broken invariants.";
}

/// The counters of one process.
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
    /// Adds one.
    pub fn increment(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds some.
    pub fn add(&self, counter: Counter, count: u64) {
        self.values[counter as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// The value now.
    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }
}

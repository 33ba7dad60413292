//! Decision logic, free of I/O.
//!
//! No module in this layer does I/O, reads a clock or owns a random source. Each one takes events
//! and the current instant, and returns actions. The same code therefore runs behind sockets, in
//! virtual time under property tests, and inside other programs.

pub mod attempt;
pub mod candidate;
pub mod coldness;
pub mod departures;
pub mod drain;
pub mod ejection;
pub mod feedback;
pub mod fingerprint;
pub mod forwarded_version;
pub mod forwards;
pub mod freshness;
pub mod gossip;
pub mod health;
pub mod identity;
pub mod incarnations;
pub mod interrupted;
pub mod invariant;
pub mod join_tree;
pub mod lease;
pub mod ledger;
pub mod lending;
pub mod loads;
pub mod membership;
pub mod path_checks;
pub mod placement;
pub mod policy;
pub mod pool;
pub mod prefix_cache;
pub mod presence;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod rate;
pub mod rate_limiter;
pub mod reachability;
pub mod regions;
pub mod rendezvous;
pub mod report_limits;
pub mod rest_period;
pub mod retries;
pub mod retry_spread;
pub mod rollout;
pub mod room_queue;
pub mod senders;
pub mod server;
pub mod shared_prefix;
pub mod store_rollback;
pub mod stream_batch;
pub mod stream_holders;
pub mod stream_report;
pub mod stream_table;
pub mod stream_versions;
pub mod throttle;
pub mod ticket;
pub mod token_bucket;
pub mod unlisted;
pub mod upgrade;
pub mod urgency;
pub mod version_list;
pub mod warmup;
pub mod watchers;

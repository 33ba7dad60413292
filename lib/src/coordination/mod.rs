//! The decisions.
//!
//! Nothing in this layer does I/O, reads a clock or draws from a random source
//! of its own. Each part takes events and an instant, and returns actions, so
//! the same code runs behind sockets, in virtual time under a property test,
//! and inside other programs.

pub mod attempt;
pub mod backoff;
pub mod bucket;
pub mod candidate;
pub mod departures;
pub mod drain;
pub mod ejection;
pub mod exchange;
pub mod feedback;
pub mod fingerprint;
pub mod freshness;
pub mod health;
pub mod identity;
pub mod interrupted;
pub mod invariant;
pub mod lease;
pub mod ledger;
pub mod lending;
pub mod limit;
pub mod loads;
pub mod membership;
pub mod placement;
pub mod policy;
pub mod pool;
pub mod prefix_cache;
pub mod presence;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod rate;
pub mod regions;
pub mod rendezvous;
pub mod retries;
pub mod retry_spread;
pub mod rollout;
pub mod server;
pub mod shared_prefix;
pub mod store_rollback;
pub mod throttle;
pub mod ticket;
pub mod unlisted;
pub mod urgency;
pub mod warmup;
pub mod watchers;

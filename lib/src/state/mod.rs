//! The data that decisions are based on.

pub mod burn;
pub mod clock;
pub mod counters;
pub mod latency;
pub mod load;
pub mod snapshot;

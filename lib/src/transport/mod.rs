//! Network I/O: HTTP for callers, backend servers and the platform; gRPC between boxes.

pub mod activity;
pub mod backend;
pub mod body;
pub mod engine;
pub mod http1;
pub mod listen;
pub mod liveness;
pub mod memory;
pub mod meter;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod server_crash;
pub mod store;
pub mod timer;
pub mod traffic_thread;
pub mod truncation;

//! Small stand-ins of what copperweir meets, for tests and for trying it out.
//!
//! Each speaks the published protocol over HTTP and has a path of its own,
//! `/control`, over which a test tells it how to fail. None is meant to be
//! fast or complete, and the daemon's code does not depend on them.

pub mod engine;
pub mod http1;
pub mod link;
pub mod platform;
pub mod service;

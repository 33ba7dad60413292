//! Stand-ins for the services that copperweir uses, for tests and demos.
//!
//! Each stand-in speaks the published protocol over HTTP. An extra path,
//! `/control`, lets a test inject faults. The stand-ins are neither fast nor
//! complete, and the daemon's code does not depend on them.

pub mod cut;
pub mod cut_play;
pub mod engine;
pub mod http1;
pub mod link;
pub mod platform;
pub mod service;

//! Coordination parts of copperweir, a multi-region inference gateway.
//!
//! Four layers, each using only those below it:
//!
//! - [`transport`]: sockets. HTTP for callers and backend servers, gRPC between boxes.
//! - [`protocol`]: what is said on them, and in files; codecs and checked types.
//! - [`coordination`]: the decisions. No I/O, no clock, no random source of its
//!   own: each part takes events and an instant, and returns actions.
//! - [`state`]: what the decisions are made from.
//!
//! [`daemon`] puts them together into the process that runs on each box;
//! [`operators`] holds what the operators' commands do.
//! Nothing here reads from or writes to a terminal.

pub mod coordination;
pub mod daemon;
pub mod error;
pub mod gateway;
pub mod operators;
pub mod protocol;
pub mod state;
pub mod transport;

//! Core library of copperweir, a multi-region inference gateway.
//!
//! The library has four layers. All of them use the types of [`protocol`], which uses none of the
//! others:
//!
//! - [`transport`]: sockets; HTTP for callers and backend servers, gRPC between boxes.
//! - [`protocol`]: messages, headers and files; codecs and validated types.
//! - [`coordination`]: the decision logic. It does no I/O and has no clock and no random source of
//!   its own: each component takes events and an instant, and returns actions.
//! - [`state`]: the data that decisions are based on.
//!
//! Two modules assemble the layers into a process that runs on each box. [`daemon`] has an API and
//! configuration files of its own; [`gateway`] uses the store, headers and configuration of a
//! platform, through an [`Adapter`](protocol::adapter::Adapter). [`operators`] implements the
//! operators' commands. The library neither reads from nor writes to a terminal.

pub mod coordination;
pub mod daemon;
pub mod error;
pub mod gateway;
pub mod operators;
pub mod protocol;
pub mod state;
pub mod transport;

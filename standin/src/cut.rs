//! A backend server that stops in the middle of its responses, and a caller that reads the bytes of
//! a connection itself.
//!
//! A request names in the header [`SCRIPT`] which response it gets, and where that one stops. So one
//! server serves many cases at once.

mod caller;
mod message;
mod script;
mod server;

pub use caller::RawCaller;
pub use caller::Received;
pub use script::Action;
pub use script::BODY;
pub use script::EVENTS;
pub use script::End;
pub use script::Script;
pub use script::Shape;
pub use script::UnknownScript;
pub use server::CutServers;

/// The header with the [`Script`] of a request.
pub const SCRIPT: &str = "x-script";
/// The ID of a request, which each response repeats.
pub const ID: &str = "x-copperweir-attempt-id";

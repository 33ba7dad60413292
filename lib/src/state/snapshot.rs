//! What traffic threads see of the control state.
//!
//! The control thread publishes a new snapshot whole; a request takes one at
//! its start and decides by it to its end. A traffic thread that stalled goes
//! on with an old snapshot for the requests it already has, and takes the
//! newest for the next one.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::coordination::drain::Stage;
use crate::protocol::config::Configuration;
use crate::protocol::peer::Member;

/// One state of control, as traffic sees it.
#[derive(Debug)]
pub struct Snapshot {
    /// Configuration in force.
    pub configuration: Arc<Configuration>,
    /// This box.
    pub own: Member,
    /// Other live boxes.
    pub members: Vec<Member>,
    /// Whether the box has all it needs to serve.
    pub ready: bool,
    /// How far a planned stop is.
    pub stage: Stage,
}

/// The place where snapshots are published.
pub type SharedSnapshot = Arc<ArcSwap<Snapshot>>;

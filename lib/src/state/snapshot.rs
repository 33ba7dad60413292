//! The part of the control state that traffic threads read.
//!
//! The control thread publishes each snapshot as a whole. A request loads one snapshot at its start
//! and uses it until its end. A traffic thread that stalled continues with an old snapshot for the
//! requests that it already has, and loads the newest one for the next request.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::coordination::drain::Stage;
use crate::protocol::config::Configuration;
use crate::protocol::peer::Member;

/// One version of the control state.
#[derive(Debug)]
pub struct Snapshot {
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// The membership record of this box.
    pub own: Member,
    /// The other live boxes.
    pub members: Vec<Member>,
    /// Whether the box is ready to serve requests.
    pub ready: bool,
    /// The stage of a planned stop.
    pub stage: Stage,
}

/// The shared reference to the current snapshot.
pub type SharedSnapshot = Arc<ArcSwap<Snapshot>>;

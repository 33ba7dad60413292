//! Orders of the operator to move the traffic of a service to servers of another version.

use std::time::Duration;

use super::fleet::ServerVersion;
use super::routing::ServiceId;

/// An order to move the traffic of a service to servers of another version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The service.
    pub service: ServiceId,
    /// The version that is to take over the traffic.
    pub target: ServerVersion,
    /// The time within which the order should be completed or rolled back.
    pub duration: Duration,
}

/// The result of an order, as reported to the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Traffic is being moved.
    Running,
    /// All traffic goes to the target version; the platform may stop the other servers at once.
    Succeeded,
    /// No traffic goes to the target version any more.
    RolledBack,
}

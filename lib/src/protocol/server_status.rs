//! What backend servers say of themselves with each answer.

use std::time::Duration;

/// What a server says of itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerStatus {
    /// It is about to end.
    pub leaving: bool,
    /// How long it wants nothing from this box, if it turned the request away and says so.
    pub rest: Option<Duration>,
    /// Requests a second that it takes from all boxes together, if it names a limit.
    pub rate: Option<f64>,
    /// How long it is still cold, if it says so.
    pub cold_left: Option<Duration>,
}

impl ServerStatus {
    /// Whether it says anything.
    pub fn reports_anything(&self) -> bool {
        *self != ServerStatus::default()
    }
}

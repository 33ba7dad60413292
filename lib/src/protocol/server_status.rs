//! The status that backend servers report in the headers of each response.

use std::time::Duration;

/// The status that a backend server reports in a response head.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerStatus {
    /// Whether the server is about to terminate.
    pub leaving: bool,
    /// How long the server wants no requests from this box, if it rejected the request and gave a
    /// delay.
    pub rest: Option<Duration>,
    /// The rate limit, in requests per second from all boxes together, if the server gives one.
    pub rate: Option<f64>,
    /// How long the server will remain cold, if it reports this.
    pub cold_left: Option<Duration>,
}

impl ServerStatus {
    /// Returns whether the server reported anything.
    pub fn reports_anything(&self) -> bool {
        *self != ServerStatus::default()
    }
}

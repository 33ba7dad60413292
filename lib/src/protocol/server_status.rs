//! The status that backend servers report in the headers of each response.

use std::time::Duration;

/// The status that a backend server reports in a response head.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerStatus {
    /// Whether the server is about to terminate.
    pub leaving: bool,
    /// The rest period: how long this box is to send no requests to the server. Set if the server
    /// rejected the request and gave a delay.
    pub rest: Option<Duration>,
    /// The rate limit, in requests per second from all boxes together, if the server gives one.
    pub rate: Option<f64>,
    /// Rejections for want of room in a second, of requests of all boxes together, that the server
    /// survives; `None` if it is not brittle.
    pub brittle: Option<u32>,
    /// How long the server will remain cold, that is, limited to the warm-up rate of its service;
    /// `None` if the server does not report this.
    pub cold_left: Option<Duration>,
}

impl ServerStatus {
    /// Returns whether the server reported any of these values.
    pub fn has_any_value(&self) -> bool {
        *self != ServerStatus::default()
    }
}

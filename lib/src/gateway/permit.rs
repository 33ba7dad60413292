//! The last check before a request is sent to a server: the server may have reported another status
//! since it was chosen, as connecting may take long.

use std::sync::Arc;
use std::time::Duration;

use super::shared::Reservation;
use super::shared::Service;
use crate::coordination::coldness::Admission;
use crate::protocol::adapter::Adapter;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::backend::Permit;
use crate::transport::timer;

/// Maximum wait for a server's report that it is warm. Another server may answer earlier.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Maximum time between two checks while waiting: the store may show that the server is cold.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl<A: Adapter> Permit for Reservation<A> {
    /// Waits for the server's report if its last one does not cover another request.
    async fn granted(&mut self) -> bool {
        let until = clock::now() + MAX_WAIT;
        let mut has_waited = false;
        loop {
            let admit = |service: &mut Service| {
                let reported = Arc::clone(&service.reported).notified_owned();
                (service.placement.admit_send(&mut self.place, clock::now()), reported)
            };
            let admitted = self.shared.with_service(&self.service, admit);
            let Some((Admission::Unconfirmed, reported)) = admitted else {
                return matches!(admitted, Some((Admission::Granted, _)));
            };
            let now = clock::now();
            if now >= until {
                return false;
            }
            if !std::mem::replace(&mut has_waited, true) {
                self.shared.counters.increment(Counter::ReportWaits);
            }
            self.query_server();
            // The next check follows in either case.
            let _ = timer::timeout_at(until.min(now + CHECK_INTERVAL), reported).await;
        }
    }
}

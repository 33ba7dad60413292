//! Queries servers whether they are cold, before a request is sent that the last report of the
//! server does not cover.
//!
//! Answers are reported to the other boxes of the region at once, so that they need not query the
//! same server.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;

use super::feedback;
use super::shared::Reservation;
use super::shared::Service;
use super::shared::Shared;
use super::throttle;
use crate::coordination::coldness::QUERY_TIMEOUT;
use crate::coordination::feedback::ServerRef;
use crate::coordination::placement::Place;
use crate::coordination::placement::QueryTarget;
use crate::protocol::ServerId;
use crate::protocol::adapter::Adapter;
use crate::protocol::bounds::MAX_HEALTH_BYTES;
use crate::protocol::routing::ServiceId;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::timer;

/// A server that is queried.
struct Query {
    service: ServiceId,
    server: ServerId,
    incarnation: u64,
    target: QueryTarget,
    sent_at: Instant,
}

impl<A: Adapter> Reservation<A> {
    /// Starts a query whether the server is cold, unless this box has one in progress.
    pub(super) fn query_server(&self) {
        let Place { server, incarnation, .. } = &self.place;
        let now = clock::now();
        let start = |state: &mut Service| state.placement.start_query(&self.place, now);
        let Some(Some(target)) = self.shared.with_service(&self.service, start) else { return };
        let query = Query {
            service: self.service.clone(),
            server: server.clone(),
            incarnation: *incarnation,
            target,
            sent_at: now,
        };
        tokio::spawn(query.run(Arc::clone(&self.shared)));
    }

    /// Finds out which server has the address of this place, after an answer that its own server has
    /// not. Returns whether that server may get requests.
    pub(super) async fn find_holder(&self, deadline: Instant) -> bool {
        let Place { server, address, reserved_at, .. } = &self.place;
        let shared = &self.shared;
        let record = |state: &mut Service| {
            let is_known = state.placement.record_absence(server, *address, *reserved_at);
            (is_known, state.placement.holder_query(*address))
        };
        let target = match shared.with_service(&self.service, record) {
            Some((false, Some(target))) => target,
            Some((is_known, _)) => return is_known,
            None => return false,
        };
        shared.counters.increment(Counter::Probes);
        let asked_at = clock::now();
        let response = timer::timeout_at(deadline, target.fetch(shared, server)).await;
        let Ok(Some(response)) = response else { return false };
        let metadata = shared.adapter.parse_response(response.status(), response.headers());
        let Some(instance) = metadata.instance else { return false };
        log::info!("event=server_replaced server={server} instance={instance:?}");
        let record = |state: &mut Service| {
            state.placement.record_holder(&instance, *address, asked_at);
            state.placement.has_usable_holder(*address)
        };
        shared.with_service(&self.service, record).unwrap_or(false)
    }
}

impl Query {
    /// Queries the server. If it has turned cold, the other boxes are notified at once.
    async fn run<A: Adapter>(self, shared: Arc<Shared<A>>) {
        shared.counters.increment(Counter::Probes);
        let Some(response) = self.target.fetch(&shared, &self.server).await else { return };
        let metadata = shared.adapter.parse_response(response.status(), response.headers());
        let Query { service, server, incarnation, sent_at, .. } = &self;
        if let Some(instance) = metadata.instance.as_ref().filter(|instance| *instance != server) {
            log::info!("event=server_replaced server={server} instance={instance:?}");
            let address = self.target.address;
            shared.with_service(service, |state| {
                state.placement.mark_replaced(server, address);
                state.placement.record_holder(instance, address, *sent_at);
            });
        } else {
            let server_ref = ServerRef {
                server,
                incarnation: *incarnation,
                service: throttle::service_hash(service),
            };
            let is_refusal = response.status() != StatusCode::OK;
            let status = &metadata.server_status;
            let now = clock::now();
            let effects = feedback::with_feedback_handler(&shared, service, |handler| {
                handler.handle_query_answer(server_ref, status, is_refusal, *sent_at, now)
            });
            feedback::publish_effects(&shared, server, &effects);
            shared.server_report.notify_one();
        }
        shared.with_service(service, |state| state.reported.notify_waiters());
    }
}

impl QueryTarget {
    async fn fetch<A: Adapter>(
        &self,
        shared: &Shared<A>,
        server: &str,
    ) -> Option<http::Response<Bytes>> {
        let QueryTarget { address, path } = self;
        let request = Request::get(path).header(header::HOST, address.to_string());
        let request = request
            .body(Full::default())
            .inspect_err(|error| log::error!("event=bad_health_path error=\"{error}\""))
            .ok()?;
        let response = shared.servers.fetch_up_to(*address, request, MAX_HEALTH_BYTES);
        let error = match timer::timeout(QUERY_TIMEOUT, response).await {
            Ok(Ok(response)) => return Some(response),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        log::debug!("event=server_does_not_say server={server} error=\"{error}\"");
        None
    }
}

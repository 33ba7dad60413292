//! Evaluation of what servers report and of the results of requests.
//!
//! Every attempt report is handled here, whatever the kind of response, and so is every response to
//! a probe. The tables that it updates decide which servers get requests, which rates apply, which
//! servers are leaving or resting, which requests crash servers. The caller gets back which boxes
//! to notify at once, and whether to probe the server.

use std::time::Duration;
use std::time::Instant;

use super::attempt::AttemptEvent;
use super::attempt::AttemptReport;
use super::departures::Departures;
use super::fingerprint::Fingerprint;
use super::interrupted::InterruptedRequest;
use super::interrupted::InterruptedRequests;
use super::interrupted::NextStep;
use super::interrupted::ServerIncarnation;
use super::placement::Place;
use super::placement::Placement;
use super::quarantine::Audience;
use super::quarantine::Quarantine;
use super::throttle::ServiceHash;
use super::throttle::Throttles;
use crate::protocol::adapter::PromptSegment;
use crate::protocol::server_status::ServerStatus;

/// A request and where it was sent.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest<'a> {
    /// The place on the server.
    pub place: &'a Place,
    /// The service of the server.
    pub service: ServiceHash,
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// The parts of its prompt.
    pub parts: &'a [PromptSegment],
}

/// The server that made a statement.
#[derive(Clone, Copy, Debug)]
pub struct ServerRef<'a> {
    /// Id of the server.
    pub server: &'a str,
    /// Incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// The service of the server.
    pub service: ServiceHash,
}

/// A change that was observed, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The server is leaving.
    Leaving,
    /// The server asked this box to send no requests for this long.
    RequestedRestPeriod(Duration),
    /// The server turned cold and stays so for this long.
    TurnedCold(Duration),
    /// The server changed its rate limit.
    Rate {
        /// The previous limit.
        before: Option<f64>,
        /// The new limit.
        after: Option<f64>,
    },
    /// The server turned brittle, or no longer is.
    Brittle {
        /// The previous number of rejections in a second that it survives.
        before: Option<u32>,
        /// The new one.
        after: Option<u32>,
    },
    /// The server crashed while executing these requests.
    Crashed(Vec<InterruptedRequest>),
    /// The request does not crash servers.
    Cleared(Fingerprint),
}

/// Consequences of a report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// The boxes to notify at once.
    pub notify: Option<Audience>,
    /// Whether to probe if the server still accepts connections.
    pub probe: bool,
    /// Whether the server has crashed if this box has not lost its paths.
    pub confirm: bool,
    /// Changes that were observed.
    pub observations: Vec<Observation>,
}

impl Effects {
    fn notify(&mut self, audience: Audience) {
        if self.notify != Some(Audience::AllRegions) {
            self.notify = Some(audience);
        }
    }
}

/// Routes reports to the tables that they concern.
pub struct FeedbackHandler<'a> {
    /// The servers of the service; `None` if the configuration no longer contains it.
    pub placement: Option<&'a mut Placement>,
    /// Rate limits that servers set.
    pub throttles: &'a mut Throttles,
    /// Servers that are leaving.
    pub departures: &'a mut Departures,
    /// Interrupted requests.
    pub interrupted: &'a mut InterruptedRequests,
    /// Requests that crash servers.
    pub quarantine: &'a mut Quarantine,
}

impl FeedbackHandler<'_> {
    /// Handles a report of an attempt.
    pub fn handle_report(
        &mut self,
        sent_request: SentRequest<'_>,
        report: &AttemptReport,
        now: Instant,
    ) -> Effects {
        let mut effects = Effects::default();
        let SentRequest { place, service, request, parts } = sent_request;
        let server_ref =
            ServerRef { server: &place.server, incarnation: place.incarnation, service };
        // A response from another instance at the address contains no status of the intended
        // server.
        if let Some(status) =
            report.server_status.filter(|_| report.event != AttemptEvent::Replaced)
        {
            let is_complete = report.event.is_accepted();
            self.apply_status(server_ref, &status, is_complete, &mut effects, now);
        }
        match report.event {
            AttemptEvent::Refused => self.handle_rejection(sent_request, &mut effects, now),
            AttemptEvent::Interrupted => self.handle_interruption(sent_request, &mut effects, now),
            AttemptEvent::Answered => {
                if self.quarantine.record_success(request, now) {
                    effects.observations.push(Observation::Cleared(request));
                }
                if self.quarantine.record_part_success(parts, now) {
                    effects.notify(Audience::AllRegions);
                }
            }
            _ => {}
        }
        effects
    }

    /// Handles the answer to a query that was sent at `queried_at`. A server that only refused the
    /// query may have omitted part of its state.
    pub fn handle_query_answer(
        &mut self,
        server_ref: ServerRef<'_>,
        status: &ServerStatus,
        refused: bool,
        queried_at: Instant,
        now: Instant,
    ) -> Effects {
        let mut effects = Effects::default();
        let cold_left = status.cold_left.or((!refused).then_some(Duration::ZERO));
        if let Some(cold_left) = cold_left
            && let Some(placement) = &mut self.placement
            && placement.record_query_answer(server_ref.server, cold_left, queried_at, now)
        {
            effects.notify(Audience::Region);
            effects.observations.push(Observation::TurnedCold(cold_left));
        }
        let status = ServerStatus { cold_left: None, ..*status };
        self.apply_status(server_ref, &status, false, &mut effects, now);
        effects
    }

    /// Applies the status that a server reports. If `is_complete`, a state that the status does not
    /// mention has ended.
    fn apply_status(
        &mut self,
        server_ref: ServerRef<'_>,
        status: &ServerStatus,
        is_complete: bool,
        effects: &mut Effects,
        now: Instant,
    ) {
        let ServerRef { server, incarnation, service } = server_ref;
        let newly_leaving = status.leaving && self.departures.record(incarnation, now, now);
        if newly_leaving {
            effects.notify(Audience::Region);
            effects.observations.push(Observation::Leaving);
        }
        if let Some(placement) = &mut self.placement {
            if newly_leaving {
                placement.set_leaving(|incarnation| self.departures.is_leaving(incarnation));
            }
            if let Some(rest_period) = status.rest {
                placement.record_rest_period(incarnation, rest_period, now);
                effects.observations.push(Observation::RequestedRestPeriod(rest_period));
            }
            if let Some(cold_left) = status.cold_left
                && placement.record_cold_report(server, cold_left, now)
            {
                effects.notify(Audience::Region);
                effects.observations.push(Observation::TurnedCold(cold_left));
            }
        }
        if is_complete || status.rate.is_some() {
            let before = self.throttles.rate(incarnation);
            if self.throttles.record_rate(incarnation, service, status.rate, now) {
                effects.notify(Audience::Region);
            }
            if before != status.rate {
                effects.observations.push(Observation::Rate { before, after: status.rate });
            }
        }
        if is_complete || status.brittle.is_some() {
            let before = self.throttles.max_rejections(incarnation);
            if self.throttles.record_brittle(incarnation, service, status.brittle, now) {
                effects.notify(Audience::Region);
            }
            if before != status.brittle {
                effects.observations.push(Observation::Brittle { before, after: status.brittle });
            }
        }
    }

    /// Handles the rejection of a request; a brittle server has less room than assumed.
    fn handle_rejection(
        &mut self,
        sent_request: SentRequest<'_>,
        effects: &mut Effects,
        now: Instant,
    ) {
        let SentRequest { place, service, .. } = sent_request;
        let placement = self.placement.as_ref();
        let Some(capacity) = placement.and_then(|placement| placement.capacity(place, service))
        else {
            return;
        };
        let held = place.in_flight.saturating_sub(1) + place.others_in_flight;
        if self.throttles.record_rejection(capacity, held, now) {
            effects.notify(Audience::Region);
        }
    }

    fn handle_interruption(
        &mut self,
        sent_request: SentRequest<'_>,
        effects: &mut Effects,
        now: Instant,
    ) {
        let SentRequest { place, request, parts, .. } = sent_request;
        let interrupted =
            InterruptedRequest { request, sent_at: place.reserved_at, interrupted_at: now };
        self.quarantine.record_interrupted_parts(place.incarnation, parts, interrupted);
        match self.interrupted.record(place.incarnation, interrupted, now) {
            NextStep::AwaitProbe => {}
            NextStep::Probe => effects.probe = true,
            NextStep::Confirm => effects.confirm = true,
            NextStep::ServerCrashed(interrupted_requests) => {
                self.record_crash(place.incarnation, interrupted_requests, effects, now)
            }
        }
    }

    /// Handles a crash that a probe has confirmed.
    pub fn handle_crash(&mut self, server: ServerIncarnation, now: Instant) -> Effects {
        let mut effects = Effects::default();
        let interrupted_requests = self.interrupted.record_crash(server, now);
        if !interrupted_requests.is_empty() {
            self.record_crash(server, interrupted_requests, &mut effects, now);
        }
        effects
    }

    fn record_crash(
        &mut self,
        server: ServerIncarnation,
        interrupted_requests: Vec<InterruptedRequest>,
        effects: &mut Effects,
        now: Instant,
    ) {
        effects.notify(Audience::Region);
        if self.quarantine.record_part_crash(server, now) {
            effects.notify(Audience::AllRegions);
        }
        for interrupted in &interrupted_requests {
            if self.quarantine.record_crash(server, *interrupted, now) == Some(Audience::AllRegions)
            {
                effects.notify(Audience::AllRegions);
            }
        }
        effects.observations.push(Observation::Crashed(interrupted_requests));
    }
}

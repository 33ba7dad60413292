//! The one place that learns from what came of sends.
//!
//! Each report of an attempt comes here, of whatever kind its answer was, and so does what a server says when it is asked how
//! it is. What follows is decided by the parts: which servers get work, whose rate holds, who leaves or
//! rests, which request ends servers. What others must hear of, and what only a look can tell, is handed back.

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
use crate::protocol::words::Words;

/// What was sent where.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest<'a> {
    /// The place on the server that got it.
    pub place: &'a Place,
    /// The server's service.
    pub service: ServiceHash,
    /// The request.
    pub request: Fingerprint,
}

/// Who spoke.
#[derive(Clone, Copy, Debug)]
pub struct ServerRef<'a> {
    /// Name of the server.
    pub server: &'a str,
    /// Which of its lives.
    pub incarnation: ServerIncarnation,
    /// Its service.
    pub service: ServiceHash,
}

/// Something that was learned, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The server leaves.
    Leaving,
    /// It wants nothing from this box for so long.
    RequestedBackoff(Duration),
    /// It turned cold.
    TurnedCold(Duration),
    /// The rate that it names is another one than before.
    Rate {
        /// Before.
        before: Option<f64>,
        /// Now.
        after: Option<f64>,
    },
    /// It has ended under these requests.
    Crashed(Vec<InterruptedRequest>),
    /// The request does not end servers.
    Cleared(Fingerprint),
}

/// What follows from a report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Who must hear of it at once.
    pub notify: Option<Audience>,
    /// Whether to look if the server still accepts connections.
    pub probe: bool,
    /// What was learned.
    pub observations: Vec<Observation>,
}

impl Effects {
    fn notify(&mut self, reach: Audience) {
        if self.notify != Some(Audience::AllRegions) {
            self.notify = Some(reach);
        }
    }
}

/// All that learns.
pub struct FeedbackHandler<'a> {
    /// The servers of the service; `None` if the configuration no longer has it.
    pub placement: Option<&'a mut Placement>,
    /// Rates that servers name.
    pub throttles: &'a mut Throttles,
    /// Servers that leave.
    pub departures: &'a mut Departures,
    /// Answers that broke off.
    pub broken: &'a mut InterruptedRequests,
    /// Requests that end servers.
    pub quarantine: &'a mut Quarantine,
}

impl FeedbackHandler<'_> {
    /// Takes in a report of an attempt.
    pub fn handle_report(
        &mut self,
        sent_request: SentRequest<'_>,
        report: &AttemptReport,
        now: Instant,
    ) -> Effects {
        let mut effects = Effects::default();
        let SentRequest { place, service, request } = sent_request;
        let server_ref =
            ServerRef { server: &place.server, incarnation: place.incarnation, service };
        // Another instance that has the address says nothing of the one that was meant.
        if let Some(status) = report.words.filter(|_| report.event != AttemptEvent::Replaced) {
            let is_complete = report.event.is_accepted();
            self.apply_status(server_ref, &status, is_complete, &mut effects, now);
        }
        match report.event {
            AttemptEvent::Interrupted => self.handle_interruption(sent_request, &mut effects, now),
            AttemptEvent::Answered if self.quarantine.record_success(request, now) => {
                effects.observations.push(Observation::Cleared(request));
            }
            _ => {}
        }
        effects
    }

    /// Takes in what a server said when it was asked how it is; one that only refused may have left something out.
    pub fn handle_probe_answer(
        &mut self,
        server_ref: ServerRef<'_>,
        status: &Words,
        refused: bool,
        now: Instant,
    ) -> Effects {
        let mut effects = Effects::default();
        let cold_left = status.cold_left.or((!refused).then_some(Duration::ZERO));
        let status = Words { cold_left, ..*status };
        self.apply_status(server_ref, &status, false, &mut effects, now);
        effects
    }

    /// `is_whole`: what the server does not say does not hold.
    fn apply_status(
        &mut self,
        server_ref: ServerRef<'_>,
        status: &Words,
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
                placement.set_leaving(|life| self.departures.is_leaving(life));
            }
            if let Some(rest) = status.rest {
                placement.record_backoff(incarnation, rest, now);
                effects.observations.push(Observation::RequestedBackoff(rest));
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
            if self.throttles.said(incarnation, service, status.rate, now) {
                effects.notify(Audience::Region);
            }
            if before != status.rate {
                effects.observations.push(Observation::Rate { before, after: status.rate });
            }
        }
    }

    fn handle_interruption(
        &mut self,
        sent_request: SentRequest<'_>,
        effects: &mut Effects,
        now: Instant,
    ) {
        let SentRequest { place, request, .. } = sent_request;
        let interrupted =
            InterruptedRequest { request, sent_at: place.taken_at, interrupted_at: now };
        match self.broken.record(place.incarnation, interrupted, now) {
            NextStep::AwaitProbe => {}
            NextStep::Probe => effects.probe = true,
            NextStep::ServerCrashed(interrupted_requests) => {
                self.record_crash(place.incarnation, interrupted_requests, effects, now)
            }
        }
    }

    /// A look showed that a server has ended.
    pub fn handle_crash(&mut self, server: ServerIncarnation, now: Instant) -> Effects {
        let mut effects = Effects::default();
        let interrupted_requests = self.broken.record_crash(server, now);
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
        for interrupted in &interrupted_requests {
            if self.quarantine.record_crash(server, *interrupted, now) == Some(Audience::AllRegions)
            {
                effects.notify(Audience::AllRegions);
            }
        }
        effects.observations.push(Observation::Crashed(interrupted_requests));
    }
}

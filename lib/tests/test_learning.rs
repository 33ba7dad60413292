//! Every statement of a server is evaluated, on every kind of response.
//!
//! Four times, statements were evaluated on some kinds of response and ignored on others, or did
//! not affect decisions: that a server is cold, that it has crashed, its rate limit, that it is
//! leaving, and its rest period.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::attempt::AttemptEvent;
use copperweir_lib::coordination::attempt::AttemptReport;
use copperweir_lib::coordination::candidate::ServerState;
use copperweir_lib::coordination::departures::Departures;
use copperweir_lib::coordination::feedback::Effects;
use copperweir_lib::coordination::feedback::FeedbackHandler;
use copperweir_lib::coordination::feedback::Observation;
use copperweir_lib::coordination::feedback::SentRequest;
use copperweir_lib::coordination::feedback::ServerRef;
use copperweir_lib::coordination::fingerprint::Fingerprint;
use copperweir_lib::coordination::interrupted::InterruptedRequests;
use copperweir_lib::coordination::loads::Loads;
use copperweir_lib::coordination::placement::Blocked;
use copperweir_lib::coordination::placement::Eligible;
use copperweir_lib::coordination::placement::Place;
use copperweir_lib::coordination::placement::Placement;
use copperweir_lib::coordination::placement::PlacementRequest;
use copperweir_lib::coordination::quarantine::Audience;
use copperweir_lib::coordination::quarantine::Quarantine;
use copperweir_lib::coordination::throttle::Throttles;
use copperweir_lib::coordination::upgrade::Role;
use copperweir_lib::coordination::warmup::Share;
use copperweir_lib::protocol::fleet::Server;
use copperweir_lib::protocol::routing::Service;
use copperweir_lib::protocol::server_status::ServerStatus;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SERVICE: u64 = 7;
const REST_PERIOD: Duration = Duration::from_secs(3);
const COLD: Duration = Duration::from_secs(5);

/// Events of a response whose head, with the status of the server, has arrived.
const HEAD_EVENTS: [AttemptEvent; 3] =
    [AttemptEvent::HeadReceived, AttemptEvent::Refused, AttemptEvent::Invalid];

fn request() -> Fingerprint {
    Fingerprint { content: 1, caller: 2 }
}

/// One server of one service, and all tables that feedback updates.
struct Scenario {
    placement: Placement,
    throttles: Throttles,
    departures: Departures,
    interrupted: InterruptedRequests,
    quarantine: Quarantine,
    now: Instant,
    rng: SmallRng,
}

impl Scenario {
    fn new() -> Scenario {
        let new = Instant::now();
        let now = new + Duration::from_secs(10);
        let server = Server {
            id: "i-1".to_owned(),
            started_at: None,
            service: "s".to_owned(),
            version: "v1".to_owned(),
            address: ([10, 0, 0, 1], 80).into(),
            failure_domain: "z".to_owned(),
            slots: 8,
            leaving: false,
            cold_left: Duration::ZERO,
        };
        let known = ServerState {
            server: Arc::new(server),
            usable: true,
            role: Role::Serving,
            cold_until: None,
            cold_share: Some(Share { cold: 1, unconfirmed: 1, total: 1.0 }),
            same_failure_domain: true,
        };
        let service = Service { max_connections: 100, ..Service::default() };
        let mut placement = Placement::new(new);
        placement.update(vec![known], 1, &service, new);
        Scenario {
            placement,
            throttles: Throttles::new(0.0),
            departures: Departures::default(),
            interrupted: InterruptedRequests::default(),
            quarantine: Quarantine::default(),
            now,
            rng: SmallRng::seed_from_u64(1),
        }
    }

    fn choose(&mut self) -> Result<Place, Blocked> {
        let loads = Loads::default();
        let demand = PlacementRequest {
            parts: &[],
            tried: &[],
            loads: &loads,
            throttles: &self.throttles,
            service: SERVICE,
            eligible: Eligible::Healthy,
            role: Role::Serving,
            version: None,
            listed: None,
        };
        self.placement.choose(demand, self.now, &mut self.rng)
    }

    fn handler(&mut self) -> FeedbackHandler<'_> {
        FeedbackHandler {
            placement: Some(&mut self.placement),
            throttles: &mut self.throttles,
            departures: &mut self.departures,
            interrupted: &mut self.interrupted,
            quarantine: &mut self.quarantine,
        }
    }

    fn handle_report(&mut self, place: &Place, report: AttemptReport) -> Effects {
        let now = self.now;
        let sent = SentRequest { place, service: SERVICE, request: request(), parts: &[] };
        self.handler().handle_report(sent, &report, now)
    }
}

fn leaving_status() -> ServerStatus {
    ServerStatus { leaving: true, ..ServerStatus::default() }
}

fn rest_status() -> ServerStatus {
    ServerStatus { rest: Some(REST_PERIOD), ..ServerStatus::default() }
}

fn rate_status() -> ServerStatus {
    ServerStatus { rate: Some(4.0), ..ServerStatus::default() }
}

fn cold_status() -> ServerStatus {
    ServerStatus { cold_left: Some(COLD), ..ServerStatus::default() }
}

#[test]
fn leaving_is_read_from_every_kind_of_response_and_reported() {
    for event in HEAD_EVENTS {
        let mut scenario = Scenario::new();
        let place = scenario.choose().expect("a place");
        let effects = scenario.handle_report(&place, AttemptReport::head(event, leaving_status()));
        assert_eq!(
            (effects.notify, effects.observations),
            (Some(Audience::Region), vec![Observation::Leaving])
        );
        assert_eq!(scenario.choose().unwrap_err(), Blocked::Leaving, "after {event:?}");
        let now = scenario.now;
        assert!(!scenario.placement.still_admits(&place, now), "between choice and send");
        assert!(scenario.placement.is_closed(SERVICE, &Loads::default(), &scenario.throttles, now));
        let again = scenario.handle_report(&place, AttemptReport::head(event, leaving_status()));
        assert_eq!(again, Effects::default(), "it is already known");
    }
}

#[test]
fn a_rest_period_is_read_from_every_kind_of_response_and_not_reported() {
    for event in HEAD_EVENTS {
        let mut scenario = Scenario::new();
        let place = scenario.choose().expect("a place");
        let effects = scenario.handle_report(&place, AttemptReport::head(event, rest_status()));
        assert_eq!(
            (effects.notify, effects.observations),
            (None, vec![Observation::RequestedRestPeriod(REST_PERIOD)])
        );
        let now = scenario.now;
        let until = now + REST_PERIOD;
        assert_eq!(scenario.choose().unwrap_err(), Blocked::Resting { until }, "after {event:?}");
        assert!(!scenario.placement.still_admits(&place, now), "between choice and send");
        assert!(scenario.placement.is_closed(SERVICE, &Loads::default(), &scenario.throttles, now));
        assert_eq!(scenario.placement.resting(now), 1);
        scenario.now = until;
        assert!(scenario.choose().is_ok() && scenario.placement.still_admits(&place, until));
    }
}

#[test]
fn a_rate_limit_is_read_from_every_kind_of_response_and_reported() {
    for event in HEAD_EVENTS {
        let mut scenario = Scenario::new();
        let place = scenario.choose().expect("a place");
        let effects = scenario.handle_report(&place, AttemptReport::head(event, rate_status()));
        let observation = Observation::Rate { before: None, after: Some(4.0) };
        assert_eq!(
            (effects.notify, effects.observations),
            (Some(Audience::Region), vec![observation])
        );
        assert_eq!(scenario.throttles.rate(place.incarnation), Some(4.0), "after {event:?}");
    }
}

/// A server's own response without a rate limit means that there is none; a refusal may omit it.
#[test]
fn the_end_of_a_rate_limit_is_read_from_complete_responses() {
    for (event, expected) in [
        (AttemptEvent::HeadReceived, None),
        (AttemptEvent::Refused, Some(4.0)),
        (AttemptEvent::Invalid, Some(4.0)),
    ] {
        let mut scenario = Scenario::new();
        let place = scenario.choose().expect("a place");
        scenario
            .handle_report(&place, AttemptReport::head(AttemptEvent::HeadReceived, rate_status()));
        scenario.handle_report(&place, AttemptReport::head(event, ServerStatus::default()));
        assert_eq!(scenario.throttles.rate(place.incarnation), expected, "after {event:?}");
    }
}

#[test]
fn turning_cold_is_read_from_every_kind_of_response_and_reported() {
    for event in HEAD_EVENTS {
        let mut scenario = Scenario::new();
        let place = scenario.choose().expect("a place");
        let effects = scenario.handle_report(&place, AttemptReport::head(event, cold_status()));
        assert_eq!(
            (effects.notify, effects.observations),
            (Some(Audience::Region), vec![Observation::TurnedCold(COLD)])
        );
        let reports: Vec<_> = scenario.placement.cold_reports(scenario.now).collect();
        assert_eq!(reports, [(place.incarnation, COLD, scenario.now)], "after {event:?}");
    }
}

/// Another instance at the address does not report the status of the intended server.
#[test]
fn statements_of_another_instance_are_ignored() {
    let status = ServerStatus {
        leaving: true,
        rest: Some(REST_PERIOD),
        rate: Some(4.0),
        brittle: None,
        cold_left: Some(COLD),
    };
    let mut scenario = Scenario::new();
    let place = scenario.choose().expect("a place");
    let effects =
        scenario.handle_report(&place, AttemptReport::head(AttemptEvent::Replaced, status));
    assert_eq!(effects, Effects::default());
    assert!(scenario.departures.is_empty() && scenario.throttles.is_empty());
    assert_eq!(scenario.placement.resting(scenario.now), 0);
}

#[test]
fn all_statements_are_read_from_the_response_to_a_probe() {
    let status = ServerStatus {
        leaving: true,
        rest: Some(REST_PERIOD),
        rate: Some(4.0),
        brittle: None,
        cold_left: Some(COLD),
    };
    let mut scenario = Scenario::new();
    let place = scenario.choose().expect("a place");
    let now = scenario.now;
    let server_ref =
        ServerRef { server: &place.server, incarnation: place.incarnation, service: SERVICE };
    let effects = scenario.handler().handle_query_answer(server_ref, &status, true, now, now);
    assert_eq!((effects.notify, effects.observations.len()), (Some(Audience::Region), 4));
    assert!(
        scenario.departures.is_leaving(place.incarnation) && scenario.placement.resting(now) == 1
    );
    assert_eq!(scenario.throttles.rate(place.incarnation), Some(4.0));
}

#[test]
fn interruptions_are_probed_and_crashes_are_reported() {
    let mut scenario = Scenario::new();
    let place = scenario.choose().expect("a place");
    let effects = scenario.handle_report(&place, AttemptReport::end(AttemptEvent::Interrupted));
    assert!(effects.probe && effects.notify.is_none());
    scenario.handle_report(&place, AttemptReport::end(AttemptEvent::Interrupted));
    let effects = scenario.handle_report(&place, AttemptReport::end(AttemptEvent::Interrupted));
    assert!(effects.confirm && effects.notify.is_none(), "three at once");
    let now = scenario.now;
    let effects = scenario.handler().handle_crash(place.incarnation, now);
    assert_eq!(effects.notify, Some(Audience::Region));
    assert!(
        matches!(effects.observations[..], [Observation::Crashed(ref runs)] if runs.len() == 3)
    );
    let effects = scenario.handle_report(&place, AttemptReport::end(AttemptEvent::Answered));
    assert_eq!(effects.observations, [Observation::Cleared(request())]);
    for event in [
        AttemptEvent::Unreachable,
        AttemptEvent::NotSent,
        AttemptEvent::TimedOut,
        AttemptEvent::Invalid,
        AttemptEvent::Failed,
    ] {
        assert_eq!(
            scenario.handle_report(&place, AttemptReport::end(event)),
            Effects::default(),
            "{event:?}"
        );
    }
}

/// If a server is resting, limits its rate and is cold at once, all of it applies.
#[test]
fn several_statements_apply_together() {
    let status = ServerStatus {
        rest: Some(REST_PERIOD),
        rate: Some(0.5),
        brittle: None,
        cold_left: Some(COLD),
        leaving: false,
    };
    let mut scenario = Scenario::new();
    let place = scenario.choose().expect("a place");
    scenario.handle_report(&place, AttemptReport::head(AttemptEvent::Refused, status));
    assert!(matches!(scenario.choose().unwrap_err(), Blocked::Resting { .. }));
    scenario.now += REST_PERIOD;
    assert!(scenario.choose().is_ok(), "the rate limit and the cold share admit one request each");
    assert!(scenario.choose().is_err(), "both are used up");
}

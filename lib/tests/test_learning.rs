//! Whatever a server says reaches the part that learns it, on every kind of answer.
//!
//! A word was read on some kinds of answer and lost on others, or read and kept from the decisions, four times: that a
//! server is cold, that it has ended, which rate it takes, that it leaves, and for how long it wants rest.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::attempt::Event;
use copperweir_lib::coordination::attempt::Report;
use copperweir_lib::coordination::broken::Broken;
use copperweir_lib::coordination::candidate::Known;
use copperweir_lib::coordination::departures::Departures;
use copperweir_lib::coordination::fingerprint::Fingerprint;
use copperweir_lib::coordination::learning::Learner;
use copperweir_lib::coordination::learning::Lesson;
use copperweir_lib::coordination::learning::Note;
use copperweir_lib::coordination::learning::Sent;
use copperweir_lib::coordination::learning::Speaker;
use copperweir_lib::coordination::loads::Loads;
use copperweir_lib::coordination::placement::Among;
use copperweir_lib::coordination::placement::Blocked;
use copperweir_lib::coordination::placement::Demand;
use copperweir_lib::coordination::placement::Place;
use copperweir_lib::coordination::placement::Placement;
use copperweir_lib::coordination::quarantine::Quarantine;
use copperweir_lib::coordination::quarantine::Reach;
use copperweir_lib::coordination::throttle::Throttles;
use copperweir_lib::protocol::fleet::Server;
use copperweir_lib::protocol::routing::Service;
use copperweir_lib::protocol::server_status::ServerStatus;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SERVICE: u64 = 7;
const REST: Duration = Duration::from_secs(3);
const COLD: Duration = Duration::from_secs(5);

/// Kinds of answer whose head has come, each with what the server says on them.
const HEADS: [Event; 3] = [Event::Begun, Event::Refused, Event::Invalid];

fn request() -> Fingerprint {
    Fingerprint { content: 1, caller: 2 }
}

/// One server of one service, and all that learns.
struct Story {
    placement: Placement,
    throttles: Throttles,
    departures: Departures,
    broken: Broken,
    quarantine: Quarantine,
    now: Instant,
    rng: SmallRng,
}

impl Story {
    fn begin() -> Story {
        let begin = Instant::now();
        let now = begin + Duration::from_secs(10);
        let server = Server {
            id: "i-1".to_owned(),
            started_at: None,
            service: "s".to_owned(),
            address: ([10, 0, 0, 1], 80).into(),
            failure_domain: "z".to_owned(),
            slots: 8,
            leaving: false,
            cold_left: Duration::ZERO,
        };
        let known = Known {
            server: Arc::new(server),
            usable: true,
            cold_until: None,
            cold_share: Some(1),
            near: true,
        };
        let service = Service { max_connections: 100, ..Service::default() };
        let mut placement = Placement::new(begin);
        placement.update(vec![known], 1, &service, begin);
        Story {
            placement,
            throttles: Throttles::new(0.0),
            departures: Departures::default(),
            broken: Broken::default(),
            quarantine: Quarantine::default(),
            now,
            rng: SmallRng::seed_from_u64(1),
        }
    }

    fn choose(&mut self) -> Result<Place, Blocked> {
        let loads = Loads::default();
        let demand = Demand {
            parts: &[],
            tried: &[],
            loads: &loads,
            throttles: &self.throttles,
            among: Among::Sound,
            stale: false,
        };
        self.placement.choose(demand, self.now, &mut self.rng)
    }

    fn learner(&mut self) -> Learner<'_> {
        Learner {
            placement: Some(&mut self.placement),
            throttles: &mut self.throttles,
            departures: &mut self.departures,
            broken: &mut self.broken,
            quarantine: &mut self.quarantine,
        }
    }

    fn learn(&mut self, place: &Place, report: Report) -> Lesson {
        let now = self.now;
        let sent = Sent { place, service: SERVICE, request: request() };
        self.learner().learn(sent, &report, now)
    }
}

fn leaving() -> ServerStatus {
    ServerStatus { leaving: true, ..ServerStatus::default() }
}

fn resting() -> ServerStatus {
    ServerStatus { rest: Some(REST), ..ServerStatus::default() }
}

fn rated() -> ServerStatus {
    ServerStatus { rate: Some(4.0), ..ServerStatus::default() }
}

fn cold() -> ServerStatus {
    ServerStatus { cold_left: Some(COLD), ..ServerStatus::default() }
}

#[test]
fn that_a_server_leaves_is_learned_from_every_kind_of_answer_and_told() {
    for event in HEADS {
        let mut story = Story::begin();
        let place = story.choose().expect("a place");
        let lesson = story.learn(&place, Report::head(event, leaving()));
        assert_eq!((lesson.tell, lesson.notes), (Some(Reach::Region), vec![Note::Leaves]));
        assert_eq!(story.choose().unwrap_err(), Blocked::Leaving, "after {event:?}");
        let now = story.now;
        assert!(!story.placement.still_admits(&place, now), "between choice and send");
        assert!(story.placement.is_closed(&Loads::default(), &story.throttles, now));
        let again = story.learn(&place, Report::head(event, leaving()));
        assert_eq!(again, Lesson::default(), "it is no news any more");
    }
}

#[test]
fn the_rest_that_a_server_wants_is_learned_from_every_kind_of_answer_and_not_told() {
    for event in HEADS {
        let mut story = Story::begin();
        let place = story.choose().expect("a place");
        let lesson = story.learn(&place, Report::head(event, resting()));
        assert_eq!((lesson.tell, lesson.notes), (None, vec![Note::Rests(REST)]));
        let now = story.now;
        let until = now + REST;
        assert_eq!(story.choose().unwrap_err(), Blocked::Resting { until }, "after {event:?}");
        assert!(!story.placement.still_admits(&place, now), "between choice and send");
        assert!(story.placement.is_closed(&Loads::default(), &story.throttles, now));
        assert_eq!(story.placement.resting(now), 1);
        story.now = until;
        assert!(story.choose().is_ok() && story.placement.still_admits(&place, until));
    }
}

#[test]
fn a_rate_is_learned_from_every_kind_of_answer_and_told() {
    for event in HEADS {
        let mut story = Story::begin();
        let place = story.choose().expect("a place");
        let lesson = story.learn(&place, Report::head(event, rated()));
        let note = Note::Rate { before: None, after: Some(4.0) };
        assert_eq!((lesson.tell, lesson.notes), (Some(Reach::Region), vec![note]));
        assert_eq!(story.throttles.rate(place.life), Some(4.0), "after {event:?}");
    }
}

/// An answer that is the server's own and names none says that it names none; a refusal may leave it out.
#[test]
fn that_no_rate_is_named_any_more_is_learned_from_answers_that_say_all() {
    for (event, expected) in
        [(Event::Begun, None), (Event::Refused, Some(4.0)), (Event::Invalid, Some(4.0))]
    {
        let mut story = Story::begin();
        let place = story.choose().expect("a place");
        story.learn(&place, Report::head(Event::Begun, rated()));
        story.learn(&place, Report::head(event, ServerStatus::default()));
        assert_eq!(story.throttles.rate(place.life), expected, "after {event:?}");
    }
}

#[test]
fn that_a_server_turned_cold_is_learned_from_every_kind_of_answer_and_told() {
    for event in HEADS {
        let mut story = Story::begin();
        let place = story.choose().expect("a place");
        let lesson = story.learn(&place, Report::head(event, cold()));
        assert_eq!(
            (lesson.tell, lesson.notes),
            (Some(Reach::Region), vec![Note::TurnedCold(COLD)])
        );
        let told: Vec<_> = story.placement.words(story.now).collect();
        assert_eq!(told, [(place.life, COLD, story.now)], "after {event:?}");
    }
}

/// Another instance has the address: it says nothing of the one that was meant.
#[test]
fn words_of_another_instance_are_not_the_servers() {
    let words =
        ServerStatus { leaving: true, rest: Some(REST), rate: Some(4.0), cold_left: Some(COLD) };
    let mut story = Story::begin();
    let place = story.choose().expect("a place");
    let lesson = story.learn(&place, Report::head(Event::Replaced, words));
    assert_eq!(lesson, Lesson::default());
    assert!(story.departures.is_empty() && story.throttles.is_empty());
    assert_eq!(story.placement.resting(story.now), 0);
}

#[test]
fn all_words_are_learned_when_a_server_is_asked_how_it_is() {
    let words =
        ServerStatus { leaving: true, rest: Some(REST), rate: Some(4.0), cold_left: Some(COLD) };
    let mut story = Story::begin();
    let place = story.choose().expect("a place");
    let now = story.now;
    let speaker = Speaker { server: &place.server, life: place.life, service: SERVICE };
    let lesson = story.learner().asked(speaker, &words, true, now);
    assert_eq!((lesson.tell, lesson.notes.len()), (Some(Reach::Region), 4));
    assert!(story.departures.leaves(place.life) && story.placement.resting(now) == 1);
    assert_eq!(story.throttles.rate(place.life), Some(4.0));
}

#[test]
fn broken_answers_are_looked_into_and_ends_are_told() {
    let mut story = Story::begin();
    let place = story.choose().expect("a place");
    let lesson = story.learn(&place, Report::end(Event::BrokenOff));
    assert!(lesson.look && lesson.tell.is_none());
    story.learn(&place, Report::end(Event::BrokenOff));
    let lesson = story.learn(&place, Report::end(Event::BrokenOff));
    assert_eq!(lesson.tell, Some(Reach::Region), "three at once show its end");
    assert!(matches!(lesson.notes[..], [Note::Ended(ref runs)] if runs.len() == 3));
    let lesson = story.learn(&place, Report::end(Event::Answered));
    assert_eq!(lesson.notes, [Note::Acquitted(request())]);
    for event in [Event::Unreachable, Event::Withheld, Event::Silent, Event::Invalid, Event::Failed]
    {
        assert_eq!(story.learn(&place, Report::end(event)), Lesson::default(), "{event:?}");
    }
}

/// Where a server rests, names a rate and is cold at once, all of it holds.
#[test]
fn of_several_words_the_strictest_holds() {
    let words =
        ServerStatus { rest: Some(REST), rate: Some(0.5), cold_left: Some(COLD), leaving: false };
    let mut story = Story::begin();
    let place = story.choose().expect("a place");
    story.learn(&place, Report::head(Event::Refused, words));
    assert!(matches!(story.choose().unwrap_err(), Blocked::Resting { .. }));
    story.now += REST;
    assert!(story.choose().is_ok(), "the rate has one left by then, and so has its cold share");
    assert!(story.choose().is_err(), "one request of each");
}

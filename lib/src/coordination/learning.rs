//! The one place that learns from what came of sends.
//!
//! Each report of an attempt comes here, of whatever kind its answer was, and so does what a server says when it is asked how
//! it is. What follows is decided by the parts: which servers get work, whose rate holds, who leaves or
//! rests, which request ends servers. What others must hear of, and what only a look can tell, is handed back.

use std::time::Duration;
use std::time::Instant;

use super::attempt::Event;
use super::attempt::Report;
use super::broken::Broken;
use super::broken::Life;
use super::broken::Next;
use super::broken::Run;
use super::departures::Departures;
use super::fingerprint::Fingerprint;
use super::placement::Place;
use super::placement::Placement;
use super::quarantine::Quarantine;
use super::quarantine::Reach;
use super::throttle::ServiceHash;
use super::throttle::Throttles;
use crate::protocol::words::Words;

/// What was sent where.
#[derive(Clone, Copy, Debug)]
pub struct Sent<'a> {
    /// The place on the server that got it.
    pub place: &'a Place,
    /// The server's service.
    pub service: ServiceHash,
    /// The request.
    pub request: Fingerprint,
}

/// Who spoke.
#[derive(Clone, Copy, Debug)]
pub struct Speaker<'a> {
    /// Name of the server.
    pub server: &'a str,
    /// Which of its lives.
    pub life: Life,
    /// Its service.
    pub service: ServiceHash,
}

/// Something that was learned, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// The server leaves.
    Leaves,
    /// It wants nothing from this box for so long.
    Rests(Duration),
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
    Ended(Vec<Run>),
    /// The request does not end servers.
    Acquitted(Fingerprint),
}

/// What follows from a report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lesson {
    /// Who must hear of it at once.
    pub tell: Option<Reach>,
    /// Whether to look if the server still accepts connections.
    pub look: bool,
    /// What was learned.
    pub notes: Vec<Note>,
}

impl Lesson {
    fn tell(&mut self, reach: Reach) {
        if self.tell != Some(Reach::Everyone) {
            self.tell = Some(reach);
        }
    }
}

/// All that learns.
pub struct Learner<'a> {
    /// The servers of the service; `None` if the configuration no longer has it.
    pub placement: Option<&'a mut Placement>,
    /// Rates that servers name.
    pub throttles: &'a mut Throttles,
    /// Servers that leave.
    pub departures: &'a mut Departures,
    /// Answers that broke off.
    pub broken: &'a mut Broken,
    /// Requests that end servers.
    pub quarantine: &'a mut Quarantine,
}

impl Learner<'_> {
    /// Takes in a report of an attempt.
    pub fn learn(&mut self, sent: Sent<'_>, report: &Report, now: Instant) -> Lesson {
        let mut lesson = Lesson::default();
        let Sent { place, service, request } = sent;
        let speaker = Speaker { server: &place.server, life: place.life, service };
        // Another instance that has the address says nothing of the one that was meant.
        if let Some(words) = report.words.filter(|_| report.event != Event::Replaced) {
            let is_whole = report.event.is_taken();
            self.hear(speaker, &words, is_whole, &mut lesson, now);
        }
        match report.event {
            Event::BrokenOff => self.broke_off(sent, &mut lesson, now),
            Event::Answered if self.quarantine.answered(request, now) => {
                lesson.notes.push(Note::Acquitted(request));
            }
            _ => {}
        }
        lesson
    }

    /// Takes in what a server said when it was asked how it is; one that only refused may have left something out.
    pub fn asked(
        &mut self,
        speaker: Speaker<'_>,
        words: &Words,
        refused: bool,
        now: Instant,
    ) -> Lesson {
        let mut lesson = Lesson::default();
        let cold_left = words.cold_left.or((!refused).then_some(Duration::ZERO));
        let words = Words { cold_left, ..*words };
        self.hear(speaker, &words, false, &mut lesson, now);
        lesson
    }

    /// `is_whole`: what the server does not say does not hold.
    fn hear(
        &mut self,
        speaker: Speaker<'_>,
        words: &Words,
        is_whole: bool,
        lesson: &mut Lesson,
        now: Instant,
    ) {
        let Speaker { server, life, service } = speaker;
        let leaves = words.leaving && self.departures.said(life, now, now);
        if leaves {
            lesson.tell(Reach::Region);
            lesson.notes.push(Note::Leaves);
        }
        if let Some(placement) = &mut self.placement {
            if leaves {
                placement.set_leaving(|life| self.departures.leaves(life));
            }
            if let Some(rest) = words.rest {
                placement.rest(life, rest, now);
                lesson.notes.push(Note::Rests(rest));
            }
            if let Some(left) = words.cold_left
                && placement.said(server, left, now)
            {
                lesson.tell(Reach::Region);
                lesson.notes.push(Note::TurnedCold(left));
            }
        }
        if is_whole || words.rate.is_some() {
            let before = self.throttles.rate(life);
            if self.throttles.record_rate(life, service, words.rate, now) {
                lesson.tell(Reach::Region);
            }
            if before != words.rate {
                lesson.notes.push(Note::Rate { before, after: words.rate });
            }
        }
    }

    fn broke_off(&mut self, sent: Sent<'_>, lesson: &mut Lesson, now: Instant) {
        let Sent { place, request, .. } = sent;
        let run = Run { request, sent_at: place.taken_at, broke_at: now };
        match self.broken.note(place.life, run, now) {
            Next::Wait => {}
            Next::Look => lesson.look = true,
            Next::Ended(runs) => self.ended(place.life, runs, lesson, now),
        }
    }

    /// A look showed that a server has ended.
    pub fn has_ended(&mut self, server: Life, now: Instant) -> Lesson {
        let mut lesson = Lesson::default();
        let runs = self.broken.ended(server, now);
        if !runs.is_empty() {
            self.ended(server, runs, &mut lesson, now);
        }
        lesson
    }

    fn ended(&mut self, server: Life, runs: Vec<Run>, lesson: &mut Lesson, now: Instant) {
        lesson.tell(Reach::Region);
        for run in &runs {
            if self.quarantine.ended(server, *run, now) == Some(Reach::Everyone) {
                lesson.tell(Reach::Everyone);
            }
        }
        lesson.notes.push(Note::Ended(runs));
    }
}

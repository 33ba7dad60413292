//! What the other boxes of the region said, and what those that are silent keep of a rate.

use std::collections::HashMap;
use std::time::Instant;

use super::ServerLife;
use super::ServiceHash;
use super::demand::Asked;

/// Part of a rate that boxes share evenly while some are silent: demand moves on then, and nobody hears of it.
const EVEN_IN_SILENCE: f64 = 0.3;

/// What another box of the region said.
#[derive(Debug)]
pub struct Source {
    /// Its start.
    pub incarnation: u64,
    /// Number of its last report.
    pub number: u64,
    /// When that came.
    pub heard_at: Instant,
    /// What it sent, by server.
    pub counts: HashMap<ServerLife, u64>,
    /// What it is asked for, by service.
    pub demands: HashMap<ServiceHash, Asked>,
}

/// What was heard of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Region {
    /// Boxes that are heard.
    heard: usize,
    /// Those of them that have not said what they are asked for.
    pub unsaid: usize,
    /// What they are asked for, in sum.
    pub demand: Asked,
    /// Boxes that have fallen silent.
    silent: usize,
    /// Requests a second that these usually were asked for when last heard.
    silent_usual: f64,
}

impl Region {
    /// A box, what it is asked for if it said so, and whether it is heard.
    pub fn add(&mut self, asked: Option<Asked>, is_heard: bool) {
        if !is_heard {
            self.silent += 1;
            self.silent_usual += asked.map_or(0.0, |asked| asked.usual);
            return;
        }
        self.heard += 1;
        match asked {
            Some(asked) => {
                self.demand.lately += asked.lately;
                self.demand.usual += asked.usual;
            }
            None => self.unsaid += 1,
        }
    }

    /// Part of a rate that boxes which hear each other may use, this one with its own demand among
    /// them. Those that were never heard are taken to be asked for as much as the others in the mean.
    pub fn rest(&self, own_usual: f64, unknown: usize) -> f64 {
        let away = (self.silent + unknown) as f64;
        if away == 0.0 {
            return 1.0;
        }
        let known = (1 + self.heard + self.silent) as f64;
        let known_usual = own_usual + self.demand.usual + self.silent_usual;
        let unknown_usual = unknown as f64 * known_usual / known;
        let even = away / (known + unknown as f64);
        let all = known_usual + unknown_usual;
        let by_demand = if all > 0.0 { (self.silent_usual + unknown_usual) / all } else { even };
        1.0 - EVEN_IN_SILENCE * even - (1.0 - EVEN_IN_SILENCE) * by_demand
    }
}

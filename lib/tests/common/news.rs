//! How news of the store spreads: boxes of three regions that watch, look, tell and ask by the
//! product's own decisions, before a simulated store and network.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use copperweir_lib::coordination::freshness::CHECK_INTERVAL;
use copperweir_lib::coordination::freshness::Freshness;
use copperweir_lib::coordination::freshness::PeerState;
use copperweir_lib::coordination::watchers;
use copperweir_lib::gateway::replica::Replica;
use copperweir_lib::protocol::adapter::Item;
use copperweir_lib::protocol::fleet::BoxRecord;
use copperweir_lib::protocol::platform::Position;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

const REGIONS: usize = 3;
/// Time between reports, and boxes of the region that each goes to.
const PERIOD: Duration = Duration::from_millis(200);
const MOST: usize = 32;
/// Least time from one question to the next.
const ASK_GAP: Duration = Duration::from_millis(200);
/// One way within a region, and between two.
const NEAR: Duration = Duration::from_micros(500);
const FAR: Duration = Duration::from_millis(55);
/// Time that the store, or a box, takes for an answer.
const ANSWER: Duration = Duration::from_millis(4);
/// Time after which lost bytes of a connection are sent again.
const RESENT: Duration = Duration::from_millis(200);
/// Time after which a change is given up.
const LIMIT: Duration = Duration::from_secs(20);
/// The key whose change is followed.
const KEY: &str = "servers/i-1";

/// What the network and the store are like.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Boxes of all regions.
    pub boxes: usize,
    /// Part of the datagrams that is lost, and of the answers that come late.
    pub loss: f64,
    /// Datagrams are as long as they may be, and lost if any of their six packets is.
    pub full: bool,
    /// Watches are dead without a sign; only looks tell.
    pub dead_watches: bool,
    /// The store has just come back from a copy that all boxes are ahead of.
    pub restored: bool,
}

struct Box {
    record: BoxRecord,
    /// The other boxes of its region.
    beside: Vec<usize>,
    freshness: Freshness,
    replica: Replica,
    watches: bool,
    asked_at: Option<Instant>,
    asking: bool,
    /// When it knew of the change.
    knows_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Report { from: usize, number: usize },
    Heard { from: usize, to: usize, version: usize, age: Duration },
    Draw(usize),
    Ask(usize),
    Told { from: usize, to: usize },
    Read { by: usize, at: Instant, revision: u64 },
}

struct Play {
    setting: Setting,
    rng: SmallRng,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, usize, Event)>>,
    number: usize,
    boxes: Vec<Box>,
    /// Versions that datagrams under way name.
    versions: Vec<copperweir_lib::coordination::freshness::Version>,
    /// What the store held before the change, and what it holds now.
    before: Replica,
    store: Replica,
}

fn address(number: usize) -> SocketAddr {
    ([10, 0, (number / 256) as u8, (number % 256) as u8], 80).into()
}

fn box_number(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!("all are of this kind") };
    let [.., high, low] = address.ip().octets();
    usize::from(high) * 256 + usize::from(low)
}

fn item(value: &'static [u8], revision: u64) -> Item {
    Item { key: KEY.to_owned(), value: Bytes::from_static(value), revision }
}

impl Play {
    fn start(setting: Setting, seed: u64) -> Play {
        let now = Instant::now();
        let mut old = Replica::default();
        old.insert(&item(b"serves", 3));
        // What the copy lacks is another key.
        old.insert(&Item { key: "other".to_owned(), ..item(b"", 9) });
        old.reached(Position { era: 1, revision: 9 });
        let mut boxes: Vec<Box> = (0..setting.boxes)
            .map(|number| Box {
                record: BoxRecord {
                    name: format!("b{number}"),
                    incarnation: 1,
                    region: format!("r{}", number % REGIONS),
                    failure_domain: "z".to_owned(),
                    callers: address(number),
                    peers: address(number),
                    leaving: false,
                    weight: 1.0,
                },
                beside: (0..setting.boxes)
                    .filter(|other| *other != number && other % REGIONS == number % REGIONS)
                    .collect(),
                freshness: Freshness::default(),
                replica: old.clone(),
                watches: false,
                asked_at: None,
                asking: false,
                knows_at: None,
            })
            .collect();
        let records: Vec<BoxRecord> = boxes.iter().map(|one| one.record.clone()).collect();
        for one in &mut boxes {
            let others = records.iter().filter(|other| other.name != one.record.name);
            one.watches = watchers::is_watcher(&one.record, others);
            one.freshness.record_state(old.version(), Some(now), now);
        }
        let mut store = old;
        if setting.restored {
            store = Replica::default();
            store.insert(&item(b"serves", 3));
            store.reached(Position { era: 2, revision: 7 });
        }
        let rng = SmallRng::seed_from_u64(seed);
        let (queue, versions) = (BinaryHeap::new(), Vec::new());
        let before = store.clone();
        let mut play = Play { setting, rng, now, queue, number: 0, boxes, versions, before, store };
        for number in 0..setting.boxes {
            let phase = PERIOD.mul_f64(play.rng.random());
            play.after(phase, Event::Report { from: number, number: 0 });
            let phase = CHECK_INTERVAL.mul_f64(play.rng.random());
            play.after(phase, Event::Draw(number));
        }
        play
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((self.now + delay, self.number, event)));
    }

    fn way(&self, from: usize, to: usize) -> Duration {
        if from % REGIONS == to % REGIONS { NEAR } else { FAR }
    }

    /// Time until an answer of the store is there; it stands in the first region.
    fn answer_time(&mut self, to: usize) -> Duration {
        let late = self.rng.random_bool(self.setting.loss);
        self.way(0, to) * 2 + ANSWER + if late { RESENT } else { Duration::ZERO }
    }

    fn send(&mut self, from: usize, to: usize) {
        let packets = if self.setting.full { 6 } else { 1 };
        if self.rng.random::<f64>() > (1.0 - self.setting.loss).powi(packets) {
            return;
        }
        let Some(age) = self.boxes[from].freshness.age(self.now) else { return };
        self.versions.push(self.boxes[from].freshness.version());
        let version = self.versions.len() - 1;
        self.after(self.way(from, to), Event::Heard { from, to, version, age });
    }

    /// A server leaves, by its entry in the store; gives when each box knows.
    fn run(mut self) -> Vec<Duration> {
        // A change comes at no special time.
        let settle = Duration::from_millis(2000 + self.rng.random_range(0..1000));
        let changed_at = self.now + settle;
        let mut changed = false;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > changed_at && !changed {
                changed = true;
                self.now = changed_at;
                self.change();
            }
            self.now = at;
            self.handle(event);
            let all = self.boxes.iter().all(|one| one.knows_at.is_some());
            if all || at > changed_at + LIMIT {
                break;
            }
        }
        let known = self.boxes.iter().map(|one| one.knows_at);
        known.map(|at| at.map_or(LIMIT, |at| at - changed_at)).collect()
    }

    fn change(&mut self) {
        let Position { era, revision } = self.store.version().position;
        self.store.insert(&item(b"leaves", revision + 1));
        self.store.reached(Position { era, revision: revision + 1 });
        if self.setting.dead_watches {
            return;
        }
        for number in 0..self.boxes.len() {
            if self.boxes[number].watches {
                self.read_store(number);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Report { from, number } => {
                let others = self.boxes[from].beside.clone();
                let turn = number * MOST % others.len().max(1);
                let told: Vec<usize> = others
                    .iter()
                    .cycle()
                    .skip(turn)
                    .take(MOST.min(others.len()))
                    .copied()
                    .collect();
                told.into_iter().for_each(|to| self.send(from, to));
                let far = (0..self.boxes.len()).filter(|other| other % REGIONS != from % REGIONS);
                if let Some(to) = far.choose(&mut self.rng) {
                    self.send(from, to);
                }
                self.after(PERIOD, Event::Report { from, number: number + 1 });
            }
            Event::Heard { from, to, version, age } => {
                let word = PeerState {
                    sender: from as u64,
                    address: address(from),
                    version: self.versions[version],
                    age,
                    is_same_region: from % REGIONS == to % REGIONS,
                };
                if self.boxes[to].freshness.record_peer(&word, self.now) {
                    self.ask(to);
                }
            }
            Event::Draw(number) => {
                let likely =
                    self.boxes[number].freshness.check_probability(self.boxes.len(), self.now);
                if self.rng.random::<f64>() < likely {
                    self.read_store(number);
                }
                self.ask(number);
                self.after(CHECK_INTERVAL, Event::Draw(number));
            }
            Event::Ask(number) => self.ask(number),
            Event::Told { from, to } => {
                self.boxes[to].asking = false;
                let ahead = self.boxes[from].replica.version();
                if ahead.is_ahead_of(&self.boxes[to].replica.version()) {
                    let age = self.boxes[from].freshness.age(self.now);
                    let at = age.and_then(|age| self.now.checked_sub(age));
                    let replica = self.boxes[from].replica.clone();
                    take(&mut self.boxes[to], &replica, at, self.now);
                }
            }
            Event::Read { by, at, revision } => {
                // The answer is what the store held when it was asked.
                let now = self.store.version().position.revision;
                let store = if revision == now { self.store.clone() } else { self.before.clone() };
                self.read(by, at, &store);
            }
        }
    }

    fn read_store(&mut self, by: usize) {
        let delay = self.answer_time(by);
        let revision = self.store.version().position.revision;
        self.after(delay, Event::Read { by, at: self.now, revision });
    }

    fn read(&mut self, by: usize, at: Instant, store: &Replica) {
        if self.boxes[by].replica.version().is_ahead_of(&store.version()) {
            return;
        }
        let news = store.version().is_ahead_of(&self.boxes[by].replica.version());
        take(&mut self.boxes[by], store, Some(at), self.now);
        if news {
            self.boxes[by].beside.clone().into_iter().for_each(|to| self.send(by, to));
        }
    }

    fn ask(&mut self, number: usize) {
        let one = &self.boxes[number];
        let patience = if one.watches { Duration::from_millis(1200) } else { Duration::ZERO };
        let Some(address) = one.freshness.peer_to_ask(patience, self.now) else { return };
        if one.asking {
            return;
        }
        if let Some(at) = one.asked_at
            && self.now < at + ASK_GAP
        {
            let left = at + ASK_GAP - self.now;
            self.after(left, Event::Ask(number));
            return;
        }
        let from = box_number(address);
        let late = self.rng.random_bool(self.setting.loss);
        let delay =
            self.way(number, from) * 2 + ANSWER + if late { RESENT } else { Duration::ZERO };
        self.boxes[number].asked_at = Some(self.now);
        self.boxes[number].asking = true;
        self.after(delay, Event::Told { from, to: number });
    }
}

/// A box takes in what differs.
fn take(one: &mut Box, ahead: &Replica, at: Option<Instant>, now: Instant) {
    let held: HashSet<u64> = one.replica.digests().collect();
    for key in one.replica.keys_not_in(&ahead.key_hashes().collect()) {
        one.replica.remove(&key);
    }
    let written: Vec<Item> = ahead.written_beside(&held).collect();
    written.iter().for_each(|item| one.replica.insert(item));
    one.replica.reached(ahead.version().position);
    one.freshness.record_state(one.replica.version(), at, now);
    if one.replica.get(KEY).is_some_and(|value| value == "leaves") {
        one.knows_at.get_or_insert(now);
    }
}

/// Times until each box knows of a change, over some plays, in order.
pub fn spread(setting: Setting, plays: u64) -> BTreeMap<&'static str, Duration> {
    let mut last = Vec::new();
    let mut all = Vec::new();
    for seed in 0..plays {
        let known = Play::start(setting, seed).run();
        last.extend(known.iter().max().copied());
        all.extend(known);
    }
    all.sort();
    last.sort();
    BTreeMap::from([
        ("median", all[all.len() / 2]),
        ("p99", all[all.len() * 99 / 100]),
        ("last_median", last[last.len() / 2]),
        ("most", last[last.len() - 1]),
    ])
}

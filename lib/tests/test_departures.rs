//! Servers that announce that they are leaving, without sockets or a clock.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::departures::Departures;
use copperweir_lib::coordination::departures::StoreEntry;

/// Time longer than the minimum age of an entry.
const LONG_ENOUGH: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);

/// The departures known to a box, the store's entry of one server, and the time.
struct Scenario {
    departures: Departures,
    /// The server's entry and its revision.
    entry: Option<(u64, StoreEntry)>,
    now: Instant,
}

impl Scenario {
    /// The server's entry is at revision 5 and shows it as serving.
    fn new() -> Scenario {
        let mut scenario =
            Scenario { departures: Departures::default(), entry: None, now: Instant::now() };
        scenario.now += SECOND;
        scenario.set_entry(5, false);
        scenario.now += SECOND;
        scenario
    }

    /// Sets the store's entry, unless its revision is unchanged.
    fn set_entry(&mut self, revision: u64, leaving: bool) {
        let changed_at = match self.entry {
            Some((known, entry)) if known == revision => entry.changed_at,
            Some(_) => Some(self.now),
            None => None,
        };
        self.entry = Some((revision, StoreEntry { leaving, changed_at }));
    }

    fn advance(&mut self, time: Duration) -> bool {
        self.now += time;
        let entry = |_| self.entry.map(|(_, entry)| entry);
        self.departures.tick(entry, self.now)
    }

    fn announce(&mut self) -> bool {
        self.departures.record(1, self.now, self.now)
    }
}

#[test]
fn an_announcement_applies_while_the_entry_is_unchanged() {
    let mut scenario = Scenario::new();
    assert!(scenario.announce() && !scenario.announce());
    for _ in 0..100 {
        scenario.set_entry(5, false);
        assert!(!scenario.advance(LONG_ENOUGH));
    }
    assert!(scenario.departures.is_leaving(1) && !scenario.departures.is_leaving(2));
}

#[test]
fn a_newer_entry_that_shows_the_server_as_leaving_changes_nothing() {
    let mut scenario = Scenario::new();
    scenario.announce();
    scenario.set_entry(6, true);
    assert!(!scenario.advance(LONG_ENOUGH));
    assert!(scenario.departures.is_leaving(1));
}

#[test]
fn a_newer_entry_that_shows_the_server_as_serving_counts_after_a_minimum_age() {
    let mut scenario = Scenario::new();
    scenario.announce();
    scenario.advance(SECOND);
    scenario.set_entry(6, false);
    assert!(
        !scenario.advance(SECOND) && scenario.departures.is_leaving(1),
        "the server may still update its entry"
    );
    assert!(scenario.advance(LONG_ENOUGH) && !scenario.departures.is_leaving(1));
}

#[test]
fn an_older_entry_that_is_read_late_is_replaced_by_the_servers_update() {
    let mut scenario = Scenario::new();
    scenario.announce();
    scenario.advance(SECOND);
    scenario.set_entry(6, false);
    scenario.advance(Duration::from_millis(200));
    scenario.set_entry(7, true);
    assert!(!scenario.advance(LONG_ENOUGH) && scenario.departures.is_leaving(1));
}

/// A starting box sees an entry for the first time, however long ago it was written.
#[test]
fn the_first_version_of_an_entry_is_not_newer() {
    let mut scenario = Scenario::new();
    scenario.entry = None;
    scenario.announce();
    scenario.advance(SECOND);
    scenario.set_entry(9, false);
    assert!(!scenario.advance(LONG_ENOUGH) && scenario.departures.is_leaving(1));
}

#[test]
fn a_late_notice_is_ignored_once_the_server_serves_again() {
    let mut scenario = Scenario::new();
    let announced_at = scenario.now;
    scenario.announce();
    scenario.advance(SECOND);
    scenario.set_entry(6, false);
    assert!(scenario.advance(LONG_ENOUGH));
    let mut lagging_box = Departures::default();
    lagging_box.record(1, announced_at, announced_at);
    let notice_count = lagging_box.all_notices(scenario.now);
    assert_eq!(notice_count.len(), 1);
    assert!(
        scenario.departures.receive(&notice_count, scenario.now).is_empty()
            && !scenario.departures.is_leaving(1)
    );
    scenario.now += SECOND;
    assert!(
        scenario.announce() && scenario.departures.is_leaving(1),
        "a later announcement counts"
    );
}

#[test]
fn a_notice_is_repeated_often_at_first_and_then_rarely() {
    let mut scenario = Scenario::new();
    scenario.departures.set_reports_per_round(2);
    scenario.announce();
    let notice_count = |scenario: &mut Scenario| {
        scenario.now += Duration::from_millis(200);
        scenario.departures.next_notices(scenario.now).len()
    };
    let at_first: usize = (0..7).map(|_| notice_count(&mut scenario)).sum();
    assert_eq!(at_first, 7);
    let later: usize = (0..20).map(|_| notice_count(&mut scenario)).sum();
    assert_eq!(later, 4);
    let mut other = Departures::default();
    let notices = scenario.departures.all_notices(scenario.now);
    assert_eq!(other.receive(&notices, scenario.now), [1]);
    assert!(other.receive(&notices, scenario.now).is_empty() && other.is_leaving(1));
    assert_eq!(other.len(), 1);
}

#[test]
fn notices_are_bounded_in_number_and_time() {
    let mut departures = Departures::default();
    let now = Instant::now();
    for server in 0..5000 {
        departures.record(server, now, now);
    }
    assert!(departures.len() <= 1024 && departures.next_notices(now).len() <= 32);
    assert!(!departures.tick(|_| None, now + Duration::from_secs(601)) && departures.is_empty());
    assert!(!departures.record(1, now, now + Duration::from_secs(601)), "too old");
}

//! Tells the other boxes what this one has on its servers, which state it has
//! from the store and, without the store, what servers say of themselves; hears
//! the same from them. All by datagrams.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use prost::Message;
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use super::beside;
use super::learning;
use super::quarantine;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::drain::Stage;
use crate::coordination::freshness::Version;
use crate::coordination::freshness::Word;
use crate::coordination::loads::Report;
use crate::coordination::presence;
use crate::coordination::quarantine::Reach;
use crate::coordination::quota::FleetSize;
use crate::coordination::quota::ReportId;
use crate::coordination::regions::Utilization;
use crate::coordination::rendezvous;
use crate::coordination::unlisted::Neighbor;
use crate::protocol::adapter::Adapter;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::platform::Position;
use crate::state::clock;
use crate::transport::listen::Stop;
use crate::transport::timer;

/// Time between reports: some tenths of a short request's life.
const PERIOD: Duration = Duration::from_millis(200);
/// Most boxes that are told each time, so that the cost does not grow with the region;
/// more are told in turn.
const MOST: usize = 32;
/// Reports in a row in which a change of the own state goes to all boxes of other regions: some
/// datagrams are lost. After that they hear of it in turn, or from the store.
const ANNOUNCED: u32 = 5;
/// Number of a datagram that answers a box which has just started. It says nothing else, and comes in no
/// order with the sender's reports.
const UNNUMBERED: u64 = 0;
/// Largest datagram, bytes: some hundred servers.
const DATAGRAM: usize = 8 << 10;

/// Reports and hears until told to stop.
pub async fn exchange<A: Adapter>(
    shared: Arc<Shared<A>>,
    socket: UdpSocket,
    mut stop: watch::Receiver<Stop>,
) {
    let mut buffer = vec![0; DATAGRAM];
    let mut next_at = clock::now();
    let mut number = 0;
    let mut herald = Herald::default();
    loop {
        tokio::select! {
            () = timer::sleep_until(next_at) => {
                number += 1;
                let now = clock::now();
                next_at = now + PERIOD;
                lock(&shared.loads).expire(now);
                lock(&shared.presence).expire(now);
                lock(&shared.unlisted).expire(now);
                lock(&shared.quotas).tick(fleet(&shared), now);
                tick_throttles(&shared, now);
                quarantine::tick(&shared, now);
                tell(&shared, &socket, number, &mut herald);
            }
            () = shared.news.notified() => {
                number += 1;
                tell_beside(&shared, &socket, number);
            }
            () = shared.alarm.notified() => {
                number += 1;
                tell_everyone(&shared, &socket, number);
            }
            readable = socket.readable() => {
                if let Err(error) = readable {
                    log::error!("event=reports_off error=\"{error}\"");
                    return;
                }
                hear(&shared, &socket, &mut buffer);
            }
            _ = stop.wait_for(|stop| *stop != Stop::No) => return,
        }
    }
}

/// Takes in all datagrams that have arrived.
fn hear<A: Adapter>(shared: &Shared<A>, socket: &UdpSocket, buffer: &mut [u8]) {
    let now = clock::now();
    while let Ok((length, from)) = socket.try_recv_from(buffer) {
        match Report::decode(&buffer[..length]) {
            Ok(report) if report.number == UNNUMBERED => {
                learning::hear_leaving(shared, &report.leaving_servers, now);
                let news = report.throttle.unwrap_or_default();
                lock(&shared.throttles).merge_rates(&news.words, now);
            }
            Ok(report) => {
                hear_presence(shared, &report, now);
                hear_state(shared, &report, from, now);
                hear_unlisted(shared, &report, from, now);
                hear_quarantine(shared, &report, now);
                if report.region == shared.settings.region {
                    lock(&shared.loads).hear(&report, now);
                    hear_servers(shared, &report, now);
                    learning::hear_leaving(shared, &report.leaving_servers, now);
                    hear_counts(shared, &report, now);
                    hear_throttle(shared, socket, &report, from, now);
                } else {
                    hear_region(shared, report, now);
                }
            }
            Err(error) => log::warn!("event=unreadable_report from={from} error=\"{error}\""),
        }
    }
}

fn hear_presence<A: Adapter>(shared: &Shared<A>, report: &Report, now: Instant) {
    let Report { sender, incarnation, .. } = *report;
    let mut presence = lock(&shared.presence);
    presence.heard(sender, now);
    let Some(leaving) = report.leaving else { return };
    if presence.hear(sender, incarnation, leaving, now) {
        log::info!("event=box_says box={sender:x} incarnation={incarnation:x} leaving={leaving}");
    }
}

fn hear_state<A: Adapter>(shared: &Shared<A>, report: &Report, from: SocketAddr, now: Instant) {
    let same_region = report.region == shared.settings.region;
    let age = match report.state_age_ms {
        Some(age_ms) => Duration::from_millis(age_ms),
        None if same_region => return,
        // It does not say how old its state is, and vouches for nothing.
        None => Duration::MAX,
    };
    let Ok(port) = u16::try_from(report.handover_port) else { return };
    let position = Position { era: report.state_era, revision: report.state_revision };
    let version = Version { position, digest: report.state_digest };
    let word = Word {
        sender: report.sender,
        address: beside(from, port),
        version,
        age,
        beside: same_region,
    };
    shared.eras.hear(position.era, from);
    let mut freshness = lock(&shared.freshness);
    freshness.hear_era(shared.eras.newest());
    if freshness.hear(&word, now) {
        shared.behind.notify_one();
    }
}

/// Takes in that a box is heard, and which others the sender has heard, that the store does not
/// show. Two boxes that each took themselves for alone in their region gave a cold server 28
/// requests in a second, where 17 are allowed.
fn hear_unlisted<A: Adapter>(shared: &Shared<A>, report: &Report, from: SocketAddr, now: Instant) {
    let mut unlisted = lock(&shared.unlisted);
    let region = report.region.clone();
    unlisted.hear(Neighbor { box_hash: report.sender, region, address: from }, now);
    for named in &report.unlisted {
        let Ok(address) = named.address.parse() else {
            log::warn!("event=unreadable_name from={from} address={:?}", named.address);
            continue;
        };
        let age = Duration::from_millis(u64::from(named.heard_ms));
        let Some(at) = now.checked_sub(age) else { continue };
        let (box_hash, region) = (named.box_hash, named.region.clone());
        unlisted.hear(Neighbor { box_hash, region, address }, at);
    }
}

fn hear_quarantine<A: Adapter>(shared: &Shared<A>, report: &Report, now: Instant) {
    let mut quarantine = lock(&shared.quarantine);
    if quarantine.is_empty() && report.ends.is_empty() && report.verdicts.is_empty() {
        return;
    }
    if report.region == shared.settings.region {
        quarantine.hear_trials(report.sender, &report.trials, now);
    }
    report.ends.iter().for_each(|end| quarantine.hear_end(end, now));
    report.verdicts.iter().for_each(|verdict| quarantine.hear_verdict(verdict, now));
}

fn hear_servers<A: Adapter>(shared: &Shared<A>, report: &Report, now: Instant) {
    let said = report.cold_ms.iter().zip(&report.asked_ms);
    for (server, (cold_ms, asked_ms)) in report.asked.iter().zip(said) {
        let left = Duration::from_millis(u64::from(*cold_ms));
        let Some(at) = now.checked_sub(Duration::from_millis(u64::from(*asked_ms))) else {
            continue;
        };
        for service in lock(&shared.services).values_mut() {
            service.placement.said_elsewhere(*server, left, at);
        }
    }
}

fn hear_counts<A: Adapter>(shared: &Shared<A>, report: &Report, now: Instant) {
    let Report { sender, incarnation, number, .. } = *report;
    let teller = ReportId { sender, incarnation, number };
    lock(&shared.quotas).record_box_usage(teller, &report.counts, now);
}

/// Takes in what another box knows of rates; one that has just started is told at once what this
/// one knows.
fn hear_throttle<A: Adapter>(
    shared: &Shared<A>,
    socket: &UdpSocket,
    report: &Report,
    from: SocketAddr,
    now: Instant,
) {
    let Report { sender, incarnation, number, .. } = *report;
    let teller = ReportId { sender, incarnation, number };
    let news = report.throttle.clone().unwrap_or_default();
    let mut throttles = lock(&shared.throttles);
    let is_new = throttles.receive_report(teller, &news, now);
    let leaving_servers = lock(&shared.departures).all_words(now);
    if !is_new || (throttles.is_empty() && leaving_servers.is_empty()) {
        return;
    }
    let mut answer = Report {
        number: UNNUMBERED,
        sender: presence::box_hash(&shared.settings.name),
        incarnation: shared.incarnation,
        region: shared.settings.region.clone(),
        throttle: Some(throttles.all_rates(now)),
        leaving_servers,
        ..Report::default()
    };
    drop(throttles);
    send(socket, &encode(&mut answer), std::iter::once(&from));
}

fn hear_region<A: Adapter>(shared: &Shared<A>, report: Report, now: Instant) {
    lock(&shared.quotas).record_region_usage(&report.region, &report.flows, now);
    let mut regions = lock(&shared.regions);
    regions.record_closed_services(report.region.clone(), report.closed.clone(), now);
    let told = report.region_in_flight.iter().zip(&report.region_slots);
    for (service, (in_flight, slots)) in report.services.iter().zip(told) {
        let fullness = Utilization { in_flight: f64::from(*in_flight), slots: f64::from(*slots) };
        regions.record_utilization(*service, report.region.clone(), fullness, now);
    }
}

/// Follows the own state, and says when all must hear of it.
#[derive(Default)]
struct Herald {
    leaving: Option<bool>,
    left: u32,
}

impl Herald {
    /// Whether this report goes to all boxes.
    fn follow(&mut self, leaving: Option<bool>) -> bool {
        if self.leaving != leaving {
            self.leaving = leaving;
            self.left = ANNOUNCED;
        }
        let announce = leaving.is_some() && self.left > 0;
        self.left = self.left.saturating_sub(1);
        announce
    }
}

/// Tells all boxes of the region at once: what is new must not wait for their turn.
fn tell_beside<A: Adapter>(shared: &Shared<A>, socket: &UdpSocket, number: u64) {
    let datagram = encode(&mut report(shared, number));
    send(socket, &datagram, beside_addresses(shared).iter());
}

/// Tells all boxes of all regions at once.
fn tell_everyone<A: Adapter>(shared: &Shared<A>, socket: &UdpSocket, number: u64) {
    let mut report = report(shared, number);
    send(socket, &encode(&mut report), beside_addresses(shared).iter());
    for_elsewhere(shared, &mut report);
    send(socket, &encode(&mut report), elsewhere(shared).iter());
}

/// Tells some boxes of the region in turn, and one of another region.
fn tell<A: Adapter>(shared: &Shared<A>, socket: &UdpSocket, number: u64, herald: &mut Herald) {
    let mut report = report(shared, number);
    let datagram = encode(&mut report);
    let others = beside_addresses(shared);
    let turn = number as usize * MOST % others.len().max(1);
    let told = others.iter().cycle().skip(turn).take(MOST.min(others.len()));
    send(socket, &datagram, told);
    for_elsewhere(shared, &mut report);
    let far = elsewhere(shared);
    let datagram = encode(&mut report);
    if herald.follow(report.leaving) {
        send(socket, &datagram, far.iter());
    } else {
        send(socket, &datagram, far.iter().choose(&mut rand::rng()).into_iter());
    }
    // A box of another region that the store does not show hears of its like from here, and whom to
    // ask for newer state. It gets no word for long whenever it is not heard, so none vouches
    // for the state that it has, and it asks servers whether they are cold.
    report.state_age_ms = None;
    let now = clock::now();
    let since = now.checked_sub(PERIOD).unwrap_or(now);
    let away = lock(&shared.unlisted).heard_after(since, &shared.settings.region, now);
    send(socket, &encode(&mut report), away.iter().take(MOST));
}

/// Makes a report one for boxes of other regions: they hear how full this region is, not of the
/// single servers here, and only of ends that are suspicious.
fn for_elsewhere<A: Adapter>(shared: &Shared<A>, report: &mut Report) {
    let now = clock::now();
    report.servers.clear();
    report.in_flight.clear();
    report.unread.clear();
    report.asked.clear();
    report.cold_ms.clear();
    report.asked_ms.clear();
    report.counts.clear();
    report.throttle = None;
    report.leaving_servers.clear();
    report.flows = lock(&shared.quotas).region_usage_to_report(now);
    report.ends = lock(&shared.quarantine).told_ends(Reach::Everyone, now);
    describe_region(shared, report);
}

/// The boxes of other regions.
fn elsewhere<A: Adapter>(shared: &Shared<A>) -> Vec<SocketAddr> {
    let snapshot = shared.snapshot.load();
    let boxes = snapshot.boxes.iter().chain(&snapshot.lost);
    let elsewhere = boxes.filter(|other| other.region != shared.settings.region);
    elsewhere.map(|other| other.peers).collect()
}

/// Tells the accounts of servers that name a rate which boxes send to them.
fn tick_throttles<A: Adapter>(shared: &Shared<A>, now: Instant) {
    let snapshot = shared.snapshot.load();
    let mut others: HashSet<u64> = HashSet::new();
    {
        let presence = lock(&shared.presence);
        let boxes = snapshot.boxes.iter().chain(&snapshot.lost);
        let region = boxes.filter(|other| other.region == shared.settings.region);
        // A box that has left no longer sends, once it is silent.
        let sends =
            |other: &&BoxRecord| presence.serves(other) || presence.is_heard(&other.name, now);
        others.extend(region.filter(sends).map(|other| presence::box_hash(&other.name)));
    }
    let unlisted = lock(&shared.unlisted);
    let region = unlisted.neighbors().filter(|other| other.region == shared.settings.region);
    others.extend(region.map(|other| other.box_hash));
    drop(unlisted);
    let rounds = others.len().div_ceil(MOST) as u32;
    lock(&shared.throttles).tick(&others, rounds, now);
    lock(&shared.departures).set_rounds(rounds);
}

/// How many boxes there are, and in how many reports those of this region are told.
fn fleet<A: Adapter>(shared: &Shared<A>) -> FleetSize {
    let others = beside_addresses(shared).len();
    FleetSize { boxes: shared.snapshot.load().fleet, rounds: others.div_ceil(MOST) as u32 }
}

/// A report as it goes out.
fn encode(report: &mut Report) -> Vec<u8> {
    report.fit(DATAGRAM);
    report.encode_to_vec()
}

fn send<'a>(socket: &UdpSocket, datagram: &[u8], to: impl Iterator<Item = &'a SocketAddr>) {
    for address in to {
        // A datagram that cannot be sent is as good as lost; the next one follows.
        if let Err(error) = socket.try_send_to(datagram, *address) {
            log::debug!("event=report_not_sent to={address} error=\"{error}\"");
        }
    }
}

fn describe_region<A: Adapter>(shared: &Shared<A>, report: &mut Report) {
    let now = clock::now();
    for (name, service) in lock(&shared.services).iter_mut() {
        let (loads, throttles) = (lock(&shared.loads), lock(&shared.throttles));
        let fullness = service.placement.fullness(&loads, &throttles, now);
        if service.placement.is_closed(&loads, &throttles, now) {
            report.closed.push(rendezvous::weight(name, ""));
        }
        report.services.push(rendezvous::weight(name, ""));
        report.region_in_flight.push(fullness.in_flight as u32);
        report.region_slots.push(fullness.slots as u32);
    }
}

/// The other boxes of this region, those that have lost their record among them: a box that has lost
/// the store hears from the others what it does not hear from there.
fn beside_addresses<A: Adapter>(shared: &Shared<A>) -> Vec<SocketAddr> {
    let snapshot = shared.snapshot.load();
    let boxes = snapshot.boxes.iter().chain(&snapshot.lost);
    let region = boxes.filter(|other| other.region == shared.settings.region);
    let unlisted = lock(&shared.unlisted);
    let unlisted = unlisted.neighbors().filter(|other| other.region == shared.settings.region);
    let unlisted = unlisted.map(|other| other.address);
    region.map(|other| other.peers).chain(unlisted).collect()
}

fn report<A: Adapter>(shared: &Shared<A>, number: u64) -> Report {
    let now = clock::now();
    let version = lock(&shared.freshness).version();
    let snapshot = shared.snapshot.load();
    let mut report = Report {
        leaving: snapshot.routing.is_some().then_some(snapshot.stage != Stage::Serving),
        sender: presence::box_hash(&shared.settings.name),
        incarnation: shared.incarnation,
        region: shared.settings.region.clone(),
        number,
        state_era: version.position.era,
        state_revision: version.position.revision,
        state_digest: version.digest,
        state_age_ms: u64::try_from(shared.state_age_ms()).ok(),
        handover_port: u32::from(shared.settings.listen.handover.port()),
        unlisted: lock(&shared.unlisted).named(now),
        counts: lock(&shared.quotas).box_usage_to_report(now),
        throttle: Some(lock(&shared.throttles).next_report(now)).filter(|news| !news.is_empty()),
        leaving_servers: lock(&shared.departures).news(now),
        ..Report::default()
    };
    let quarantine = lock(&shared.quarantine);
    if !quarantine.is_empty() {
        report.ends = quarantine.told_ends(Reach::Region, now);
        report.verdicts = quarantine.told_verdicts(now, &mut rand::rng());
        report.trials = quarantine.trials();
    }
    drop(quarantine);
    for service in lock(&shared.services).values() {
        for (server, load) in service.placement.own_loads() {
            report.servers.push(server);
            report.in_flight.push(load.in_flight);
            report.unread.push(load.unread);
        }
        for (server, left, at) in service.placement.words(now) {
            report.asked.push(server);
            report.cold_ms.push(left.as_millis() as u32);
            report.asked_ms.push(now.saturating_duration_since(at).as_millis() as u32);
        }
    }
    report
}

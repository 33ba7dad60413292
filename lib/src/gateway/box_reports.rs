//! Exchanges reports with the other boxes by datagrams. A report contains the load that the sender
//! puts on servers, the version of its state from the store and, during a store outage, what
//! servers responded to probes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use prost::Message;
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use super::cold_reports;
use super::feedback;
use super::path_checks;
use super::quarantine;
use super::sender_checks;
use super::shared::Shared;
use super::shared::lock;
use super::stream_versions;
use super::upgrade;
use super::with_port;
use crate::coordination::drain::Stage;
use crate::coordination::freshness::PeerState;
use crate::coordination::freshness::Version;
use crate::coordination::loads::BoxReport;
use crate::coordination::presence;
use crate::coordination::quarantine::Audience;
use crate::coordination::quarantine::wire::PartReport;
use crate::coordination::quota::FleetSize;
use crate::coordination::quota::ReportId;
use crate::coordination::regions::Utilization;
use crate::coordination::rendezvous;
use crate::protocol::adapter::Adapter;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::platform::Position;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::listen::Shutdown;
use crate::transport::timer;

/// Interval of the reports: a few tenths of the duration of a short request.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of boxes that get each report, so that the cost doesn't grow with the region. A
/// larger region is covered in rotation.
const MAX_RECIPIENTS: usize = 32;
/// Maximum number of boxes of other regions that get a report about a change of this box's own
/// status. With all of them, boxes that start together would send boxes x boxes datagrams; the
/// others read the status in the store.
const MAX_ANNOUNCEMENT_RECIPIENTS: usize = 96;
/// Number of consecutive reports in which a change of this box's own status goes to boxes of other
/// regions, because some datagrams are lost. After that, these boxes receive the status in rotation
/// or from the store.
const ANNOUNCEMENT_REPORTS: u32 = 5;
/// Number of a datagram that is not part of the sequence of the sender's reports: one that replies
/// to a box which has just started and contains only rates and leaving servers, one that tells which
/// servers are warm, one for judges of upgrades, or one about streams.
pub const REPLY_NUMBER: u64 = 0;
/// Bytes about parts of prompts in the reports to all boxes of the region together: a tenth of a link
/// of 10 Mbit/s. Each box has a part of them, so that the bound holds in regions of any size.
const MAX_PART_BYTES_PER_ROUND: usize = 24 << 10;
/// Maximum number of bytes about parts of prompts in one report.
const MAX_PART_BYTES: usize = 4 << 10;
/// Maximum size of a datagram in bytes: some hundred servers.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Maximum number of datagrams that are applied before requests get a turn. If more arrive than this
/// box can read, it would do nothing else.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// Sends and receives reports until shutdown.
pub async fn exchange_reports<A: Adapter>(
    shared: Arc<Shared<A>>,
    socket: UdpSocket,
    mut stop: watch::Receiver<Shutdown>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut next_at = clock::now();
    let mut number = 0;
    let mut announcer = StatusAnnouncer::default();
    let mut upgrade_report_at = next_at;
    let mut urgent_report_at = next_at;
    loop {
        tokio::select! {
            () = timer::sleep_until(next_at) => {
                number += 1;
                let now = clock::now();
                next_at = now + REPORT_INTERVAL;
                lock(&shared.loads).expire(now);
                lock(&shared.presence).expire(now);
                lock(&shared.peer_paths).expire(now);
                lock(&shared.path_checks).expire(now);
                lock(&shared.unlisted).expire(now);
                sender_checks::begin_round(&shared, now);
                stream_versions::tick(&shared, now);
                lock(&shared.quotas).tick(quota_fleet(&shared), now);
                tick_throttles(&shared, now);
                quarantine::tick(&shared, now);
                send_periodic(&shared, &socket, number, &mut announcer);
                if now >= upgrade_report_at {
                    upgrade_report_at = now + upgrade::send_reports(&shared, &socket, number);
                    urgent_report_at = now + upgrade::URGENT_REPORT_INTERVAL;
                }
            }
            () = shared.upgrade_report.notified(), if clock::now() >= urgent_report_at => {
                number += 1;
                urgent_report_at = clock::now() + upgrade::URGENT_REPORT_INTERVAL;
                upgrade::send_reports(&shared, &socket, number);
            }
            () = shared.region_update.notified() => {
                number += 1;
                send_to_region(&shared, &socket, number);
            }
            () = shared.server_report.notified() => cold_reports::send_new(&shared, &socket),
            () = shared.global_update.notified() => {
                number += 1;
                send_to_all(&shared, &socket, number);
            }
            () = shared.stream_report.notified() => {
                stream_versions::send_reports(&shared, &socket);
            }
            readable = socket.readable() => {
                if let Err(error) = readable {
                    log::error!("event=reports_off error=\"{error}\"");
                    return;
                }
                receive(&shared, &socket, &mut buffer);
            }
            _ = stop.wait_for(|stop| *stop != Shutdown::No) => return,
        }
        tokio::task::yield_now().await;
    }
}

/// Applies the datagrams of boxes that have arrived, up to [`MAX_DATAGRAMS_PER_TURN`].
fn receive<A: Adapter>(shared: &Arc<Shared<A>>, socket: &UdpSocket, buffer: &mut [u8]) {
    let now = clock::now();
    for _ in 0..MAX_DATAGRAMS_PER_TURN {
        let Ok((length, from)) = socket.try_recv_from(buffer) else { return };
        let mut decoded = BoxReport::decode(&buffer[..length]);
        decoded.iter_mut().for_each(BoxReport::clamp_numbers);
        match decoded {
            Ok(report) if !sender_checks::admit(shared, &report, from, now) => {}
            Ok(report) if report.number == REPLY_NUMBER => {
                upgrade::receive(shared, &report, now);
                stream_versions::receive(shared, socket, &report, from, now);
                feedback::receive_leaving(shared, &report.leaving_servers, now);
                if report.region == shared.settings.region {
                    cold_reports::receive(shared, &report, now);
                }
                let rates = report.throttle.unwrap_or_default();
                let mut throttles = lock(&shared.throttles);
                throttles.merge_rates(&rates.words, now);
                throttles.merge_rooms(&rates.rooms, now);
            }
            Ok(report) => {
                apply_presence(shared, &report, now);
                lock(&shared.peer_paths).receive(&report, now);
                apply_state_version(shared, &report, from, now);
                sender_checks::record_neighbors(shared, &report, from, now);
                apply_quarantine(shared, &report, now);
                upgrade::receive(shared, &report, now);
                if report.region == shared.settings.region {
                    lock(&shared.loads).receive(&report, now);
                    cold_reports::receive(shared, &report, now);
                    feedback::receive_leaving(shared, &report.leaving_servers, now);
                    path_checks::receive(shared, &report, now);
                    apply_quota_counts(shared, &report, now);
                    apply_rates(shared, socket, &report, from, now);
                } else {
                    apply_region_load(shared, report, now);
                }
            }
            Err(error) if lock(&shared.senders).is_box_host(from.ip()) => {
                log::warn!("event=unreadable_report from={from} error=\"{error}\"");
            }
            // Any process may send any number of these, so they are only counted.
            Err(_) => shared.counters.increment(Counter::ForeignDatagrams),
        }
    }
}

fn apply_presence<A: Adapter>(shared: &Shared<A>, report: &BoxReport, now: Instant) {
    let BoxReport { sender, incarnation, .. } = *report;
    let mut presence = lock(&shared.presence);
    presence.record_datagram(sender, now);
    let Some(leaving) = report.leaving else { return };
    if presence.record_announcement(sender, incarnation, leaving, now) {
        log::info!("event=box_says box={sender:x} incarnation={incarnation:x} leaving={leaving}");
    }
}

fn apply_state_version<A: Adapter>(
    shared: &Shared<A>,
    report: &BoxReport,
    from: SocketAddr,
    now: Instant,
) {
    let same_region = report.region == shared.settings.region;
    let age = match report.state_age_ms {
        Some(age_ms) => Duration::from_millis(age_ms),
        None if same_region => return,
        // The report lacks the age of the sender's state, so it can't confirm that a state is
        // recent.
        None => Duration::MAX,
    };
    let Ok(port) = u16::try_from(report.handover_port) else { return };
    let position = Position { era: report.state_era, revision: report.state_revision };
    let version = Version { position, digest: report.state_digest };
    let state_report = PeerState {
        sender: report.sender,
        address: with_port(from, port),
        version,
        age,
        is_same_region: same_region,
    };
    shared.eras.observe(position.era, from);
    let mut freshness = lock(&shared.freshness);
    freshness.set_newest_era(shared.eras.get());
    if freshness.record_peer(&state_report, now) {
        shared.peer_ahead.notify_one();
    }
}

fn apply_quarantine<A: Adapter>(shared: &Shared<A>, report: &BoxReport, now: Instant) {
    let mut quarantine = lock(&shared.quarantine);
    let is_silent = report.ends.is_empty() && report.verdicts.is_empty() && report.parts.is_empty();
    if quarantine.is_empty() && is_silent {
        return;
    }
    report.parts.iter().for_each(|part| quarantine.receive_part(part, now));
    if report.region == shared.settings.region {
        quarantine.receive_reserved_servers(report.sender, &report.trials, now);
    }
    report.ends.iter().for_each(|end| quarantine.receive_crash(end, now));
    report.verdicts.iter().for_each(|verdict| quarantine.receive_verdict(verdict, now));
}

fn apply_quota_counts<A: Adapter>(shared: &Shared<A>, report: &BoxReport, now: Instant) {
    let BoxReport { sender, incarnation, number, .. } = *report;
    let source = ReportId { sender, incarnation, number };
    lock(&shared.quotas).record_box_usage(source, &report.counts, now);
}

/// Applies the rates that another box reports. A box that has just started gets all that this one
/// knows in reply.
fn apply_rates<A: Adapter>(
    shared: &Shared<A>,
    socket: &UdpSocket,
    report: &BoxReport,
    from: SocketAddr,
    now: Instant,
) {
    let BoxReport { sender, incarnation, number, .. } = *report;
    let source = ReportId { sender, incarnation, number };
    let rates = report.throttle.clone().unwrap_or_default();
    let mut throttles = lock(&shared.throttles);
    let is_new_sender = throttles.receive_report(source, &rates, now);
    let leaving_servers = lock(&shared.departures).all_notices(now);
    if !is_new_sender || (throttles.is_empty() && leaving_servers.is_empty()) {
        return;
    }
    let mut reply = BoxReport {
        number: REPLY_NUMBER,
        sender: presence::box_hash(&shared.settings.name),
        incarnation: shared.incarnation,
        region: shared.settings.region.clone(),
        throttle: Some(throttles.all_rates(now)),
        leaving_servers,
        ..BoxReport::default()
    };
    drop(throttles);
    send(socket, &encode(&mut reply), std::iter::once(&from));
}

fn apply_region_load<A: Adapter>(shared: &Shared<A>, report: BoxReport, now: Instant) {
    lock(&shared.quotas).record_region_usage(&report.region, &report.flows, now);
    let mut regions = lock(&shared.regions);
    regions.record_closed_services(report.region.clone(), report.closed.clone(), now);
    let loads = report.region_in_flight.iter().zip(&report.region_slots);
    for (service, (in_flight, slots)) in report.services.iter().zip(loads) {
        let utilization =
            Utilization { in_flight: f64::from(*in_flight), slots: f64::from(*slots) };
        regions.record_utilization(*service, report.region.clone(), utilization, now);
    }
}

/// Decides when a change of this box's status must go to many boxes of other regions: whether it is
/// leaving, and which servers it can't reach.
#[derive(Default)]
struct StatusAnnouncer {
    leaving: Option<bool>,
    /// Services of whose servers not all are reached, and the shares that are.
    paths: Vec<(u64, u32)>,
    remaining_reports: u32,
}

impl StatusAnnouncer {
    /// Whether this report goes to many boxes.
    fn should_announce(&mut self, report: &BoxReport) -> bool {
        let limited_services = report.limited_services.iter().copied();
        let mut paths: Vec<(u64, u32)> =
            limited_services.zip(report.reached_percent.iter().copied()).collect();
        paths.sort_unstable();
        if self.leaving != report.leaving || self.paths != paths {
            self.leaving = report.leaving;
            self.paths = paths;
            self.remaining_reports = ANNOUNCEMENT_REPORTS;
        }
        let announce = report.leaving.is_some() && self.remaining_reports > 0;
        self.remaining_reports = self.remaining_reports.saturating_sub(1);
        announce
    }
}

/// Sends a report to all boxes of the region at once, for changes that must not wait for the
/// rotation.
fn send_to_region<A: Adapter>(shared: &Shared<A>, socket: &UdpSocket, number: u64) {
    let datagram = encode(&mut build_report(shared, number));
    let region = region_addresses(shared);
    send_counted(shared, socket, &datagram, region.iter(), Counter::ReportBytes);
}

/// Sends a report to all boxes of all regions at once.
fn send_to_all<A: Adapter>(shared: &Shared<A>, socket: &UdpSocket, number: u64) {
    let mut report = build_report(shared, number);
    let region = region_addresses(shared);
    send_counted(shared, socket, &encode(&mut report), region.iter(), Counter::ReportBytes);
    reduce_for_other_regions(shared, &mut report);
    let others = other_region_boxes(shared);
    send_counted(shared, socket, &encode(&mut report), others.iter(), Counter::RemoteReportBytes);
}

/// Sends the periodic report to the next boxes of the region in rotation, and to a random box of
/// another region.
fn send_periodic<A: Adapter>(
    shared: &Shared<A>,
    socket: &UdpSocket,
    number: u64,
    announcer: &mut StatusAnnouncer,
) {
    let mut report = build_report(shared, number);
    let datagram = encode(&mut report);
    let others = region_addresses(shared);
    let offset = number as usize * MAX_RECIPIENTS % others.len().max(1);
    let recipients = others.iter().cycle().skip(offset).take(MAX_RECIPIENTS.min(others.len()));
    let recipients: Vec<&SocketAddr> = recipients.collect();
    send_counted(shared, socket, &datagram, recipients.into_iter(), Counter::ReportBytes);
    reduce_for_other_regions(shared, &mut report);
    let remote_boxes = other_region_boxes(shared);
    let datagram = encode(&mut report);
    let recipients =
        if announcer.should_announce(&report) { MAX_ANNOUNCEMENT_RECIPIENTS } else { 1 };
    let recipients = remote_boxes.iter().choose_multiple(&mut rand::rng(), recipients);
    send_counted(shared, socket, &datagram, recipients.into_iter(), Counter::RemoteReportBytes);
    // This report tells unlisted boxes of other regions about each other, and which box to query
    // for a newer state. They get no reports for a long time while their datagrams do not arrive.
    // So this report doesn't confirm the age of their state, and these boxes probe servers to find
    // out which are cold.
    report.state_age_ms = None;
    let now = clock::now();
    let since = now.checked_sub(REPORT_INTERVAL).unwrap_or(now);
    let remote_unlisted =
        lock(&shared.unlisted).remote_received_after(since, &shared.settings.region, now);
    send(socket, &encode(&mut report), remote_unlisted.iter().take(MAX_RECIPIENTS));
}

/// Reduces a report to what boxes of other regions need: the load of this region instead of that of
/// single servers, and only server crashes under requests that have seen several.
fn reduce_for_other_regions<A: Adapter>(shared: &Shared<A>, report: &mut BoxReport) {
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
    report.servers_to_check.clear();
    report.reached_servers.clear();
    report.unreached_servers.clear();
    report.flows = lock(&shared.quotas).region_usage_to_report(now);
    report.ends = lock(&shared.quarantine).crash_reports(Audience::AllRegions, now);
    report.parts =
        part_reports(shared, Audience::AllRegions, other_region_boxes(shared).len(), now);
    add_region_load(shared, report);
}

/// Reports of parts of prompts under which servers crashed, for a datagram to `recipients` boxes.
fn part_reports<A: Adapter>(
    shared: &Shared<A>,
    audience: Audience,
    recipients: usize,
    now: Instant,
) -> Vec<PartReport> {
    let max_bytes = MAX_PART_BYTES.min(MAX_PART_BYTES_PER_ROUND / recipients.max(1));
    lock(&shared.quarantine).part_reports(audience, max_bytes, now)
}

/// The boxes of other regions.
fn other_region_boxes<A: Adapter>(shared: &Shared<A>) -> Vec<SocketAddr> {
    let snapshot = shared.snapshot.load();
    let boxes = snapshot.boxes.iter().chain(&snapshot.expired_boxes);
    let other_boxes = boxes.filter(|other| other.region != shared.settings.region);
    other_boxes.map(|other| other.peers).collect()
}

/// Updates which boxes share the rates that servers allow.
fn tick_throttles<A: Adapter>(shared: &Shared<A>, now: Instant) {
    let snapshot = shared.snapshot.load();
    let mut others: HashSet<u64> = HashSet::new();
    {
        let presence = lock(&shared.presence);
        let boxes = snapshot.boxes.iter().chain(&snapshot.expired_boxes);
        let region_boxes = boxes.filter(|other| other.region == shared.settings.region);
        // A leaving box no longer sends requests once its datagrams have stopped.
        let is_sending = |other: &&BoxRecord| {
            presence.serves(other) || presence.has_recent_datagram(&other.name, now)
        };
        others.extend(region_boxes.filter(is_sending).map(|other| presence::box_hash(&other.name)));
    }
    let unlisted = lock(&shared.unlisted);
    let unlisted_in_region =
        unlisted.neighbors().filter(|other| other.region == shared.settings.region);
    others.extend(unlisted_in_region.map(|other| other.box_hash));
    drop(unlisted);
    let rounds = others.len().div_ceil(MAX_RECIPIENTS) as u32;
    lock(&shared.throttles).tick(&others, rounds, now);
    lock(&shared.departures).set_reports_per_round(rounds);
}

/// The number of boxes, and the number of reports in which the rotation covers this region.
fn quota_fleet<A: Adapter>(shared: &Shared<A>) -> FleetSize {
    let others = region_addresses(shared).len();
    FleetSize {
        boxes: shared.snapshot.load().fleet_size,
        rounds: others.div_ceil(MAX_RECIPIENTS) as u32,
    }
}

/// Encodes a report, truncated to fit a datagram.
pub fn encode(report: &mut BoxReport) -> Vec<u8> {
    report.truncate_to(MAX_DATAGRAM_BYTES);
    report.encode_to_vec()
}

/// Sends a report and counts its bytes.
fn send_counted<'a, A: Adapter>(
    shared: &Shared<A>,
    socket: &UdpSocket,
    datagram: &[u8],
    to: impl ExactSizeIterator<Item = &'a SocketAddr>,
    counter: Counter,
) {
    shared.counters.add(counter, (datagram.len() * to.len()) as u64);
    send(socket, datagram, to);
}

/// Sends a datagram to each of the addresses.
pub fn send<'a>(socket: &UdpSocket, datagram: &[u8], to: impl Iterator<Item = &'a SocketAddr>) {
    for address in to {
        // A datagram that can't be sent is treated as lost; the next report follows.
        if let Err(error) = socket.try_send_to(datagram, *address) {
            log::debug!("event=report_not_sent to={address} error=\"{error}\"");
        }
    }
}

fn add_region_load<A: Adapter>(shared: &Shared<A>, report: &mut BoxReport) {
    let now = clock::now();
    for (name, service) in lock(&shared.services).iter_mut() {
        // A box without paths knows nothing of the load.
        if service.placement.is_unreachable() {
            continue;
        }
        let (loads, throttles) = (lock(&shared.loads), lock(&shared.throttles));
        let service_hash = rendezvous::weight(name, "");
        let utilization = service.placement.utilization(service_hash, &loads, &throttles, now);
        if service.placement.is_closed(service_hash, &loads, &throttles, now) {
            report.closed.push(service_hash);
        }
        report.services.push(service_hash);
        report.region_in_flight.push(utilization.in_flight as u32);
        report.region_slots.push(utilization.slots as u32);
    }
}

/// The other boxes of this region. They include those whose records are gone, because a box that
/// lost the store depends on the reports of others.
pub fn region_addresses<A: Adapter>(shared: &Shared<A>) -> Vec<SocketAddr> {
    let snapshot = shared.snapshot.load();
    let boxes = snapshot.boxes.iter().chain(&snapshot.expired_boxes);
    let region_boxes = boxes.filter(|other| other.region == shared.settings.region);
    let unlisted = lock(&shared.unlisted);
    let unlisted = unlisted.neighbors().filter(|other| other.region == shared.settings.region);
    let unlisted = unlisted.map(|other| other.address);
    region_boxes.map(|other| other.peers).chain(unlisted).collect()
}

/// Adds the services of whose servers this box can't reach all.
fn add_limited_services<A: Adapter>(shared: &Shared<A>, report: &mut BoxReport) {
    report.isolated = shared.is_isolated();
    for (name, service) in lock(&shared.services).iter() {
        let share = service.placement.reached_share();
        if share < 1.0 {
            report.limited_services.push(rendezvous::weight(name, ""));
            report.reached_percent.push((share * 100.0).ceil() as u32);
        }
    }
}

fn build_report<A: Adapter>(shared: &Shared<A>, number: u64) -> BoxReport {
    let now = clock::now();
    let version = lock(&shared.freshness).version();
    let snapshot = shared.snapshot.load();
    let (halted, held) = lock(&shared.upgrades).stopped();
    let mut report = BoxReport {
        leaving: snapshot.has_started.then_some(snapshot.stage != Stage::Serving),
        sender: presence::box_hash(&shared.settings.name),
        incarnation: shared.incarnation,
        region: shared.settings.region.clone(),
        number,
        state_era: version.position.era,
        state_revision: version.position.revision,
        state_digest: version.digest,
        state_age_ms: u64::try_from(shared.state_age_ms()).ok(),
        handover_port: u32::from(shared.settings.listen.handover.port()),
        unlisted: lock(&shared.unlisted).neighbor_records(now),
        counts: lock(&shared.quotas).box_usage_to_report(now),
        throttle: Some(lock(&shared.throttles).next_report(now)).filter(|rates| !rates.is_empty()),
        leaving_servers: lock(&shared.departures).next_notices(now),
        halted,
        held,
        ..BoxReport::default()
    };
    add_limited_services(shared, &mut report);
    let checks = lock(&shared.path_checks);
    report.servers_to_check = checks.requests_to_report();
    report.reached_servers = checks.results_to_report(true);
    report.unreached_servers = checks.results_to_report(false);
    drop(checks);
    let quarantine = lock(&shared.quarantine);
    if !quarantine.is_empty() {
        report.ends = quarantine.crash_reports(Audience::Region, now);
        report.verdicts = quarantine.verdict_reports(now, &mut rand::rng());
        report.trials = quarantine.own_reserved_servers();
    }
    let has_suspects = !quarantine.is_empty();
    drop(quarantine);
    if has_suspects {
        let recipients = region_addresses(shared).len().min(MAX_RECIPIENTS);
        report.parts = part_reports(shared, Audience::Region, recipients, now);
    }
    for service in lock(&shared.services).values() {
        for (server, load) in service.placement.own_loads() {
            report.servers.push(server);
            report.in_flight.push(load.in_flight);
            report.unread.push(load.prefill_tokens);
        }
    }
    cold_reports::add_recent(shared, &mut report, now);
    report
}

//! Room of brittle servers: how many requests all boxes together may have at a server, and how many
//! of them one box.
//!
//! A brittle server falls over when it has to reject more than a stated number of requests in a
//! second, and the room that it has shrinks without notice. What a server that fell over would have
//! executed moves to the others, which then fall over too. While a server is brittle, the boxes of
//! its region therefore have at most as many requests there as it executes at a time. A rejection
//! lowers that limit at once; it rises slowly. A server that appears starts with a low limit.
//!
//! Each box has a share of the limit, in proportion to its demand. All boxes compute the shares from
//! the same reports, so they add up to the limit although no box asks another one. A larger share
//! is used only once the reports that enlarged it have reached all boxes.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::ServerIncarnation;
use super::ServiceHash;
use super::wire::ServerRoom;

/// Fraction of the slots of a server that is used at first when it appears, and that a rejection
/// leaves at least.
const INITIAL_FRACTION: f64 = 0.25;
/// Fraction of the slots by which a limit rises in a second. A server that appears is full after six
/// seconds.
const GROWTH_PER_SECOND: f64 = 0.125;
/// Time from a rejection until the limit rises.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Period in which the server counts its rejections.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// Time after which an unconfirmed statement expires.
const STATEMENT_TTL: Duration = Duration::from_secs(60);
/// How long it is remembered that a server is no longer brittle, so that an older report does not
/// count.
const RECOVERED_RETENTION: Duration = Duration::from_secs(10);
/// Minimum difference in age for a reported statement or rejection to count as a new one. The
/// reported age doesn't include the network latency.
const MIN_REPORT_GAP: Duration = Duration::from_millis(500);
/// Maximum number of servers with an entry.
const MAX_SERVERS: usize = 1024;
/// Part of a limit that boxes share evenly, for boxes whose demand rises.
const EVEN_SHARE: f64 = 0.1;
/// Multiples of this number, taken modulo 1, are spread evenly from 0 to 1, however many they are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;
/// Minimum time after which a larger share is used.
const MIN_SHARE_DELAY: Duration = Duration::from_millis(600);

/// What the room of a server depends on besides its statements.
#[derive(Clone, Copy, Debug)]
pub struct ServerCapacity {
    /// The incarnation of the server.
    pub server: ServerIncarnation,
    /// The service of the server.
    pub service: ServiceHash,
    /// Requests that the server executes at the same time.
    pub slots: u32,
    /// When the server appeared, or when this box could reach it again.
    pub available_since: Instant,
}

/// What a server stated last.
#[derive(Clone, Copy, Debug)]
struct Statement {
    /// Rejections in a second that the server survives; `None` if it is not brittle.
    max_rejections: Option<u32>,
    at: Instant,
}

/// The limit that the last rejection left.
#[derive(Clone, Copy, Debug)]
struct Ceiling {
    limit: f64,
    rejected_at: Instant,
}

#[derive(Debug)]
struct Room {
    service: ServiceHash,
    stated: Statement,
    ceiling: Option<Ceiling>,
    /// Rejections of this box's requests within [`REJECTION_WINDOW`].
    rejected_at: VecDeque<Instant>,
    /// Until when no box sends to the server, which has rejected nearly as much as it survives.
    closed_until: Option<Instant>,
    /// Number of reports that still have to contain the room.
    reports_left: u32,
}

impl Room {
    fn is_brittle(&self) -> bool {
        self.stated.max_rejections.is_some()
    }

    fn is_expired(&self, now: Instant) -> bool {
        let ttl = if self.is_brittle() { STATEMENT_TTL } else { RECOVERED_RETENTION };
        now >= self.stated.at + ttl
    }
}

/// The part of each limit that a box has: the limit is laid out over the interval from 0 to 1, and
/// each box has an interval there.
#[derive(Clone, Copy, Debug)]
struct Share {
    member: u64,
    start: f64,
    end: f64,
    since: Instant,
}

impl Share {
    /// Number of places in the interval. They are spread evenly, and begin at another position at
    /// each server, so that a box with a small share has a place at some of the servers. A higher
    /// limit adds places and moves none, so that no place passes to another box while it is occupied.
    fn places(&self, limit: u32, offset: f64) -> u32 {
        let position = |place: u32| (offset + f64::from(place) * GOLDEN_RATIO).fract();
        let has = |place: &u32| (self.start..self.end).contains(&position(*place));
        (0..limit).filter(has).count() as u32
    }
}

/// Rooms of the brittle servers of a region, as one box sees them.
#[derive(Debug, Default)]
pub(super) struct Rooms {
    rooms: HashMap<ServerIncarnation, Room>,
    brittle_services: HashSet<ServiceHash>,
    /// Recent shares of this box, the latest one last.
    shares: HashMap<ServiceHash, VecDeque<Share>>,
    /// The latest shares of all boxes.
    layouts: HashMap<ServiceHash, Vec<Share>>,
}

impl Rooms {
    /// Records what a server stated in a response to this box. Returns whether to notify the other
    /// boxes at once.
    pub fn record_statement(
        &mut self,
        server: ServerIncarnation,
        service: ServiceHash,
        max_rejections: Option<u32>,
        reports: u32,
        now: Instant,
    ) -> bool {
        let stated = Statement { max_rejections, at: now };
        self.update_statement(server, service, stated, reports)
    }

    fn update_statement(
        &mut self,
        server: ServerIncarnation,
        service: ServiceHash,
        stated: Statement,
        reports: u32,
    ) -> bool {
        let is_brittle = stated.max_rejections.is_some();
        let Some(room) = self.rooms.get_mut(&server) else {
            let matters = is_brittle || self.brittle_services.contains(&service);
            if matters && self.rooms.len() < MAX_SERVERS {
                let room = Room {
                    service,
                    stated,
                    ceiling: None,
                    rejected_at: VecDeque::new(),
                    closed_until: None,
                    reports_left: reports,
                };
                self.rooms.insert(server, room);
                self.update_services();
            }
            return matters && is_brittle;
        };
        if stated.at < room.stated.at {
            return false;
        }
        let previous = std::mem::replace(&mut room.stated, stated);
        if previous.max_rejections == stated.max_rejections {
            return false;
        }
        room.reports_left = reports;
        if !is_brittle {
            room.ceiling = None;
            room.closed_until = None;
        }
        self.update_services();
        is_brittle && previous.max_rejections.is_none()
    }

    /// Returns how many rejections in a second a server survives by its own statement.
    pub fn max_rejections(&self, server: ServerIncarnation) -> Option<u32> {
        self.rooms.get(&server)?.stated.max_rejections
    }

    fn update_services(&mut self) {
        let brittle = self.rooms.values().filter(|room| room.is_brittle());
        self.brittle_services = brittle.map(|room| room.service).collect();
        let services = &self.brittle_services;
        self.shares.retain(|service, _| services.contains(service));
        self.layouts.retain(|service, _| services.contains(service));
    }

    /// Records that a server rejected a request of this box while it had `held` others. Returns
    /// whether the server is brittle, so that the other boxes are notified at once.
    pub fn record_rejection(
        &mut self,
        capacity: ServerCapacity,
        held: u32,
        boxes: usize,
        reports: u32,
        now: Instant,
    ) -> bool {
        let Some(limit) = self.limit(capacity, now) else { return false };
        let Some(room) = self.rooms.get_mut(&capacity.server) else { return false };
        let lowest = (f64::from(capacity.slots) * INITIAL_FRACTION).max(1.0);
        let mut limit = f64::from(limit.saturating_sub(1)).min(f64::from(held)).max(lowest);
        room.rejected_at.retain(|at| now < *at + REJECTION_WINDOW);
        room.rejected_at.push_back(now);
        // Each of the other boxes may have seen as many rejections.
        let max_rejections = room.stated.max_rejections.unwrap_or(0) as usize;
        if room.rejected_at.len() * boxes >= max_rejections {
            // By the end of this time, the server may be empty. It is filled gradually, because boxes
            // that fill it at once would not learn of each other's rejections in time.
            room.closed_until = Some(now + REJECTION_WINDOW);
            limit = lowest;
        }
        room.ceiling = Some(Ceiling { limit, rejected_at: now });
        room.reports_left = reports;
        true
    }

    /// Returns the number of requests that all boxes together may have at a server; `None` if the
    /// server is not brittle.
    pub fn limit(&self, capacity: ServerCapacity, now: Instant) -> Option<u32> {
        let room = self.rooms.get(&capacity.server);
        // A server that has not stated anything yet is like the others of its service.
        let is_brittle = room
            .map_or_else(|| self.brittle_services.contains(&capacity.service), Room::is_brittle);
        if !is_brittle {
            return None;
        }
        if room.and_then(|room| room.closed_until).is_some_and(|until| now < until) {
            return Some(0);
        }
        let slots = f64::from(capacity.slots.max(1));
        let grown = |limit: f64, since: Instant| {
            limit + slots * GROWTH_PER_SECOND * now.saturating_duration_since(since).as_secs_f64()
        };
        let initial = (slots * INITIAL_FRACTION).max(1.0);
        let after_start = grown(initial, capacity.available_since);
        let ceiling = room.and_then(|room| room.ceiling);
        let after_rejection =
            ceiling.map_or(slots, |ceiling| grown(ceiling.limit, ceiling.rejected_at + HOLD_TIME));
        Some(slots.min(after_start).min(after_rejection) as u32)
    }

    /// Returns the number of requests that this box may have at a server; `None` if the server is
    /// not brittle.
    pub fn share(&self, capacity: ServerCapacity, now: Instant) -> Option<u32> {
        let limit = self.limit(capacity, now)?;
        let offset = offset(capacity.server);
        let shares = self.shares.get(&capacity.service).into_iter().flatten();
        Some(shares.map(|share| share.places(limit, offset)).min().unwrap_or(limit))
    }

    /// Returns how many requests each box of the region may have at brittle servers of a service.
    pub fn places(
        &self,
        service: ServiceHash,
        servers: impl Iterator<Item = ServerCapacity>,
        now: Instant,
    ) -> HashMap<u64, u32> {
        let limits: Vec<(u32, f64)> = servers
            .filter_map(|capacity| Some((self.limit(capacity, now)?, offset(capacity.server))))
            .collect();
        let places = |share: &Share| {
            limits.iter().map(|(limit, offset)| share.places(*limit, *offset)).sum()
        };
        let layout = self.layouts.get(&service).into_iter().flatten();
        layout.map(|share| (share.member, places(share))).collect()
    }

    /// Returns the services of brittle servers.
    pub fn services(&self) -> impl Iterator<Item = ServiceHash> {
        self.brittle_services.iter().copied()
    }

    /// Returns the number of brittle servers.
    pub fn len(&self) -> usize {
        self.rooms.values().filter(|room| room.is_brittle()).count()
    }

    /// Removes expired statements.
    pub fn expire(&mut self, now: Instant) {
        let before = self.rooms.len();
        self.rooms.retain(|_, room| !room.is_expired(now));
        if self.rooms.len() < before {
            self.update_services();
        }
    }

    /// Recomputes the shares, of which `own` is that of this box. `demands` contains all boxes of the region, ordered by
    /// their hashes, each with its demand if it has reported one.
    pub fn update_shares(
        &mut self,
        service: ServiceHash,
        own: u64,
        demands: &[(u64, Option<f64>)],
        propagation_time: Duration,
        now: Instant,
    ) {
        let layout = shares_by_demand(demands, now);
        let Some(share) = layout.iter().find(|share| share.member == own).copied() else { return };
        self.layouts.insert(service, layout);
        let shares = self.shares.entry(service).or_default();
        let delay = MIN_SHARE_DELAY.max(propagation_time * 3);
        while shares.get(1).is_some_and(|next| now >= next.since + delay) {
            shares.pop_front();
        }
        shares.push_back(share);
    }

    /// Composes the rooms for the next report, at most `max_count`.
    pub fn next_rooms(&mut self, max_count: usize, now: Instant) -> Vec<ServerRoom> {
        let due = self.rooms.iter_mut().filter(|(_, room)| room.reports_left > 0);
        due.take(max_count)
            .map(|(server, room)| {
                room.reports_left -= 1;
                server_room(*server, room, now)
            })
            .collect()
    }

    /// Composes all brittle rooms for a box that has just started, at most `max_count`.
    pub fn all(&self, max_count: usize, now: Instant) -> Vec<ServerRoom> {
        let brittle = self.rooms.iter().filter(|(_, room)| room.is_brittle());
        brittle.take(max_count).map(|(server, room)| server_room(*server, room, now)).collect()
    }

    /// Merges a room that another box reports. Returns whether this box had not known that the
    /// server is brittle.
    pub fn merge(&mut self, reported: &ServerRoom, reports: u32, now: Instant) -> bool {
        let ago = |millis: u32| now.checked_sub(Duration::from_millis(millis.into()));
        let Some(at) = ago(reported.said_ms) else { return false };
        let ServerRoom { server, service, max_rejections, .. } = *reported;
        let current = self.rooms.get(&server).map(|room| room.stated);
        let is_known = current.is_some_and(|current| {
            current.max_rejections == max_rejections && at < current.at + MIN_REPORT_GAP
        });
        let is_news = !is_known
            && self.update_statement(server, service, Statement { max_rejections, at }, reports);
        let Some(room) = self.rooms.get_mut(&server).filter(|room| room.is_brittle()) else {
            return is_news;
        };
        if let Some((limit, rejected_at)) = reported.limit.zip(ago(reported.rejected_ms)) {
            room.merge_ceiling(Ceiling { limit: f64::from(limit), rejected_at });
        }
        if reported.closed_ms > 0 {
            let closed = Duration::from_millis(reported.closed_ms.into()).min(REJECTION_WINDOW);
            room.closed_until = room.closed_until.max(Some(now + closed));
        }
        is_news
    }
}

impl Room {
    /// Takes over the limit after a rejection that another box has seen.
    fn merge_ceiling(&mut self, reported: Ceiling) {
        let is_taken = self.ceiling.is_none_or(|own| {
            reported.rejected_at > own.rejected_at + MIN_REPORT_GAP
                || (reported.rejected_at + MIN_REPORT_GAP > own.rejected_at
                    && reported.limit < own.limit)
        });
        if is_taken {
            self.ceiling = Some(reported);
        }
    }
}

/// Lays out the boxes in proportion to their demand. A box that has reported none is assumed to have
/// the mean demand.
fn shares_by_demand(demands: &[(u64, Option<f64>)], now: Instant) -> Vec<Share> {
    let known: Vec<f64> = demands.iter().filter_map(|(_, demand)| *demand).collect();
    let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
    let total = mean * demands.len() as f64;
    let even = 1.0 / demands.len().max(1) as f64;
    let mut end = 0.0;
    let mut shares: Vec<Share> = Vec::with_capacity(demands.len());
    for (member, demand) in demands {
        let by_demand = if total > 0.0 { demand.unwrap_or(mean) / total } else { even };
        let start = end;
        end += EVEN_SHARE * even + (1.0 - EVEN_SHARE) * by_demand;
        shares.push(Share { member: *member, start, end, since: now });
    }
    // The sum may differ from 1 by rounding.
    shares.iter_mut().last().into_iter().for_each(|share| share.end = 1.0);
    shares
}

/// Position of the first place of a server, from 0 to 1.
fn offset(server: ServerIncarnation) -> f64 {
    server as f64 / u64::MAX as f64
}

fn server_room(server: ServerIncarnation, room: &Room, now: Instant) -> ServerRoom {
    let millis_since = |at: Instant| {
        u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
    };
    let closed = room.closed_until.map(|until| until.saturating_duration_since(now));
    ServerRoom {
        server,
        service: room.service,
        max_rejections: room.stated.max_rejections,
        said_ms: millis_since(room.stated.at),
        limit: room.ceiling.map(|ceiling| ceiling.limit as u32),
        rejected_ms: room.ceiling.map_or(0, |ceiling| millis_since(ceiling.rejected_at)),
        closed_ms: closed.map_or(0, |closed| closed.as_millis() as u32),
    }
}

//! Messages between boxes.
//!
//! [`wire`] is made from `proto/peer.proto` and committed, so that the build
//! needs no generator (`docs/design/peer-protocol.md` says how to make it
//! again). The checked types are here; what comes from the wire passes through
//! their `TryFrom`.

use std::net::SocketAddr;
use std::time::Duration;

use super::BoxId;
use super::Incarnation;
use super::NameHash;
use super::RegionId;
use super::Version;
use super::name_hash;

/// Generated code.
#[allow(missing_docs, clippy::all)]
pub mod wire {
    include!("generated/peer.rs");
}

/// Most members in one heartbeat.
pub const MAX_MEMBERS: usize = 64;
/// Most counters in one heartbeat.
pub const MAX_BEATS: usize = 512;
/// Most server reports in one heartbeat.
pub const MAX_REPORTS: usize = 128;
/// Oldest report that is taken in.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(60);
/// Longest name on the wire, bytes.
pub const MAX_NAME: usize = 128;
/// Header of the shared secret on every call between boxes.
pub const SECRET_HEADER: &str = "copperweir-peer-secret";

/// What a box is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// No configuration yet.
    Starting,
    /// Takes requests.
    Serving,
    /// Finishes what it has.
    Leaving,
    /// Does not answer calls, as somebody else found.
    Dead,
}

/// What a box says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name.
    pub name: BoxId,
    /// Region.
    pub region: RegionId,
    /// Failure domain.
    pub failure_domain: String,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where boxes reach it.
    pub peer_address: SocketAddr,
    /// Drawn at its start.
    pub incarnation: Incarnation,
    /// Grows by one with each of its heartbeats.
    pub beat: u32,
    /// Phase.
    pub phase: Phase,
    /// Configuration in force on it.
    pub version: Version,
    /// Requests in progress on it.
    pub in_flight: u32,
    /// Boxes that it knows in its region, itself among them.
    pub region_boxes: u32,
}

impl Member {
    /// Stands for the member and its incarnation in [`Beat`]s.
    pub fn id(&self) -> MemberId {
        name_hash(&format!("{}/{}", self.name, self.incarnation))
    }
}

/// Hash of a member's name and incarnation.
pub type MemberId = NameHash;

/// Word that a member was alive when its counter stood there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Beat {
    /// Member.
    pub member: MemberId,
    /// Its counter.
    pub beat: u32,
}

/// What is known of a backend server's load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerReport {
    /// Server.
    pub server: NameHash,
    /// Requests on it, its queue included.
    pub load: u32,
    /// Whether it answered.
    pub reachable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether this is word of the platform's list, which says nothing of load.
    pub listed: bool,
    /// Age when sent.
    pub age: Duration,
}

/// A message that is not what it should be.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("peer message: field {0} is missing or malformed")]
pub struct Malformed(pub &'static str);

fn name(text: String, field: &'static str) -> Result<String, Malformed> {
    if text.is_empty() || text.len() > MAX_NAME {
        return Err(Malformed(field));
    }
    Ok(text)
}

impl TryFrom<wire::Member> for Member {
    type Error = Malformed;

    fn try_from(raw: wire::Member) -> Result<Member, Malformed> {
        Ok(Member {
            phase: phase(raw.phase()),
            name: name(raw.name, "name")?,
            region: name(raw.region, "region")?,
            failure_domain: name(raw.failure_domain, "failure_domain")?,
            caller_address: raw.caller_address.parse().map_err(|_| Malformed("caller_address"))?,
            peer_address: raw.peer_address.parse().map_err(|_| Malformed("peer_address"))?,
            incarnation: raw.incarnation,
            beat: raw.beat,
            version: raw.configuration_version,
            in_flight: raw.in_flight,
            region_boxes: raw.region_boxes,
        })
    }
}

fn phase(raw: wire::Phase) -> Phase {
    match raw {
        wire::Phase::Starting => Phase::Starting,
        wire::Phase::Serving => Phase::Serving,
        wire::Phase::Leaving => Phase::Leaving,
        wire::Phase::Dead => Phase::Dead,
    }
}

impl From<&Member> for wire::Member {
    fn from(member: &Member) -> wire::Member {
        let phase = match member.phase {
            Phase::Starting => wire::Phase::Starting,
            Phase::Serving => wire::Phase::Serving,
            Phase::Leaving => wire::Phase::Leaving,
            Phase::Dead => wire::Phase::Dead,
        };
        wire::Member {
            name: member.name.clone(),
            region: member.region.clone(),
            failure_domain: member.failure_domain.clone(),
            caller_address: member.caller_address.to_string(),
            peer_address: member.peer_address.to_string(),
            incarnation: member.incarnation,
            beat: member.beat,
            phase: phase.into(),
            configuration_version: member.version,
            in_flight: member.in_flight,
            region_boxes: member.region_boxes,
        }
    }
}

const REACHABLE: u32 = 1;
const LEAVING: u32 = 2;
const LISTED: u32 = 4;

fn reports(raw: &wire::ServerReports) -> Result<Vec<ServerReport>, Malformed> {
    let rows = raw.server.len();
    let columns = [raw.load.len(), raw.flags.len(), raw.age_ms.len()];
    if rows > MAX_REPORTS || columns.iter().any(|column| *column != rows) {
        return Err(Malformed("servers"));
    }
    let report = |row: usize| ServerReport {
        server: raw.server[row],
        load: raw.load[row],
        reachable: raw.flags[row] & REACHABLE != 0,
        leaving: raw.flags[row] & LEAVING != 0,
        listed: raw.flags[row] & LISTED != 0,
        age: Duration::from_millis(raw.age_ms[row].into()),
    };
    let reports = (0..rows).map(report);
    Ok(reports.filter(|report| report.age <= MAX_REPORT_AGE).collect())
}

fn wire_reports(reports: &[ServerReport]) -> wire::ServerReports {
    let flags = |report: &ServerReport| {
        let set = |flag: u32, on: bool| if on { flag } else { 0 };
        set(REACHABLE, report.reachable) | set(LEAVING, report.leaving) | set(LISTED, report.listed)
    };
    let age = |report: &ServerReport| report.age.as_millis().try_into().unwrap_or(u32::MAX);
    wire::ServerReports {
        server: reports.iter().map(|report| report.server).collect(),
        load: reports.iter().map(|report| report.load).collect(),
        flags: reports.iter().map(flags).collect(),
        age_ms: reports.iter().map(age).collect(),
    }
}

fn beats(raw: Option<wire::Beats>) -> Result<Vec<Beat>, Malformed> {
    let raw = raw.unwrap_or_default();
    if raw.member.len() > MAX_BEATS || raw.member.len() != raw.beat.len() {
        return Err(Malformed("beats"));
    }
    let beats = raw.member.into_iter().zip(raw.beat);
    Ok(beats.map(|(member, beat)| Beat { member, beat }).collect())
}

fn wire_beats(beats: &[Beat]) -> Option<wire::Beats> {
    (!beats.is_empty()).then(|| wire::Beats {
        member: beats.iter().map(|beat| beat.member).collect(),
        beat: beats.iter().map(|beat| beat.beat).collect(),
    })
}

fn demands(raw: Option<wire::Demands>) -> Result<Vec<Demand>, Malformed> {
    let raw = raw.unwrap_or_default();
    let rows = raw.team.len();
    if rows > MAX_REPORTS || rows != raw.requests_per_minute.len() {
        return Err(Malformed("demands"));
    }
    let demands = raw.team.into_iter().zip(raw.requests_per_minute);
    Ok(demands.map(|(team, requests_per_minute)| Demand { team, requests_per_minute }).collect())
}

/// A checked heartbeat.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// Who sent it.
    pub sender: Member,
    /// Records that the receiver may not have.
    pub members: Vec<Member>,
    /// Live members of the sender's region.
    pub same_region: Vec<Beat>,
    /// Live members of other regions.
    pub other_regions: Vec<Beat>,
    /// Members whose records the sender lacks.
    pub requested: Vec<MemberId>,
    /// Load of backend servers in the sender's region.
    pub reports: Vec<ServerReport>,
    /// Slots lent to the receiver's region.
    pub credits: Vec<Credit>,
    /// The sender's demand by team.
    pub demands: Vec<Demand>,
}

/// Slots of a pool that one region lends to another for a while.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Credit {
    /// Pool.
    pub pool: String,
    /// Slots.
    pub slots: u32,
    /// How long they hold.
    pub ttl: Duration,
}

/// Requests of a team on one box.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Team.
    pub team: NameHash,
    /// Requests a minute.
    pub requests_per_minute: u32,
}

impl TryFrom<wire::Heartbeat> for Heartbeat {
    type Error = Malformed;

    fn try_from(raw: wire::Heartbeat) -> Result<Heartbeat, Malformed> {
        if raw.members.len() > MAX_MEMBERS {
            return Err(Malformed("members"));
        }
        if raw.wanted.len() > MAX_BEATS {
            return Err(Malformed("wanted"));
        }
        Ok(Heartbeat {
            sender: raw.sender.ok_or(Malformed("sender"))?.try_into()?,
            members: raw.members.into_iter().map(Member::try_from).collect::<Result<_, _>>()?,
            same_region: beats(raw.near)?,
            other_regions: beats(raw.far)?,
            requested: raw.wanted,
            reports: reports(&raw.servers.unwrap_or_default())?,
            credits: raw.credits.into_iter().take(MAX_REPORTS).map(Credit::from).collect(),
            demands: demands(raw.demands)?,
        })
    }
}

impl From<&Heartbeat> for wire::Heartbeat {
    fn from(heartbeat: &Heartbeat) -> wire::Heartbeat {
        let demands = &heartbeat.demands;
        wire::Heartbeat {
            sender: Some((&heartbeat.sender).into()),
            members: heartbeat.members.iter().map(Into::into).collect(),
            near: wire_beats(&heartbeat.same_region),
            far: wire_beats(&heartbeat.other_regions),
            wanted: heartbeat.requested.clone(),
            servers: (!heartbeat.reports.is_empty()).then(|| wire_reports(&heartbeat.reports)),
            credits: heartbeat.credits.iter().map(Into::into).collect(),
            demands: (!demands.is_empty()).then(|| wire::Demands {
                team: demands.iter().map(|demand| demand.team).collect(),
                requests_per_minute: demands
                    .iter()
                    .map(|demand| demand.requests_per_minute)
                    .collect(),
            }),
        }
    }
}

impl From<wire::Credit> for Credit {
    fn from(raw: wire::Credit) -> Credit {
        Credit { pool: raw.pool, slots: raw.slots, ttl: Duration::from_millis(raw.life_ms.into()) }
    }
}

impl From<&Credit> for wire::Credit {
    fn from(credit: &Credit) -> wire::Credit {
        wire::Credit {
            pool: credit.pool.clone(),
            slots: credit.slots,
            life_ms: credit.ttl.as_millis().try_into().unwrap_or(u32::MAX),
        }
    }
}

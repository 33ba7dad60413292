//! Messages between boxes.
//!
//! [`wire`] is generated from `proto/peer.proto` and committed, so that the build needs no code
//! generator (`docs/design/peer-protocol.md` says how to regenerate it). The validated types are in
//! this module; messages from the network are converted by their `TryFrom`.

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

/// Maximum number of member records in one heartbeat.
pub const MAX_MEMBERS: usize = 64;
/// Maximum number of heartbeat counters in one heartbeat.
pub const MAX_BEATS: usize = 512;
/// Maximum number of server reports in one heartbeat.
pub const MAX_REPORTS: usize = 128;
/// Maximum number of crashes, and of verdicts, in one heartbeat.
pub const MAX_CRASHES: usize = 256;
/// Maximum age of a report that is accepted.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(60);
/// Maximum length of a name in a message.
pub const MAX_NAME_BYTES: usize = 128;
/// The header with the shared secret, sent on every call between boxes.
pub const SECRET_HEADER: &str = "copperweir-peer-secret";

/// The lifecycle phase of a box.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The box has no configuration yet.
    Starting,
    /// The box accepts requests.
    Serving,
    /// The box completes its requests before it stops.
    Leaving,
    /// Another box found that this box does not respond to calls.
    Dead,
}

/// The membership record of a box.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The name.
    pub name: BoxId,
    /// The region.
    pub region: RegionId,
    /// The failure domain.
    pub failure_domain: String,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for other boxes.
    pub peer_address: SocketAddr,
    /// A random number, drawn at the start of the box.
    pub incarnation: Incarnation,
    /// The heartbeat counter of the box, which each of its heartbeats increments.
    pub beat: u32,
    /// The phase.
    pub phase: Phase,
    /// The version of the configuration in force on the box.
    pub configuration_version: Version,
    /// The number of requests in progress on the box.
    pub in_flight: u32,
    /// The number of live boxes of its region in its own view, including itself.
    pub region_boxes: u32,
}

impl Member {
    /// Returns the ID that stands for the member and its incarnation in [`Beat`]s.
    pub fn id(&self) -> MemberId {
        name_hash(&format!("{}/{}", self.name, self.incarnation))
    }
}

/// The hash of a member's name and incarnation.
pub type MemberId = NameHash;

/// The heartbeat counter of a member: evidence that the member was alive when the counter had this
/// value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Beat {
    /// The member.
    pub member: MemberId,
    /// The member's heartbeat counter.
    pub beat: u32,
}

/// A report on the load and state of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerReport {
    /// The hash of the server's name.
    pub server: NameHash,
    /// The number of requests on the server, including those in its queue.
    pub load: u32,
    /// Whether the server responded.
    pub reachable: bool,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Whether the report comes from the platform's list, which contains no load.
    pub listed: bool,
    /// The age of the report when it was sent.
    pub age: Duration,
}

/// An error for a malformed message; names the field.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("peer message: field {0} is missing or malformed")]
pub struct MalformedField(pub &'static str);

fn parse_name(text: String, field: &'static str) -> Result<String, MalformedField> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(MalformedField(field));
    }
    Ok(text)
}

impl TryFrom<wire::Member> for Member {
    type Error = MalformedField;

    fn try_from(raw: wire::Member) -> Result<Member, MalformedField> {
        Ok(Member {
            phase: parse_phase(raw.phase()),
            name: parse_name(raw.name, "name")?,
            region: parse_name(raw.region, "region")?,
            failure_domain: parse_name(raw.failure_domain, "failure_domain")?,
            caller_address: raw
                .caller_address
                .parse()
                .map_err(|_| MalformedField("caller_address"))?,
            peer_address: raw.peer_address.parse().map_err(|_| MalformedField("peer_address"))?,
            incarnation: raw.incarnation,
            beat: raw.beat,
            configuration_version: raw.configuration_version,
            in_flight: raw.in_flight,
            region_boxes: raw.region_boxes,
        })
    }
}

fn parse_phase(raw: wire::Phase) -> Phase {
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
            configuration_version: member.configuration_version,
            in_flight: member.in_flight,
            region_boxes: member.region_boxes,
        }
    }
}

// Bits of `wire::ServerReports::flags`.
const FLAG_REACHABLE: u32 = 1;
const FLAG_LEAVING: u32 = 2;
const FLAG_LISTED: u32 = 4;

/// Parses reports and drops those older than [`MAX_REPORT_AGE`].
fn parse_reports(raw: &wire::ServerReports) -> Result<Vec<ServerReport>, MalformedField> {
    let rows = raw.server.len();
    let columns = [raw.load.len(), raw.flags.len(), raw.age_ms.len()];
    if rows > MAX_REPORTS || columns.iter().any(|column| *column != rows) {
        return Err(MalformedField("servers"));
    }
    let report = |row: usize| ServerReport {
        server: raw.server[row],
        load: raw.load[row],
        reachable: raw.flags[row] & FLAG_REACHABLE != 0,
        leaving: raw.flags[row] & FLAG_LEAVING != 0,
        listed: raw.flags[row] & FLAG_LISTED != 0,
        age: Duration::from_millis(raw.age_ms[row].into()),
    };
    let reports = (0..rows).map(report);
    Ok(reports.filter(|report| report.age <= MAX_REPORT_AGE).collect())
}

fn encode_reports(reports: &[ServerReport]) -> wire::ServerReports {
    let flags = |report: &ServerReport| {
        let set = |flag: u32, on: bool| if on { flag } else { 0 };
        set(FLAG_REACHABLE, report.reachable)
            | set(FLAG_LEAVING, report.leaving)
            | set(FLAG_LISTED, report.listed)
    };
    let age = |report: &ServerReport| report.age.as_millis().try_into().unwrap_or(u32::MAX);
    wire::ServerReports {
        server: reports.iter().map(|report| report.server).collect(),
        load: reports.iter().map(|report| report.load).collect(),
        flags: reports.iter().map(flags).collect(),
        age_ms: reports.iter().map(age).collect(),
    }
}

fn parse_beats(raw: Option<wire::Beats>) -> Result<Vec<Beat>, MalformedField> {
    let raw = raw.unwrap_or_default();
    if raw.member.len() > MAX_BEATS || raw.member.len() != raw.beat.len() {
        return Err(MalformedField("beats"));
    }
    let beats = raw.member.into_iter().zip(raw.beat);
    Ok(beats.map(|(member, beat)| Beat { member, beat }).collect())
}

fn encode_beats(beats: &[Beat]) -> Option<wire::Beats> {
    (!beats.is_empty()).then(|| wire::Beats {
        member: beats.iter().map(|beat| beat.member).collect(),
        beat: beats.iter().map(|beat| beat.beat).collect(),
    })
}

fn parse_demands(raw: Option<wire::Demands>) -> Result<Vec<Demand>, MalformedField> {
    let raw = raw.unwrap_or_default();
    let rows = raw.team.len();
    if rows > MAX_REPORTS || rows != raw.requests_per_minute.len() {
        return Err(MalformedField("demands"));
    }
    let demands = raw.team.into_iter().zip(raw.requests_per_minute);
    Ok(demands.map(|(team, requests_per_minute)| Demand { team, requests_per_minute }).collect())
}

/// A validated heartbeat.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// The sender.
    pub sender: Member,
    /// Member records that the receiver may not have.
    pub members: Vec<Member>,
    /// Live members of the sender's region.
    pub same_region: Vec<Beat>,
    /// Live members of other regions.
    pub other_regions: Vec<Beat>,
    /// Members whose records the sender lacks.
    pub requested: Vec<MemberId>,
    /// Reports on backend servers of the sender's region.
    pub reports: Vec<ServerReport>,
    /// Slots that are lent to the receiver's region.
    pub credits: Vec<Credit>,
    /// The demand of each team on the sender.
    pub demands: Vec<Demand>,
    /// Recent crashes of servers.
    pub crashes: Vec<Crash>,
    /// Requests that are refused because they crash servers.
    pub verdicts: Vec<Verdict>,
}

/// Crash of a server while it executed a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The hash of the request's content.
    pub content: u64,
    /// The hash of the caller.
    pub caller: u64,
    /// The hash of the server's name.
    pub server: NameHash,
    /// Time since the request was sent to the server.
    pub sent_age: Duration,
    /// Time since the response broke off.
    pub age: Duration,
}

/// Verdict on a request that crashes servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// The hash of the content.
    pub content: u64,
    /// The hash of the caller; `None` if requests of all callers are refused.
    pub caller: Option<u64>,
    /// How much longer the request is refused; zero if it succeeded and is not the cause.
    pub time_left: Duration,
}

/// Slots of a pool that one region lends to another for a limited time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Credit {
    /// The name of the pool.
    pub pool: String,
    /// The number of slots.
    pub slots: u32,
    /// How long the slots may be used.
    pub ttl: Duration,
}

/// The request rate of a team on one box.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// The hash of the team's name.
    pub team: NameHash,
    /// Requests per minute.
    pub requests_per_minute: u32,
}

impl TryFrom<wire::Heartbeat> for Heartbeat {
    type Error = MalformedField;

    fn try_from(raw: wire::Heartbeat) -> Result<Heartbeat, MalformedField> {
        if raw.members.len() > MAX_MEMBERS {
            return Err(MalformedField("members"));
        }
        if raw.wanted.len() > MAX_BEATS {
            return Err(MalformedField("wanted"));
        }
        Ok(Heartbeat {
            sender: raw.sender.ok_or(MalformedField("sender"))?.try_into()?,
            members: raw.members.into_iter().map(Member::try_from).collect::<Result<_, _>>()?,
            same_region: parse_beats(raw.near)?,
            other_regions: parse_beats(raw.far)?,
            requested: raw.wanted,
            reports: parse_reports(&raw.servers.unwrap_or_default())?,
            credits: raw.credits.into_iter().take(MAX_REPORTS).map(Credit::from).collect(),
            demands: parse_demands(raw.demands)?,
            crashes: raw.crashes.into_iter().take(MAX_CRASHES).map(Crash::from).collect(),
            verdicts: raw.verdicts.into_iter().take(MAX_CRASHES).map(Verdict::from).collect(),
        })
    }
}

impl From<&Heartbeat> for wire::Heartbeat {
    fn from(heartbeat: &Heartbeat) -> wire::Heartbeat {
        let demands = &heartbeat.demands;
        wire::Heartbeat {
            sender: Some((&heartbeat.sender).into()),
            members: heartbeat.members.iter().map(Into::into).collect(),
            near: encode_beats(&heartbeat.same_region),
            far: encode_beats(&heartbeat.other_regions),
            wanted: heartbeat.requested.clone(),
            servers: (!heartbeat.reports.is_empty()).then(|| encode_reports(&heartbeat.reports)),
            credits: heartbeat.credits.iter().map(Into::into).collect(),
            demands: (!demands.is_empty()).then(|| wire::Demands {
                team: demands.iter().map(|demand| demand.team).collect(),
                requests_per_minute: demands
                    .iter()
                    .map(|demand| demand.requests_per_minute)
                    .collect(),
            }),
            crashes: heartbeat.crashes.iter().map(Into::into).collect(),
            verdicts: heartbeat.verdicts.iter().map(Into::into).collect(),
        }
    }
}

fn to_millis(time: Duration) -> u32 {
    time.as_millis().try_into().unwrap_or(u32::MAX)
}

impl From<wire::Crash> for Crash {
    fn from(raw: wire::Crash) -> Crash {
        Crash {
            content: raw.content,
            caller: raw.caller,
            server: raw.server,
            sent_age: Duration::from_millis(raw.sent_ms.into()),
            age: Duration::from_millis(raw.ended_ms.into()),
        }
    }
}

impl From<&Crash> for wire::Crash {
    fn from(crash: &Crash) -> wire::Crash {
        let Crash { content, caller, server, sent_age, age } = *crash;
        let (sent_ms, ended_ms) = (to_millis(sent_age), to_millis(age));
        wire::Crash { content, caller, server, sent_ms, ended_ms }
    }
}

impl From<wire::Verdict> for Verdict {
    fn from(raw: wire::Verdict) -> Verdict {
        let time_left = Duration::from_millis(raw.left_ms.into());
        Verdict { content: raw.content, caller: raw.caller, time_left }
    }
}

impl From<&Verdict> for wire::Verdict {
    fn from(verdict: &Verdict) -> wire::Verdict {
        let Verdict { content, caller, time_left } = *verdict;
        wire::Verdict { content, caller, left_ms: to_millis(time_left) }
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

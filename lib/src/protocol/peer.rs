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
use super::RegionId;
use super::ServerId;
use super::Version;

/// Generated code.
#[allow(missing_docs, clippy::all)]
pub mod wire {
    include!("generated/peer.rs");
}

/// Most members in one heartbeat.
pub const MAX_MEMBERS: usize = 64;
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
    pub callers: SocketAddr,
    /// Where boxes reach it.
    pub peers: SocketAddr,
    /// Drawn at its start.
    pub incarnation: Incarnation,
    /// Grows by one with each of its heartbeats.
    pub beat: u64,
    /// Phase.
    pub phase: Phase,
    /// Configuration in force on it.
    pub version: Version,
    /// Requests in progress on it.
    pub in_flight: u32,
}

/// What is known of a backend server's load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Server.
    pub server: ServerId,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub queued: u32,
    /// Whether it answered.
    pub reachable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
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
            callers: raw.caller_address.parse().map_err(|_| Malformed("caller_address"))?,
            peers: raw.peer_address.parse().map_err(|_| Malformed("peer_address"))?,
            incarnation: raw.incarnation,
            beat: raw.beat,
            version: raw.configuration_version,
            in_flight: raw.in_flight,
        })
    }
}

fn phase(raw: wire::Phase) -> Phase {
    match raw {
        wire::Phase::Starting => Phase::Starting,
        wire::Phase::Serving => Phase::Serving,
        wire::Phase::Leaving => Phase::Leaving,
    }
}

impl From<&Member> for wire::Member {
    fn from(member: &Member) -> wire::Member {
        let phase = match member.phase {
            Phase::Starting => wire::Phase::Starting,
            Phase::Serving => wire::Phase::Serving,
            Phase::Leaving => wire::Phase::Leaving,
        };
        wire::Member {
            name: member.name.clone(),
            region: member.region.clone(),
            failure_domain: member.failure_domain.clone(),
            caller_address: member.callers.to_string(),
            peer_address: member.peers.to_string(),
            incarnation: member.incarnation,
            beat: member.beat,
            phase: phase.into(),
            configuration_version: member.version,
            in_flight: member.in_flight,
        }
    }
}

impl TryFrom<wire::ServerReport> for Report {
    type Error = Malformed;

    fn try_from(raw: wire::ServerReport) -> Result<Report, Malformed> {
        let age = Duration::from_millis(raw.age_ms.into());
        if age > MAX_REPORT_AGE {
            return Err(Malformed("age_ms"));
        }
        Ok(Report {
            server: name(raw.server, "server")?,
            running: raw.running,
            queued: raw.queued,
            reachable: raw.reachable,
            leaving: raw.leaving,
            age,
        })
    }
}

impl From<&Report> for wire::ServerReport {
    fn from(report: &Report) -> wire::ServerReport {
        wire::ServerReport {
            server: report.server.clone(),
            running: report.running,
            queued: report.queued,
            reachable: report.reachable,
            leaving: report.leaving,
            age_ms: report.age.as_millis().try_into().unwrap_or(u32::MAX),
        }
    }
}

/// A checked heartbeat.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// Who sent it.
    pub sender: Member,
    /// Others that the sender heard of.
    pub members: Vec<Member>,
    /// Load of backend servers in the sender's region.
    pub reports: Vec<Report>,
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
    pub life: Duration,
}

/// Requests of a team on one box.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Team.
    pub team: String,
    /// Requests a minute.
    pub per_minute: u32,
}

impl TryFrom<wire::Heartbeat> for Heartbeat {
    type Error = Malformed;

    fn try_from(raw: wire::Heartbeat) -> Result<Heartbeat, Malformed> {
        if raw.members.len() > MAX_MEMBERS {
            return Err(Malformed("members"));
        }
        if raw.servers.len() > MAX_REPORTS {
            return Err(Malformed("servers"));
        }
        let sender = raw.sender.ok_or(Malformed("sender"))?.try_into()?;
        let members = raw.members.into_iter().map(Member::try_from).collect::<Result<_, _>>()?;
        let reports = raw.servers.into_iter().map(Report::try_from).collect::<Result<_, _>>()?;
        let credits = raw.credits.into_iter().take(MAX_REPORTS).map(Credit::from).collect();
        let demands = raw.demands.into_iter().take(MAX_REPORTS).map(Demand::from).collect();
        Ok(Heartbeat { sender, members, reports, credits, demands })
    }
}

impl From<&Heartbeat> for wire::Heartbeat {
    fn from(heartbeat: &Heartbeat) -> wire::Heartbeat {
        wire::Heartbeat {
            sender: Some((&heartbeat.sender).into()),
            members: heartbeat.members.iter().map(Into::into).collect(),
            servers: heartbeat.reports.iter().map(Into::into).collect(),
            credits: heartbeat.credits.iter().map(Into::into).collect(),
            demands: heartbeat.demands.iter().map(Into::into).collect(),
        }
    }
}

impl From<wire::Credit> for Credit {
    fn from(raw: wire::Credit) -> Credit {
        Credit { pool: raw.pool, slots: raw.slots, life: Duration::from_millis(raw.life_ms.into()) }
    }
}

impl From<&Credit> for wire::Credit {
    fn from(credit: &Credit) -> wire::Credit {
        wire::Credit {
            pool: credit.pool.clone(),
            slots: credit.slots,
            life_ms: credit.life.as_millis().try_into().unwrap_or(u32::MAX),
        }
    }
}

impl From<wire::Demand> for Demand {
    fn from(raw: wire::Demand) -> Demand {
        Demand { team: raw.team, per_minute: raw.requests_per_minute }
    }
}

impl From<&Demand> for wire::Demand {
    fn from(demand: &Demand) -> wire::Demand {
        wire::Demand { team: demand.team.clone(), requests_per_minute: demand.per_minute }
    }
}

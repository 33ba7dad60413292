//! Moves the traffic of a service to servers of another version, in stages.
//!
//! The operator orders an upgrade, and the platform starts servers of the target version beside the
//! others. A [`Plan`] in the store says which share of the requests goes to them. Every box follows
//! the newest plan that it knows; no request costs a call. The boxes count how the servers of both
//! versions respond and send the counts to a few judges, one box in each region. Any judge may write
//! the next stage, on the condition that the plan in the store is unchanged, so that two judges that
//! disagree can't both succeed and a judge that is gone holds nothing up.
//!
//! The stages answer two loads. The small share of [`Stage::Canary`] limits how many requests reach
//! a version that fails from the start. [`Stage::Ramp`] and [`Stage::Full`] are short, so that a
//! version that fails only under load, or late, has few requests before it is rolled back.
//!
//! [`history::History`] distinguishes a version that is slow under its full load from a load burst.
//!
//! An upgrade succeeds once every box has confirmed that it sends nothing to the other versions and
//! has no request in progress there, because the platform then stops those servers at once.

pub mod confirmations;
pub mod evidence;
pub mod history;
pub mod plan;
mod service;
pub mod table;
pub mod wire;

pub use self::plan::Plan;
pub use self::plan::PlanId;
pub use self::plan::Stage;
pub use self::table::Upgrades;

use crate::protocol::fleet::BoxRecord;
use crate::protocol::fleet::ServerVersion;

use super::presence;
use super::rendezvous;

/// What a server of a service with an upgrade may get.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Requests, like a server of a service without an upgrade.
    #[default]
    Serving,
    /// The share of the requests that the plan gives to the target version; all of them if no other
    /// version is left.
    Canary,
    /// No requests: the target version has taken over. It serves again if it is the only version
    /// that is left.
    Retired,
    /// No requests: the version was rolled back. It serves if the service has no servers of another
    /// version, whether they are usable or not.
    Rejected,
}

/// The versions of a service and their roles. The default gives every version the same role.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Versions {
    /// The version that gets a share of the requests.
    pub canary: Option<ServerVersion>,
    /// The share of the canary version, 0 to 1.
    pub canary_share: f64,
    /// The version that has taken over all requests; any version that is not known to be older
    /// serves beside it.
    pub promoted: Option<ServerVersion>,
    /// Versions that were replaced.
    pub retired: Vec<ServerVersion>,
    /// Versions that were rolled back.
    pub rejected: Vec<ServerVersion>,
    /// The plan that is in progress. Its responses are counted.
    pub plan: Option<(PlanId, ServerVersion)>,
}

impl Versions {
    /// The role of a server's version.
    pub fn role(&self, version: &str) -> Role {
        let contains = |versions: &[ServerVersion]| versions.iter().any(|other| other == version);
        if self.canary.as_deref() == Some(version) {
            Role::Canary
        } else if self.promoted.as_deref() == Some(version) {
            Role::Serving
        } else if contains(&self.rejected) {
            Role::Rejected
        } else if contains(&self.retired) {
            Role::Retired
        } else {
            Role::Serving
        }
    }
}

/// Hashes of the boxes whose confirmation a judge waits for: those that are listed in the store or
/// that it hears. The second list has those of regions of which no box is listed or heard.
pub fn boxes_to_confirm(
    listed: &[BoxRecord],
    expired: &[BoxRecord],
    own_record: &BoxRecord,
    is_heard: impl Fn(&BoxRecord) -> bool,
) -> (Vec<u64>, Vec<u64>) {
    let heard = expired.iter().filter(|record| is_heard(record));
    let known: Vec<&BoxRecord> = listed.iter().chain(heard).collect();
    let is_known = |record: &BoxRecord| {
        let mut known = known.iter().copied().chain([own_record]);
        known.any(|other| other.region == record.region)
    };
    let cut_off = expired.iter().filter(|record| !record.leaving && !is_known(record));
    let hash = |record: &BoxRecord| presence::box_hash(&record.name);
    (known.iter().map(|record| hash(record)).collect(), cut_off.map(hash).collect())
}

/// The boxes that judge the upgrade of a service, most preferred first: the strongest box of each
/// region, so that judges remain if a region is lost.
pub fn judges<'a>(boxes: impl Iterator<Item = &'a BoxRecord>, service: &str) -> Vec<&'a BoxRecord> {
    let rank = |record: &BoxRecord| {
        (
            record.weight,
            rendezvous::mix(presence::box_hash(&record.name), plan::service_key(service)),
        )
    };
    let mut judges: Vec<&BoxRecord> = Vec::new();
    for record in boxes.filter(|record| !record.leaving) {
        match judges.iter_mut().find(|judge| judge.region == record.region) {
            Some(judge) if rank(judge) >= rank(record) => {}
            Some(judge) => *judge = record,
            None => judges.push(record),
        }
    }
    judges.sort_by(|one, other| rank(other).partial_cmp(&rank(one)).expect("weights are numbers"));
    judges
}

//! Admits callers' requests by the limits of their teams. The box that receives the request from
//! the caller decides; a box that it is forwarded to relies on that decision.

use super::job::Job;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::quota::TeamHash;
use crate::coordination::rendezvous;
use crate::error::ErrorKind;
use crate::error::Failure;
use crate::protocol::adapter::Adapter;
use crate::protocol::team::Team;
use crate::state::clock;

/// The units of a request that were charged to its team's account.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    team: TeamHash,
    cost: f64,
}

/// Hash that identifies a team in accounts and datagrams.
pub fn team_hash(team: &Team) -> TeamHash {
    rendezvous::weight(&team.name, "")
}

/// Charges a request's cost to its team's account, if the team has a limit.
pub fn admit<A: Adapter>(shared: &Shared<A>, job: &Job) -> Result<Option<Charge>, Failure> {
    let limited = job.team.as_ref().and_then(|team| Some((team, team.limit?)));
    let Some((team, limit)) = limited.filter(|_| !job.is_from_box) else {
        return Ok(None);
    };
    let charge = Charge { team: team_hash(team), cost: limit.cost(job.metadata.tokens) };
    let admitted = lock(&shared.quotas).admit(charge.team, limit, charge.cost, clock::now());
    admitted.map(|()| Some(charge)).map_err(|refusal| {
        let message = format!(
            "team {} is over its limit of {:.0} a second: {:.0} left, {:.0} asked for a second, {:.0} by this request",
            team.name, limit.rate, refusal.remaining, refusal.demand, charge.cost,
        );
        Failure::new(ErrorKind::RateLimited, message).with_retry_after(refusal.retry_after)
    })
}

/// Refunds the charge of a request that did not run on any server.
pub fn refund<A: Adapter>(shared: &Shared<A>, charge: Option<Charge>) {
    if let Some(Charge { team, cost }) = charge {
        lock(&shared.quotas).refund(team, cost);
    }
}

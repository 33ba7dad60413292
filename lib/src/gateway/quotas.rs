//! Lets callers' requests in by the limits of their teams, at the box that they
//! asked; a box that gets a request from another one takes that box's word.

use super::job::Job;
use super::job::Origin;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::quota::TeamHash;
use crate::coordination::rendezvous;
use crate::error::Failure;
use crate::error::Kind;
use crate::protocol::adapter::Adapter;
use crate::protocol::team::Team;
use crate::state::clock;

/// What was taken from a team's account.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    team: TeamHash,
    cost: f64,
}

/// What stands for a team in accounts and datagrams.
pub fn team_hash(team: &Team) -> TeamHash {
    rendezvous::weight(&team.name, "")
}

/// Takes what a request counts as from its team's account, if it has one.
pub fn admit<A: Adapter>(shared: &Shared<A>, job: &Job) -> Result<Option<Charge>, Failure> {
    let limited = job.team.as_ref().and_then(|team| Some((team, team.limit?)));
    let Some((team, limit)) = limited.filter(|_| job.origin == Origin::Caller) else {
        return Ok(None);
    };
    let charge = Charge { team: team_hash(team), cost: limit.cost(job.ask.tokens) };
    let admitted = lock(&shared.quotas).admit(charge.team, limit, charge.cost, clock::now());
    admitted.map(|()| Some(charge)).map_err(|refusal| {
        let message = format!(
            "team {} is over its limit of {:.0} a second: {:.0} left, {:.0} asked for a second, {:.0} by this request",
            team.name, limit.rate, refusal.remaining, refusal.demand, charge.cost,
        );
        Failure::new(Kind::RateLimited, message).with_retry_after(refusal.retry_after)
    })
}

/// Gives back what was taken for a request that ran nowhere.
pub fn give_back<A: Adapter>(shared: &Shared<A>, charge: Option<Charge>) {
    if let Some(Charge { team, cost }) = charge {
        lock(&shared.quotas).refund(team, cost);
    }
}

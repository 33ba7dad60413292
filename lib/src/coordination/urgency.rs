//! Urgency of a request at the engines.
//!
//! The rank of the team comes before that of the route. Most teams have the same rank, and among
//! their requests the rank of the route decides. Without it, short prompts of 400 tokens waited
//! behind prompts of 17,000 wherever engines were scarce.

/// Number of ranks that an engine distinguishes; 0 is the most urgent.
const ENGINE_RANKS: u8 = 10;
/// Number of route ranks within one team rank; three team ranks fit.
const RANKS_PER_TEAM_RANK: u8 = 3;

/// Rank of a request that continues a stream, given the rank of its team: as the most urgent route of
/// the team. Its caller has waited before, and few servers may be left that can continue the stream.
pub fn continued_rank(team: Option<u8>) -> u8 {
    rank(team, 0)
}

/// Rank of a request, given the rank of its route and, if it has one, of its team.
pub fn rank(team: Option<u8>, route: u8) -> u8 {
    let rank = match team {
        Some(team) => team
            .saturating_mul(RANKS_PER_TEAM_RANK)
            .saturating_add(route.min(RANKS_PER_TEAM_RANK - 1)),
        None => route,
    };
    rank.min(ENGINE_RANKS - 1)
}

//! How urgent a request is to the engines.
//!
//! The rank of a team goes before that of a route. Among requests of equal teams
//! the route still decides: without that, short questions of 400 tokens waited
//! behind prompts of 17,000 wherever engines were scarce, and most teams are
//! equal.

/// Ranks that an engine tells apart, 0 the most urgent.
const ENGINE_RANKS: u8 = 10;
/// Ranks of routes within one rank of teams: three ranks of teams fit.
const RANKS_PER_TEAM_RANK: u8 = 3;

/// The rank of a request of a route, and of a team if that has one.
pub fn rank(team: Option<u8>, route: u8) -> u8 {
    let rank = match team {
        Some(team) => team
            .saturating_mul(RANKS_PER_TEAM_RANK)
            .saturating_add(route.min(RANKS_PER_TEAM_RANK - 1)),
        None => route,
    };
    rank.min(ENGINE_RANKS - 1)
}

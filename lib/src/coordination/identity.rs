//! Whose request it is: by its caller's key, or by the word of the box that its
//! caller asked.
//!
//! A box that gets a request from another one looks the key up again, so that a
//! key that was taken away opens nothing at a box that knows so, whatever the
//! first box knows. Two boxes that disagree for a moment do so by the versions of
//! their configurations: the newer one decides. Only digests of keys go from box
//! to box.

use std::sync::Arc;

use crate::error::Failure;
use crate::error::Kind;
use crate::protocol::Version;
use crate::protocol::routing::Route;
use crate::protocol::routing::Routing;
use crate::protocol::team::KeyDigest;
use crate::protocol::team::Team;

/// What a request says of its caller.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    /// Digest of the caller's key.
    pub key: Option<KeyDigest>,
    /// What another box made of it.
    pub forwarded: Option<ForwardedIdentity>,
}

/// What the box that a caller asked made of its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardedIdentity {
    /// Name of the team that holds it; `None` on routes that need no key.
    pub team: Option<String>,
    /// The configuration that it looked this up in.
    pub version: Version,
}

/// The team whose request it is; `None` where nobody needs a key. `stale` says that there may be a
/// newer configuration, with keys that this one lacks: who brings such a key is asked to come back
/// instead of being told that there is no such key.
pub fn resolve_team(
    claim: &Credentials,
    routing: &Routing,
    route: &Route,
    stale: bool,
) -> Result<Option<Arc<Team>>, Failure> {
    if let Some(checked) = claim.forwarded.as_ref().filter(|it| it.version > routing.version) {
        return Ok(checked.team.as_deref().map(|name| by_name(routing, name)));
    }
    let Some(teams) = &routing.teams else { return Ok(None) };
    let holder = claim.key.and_then(|key| teams.holder(&key));
    match (holder, claim.key) {
        (Some(team), _) => Ok(Some(Arc::clone(team))),
        (None, _) if route.anonymous => Ok(None),
        (None, None) => {
            Err(Failure::new(Kind::Unauthorized, "expected Authorization: Bearer <key>"))
        }
        (None, Some(_)) if stale => {
            let message = "the key is not known here, and the configuration may be an older one";
            Err(Failure::new(Kind::Behind, message))
        }
        (None, Some(_)) => Err(Failure::new(Kind::Unauthorized, "the key is not known")),
    }
}

fn by_name(routing: &Routing, name: &str) -> Arc<Team> {
    let known = routing.teams.as_ref().and_then(|teams| teams.named(name));
    known.map_or_else(|| Arc::new(Team::named(name)), Arc::clone)
}

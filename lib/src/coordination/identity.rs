//! Maps a request to a team, by the caller's key or by what the forwarding box reports.
//!
//! A box that gets a forwarded request looks up the key again. A key that was revoked is therefore
//! refused by every box that knows of the revocation, whatever the forwarding box knows. If the two
//! boxes disagree, the one with the newer configuration version decides. Only digests of keys are
//! sent between boxes.

use std::sync::Arc;

use crate::error::ErrorKind;
use crate::error::Failure;
use crate::protocol::Version;
use crate::protocol::routing::Route;
use crate::protocol::routing::Routing;
use crate::protocol::team::KeyDigest;
use crate::protocol::team::Team;

/// Data in a request that identifies its caller.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    /// Digest of the caller's key.
    pub key: Option<KeyDigest>,
    /// The result of the lookup at the forwarding box.
    pub forwarded: Option<ForwardedIdentity>,
}

/// The team that the forwarding box found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardedIdentity {
    /// Name of the team that holds the key; `None` on routes that need no key.
    pub team: Option<String>,
    /// The configuration version used for the lookup.
    pub version: Version,
}

/// Returns the team of a request; `None` if the request needs no key.
///
/// `stale` is true if there may be a newer configuration, with keys that this box does not have. A
/// caller with an unknown key is then asked to retry instead of getting the error that the key does
/// not exist.
pub fn resolve_team(
    credentials: &Credentials,
    routing: &Routing,
    route: &Route,
    stale: bool,
) -> Result<Option<Arc<Team>>, Failure> {
    if let Some(forwarded) =
        credentials.forwarded.as_ref().filter(|identity| identity.version > routing.version)
    {
        return Ok(forwarded.team.as_deref().map(|name| team_by_name(routing, name)));
    }
    let Some(teams) = &routing.teams else { return Ok(None) };
    let holder = credentials.key.and_then(|key| teams.find_by_key(&key));
    match (holder, credentials.key) {
        (Some(team), _) => Ok(Some(Arc::clone(team))),
        (None, _) if route.anonymous => Ok(None),
        (None, None) => {
            Err(Failure::new(ErrorKind::Unauthorized, "expected Authorization: Bearer <key>"))
        }
        (None, Some(_)) if stale => {
            let message = "the key is not known here, and the configuration may be an older one";
            Err(Failure::new(ErrorKind::Behind, message))
        }
        (None, Some(_)) => Err(Failure::new(ErrorKind::Unauthorized, "the key is not known")),
    }
}

fn team_by_name(routing: &Routing, name: &str) -> Arc<Team> {
    let configured = routing.teams.as_ref().and_then(|teams| teams.find_by_name(name));
    configured.map_or_else(|| Arc::new(Team::with_name(name)), Arc::clone)
}

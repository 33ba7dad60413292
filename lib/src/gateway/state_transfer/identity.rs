//! Confirms to another box which box this one is. The state's port serves this too, because every
//! build has it.

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::Full;
use prost::Message;

use super::PEER_TIMEOUT;
use super::REQUESTER_ADDRESS;
use super::REQUESTER_HASH;
use super::STATE_PATH;
use super::StateReply;
use super::StateScope;
use crate::coordination::presence;
use crate::coordination::unlisted::Neighbor;
use crate::gateway::shared::Shared;
use crate::gateway::with_port;
use crate::protocol::platform::Position;
use crate::transport::activity::RequestBody;
use crate::transport::backend;
use crate::transport::body::NonRelayBody;
use crate::transport::body::ResponseBody;
use crate::transport::timer;

/// Marks a query for the identity of a box. Boxes of older builds reply with their state.
const IDENTITY_QUERY: HeaderName = HeaderName::from_static("copperweir-identify");

/// Why a process is not taken for a box.
#[derive(Debug, thiserror::Error)]
pub enum IdentityError {
    /// It didn't respond in time.
    #[error("no answer in time")]
    Timeout,
    /// It can't be reached, or its response can't be read.
    #[error("{0}")]
    NoResponse(String),
    /// It is another box, or a box that sends from another address.
    #[error("it is another box")]
    OtherBox,
    /// Its response is not that of a box.
    #[error("not the answer of a box")]
    NotABox,
}

/// The response to a query for the identity of this box; `None` if `request` is none.
pub(super) fn respond<A>(
    shared: &Shared<A>,
    request: &Request<RequestBody>,
) -> Option<Response<NonRelayBody>> {
    request.headers().get(IDENTITY_QUERY)?;
    let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
    let own_hash = presence::box_hash(&shared.settings.name);
    let own_hash = HeaderValue::try_from(format!("{own_hash:x}")).expect("hex digits");
    response.headers_mut().insert(REQUESTER_HASH, own_hash);
    let peers = HeaderValue::try_from(shared.settings.listen.peers.to_string());
    response.headers_mut().insert(REQUESTER_ADDRESS, peers.expect("an address"));
    Some(response)
}

/// Checks that a box sends its datagrams from the address of `neighbor`. `position` is that of this
/// box's state, so that a box of an older build replies with little.
pub async fn confirm_identity(
    client: &backend::Client,
    neighbor: &Neighbor,
    position: Position,
) -> Result<(), IdentityError> {
    let address = with_port(neighbor.address, neighbor.handover_port);
    let query = StateScope::After(position).to_query();
    let request = Request::post(STATE_PATH)
        .header(http::header::HOST, address.to_string())
        .header(IDENTITY_QUERY, "1")
        .body(Full::from(Bytes::from(query.encode_to_vec())))
        .map_err(|error| IdentityError::NoResponse(error.to_string()))?;
    let response = match timer::timeout(PEER_TIMEOUT, client.fetch(address, request)).await {
        Ok(response) => response.map_err(|error| IdentityError::NoResponse(error.to_string()))?,
        Err(_) => return Err(IdentityError::Timeout),
    };
    let stated = |name: &HeaderName| response.headers().get(name)?.to_str().ok();
    let hash = stated(&REQUESTER_HASH).and_then(|hash| u64::from_str_radix(hash, 16).ok());
    let datagrams = stated(&REQUESTER_ADDRESS).and_then(|address| address.parse().ok());
    match (hash, datagrams) {
        (Some(hash), Some(datagrams)) => {
            let is_same = hash == neighbor.box_hash && neighbor.address == datagrams;
            is_same.then_some(()).ok_or(IdentityError::OtherBox)
        }
        _ if is_state(response.into_body()) => Ok(()),
        _ => Err(IdentityError::NotABox),
    }
}

/// Whether a body is the state of a box of an older build.
fn is_state(body: Bytes) -> bool {
    StateReply::decode(body).is_ok_and(|reply| reply.age_ms.is_some())
}

//! What a box asks of another one while the store does not tell it: what the
//! other has from there that it lacks. Without this, a box that starts without
//! the store could serve nobody, and one that loses it would go on against what
//! the operator and the servers have written since.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use prost::Message;
use rand::seq::SliceRandom;
use tokio::task::JoinSet;

use super::shared::Shared;
use super::shared::lock;
use crate::coordination::freshness::Version;
use crate::coordination::quarantine::told;
use crate::coordination::restored::RETURN_GRACE;
use crate::coordination::unlisted::Neighbor;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Item;
use crate::protocol::platform::Position;
use crate::state::clock;
use crate::transport::backend;
use crate::transport::body::Answer;
use crate::transport::body::Passed;
use crate::transport::timer;

/// Who asks: what stands for the box in datagrams, hex.
const REQUESTER_HASH: HeaderName = HeaderName::from_static("copperweir-box");
/// Its region.
const REQUESTER_REGION: HeaderName = HeaderName::from_static("copperweir-region");
/// Where datagrams reach it.
const REQUESTER_ADDRESS: HeaderName = HeaderName::from_static("copperweir-address");
/// Path of the question; the port serves nothing else.
const STATE_PATH: &str = "/state";
/// Longest question, bytes: digests of some hundred thousand keys.
const MAX_QUERY_BYTES: usize = 1 << 20;
/// Longest wait for one box: a way to the farthest region and back, twice.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which another box is asked as well: longer than such a way once.
const NEXT_SEED_DELAY: Duration = Duration::from_millis(150);

/// What the asker has.
#[derive(Clone, PartialEq, prost::Message)]
struct StateQuery {
    /// Place in the store's history that its state was read at.
    #[prost(uint64, tag = "1")]
    era: u64,
    #[prost(uint64, tag = "2")]
    revision: u64,
    /// Digests of what it holds, where the place says too little: it has another history of the store than
    /// the box that it asks, or holds something else than its place says.
    #[prost(message, optional, tag = "3")]
    held: Option<Hashes>,
}

/// The answer.
#[derive(Clone, PartialEq, prost::Message)]
struct StateReply {
    /// Place in the store's history that the state was read at.
    #[prost(uint64, tag = "10")]
    era: u64,
    #[prost(uint64, tag = "2")]
    revision: u64,
    /// How long ago this was the store's state, milliseconds.
    #[prost(uint64, optional, tag = "3")]
    age_ms: Option<u64>,
    /// Keys that were written after the place that was asked from, or that the asker does not hold so.
    #[prost(map = "string, message", tag = "4")]
    entries: HashMap<String, Entry>,
    /// Hashes of all keys, unless the sender knows which ones were removed.
    #[prost(fixed64, repeated, tag = "5")]
    keys: Vec<u64>,
    /// Hashes of the keys that were removed after the place that was asked from.
    #[prost(message, optional, tag = "8")]
    removed: Option<Hashes>,
    /// Digest of the state.
    #[prost(fixed64, tag = "6")]
    digest: u64,
    /// How long ago the store was back after it had been away for the sender, milliseconds; `None` if
    /// that is long ago.
    #[prost(uint64, optional, tag = "7")]
    returned_ms: Option<u64>,
    /// Requests that are refused because servers end under them; for a box that has nothing yet.
    #[prost(message, repeated, tag = "9")]
    verdicts: Vec<told::Verdict>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Hashes {
    #[prost(fixed64, repeated, tag = "1")]
    hashes: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Entry {
    #[prost(bytes = "bytes", tag = "1")]
    value: Bytes,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

/// What another box has from the store.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// The box that said so.
    pub source: SocketAddr,
    /// Which state this is.
    pub version: Version,
    /// How long ago it was the store's.
    pub age: Duration,
    /// How long ago the store was back there, if it was away shortly before: entries may be missing
    /// that will be written again.
    pub recovered_ago: Option<Duration>,
    /// Keys that the asker lacks.
    pub written: Vec<Item>,
    /// Keys that are gone.
    pub removed_keys: RemovedKeys,
    /// Requests that are refused because servers end under them, if this box had nothing yet.
    pub verdicts: Vec<told::Verdict>,
}

/// What is asked of another box.
#[derive(Clone, Debug)]
pub enum StateScope {
    /// All that it has.
    All,
    /// What was written after a place in the history that both have.
    After(Position),
    /// What differs from these digests of keys with their revisions and values.
    NotIn(HashSet<u64>),
}

/// Which keys are gone in another box's state, by their hashes.
#[derive(Clone, Debug)]
pub enum RemovedKeys {
    /// These.
    Listed(HashSet<u64>),
    /// All but these.
    AllExcept(HashSet<u64>),
}

impl StateScope {
    fn to_query(&self) -> StateQuery {
        match self {
            StateScope::All => StateQuery::default(),
            StateScope::After(Position { era, revision }) => {
                StateQuery { era: *era, revision: *revision, held: None }
            }
            StateScope::NotIn(digests) => {
                let hashes = digests.iter().copied().collect();
                StateQuery { held: Some(Hashes { hashes }), ..StateQuery::default() }
            }
        }
    }
}

/// Answers another box.
pub async fn handle<A: Adapter>(
    shared: Arc<Shared<A>>,
    request: Request<Incoming>,
) -> Response<Passed> {
    if let Some(requester) = read_requester(request.headers()) {
        lock(&shared.unlisted).hear(requester, clock::now());
    }
    let Some(query) = read_query(request.into_body()).await else {
        let mut refusal = Response::new(Answer::whole(Bytes::new()));
        *refusal.status_mut() = StatusCode::BAD_REQUEST;
        return refusal;
    };
    Response::new(Answer::whole(build_reply(&shared, query).encode_to_vec()))
}

/// Reads a question; an empty one comes from a box that has nothing.
async fn read_query(body: Incoming) -> Option<StateQuery> {
    let body = Limited::new(body, MAX_QUERY_BYTES).collect().await;
    let body = body.inspect_err(|error| log::info!("event=question_broken error=\"{error}\""));
    StateQuery::decode(body.ok()?.to_bytes()).ok()
}

fn build_reply<A: Adapter>(shared: &Shared<A>, query: StateQuery) -> StateReply {
    let requester_is_empty = query == StateQuery::default();
    let age_ms = u64::try_from(shared.state_age_ms()).ok();
    let replica = lock(&shared.replica);
    let to_entry = |item: Item| (item.key, Entry { value: item.value, revision: item.revision });
    let position_held = Position { era: query.era, revision: query.revision };
    let (entries, removed) = match query.held {
        Some(Hashes { hashes }) => {
            let held = hashes.into_iter().collect();
            (replica.items_not_in(&held).map(to_entry).collect(), None)
        }
        None => {
            let removed = replica.removed_after(position_held);
            let removed = removed.map(|hashes| Hashes { hashes: hashes.collect() });
            (replica.items_written_after(position_held).map(to_entry).collect(), removed)
        }
    };
    let keys = if removed.is_some() { Vec::new() } else { replica.key_hashes().collect() };
    let version = replica.version();
    let known = lock(&shared.freshness).version();
    // Others may have said that nothing has changed for longer than the store itself has.
    let same_digest = known.digest == version.digest;
    let position =
        if same_digest { version.position.max(known.position) } else { version.position };
    let recovered_ago = *lock(&shared.store_recovered_at);
    let recovered_ago = recovered_ago.map(clock::since).filter(|ago| *ago < RETURN_GRACE);
    let returned_ms = recovered_ago.map(|ago| ago.as_millis() as u64);
    // Others hear of verdicts by datagram and from the store.
    let verdicts = if requester_is_empty {
        lock(&shared.quarantine).verdicts(clock::now())
    } else {
        Vec::new()
    };
    StateReply {
        era: position.era,
        revision: position.revision,
        digest: version.digest,
        age_ms,
        returned_ms,
        entries,
        keys,
        removed,
        verdicts,
    }
}

/// The box that asks, if it says who it is.
fn read_requester(headers: &HeaderMap) -> Option<Neighbor> {
    let text = |name: &HeaderName| headers.get(name)?.to_str().ok();
    Some(Neighbor {
        box_hash: u64::from_str_radix(text(&REQUESTER_HASH)?, 16).ok()?,
        region: text(&REQUESTER_REGION)?.to_owned(),
        address: text(&REQUESTER_ADDRESS)?.parse().ok()?,
    })
}

/// Asks boxes in any order for all that they have until one knows something. The next one is asked
/// when one has not answered for a while, or knows nothing. Whoever is asked hears of `own` by that.
pub async fn fetch_from_any(
    client: &backend::Client,
    seeds: &[SocketAddr],
    requester: &Neighbor,
) -> Option<PeerState> {
    let mut seeds = seeds.to_vec();
    seeds.shuffle(&mut rand::rng());
    let mut seeds = seeds.into_iter();
    let mut pending = JoinSet::new();
    loop {
        if let Some(seed) = seeds.next() {
            let (client, requester) = (client.clone(), requester.clone());
            pending.spawn(async move {
                fetch_from(&client, seed, &StateScope::All, Some(&requester)).await
            });
        }
        match timer::timeout(NEXT_SEED_DELAY, pending.join_next()).await {
            Ok(Some(Ok(Some(state)))) => return Some(state),
            Ok(Some(Err(error))) => log::error!("event=question_failed error=\"{error}\""),
            Ok(None) => return None,
            Ok(Some(Ok(None))) | Err(_) => {}
        }
    }
}

/// Asks one box for what this one lacks; `None` if it knows nothing or does not answer.
pub async fn fetch_from(
    client: &backend::Client,
    address: SocketAddr,
    scope: &StateScope,
    requester: Option<&Neighbor>,
) -> Option<PeerState> {
    let error = match timer::timeout(PEER_TIMEOUT, request_state(client, address, scope, requester))
        .await
    {
        Ok(Ok(state)) => return state,
        Ok(Err(error)) => error,
        Err(_) => "no answer in time".to_owned(),
    };
    log::info!("event=state_not_told by={address} error=\"{error}\"");
    None
}

async fn request_state(
    client: &backend::Client,
    address: SocketAddr,
    scope: &StateScope,
    requester: Option<&Neighbor>,
) -> Result<Option<PeerState>, String> {
    let mut request = Request::post(STATE_PATH).header(http::header::HOST, address.to_string());
    if let Some(requester) = requester {
        request = request
            .header(REQUESTER_HASH, format!("{:x}", requester.box_hash))
            .header(REQUESTER_REGION, &requester.region)
            .header(REQUESTER_ADDRESS, requester.address.to_string());
    }
    let body = Bytes::from(scope.to_query().encode_to_vec());
    let request = request.body(Full::from(body)).map_err(|error| error.to_string())?;
    let answer = client.fetch(address, request).await.map_err(|error| error.to_string())?;
    let reply = StateReply::decode(answer.into_body()).map_err(|error| error.to_string())?;
    let Some(age_ms) = reply.age_ms else { return Ok(None) };
    let removed_keys = match reply.removed {
        Some(removed) => RemovedKeys::Listed(removed.hashes.into_iter().collect()),
        None => RemovedKeys::AllExcept(reply.keys.into_iter().collect()),
    };
    let to_item =
        |(key, entry): (String, Entry)| Item { key, value: entry.value, revision: entry.revision };
    let position = Position { era: reply.era, revision: reply.revision };
    Ok(Some(PeerState {
        source: address,
        version: Version { position, digest: reply.digest },
        recovered_ago: reply.returned_ms.map(Duration::from_millis),
        age: Duration::from_millis(age_ms),
        written: reply.entries.into_iter().map(to_item).collect(),
        removed_keys,
        verdicts: reply.verdicts,
    }))
}

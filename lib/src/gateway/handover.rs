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
use crate::coordination::quarantine::wire;
use crate::coordination::store_rollback::ROLLBACK_GRACE;
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
const ASKER: HeaderName = HeaderName::from_static("copperweir-box");
/// Its region.
const ASKER_REGION: HeaderName = HeaderName::from_static("copperweir-region");
/// Where datagrams reach it.
const ASKER_ADDRESS: HeaderName = HeaderName::from_static("copperweir-address");
/// Path of the question; the port serves nothing else.
const PATH: &str = "/state";
/// Longest question, bytes: digests of some hundred thousand keys.
const LONGEST_QUESTION: usize = 1 << 20;
/// Longest wait for one box: a way to the farthest region and back, twice.
const WAIT: Duration = Duration::from_millis(500);
/// Time after which another box is asked as well: longer than such a way once.
const NEXT_SEED: Duration = Duration::from_millis(150);

/// What the asker has.
#[derive(Clone, PartialEq, prost::Message)]
struct Question {
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
struct Reply {
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
    verdicts: Vec<wire::VerdictReport>,
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
pub struct State {
    /// The box that said so.
    pub told_by: SocketAddr,
    /// Which state this is.
    pub version: Version,
    /// How long ago it was the store's.
    pub age: Duration,
    /// How long ago the store was back there, if it was away shortly before: entries may be missing
    /// that will be written again.
    pub returned: Option<Duration>,
    /// Keys that the asker lacks.
    pub written: Vec<Item>,
    /// Keys that are gone.
    pub gone: Gone,
    /// Requests that are refused because servers end under them, if this box had nothing yet.
    pub verdicts: Vec<wire::VerdictReport>,
}

/// What is asked of another box.
#[derive(Clone, Debug)]
pub enum Wanted {
    /// All that it has.
    All,
    /// What was written after a place in the history that both have.
    After(Position),
    /// What differs from these digests of keys with their revisions and values.
    Beside(HashSet<u64>),
}

/// Which keys are gone in another box's state, by their hashes.
#[derive(Clone, Debug)]
pub enum Gone {
    /// These.
    Keys(HashSet<u64>),
    /// All but these.
    AllBut(HashSet<u64>),
}

impl Wanted {
    fn to_question(&self) -> Question {
        match self {
            Wanted::All => Question::default(),
            Wanted::After(Position { era, revision }) => {
                Question { era: *era, revision: *revision, held: None }
            }
            Wanted::Beside(digests) => {
                let hashes = digests.iter().copied().collect();
                Question { held: Some(Hashes { hashes }), ..Question::default() }
            }
        }
    }
}

/// Answers another box.
pub async fn handle<A: Adapter>(
    shared: Arc<Shared<A>>,
    request: Request<Incoming>,
) -> Response<Passed> {
    if let Some(asker) = asker(request.headers()) {
        lock(&shared.unlisted).record(asker, clock::now());
    }
    let Some(question) = read(request.into_body()).await else {
        let mut refusal = Response::new(Answer::whole(Bytes::new()));
        *refusal.status_mut() = StatusCode::BAD_REQUEST;
        return refusal;
    };
    Response::new(Answer::whole(answer(&shared, question).encode_to_vec()))
}

/// Reads a question; an empty one comes from a box that has nothing.
async fn read(body: Incoming) -> Option<Question> {
    let body = Limited::new(body, LONGEST_QUESTION).collect().await;
    let body = body.inspect_err(|error| log::info!("event=question_broken error=\"{error}\""));
    Question::decode(body.ok()?.to_bytes()).ok()
}

fn answer<A: Adapter>(shared: &Shared<A>, question: Question) -> Reply {
    let knows_nothing = question == Question::default();
    let age_ms = u64::try_from(shared.state_age_ms()).ok();
    let replica = lock(&shared.replica);
    let to_entry = |item: Item| (item.key, Entry { value: item.value, revision: item.revision });
    let after = Position { era: question.era, revision: question.revision };
    let (entries, removed) = match question.held {
        Some(Hashes { hashes }) => {
            let held = hashes.into_iter().collect();
            (replica.written_beside(&held).map(to_entry).collect(), None)
        }
        None => {
            let removed = replica.removed_after(after);
            let removed = removed.map(|hashes| Hashes { hashes: hashes.collect() });
            (replica.written_after(after).map(to_entry).collect(), removed)
        }
    };
    let keys = if removed.is_some() { Vec::new() } else { replica.key_hashes().collect() };
    let version = replica.version();
    let known = lock(&shared.freshness).version();
    // Others may have said that nothing has changed for longer than the store itself has.
    let same = known.digest == version.digest;
    let position = if same { version.position.max(known.position) } else { version.position };
    let returned = *lock(&shared.store_back_at);
    let returned = returned.map(clock::since).filter(|ago| *ago < ROLLBACK_GRACE);
    let returned_ms = returned.map(|ago| ago.as_millis() as u64);
    // Others hear of verdicts by datagram and from the store.
    let verdicts = if knows_nothing {
        lock(&shared.quarantine).active_verdicts(clock::now())
    } else {
        Vec::new()
    };
    Reply {
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
fn asker(headers: &HeaderMap) -> Option<Neighbor> {
    let text = |name: &HeaderName| headers.get(name)?.to_str().ok();
    Some(Neighbor {
        box_hash: u64::from_str_radix(text(&ASKER)?, 16).ok()?,
        region: text(&ASKER_REGION)?.to_owned(),
        address: text(&ASKER_ADDRESS)?.parse().ok()?,
    })
}

/// Asks boxes in any order for all that they have until one knows something. The next one is asked
/// when one has not answered for a while, or knows nothing. Whoever is asked hears of `own` by that.
pub async fn ask_any(
    client: &backend::Client,
    seeds: &[SocketAddr],
    own: &Neighbor,
) -> Option<State> {
    let mut seeds = seeds.to_vec();
    seeds.shuffle(&mut rand::rng());
    let mut seeds = seeds.into_iter();
    let mut asked = JoinSet::new();
    loop {
        if let Some(seed) = seeds.next() {
            let (client, own) = (client.clone(), own.clone());
            asked.spawn(async move { ask(&client, seed, &Wanted::All, Some(&own)).await });
        }
        match timer::timeout(NEXT_SEED, asked.join_next()).await {
            Ok(Some(Ok(Some(state)))) => return Some(state),
            Ok(Some(Err(error))) => log::error!("event=question_failed error=\"{error}\""),
            Ok(None) => return None,
            Ok(Some(Ok(None))) | Err(_) => {}
        }
    }
}

/// Asks one box for what this one lacks; `None` if it knows nothing or does not answer.
pub async fn ask(
    client: &backend::Client,
    address: SocketAddr,
    wanted: &Wanted,
    own: Option<&Neighbor>,
) -> Option<State> {
    let error = match timer::timeout(WAIT, fetch(client, address, wanted, own)).await {
        Ok(Ok(state)) => return state,
        Ok(Err(error)) => error,
        Err(_) => "no answer in time".to_owned(),
    };
    log::info!("event=state_not_told by={address} error=\"{error}\"");
    None
}

async fn fetch(
    client: &backend::Client,
    address: SocketAddr,
    wanted: &Wanted,
    own: Option<&Neighbor>,
) -> Result<Option<State>, String> {
    let mut request = Request::post(PATH).header(http::header::HOST, address.to_string());
    if let Some(own) = own {
        request = request
            .header(ASKER, format!("{:x}", own.box_hash))
            .header(ASKER_REGION, &own.region)
            .header(ASKER_ADDRESS, own.address.to_string());
    }
    let body = Bytes::from(wanted.to_question().encode_to_vec());
    let request = request.body(Full::from(body)).map_err(|error| error.to_string())?;
    let answer = client.fetch(address, request).await.map_err(|error| error.to_string())?;
    let reply = Reply::decode(answer.into_body()).map_err(|error| error.to_string())?;
    let Some(age_ms) = reply.age_ms else { return Ok(None) };
    let gone = match reply.removed {
        Some(removed) => Gone::Keys(removed.hashes.into_iter().collect()),
        None => Gone::AllBut(reply.keys.into_iter().collect()),
    };
    let item =
        |(key, entry): (String, Entry)| Item { key, value: entry.value, revision: entry.revision };
    let position = Position { era: reply.era, revision: reply.revision };
    Ok(Some(State {
        told_by: address,
        version: Version { position, digest: reply.digest },
        returned: reply.returned_ms.map(Duration::from_millis),
        age: Duration::from_millis(age_ms),
        written: reply.entries.into_iter().map(item).collect(),
        gone,
        verdicts: reply.verdicts,
    }))
}

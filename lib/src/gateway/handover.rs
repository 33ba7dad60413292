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
use http::Request;
use http::Response;
use http::Uri;
use http_body_util::Full;
use hyper::body::Incoming;
use prost::Message;
use rand::seq::SliceRandom;

use super::shared::Shared;
use super::shared::lock;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Item;
use crate::protocol::platform::Revision;
use crate::transport::backend;
use crate::transport::body::Answer;
use crate::transport::body::Passed;

/// Path of the question; the port serves nothing else.
const PATH: &str = "/state";
/// Longest wait for one box: a way to the farthest region and back, twice.
const WAIT: Duration = Duration::from_millis(500);

/// The answer.
#[derive(Clone, PartialEq, prost::Message)]
struct Reply {
    #[prost(uint64, tag = "2")]
    revision: u64,
    /// How long ago this was the store's state, milliseconds.
    #[prost(uint64, optional, tag = "3")]
    age_ms: Option<u64>,
    /// Keys that were written after the revision that was asked from.
    #[prost(map = "string, message", tag = "4")]
    entries: HashMap<String, Entry>,
    /// Hashes of all keys.
    #[prost(fixed64, repeated, tag = "5")]
    keys: Vec<u64>,
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
    /// Revision that it was read at.
    pub revision: Revision,
    /// How long ago it was the store's.
    pub age: Duration,
    /// Keys that were written after the revision that was asked from.
    pub written: Vec<Item>,
    /// Hashes of all keys.
    pub keys: HashSet<u64>,
}

/// Answers another box.
pub async fn handle<A: Adapter>(
    shared: Arc<Shared<A>>,
    request: Request<Incoming>,
) -> Response<Passed> {
    let age_ms = u64::try_from(shared.state_age_ms()).ok();
    let replica = lock(&shared.replica);
    let entry = |item: Item| (item.key, Entry { value: item.value, revision: item.revision });
    let entries = replica.written_after(after(request.uri())).map(entry).collect();
    let keys = replica.key_hashes().collect();
    let reply = Reply { revision: replica.version().revision, age_ms, entries, keys };
    Response::new(Answer::whole(reply.encode_to_vec()))
}

/// The revision that the other box has; without one, it has nothing.
fn after(uri: &Uri) -> Revision {
    let query = uri.query().unwrap_or_default();
    let after = query.split('&').find_map(|pair| pair.strip_prefix("after="));
    after.and_then(|after| after.parse().ok()).unwrap_or(0)
}

/// Asks boxes in any order for all that they have until one knows something.
pub async fn ask_any(client: &backend::Client, seeds: &[SocketAddr]) -> Option<State> {
    let mut seeds = seeds.to_vec();
    seeds.shuffle(&mut rand::rng());
    for seed in seeds {
        if let Some(state) = ask(client, seed, 0).await {
            return Some(state);
        }
    }
    None
}

/// Asks one box for what was written after a revision; `None` if it knows nothing or does not
/// answer.
pub async fn ask(client: &backend::Client, address: SocketAddr, after: Revision) -> Option<State> {
    let error = match tokio::time::timeout(WAIT, fetch(client, address, after)).await {
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
    after: Revision,
) -> Result<Option<State>, String> {
    let request = Request::get(format!("{PATH}?after={after}"))
        .header(http::header::HOST, address.to_string());
    let request = request.body(Full::default()).map_err(|error| error.to_string())?;
    let answer = client.fetch(address, request).await.map_err(|error| error.to_string())?;
    let reply = Reply::decode(answer.into_body()).map_err(|error| error.to_string())?;
    let Some(age_ms) = reply.age_ms else { return Ok(None) };
    let item =
        |(key, entry): (String, Entry)| Item { key, value: entry.value, revision: entry.revision };
    Ok(Some(State {
        revision: reply.revision,
        age: Duration::from_millis(age_ms),
        written: reply.entries.into_iter().map(item).collect(),
        keys: reply.keys.into_iter().collect(),
    }))
}

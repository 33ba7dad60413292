//! What a box asks of another one while the store does not tell it: everything
//! that the other has from there. Without this, a box that starts without the
//! store could serve nobody, and one that loses it would go on against what the
//! operator and the servers have written since.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
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
    #[prost(map = "string, message", tag = "4")]
    entries: HashMap<String, Entry>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Entry {
    #[prost(bytes = "bytes", tag = "1")]
    value: Bytes,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

/// A state of the store, as another box has it.
#[derive(Clone, Debug)]
pub struct State {
    /// Revision that it was read at.
    pub revision: Revision,
    /// How long ago it was the store's.
    pub age: Duration,
    /// All keys.
    pub items: Vec<Item>,
}

/// Answers another box.
pub async fn handle<A: Adapter>(
    shared: Arc<Shared<A>>,
    _request: Request<Incoming>,
) -> Response<Passed> {
    let age_ms = u64::try_from(shared.state_age_ms()).ok();
    let replica = lock(&shared.replica);
    let entry = |item: Item| (item.key, Entry { value: item.value, revision: item.revision });
    let entries = replica.items().map(entry).collect();
    let reply = Reply { revision: replica.version().revision, age_ms, entries };
    Response::new(Answer::whole(reply.encode_to_vec()))
}

/// Asks boxes in any order until one knows something.
pub async fn ask_any(client: &backend::Client, seeds: &[SocketAddr]) -> Option<State> {
    let mut seeds = seeds.to_vec();
    seeds.shuffle(&mut rand::rng());
    for seed in seeds {
        if let Some(state) = ask(client, seed).await {
            return Some(state);
        }
    }
    None
}

/// Asks one box; `None` if it knows nothing or does not answer.
pub async fn ask(client: &backend::Client, address: SocketAddr) -> Option<State> {
    let error = match tokio::time::timeout(WAIT, fetch(client, address)).await {
        Ok(Ok(state)) => return state,
        Ok(Err(error)) => error,
        Err(_) => "no answer in time".to_owned(),
    };
    log::info!("event=state_not_told by={address} error=\"{error}\"");
    None
}

async fn fetch(client: &backend::Client, address: SocketAddr) -> Result<Option<State>, String> {
    let request = Request::get(PATH).header(http::header::HOST, address.to_string());
    let request = request.body(Full::default()).map_err(|error| error.to_string())?;
    let answer = client.fetch(address, request).await.map_err(|error| error.to_string())?;
    let reply = Reply::decode(answer.into_body()).map_err(|error| error.to_string())?;
    let Some(age_ms) = reply.age_ms else { return Ok(None) };
    let item =
        |(key, entry): (String, Entry)| Item { key, value: entry.value, revision: entry.revision };
    let items = reply.entries.into_iter().map(item).collect();
    Ok(Some(State { revision: reply.revision, age: Duration::from_millis(age_ms), items }))
}

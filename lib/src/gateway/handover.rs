//! What a fresh box asks of others when the store does not answer: everything
//! that they have from it. Without this, a box that starts during an outage
//! could serve nobody until its end.

use std::collections::BTreeMap;
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
use crate::transport::backend;
use crate::transport::body::Answer;
use crate::transport::body::Passed;

/// Path of the question; the port serves nothing else.
const PATH: &str = "/state";
/// Longest wait for one box: a way to the farthest region and back, twice.
const WAIT: Duration = Duration::from_millis(500);

/// Keys and values of the store as a box last saw them.
pub type Items = BTreeMap<String, Bytes>;

/// The answer.
#[derive(Clone, PartialEq, prost::Message)]
struct State {
    #[prost(btree_map = "string, bytes", tag = "1")]
    items: BTreeMap<String, Vec<u8>>,
}

/// Answers a fresh box.
pub async fn handle<A: Adapter>(
    shared: Arc<Shared<A>>,
    _request: Request<Incoming>,
) -> Response<Passed> {
    let items = lock(&shared.items);
    let items = items.iter().map(|(key, value)| (key.clone(), value.to_vec())).collect();
    Response::new(Answer::whole(State { items }.encode_to_vec()))
}

/// Asks boxes in any order until one knows something.
pub async fn ask(client: &backend::Client, seeds: &[SocketAddr]) -> Option<(SocketAddr, Items)> {
    let mut seeds = seeds.to_vec();
    seeds.shuffle(&mut rand::rng());
    for seed in seeds {
        match tokio::time::timeout(WAIT, ask_one(client, seed)).await {
            Ok(Ok(items)) if !items.is_empty() => return Some((seed, items)),
            Ok(Ok(_)) => {}
            Ok(Err(error)) => log::info!("event=seed_failed seed={seed} error=\"{error}\""),
            Err(_) => log::info!("event=seed_failed seed={seed} error=\"no answer in time\""),
        }
    }
    None
}

async fn ask_one(client: &backend::Client, seed: SocketAddr) -> Result<Items, String> {
    let request = Request::get(PATH).header(http::header::HOST, seed.to_string());
    let request = request.body(Full::default()).map_err(|error| error.to_string())?;
    let answer = client.fetch(seed, request).await.map_err(|error| error.to_string())?;
    let state = State::decode(answer.into_body()).map_err(|error| error.to_string())?;
    Ok(state.items.into_iter().map(|(key, value)| (key, Bytes::from(value))).collect())
}

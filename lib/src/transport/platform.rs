//! Client of the platform over HTTP and JSON.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use serde_json::value::RawValue;

use super::backend::Client;
use super::store;
use crate::protocol::adapter;
use crate::protocol::platform::BoxList;
use crate::protocol::platform::BoxListEntry;
use crate::protocol::platform::Directory;
use crate::protocol::platform::DirectoryEntry;
use crate::protocol::platform::Entry;
use crate::protocol::platform::LeaseId;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Put;
use crate::protocol::platform::Revision;
use crate::protocol::platform::Store;
use crate::state::counters::Counter;
use crate::state::counters::Counters;

/// The longest wait for a response, in addition to the time that a watch itself may wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The platform at one address.
#[derive(Clone)]
pub struct Platform {
    address: SocketAddr,
    client: Client,
    counters: Arc<Counters>,
}

#[derive(Deserialize)]
struct RevisionResponse {
    revision: Revision,
}

#[derive(Deserialize)]
struct LeaseResponse {
    lease: LeaseId,
}

struct Call {
    method: Method,
    path: String,
    body: Option<serde_json::Value>,
    wait: Duration,
}

impl Call {
    fn new(method: Method, path: String) -> Call {
        Call { method, path, body: None, wait: Duration::ZERO }
    }

    fn with_body(mut self, body: serde_json::Value) -> Call {
        self.body = Some(body);
        self
    }
}

impl Platform {
    /// Creates a client of a platform. Its calls are counted.
    pub fn new(address: SocketAddr, counters: Arc<Counters>) -> Platform {
        Platform { address, client: Client::default(), counters }
    }

    /// Sends a call and counts it.
    async fn call(&self, call: Call) -> Result<(StatusCode, Bytes), PlatformError> {
        let is_read = call.method == Method::GET;
        self.counters.increment(if is_read { Counter::StoreReads } else { Counter::StoreWrites });
        let result = self.send(call).await;
        if result.is_err() {
            self.counters.increment(Counter::StoreFailures);
        }
        result
    }

    async fn send(&self, call: Call) -> Result<(StatusCode, Bytes), PlatformError> {
        let timeout = call.wait + CALL_TIMEOUT;
        let body = call.body.map(|body| body.to_string()).unwrap_or_default();
        let call =
            adapter::StoreRequest { method: call.method, path: call.path, body: body.into() };
        store::call_http(&self.client, self.address, call, timeout).await
    }

    async fn get_entry(&self, call: Call) -> Result<Option<Entry>, PlatformError> {
        let (status, body) = self.call(call).await?;
        match status {
            StatusCode::NOT_FOUND | StatusCode::NO_CONTENT => Ok(None),
            _ => decode(&body).map(Some),
        }
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    parse(body)
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|error| PlatformError::Malformed(error.to_string()))
}

impl Store for Platform {
    async fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError> {
        self.get_entry(Call::new(Method::GET, format!("/kv/{key}"))).await
    }

    async fn put(&self, key: &str, put: Put) -> Result<Revision, PlatformError> {
        let call = Call::new(Method::PUT, format!("/kv/{key}")).with_body(json!(put));
        let (status, body) = self.call(call).await?;
        match status {
            StatusCode::CONFLICT => {
                Err(PlatformError::Conflict(decode::<RevisionResponse>(&body)?.revision))
            }
            StatusCode::GONE => Err(PlatformError::LeaseExpired),
            status if status.is_success() => Ok(decode::<RevisionResponse>(&body)?.revision),
            status => Err(PlatformError::Malformed(format!("status {status}"))),
        }
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Entry>, PlatformError> {
        let path = format!("/watch/{key}?after={after}&wait_ms={}", wait.as_millis());
        let mut call = Call::new(Method::GET, path);
        call.wait = wait;
        self.get_entry(call).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let body = json!({"life_ms": ttl.as_millis() as u64});
        let call = Call::new(Method::POST, "/leases".to_owned()).with_body(body);
        let (_, body) = self.call(call).await?;
        Ok(decode::<LeaseResponse>(&body)?.lease)
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let (status, _) = self.call(Call::new(Method::POST, format!("/leases/{lease}"))).await?;
        match status {
            StatusCode::GONE => Err(PlatformError::LeaseExpired),
            _ => Ok(()),
        }
    }
}

impl Directory for Platform {
    async fn announce(&self, entry: &DirectoryEntry, ttl: Duration) -> Result<(), PlatformError> {
        let body = json!({"listing": entry, "life_ms": ttl.as_millis() as u64});
        let path = format!("/directory/{}", entry.name);
        self.call(Call::new(Method::PUT, path).with_body(body)).await.map(|_| ())
    }
}

impl BoxList for Platform {
    async fn list(&self) -> Result<Vec<BoxListEntry>, PlatformError> {
        let (_, body) = self.call(Call::new(Method::GET, "/boxes".to_owned())).await?;
        let entries: Vec<&RawValue> = parse(&body)?;
        let read = |entry: &&RawValue| {
            let log = |error: &serde_json::Error| {
                log::warn!("event=list_entry_unreadable error=\"{error}\"");
            };
            serde_json::from_str(entry.get()).inspect_err(log).ok()
        };
        Ok(entries.iter().filter_map(read).collect())
    }
}

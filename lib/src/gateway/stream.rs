//! A stream of events from a backend server or another box.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;

use super::shared::Held;
use crate::protocol::adapter::Adapter;
use crate::protocol::events::Splitter;
use crate::transport::backend::PooledBody;
use crate::transport::body::BodyError;

/// Events as they come.
pub struct Stream<A: Adapter> {
    exchange: PooledBody,
    held: Option<Held<A>>,
    splitter: Splitter,
    /// Events that were read to see that the stream has begun.
    first: Option<Bytes>,
    idle: Duration,
}

impl<A: Adapter> Stream<A> {
    /// A stream whose connection may rest for `idle` afterwards.
    pub fn new(exchange: PooledBody, held: Option<Held<A>>, idle: Duration) -> Stream<A> {
        Stream { exchange, held, splitter: Splitter::default(), first: None, idle }
    }

    /// Waits for the first event.
    pub async fn begin(&mut self) -> Result<(), BodyError> {
        self.first = self.read().await?;
        if let Some(held) = &mut self.held {
            held.first_byte();
        }
        Ok(())
    }

    /// The next whole events; `None` at the proper end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        match self.first.take() {
            Some(first) => Ok(Some(first)),
            None => self.read().await,
        }
    }

    /// Id of the last event that was read.
    pub fn last_id(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// The place on a backend server, if it is one of this region, to say what came of it.
    pub fn held(&mut self) -> &mut Option<Held<A>> {
        &mut self.held
    }

    /// Name of the backend server, if it is one of this region.
    pub fn server(&self) -> Option<&str> {
        self.held.as_ref().map(|held| held.place.server.as_str())
    }

    async fn read(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let Some(frame) = self.exchange.body().frame().await else { break };
            let frame = frame.map_err(|error| BodyError::ConnectionLost(error.to_string()))?;
            let Ok(bytes) = frame.into_data() else { continue };
            if let Some(events) = self.splitter.push(bytes) {
                return Ok(Some(events));
            }
        }
        if !self.splitter.is_at_boundary() {
            return Err(BodyError::MissingEnd);
        }
        self.exchange.release_for(self.idle);
        Ok(None)
    }
}

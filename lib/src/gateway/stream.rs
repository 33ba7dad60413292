//! A stream of events from a backend server or from another box.

use std::time::Duration;

use bytes::Bytes;

use super::shared::Reservation;
use crate::protocol::adapter::Adapter;
use crate::protocol::bounds::HOLD_TIMEOUT;
use crate::protocol::bounds::MAX_CHUNKS;
use crate::protocol::bounds::MAX_EVENT_WIRE_BYTES;
use crate::protocol::bounds::UNCOUNTED_BODY_BYTES;
use crate::protocol::events::Splitter;
use crate::protocol::fleet::VersionHash;
use crate::transport::backend::PooledBody;
use crate::transport::body::BodyError;
use crate::transport::memory::Account;
use crate::transport::memory::Reserved;

/// Reads the events of a stream.
pub struct Stream<A: Adapter> {
    exchange: PooledBody,
    reservation: Option<Reservation<A>>,
    splitter: Splitter,
    memory: Account,
    /// Memory of the incomplete event.
    reserved: Option<Reserved>,
    /// Events that were read when waiting for the first one.
    buffered_events: Option<Bytes>,
    idle_time: Duration,
    version: Option<VersionHash>,
}

impl<A: Adapter> Stream<A> {
    /// Creates a stream of a server of `version`, which a box of an older build doesn't report. The
    /// connection may be idle for `idle_time` afterwards. Incomplete events count in `memory`.
    pub fn new(
        exchange: PooledBody,
        memory: Account,
        reservation: Option<Reservation<A>>,
        idle_time: Duration,
        version: Option<VersionHash>,
    ) -> Stream<A> {
        exchange.limit_next(MAX_EVENT_WIRE_BYTES);
        Stream {
            exchange,
            reservation,
            splitter: Splitter::default(),
            memory,
            reserved: None,
            buffered_events: None,
            idle_time,
            version,
        }
    }

    /// Reads the first event. Unless the stream may be empty, it is broken if it has none.
    pub async fn read_first_event(&mut self, may_be_empty: bool) -> Result<(), BodyError> {
        self.buffered_events = self.read().await?;
        if self.buffered_events.is_none() && !may_be_empty {
            return Err(BodyError::MissingEnd);
        }
        if let Some(reservation) = &mut self.reservation {
            reservation.first_byte();
        }
        Ok(())
    }

    /// The next complete events; `None` at the regular end of the stream.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        match self.buffered_events.take() {
            Some(events) => Ok(Some(events)),
            None => self.read().await,
        }
    }

    /// The slot on a backend server of this region, for recording the outcome. `None` for a stream
    /// from another box.
    pub fn reservation(&mut self) -> &mut Option<Reservation<A>> {
        &mut self.reservation
    }

    /// Version of the server's software, if it is known.
    pub fn version(&self) -> Option<VersionHash> {
        self.version
    }

    /// Name of the backend server, if it is in this region.
    pub fn server(&self) -> Option<&str> {
        self.reservation.as_ref().map(|reservation| reservation.place.server.as_str())
    }

    /// Reserves memory for the incomplete event. While there is none, nothing more is read.
    async fn reserve_incomplete(&mut self) -> Result<(), BodyError> {
        let len = self.splitter.incomplete_len();
        let counted = len.saturating_sub(UNCOUNTED_BODY_BYTES);
        let missing = counted.saturating_sub(self.reserved.as_ref().map_or(0, Reserved::bytes));
        if missing == 0 {
            return Ok(());
        }
        let Some(more) = self.memory.reserve(missing, HOLD_TIMEOUT).await else {
            let message = format!("no room for an event of over {len} bytes");
            return Err(BodyError::TooLong(message));
        };
        match &mut self.reserved {
            Some(reserved) => reserved.merge(more),
            None => self.reserved = Some(more),
        }
        Ok(())
    }

    async fn read(&mut self) -> Result<Option<Bytes>, BodyError> {
        let mut chunks = 0;
        while let Some(bytes) = self.exchange.read().await? {
            let events =
                self.splitter.push(bytes).map_err(|error| BodyError::TooLong(error.to_string()))?;
            if events.is_some() {
                self.exchange.limit_next(MAX_EVENT_WIRE_BYTES);
                self.reserved = None;
                return Ok(events);
            }
            self.reserve_incomplete().await?;
            chunks += 1;
            if chunks > MAX_CHUNKS {
                return Err(BodyError::TooLong(format!("an event has over {MAX_CHUNKS} chunks")));
            }
        }
        if !self.splitter.is_at_boundary() {
            return Err(BodyError::MissingEnd);
        }
        self.exchange.release_for(self.idle_time);
        Ok(None)
    }
}

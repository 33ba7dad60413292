//! Reads the body of a response that is held until it is complete.
//!
//! A body that breaks off while it is held costs its caller nothing: the request is sent to another
//! server, or fails explicitly. All held bodies share one account of memory. A body for which it has
//! no room isn't held any longer, but relayed as it arrives.

use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body;

use crate::protocol::bounds::HOLD_TIMEOUT;
use crate::protocol::bounds::LARGE_BODY_BYTES;
use crate::protocol::bounds::MAX_CHUNKS;
use crate::protocol::bounds::MAX_SIZED_BODY_BYTES;
use crate::protocol::bounds::MAX_UNSIZED_BODY_BYTES;
use crate::protocol::bounds::MAX_UNSIZED_WIRE_BYTES;
use crate::protocol::bounds::UNCOUNTED_BODY_BYTES;
use crate::transport::backend::PooledBody;
use crate::transport::body::BodyError;
use crate::transport::memory::Account;
use crate::transport::memory::Reserved;

/// How far a body was read.
pub enum HeldBody {
    /// To its end.
    Whole(Bytes),
    /// Up to the point at which the account had no room for it.
    Part {
        /// The bytes that were read.
        read: Bytes,
        /// Length of the whole body, if it is known.
        len: Option<u64>,
    },
}

/// Reads a body, unless there is no memory for it.
pub async fn read(exchange: &mut PooledBody, account: &Account) -> Result<HeldBody, BodyError> {
    match exchange.body().size_hint().exact() {
        Some(len) => read_sized(exchange, account, len).await,
        None => read_unsized(exchange, account).await,
    }
}

async fn read_sized(
    exchange: &mut PooledBody,
    account: &Account,
    len: u64,
) -> Result<HeldBody, BodyError> {
    let bytes = usize::try_from(len).ok().filter(|len| *len <= MAX_SIZED_BODY_BYTES);
    let bytes = bytes.ok_or_else(|| too_long(MAX_SIZED_BODY_BYTES))?;
    let mut reserved = None;
    if bytes > UNCOUNTED_BODY_BYTES {
        reserved = account.try_reserve(bytes);
        if reserved.is_none() && bytes < LARGE_BODY_BYTES {
            reserved = account.reserve(bytes, HOLD_TIMEOUT).await;
        }
        if reserved.is_none() {
            return Ok(HeldBody::Part { read: Bytes::new(), len: Some(len) });
        }
    }
    let Some(first) = exchange.read().await? else { return Ok(whole(Bytes::new(), reserved)) };
    if first.len() == bytes {
        read_end(exchange).await?;
        return Ok(whole(first, reserved));
    }
    let mut body = BytesMut::with_capacity(bytes);
    body.extend_from_slice(&first);
    drop(first);
    while let Some(next) = exchange.read().await? {
        body.extend_from_slice(&next);
    }
    Ok(whole(body.freeze(), reserved))
}

async fn read_unsized(exchange: &mut PooledBody, account: &Account) -> Result<HeldBody, BodyError> {
    exchange.limit_body(MAX_UNSIZED_WIRE_BYTES);
    let Some(first) = exchange.read().await? else { return Ok(whole(Bytes::new(), None)) };
    let mut reserved: Option<Reserved> = None;
    let mut body = BytesMut::new();
    let mut next = Some(first);
    let mut chunks = 0;
    while let Some(bytes) = next {
        let len = body.len() + bytes.len();
        if len > MAX_UNSIZED_BODY_BYTES {
            return Err(too_long(MAX_UNSIZED_BODY_BYTES));
        }
        chunks += 1;
        if chunks > MAX_CHUNKS {
            return Err(BodyError::TooLong(format!("the body has over {MAX_CHUNKS} chunks")));
        }
        if len > UNCOUNTED_BODY_BYTES && reserved.is_none() {
            // The whole maximum is reserved. If bodies without end shared the account step by step,
            // all of them could wait for the room that the others have.
            reserved = account.reserve(MAX_UNSIZED_BODY_BYTES, HOLD_TIMEOUT).await;
            if reserved.is_none() {
                body.extend_from_slice(&bytes);
                return Ok(HeldBody::Part { read: body.freeze(), len: None });
            }
        }
        next = exchange.read().await?;
        if body.is_empty() && next.is_none() {
            reserved.iter_mut().for_each(|reserved| reserved.shrink(len));
            return Ok(whole(bytes, reserved));
        }
        body.extend_from_slice(&bytes);
    }
    reserved.iter_mut().for_each(|reserved| reserved.shrink(body.len()));
    Ok(whole(body.freeze(), reserved))
}

/// Reads the end of a body whose bytes have all been read, so that the connection can be reused.
async fn read_end(exchange: &mut PooledBody) -> Result<(), BodyError> {
    exchange.read().await.map(drop)
}

fn whole(bytes: Bytes, reserved: Option<Reserved>) -> HeldBody {
    HeldBody::Whole(match reserved {
        Some(reserved) => reserved.attach(bytes),
        None => bytes,
    })
}

fn too_long(max_bytes: usize) -> BodyError {
    BodyError::TooLong(format!("the body has over {max_bytes} bytes"))
}

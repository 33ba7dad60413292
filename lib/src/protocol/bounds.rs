//! Bounds on what is read from elsewhere: backend servers, other boxes, the store and engines.
//!
//! `docs/design/bounds.md` lists for each channel which of them apply, and the result of a request
//! on it. Bounds on what callers send come from the configuration.

use std::time::Duration;

/// Maximum size in bytes of a response head, together with the interim responses before it. Four
/// times the limit on request heads in the configuration of the tests.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of interim (1xx) responses before a response. Boxes don't ask for
/// any; a server may send some hints.
pub const MAX_INTERIM_RESPONSES: u32 = 8;
/// Maximum time from the first byte of a head until the head is complete. A head fits into few
/// segments, and a lost segment is sent again within some 200 ms. A request that is sent to another
/// server after this time is still answered within a second. Complete interim responses stop the
/// time, but don't reset it.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for reading what has arrived in the meantime, when [`HEAD_TIMEOUT`] is over. After a
/// suspension of the process, the time is over before the bytes are read that arrived during it.
pub const HEAD_TIMEOUT_GRACE: Duration = Duration::from_millis(50);
/// Maximum size in bytes of a connection's read buffer. No smaller than the largest head, since a
/// head is parsed in one piece.
pub const READ_BUFFER_BYTES: usize = MAX_HEAD_BYTES;

/// Maximum size in bytes of an incomplete event. The largest event of today's deployments has about
/// 480 bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// Maximum number of bytes, including the framing of chunks, that are read from a connection without
/// completing an event. Twice the size of an event, since events may arrive in small chunks.
pub const MAX_EVENT_WIRE_BYTES: u64 = 2 * MAX_EVENT_BYTES as u64;

/// Maximum size in bytes of a body whose length is known from its head.
pub const MAX_SIZED_BODY_BYTES: usize = 8 << 20;
/// Maximum size in bytes of a body of unknown length (chunked, or ended by its connection). Such a
/// body can't be told from one without end, and at most 1 MB may be read from a faulty connection.
pub const MAX_UNSIZED_BODY_BYTES: usize = 768 << 10;
/// Maximum size in bytes of such a body with its framing. It leaves 80 KB below 1 MB for the head
/// and what is read ahead, and allows for chunks of 32 bytes and more.
pub const MAX_UNSIZED_WIRE_BYTES: u64 = 920 << 10;
/// Maximum number of bytes that arrive without completing a part of the body, such as the size of a
/// chunk with leading zeros. Three read buffers: one that is being decoded, one that is read ahead,
/// and one of framing.
pub const MAX_FRAMING_BYTES: u64 = 3 * READ_BUFFER_BYTES as u64;
/// Maximum number of chunks of a body of unknown length, and of chunks that complete no event. Each
/// chunk costs about as much as some KB: 20 bodies of 40,000 chunks of 16 bytes took 4 s in a test
/// without optimization.
pub const MAX_CHUNKS: usize = 4096;

/// Maximum number of bytes of all whole responses and incomplete events that a box holds at the same
/// time. The smallest boxes have 120 MB, and 20 faulty responses may add at most 16 MB with the buffers of their
/// connections.
pub const HELD_RESPONSE_BYTES: usize = 6 << 20;
/// Size in bytes up to which a body or an incomplete event isn't counted in [`HELD_RESPONSE_BYTES`]: as large as the
/// buffers of its connection.
pub const UNCOUNTED_BODY_BYTES: usize = 16 << 10;
/// Maximum wait for room in [`HELD_RESPONSE_BYTES`]. After it, a body is relayed as it arrives.
pub const HOLD_TIMEOUT: Duration = Duration::from_secs(1);
/// Size in bytes of a body of known length from which on it doesn't wait for room: it is relayed as
/// it arrives unless there is room at once.
pub const LARGE_BODY_BYTES: usize = 256 << 10;
/// Maximum time that a caller may take no byte of a body that is relayed as it arrives.
pub const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum size in bytes of a keyed response that is kept for replay.
pub const MAX_KEPT_RESPONSE_BYTES: usize = 256 << 10;
/// Maximum number of bytes of a keyed response that are read after its caller has gone. The request
/// runs to its end then, but a response without end must not be read without a bound.
pub const MAX_UNCLAIMED_RESPONSE_BYTES: usize = 8 << 20;

/// Maximum size in bytes of a response of the store, of another box about its state, or of an
/// engine.
pub const MAX_FETCH_BYTES: usize = 4 << 20;
/// Maximum size in bytes of the body of a health response, of which only the head is used.
pub const MAX_HEALTH_BYTES: usize = 64 << 10;
/// Maximum size in bytes of another box's state after inflating it. Deflated, the
/// state of 295 boxes has about 100 KB.
pub const MAX_STATE_BYTES: u64 = 16 << 20;
/// Maximum size in bytes of another box's query for the state: digests of some hundred thousand
/// keys.
pub const MAX_QUERY_BYTES: usize = 1 << 20;
/// Maximum size in bytes of a gRPC message between boxes.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;

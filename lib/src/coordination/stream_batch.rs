//! Streams and the versions at which they began, as one value in the store.
//!
//! The store outlives the boxes. One box of each region collects the streams that began there and
//! writes them in batches, so that the number of writes doesn't grow with the traffic.

use bytes::Bytes;
use prost::Message;

use super::stream_versions::StreamKey;
use crate::protocol::fleet::VersionHash;

/// Maximum number of streams in a batch, at 8 bytes each.
pub const MAX_BATCH_STREAMS: usize = 8_000;

/// Streams of one version.
#[derive(Clone, PartialEq, prost::Message)]
struct Group {
    #[prost(fixed64, tag = "1")]
    version: VersionHash,
    #[prost(fixed64, repeated, tag = "2")]
    streams: Vec<StreamKey>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Value {
    #[prost(message, repeated, tag = "1")]
    groups: Vec<Group>,
}

/// Streams with the versions at which they began.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamBatch {
    /// The streams.
    pub streams: Vec<(StreamKey, VersionHash)>,
}

impl StreamBatch {
    /// The value to store.
    pub fn to_value(&self) -> Bytes {
        let mut groups: Vec<Group> = Vec::new();
        for (stream, version) in &self.streams {
            match groups.iter_mut().find(|group| group.version == *version) {
                Some(group) => group.streams.push(*stream),
                None => groups.push(Group { version: *version, streams: vec![*stream] }),
            }
        }
        Bytes::from(Value { groups }.encode_to_vec())
    }
}

impl TryFrom<&[u8]> for StreamBatch {
    type Error = String;

    fn try_from(value: &[u8]) -> Result<StreamBatch, String> {
        let Value { groups } = Value::decode(value).map_err(|error| error.to_string())?;
        let count: usize = groups.iter().map(|group| group.streams.len()).sum();
        if count > MAX_BATCH_STREAMS {
            return Err(format!("{count} streams, more than {MAX_BATCH_STREAMS}"));
        }
        let of_group =
            |group: Group| group.streams.into_iter().map(move |stream| (stream, group.version));
        Ok(StreamBatch { streams: groups.into_iter().flat_map(of_group).collect() })
    }
}

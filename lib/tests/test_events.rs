//! The event splitter outputs complete events only, and buffers no event of unlimited size.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use copperweir_lib::protocol::bounds::MAX_EVENT_BYTES;
use copperweir_lib::protocol::events::EventTooLong;
use copperweir_lib::protocol::events::OutOfSequence;
use copperweir_lib::protocol::events::Sequence;
use copperweir_lib::protocol::events::Splitter;
use proptest::prelude::*;

#[test]
fn incomplete_event_is_buffered() {
    let mut splitter = Splitter::default();
    assert_eq!(
        splitter.push(Bytes::from("id: 1\ndata: a\n\nid: 2\nda")),
        Ok(Some("id: 1\ndata: a\n\n".into()))
    );
    assert_eq!((splitter.last_id(), splitter.is_at_boundary()), (Some(1), false));
    assert_eq!(splitter.push(Bytes::from("ta: b\n\n")), Ok(Some("id: 2\ndata: b\n\n".into())));
    assert_eq!((splitter.last_id(), splitter.is_at_boundary()), (Some(2), true));
    assert_eq!(splitter.push(Bytes::from("id: 3\nda")), Ok(None));
    splitter.discard_incomplete();
    assert!(splitter.is_at_boundary());
}

/// Guards against an event that takes memory without limit.
#[test]
fn event_above_the_bound_is_an_error() {
    let mut splitter = Splitter::default();
    let events = Bytes::from("id: 1\ndata: a\n\nid: 2\ndata: ");
    assert_eq!(splitter.push(events), Ok(Some("id: 1\ndata: a\n\n".into())));
    let buffered = "id: 2\ndata: ".len();
    let largest = Bytes::from(vec![b'x'; MAX_EVENT_BYTES - buffered]);
    assert_eq!(splitter.push(largest), Ok(None));
    assert_eq!(splitter.push(Bytes::from("x")), Err(EventTooLong));
    assert_eq!(splitter.last_id(), Some(1));
}

/// Guards against searching the buffered bytes again for each added part, which took time with the
/// square of the size: 26 GB were compared for this event.
#[test]
fn cost_is_linear_in_the_number_of_bytes() {
    const PART: &[u8] = b"data";
    let mut splitter = Splitter::default();
    let began_at = Instant::now();
    for _ in 0..MAX_EVENT_BYTES / PART.len() - 1 {
        assert_eq!(splitter.push(Bytes::from_static(PART)), Ok(None));
    }
    let events = splitter.push(Bytes::from_static(b"\n\n")).expect("an event within the bound");
    assert_eq!(events.map(|events| events.len()), Some(MAX_EVENT_BYTES - PART.len() + 2));
    assert!(began_at.elapsed() < Duration::from_secs(5), "{:?}", began_at.elapsed());
}

/// The splitter before the bound: it searches all buffered bytes for the end of an event.
fn split_by_search(incomplete: &mut Vec<u8>, part: &[u8]) -> Option<Bytes> {
    incomplete.extend_from_slice(part);
    let end = incomplete.windows(2).rposition(|pair| pair == b"\n\n")? + 2;
    Some(incomplete.drain(..end).collect())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// For any chunk boundaries in the input, the output equals the input and each piece of it ends
    /// at an event boundary.
    #[test]
    fn chunk_boundaries_do_not_change_the_events(count in 1..12u64, chunk_sizes in prop::collection::vec(1..40usize, 0..20)) {
        let text: String = (1..=count).map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize))).collect();
        let mut splitter = Splitter::default();
        let mut output = String::new();
        let mut remaining = Bytes::from(text.clone());
        for chunk_size in chunk_sizes.into_iter().chain([usize::MAX]) {
            let chunk = remaining.split_to(chunk_size.min(remaining.len()));
            if let Some(events) = splitter.push(chunk).unwrap() {
                prop_assert!(events.ends_with(b"\n\n"));
                output.push_str(std::str::from_utf8(&events).unwrap());
            }
        }
        prop_assert_eq!(output, text);
        prop_assert_eq!(splitter.last_id(), Some(count));
        prop_assert!(splitter.is_at_boundary());
    }

    /// For any bytes in any parts, each part completes the same events as with a search of all
    /// bytes, also where line ends meet the boundaries of parts.
    #[test]
    fn events_are_the_same_as_by_a_search_of_all_bytes(
        parts in prop::collection::vec(prop::collection::vec(prop::sample::select(b"\n\n\nid: 12x".to_vec()), 0..12), 0..30),
    ) {
        let mut splitter = Splitter::default();
        let mut incomplete = Vec::new();
        for part in parts {
            let expected = split_by_search(&mut incomplete, &part);
            prop_assert_eq!(splitter.push(Bytes::from(part)), Ok(expected));
            prop_assert_eq!(splitter.is_at_boundary(), incomplete.is_empty());
        }
    }
}

fn numbered(ids: &[u64]) -> String {
    ids.iter().map(|id| format!("id: {id}\ndata: x\n\n")).collect()
}

#[test]
fn sequence_ends_before_an_event_that_does_not_follow() {
    for (last_id, ids, valid_events, gap) in [
        (None, [3, 4, 5], 3, None),
        (Some(2), [3, 4, 5], 3, None),
        (Some(2), [3, 5, 9], 3, None),
        (Some(2), [3, 3, 4], 1, Some((3, 3))),
        (Some(2), [2, 3, 4], 0, Some((2, 2))),
        (Some(2), [3, 5, 4], 2, Some((5, 4))),
        (Some(u64::MAX), [0, 1, 2], 0, Some((u64::MAX, 0))),
    ] {
        let mut sequence = Sequence::after(last_id);
        let gap = gap.map(|(last_id, id)| OutOfSequence { last_id, id });
        let valid_len = numbered(&ids[..valid_events]).len();
        assert_eq!(sequence.advance(numbered(&ids).as_bytes()), (valid_len, gap));
        let last_id = ids[..valid_events].last().copied().or(last_id);
        assert_eq!(sequence.last_id(), last_id);
    }
}

#[test]
fn sequence_continues_over_events_without_ids() {
    let mut sequence = Sequence::after(Some(1));
    let events =
        [": alive\n\n".to_owned(), numbered(&[2]), "data: x\n\n".to_owned(), numbered(&[3])];
    assert_eq!(sequence.advance(events.concat().as_bytes()), (events.concat().len(), None));
    assert_eq!(sequence.last_id(), Some(3));
}

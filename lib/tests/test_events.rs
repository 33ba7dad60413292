//! The event splitter outputs complete events only.

use bytes::Bytes;
use copperweir_lib::protocol::events::Splitter;
use proptest::prelude::*;

#[test]
fn incomplete_event_is_buffered() {
    let mut splitter = Splitter::default();
    assert_eq!(
        splitter.push(Bytes::from("id: 1\ndata: a\n\nid: 2\nda")),
        Some("id: 1\ndata: a\n\n".into())
    );
    assert_eq!((splitter.last_id(), splitter.is_at_boundary()), (Some(1), false));
    assert_eq!(splitter.push(Bytes::from("ta: b\n\n")), Some("id: 2\ndata: b\n\n".into()));
    assert_eq!((splitter.last_id(), splitter.is_at_boundary()), (Some(2), true));
    assert_eq!(splitter.push(Bytes::from("id: 3\nda")), None);
    splitter.discard_incomplete();
    assert!(splitter.is_at_boundary());
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
            if let Some(events) = splitter.push(chunk) {
                prop_assert!(events.ends_with(b"\n\n"));
                output.push_str(std::str::from_utf8(&events).unwrap());
            }
        }
        prop_assert_eq!(output, text);
        prop_assert_eq!(splitter.last_id(), Some(count));
        prop_assert!(splitter.is_at_boundary());
    }
}

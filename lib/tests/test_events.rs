//! Streams of events are passed on in whole events only.

use bytes::Bytes;
use copperweir_lib::protocol::events::Splitter;
use proptest::prelude::*;

#[test]
fn an_incomplete_event_waits() {
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

    /// However the bytes are cut, what comes out is what went in, at event boundaries.
    #[test]
    fn nothing_is_lost_or_cut(count in 1..12u64, cuts in prop::collection::vec(1..40usize, 0..20)) {
        let text: String = (1..=count).map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize))).collect();
        let mut splitter = Splitter::default();
        let mut passed = String::new();
        let mut rest = Bytes::from(text.clone());
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let piece = rest.split_to(cut.min(rest.len()));
            if let Some(events) = splitter.push(piece) {
                prop_assert!(events.ends_with(b"\n\n"));
                passed.push_str(std::str::from_utf8(&events).unwrap());
            }
        }
        prop_assert_eq!(passed, text);
        prop_assert_eq!(splitter.last_id(), Some(count));
        prop_assert!(splitter.is_at_boundary());
    }
}

//! The log stays bounded, and says what it left out.

use super::*;

fn written(journal: &Journal) -> String {
    let mut out = Vec::new();
    journal.write_out(&mut out);
    String::from_utf8(out).expect("text")
}

#[test]
fn a_kind_has_so_many_lines_a_second_and_the_rest_is_counted() {
    let now = Instant::now();
    let journal = Journal::new(now);
    for _ in 0..LINES_PER_SECOND + 30 {
        journal.take("event=placed request=1", "event=placed", now);
    }
    journal.take("event=started", "event=started", now);
    let lines = written(&journal);
    assert_eq!(lines.matches("event=placed").count(), LINES_PER_SECOND as usize);
    assert_eq!(lines.matches("event=started").count(), 1, "one kind does not crowd out another");
    journal.take("event=placed request=2", "event=placed", now + SPAN);
    let lines = written(&journal);
    assert!(lines.contains("event=lines_left_out kind=event=placed count=30"), "{lines}");
    assert!(lines.contains("request=2"));
}

#[test]
fn a_full_buffer_leaves_lines_out() {
    let now = Instant::now();
    let journal = Journal::new(now);
    let long = "x".repeat(BUFFER / 2);
    for kind in ["a", "b", "c"] {
        journal.take(&long, kind, now);
    }
    assert!(written(&journal).len() <= BUFFER);
    journal.take("after", "a", now + SPAN);
    assert!(written(&journal).contains("kind=c count=1"));
}

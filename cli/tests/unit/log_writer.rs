//! The log writer is bounded and reports the lines that it dropped.

use super::*;

fn buffered_text(writer: &BufferedLogWriter) -> String {
    let mut out = Vec::new();
    writer.write_buffer(&mut out);
    String::from_utf8(out).expect("text")
}

#[test]
fn lines_above_the_rate_limit_of_a_kind_are_dropped_and_counted() {
    let now = Instant::now();
    let writer = BufferedLogWriter::new(now);
    for _ in 0..MAX_LINES_PER_KIND + 30 {
        writer.append("event=placed request=1", "event=placed", now);
    }
    writer.append("event=started", "event=started", now);
    let lines = buffered_text(&writer);
    assert_eq!(lines.matches("event=placed").count(), MAX_LINES_PER_KIND as usize);
    assert_eq!(
        lines.matches("event=started").count(),
        1,
        "the limit of one kind does not affect another"
    );
    writer.append("event=placed request=2", "event=placed", now + RATE_WINDOW);
    let lines = buffered_text(&writer);
    assert!(lines.contains("event=lines_left_out kind=event=placed count=30"), "{lines}");
    assert!(lines.contains("request=2"));
}

#[test]
fn lines_that_exceed_the_buffer_are_dropped_and_counted() {
    let now = Instant::now();
    let writer = BufferedLogWriter::new(now);
    let long_line = "x".repeat(MAX_BUFFER_BYTES / 2);
    for kind in ["a", "b", "c"] {
        writer.append(&long_line, kind, now);
    }
    assert!(buffered_text(&writer).len() <= MAX_BUFFER_BYTES);
    writer.append("after", "a", now + RATE_WINDOW);
    assert!(buffered_text(&writer).contains("kind=c count=1"));
}

//! The log's way to standard output: bounded, and never in anybody's way.
//!
//! Lines wait in a buffer that a thread of its own writes out a few times a
//! second. A kind of line has so many a second; lines beyond that, and those
//! that find the buffer full, are left out and counted. A reader that does not
//! read holds up that thread only.

use std::collections::HashMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

/// Lines of one kind in a second. A box at twice its usual traffic stays under it.
const LINES_PER_SECOND: u32 = 250;
/// Bytes that wait to be written: some seconds of a busy box.
const BUFFER: usize = 1 << 20;
/// Time between writes.
const PERIOD: Duration = Duration::from_millis(200);
/// Span that lines are counted over.
const SPAN: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Kind {
    lines: u32,
    left_out: u64,
}

struct State {
    buffer: Vec<u8>,
    kinds: HashMap<String, Kind>,
    span_started: Instant,
}

/// A writer that never blocks.
#[derive(Clone)]
pub struct Journal {
    state: Arc<Mutex<State>>,
}

impl Journal {
    /// Starts the thread that writes.
    pub fn start() -> std::io::Result<Journal> {
        let journal = Journal::new(Instant::now());
        let writing = journal.clone();
        let run = move || {
            loop {
                std::thread::sleep(PERIOD);
                writing.write_out(&mut std::io::stdout());
            }
        };
        std::thread::Builder::new().name("journal".to_owned()).spawn(run)?;
        Ok(journal)
    }

    fn new(now: Instant) -> Journal {
        let state = State { buffer: Vec::new(), kinds: HashMap::new(), span_started: now };
        Journal { state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a line in, or counts it as left out.
    fn take(&self, line: &str, kind: &str, now: Instant) {
        let mut state = self.lock();
        if now >= state.span_started + SPAN {
            state.end_span(now);
        }
        let full = state.buffer.len() + line.len() > BUFFER;
        let counted = state.kinds.entry(kind.to_owned()).or_default();
        if full || counted.lines >= LINES_PER_SECOND {
            counted.left_out += 1;
            return;
        }
        counted.lines += 1;
        state.buffer.extend_from_slice(line.as_bytes());
        state.buffer.push(b'\n');
    }

    /// Writes what waits.
    fn write_out(&self, out: &mut impl Write) {
        let waiting = std::mem::take(&mut self.lock().buffer);
        if waiting.is_empty() {
            return;
        }
        // Nobody is left to be told if standard output is gone.
        let _ = out.write_all(&waiting).and_then(|()| out.flush());
    }
}

impl State {
    /// Says what was left out, and begins to count anew.
    fn end_span(&mut self, now: Instant) {
        for (kind, counted) in std::mem::take(&mut self.kinds) {
            if counted.left_out > 0 {
                let line = format!("event=lines_left_out kind={kind} count={}\n", counted.left_out);
                self.buffer.extend_from_slice(line.as_bytes());
            }
        }
        self.span_started = now;
    }
}

/// The kind of a line: its first word.
fn kind(text: &str) -> &str {
    text.split(' ').next().unwrap_or_default()
}

impl LogWriter for Journal {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let text = record.args().to_string();
        let time = now.now().format("%Y-%m-%dT%H:%M:%S%.3fZ");
        let level = record.level().as_str().to_lowercase();
        let line = format!("time={time} level={level} {text}");
        self.take(&line, kind(&text), Instant::now());
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        self.write_out(&mut std::io::stdout());
        Ok(())
    }
}

#[cfg(test)]
#[path = "../tests/unit/journal.rs"]
mod tests;

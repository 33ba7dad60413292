//! A log writer that buffers lines in bounded memory and never blocks its caller.
//!
//! A dedicated thread writes the buffer to standard output a few times a
//! second, so a reader that stops reading blocks only this thread. At the end of
//! the process the last lines are written too, unless the reader doesn't take
//! them within a short time: a full pipe without a reader must not keep the
//! process running until it is killed. Each kind of line has a rate limit; lines above it, and lines that do not fit into the
//! buffer, are dropped and counted.

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

/// Maximum number of lines of one kind per second. A box at twice its usual traffic logs fewer
/// lines.
const MAX_LINES_PER_KIND: u32 = 250;
/// Size limit of the buffer in bytes, enough for some seconds of a busy box.
const MAX_BUFFER_BYTES: usize = 1 << 20;
/// Time between two writes to standard output.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time that the end of the process waits for the last lines. Standard output that has room
/// takes them within milliseconds.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Time over which the rate limit counts lines.
const RATE_WINDOW: Duration = Duration::from_secs(1);

#[derive(Default)]
/// Counts of one kind of line in the current window.
struct LineCounts {
    written: u32,
    dropped: u64,
}

struct State {
    buffer: Vec<u8>,
    counts_by_kind: HashMap<String, LineCounts>,
    window_start: Instant,
}

/// A buffered log writer; clones share the buffer.
#[derive(Clone)]
pub struct BufferedLogWriter {
    state: Arc<Mutex<State>>,
    /// Held while lines are written, so that a flush also waits for lines that were taken from the
    /// buffer before.
    output: Arc<Mutex<()>>,
}

impl BufferedLogWriter {
    /// Starts the thread that writes to standard output.
    pub fn start() -> std::io::Result<BufferedLogWriter> {
        let writer = BufferedLogWriter::new(Instant::now());
        let thread_writer = writer.clone();
        let run = move || {
            loop {
                std::thread::sleep(WRITE_INTERVAL);
                thread_writer.write_buffer(&mut std::io::stdout());
            }
        };
        std::thread::Builder::new().name("journal".to_owned()).spawn(run)?;
        Ok(writer)
    }

    fn new(now: Instant) -> BufferedLogWriter {
        let state = State { buffer: Vec::new(), counts_by_kind: HashMap::new(), window_start: now };
        BufferedLogWriter { state: Arc::new(Mutex::new(state)), output: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a line to the buffer, or drops and counts it.
    fn append(&self, line: &str, kind: &str, now: Instant) {
        let mut state = self.lock();
        if now >= state.window_start + RATE_WINDOW {
            state.start_window(now);
        }
        let is_full = state.buffer.len() + line.len() > MAX_BUFFER_BYTES;
        let counts = state.counts_by_kind.entry(kind.to_owned()).or_default();
        if is_full || counts.written >= MAX_LINES_PER_KIND {
            counts.dropped += 1;
            return;
        }
        counts.written += 1;
        state.buffer.extend_from_slice(line.as_bytes());
        state.buffer.push(b'\n');
    }

    /// Writes the buffered lines to `out`.
    fn write_buffer(&self, out: &mut impl Write) {
        let _output = self.output.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = std::mem::take(&mut self.lock().buffer);
        if lines.is_empty() {
            return;
        }
        // If standard output is closed, there is no other place to report it.
        let _ = out.write_all(&lines).and_then(|()| out.flush());
    }
}

impl State {
    /// Logs how many lines of each kind were dropped, and starts a new window.
    fn start_window(&mut self, now: Instant) {
        for (kind, counts) in std::mem::take(&mut self.counts_by_kind) {
            if counts.dropped > 0 {
                let line = format!("event=lines_left_out kind={kind} count={}\n", counts.dropped);
                self.buffer.extend_from_slice(line.as_bytes());
            }
        }
        self.window_start = now;
    }
}

/// Returns the kind of a line, which is its first word.
fn line_kind(text: &str) -> &str {
    text.split(' ').next().unwrap_or_default()
}

impl LogWriter for BufferedLogWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let text = record.args().to_string();
        let time = now.now().format("%Y-%m-%dT%H:%M:%S%.3fZ");
        let level = record.level().as_str().to_lowercase();
        let line = format!("time={time} level={level} {text}");
        self.append(&line, line_kind(&text), Instant::now());
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let writer = self.clone();
        crate::output::run_within(FLUSH_TIMEOUT, move || {
            writer.write_buffer(&mut std::io::stdout());
        })
    }
}

#[cfg(test)]
#[path = "../tests/unit/log_writer.rs"]
mod tests;

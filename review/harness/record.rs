//! The record of what was sent, run and answered.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// A run at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub attempt: String,
    pub at: Instant,
}

#[derive(Default)]
struct Entries {
    lines: Vec<(Instant, String)>,
    runs: Vec<Run>,
}

/// The record; clones share it.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    entries: Arc<Mutex<Entries>>,
}

impl Record {
    /// Creates an empty record.
    pub fn new() -> Record {
        Record { begun: Instant::now(), entries: Arc::default() }
    }

    /// Adds a line.
    pub fn note(&self, text: impl Into<String>) -> Instant {
        let now = Instant::now();
        self.entries.lock().unwrap().lines.push((now, text.into()));
        now
    }

    /// Records that a worker begins to run a request.
    pub fn run(&self, worker: &str, attempt: &str) {
        let at = self.note(format!("worker {worker} runs request {attempt}"));
        let run = Run { worker: worker.to_owned(), attempt: attempt.to_owned(), at };
        self.entries.lock().unwrap().runs.push(run);
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.entries.lock().unwrap().runs.clone()
    }

    /// The first run of each request.
    pub fn runs_by_attempt(&self) -> HashMap<String, Run> {
        let mut runs = HashMap::new();
        for run in self.runs() {
            runs.entry(run.attempt.clone()).or_insert(run);
        }
        runs
    }

    /// Writes the lines in order of time.
    pub fn write(&self, file: &Path) -> std::io::Result<()> {
        let mut lines = self.entries.lock().unwrap().lines.clone();
        lines.sort_by_key(|(at, _)| *at);
        let line = |(at, text): &(Instant, String)| {
            let seconds = at.saturating_duration_since(self.begun).as_secs_f64();
            format!("{seconds:8.3} s  {text}\n")
        };
        std::fs::write(file, lines.iter().map(line).collect::<String>())
    }
}

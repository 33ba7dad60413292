//! Output formats and tables.

use std::io;
use std::str::FromStr;
use std::sync::mpsc;
use std::time::Duration;

/// Output format of a command.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Tables and sentences for people.
    #[default]
    Text,
    /// JSON for programs.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(format!("unknown format \"{text}\"; expected text or json")),
        }
    }
}

/// Runs something that may block on its output. It goes on in another thread if it takes longer.
pub fn run_within(limit: Duration, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let (sender, done) = mpsc::channel();
    std::thread::Builder::new().name("output".to_owned()).spawn(move || {
        run();
        // The receiver is gone if it took too long.
        let _ = sender.send(());
    })?;
    done.recv_timeout(limit).map_err(|error| io::Error::new(io::ErrorKind::TimedOut, error))
}

/// Formats a table with aligned columns.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let format_line = |cells: &[String]| {
        let padded_cells = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        padded_cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let header: Vec<String> = header.iter().map(ToString::to_string).collect();
    let mut lines = vec![format_line(&header)];
    lines.extend(rows.iter().map(|row| format_line(row)));
    lines.join("\n")
}

//! Forms of output.

use std::str::FromStr;

/// How a command prints what it found.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For programs.
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

/// A table with aligned columns.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: &[String]| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let header: Vec<String> = header.iter().map(ToString::to_string).collect();
    let mut lines = vec![line(&header)];
    lines.extend(rows.iter().map(|row| line(row)));
    lines.join("\n")
}

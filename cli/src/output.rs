//! Output formats and tables.

use std::str::FromStr;

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

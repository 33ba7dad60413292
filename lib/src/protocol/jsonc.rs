//! JSON with comments, with the position of every value.
//!
//! The parser is that of a library. This module maps the path of a value to its line and column,
//! for error messages.

use std::fmt;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::Scanner;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::tokens::Token;

/// Maximum depth of a file. The configuration has six levels.
const MAX_DEPTH: usize = 64;

/// One problem in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The file name as given by the user.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The path of the value, such as `pools.logs.servers`; empty for the whole file.
    pub path: String,
    /// What is wrong and what was expected.
    pub message: String,
    /// How to fix it.
    pub hint: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}", self.message)?;
        if let Some(hint) = &self.hint {
            write!(f, "\n  hint: {hint}")?;
        }
        Ok(())
    }
}

/// All problems in a set of files.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Problems(pub Vec<Problem>);

/// A parsed file.
pub struct Document<'a> {
    /// The file name as given by the user.
    pub file: &'a str,
    text: &'a str,
    root: ast::Value<'a>,
}

impl<'a> Document<'a> {
    /// Parses `text`.
    pub fn parse(file: &'a str, text: &'a str) -> Result<Document<'a>, Problem> {
        let options = ParseOptions {
            allow_comments: true,
            allow_loose_object_property_names: false,
            allow_trailing_commas: true,
        };
        let (offset, message) = if let Some(offset) = find_deep_nesting(text) {
            (offset, format!("more than {MAX_DEPTH} levels of nesting"))
        } else {
            match jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options) {
                Ok(result) => match result.value {
                    Some(root) => return Ok(Document { file, text, root }),
                    None => (0, "the file is empty; expected an object".to_owned()),
                },
                Err(error) => (error.range().start, error.kind().to_string()),
            }
        };
        let (line, column) = position(text, offset);
        Err(Problem {
            file: file.to_owned(),
            line,
            column,
            path: String::new(),
            message: format!("not valid JSON with comments: {message}"),
            hint: None,
        })
    }

    /// Returns the root value.
    pub fn root(&self) -> &ast::Value<'a> {
        &self.root
    }

    /// Returns the file as plain JSON.
    pub fn to_json(&self) -> serde_json::Value {
        self.root.clone().into()
    }

    /// Creates a problem for the value that starts at an offset.
    pub fn problem_at(
        &self,
        start: usize,
        path: &str,
        message: impl Into<String>,
        hint: Option<String>,
    ) -> Problem {
        let (line, column) = position(self.text, start);
        Problem {
            file: self.file.to_owned(),
            line,
            column,
            path: path.to_owned(),
            message: message.into(),
            hint,
        }
    }

    /// Creates a problem for the value at a path. If the path does not exist, the position is that
    /// of its closest existing ancestor.
    pub fn problem(
        &self,
        path: &[&str],
        message: impl Into<String>,
        hint: Option<String>,
    ) -> Problem {
        let mut value = &self.root;
        for segment in path {
            match child(value, segment) {
                Some(next) => value = next,
                None => break,
            }
        }
        self.problem_at(value.start(), &path.join("."), message, hint)
    }
}

/// The offset of the first value below the maximum depth. The parser calls itself for each level, so
/// it would overflow the stack of its thread.
fn find_deep_nesting(text: &str) -> Option<usize> {
    let mut scanner = Scanner::new(text);
    let mut depth = 0_usize;
    // The parser reports text that has no tokens.
    while let Ok(Some(token)) = scanner.scan() {
        match token {
            Token::OpenBrace | Token::OpenBracket => depth += 1,
            Token::CloseBrace | Token::CloseBracket => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Some(scanner.token_start());
        }
    }
    None
}

fn child<'a, 'b>(value: &'b ast::Value<'a>, segment: &str) -> Option<&'b ast::Value<'a>> {
    match value {
        ast::Value::Object(object) => object.get(segment).map(|property| &property.value),
        ast::Value::Array(array) => array.elements.get(segment.parse::<usize>().ok()?),
        _ => None,
    }
}

fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    (line, column)
}

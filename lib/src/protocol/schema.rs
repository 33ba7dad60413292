//! Shapes of files: which fields there are, of which type, and what they mean.
//!
//! A [`Shape`] finds every misplaced value of a file in one pass, and its
//! documentation makes the reference page for operators, so the two cannot
//! drift apart. What a shape cannot say (names that must exist elsewhere,
//! ranges) is checked by the `TryFrom` of the type that the file becomes.

use std::fmt::Write;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;

use super::jsonc::Document;
use super::jsonc::Problem;

/// The shape of a value.
#[derive(Clone, Copy)]
pub enum Shape {
    /// Text.
    String,
    /// A whole number from 0.
    UnsignedInteger,
    /// A number.
    Number,
    /// `true` or `false`.
    Boolean,
    /// One of these words.
    Enum(&'static [&'static str]),
    /// A list.
    List(&'static Shape),
    /// An object with names that the user chooses.
    Map(&'static Shape),
    /// An object with these fields.
    Object(&'static [Field]),
}

/// A field of an object.
pub struct Field {
    /// Its name.
    pub name: &'static str,
    /// Whether it must be there.
    pub required: bool,
    /// The shape of its value.
    pub shape: Shape,
    /// What it means, with units and default.
    pub doc: &'static str,
}

impl Field {
    /// A field that must be there.
    pub const fn required(name: &'static str, shape: Shape, doc: &'static str) -> Field {
        Field { name, required: true, shape, doc }
    }

    /// A field that may be left out.
    pub const fn optional(name: &'static str, shape: Shape, doc: &'static str) -> Field {
        Field { name, required: false, shape, doc }
    }
}

impl Shape {
    fn expected(&self) -> String {
        match self {
            Shape::String => "text in quotes".to_owned(),
            Shape::UnsignedInteger => "a whole number from 0".to_owned(),
            Shape::Number => "a number".to_owned(),
            Shape::Boolean => "true or false".to_owned(),
            Shape::Enum(words) => format!("one of {}", words.join(", ")),
            Shape::List(_) => "a list".to_owned(),
            Shape::Map(_) | Shape::Object(_) => "an object".to_owned(),
        }
    }

    /// Everything in the document that does not have this shape.
    pub fn check(&self, document: &Document<'_>) -> Vec<Problem> {
        let mut problems = Vec::new();
        self.visit(document, document.root(), &mut String::new(), &mut problems);
        problems
    }

    fn visit(
        &self,
        document: &Document<'_>,
        value: &ast::Value<'_>,
        path: &mut String,
        problems: &mut Vec<Problem>,
    ) {
        match (self, value) {
            (Shape::String, ast::Value::StringLit(_)) => {}
            (Shape::Boolean, ast::Value::BooleanLit(_)) => {}
            (Shape::Number, ast::Value::NumberLit(_)) => {}
            (Shape::UnsignedInteger, ast::Value::NumberLit(number))
                if number.value.parse::<u64>().is_ok() => {}
            (Shape::Enum(words), ast::Value::StringLit(text)) if words.contains(&&*text.value) => {}
            (Shape::Enum(words), ast::Value::StringLit(text)) => {
                let message =
                    format!("\"{}\" is not known; expected {}", text.value, self.expected());
                let hint = suggestion(&text.value, words.iter().copied());
                problems.push(document.problem_at(value.start(), path, message, hint));
            }
            (Shape::List(shape), ast::Value::Array(array)) => {
                for (index, element) in array.elements.iter().enumerate() {
                    within(path, &index.to_string(), |path| {
                        shape.visit(document, element, path, problems);
                    });
                }
            }
            (Shape::Map(shape), ast::Value::Object(object)) => {
                for property in &object.properties {
                    within(path, property.name.as_str(), |path| {
                        shape.visit(document, &property.value, path, problems);
                    });
                }
            }
            (Shape::Object(fields), ast::Value::Object(object)) => {
                visit_object(fields, document, object, path, problems);
            }
            _ => {
                let message = format!("expected {}", self.expected());
                problems.push(document.problem_at(value.start(), path, message, None));
            }
        }
    }

    /// Rows for the reference page: path, shape, whether required, meaning.
    pub fn reference_rows(&self) -> String {
        let mut rows = String::new();
        self.describe("", &mut rows);
        rows
    }

    fn describe(&self, path: &str, rows: &mut String) {
        match self {
            Shape::Object(fields) => {
                for field in *fields {
                    let path = if path.is_empty() {
                        field.name.to_owned()
                    } else {
                        format!("{path}.{}", field.name)
                    };
                    let required = if field.required { "yes" } else { "no" };
                    let expected = field.shape.expected();
                    let _ =
                        writeln!(rows, "| `{path}` | {expected} | {required} | {} |", field.doc);
                    field.shape.describe(&path, rows);
                }
            }
            Shape::Map(shape) => shape.describe(&format!("{path}.<name>"), rows),
            Shape::List(shape) => shape.describe(&format!("{path}.<n>"), rows),
            _ => {}
        }
    }
}

fn visit_object(
    fields: &[Field],
    document: &Document<'_>,
    object: &ast::Object<'_>,
    path: &mut String,
    problems: &mut Vec<Problem>,
) {
    let mut seen = Vec::with_capacity(object.properties.len());
    for property in &object.properties {
        let name = property.name.as_str();
        within(path, name, |path| {
            if seen.contains(&name) {
                let message = "the field stands twice";
                problems.push(document.problem_at(property.start(), path, message, None));
            }
            match fields.iter().find(|field| field.name == name) {
                Some(field) => field.shape.visit(document, &property.value, path, problems),
                None => {
                    let hint = suggestion(name, fields.iter().map(|field| field.name));
                    problems.push(document.problem_at(
                        property.start(),
                        path,
                        "unknown field",
                        hint,
                    ));
                }
            }
        });
        seen.push(name);
    }
    for field in fields.iter().filter(|field| field.required && !seen.contains(&field.name)) {
        let message =
            format!("field \"{}\" is missing; expected {}", field.name, field.shape.expected());
        let hint = Some(field.doc.to_owned());
        problems.push(document.problem_at(object.start(), path, message, hint));
    }
}

fn within(path: &mut String, part: &str, visit: impl FnOnce(&mut String)) {
    let length = path.len();
    if length > 0 {
        path.push('.');
    }
    path.push_str(part);
    visit(path);
    path.truncate(length);
}

/// A hint that names the nearest known word, or all of them.
pub fn suggestion<'a>(given: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    let known: Vec<&str> = known.collect();
    let best = known.iter().min_by_key(|word| distance(given, word))?;
    if distance(given, best) <= 2 {
        return Some(format!("did you mean \"{best}\"?"));
    }
    Some(format!("known here: {}", known.join(", ")))
}

fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}

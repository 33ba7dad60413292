//! Schemas of files: the fields, their types and their meaning.
//!
//! A [`Shape`] finds all unknown, missing and wrongly typed fields of a file in one pass. The
//! reference page for operators is generated from the same shape, so the two cannot diverge. What a
//! shape cannot express (ranges, names that must be defined elsewhere in the configuration) is
//! checked by the `TryFrom` implementation of the type that the file is converted to.

use std::fmt::Write;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;

use super::jsonc::Document;
use super::jsonc::Problem;

/// The shape of a value.
#[derive(Clone, Copy)]
pub enum Shape {
    /// A string.
    String,
    /// An integer of at least 0.
    UnsignedInteger,
    /// A number.
    Number,
    /// `true` or `false`.
    Boolean,
    /// One of these strings.
    Enum(&'static [&'static str]),
    /// A list of values of one shape.
    List(&'static Shape),
    /// An object whose keys are chosen by the user.
    Map(&'static Shape),
    /// An object with these fields.
    Object(&'static [Field]),
}

/// A field of an object.
pub struct Field {
    /// The name.
    pub name: &'static str,
    /// Whether the field is required.
    pub required: bool,
    /// The shape of the value.
    pub shape: Shape,
    /// The meaning of the field, with its unit and default.
    pub doc: &'static str,
}

impl Field {
    /// Creates a required field.
    pub const fn required(name: &'static str, shape: Shape, doc: &'static str) -> Field {
        Field { name, required: true, shape, doc }
    }

    /// Creates an optional field.
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
            Shape::Enum(values) => format!("one of {}", values.join(", ")),
            Shape::List(_) => "a list".to_owned(),
            Shape::Map(_) | Shape::Object(_) => "an object".to_owned(),
        }
    }

    /// Returns a problem for each value of the document that does not match this shape.
    pub fn validate(&self, document: &Document<'_>) -> Vec<Problem> {
        let mut problems = Vec::new();
        self.collect_problems(document, document.root(), &mut String::new(), &mut problems);
        problems
    }

    fn collect_problems(
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
            (Shape::Enum(values), ast::Value::StringLit(text))
                if values.contains(&&*text.value) => {}
            (Shape::Enum(values), ast::Value::StringLit(text)) => {
                let message =
                    format!("\"{}\" is not known; expected {}", text.value, self.expected());
                let hint = suggestion(&text.value, values.iter().copied());
                problems.push(document.problem_at(value.start(), path, message, hint));
            }
            (Shape::List(shape), ast::Value::Array(array)) => {
                for (index, element) in array.elements.iter().enumerate() {
                    with_path_segment(path, &index.to_string(), |path| {
                        shape.collect_problems(document, element, path, problems);
                    });
                }
            }
            (Shape::Map(shape), ast::Value::Object(object)) => {
                for property in &object.properties {
                    with_path_segment(path, property.name.as_str(), |path| {
                        shape.collect_problems(document, &property.value, path, problems);
                    });
                }
            }
            (Shape::Object(fields), ast::Value::Object(object)) => {
                collect_object_problems(fields, document, object, path, problems);
            }
            _ => {
                let message = format!("expected {}", self.expected());
                problems.push(document.problem_at(value.start(), path, message, None));
            }
        }
    }

    /// Returns the rows of the reference page: path, shape, whether required, meaning.
    pub fn reference_rows(&self) -> String {
        let mut rows = String::new();
        self.write_rows("", &mut rows);
        rows
    }

    fn write_rows(&self, path: &str, rows: &mut String) {
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
                    field.shape.write_rows(&path, rows);
                }
            }
            Shape::Map(shape) => shape.write_rows(&format!("{path}.<name>"), rows),
            Shape::List(shape) => shape.write_rows(&format!("{path}.<n>"), rows),
            _ => {}
        }
    }
}

fn collect_object_problems(
    fields: &[Field],
    document: &Document<'_>,
    object: &ast::Object<'_>,
    path: &mut String,
    problems: &mut Vec<Problem>,
) {
    let mut seen = Vec::with_capacity(object.properties.len());
    for property in &object.properties {
        let name = property.name.as_str();
        with_path_segment(path, name, |path| {
            if seen.contains(&name) {
                let message = "duplicate field";
                problems.push(document.problem_at(property.start(), path, message, None));
            }
            match fields.iter().find(|field| field.name == name) {
                Some(field) => {
                    field.shape.collect_problems(document, &property.value, path, problems)
                }
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

fn with_path_segment(path: &mut String, segment: &str, visit: impl FnOnce(&mut String)) {
    let length = path.len();
    if length > 0 {
        path.push('.');
    }
    path.push_str(segment);
    visit(path);
    path.truncate(length);
}

/// Returns a hint for an invalid name: the most similar valid name, or else all valid names.
pub fn suggestion<'a>(given: &str, valid_names: impl Iterator<Item = &'a str>) -> Option<String> {
    let valid_names: Vec<&str> = valid_names.collect();
    let closest = valid_names.iter().min_by_key(|name| edit_distance(given, name))?;
    if edit_distance(given, closest) <= 2 {
        return Some(format!("did you mean \"{closest}\"?"));
    }
    Some(format!("known here: {}", valid_names.join(", ")))
}

/// Returns the Levenshtein distance.
fn edit_distance(a: &str, b: &str) -> usize {
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

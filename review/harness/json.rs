//! A small JSON reader, for the calls that boxes make to the store.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `Null` if it is not JSON.
    pub fn parse(text: &str) -> Json {
        let bytes = text.as_bytes();
        parse_value(bytes, &mut 0).unwrap_or(Json::Null)
    }

    /// A field of an object; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    /// The number as an integer; 0 for anything else.
    pub fn integer(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    /// The text; empty for anything else.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// The items of a list; none for anything else.
    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Quotes a text. Only texts without control characters are written here.
pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

fn skip_blanks(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip_blanks(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = parse_text(bytes, at)?;
                        skip_blanks(bytes, at);
                        (*bytes.get(*at)? == b':').then_some(())?;
                        *at += 1;
                        fields.insert(name, parse_value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_blanks(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => Some(Json::Text(parse_text(bytes, at)?)),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]} \n\r\t".contains(byte)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "true" => Some(Json::Bool),
                "false" => Some(Json::Bool),
                "null" => Some(Json::Null),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    (*bytes.get(*at)? == b'"').then_some(())?;
    *at += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                *at += 1;
                match *bytes.get(*at)? {
                    b'n' => text.push(b'\n'),
                    b'r' => text.push(b'\r'),
                    b't' => text.push(b'\t'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let sign = char::from_u32(code)?;
                        text.extend_from_slice(sign.to_string().as_bytes());
                        *at += 4;
                    }
                    other => text.push(other),
                }
                *at += 1;
            }
            byte => {
                text.push(byte);
                *at += 1;
            }
        }
    }
}

/// Encodes bytes in standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            if position <= chunk.len() {
                text.push(SIGNS[(bits >> (18 - 6 * position)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

//! Responses, and where they stop.

use std::fmt;
use std::str::FromStr;

use super::ID;

/// The body of responses that are no streams of events.
pub const BODY: &str = "a whole body";
/// The body of streams of events.
pub const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: [DONE]\n\n";

/// Kinds of responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// A body with a length.
    Length,
    /// A chunked body of two chunks, the second one with an extension.
    Chunked,
    /// A chunked body with trailers.
    Trailers,
    /// A body that ends with its connection.
    Unsized,
    /// A body with a length after two interim responses.
    Interim,
    /// A head in whose middle a name and a value stop at the ends of segments.
    Segments,
    /// A response without a body.
    NoContent,
    /// A response to a HEAD request, with the length of a body that isn't sent.
    HeadOnly,
    /// A chunked stream of events.
    EventChunks,
    /// A stream of events with a length.
    EventLength,
    /// A stream of events that ends with its connection.
    EventUnsized,
    /// A change of the protocol, which nobody asked for.
    Switch,
}

impl Shape {
    /// All shapes that may be whole responses.
    pub const ALL: [Shape; 11] = [
        Shape::Length,
        Shape::Chunked,
        Shape::Trailers,
        Shape::Unsized,
        Shape::Interim,
        Shape::Segments,
        Shape::NoContent,
        Shape::HeadOnly,
        Shape::EventChunks,
        Shape::EventLength,
        Shape::EventUnsized,
    ];

    /// Whether it is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Shape::EventChunks | Shape::EventLength | Shape::EventUnsized)
    }

    /// Whether its body ends with the connection.
    pub fn ends_with_connection(self) -> bool {
        matches!(self, Shape::Unsized | Shape::EventUnsized)
    }

    /// The method of requests that get it.
    pub fn method(self) -> &'static str {
        if self == Shape::HeadOnly { "HEAD" } else { "POST" }
    }

    /// The body that a caller gets.
    pub fn body(self) -> &'static str {
        match self {
            Shape::NoContent | Shape::HeadOnly | Shape::Switch => "",
            _ if self.is_stream() => EVENTS,
            _ => BODY,
        }
    }

    /// The head of the response to a request, and what follows it. A stream goes on after the event
    /// `last_event`.
    pub fn response(self, id: &str, last_event: usize) -> (String, String) {
        let interim = match self {
            Shape::Interim => {
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\na: b\r\n\r\n"
            }
            _ => "",
        };
        let body: String = match self {
            _ if self.is_stream() => EVENTS.split_inclusive("\n\n").skip(last_event).collect(),
            _ => self.body().to_owned(),
        };
        let status = match self {
            Shape::NoContent => "204 No Content",
            Shape::Switch => "101 Switching Protocols",
            _ => "200 OK",
        };
        let content_type = if self.is_stream() { "text/event-stream" } else { "text/plain" };
        let framing = match self {
            Shape::Chunked | Shape::Trailers | Shape::EventChunks => {
                "transfer-encoding: chunked\r\n".to_owned()
            }
            Shape::HeadOnly => format!("content-length: {}\r\n", BODY.len()),
            Shape::NoContent => String::new(),
            Shape::Switch => "connection: upgrade\r\nupgrade: other\r\n".to_owned(),
            _ if self.ends_with_connection() => "connection: close\r\n".to_owned(),
            _ => format!("content-length: {}\r\n", body.len()),
        };
        let head = format!(
            "{interim}HTTP/1.1 {status}\r\n{ID}: {id}\r\nx-copperweir-server-seal: seal\r\n\
             content-type: {content_type}\r\n{framing}\r\n"
        );
        let chunk = |part: &str, extension: &str| match part.len() {
            0 => String::new(),
            len => format!("{len:x}{extension}\r\n{part}\r\n"),
        };
        let (first, second) = body.split_at(body.len().min(5));
        let rest = match self {
            Shape::Chunked => chunk(first, "") + &chunk(second, ";a=b") + "0\r\n\r\n",
            Shape::Trailers => chunk(&body, "") + "0\r\na: b\r\n\r\n",
            Shape::EventChunks => chunk(first, "") + &chunk(second, "") + "0\r\n\r\n",
            _ => body,
        };
        (head, rest)
    }
}

/// How a response ends early.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The connection is closed in order.
    Close,
    /// The connection is reset.
    Reset,
    /// The connection stays open.
    Silence,
}

impl End {
    /// All of them.
    pub const ALL: [End; 3] = [End::Close, End::Reset, End::Silence];
}

/// What a server does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// It sends the whole response.
    Whole,
    /// It stops after a number of bytes.
    Cut(usize, End),
    /// After the response, it sends a second one that nobody asked for: at once, or late.
    Surplus {
        /// Whether the surplus bytes arrive after the caller has the response.
        is_late: bool,
    },
}

/// The response that a request gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Script {
    /// The kind of response.
    pub shape: Shape,
    /// What happens to it.
    pub action: Action,
}

impl Script {
    /// A whole response.
    pub fn whole(shape: Shape) -> Script {
        Script { shape, action: Action::Whole }
    }
}

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} ", self.shape)?;
        match self.action {
            Action::Whole => f.write_str("whole"),
            Action::Cut(bytes, end) => write!(f, "cut {bytes} {end:?}"),
            Action::Surplus { is_late } => write!(f, "surplus {is_late}"),
        }
    }
}

/// A text that is no script.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownScript;

impl FromStr for Script {
    type Err = UnknownScript;

    fn from_str(text: &str) -> Result<Script, UnknownScript> {
        let fields: Vec<&str> = text.split_whitespace().collect();
        let (shape, rest) = fields.split_first().ok_or(UnknownScript)?;
        let mut shapes = Shape::ALL.into_iter().chain([Shape::Switch]);
        let shape = shapes.find(|other| format!("{other:?}") == *shape);
        let action = match rest {
            ["whole"] => Action::Whole,
            ["cut", bytes, end] => {
                let end = End::ALL.into_iter().find(|other| format!("{other:?}") == *end);
                let bytes = bytes.parse().map_err(|_| UnknownScript)?;
                Action::Cut(bytes, end.ok_or(UnknownScript)?)
            }
            ["surplus", is_late] => Action::Surplus { is_late: *is_late == "true" },
            _ => return Err(UnknownScript),
        };
        Ok(Script { shape: shape.ok_or(UnknownScript)?, action })
    }
}

//! A backend server that stops in the middle of its responses, and a caller that reads the bytes of
//! a connection itself.
//!
//! A request names in the header [`SCRIPT`] which response it gets, and where that one stops. So one
//! server serves many cases at once.

use std::collections::BTreeSet;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// The header with the [`Script`] of a request.
pub const SCRIPT: &str = "x-script";
/// The ID of a request, which each response repeats.
pub const ID: &str = "x-copperweir-attempt-id";
/// The ID that a box gives a request, and the header in which responses repeat it.
const BOX_ID: &str = "copperweir-request-id";
const RESPONSE_TO: &str = "copperweir-response-to";
/// The body of responses to requests without a script, which an engine's queries of its load and of
/// its models accept.
const ENGINE_BODY: &str =
    r#"{"running":0,"queued":0,"epoch":0,"models":[{"name":"cut","version":"1"}]}"#;
/// Delay between the segments of a response, and before surplus bytes that arrive late.
const SEGMENT_DELAY: Duration = Duration::from_millis(3);
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

/// Servers that stop where a request's script says so. Requests without a script get a whole
/// response.
#[derive(Clone)]
pub struct CutServers {
    /// The addresses that the servers listen on.
    pub addresses: Vec<SocketAddr>,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    /// Whether only the first send of a request is cut.
    cuts_once: bool,
    executed: Mutex<BTreeSet<String>>,
    open_connections: AtomicUsize,
    cuts_on_reused: AtomicUsize,
}

impl State {
    fn executed(&self) -> MutexGuard<'_, BTreeSet<String>> {
        self.executed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CutServers {
    /// Starts a server at each address. With `cuts_once`, only the first send of a request is cut.
    pub async fn start(addresses: &[SocketAddr], cuts_once: bool) -> std::io::Result<CutServers> {
        let state = Arc::new(State { cuts_once, ..State::default() });
        let mut bound = Vec::new();
        for address in addresses {
            let listener = TcpListener::bind(address).await?;
            bound.push(listener.local_addr()?);
            tokio::spawn(accept(listener, Arc::clone(&state)));
        }
        Ok(CutServers { addresses: bound, state })
    }

    /// Whether a request has arrived.
    pub fn has_executed(&self, id: &str) -> bool {
        self.state.executed().contains(id)
    }

    /// The number of connections that aren't closed.
    pub fn open_connection_count(&self) -> usize {
        self.state.open_connections.load(Ordering::Relaxed)
    }

    /// The number of cuts on connections that had a response before.
    pub fn cuts_on_reused(&self) -> usize {
        self.state.cuts_on_reused.load(Ordering::Relaxed)
    }
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            state.open_connections.fetch_add(1, Ordering::Relaxed);
            // An error means that the other side has closed the connection.
            let _ = serve(stream, &state).await;
            state.open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve(mut stream: TcpStream, state: &State) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    let mut is_reused = false;
    while let Some(request) = read_message(&mut stream, &mut buffer).await? {
        let id = request.header(ID).unwrap_or_default().to_owned();
        let Some(script) = request.header(SCRIPT).and_then(|text| text.parse::<Script>().ok())
        else {
            let length = ENGINE_BODY.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all((head + ENGINE_BODY).as_bytes()).await?;
            continue;
        };
        let is_first = state.executed().insert(id.clone());
        let last_event = request.header("last-event-id").and_then(|id| id.parse().ok());
        let (mut head, rest) = script.shape.response(&id, last_event.unwrap_or(0));
        if !matches!(script.action, Action::Cut(..)) {
            name_request(&mut head, &request);
        }
        let mut bytes = (head + &rest).into_bytes();
        match script.action {
            Action::Cut(..) if state.cuts_once && !is_first => {
                write(&mut stream, script.shape, &bytes).await?;
            }
            Action::Whole => write(&mut stream, script.shape, &bytes).await?,
            Action::Surplus { is_late } => {
                let (mut head, rest) = Shape::Length.response("surplus", 0);
                name_request(&mut head, &request);
                let surplus = head + &rest.to_uppercase();
                if is_late {
                    write(&mut stream, script.shape, &bytes).await?;
                    tokio::time::sleep(SEGMENT_DELAY).await;
                    stream.write_all(surplus.as_bytes()).await?;
                } else {
                    bytes.extend_from_slice(surplus.as_bytes());
                    stream.write_all(&bytes).await?;
                }
            }
            Action::Cut(len, end) => {
                if is_reused {
                    state.cuts_on_reused.fetch_add(1, Ordering::Relaxed);
                }
                write(&mut stream, script.shape, &bytes[..len.min(bytes.len())]).await?;
                return finish(stream, end).await;
            }
        }
        if script.shape.ends_with_connection() {
            return stream.shutdown().await;
        }
        is_reused = true;
    }
    Ok(())
}

/// Adds the ID that the box gave the request to the head of a response.
fn name_request(head: &mut String, request: &Message) {
    if let Some(id) = request.header(BOX_ID) {
        head.insert_str(head.len() - 2, &format!("{RESPONSE_TO}: {id}\r\n"));
    }
}

async fn write(stream: &mut TcpStream, shape: Shape, bytes: &[u8]) -> std::io::Result<()> {
    if shape != Shape::Segments {
        return stream.write_all(bytes).await;
    }
    for segment in bytes.chunks(30) {
        stream.write_all(segment).await?;
        tokio::time::sleep(SEGMENT_DELAY).await;
    }
    Ok(())
}

async fn finish(mut stream: TcpStream, end: End) -> std::io::Result<()> {
    match end {
        End::Close => stream.shutdown().await,
        End::Reset => {
            // The bytes before the reset arrive first.
            tokio::time::sleep(SEGMENT_DELAY).await;
            stream.set_zero_linger()
        }
        End::Silence => {
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.map(drop)
        }
    }
}

/// The head of a request or a response, with the body of a request.
struct Message {
    first_line: String,
    headers: Vec<(String, String)>,
}

impl Message {
    fn parse(head: &str) -> Message {
        let mut lines = head.lines();
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Message { first_line, headers: headers.collect() }
    }

    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }
}

/// Reads a head; `None` if the connection ends before or inside it.
async fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<Message>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return Ok(Some(Message::parse(&String::from_utf8_lossy(&head))));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

/// Reads a request with its body.
async fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<Message>> {
    let Some(request) = read_head(stream, buffer).await? else { return Ok(None) };
    let length = request.length().unwrap_or(0);
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    buffer.drain(..length);
    Ok(Some(request))
}

/// A response as a caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Received {
    /// The status; 0 if the head is incomplete.
    pub status: u16,
    /// Whether the response has the server's seal.
    pub has_seal: bool,
    /// The ID that the response repeats.
    pub id: String,
    /// The body, without its framing.
    pub body: String,
    /// Whether the response looks complete by its framing, or by the orderly end of its connection.
    pub is_complete: bool,
}

/// A connection of a caller, which reads responses itself.
pub struct RawCaller {
    stream: TcpStream,
    buffer: Vec<u8>,
    is_open: bool,
}

impl RawCaller {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> std::io::Result<RawCaller> {
        let stream = TcpStream::connect(address).await?;
        Ok(RawCaller { stream, buffer: Vec::new(), is_open: true })
    }

    /// Whether another request may be sent.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Bytes that arrived after a complete response.
    pub fn surplus(&self) -> &[u8] {
        &self.buffer
    }

    /// Sends a request and reads the response as far as it arrives.
    pub async fn exchange(&mut self, request: &str) -> Received {
        let mut received = Received {
            status: 0,
            has_seal: false,
            id: String::new(),
            body: String::new(),
            is_complete: false,
        };
        let is_head = request.starts_with("HEAD ");
        match self.receive(request, is_head, &mut received).await {
            Ok(is_open) => self.is_open = is_open,
            Err(_) => self.is_open = false,
        }
        received
    }

    /// Returns whether the connection may be used again.
    async fn receive(
        &mut self,
        request: &str,
        is_head: bool,
        received: &mut Received,
    ) -> std::io::Result<bool> {
        self.stream.write_all(request.as_bytes()).await?;
        let Some(head) = read_head(&mut self.stream, &mut self.buffer).await? else {
            return Ok(false);
        };
        received.status =
            head.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        received.has_seal = head.header("x-copperweir-server-seal").is_some();
        received.id = head.header(ID).unwrap_or_default().to_owned();
        let is_last = head.header("connection").is_some_and(|value| value == "close")
            || head.first_line.starts_with("HTTP/1.0")
                && head.header("connection").is_none_or(|value| value != "keep-alive");
        let has_body = !is_head && !matches!(received.status, 100..=199 | 204 | 304);
        let is_chunked = head.header("transfer-encoding").is_some();
        let is_framed = is_chunked || head.length().is_some() || !has_body;
        if !has_body {
        } else if is_chunked {
            self.read_chunks(&mut received.body).await?;
        } else if let Some(length) = head.length() {
            let result = self.fill(length).await;
            let length = length.min(self.buffer.len());
            received.body = self.take(length);
            result?;
        } else {
            let result = self.fill(usize::MAX).await;
            let length = self.buffer.len();
            received.body = self.take(length);
            if result.is_err_and(|error| error.kind() != ErrorKind::UnexpectedEof) {
                return Ok(false);
            }
        }
        received.is_complete = true;
        Ok(is_framed && !is_last)
    }

    async fn read_chunks(&mut self, body: &mut String) -> std::io::Result<()> {
        loop {
            let size = self.read_line().await?;
            let size = size.split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
            if size == 0 {
                while !self.read_line().await?.is_empty() {}
                return Ok(());
            }
            self.fill(size + 2).await?;
            body.push_str(&self.take(size));
            self.take(2);
        }
    }

    async fn read_line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = self.take(end);
                self.take(2);
                return Ok(line);
            }
            self.fill(self.buffer.len() + 1).await?;
        }
    }

    /// Reads until the buffer has a number of bytes.
    async fn fill(&mut self, length: usize) -> std::io::Result<()> {
        while self.buffer.len() < length {
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    }

    fn take(&mut self, length: usize) -> String {
        String::from_utf8_lossy(&self.buffer.drain(..length).collect::<Vec<u8>>()).into_owned()
    }
}

//! Blocking HTTP/1.1, as far as the stand-ins need it.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// The longest head that is read.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    /// Names are in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value)
    }

    /// The value of a field of the query.
    pub fn query(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(other, _)| *other == name).map_or("", |(_, value)| value)
    }

    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    /// A JSON response.
    pub fn json(status: u16, body: String) -> Response {
        let headers = vec![("Content-Type".to_owned(), "application/json".to_owned())];
        Response { status, headers, body: body.into_bytes() }
    }
}

struct Head {
    first_line: String,
    headers: Vec<(String, String)>,
    /// Bytes after the head that were read with it.
    rest: Vec<u8>,
}

fn read_head(stream: &mut TcpStream) -> std::io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let first_line = lines.next().unwrap_or_default().to_owned();
            let headers = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            return Ok(Some(Head { first_line, headers, rest: bytes[end + 4..].to_vec() }));
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 || bytes.len() > MAX_HEAD_BYTES {
            return Ok(None);
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

/// Reads a body with a length. Returns fewer bytes if the connection ends before.
fn read_body(stream: &mut TcpStream, head: &Head) -> std::io::Result<Vec<u8>> {
    let length = head.headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0usize);
    let mut body = head.rest.clone();
    let mut buffer = [0; 16384];
    while body.len() < length {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            break;
        }
        body.extend_from_slice(&buffer[..count]);
    }
    Ok(body)
}

/// Serves an address, each connection on a thread of its own, until the process ends. Port 0 stands
/// for any free port. Returns the address.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(Request) -> Option<Response> + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || serve_connection(stream, handle.as_ref()));
        }
    });
    Ok(address)
}

fn serve_connection(mut stream: TcpStream, handle: &dyn Fn(Request) -> Option<Response>) {
    while let Ok(Some(head)) = read_head(&mut stream) {
        let Ok(body) = read_body(&mut stream, &head) else { return };
        let mut words = head.first_line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let request = Request { method, target, headers: head.headers, body };
        let Some(response) = handle(request) else { return };
        let mut bytes = format!("HTTP/1.1 {} Status\r\n", response.status).into_bytes();
        for (name, value) in &response.headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(
            format!("Content-Length: {}\r\n\r\n", response.body.len()).as_bytes(),
        );
        bytes.extend_from_slice(&response.body);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// What a client sees of a request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A complete answer.
    Complete { status: u16, headers: Vec<(String, String)> },
    /// The connection could not be established, or ended before a complete answer.
    Closed(String),
}

impl Answer {
    /// A short description for the record.
    pub fn describe(&self) -> String {
        match self {
            Answer::Complete { status, headers } => {
                let seal = headers.iter().find(|(name, _)| name == "x-copperweir-server-seal");
                let seal = seal.map_or("no seal", |(_, seal)| seal);
                format!("answered {status} ({seal})")
            }
            Answer::Closed(reason) => format!("closed without a complete answer ({reason})"),
        }
    }

    /// Whether the answer is complete and a success.
    pub fn is_success(&self) -> bool {
        matches!(self, Answer::Complete { status: 200, .. })
    }
}

/// Opens a channel.
pub fn open(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on a new channel and reads the answer.
pub fn call(address: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> Answer {
    match open(address) {
        Ok(mut stream) => call_on(&mut stream, head, body, timeout),
        Err(error) => Answer::Closed(error.to_string()),
    }
}

/// Sends a request on an open channel and reads the answer.
pub fn call_on(stream: &mut TcpStream, head: &str, body: &[u8], timeout: Duration) -> Answer {
    let closed = |error: std::io::Error| Answer::Closed(error.to_string());
    let _ = stream.set_read_timeout(Some(timeout));
    let bytes = [head.as_bytes(), body].concat();
    if let Err(error) = stream.write_all(&bytes) {
        return closed(error);
    }
    let head = match read_head(stream) {
        Ok(Some(head)) => head,
        Ok(None) => return Answer::Closed("end of the channel".to_owned()),
        Err(error) => return closed(error),
    };
    let status = head.first_line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let length = head.headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    match read_body(stream, &head) {
        Ok(body) if body.len() >= length => {
            Answer::Complete { status: status.unwrap_or(0), headers: head.headers }
        }
        Ok(_) => Answer::Closed("end within the answer".to_owned()),
        Err(error) => closed(error),
    }
}

/// Waits until a condition holds; `false` if it does not in time.
pub fn eventually(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

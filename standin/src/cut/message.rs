//! Heads of requests and responses.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The head of a request or a response, with the body of a request.
pub(super) struct Message {
    pub(super) first_line: String,
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

    pub(super) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    pub(super) fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }
}

/// Reads a head; `None` if the connection ends before or inside it.
pub(super) async fn read_head(
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
pub(super) async fn read_message(
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

//! A caller that reads the bytes of a connection itself.

use std::io::ErrorKind;
use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::ID;
use super::message::read_head;

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

//! The HTTP/1 server that all stand-ins use.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body::Body;
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct BufferedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Header fields.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl BufferedRequest {
    /// Returns the first numeric value of a query parameter.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
    }
}

/// The body of a response. An error in place of a chunk closes the connection.
#[derive(Debug)]
pub enum ResponseBody {
    /// Complete body; `None` for an empty one.
    Full(Option<Bytes>),
    /// Chunks, sent as they arrive.
    Chunks(mpsc::Receiver<Result<Bytes, std::io::Error>>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match &mut *self {
            ResponseBody::Full(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Chunks(chunks) => {
                chunks.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                http_body::SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ResponseBody::Chunks(_) => http_body::SizeHint::default(),
        }
    }
}

/// A response of a stand-in.
pub type HttpResponse = Response<ResponseBody>;

/// Creates a JSON response.
pub fn json(status: StatusCode, value: &serde_json::Value) -> HttpResponse {
    let mut response = Response::new(ResponseBody::Full(Some(Bytes::from(value.to_string()))));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

/// Creates a response without a body.
pub fn empty(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(ResponseBody::Full(None));
    *response.status_mut() = status;
    response
}

/// Handles `POST /control`: parses the faults in the body and passes them to `set_faults`.
pub fn handle_control<F: DeserializeOwned>(
    request: &BufferedRequest,
    set_faults: impl FnOnce(F),
) -> HttpResponse {
    match serde_json::from_slice(&request.body) {
        Ok(faults) => {
            set_faults(faults);
            empty(StatusCode::OK)
        }
        Err(error) => {
            json(StatusCode::BAD_REQUEST, &serde_json::json!({"error": error.to_string()}))
        }
    }
}

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 4096;

/// Opens a listening socket and returns it with its actual address, which is then known before
/// serving starts.
pub fn bind(address: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(LISTEN_BACKLOG)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Accepts connections and passes their requests to `handler` until the future is dropped, which
/// closes all connections. When the handler returns `None`, its connection is closed without a
/// response.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(BufferedRequest) -> F + Clone + Send + 'static,
    F: Future<Output = Option<HttpResponse>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| handle(handler.clone(), request));
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        connections.spawn(async move {
            let _ = connection.await;
        });
    }
}

async fn handle<H, F>(
    handler: H,
    request: Request<Incoming>,
) -> Result<HttpResponse, std::io::Error>
where
    H: Fn(BufferedRequest) -> F,
    F: Future<Output = Option<HttpResponse>>,
{
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
    let request = BufferedRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body,
    };
    handler(request).await.ok_or_else(|| std::io::Error::other("aborted by an injected fault"))
}

//! The servers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
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

use super::ID;
use super::SCRIPT;
use super::message::Message;
use super::message::read_message;
use super::script::Action;
use super::script::End;
use super::script::Script;
use super::script::Shape;

/// The ID that a box gives a request, and the header in which responses repeat it.
const BOX_ID: &str = "copperweir-request-id";
const RESPONSE_TO: &str = "copperweir-response-to";
/// The body of responses to requests without a script, which an engine's queries of its load and of
/// its models accept.
const ENGINE_BODY: &str =
    r#"{"running":0,"queued":0,"epoch":0,"models":[{"name":"cut","version":"1"}]}"#;
/// Delay between the segments of a response, and before surplus bytes that arrive late.
const SEGMENT_DELAY: Duration = Duration::from_millis(3);

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

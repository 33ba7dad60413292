//! Connections to backend servers that are kept for the next request.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;

use bytes::Bytes;
use copperweir_lib::transport::backend::Client;
use http::Request;
use http_body_util::Full;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown";
const SURPLUS: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nsurplus";
const IDLE_TIMEOUT: &[u8] = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\r\n";

/// A server that does something with its first connection after the first response.
struct Server {
    address: SocketAddr,
    /// Number of requests on each connection.
    requests: Arc<Mutex<Vec<usize>>>,
    tell: Sender<()>,
    done: Receiver<()>,
}

impl Server {
    fn start(after: fn(&mut TcpStream)) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (tell, told) = mpsc::channel();
        let (sender, done) = mpsc::channel();
        let counts = Arc::clone(&requests);
        std::thread::spawn(move || {
            let mut first = Some((told, sender));
            for (number, stream) in listener.incoming().enumerate() {
                counts.lock().expect("no panic").push(0);
                let (counts, first) = (Arc::clone(&counts), first.take());
                std::thread::spawn(move || {
                    serve(stream.expect("a connection"), number, &counts, after, first);
                });
            }
        });
        Server { address, requests, tell, done }
    }

    /// Has the server act, and returns when it has. The runtime of the caller sees nothing of it.
    fn act(&self) {
        self.tell.send(()).expect("sent");
        self.done.recv().expect("done");
    }

    fn requests(&self) -> Vec<usize> {
        self.requests.lock().expect("no panic").clone()
    }
}

fn serve(
    mut stream: TcpStream,
    number: usize,
    counts: &Mutex<Vec<usize>>,
    after: fn(&mut TcpStream),
    mut first: Option<(Receiver<()>, Sender<()>)>,
) {
    while read_request(&mut stream) {
        counts.lock().expect("no panic")[number] += 1;
        if stream.write_all(RESPONSE).is_err() {
            return;
        }
        if let Some((told, done)) = first.take() {
            told.recv().expect("told");
            after(&mut stream);
            done.send(()).expect("sent");
        }
    }
}

fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return false;
        }
        request.push(byte[0]);
    }
    true
}

/// Fetches three times. After the first time, the server does something with its idle connection.
/// Returns the number of requests on each connection.
fn fetch(after: fn(&mut TcpStream)) -> Vec<usize> {
    let server = Server::start(after);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let client = Client::default();
        for number in 0..3 {
            let request = Request::new(Full::new(Bytes::new()));
            let response = client.fetch(server.address, request).await.expect("a response");
            assert_eq!(response.body(), "own");
            // The task of the connection becomes idle.
            tokio::task::yield_now().await;
            if number == 0 {
                server.act();
            }
        }
    });
    server.requests()
}

#[test]
fn idle_connection_is_used_again() {
    assert_eq!(fetch(|_| {}), [3]);
}

/// Guards against a surplus response that is taken for that of the next request. The next one may
/// come while a request is under way, so later connections aren't reused either.
#[test]
fn response_that_began_before_its_request_is_not_used() {
    assert_eq!(fetch(|stream| stream.write_all(SURPLUS).expect("written")), [1, 1, 1]);
}

/// Guards against a request that is lost on a connection which its server had closed before.
#[test]
fn connection_that_was_closed_while_idle_is_not_used() {
    assert_eq!(fetch(|stream| stream.shutdown(Shutdown::Both).expect("shut down")), [1, 2]);
}

#[test]
fn announced_end_of_an_idle_connection_is_no_surplus() {
    assert_eq!(fetch(|stream| stream.write_all(IDLE_TIMEOUT).expect("written")), [1, 2]);
}

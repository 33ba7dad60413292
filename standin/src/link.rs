//! A TCP proxy that simulates a network link: it adds latency and can be cut.
//!
//! Like a network partition, cutting a link closes the connections over it and
//! leaves new connections without a response.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of delayed chunks in flight per direction.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;

/// A network link; clones share its state.
#[derive(Clone)]
pub struct Link {
    cut: watch::Sender<bool>,
    delay: Duration,
}

impl Link {
    /// Creates a link with this one-way latency.
    pub fn new(delay: Duration) -> Link {
        Link { cut: watch::Sender::new(false), delay }
    }

    /// Cuts or restores the link.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }

    /// Accepts connections and forwards them to `to` until the future is dropped.
    pub fn serve(
        &self,
        listener: TcpListener,
        to: SocketAddr,
    ) -> impl Future<Output = ()> + Send + 'static {
        let link = self.clone();
        async move {
            loop {
                let Ok((client, _)) = listener.accept().await else { continue };
                tokio::spawn(link.clone().forward(client, to));
            }
        }
    }

    async fn forward(self, client: TcpStream, to: SocketAddr) {
        let mut cut = self.cut.subscribe();
        if *cut.borrow_and_update() {
            // Keep the connection open without a response until the link is restored.
            let _ = cut.wait_for(|cut| !*cut).await;
            return;
        }
        let Ok(server) = TcpStream::connect(to).await else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let outbound = copy_delayed(client_read, server_write, self.delay);
        let inbound = copy_delayed(server_read, client_write, self.delay);
        tokio::select! {
            _ = async { tokio::join!(outbound, inbound) } => {}
            _ = cut.wait_for(|cut| *cut) => {}
        }
    }
}

/// Copies a byte stream from `from` to `to`, delayed by `delay`.
async fn copy_delayed(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, delay: Duration) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(MAX_CHUNKS_IN_FLIGHT);
    let read = async move {
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(count) = from.read(&mut buffer).await {
            if count == 0 {
                return;
            }
            let chunk = Bytes::copy_from_slice(&buffer[..count]);
            if sender.send((Instant::now() + delay, chunk)).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = receiver.recv().await {
            tokio::time::sleep_until(due).await;
            if to.write_all(&chunk).await.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    };
    tokio::join!(read, write);
}

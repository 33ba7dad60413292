//! A link between two places: passes TCP on, late, and can be cut.
//!
//! A cut link breaks what runs over it and leaves new connections unanswered,
//! as a partitioned network does.

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

const CHUNK: usize = 16 << 10;
const CHUNKS_UNDER_WAY: usize = 64;

/// A link; clones are the same link.
#[derive(Clone)]
pub struct Link {
    cut: watch::Sender<bool>,
    delay: Duration,
}

impl Link {
    /// A link that takes `delay` one way.
    pub fn new(delay: Duration) -> Link {
        Link { cut: watch::Sender::new(false), delay }
    }

    /// Cuts or mends it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }

    /// Passes on to `to` until dropped.
    pub fn serve(
        &self,
        listener: TcpListener,
        to: SocketAddr,
    ) -> impl Future<Output = ()> + Send + 'static {
        let link = self.clone();
        async move {
            loop {
                let Ok((near, _)) = listener.accept().await else { continue };
                tokio::spawn(link.clone().carry(near, to));
            }
        }
    }

    async fn carry(self, near: TcpStream, to: SocketAddr) {
        let mut cut = self.cut.subscribe();
        if *cut.borrow_and_update() {
            // Unanswered, until the caller gives up or the link is mended.
            let _ = cut.wait_for(|cut| !*cut).await;
            return;
        }
        let Ok(far) = TcpStream::connect(to).await else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let there = pass(near_read, far_write, self.delay);
        let back = pass(far_read, near_write, self.delay);
        tokio::select! {
            _ = async { tokio::join!(there, back) } => {}
            _ = cut.wait_for(|cut| *cut) => {}
        }
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, delay: Duration) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(CHUNKS_UNDER_WAY);
    let read = async move {
        let mut buffer = vec![0; CHUNK];
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

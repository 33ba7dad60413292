//! gRPC client and server for calls between boxes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use subtle::ConstantTimeEq;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Request;
use tonic::Status;
use tonic::Streaming;
use tonic::metadata::Ascii;
use tonic::metadata::MetadataValue;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use super::listen::AcceptedStreams;
use super::listen::Shutdown;
use super::liveness;
use super::traffic_thread;
use crate::protocol::Version;
use crate::protocol::bounds::MAX_MESSAGE_BYTES;
use crate::protocol::peer::SECRET_HEADER;
use crate::protocol::peer::wire;
use crate::protocol::peer::wire::peer_client::PeerClient;
use crate::protocol::peer::wire::peer_server::Peer;
use crate::protocol::peer::wire::peer_server::PeerServer;

/// The longest wait for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest wait for the response to a heartbeat or a query.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval of keep-alive pings. A connection that does not respond to a ping within the same
/// time is closed.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// The reason for which a call to another box failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The box was not reached; nothing was sent.
    #[error("box not reached: {0}")]
    NotSent(String),
    /// The call may have arrived.
    #[error("call failed: {0}")]
    NoResponse(Box<Status>),
}

/// A client with connections to other boxes.
pub struct Client {
    secret: MetadataValue<Ascii>,
    routes: BTreeMap<SocketAddr, SocketAddr>,
    channels: Mutex<HashMap<(usize, SocketAddr), Channel>>,
}

impl Client {
    /// Creates a client that authenticates with the shared secret; `None` if the secret is not
    /// plain ASCII. `routes` maps peer addresses to the addresses to use instead.
    pub fn new(secret: &str, routes: BTreeMap<SocketAddr, SocketAddr>) -> Option<Client> {
        let mut secret: MetadataValue<Ascii> = secret.parse().ok()?;
        secret.set_sensitive(true);
        Some(Client { secret, routes, channels: Mutex::default() })
    }

    async fn client_for(&self, address: SocketAddr) -> Result<PeerClient<Channel>, CallError> {
        let cached = self.lock().get(&(traffic_thread::index(), address)).cloned();
        let channel = match cached {
            Some(channel) => channel,
            None => {
                let route = self.routes.get(&address).copied().unwrap_or(address);
                let channel = connect(route).await.map_err(CallError::NotSent)?;
                self.lock().insert((traffic_thread::index(), address), channel.clone());
                channel
            }
        };
        Ok(PeerClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<(usize, SocketAddr), Channel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.metadata_mut().insert(SECRET_HEADER, self.secret.clone());
        request
    }

    /// Converts the status of a failed call. If the box is unavailable, its channel is dropped, so
    /// that the next call connects again.
    fn call_error(&self, address: SocketAddr, status: Status) -> CallError {
        if status.code() == tonic::Code::Unavailable {
            self.lock().remove(&(traffic_thread::index(), address));
        }
        CallError::NoResponse(Box::new(status))
    }

    /// Sends a heartbeat and returns the one in the response.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        heartbeat: wire::Heartbeat,
    ) -> Result<wire::Heartbeat, CallError> {
        let mut client = self.client_for(address).await?;
        let mut request = self.request(heartbeat);
        request.set_timeout(CALL_TIMEOUT);
        let response = client.exchange(request).await;
        response.map(tonic::Response::into_inner).map_err(|status| self.call_error(address, status))
    }

    /// Requests the configuration if it is newer than the given version.
    pub async fn fetch_configuration(
        &self,
        address: SocketAddr,
        newer_than: Version,
    ) -> Result<Option<Bytes>, CallError> {
        let mut client = self.client_for(address).await?;
        let mut request = self.request(wire::ConfigurationQuery { newer_than });
        request.set_timeout(CALL_TIMEOUT);
        let response = client.fetch_configuration(request).await;
        let document =
            response.map_err(|status| self.call_error(address, status))?.into_inner().document;
        Ok(Some(document).filter(|document| !document.is_empty()))
    }

    /// Forwards a request to another box, which executes it.
    pub async fn forward(
        &self,
        address: SocketAddr,
        forward: wire::ForwardRequest,
    ) -> Result<Streaming<wire::ForwardFrame>, CallError> {
        let mut client = self.client_for(address).await?;
        let response = client.forward(self.request(forward)).await;
        response.map(tonic::Response::into_inner).map_err(|status| self.call_error(address, status))
    }
}

async fn connect(address: SocketAddr) -> Result<Channel, String> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| error.to_string())?
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_INTERVAL)
        .tcp_keepalive(Some(liveness::REMOTE.keep_alive))
        .tcp_keepalive_interval(Some(liveness::REMOTE.keep_alive))
        .tcp_nodelay(true);
    endpoint.connect().await.map_err(|error| format!("{address}: {error}"))
}

/// Returns an error if a call does not have the correct shared secret.
pub fn authorize<T>(request: &Request<T>, secret: &str) -> Result<(), Status> {
    let received = request.metadata().get(SECRET_HEADER).map(MetadataValue::as_bytes);
    let equal = received.is_some_and(|received| bool::from(received.ct_eq(secret.as_bytes())));
    if equal {
        Ok(())
    } else {
        Err(Status::unauthenticated("the shared secret is missing or wrong"))
    }
}

/// Serves calls from other boxes on accepted connections until shutdown.
pub async fn serve<P: Peer>(
    accepted: AcceptedStreams,
    service: PeerServer<P>,
    mut shutdown: watch::Receiver<Shutdown>,
) {
    let shut_down = async move {
        let _ = shutdown.wait_for(|shutdown| *shutdown != Shutdown::No).await;
    };
    let incoming = ReceiverStream::new(accepted).map(|stream| {
        let stream = TcpStream::from_std(stream)?;
        Ok::<_, std::io::Error>(liveness::Stream::new(stream, liveness::REMOTE))
    });
    let server = tonic::transport::Server::builder().add_service(service);
    if let Err(error) = server.serve_with_incoming_shutdown(incoming, shut_down).await {
        log::error!("event=peer_port_failed error=\"{error}\"");
    }
}

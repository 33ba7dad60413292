//! Which bounds on dead paths the connections have.

use copperweir_lib::transport::liveness;
use copperweir_lib::transport::liveness::Liveness;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const ALL: [Liveness; 3] = [liveness::SERVER, liveness::REMOTE, liveness::CALLER];

#[tokio::test]
async fn connections_have_both_bounds_on_dead_paths() {
    for bounds in ALL {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let stream = TcpStream::connect(address).await.expect("a connection");
        bounds.apply(&stream);
        let socket = SockRef::from(&stream);
        assert!(socket.keepalive().expect("an option") && stream.nodelay().expect("an option"));
        assert_eq!(socket.tcp_keepalive_time().expect("an option"), bounds.keep_alive);
        assert_eq!(socket.tcp_keepalive_interval().expect("an option"), bounds.keep_alive);
        assert_eq!(socket.tcp_user_timeout().expect("an option"), Some(bounds.unacknowledged));
    }
}

/// The keep-alive options count in whole seconds.
#[test]
fn a_dead_path_to_a_server_shows_before_a_box_must_serve_without_it() {
    for bounds in ALL {
        assert_eq!(bounds.keep_alive.subsec_nanos(), 0);
    }
    assert!(liveness::SERVER.max_detection().as_secs() < 5);
    assert!(liveness::REMOTE.max_detection().as_secs() < 5);
}

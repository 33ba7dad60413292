//! Bounds on dead paths, and when they move.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::transport::liveness;
use copperweir_lib::transport::liveness::Liveness;
use copperweir_lib::transport::liveness::window::Progress;
use copperweir_lib::transport::liveness::window::Stall;
use copperweir_lib::transport::liveness::window::Verdict;
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

/// A connection whose bound moves, and the operating system's view of it.
struct Connection {
    stall: Stall,
    start: Instant,
    /// When the operating system ends the connection, after the beginning of the stall.
    bound: Duration,
    bounds: Liveness,
}

impl Connection {
    fn new(bounds: Liveness) -> Connection {
        let bound = bounds.unacknowledged;
        Connection { stall: Stall::default(), start: Instant::now(), bound, bounds }
    }

    fn check_interval(&self) -> Duration {
        self.bounds.unacknowledged / 4
    }

    /// Observes the connection at a time after the beginning of the stall.
    fn observe(&mut self, at: Duration, progress: Progress) -> Verdict {
        let now = self.start + at;
        let usual = self.bounds.unacknowledged;
        let verdict = self.stall.observe(&progress, usual, self.check_interval(), now);
        if let Verdict::Unread(bound) = verdict {
            self.bound = bound;
        }
        verdict
    }

    /// Observes the connection until the operating system ends it or a time has come. Returns
    /// when that was.
    fn run(&mut self, until: Duration, progress: impl Fn(Duration) -> Progress) -> Duration {
        let mut at = Duration::ZERO;
        while at < until && at < self.bound {
            at += self.check_interval();
            self.observe(at, progress(at));
        }
        self.bound.min(until)
    }
}

/// A repetition that nothing has answered.
fn silent(at: Duration) -> Progress {
    let acknowledged_ago = at + Duration::from_millis(1);
    Progress { retransmits: 1, unacknowledged: 3, acknowledged_ago, ..Progress::default() }
}

/// A probe that the host of a peer without room has answered.
const UNREAD: Progress = Progress {
    retransmits: 0,
    probes: 0,
    backoff: 2,
    unacknowledged: 0,
    unsent: 1000,
    sent_ago: Duration::from_secs(3),
    acknowledged_ago: Duration::from_millis(100),
};

/// Guards against a dead path that shows later because the bound moves.
#[test]
fn bound_does_not_move_on_a_dead_path() {
    for bounds in ALL {
        let ended_at = Connection::new(bounds).run(bounds.unacknowledged * 10, silent);
        assert_eq!(ended_at, bounds.unacknowledged);
    }
}

#[test]
fn bound_moves_while_the_host_of_a_peer_without_room_answers() {
    for bounds in ALL {
        let until = bounds.unacknowledged * 20;
        assert_eq!(Connection::new(bounds).run(until, |_| UNREAD), until);
        // A peer whose buffer is full acknowledges repetitions, and takes none of them.
        let dropping = Progress { retransmits: 3, unacknowledged: 2, ..UNREAD };
        assert_eq!(Connection::new(bounds).run(until, |_| dropping), until);
    }
}

/// The host of a peer answers at most two probes in a second.
#[test]
fn bound_moves_while_some_probes_remain_unanswered() {
    let mut connection = Connection::new(liveness::SERVER);
    let millis = Duration::from_millis;
    assert!(matches!(connection.observe(millis(250), UNREAD), Verdict::Unread(_)));
    let probed = Progress { probes: 1, acknowledged_ago: millis(900), ..UNREAD };
    assert!(matches!(connection.observe(millis(500), probed), Verdict::Unread(_)));
}

/// Guards against a path that dies while its peer doesn't read, and is never found.
#[test]
fn path_that_dies_while_its_peer_does_not_read_is_found() {
    for bounds in ALL {
        let died_at = bounds.unacknowledged * 5;
        let ended_at = Connection::new(bounds).run(bounds.unacknowledged * 20, |at| {
            if at < died_at {
                return UNREAD;
            }
            Progress { probes: 2, acknowledged_ago: at - died_at, ..UNREAD }
        });
        let found_after = ended_at - died_at;
        assert!(found_after <= bounds.unacknowledged * 3, "{found_after:?} of {bounds:?}");
    }
}

#[test]
fn usual_bound_applies_again_once_data_advances() {
    let mut connection = Connection::new(liveness::SERVER);
    connection.observe(Duration::from_secs(4), UNREAD);
    let advancing = Progress { unacknowledged: 1, ..Progress::default() };
    assert_eq!(connection.observe(Duration::from_secs(5), advancing), Verdict::Advancing);
    assert_eq!(connection.observe(Duration::from_secs(6), Progress::default()), Verdict::Complete);
    let verdict = connection.observe(Duration::from_secs(7), silent(Duration::from_secs(1)));
    assert_eq!(verdict, Verdict::Unanswered);
}

//! The time that a box judges by: steady, and counting on while the machine is
//! suspended.
//!
//! [`Instant::now`] stands still while a machine is suspended. A box that woke
//! after ten seconds would take its lease for held, its state for fresh, and a
//! caller's deadline for ahead. [`now`] gives instants that have moved on by as much
//! as passed, so all that is compared with them is judged by the time that really
//! passed. Waits that were begun before are another matter: `transport::timer`.

use std::sync::LazyLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// A moment on both clocks.
struct Anchor {
    instant: Instant,
    boot: Duration,
}

static ANCHOR: LazyLock<Anchor> =
    LazyLock::new(|| Anchor { instant: Instant::now(), boot: since_boot() });

/// Time since the machine was started, that in which it was suspended included.
#[cfg(target_os = "linux")]
fn since_boot() -> Duration {
    use nix::time::ClockId;
    use nix::time::clock_gettime;
    // Any Linux that the program runs on has this clock; without it, suspensions would go unseen.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

#[cfg(not(target_os = "linux"))]
fn since_boot() -> Duration {
    static START: LazyLock<Instant> = LazyLock::new(Instant::now);
    START.elapsed()
}

/// Suspensions that tests make up, milliseconds.
static MADE_UP: AtomicU64 = AtomicU64::new(0);

/// Moves the clock on as a suspension of the machine does, for tests.
#[doc(hidden)]
pub fn simulate_suspension(time: Duration) {
    MADE_UP.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
}

/// This moment.
pub fn now() -> Instant {
    let anchor = &*ANCHOR;
    let made_up = Duration::from_millis(MADE_UP.load(Ordering::Relaxed));
    anchor.instant + since_boot().saturating_sub(anchor.boot) + made_up
}

/// Time that has passed since a moment that [`now`] gave.
pub fn since(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// How long the machine has been suspended since this was first asked.
pub fn total_suspension() -> Duration {
    let passed = now();
    passed.saturating_duration_since(Instant::now())
}

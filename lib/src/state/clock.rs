//! A monotonic clock that keeps running while the machine is suspended.
//!
//! [`Instant::now`] stands still while a machine is suspended. A box that resumed after ten seconds
//! would treat an expired lease as held, outdated state as fresh, and callers' deadlines that have
//! passed as not yet reached. Instants from [`now`] include the time of suspensions, so comparisons
//! with them are correct after a suspension. Timers that were started before a suspension are
//! handled in `transport::timer`.

use std::sync::LazyLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// One point in time on both clocks.
struct Anchor {
    instant: Instant,
    boot_time: Duration,
}

static ANCHOR: LazyLock<Anchor> =
    LazyLock::new(|| Anchor { instant: Instant::now(), boot_time: since_boot() });

/// Returns the time since the machine booted, including suspensions.
#[cfg(target_os = "linux")]
fn since_boot() -> Duration {
    use nix::time::ClockId;
    use nix::time::clock_gettime;
    // Every Linux version that the program supports has this clock. Without it, suspensions would
    // go unnoticed.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

#[cfg(not(target_os = "linux"))]
fn since_boot() -> Duration {
    static START: LazyLock<Instant> = LazyLock::new(Instant::now);
    START.elapsed()
}

/// The total duration of simulated suspensions in tests.
static SIMULATED_SUSPENSION_MS: AtomicU64 = AtomicU64::new(0);

/// Advances the clock as a suspension of the machine does, for tests.
#[doc(hidden)]
pub fn simulate_suspension(time: Duration) {
    SIMULATED_SUSPENSION_MS.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
}

/// Returns the current instant.
pub fn now() -> Instant {
    let anchor = &*ANCHOR;
    let simulated = Duration::from_millis(SIMULATED_SUSPENSION_MS.load(Ordering::Relaxed));
    anchor.instant + since_boot().saturating_sub(anchor.boot_time) + simulated
}

/// Returns the time elapsed since an instant of [`now`].
pub fn since(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// Returns how long the machine has been suspended since the first use of this clock.
pub fn total_suspension() -> Duration {
    let including_suspension = now();
    including_suspension.saturating_duration_since(Instant::now())
}

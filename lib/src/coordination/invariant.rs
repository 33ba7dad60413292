//! Invariants that are checked at run time.
//!
//! A breach is counted and logged; it never stops a box that serves requests. Tests enable a panic
//! instead, so that a randomized run stops at the first breach.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

macro_rules! invariants {
    ($($name:ident $text:literal $doc:literal;)*) => {
        /// A property that must always hold.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Invariant {
            $(#[doc = $doc] $name,)*
        }

        impl Invariant {
            /// All invariants.
            pub const ALL: &[Invariant] = &[$(Invariant::$name,)*];

            /// The name used in counters and logs.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Invariant::$name => $text,)*
                }
            }
        }
    };
}

invariants! {
    Residency "residency" "A request is dispatched only in a region that its rules allow.";
    Hops "hops" "A request visits each box at most once, and at most three boxes.";
    VersionGrows "version_grows" "The configuration in force never reverts.";
    OneExchange "one_exchange" "A request has at most one backend exchange at a time.";
    WholeAnswer "whole_answer" "The caller received the server's answer as it was sent, to the end.";
    RanNoIsTrue "ran_no_is_true" "`ran: no` is reported only if nothing was sent to a server.";
    AtMostOnce "at_most_once" "A request that may not be repeated is sent at most once.";
    NoWorkToLeaving "no_work_to_leaving" "A server known to be leaving gets no new requests.";
    OrderUnderLease "order_under_lease" "Orders are sent only under a live lease.";
    SlotsBalance "slots_balance" "Every slot taken is released exactly once.";
    LentWithinSpare "lent_within_spare" "A box never lends more than its share of the spare slots.";
}

static BREACHES: [AtomicU64; Invariant::ALL.len()] =
    [const { AtomicU64::new(0) }; Invariant::ALL.len()];
static PANIC_ON_BREACH: AtomicBool = AtomicBool::new(false);

/// Makes every breach panic. Intended for tests.
pub fn panic_on_breach() {
    PANIC_ON_BREACH.store(true, Ordering::Relaxed);
}

/// Checks an invariant. `context` is evaluated only on a breach.
pub fn check(invariant: Invariant, holds: bool, context: impl FnOnce() -> String) {
    if holds {
        return;
    }
    BREACHES[invariant as usize].fetch_add(1, Ordering::Relaxed);
    let context = context();
    log::error!("event=invariant_breach invariant={} {context}", invariant.as_str());
    assert!(
        !PANIC_ON_BREACH.load(Ordering::Relaxed),
        "invariant {} broken: {context}",
        invariant.as_str()
    );
}

/// Returns the number of breaches since the process started.
pub fn breaches(invariant: Invariant) -> u64 {
    BREACHES[invariant as usize].load(Ordering::Relaxed)
}

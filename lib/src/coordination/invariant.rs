//! What must always hold, checked while the program runs.
//!
//! A breach is counted and logged and never takes a serving box down. Tests ask
//! for a panic instead, so that a randomised run stops at the first one.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

macro_rules! invariants {
    ($($name:ident $text:literal $doc:literal;)*) => {
        /// A promise that the program checks.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Invariant {
            $(#[doc = $doc] $name,)*
        }

        impl Invariant {
            /// All of them.
            pub const ALL: &[Invariant] = &[$(Invariant::$name,)*];

            /// Name in counters and logs.
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
    WholeAnswer "whole_answer" "What the caller got is what the backend server sent, to its end.";
    RanNoIsTrue "ran_no_is_true" "`ran: no` is said only where nothing was sent.";
    AtMostOnce "at_most_once" "A request that may not be repeated is sent at most once.";
    NoWorkToLeaving "no_work_to_leaving" "A backend server known to be leaving gets nothing new.";
    OrderUnderLease "order_under_lease" "Orders are given only under a live lease.";
    SlotsBalance "slots_balance" "Every slot taken is given back once.";
    LentWithinSpare "lent_within_spare" "A box never lends more than its share of what is spare.";
}

static BREACHES: [AtomicU64; Invariant::ALL.len()] =
    [const { AtomicU64::new(0) }; Invariant::ALL.len()];
static PANIC: AtomicBool = AtomicBool::new(false);

/// Makes a breach panic. For tests.
pub fn panic_on_breach() {
    PANIC.store(true, Ordering::Relaxed);
}

/// Checks an invariant; `context` is made only on a breach.
pub fn check(invariant: Invariant, holds: bool, context: impl FnOnce() -> String) {
    if holds {
        return;
    }
    BREACHES[invariant as usize].fetch_add(1, Ordering::Relaxed);
    let context = context();
    log::error!("event=invariant_breach invariant={} {context}", invariant.as_str());
    assert!(!PANIC.load(Ordering::Relaxed), "invariant {} broken: {context}", invariant.as_str());
}

/// Breaches since the process started.
pub fn breaches(invariant: Invariant) -> u64 {
    BREACHES[invariant as usize].load(Ordering::Relaxed)
}

//! How long things took, as histograms.

use std::fmt::Write;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest time that is told apart, milliseconds.
const LONGEST: u64 = 60_000;
/// Significant figures.
const FIGURES: u8 = 2;
/// Parts of the whole that the page tells, in 100.
const QUANTILES: [f64; 4] = [50.0, 90.0, 99.0, 99.9];

macro_rules! timings {
    ($($name:ident $text:literal $doc:literal;)*) => {
        /// Names of the histograms.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Timing {
            $(#[doc = $doc] $name,)*
        }

        impl Timing {
            /// All of them.
            pub const ALL: &[Timing] = &[$(Timing::$name,)*];

            /// Name on the metrics page.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Timing::$name => $text,)*
                }
            }

            /// What it measures.
            pub fn doc(self) -> &'static str {
                match self {
                    $(Timing::$name => $doc,)*
                }
            }
        }
    };
}

timings! {
    FirstEvent "first_event" "From a request's arrival to the first event of its stream.";
    WholeAnswer "whole_answer" "From a request's arrival to its answer, where that is no stream.";
    Stream "stream" "From a request's arrival to the end of its stream.";
    Refusal "refusal" "From a request's arrival to the answer that it was not run.";
    StoreCall "store_call" "From a call to the platform's store to its answer; watches are left out.";
}

/// The histograms of one process.
#[derive(Debug)]
pub struct Latencies {
    histograms: Mutex<Vec<Histogram<u64>>>,
}

impl Default for Latencies {
    fn default() -> Latencies {
        let histogram = || {
            Histogram::new_with_max(LONGEST, FIGURES).expect("the bounds are constants that fit")
        };
        let histograms = Timing::ALL.iter().map(|_| histogram()).collect();
        Latencies { histograms: Mutex::new(histograms) }
    }
}

impl Latencies {
    /// Takes a time into account.
    pub fn record(&self, timing: Timing, time: Duration) {
        let mut histograms = self.histograms.lock().unwrap_or_else(PoisonError::into_inner);
        let milliseconds = u64::try_from(time.as_millis()).unwrap_or(LONGEST);
        histograms[timing as usize].saturating_record(milliseconds);
    }

    /// The histograms as text, milliseconds.
    pub fn write_metrics(&self, text: &mut String) {
        let histograms = self.histograms.lock().unwrap_or_else(PoisonError::into_inner);
        for timing in Timing::ALL {
            let (name, histogram) = (timing.as_str(), &histograms[*timing as usize]);
            for quantile in QUANTILES {
                let value = histogram.value_at_percentile(quantile);
                let quantile = quantile / 100.0;
                // Writing to a string cannot fail.
                let _ = writeln!(text, "copperweir_{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "copperweir_{name}_ms_count {}", histogram.len());
        }
    }
}

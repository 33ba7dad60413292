//! Latency histograms.

use std::fmt::Write;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hdrhistogram::Histogram;

/// The largest value of a histogram; longer times are recorded as this value.
const MAX_RECORDED_MS: u64 = 60_000;
/// The precision of a histogram, in significant decimal digits.
const SIGNIFICANT_FIGURES: u8 = 2;
/// The percentiles on the metrics page, from 0 to 100.
const PERCENTILES: [f64; 4] = [50.0, 90.0, 99.0, 99.9];

macro_rules! timings {
    ($($name:ident $text:literal $doc:literal;)*) => {
        /// The histograms.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Timing {
            $(#[doc = $doc] $name,)*
        }

        impl Timing {
            /// All histograms.
            pub const ALL: &[Timing] = &[$(Timing::$name,)*];

            /// Returns the name used on the metrics page.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Timing::$name => $text,)*
                }
            }

            /// Returns what the histogram measures.
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
    FullResponse "whole_answer" "From a request's arrival to its response, if that is not a stream.";
    Stream "stream" "From a request's arrival to the end of its stream.";
    Refusal "refusal" "From a request's arrival to the response that rejects it.";
    StoreCall "store_call" "From a call to the platform's store to its response, except watches.";
}

/// The histograms of one process.
#[derive(Debug)]
pub struct Latencies {
    histograms: Mutex<Vec<Histogram<u64>>>,
}

impl Default for Latencies {
    fn default() -> Latencies {
        let histogram = || {
            Histogram::new_with_max(MAX_RECORDED_MS, SIGNIFICANT_FIGURES)
                .expect("the bounds are constants that fit")
        };
        let histograms = Timing::ALL.iter().map(|_| histogram()).collect();
        Latencies { histograms: Mutex::new(histograms) }
    }
}

impl Latencies {
    /// Records a duration.
    pub fn record(&self, timing: Timing, time: Duration) {
        let mut histograms = self.histograms.lock().unwrap_or_else(PoisonError::into_inner);
        let milliseconds = u64::try_from(time.as_millis()).unwrap_or(MAX_RECORDED_MS);
        histograms[timing as usize].saturating_record(milliseconds);
    }

    /// Appends the metrics of all histograms to a text, in milliseconds.
    pub fn write_metrics(&self, text: &mut String) {
        let histograms = self.histograms.lock().unwrap_or_else(PoisonError::into_inner);
        for timing in Timing::ALL {
            let (name, histogram) = (timing.as_str(), &histograms[*timing as usize]);
            for quantile in PERCENTILES {
                let value = histogram.value_at_percentile(quantile);
                let quantile = quantile / 100.0;
                // Writing to a string cannot fail.
                let _ = writeln!(text, "copperweir_{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "copperweir_{name}_ms_count {}", histogram.len());
        }
    }
}

//! The current forecast window: the bookings sampled since its start, and the history of the
//! windows before it. The rule that is applied at its start is in [`super::window_rule`].

use crate::core::leader::forecast::History;
use crate::model::Ms;
use std::collections::BTreeMap;

/// Bookings of one kind of instance, sampled during the window.
#[derive(Debug, Clone, Copy, Default)]
struct BookingSamples {
    /// Sum of the bookings over all samples, in units of one whole instance.
    sum: f64,
    samples: u32,
}

impl BookingSamples {
    fn average(self) -> f64 {
        if self.samples > 0 { self.sum / f64::from(self.samples) } else { 0.0 }
    }
}

/// The current forecast window and the history of earlier ones.
#[derive(Debug, Default)]
pub(in crate::core::leader) struct ForecastWindow {
    history: History,
    /// Samples of this window by the label of the kind, see [`super::machine_type_label`].
    bookings: BTreeMap<String, BookingSamples>,
    /// `None` before the first window.
    started_at: Option<Ms>,
    is_record_in_flight: bool,
}

impl ForecastWindow {
    /// Adds bookings of a kind, in units of one whole instance, to the sample being taken.
    pub(in crate::core::leader) fn add_bookings(&mut self, label: String, instances: f64) {
        self.bookings.entry(label).or_default().sum += instances;
    }

    /// Counts one sample of a kind.
    pub(in crate::core::leader) fn count_sample(&mut self, label: String) {
        self.bookings.entry(label).or_default().samples += 1;
    }

    /// Continues the window that a previous leader started.
    pub(super) fn resume(&mut self, started_at: Ms, history: History) {
        self.history = history;
        self.started_at = Some(started_at);
    }

    /// Whether the window has lasted for `length`, or there has been no window yet.
    pub(super) fn is_over(&self, now: Ms, length: Ms) -> bool {
        self.started_at.is_none_or(|started_at| now >= started_at + length)
    }

    /// Starts a window, and adds the averages of the previous one to the history.
    pub(super) fn begin(&mut self, now: Ms, season_windows: usize) {
        self.started_at = Some(now);
        let sampled = std::mem::take(&mut self.bookings).into_iter();
        let averages = sampled.map(|(label, samples)| (label, samples.average())).collect();
        self.history.record(&averages, season_windows);
    }

    /// History of the bookings in earlier windows.
    pub(super) fn history(&self) -> &History {
        &self.history
    }

    /// Marks a write of the window's record as in flight. Returns false if one already is.
    pub(super) fn try_start_record_write(&mut self) -> bool {
        !std::mem::replace(&mut self.is_record_in_flight, true)
    }

    /// Marks the write of the record as ended. A failed write is not retried: the record of the
    /// next window replaces it.
    pub(super) fn on_record_written(&mut self) {
        self.is_record_in_flight = false;
    }
}

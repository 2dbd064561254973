//! The current forecast window: the bookings sampled since it began, and the history of those
//! before it. The rule that is applied at its start is in [`super::window_rule`].

use crate::core::leader::forecast::History;
use crate::model::Ms;
use std::collections::BTreeMap;

/// Bookings of one kind of instance, sampled over the window.
#[derive(Debug, Clone, Copy, Default)]
struct BookingSamples {
    /// Sum over all samples, in whole instances' worth of bookings.
    sum: f64,
    samples: u32,
}

impl BookingSamples {
    fn average(self) -> f64 {
        if self.samples > 0 { self.sum / f64::from(self.samples) } else { 0.0 }
    }
}

/// The window that has begun last.
#[derive(Debug, Default)]
pub(in crate::core::leader) struct ForecastWindow {
    history: History,
    /// By the label of the kind, see [`super::machine_type_label`].
    bookings: BTreeMap<String, BookingSamples>,
    /// None before the first window.
    started_at: Option<Ms>,
    is_record_in_flight: bool,
}

impl ForecastWindow {
    /// Adds bookings of a kind to the sample that is being taken.
    pub(in crate::core::leader) fn add_bookings(&mut self, label: String, instances: f64) {
        self.bookings.entry(label).or_default().sum += instances;
    }

    /// Counts one sample of a kind.
    pub(in crate::core::leader) fn count_sample(&mut self, label: String) {
        self.bookings.entry(label).or_default().samples += 1;
    }

    /// Goes on with the window that a former leader began.
    pub(super) fn resume(&mut self, started_at: Ms, history: History) {
        self.history = history;
        self.started_at = Some(started_at);
    }

    /// Whether the next window is due. True before the first.
    pub(super) fn is_over(&self, now: Ms, length: Ms) -> bool {
        self.started_at.is_none_or(|started_at| now >= started_at + length)
    }

    /// Begins a window; the averages of the one before go into the history.
    pub(super) fn begin(&mut self, now: Ms, season: usize) {
        self.started_at = Some(now);
        let sampled = std::mem::take(&mut self.bookings).into_iter();
        let averages = sampled.map(|(label, samples)| (label, samples.average())).collect();
        self.history.record(&averages, season);
    }

    /// Bookings of former windows.
    pub(super) fn history(&self) -> &History {
        &self.history
    }

    /// Whether the window may be put on record now; if so, the write is taken to be under way.
    pub(super) fn begin_record(&mut self) -> bool {
        !std::mem::replace(&mut self.is_record_in_flight, true)
    }

    /// The write of the record has ended. If it failed, the next window's record makes it good.
    pub(super) fn on_record_written(&mut self) {
        self.is_record_in_flight = false;
    }
}

//! The demand forecast per window: a smoothed seasonal average.
//!
//! For each kind of machine, identified by its label, the history holds how many machines were
//! booked in each window. While it is too short for a forecast, the current demand alone
//! decides. The window rule extends the history and queries the forecast. The history is stored
//! in the fleet record.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of seasons that the history keeps.
const KEPT_SEASONS: usize = 3;
/// Maximum number of windows that the history keeps: the fleet record has to stay within the
/// store's limit on the size of a value.
const MAX_KEPT_WINDOWS: usize = 240;
/// Minimum number of windows for a forecast.
const MIN_WINDOWS: usize = 3;
/// Weight of an earlier season relative to the newer ones, as a share of the weight that the
/// smoothing leaves to earlier windows.
const SEASON_WEIGHT: f64 = 0.5;
/// Weight of the seasonal average in the forecast; the smoothed level has the remaining weight.
const SEASON_SHARE: f64 = 0.5;

/// Machines booked in past windows, by kind of machine.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct History {
    /// Machines booked in each window, the oldest first.
    #[serde(rename = "h", default)]
    bookings: BTreeMap<String, Vec<f64>>,
    /// Number of windows recorded so far, those included that are no longer kept.
    #[serde(rename = "n", default)]
    windows: u64,
}

impl History {
    /// Adds the window that has just ended, with the machines booked in it. `season_windows` is the
    /// number of windows in a season.
    pub fn record(&mut self, booked: &BTreeMap<String, f64>, season_windows: usize) {
        for kind in booked.keys() {
            let earlier_windows = self.longest();
            self.bookings.entry(kind.clone()).or_insert_with(|| vec![0.0; earlier_windows]);
        }
        let max_windows = (season_windows * KEPT_SEASONS).clamp(MIN_WINDOWS, MAX_KEPT_WINDOWS);
        for (kind, windows) in &mut self.bookings {
            let machines = booked.get(kind).copied().unwrap_or(0.0);
            windows.push(round_to_hundredths(machines));
            let excess = windows.len().saturating_sub(max_windows);
            windows.drain(..excess);
        }
        self.windows += 1;
    }

    /// Drops the oldest quarter of the windows. Returns `false` if there was nothing to drop.
    pub fn shorten(&mut self) -> bool {
        let dropped = self.longest().div_ceil(4);
        for windows in self.bookings.values_mut() {
            windows.drain(..dropped.min(windows.len()));
        }
        dropped > 0
    }

    fn longest(&self) -> usize {
        self.bookings.values().map(Vec::len).max().unwrap_or(0)
    }

    /// Returns the exponentially smoothed absolute deviation of the windows from their level, in
    /// machines. `smoothing` is the weight of the newest window, from 0 to 1.
    pub fn deviation(&self, kind: &str, smoothing: f64) -> f64 {
        let Some(windows) = self.bookings.get(kind) else { return 0.0 };
        let mut level = windows.first().copied().unwrap_or(0.0);
        let mut deviation = 0.0;
        for machines in windows {
            let difference = *machines - level;
            deviation += smoothing * (difference.abs() - deviation);
            level += smoothing * difference;
        }
        deviation
    }

    /// Returns the number of machines expected to be booked in the next window, or `None` if the
    /// history is too short. The seasonal average is used only once the history covers two
    /// seasons: with less, any rise and fall within the last minutes would look like a season.
    pub fn forecast(&self, kind: &str, season_windows: usize, smoothing: f64) -> Option<f64> {
        let windows = self.bookings.get(kind)?;
        if windows.len() < MIN_WINDOWS {
            return None;
        }
        let level = smoothed_level(windows, smoothing);
        if windows.len() < 2 * season_windows {
            return Some(level);
        }
        Some(match seasonal_average(windows, season_windows, smoothing) {
            Some(seasonal) => SEASON_SHARE * (level + seasonal),
            None => level,
        })
    }
}

/// Rounds a value to hundredths, which keeps the stored text short. Single precision would not:
/// its text would show all the digits of the rounding error.
fn round_to_hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Returns the exponentially smoothed level of all windows.
fn smoothed_level(windows: &[f64], smoothing: f64) -> f64 {
    let mut levels = windows.iter().copied();
    let first = levels.next().unwrap_or(0.0);
    levels.fold(first, |level, machines| level + smoothing * (machines - level))
}

/// Returns the weighted average of the windows that correspond to the next window in earlier
/// seasons, starting with the latest season.
fn seasonal_average(windows: &[f64], season_windows: usize, smoothing: f64) -> Option<f64> {
    let mut average = None;
    let mut next_index = windows.len().checked_sub(season_windows);
    while let Some(index) = next_index {
        let machines = windows[index];
        average = Some(match average {
            None => machines,
            Some(newer) => newer + (1.0 - smoothing) * SEASON_WEIGHT * (machines - newer),
        });
        next_index = index.checked_sub(season_windows);
    }
    average
}

//! The demand forecast per window: a smoothed seasonal average.
//!
//! For each kind of machine, named by its label, the history holds how many machines were
//! booked in each window. As long as it is too short for a forecast, present need alone
//! decides. The window rule feeds the history and asks for the forecast; it is stored with the
//! fleet record.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Seasons that are kept.
const KEPT_SEASONS: usize = 3;
/// Windows that are kept at most: the record has to stay within the limit on values.
const MAX_KEPT_WINDOWS: usize = 240;
/// Windows that a forecast needs at least.
const MIN_WINDOWS: usize = 3;
/// Weight of an earlier season against the newer ones, as a share of what the smoothing leaves
/// to earlier windows.
const SEASON_WEIGHT: f64 = 0.5;
/// Weight of the season in the forecast; the level has the rest.
const SEASON_SHARE: f64 = 0.5;

/// Bookings of past windows, by kind of machine.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct History {
    /// Machines booked in each window, the oldest first.
    #[serde(rename = "h", default)]
    bookings: BTreeMap<String, Vec<f64>>,
    /// Number of windows ever recorded.
    #[serde(rename = "n", default)]
    windows: u64,
}

impl History {
    /// Adds the window that has just ended, with the machines booked in it. `season` is the
    /// number of windows in a season.
    pub fn record(&mut self, booked: &BTreeMap<String, f64>, season: usize) {
        for kind in booked.keys() {
            let earlier_windows = self.longest();
            self.bookings.entry(kind.clone()).or_insert_with(|| vec![0.0; earlier_windows]);
        }
        let max_windows = (season * KEPT_SEASONS).clamp(MIN_WINDOWS, MAX_KEPT_WINDOWS);
        for (kind, windows) in &mut self.bookings {
            let machines = booked.get(kind).copied().unwrap_or(0.0);
            windows.push(round_to_hundredths(machines));
            let excess = windows.len().saturating_sub(max_windows);
            windows.drain(..excess);
        }
        self.windows += 1;
    }

    /// Drops the oldest quarter of the windows; `false` if there was nothing to drop.
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

    /// How far windows deviate from the level, in machines, smoothed. `smoothing` is the
    /// weight of the newest window, from 0 to 1.
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

    /// Machines expected to be booked in the next window; `None` without enough history. The
    /// season counts once it has been seen twice: with less, any rise and fall of the last
    /// minutes would pass for one.
    pub fn expect(&self, kind: &str, season: usize, smoothing: f64) -> Option<f64> {
        let windows = self.bookings.get(kind)?;
        if windows.len() < MIN_WINDOWS {
            return None;
        }
        let level = smoothed_level(windows, smoothing);
        if windows.len() < 2 * season {
            return Some(level);
        }
        Some(match seasonal_average(windows, season, smoothing) {
            Some(seasonal) => SEASON_SHARE * (level + seasonal),
            None => level,
        })
    }
}

/// Keeps the stored text short. Not in single precision, whose text would show all the digits
/// of its error.
fn round_to_hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Exponentially smoothed level of all windows.
fn smoothed_level(windows: &[f64], smoothing: f64) -> f64 {
    let mut levels = windows.iter().copied();
    let first = levels.next().unwrap_or(0.0);
    levels.fold(first, |level, machines| level + smoothing * (machines - level))
}

/// Average of the windows at the next window's place in earlier seasons, the last season
/// first.
fn seasonal_average(windows: &[f64], season: usize, smoothing: f64) -> Option<f64> {
    let mut average = None;
    let mut place = windows.len().checked_sub(season);
    while let Some(index) = place {
        let machines = windows[index];
        average = Some(match average {
            None => machines,
            Some(newer) => newer + (1.0 - smoothing) * SEASON_WEIGHT * (machines - newer),
        });
        place = index.checked_sub(season);
    }
    average
}

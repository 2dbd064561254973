//! The operators' file, which contains the settings of the scheduler itself.

use super::cells::CELL_SECTION;
use super::error::read_file;
use super::value::number_within;
use super::{CellSettings, ConfigError, InvalidSetting, OverloadSettings, SettingError};
use std::path::Path;

const SECONDS_PER_DAY: f64 = 86_400.0;
const MAX_LEASE_S: f64 = 600.0;

/// The operators' settings. The defaults are the values of the design.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Length of a forecast window, in seconds.
    pub window_s: f64,
    /// Number of windows in one season of the forecast.
    pub season_windows: usize,
    /// Weight of the newest window in the smoothed average.
    pub smoothing: f64,
    /// Share of capacity above which a projected step counts as overloaded.
    pub overload_level: f64,
    /// Share of steps that must be overloaded before a machine causes a scale-out.
    pub overload_steps: f64,
    /// Projected utilization, as a share of capacity, below which machines are drained.
    pub drain_level: f64,
    /// Number of one-second steps of the projection.
    pub horizon_steps: usize,
    /// Extra time that a task which outruns its estimate is assumed to need, as a share of the
    /// estimate.
    pub extension: f64,
    /// Upper bound on the duration of the control lease, in seconds.
    pub max_control_lease_s: f64,
    /// Time to live of the leader's lease in the store, in seconds.
    pub leader_ttl_s: f64,
    /// Silence after which the leader considers a node lost, in seconds.
    pub node_silence_s: f64,
    /// Number of spot instances kept in addition to the forecast, in mean deviations from it.
    pub spot_headroom: f64,
    /// Wait after which a job may preempt other jobs, in seconds.
    pub preempt_after_s: f64,
    /// Wait without a started task after which the first tasks of a job take precedence over all
    /// others, in seconds.
    pub starve_after_s: f64,
    /// Behaviour under overload.
    pub overload: OverloadSettings,
    /// Load sharing with other cells.
    pub cells: CellSettings,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            window_s: 10.0,
            season_windows: 90,
            smoothing: 0.4,
            overload_level: 0.95,
            overload_steps: 0.10,
            drain_level: 0.30,
            horizon_steps: 100,
            extension: 0.2,
            max_control_lease_s: 30.0,
            leader_ttl_s: 5.0,
            node_silence_s: 3.0,
            spot_headroom: 1.5,
            preempt_after_s: 180.0,
            starve_after_s: 120.0,
            overload: OverloadSettings::default(),
            cells: CellSettings::default(),
        }
    }
}

impl Operator {
    /// Reads and checks the operators' file.
    pub fn load(path: &Path) -> Result<Operator, ConfigError> {
        let (file, text) = read_file(path)?;
        Operator::parse(&file, &text)
    }

    /// Parses and checks the text of the operators' file. Errors name `file`.
    pub fn parse(file: &str, text: &str) -> Result<Operator, ConfigError> {
        let ini = ini::Ini::load_from_str(text)
            .map_err(|source| ConfigError::Ini { file: file.into(), source })?;
        Operator::from_ini(&ini).map_err(|invalid| invalid.in_file(file))
    }

    fn from_ini(ini: &ini::Ini) -> Result<Operator, InvalidSetting> {
        let mut operator = Operator::default();
        for (section, settings) in ini.iter() {
            let section = section.unwrap_or("");
            for (key, value) in settings.iter() {
                let set = operator.set(section, key, value);
                set.map_err(|why| why.at(format!("[{section}] {key}")))?;
            }
        }
        operator.overload.check()?;
        operator.cells.check()?;
        Ok(operator)
    }

    /// Parses the value of one setting and stores it.
    fn set(&mut self, section: &str, key: &str, value: &str) -> Result<(), SettingError> {
        let number = |least: f64, most: f64| number_within(value, least, most);
        match (section, key) {
            ("forecast", "window_s") => self.window_s = number(1.0, SECONDS_PER_DAY)?,
            ("forecast", "season_windows") => self.season_windows = number(1.0, 10000.0)? as usize,
            ("forecast", "smoothing") => self.smoothing = number(0.0, 1.0)?,
            ("forecast", "spot_headroom") => self.spot_headroom = number(0.0, 100.0)?,
            ("admission", "preempt_after_s") => self.preempt_after_s = number(0.0, SECONDS_PER_DAY)?,
            ("admission", "starve_after_s") => self.starve_after_s = number(0.0, SECONDS_PER_DAY)?,
            ("projection", "horizon_s") => self.horizon_steps = number(1.0, 10000.0)? as usize,
            ("projection", "extension") => self.extension = number(0.01, 10.0)?,
            ("projection", "overload_level") => self.overload_level = number(0.0, 1.0)?,
            ("projection", "overload_steps") => self.overload_steps = number(0.0, 1.0)?,
            ("projection", "drain_level") => self.drain_level = number(0.0, 1.0)?,
            ("leases", "block_s") => self.max_control_lease_s = number(1.0, MAX_LEASE_S)?,
            ("leases", "leader_s") => self.leader_ttl_s = number(0.5, MAX_LEASE_S)?,
            ("leases", "node_silence_s") => self.node_silence_s = number(0.5, MAX_LEASE_S)?,
            ("overload", _) => return self.overload.set(key, value),
            ("cells", _) => return self.cells.set(key, value),
            (section, _) => {
                let cell = section.strip_prefix(CELL_SECTION).ok_or(SettingError::Unknown)?;
                return self.cells.set_neighbor(cell.trim(), key, value);
            }
        }
        Ok(())
    }
}

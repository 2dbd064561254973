//! The operators' file.

use super::cells::CELL_SECTION;
use super::{CellSettings, ConfigError, OverloadSettings, number_within, read};
use std::path::Path;

/// The operators' settings, with the design's values as defaults.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Length of a forecast window, seconds.
    pub window_s: f64,
    /// Windows in one season of the forecast.
    pub season: usize,
    /// Weight of the newest window in the smoothed average.
    pub smoothing: f64,
    /// Share of room above which a projected step counts as overloaded.
    pub overload_level: f64,
    /// Share of steps that must be overloaded before a machine asks a rent.
    pub overload_steps: f64,
    /// Projected use below which machines are drained.
    pub drain_level: f64,
    /// Horizon of the projection, in one-second steps.
    pub horizon: usize,
    /// How far a task past its estimate is assumed to go on, as a share of it.
    pub extension: f64,
    /// Longest time a holder acts on one proof of its authority, seconds.
    pub block_lease_s: f64,
    /// Time to live of the leader's record, seconds.
    pub leader_ttl_s: f64,
    /// Silence after which the leader takes a node for lost, seconds.
    pub node_silence_s: f64,
    /// Spot machines kept beyond the forecast, in mean deviations from it.
    pub headroom: f64,
    /// Work that has waited for so long may have other work stopped, seconds.
    pub preempt_after_s: f64,
    /// A job that has waited for so long without a start gets its first tasks
    /// before all others, seconds.
    pub starve_after_s: f64,
    /// Behaviour under overload.
    pub overload: OverloadSettings,
    /// Other cells that share load.
    pub cells: CellSettings,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            window_s: 10.0,
            season: 90,
            smoothing: 0.4,
            overload_level: 0.95,
            overload_steps: 0.10,
            drain_level: 0.30,
            horizon: 100,
            extension: 0.2,
            block_lease_s: 30.0,
            leader_ttl_s: 5.0,
            node_silence_s: 3.0,
            headroom: 1.5,
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
        let (file, text) = read(path)?;
        Operator::parse(&file, &text)
    }

    /// Checks the text of the operators' file; `file` is named in errors.
    pub fn parse(file: &str, text: &str) -> Result<Operator, ConfigError> {
        let ini = ini::Ini::load_from_str(text)
            .map_err(|e| ConfigError::Malformed { file: file.into(), why: e.to_string() })?;
        let mut op = Operator::default();
        for (section, props) in ini.iter() {
            let section = section.unwrap_or("");
            for (key, value) in props.iter() {
                op.set(file, section, key, value)?;
            }
        }
        op.overload.check(file)?;
        op.cells.check(file)?;
        Ok(op)
    }

    fn set(&mut self, file: &str, section: &str, key: &str, value: &str) -> Result<(), ConfigError> {
        let field = format!("[{section}] {key}");
        let err = |why: String| ConfigError::Field { file: file.into(), field: field.clone(), why };
        let number = |least: f64, most: f64| number_within(value, least, most).map_err(err);
        match (section, key) {
            ("forecast", "window_s") => self.window_s = number(1.0, 86400.0)?,
            ("forecast", "season_windows") => self.season = number(1.0, 10000.0)? as usize,
            ("forecast", "smoothing") => self.smoothing = number(0.0, 1.0)?,
            ("forecast", "spot_headroom") => self.headroom = number(0.0, 100.0)?,
            ("admission", "preempt_after_s") => self.preempt_after_s = number(0.0, 86400.0)?,
            ("admission", "starve_after_s") => self.starve_after_s = number(0.0, 86400.0)?,
            ("projection", "horizon_s") => self.horizon = number(1.0, 10000.0)? as usize,
            ("projection", "extension") => self.extension = number(0.01, 10.0)?,
            ("projection", "overload_level") => self.overload_level = number(0.0, 1.0)?,
            ("projection", "overload_steps") => self.overload_steps = number(0.0, 1.0)?,
            ("projection", "drain_level") => self.drain_level = number(0.0, 1.0)?,
            ("leases", "block_s") => self.block_lease_s = number(1.0, 600.0)?,
            ("leases", "leader_s") => self.leader_ttl_s = number(0.5, 600.0)?,
            ("leases", "node_silence_s") => self.node_silence_s = number(0.5, 600.0)?,
            ("overload", _) => return self.overload.set(key, value).map_err(err),
            ("cells", _) => return self.cells.set(key, value).map_err(err),
            (section, _) if section.starts_with(CELL_SECTION) => {
                let cell = section[CELL_SECTION.len()..].trim();
                return self.cells.set_neighbor(cell, key, value).map_err(err);
            }
            _ => return Err(err("unknown setting".into())),
        }
        Ok(())
    }
}

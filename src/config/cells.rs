//! Settings for sharing load with other cells (docs/cells.md).

use super::value::{boolean, number_within};
use super::{InvalidSetting, SettingError};
use std::net::SocketAddr;
use woadlever_cells::Millis;

/// Prefix of the names of sections about other cells: `[cell NAME]`.
pub(super) const CELL_SECTION: &str = "cell ";
/// Wait after which a job that this cell has no capacity for is offered to other cells.
const DEFAULT_SPILL_AFTER_MS: Millis = 60_000;
/// Silence of another cell after which the jobs that it hosts are recalled.
const DEFAULT_SILENCE_MS: Millis = 30_000;
/// Time without a running or done task after which a job is recalled from its host cell. It is
/// longer than machines take to boot.
const DEFAULT_IDLE_MS: Millis = 120_000;
/// Maximum number of jobs that one other cell hosts for this one.
const DEFAULT_MAX_FORWARDED_JOBS: usize = 4_096;
/// Largest allowed value of `max_forwarded`. The list of more jobs would not fit into a message.
const MAX_FORWARDED_JOBS_LIMIT: f64 = 50_000.0;
const DEFAULT_FIT_SHARE: f64 = 0.5;
const SECONDS_PER_DAY: f64 = 86_400.0;
const MAX_CELL_NAME_BYTES: usize = 64;

/// Whether and how load is shared with other cells.
#[derive(Debug, Clone)]
pub struct CellSettings {
    /// Whether load is shared at all.
    pub enabled: bool,
    /// Name of this cell.
    pub name: String,
    /// Port on which this node listens for other cells, at the IP address on which it listens for
    /// the other nodes of its cell.
    pub listen_port: u16,
    /// Whether jobs of other cells are accepted.
    pub accept: bool,
    /// Wait after which a job that this cell has no capacity for is offered to other cells, in
    /// milliseconds.
    pub spill_after_ms: Millis,
    /// Silence of another cell after which the jobs that it hosts are recalled, in milliseconds.
    pub silence_ms: Millis,
    /// Time without a running or done task after which a job is recalled from its host cell, in
    /// milliseconds.
    pub idle_ms: Millis,
    /// Maximum number of jobs that one other cell hosts for this one.
    pub max_forwarded: usize,
    /// Share of a job's tasks that another cell must have capacity for.
    pub fit_share: f64,
    /// The other cells.
    pub neighbors: Vec<CellNeighbor>,
}

/// Another cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellNeighbor {
    /// Its name.
    pub name: String,
    /// Addresses on which its controllers listen for other cells.
    pub controllers: Vec<SocketAddr>,
}

impl Default for CellSettings {
    fn default() -> Self {
        CellSettings {
            enabled: false,
            name: String::new(),
            listen_port: 0,
            accept: true,
            spill_after_ms: DEFAULT_SPILL_AFTER_MS,
            silence_ms: DEFAULT_SILENCE_MS,
            idle_ms: DEFAULT_IDLE_MS,
            max_forwarded: DEFAULT_MAX_FORWARDED_JOBS,
            fit_share: DEFAULT_FIT_SHARE,
            neighbors: Vec::new(),
        }
    }
}

impl CellSettings {
    /// Parses the value of one setting in section `[cells]` and stores it.
    pub(super) fn set(&mut self, key: &str, value: &str) -> Result<(), SettingError> {
        let millis_from = |least_s: f64| {
            number_within(value, least_s, SECONDS_PER_DAY).map(|seconds| (seconds * 1000.0) as Millis)
        };
        match key {
            "enabled" => self.enabled = boolean(value)?,
            "name" => self.name = cell_name(value)?,
            "listen_port" => self.listen_port = number_within(value, 1.0, 65_535.0)? as u16,
            "accept" => self.accept = boolean(value)?,
            "spill_after_s" => self.spill_after_ms = millis_from(1.0)?,
            "silence_s" => self.silence_ms = millis_from(5.0)?,
            "idle_s" => self.idle_ms = millis_from(5.0)?,
            "max_forwarded" => {
                self.max_forwarded = number_within(value, 1.0, MAX_FORWARDED_JOBS_LIMIT)? as usize;
            }
            "fit_share" => self.fit_share = number_within(value, 0.0, 1.0)?,
            _ => return Err(SettingError::Unknown),
        }
        Ok(())
    }

    /// Parses the value of one setting in a section about another cell and stores it.
    pub(super) fn set_neighbor(
        &mut self,
        cell: &str,
        key: &str,
        value: &str,
    ) -> Result<(), SettingError> {
        let name = cell_name(cell)?;
        if key != "controllers" {
            return Err(SettingError::Unknown);
        }
        let addresses = value.split(',').map(str::trim);
        let controllers = addresses.map(parse_address).collect::<Result<_, _>>()?;
        self.neighbors.push(CellNeighbor { name, controllers });
        Ok(())
    }

    /// Checks that the settings are complete and don't contradict each other.
    pub(super) fn check(&self) -> Result<(), InvalidSetting> {
        if self.enabled && self.name.is_empty() {
            return Err(SettingError::Missing.at("[cells] name"));
        }
        if self.enabled && self.listen_port == 0 {
            return Err(SettingError::Missing.at("[cells] listen_port"));
        }
        for (index, neighbor) in self.neighbors.iter().enumerate() {
            let field = format!("[{CELL_SECTION}{}]", neighbor.name);
            if neighbor.name == self.name {
                return Err(SettingError::ThisCell.at(field));
            }
            if self.neighbors[..index].iter().any(|other| other.name == neighbor.name) {
                return Err(SettingError::Duplicate.at(field));
            }
        }
        Ok(())
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, SettingError> {
    text.parse().map_err(|_| SettingError::NotAddress(text.into()))
}

/// Checks the name of a cell, which becomes part of store keys and of section names.
fn cell_name(text: &str) -> Result<String, SettingError> {
    let name = text.trim();
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if name.is_empty() || name.len() > MAX_CELL_NAME_BYTES || !name.chars().all(is_plain) {
        return Err(SettingError::NotCellName(name.into()));
    }
    Ok(name.to_string())
}

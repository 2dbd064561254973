//! Settings of cells that share load (docs/cells.md).

use super::{ConfigError, flag, number_within};
use std::net::SocketAddr;
use woadlever_cells::Millis;

/// Sections `[cell NAME]` tell of the other cells.
pub(super) const CELL_SECTION: &str = "cell ";
/// A job is offered to other cells after this wait, unless the settings say otherwise.
const DEFAULT_SPILL_AFTER_MS: Millis = 60_000;
const DEFAULT_SILENCE_MS: Millis = 30_000;
/// Longer than machines take to boot.
const DEFAULT_IDLE_MS: Millis = 120_000;
/// Jobs that one other cell hosts at most.
const DEFAULT_MAX_FORWARDED: usize = 4_096;
/// With more, the list of them would not fit into a message.
const MAX_MAX_FORWARDED: f64 = 50_000.0;
const DEFAULT_FIT_SHARE: f64 = 0.5;

/// Whether and how load is shared with other cells.
#[derive(Debug, Clone)]
pub struct CellSettings {
    /// Whether it is at all.
    pub enabled: bool,
    /// Name of this cell.
    pub name: String,
    /// Port for other cells, at the address for the other nodes.
    pub listen_port: u16,
    /// Whether jobs of other cells are taken.
    pub accept: bool,
    /// Wait after which a job is offered to other cells, milliseconds.
    pub spill_after_ms: Millis,
    /// Silence after which what another cell hosts is recalled, milliseconds.
    pub silence_ms: Millis,
    /// Time within which a host cell has to start a job, milliseconds.
    pub idle_ms: Millis,
    /// Jobs that one other cell hosts at most.
    pub max_forwarded: usize,
    /// Share of a job's tasks that another cell must have room for.
    pub fit_share: f64,
    /// The other cells.
    pub neighbors: Vec<CellNeighbor>,
}

/// Another cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellNeighbor {
    /// Its name.
    pub name: String,
    /// Addresses of its controllers for other cells.
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
            max_forwarded: DEFAULT_MAX_FORWARDED,
            fit_share: DEFAULT_FIT_SHARE,
            neighbors: Vec::new(),
        }
    }
}

impl CellSettings {
    pub(super) fn set(&mut self, key: &str, value: &str) -> Result<(), String> {
        let millis =
            |least: f64, most: f64| number_within(value, least, most).map(|s| (s * 1000.0) as Millis);
        match key {
            "enabled" => self.enabled = flag(value)?,
            "name" => self.name = cell_name(value)?,
            "listen_port" => self.listen_port = number_within(value, 1.0, 65_535.0)? as u16,
            "accept" => self.accept = flag(value)?,
            "spill_after_s" => self.spill_after_ms = millis(1.0, 86_400.0)?,
            "silence_s" => self.silence_ms = millis(5.0, 86_400.0)?,
            "idle_s" => self.idle_ms = millis(5.0, 86_400.0)?,
            "max_forwarded" => {
                self.max_forwarded = number_within(value, 1.0, MAX_MAX_FORWARDED)? as usize
            }
            "fit_share" => self.fit_share = number_within(value, 0.0, 1.0)?,
            _ => return Err("unknown setting".into()),
        }
        Ok(())
    }

    pub(super) fn set_neighbor(&mut self, cell: &str, key: &str, value: &str) -> Result<(), String> {
        let name = cell_name(cell)?;
        if key != "controllers" {
            return Err("unknown setting".into());
        }
        let parse = |text: &str| {
            text.trim().parse().map_err(|_| format!("{:?} is not an address and port", text.trim()))
        };
        let controllers: Vec<SocketAddr> = value.split(',').map(parse).collect::<Result<_, String>>()?;
        self.neighbors.push(CellNeighbor { name, controllers });
        Ok(())
    }

    /// Settings that contradict each other.
    pub(super) fn check(&self, file: &str) -> Result<(), ConfigError> {
        let bad = |field: &str, why: &str| {
            Err(ConfigError::Field { file: file.into(), field: field.into(), why: why.into() })
        };
        if self.enabled && self.name.is_empty() {
            return bad("[cells] name", "is missing");
        }
        if self.enabled && self.listen_port == 0 {
            return bad("[cells] listen_port", "is missing");
        }
        for (place, neighbor) in self.neighbors.iter().enumerate() {
            let field = format!("[{CELL_SECTION}{}]", neighbor.name);
            if neighbor.name == self.name {
                return bad(&field, "is this very cell");
            }
            if self.neighbors[..place].iter().any(|other| other.name == neighbor.name) {
                return bad(&field, "stands twice");
            }
        }
        Ok(())
    }
}

/// Names of cells become parts of keys and of section names.
fn cell_name(text: &str) -> Result<String, String> {
    let name = text.trim();
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if name.is_empty() || name.len() > 64 || !name.chars().all(is_plain) {
        return Err(format!("{name:?} is not a name of 1 to 64 letters, digits, - and _"));
    }
    Ok(name.to_string())
}

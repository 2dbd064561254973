//! Leases under which this cell runs the jobs of other cells, as they are on record. All
//! controllers follow them with the watch (docs/cells.md).

use std::collections::HashMap;
use woadlever_cells::lease::CellTiming;
use woadlever_cells::record::CellLease;

/// Key of the lease of an origin cell.
pub fn cell_lease_key(cell: &str) -> String {
    format!("{CELL_LEASES}{cell}")
}

/// What the keys of all leases begin with.
pub const CELL_LEASES: &str = "w/cell/";

/// The leases by origin cell.
#[derive(Debug)]
pub struct CellLeases {
    timing: CellTiming,
    by_cell: HashMap<String, (CellLease, u64)>,
}

impl CellLeases {
    /// None yet.
    pub fn new(timing: CellTiming) -> CellLeases {
        CellLeases { timing, by_cell: HashMap::new() }
    }

    /// Times that leases follow from.
    pub fn timing(&self) -> CellTiming {
        self.timing
    }

    /// Takes in a record of this version. Older ones are ignored.
    pub fn put(&mut self, cell: &str, lease: CellLease, version: u64) {
        let known = self.by_cell.entry(cell.to_string()).or_default();
        if version > known.1 {
            *known = (lease, version);
        }
    }

    /// The lease of a cell with the version of its record; 0 if there is none.
    pub fn get(&self, cell: &str) -> (CellLease, u64) {
        self.by_cell.get(cell).copied().unwrap_or_default()
    }

    /// Whether jobs of the cell may run at this time of day.
    pub fn is_valid(&self, cell: &str, wall_ms: u64) -> bool {
        let lease = self.by_cell.get(cell);
        lease.is_some_and(|(lease, _)| !self.timing.has_ended(lease.until_ms, wall_ms))
    }
}

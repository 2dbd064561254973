//! Leases under which this cell runs the jobs of other cells, as they are on record. All
//! controllers follow them with the watch (docs/cells.md).

use std::collections::HashMap;
use woadlever_cells::lease::CellTiming;
use woadlever_cells::record::CellLease;

/// A cell's lease, with the version of its record.
#[derive(Debug, Clone, Copy, Default)]
pub struct KnownCellLease {
    /// The lease.
    pub lease: CellLease,
    /// Version of its record; 0 if there is none.
    pub version: u64,
}

/// The leases by origin cell.
#[derive(Debug)]
pub struct CellLeases {
    timing: CellTiming,
    by_cell: HashMap<String, KnownCellLease>,
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
        if version > known.version {
            *known = KnownCellLease { lease, version };
        }
    }

    /// The lease of a cell; one that has ended long ago if there is none.
    pub fn get(&self, cell: &str) -> KnownCellLease {
        self.by_cell.get(cell).copied().unwrap_or_default()
    }

    /// Whether jobs of the cell may run at this time of day.
    pub fn is_valid(&self, cell: &str, wall_ms: u64) -> bool {
        let lease = self.by_cell.get(cell);
        lease.is_some_and(|known| !self.timing.has_ended(known.lease.until_ms, wall_ms))
    }
}

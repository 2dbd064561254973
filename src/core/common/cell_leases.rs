//! Leases under which this cell runs jobs of other cells, as recorded in the store. All
//! controllers keep them up to date through the watch (docs/cells.md).

use std::collections::HashMap;
use woadlever_cells::lease::CellTiming;
use woadlever_cells::record::CellLease;

/// The lease of an origin cell and the version of its record.
#[derive(Debug, Clone, Copy, Default)]
pub struct KnownCellLease {
    /// The lease.
    pub lease: CellLease,
    /// Version of the lease's record; 0 if there is no record.
    pub version: u64,
}

/// Known leases by origin cell.
#[derive(Debug)]
pub struct CellLeases {
    timing: CellTiming,
    by_cell: HashMap<String, KnownCellLease>,
}

impl CellLeases {
    /// Creates an empty set of leases.
    pub fn new(timing: CellTiming) -> CellLeases {
        CellLeases { timing, by_cell: HashMap::new() }
    }

    /// Timing parameters from which lease expiry is derived.
    pub fn timing(&self) -> CellTiming {
        self.timing
    }

    /// Stores the lease read from a record, unless a record of the same or a newer version is
    /// known already.
    pub fn put(&mut self, cell: &str, lease: CellLease, version: u64) {
        let known = self.by_cell.entry(cell.to_string()).or_default();
        if version > known.version {
            *known = KnownCellLease { lease, version };
        }
    }

    /// Returns the lease of a cell; if there is none, a lease that ended long ago.
    pub fn get(&self, cell: &str) -> KnownCellLease {
        self.by_cell.get(cell).copied().unwrap_or_default()
    }

    /// Whether jobs of the cell may run at this wall-clock time.
    pub fn is_valid(&self, cell: &str, wall_ms: u64) -> bool {
        let lease = self.by_cell.get(cell);
        lease.is_some_and(|known| !self.timing.lease_may_have_ended(known.lease.until_ms, wall_ms))
    }
}

//! Keys of the records that all nodes watch. The keys of other records in the store are defined
//! next to the code that owns those records.

/// Key prefix of all watched records.
pub const WATCHED_PREFIX: &str = "w/";
/// Key of the leader record.
pub const LEADER: &str = "w/leader";
/// Key of the first record of the machine type catalog.
pub const CATALOG: &str = "w/catalog";
/// Key prefix of the further records of the catalog.
const CATALOG_PART_PREFIX: &str = "w/catalog/";
const JOB_PREFIX: &str = "w/job/";
const SHARD_PREFIX: &str = "w/block/";
/// Key prefix of all cell leases.
pub const CELL_LEASE_PREFIX: &str = "w/cell/";

/// Key prefix of all placement records, which are not watched.
pub const PLACEMENT_PREFIX: &str = "place/";

/// Kind of a watched record, derived from its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WatchedRecord<'a> {
    Leader,
    /// The owner of the shard with this name.
    Shard(&'a str),
    /// The job with this id.
    Job(&'a str),
    /// The lease of this origin cell.
    CellLease(&'a str),
    Catalog,
}

impl<'a> WatchedRecord<'a> {
    /// Parses a key; `None` if this version of the service does not know it.
    pub(crate) fn of_key(key: &'a str) -> Option<WatchedRecord<'a>> {
        if key == LEADER {
            return Some(WatchedRecord::Leader);
        }
        if key == CATALOG || key.starts_with(CATALOG_PART_PREFIX) {
            return Some(WatchedRecord::Catalog);
        }
        let shard = key.strip_prefix(SHARD_PREFIX).map(WatchedRecord::Shard);
        let job = || key.strip_prefix(JOB_PREFIX).map(WatchedRecord::Job);
        let cell = || key.strip_prefix(CELL_LEASE_PREFIX).map(WatchedRecord::CellLease);
        shard.or_else(job).or_else(cell)
    }

    /// Whether the record assigns the role of leader or shard owner. A full read applies such
    /// records last, because a node with a role relies on all records written before its role was
    /// assigned. Watch events arrive in the order of the writes and are applied in that order.
    pub(crate) fn assigns_role(self) -> bool {
        matches!(self, WatchedRecord::Leader | WatchedRecord::Shard(_))
    }
}

/// Returns the key of the catalog record with this number. There is more than one record only if
/// the catalog does not fit into the first.
pub fn catalog_key(number: usize) -> String {
    if number == 0 { CATALOG.into() } else { format!("{CATALOG_PART_PREFIX}{number}") }
}

/// Returns the key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of the record that names a shard's owner.
pub fn shard_key(shard: &str) -> String {
    format!("{SHARD_PREFIX}{shard}")
}

/// Returns the key of the lease of an origin cell.
pub fn cell_lease_key(cell: &str) -> String {
    format!("{CELL_LEASE_PREFIX}{cell}")
}

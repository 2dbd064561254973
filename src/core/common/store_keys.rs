//! Keys of the records that all nodes watch. What else is kept in the store has its keys
//! beside the code that owns it.

/// What the keys of all watched records begin with.
pub const WATCHED_PREFIX: &str = "w/";
/// Key of the record that says who leads.
pub const LEADER: &str = "w/leader";
/// Key of the first record of machine types.
pub const CATALOG: &str = "w/catalog";
const MORE_CATALOG_PREFIX: &str = "w/catalog/";
const JOB_PREFIX: &str = "w/job/";
const SHARD_PREFIX: &str = "w/block/";
/// What the keys of all cell leases begin with.
pub const CELL_LEASE_PREFIX: &str = "w/cell/";

/// What the keys of all placement records begin with; they are not watched.
pub const PLACEMENT_PREFIX: &str = "place/";

/// What a watched record is about, as its key says.
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
    /// Reads a key; none if no version of ours knows it.
    pub(crate) fn of_key(key: &'a str) -> Option<WatchedRecord<'a>> {
        if key == LEADER {
            return Some(WatchedRecord::Leader);
        }
        if key == CATALOG || key.starts_with(MORE_CATALOG_PREFIX) {
            return Some(WatchedRecord::Catalog);
        }
        let shard = key.strip_prefix(SHARD_PREFIX).map(WatchedRecord::Shard);
        let job = || key.strip_prefix(JOB_PREFIX).map(WatchedRecord::Job);
        let cell = || key.strip_prefix(CELL_LEASE_PREFIX).map(WatchedRecord::CellLease);
        shard.or_else(job).or_else(cell)
    }

    /// Whether it says who leads or who owns a shard: taking a role up rests on all that
    /// was on record before.
    pub(crate) fn names_role(self) -> bool {
        matches!(self, WatchedRecord::Leader | WatchedRecord::Shard(_))
    }
}

/// Key of a record of machine types: the first, and more if they need it.
pub fn catalog_key(number: usize) -> String {
    if number == 0 { CATALOG.into() } else { format!("{MORE_CATALOG_PREFIX}{number}") }
}

/// Key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Key of the record that says who owns a shard.
pub fn shard_key(shard: &str) -> String {
    format!("{SHARD_PREFIX}{shard}")
}

/// Key of the lease of an origin cell.
pub fn cell_lease_key(cell: &str) -> String {
    format!("{CELL_LEASE_PREFIX}{cell}")
}

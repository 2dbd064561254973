//! The key-value store: its protocol, and the records that this service keeps in it.
//!
//! The names of the protocol and the keys of records stand in the `serde` attributes here
//! and nowhere else. Records outlive the process that wrote them: their JSON form must stay
//! readable by the version before and after.

mod control_records;
mod job_record;
mod placement_record;
mod protocol;

pub use control_records::{LeaderRecord, ShardRecord};
pub use job_record::{JobRecord, JobState};
pub use placement_record::{PlacementRecord, RecordedAttempt, RecordedJob, RecordedMachine};
pub use protocol::{
    Compare, CompareAndSwap, CompareAndSwapCommitted, CompareAndSwapConflict, Event, KeyValue,
    LeaseOpened, Mutation, OpenLease, Page, WatchAnswer,
};

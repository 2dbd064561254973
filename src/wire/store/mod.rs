//! The key-value store: its protocol, and the records that this service keeps in it.
//!
//! The names that the protocol uses and the field names of records appear only in the `serde`
//! attributes of this module. Records outlive the process that wrote them, so the previous and the
//! next version of the service must be able to read their JSON form.

mod control_records;
mod job_record;
mod placement_record;
mod protocol;

pub use control_records::{LeaderRecord, ShardRecord};
pub use job_record::{JobRecord, JobState};
pub use placement_record::{PlacementRecord, RecordedAttempt, RecordedJob, RecordedMachine};
pub use protocol::{
    Compare, CompareAndSwap, CompareAndSwapCommitted, CompareAndSwapConflict, Event, KeyValue,
    LeaseOpened, Mutation, OpenLease, Page, WatchResponse,
};

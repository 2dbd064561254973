//! The types that all other modules share: jobs, resources, machine types, shards and sets of
//! tasks. They depend neither on the scheduler core nor on wire formats, and perform no input or
//! output.

mod index;
mod job_order;
mod job_spec;
mod machine_type;
mod numbers;
mod resources;
mod shard;
mod task_set;

pub use index::{InstanceIndex, JobIndex, MachineIndex, ShardIndex};
pub use job_order::JobOrder;
pub use job_spec::{JobSpec, Priority};
pub use machine_type::{MachineType, merge_types};
pub use numbers::{AttemptId, FencingToken, Term};
pub use resources::Resources;
pub use shard::{Shard, shard_of, shards_of};
pub use task_set::{TaskSet, split_task};

/// A duration or a point in time in milliseconds. Points in time are those of the monotonic clock
/// unless stated otherwise.
pub type Ms = u64;

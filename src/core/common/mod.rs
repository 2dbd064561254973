//! Components that all roles of a node use: the watched records, the election, jobs, tables, and
//! the placement rules that the leader and shard owners share.
//!
//! Each component has its own file and private fields; `context` holds them together. Nothing
//! here imports a role.

pub mod cell_leases;
pub mod clock;
pub mod context;
pub mod control_lease;
pub mod decision_log;
mod dependencies;
pub(crate) mod election;
pub(crate) mod feasibility;
pub mod job_records;
pub mod job_table;
pub mod leadership;
pub(crate) mod lookups;
pub mod machine_types;
pub mod named_table;
pub mod outbox;
pub mod peers;
pub mod placement;
pub mod projection;
pub mod recent_names;
pub mod shard_map;
pub mod store_calls;
pub mod store_keys;
pub mod task_counts;
pub mod token_bucket;
pub(crate) mod watch_cache;

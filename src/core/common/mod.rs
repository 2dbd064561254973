//! What every role of a node uses: the watched records, the election, jobs,
//! tables, and the rules on machines and work that leader and holder share.

pub mod cell_leases;
mod dependencies;
pub(crate) mod election;
pub(crate) mod feasibility;
pub mod job_table;
pub(crate) mod lookups;
pub mod model;
pub mod named_table;
pub mod recent_names;
pub mod shared;
pub(crate) mod watch_cache;
pub mod window;

//! Reasons that workers are told with status 503. The texts are part of the interface to
//! workers and stay as they are.

/// The node has not read all records since its start.
pub(super) const NOT_SYNCED: &str = "not yet in touch with the state service";
/// The node's control lease has run out.
pub(super) const NO_CONTROL_LEASE: &str = "no proof of authority";
/// The machine's termination is confirmed.
pub(super) const TERMINATED: &str = "this machine has been returned";
/// The machine's shard got another owner.
pub(super) const SHARD_MOVED: &str = "the block went to another holder";
/// The worker has seen a fencing token above ours.
pub(super) const NEWER_OWNER: &str = "a newer holder exists";
/// A heartbeat at least as new has been accepted.
pub(super) const NEWER_HEARTBEAT: &str = "a newer report is known";
/// The machine's shard has no owner, or the owner is not known here yet.
pub(super) const NO_OWNER: &str = "nobody holds this machine's block yet";

//! Reasons in responses to workers with status 503. The texts are part of the worker protocol and
//! must not change.

/// The node has not finished reading all records since its start.
pub(super) const NOT_SYNCED: &str = "not yet in touch with the state service";
/// The node's control lease has expired.
pub(super) const NO_CONTROL_LEASE: &str = "no proof of authority";
/// The machine's termination is confirmed.
pub(super) const TERMINATED: &str = "this machine has been returned";
/// Another node has become the owner of the machine's shard.
pub(super) const SHARD_MOVED: &str = "the block went to another holder";
/// The worker has seen a fencing token newer than ours.
pub(super) const NEWER_OWNER: &str = "a newer holder exists";
/// A heartbeat that is at least as new has already been accepted.
pub(super) const NEWER_HEARTBEAT: &str = "a newer report is known";
/// The machine's shard has no owner, or this node does not know the owner yet.
pub(super) const NO_OWNER: &str = "nobody holds this machine's block yet";

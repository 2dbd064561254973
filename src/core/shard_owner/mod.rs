//! The shard owner: binds each task that the leader admits to one of its shards to a machine,
//! records the binding and answers the workers' heartbeats.
//!
//! The core passes worker heartbeats, desired states from the leader and responses from the
//! key-value store to [`ShardOwner`], and polls it after each input. The leader, not the shard
//! owner, decides which tasks run and in which shard.
//!
//! Three rules prevent a task from running twice:
//!
//! - An attempt is recorded before its start command is sent, and only while the leader that
//!   admitted it is still the leader. The write is conditional on the versions of the leader record
//!   and the shard record, so it fails once there is a later leader or shard owner.
//! - Start commands are sent only in responses to heartbeats.
//! - An attempt whose start command may have been sent is considered gone only once a newer
//!   heartbeat, from a worker that knows our fencing token, does not list it, or the worker's lease
//!   has certainly ended, or the cloud has confirmed the termination of the machine.
//!
//! The modules:
//!
//! - [`binding`], [`desired_state`]: desired states from the leader, and the choice of machines;
//! - [`lapsed_admissions`]: dropping admissions of a former leader;
//! - [`worker_heartbeats`], [`parked_heartbeats`]: accepting and answering heartbeats;
//! - [`worker_commands`], [`direct_commands`]: commands to workers;
//! - [`reconciliation`]: conclusions about attempts from heartbeats and ended leases;
//! - [`placement_records`], [`loading`]: the stored records of the attempts on machines;
//! - [`reported_state`], [`load_projection`]: reported states, sent to the leader.

mod attempt;
mod binding;
mod desired_state;
mod direct_commands;
mod lapsed_admissions;
mod load_projection;
mod loading;
mod machine;
mod name_table;
mod owned_shard;
mod parked_heartbeats;
mod placement_records;
mod reconciliation;
mod reported_state;
mod unavailable;
mod worker_commands;
mod worker_heartbeats;

use crate::core::common::context::NodeContext;
use crate::core::common::recent_names::RecentNames;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{FencingToken, JobIndex, Ms, ShardIndex};
use machine::Machines;
use owned_shard::{LoadState, OwnedShard};
use placement_records::{RecordIndex, RecordWrite, record_prefix};

/// Minimum interval between scans of all machines for records to write and messages to send.
const SCAN_INTERVAL_MS: Ms = 20;
/// Interval between checks for ended leases, direct commands to repeat and finished
/// reconciliations.
const CHECK_INTERVAL_MS: Ms = 250;
/// Interval between load projections of all machines; longer if there are many machines.
const PROJECTION_INTERVAL_MS: Ms = 1_000;
/// Number of machines whose load projection costs as much as one item of a reported state.
const MACHINES_PER_PROJECTION_ITEM: usize = 4;
/// Maximum number of placement records that one page read requests.
const RECORDS_PER_PAGE: u32 = 1_000;

/// A call of the shard owner to the key-value store, used to match the response.
#[derive(Debug)]
pub(crate) enum ShardOwnerCall {
    /// Reads a page of a shard's placement records.
    Load {
        /// The shard.
        shard: ShardIndex,
        /// Fencing token under which the call was sent.
        fencing_token: FencingToken,
    },
    /// Writes a placement record.
    Write(RecordWrite),
    /// Reads a placement record back after a write with an unknown outcome.
    Reread {
        /// The shard.
        shard: ShardIndex,
        /// The record.
        record: RecordIndex,
        /// Fencing token under which the call was sent.
        fencing_token: FencingToken,
    },
}

/// The shards that this node owns, and their machines.
pub(super) struct ShardOwner {
    /// All shards by index; none if the shard is owned by another node or has no owner.
    shards: Vec<Option<OwnedShard>>,
    /// The machines of all owned shards.
    pub(super) machines: Machines,
    /// Machines whose termination is confirmed; a late heartbeat must not add them again.
    terminated_machines: RecentNames,
    next_scan_at: Ms,
    next_check_at: Ms,
    next_projection_at: Ms,
}

impl ShardOwner {
    /// Creates the shard owner of a starting process, which owns no shard yet.
    pub(super) fn new(context: &NodeContext) -> ShardOwner {
        ShardOwner {
            shards: context.shards.iter().map(|_| None).collect(),
            machines: Machines::default(),
            terminated_machines: RecentNames::new(context.terminated_names_kept()),
            next_scan_at: 0,
            next_check_at: 0,
            next_projection_at: 0,
        }
    }

    /// Performs all work that is due.
    pub(super) fn poll(&mut self, context: &mut NodeContext) {
        self.apply_shard_records(context);
        for position in 0..self.shards.len() {
            self.start_due_load(context, ShardIndex::from_usize(position));
            self.retry_parked_desired_state(context, ShardIndex::from_usize(position));
        }
        self.stop_cancelled(context);
        let now = context.clock.now();
        if now >= self.next_check_at {
            self.next_check_at = now + CHECK_INTERVAL_MS;
            self.check_leases(context);
            self.repeat_stop_commands(context);
            self.finish_reconciliations(context);
        }
        if now >= self.next_projection_at {
            let items = self.machines.len() / MACHINES_PER_PROJECTION_ITEM;
            self.next_projection_at =
                now + context.load_adjusted_interval(PROJECTION_INTERVAL_MS, items);
            self.project_load(context);
        }
        // These steps scan all machines, so they must not run after every input: a node receives
        // hundreds of heartbeats per second.
        if now >= self.next_scan_at {
            self.next_scan_at = now + SCAN_INTERVAL_MS;
            self.drop_lapsed_admissions(context);
            placement_records::write_due_records(context, &mut self.shards, &mut self.machines);
            self.answer_due_heartbeats(context);
            self.send_reported_states(context);
        }
    }

    /// Acquires and releases shards according to the watched shard records.
    fn apply_shard_records(&mut self, context: &mut NodeContext) {
        for position in 0..self.shards.len() {
            let shard = ShardIndex::from_usize(position);
            let owner = context.shards.owner(position);
            let own_token = owner
                .filter(|owner| context.is_self(&owner.record.node, owner.record.incarnation))
                .map(|owner| owner.fencing_token);
            let known_token = self.shards[position].as_ref().map(|shard| shard.fencing_token);
            if own_token == known_token {
                continue;
            }
            self.drop_machines(context, shard);
            let name = &context.shards[position].name;
            self.shards[position] = own_token.map(|fencing_token| {
                tracing::info!(
                    shard = name,
                    fencing_token = fencing_token.number(),
                    "became shard owner"
                );
                OwnedShard::new(shard, fencing_token, context.clock.now())
            });
            if own_token.is_none() {
                tracing::info!(shard = name, "lost ownership of shard");
            }
        }
    }

    /// Drops the machines of a shard and answers their parked heartbeats with status 503.
    fn drop_machines(&mut self, context: &mut NodeContext, shard: ShardIndex) {
        for index in self.machines.indices() {
            let is_dropped = self.machines.get(index).is_some_and(|machine| machine.shard == shard);
            if is_dropped
                && let Some(parked) =
                    self.machines.remove(index).and_then(|machine| machine.parked_heartbeat)
            {
                context.respond_unavailable(parked.request_id, unavailable::SHARD_MOVED);
            }
        }
    }

    /// Starts reading the placement records of a shard if the read is due.
    fn start_due_load(&mut self, context: &mut NodeContext, index: ShardIndex) {
        let Some(shard) = &mut self.shards[index.as_usize()] else { return };
        if matches!(shard.load, LoadState::Due { at } if context.clock.now() >= at) {
            shard.load = LoadState::Reading;
            let fencing_token = shard.fencing_token;
            request_record_page(context, index, fencing_token, None);
        }
    }

    /// Jobs that have an attempt on a machine of an owned shard; a job may occur more than once.
    pub(super) fn jobs_in_use(&self) -> impl Iterator<Item = JobIndex> {
        self.machines.values().flat_map(|machine| machine.attempts.iter().map(|attempt| attempt.job))
    }

    /// Handles the store's response to a call.
    pub(super) fn on_store_response(
        &mut self,
        context: &mut NodeContext,
        call: ShardOwnerCall,
        response: StoreResponse,
    ) {
        let machines = &mut self.machines;
        match call {
            ShardOwnerCall::Load { shard, fencing_token } => {
                self.on_record_page(context, shard, fencing_token, response);
            }
            ShardOwnerCall::Write(write) => {
                if let Some(shard) = &mut self.shards[write.shard.as_usize()] {
                    placement_records::on_write_result(context, shard, machines, write, response);
                }
            }
            ShardOwnerCall::Reread { shard, record, fencing_token } => {
                let owned = self.shards[shard.as_usize()].as_mut();
                if let Some(shard) = owned.filter(|shard| shard.fencing_token == fencing_token) {
                    placement_records::on_reread_result(context, shard, machines, record, response);
                }
            }
        }
    }
}

/// Requests the next page of a shard's placement records, after key `after` if there is one.
fn request_record_page(
    context: &mut NodeContext,
    shard: ShardIndex,
    fencing_token: FencingToken,
    after: Option<String>,
) {
    let prefix = record_prefix(&context.shards[shard.as_usize()].name);
    context.send_store_request(
        StoreCallOwner::ShardOwner(ShardOwnerCall::Load { shard, fencing_token }),
        StoreRequest::List { prefix, after, limit: RECORDS_PER_PAGE },
    );
}

//! The shard owner: chooses the machine for each task that the leader admits to one of
//! its shards, records the choice, and answers the workers' heartbeats.
//!
//! The core calls [`ShardOwner`] with worker heartbeats, desired states of the leader and
//! responses of the key-value store, and polls it after each input. It never decides
//! which tasks run, or in which shard; that is the leader's part.
//!
//! Three things keep a task from running twice. An attempt is recorded before its start
//! command goes out, with compares that any later leader or shard owner breaks by its own
//! writes, and only while the leader that admitted it leads. Start commands go out only in responses to heartbeats. And an attempt counts as
//! gone only once a newer heartbeat, from a worker that knows our fencing token, does not
//! list it, or its lease has surely ended, or the cloud has confirmed the machine's
//! termination.
//!
//! - [`binding`], [`desired_state`]: what the leader wants, and the machines chosen for it;
//! - [`lapsed_admissions`]: what a former leader wanted;
//! - [`worker_heartbeats`], [`parked_heartbeats`]: taking in heartbeats and answering them;
//! - [`worker_commands`], [`direct_commands`]: what workers are told to do;
//! - [`reconciliation`]: what heartbeats and ends of leases prove about attempts;
//! - [`placement_records`], [`loading`]: the stored records of what may be on machines;
//! - [`reported_state`], [`load_projection`]: what the leader is told.

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

/// Shortest time between two looks at all machines for work to write or to send.
const SCAN_GAP_MS: Ms = 20;
/// Time between two looks for ended leases and commands to repeat.
const CHECK_GAP_MS: Ms = 250;
/// Time between two projections of all machines; more where there are many.
const PROJECTION_GAP_MS: Ms = 1_000;
/// Machines whose projection costs as much as one item of a state message.
const MACHINES_PER_PROJECTION_ITEM: usize = 4;
/// Placement records that one read asks for.
const RECORDS_PER_PAGE: u32 = 1_000;

/// A call of the shard owner to the key-value store, to be known again by its response.
#[derive(Debug)]
pub(crate) enum ShardOwnerCall {
    /// Reads a page of a shard's placement records.
    Load {
        /// The shard.
        shard: ShardIndex,
        /// Fencing token under which it was sent.
        fencing_token: FencingToken,
    },
    /// Writes a placement record.
    Write(RecordWrite),
    /// Reads a placement record back after a write of unknown outcome.
    Reread {
        /// The shard.
        shard: ShardIndex,
        /// The record.
        record: RecordIndex,
        /// Fencing token under which it was sent.
        fencing_token: FencingToken,
    },
}

/// The shards that this node owns, and their machines.
pub(super) struct ShardOwner {
    /// All shards by their index; none: owned by another node, or by nobody.
    shards: Vec<Option<OwnedShard>>,
    /// The machines of all owned shards.
    pub(super) machines: Machines,
    /// Machines whose termination is confirmed; a late heartbeat must not revive them.
    terminated_machines: RecentNames,
    next_scan_at: Ms,
    next_check_at: Ms,
    next_projection_at: Ms,
}

impl ShardOwner {
    /// The shard owner of a process that has just started: it owns no shard yet.
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

    /// Does what is due by now.
    pub(super) fn poll(&mut self, context: &mut NodeContext) {
        self.follow_shard_records(context);
        for place in 0..self.shards.len() {
            self.start_due_load(context, ShardIndex::at(place));
            self.retry_parked_desired_state(context, ShardIndex::at(place));
        }
        self.stop_cancelled(context);
        let now = context.clock.now();
        if now >= self.next_check_at {
            self.next_check_at = now + CHECK_GAP_MS;
            self.check_leases(context);
            self.repeat_stop_commands(context);
            self.finish_reconciliations(context);
        }
        if now >= self.next_projection_at {
            let items = self.machines.len() / MACHINES_PER_PROJECTION_ITEM;
            self.next_projection_at = now + context.load_adjusted_gap(PROJECTION_GAP_MS, items);
            self.project_load(context);
        }
        // These look at every machine, so they must not follow every input: hundreds of
        // heartbeats a second reach a node.
        if now >= self.next_scan_at {
            self.next_scan_at = now + SCAN_GAP_MS;
            self.give_up_lapsed_admissions(context);
            placement_records::write_due_records(context, &mut self.shards, &mut self.machines);
            self.answer_due_heartbeats(context);
            self.report_to_leader(context);
        }
    }

    /// Takes shards over and gives them up as the watched shard records say.
    fn follow_shard_records(&mut self, context: &mut NodeContext) {
        for place in 0..self.shards.len() {
            let shard = ShardIndex::at(place);
            let owner = context.shards.owner(place);
            let own_token = owner
                .filter(|owner| context.is_self(&owner.record.node, owner.record.incarnation))
                .map(|owner| owner.fencing_token);
            let known_token = self.shards[place].as_ref().map(|shard| shard.fencing_token);
            if own_token == known_token {
                continue;
            }
            self.drop_machines(context, shard);
            let name = &context.shards[place].name;
            self.shards[place] = own_token.map(|fencing_token| {
                tracing::info!(
                    shard = name,
                    fencing_token = fencing_token.number(),
                    "became shard owner"
                );
                OwnedShard::new(shard, fencing_token, context.clock.now())
            });
            if own_token.is_none() {
                tracing::info!(shard = name, "shard went to another owner");
            }
        }
    }

    /// Drops the machines of a shard, with an answer to their parked heartbeats.
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

    /// Begins to read the placement records of a shard, if that is due.
    fn start_due_load(&mut self, context: &mut NodeContext, index: ShardIndex) {
        let Some(shard) = &mut self.shards[index.place()] else { return };
        if matches!(shard.load, LoadState::Due { at } if context.clock.now() >= at) {
            shard.load = LoadState::Reading;
            let fencing_token = shard.fencing_token;
            request_record_page(context, index, fencing_token, None);
        }
    }

    /// Jobs with an attempt on a machine of an owned shard.
    pub(super) fn jobs_in_use(&self) -> impl Iterator<Item = JobIndex> {
        self.machines.values().flat_map(|machine| machine.attempts.iter().map(|attempt| attempt.job))
    }

    /// Takes in the store's response to a call.
    pub(super) fn on_result(
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
                if let Some(shard) = &mut self.shards[write.shard.place()] {
                    placement_records::on_write_result(context, shard, machines, write, response);
                }
            }
            ShardOwnerCall::Reread { shard, record, fencing_token } => {
                let owned = self.shards[shard.place()].as_mut();
                if let Some(shard) = owned.filter(|shard| shard.fencing_token == fencing_token) {
                    placement_records::on_reread_result(context, shard, machines, record, response);
                }
            }
        }
    }
}

/// Asks the store for the placement records of a shard that come after a key.
fn request_record_page(
    context: &mut NodeContext,
    shard: ShardIndex,
    fencing_token: FencingToken,
    after: Option<String>,
) {
    let prefix = record_prefix(&context.shards[shard.place()].name);
    context.send_store_request(
        StoreCallOwner::ShardOwner(ShardOwnerCall::Load { shard, fencing_token }),
        StoreRequest::List { prefix, since: after, most: RECORDS_PER_PAGE },
    );
}

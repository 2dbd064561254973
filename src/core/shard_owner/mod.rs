//! The holder of machine blocks: chooses the machine for each task granted to
//! it and records the choice. Its talk with the workers is in `worker_heartbeats`, what
//! it tells the leader in `reported_state`, its records in `placement_records`.
//!
//! Three things keep a task from running twice. An attempt is written into
//! the machine's record before its `run` goes out, under conditions that any
//! later leader or holder breaks by its own writes. `run` goes out only in
//! answers to reports. And an attempt is called gone only once a newer
//! report, from a worker that knows our token, does not list it, or its
//! lease has surely ended, or the cloud has confirmed the machine's return.

mod binding;
mod desired_state;
mod direct_commands;
mod loading;
mod machine;
mod placement_records;
mod reconciliation;
mod record_draft;
mod reported_state;
mod worker_heartbeats;

use crate::core::common::context::NodeContext;
use crate::core::common::recent_names::RecentNames;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, Ms, ShardIndex};
use crate::wire::peer::DesiredState;
use desired_state::knows_jobs;
use machine::Machines;
use placement_records::{HeldRecord, Written};
use rustc_hash::FxHashSet;
use woadlever_recovery::shard::ShardRecovery;

/// Sooner than this no second look at all machines for work to write or send.
const SCAN_GAP_MS: Ms = 20;
/// Time between two projections of all machines held; more where there are many.
const PROJECT_EVERY_MS: Ms = 1_000;
/// How long a state message from the leader may wait for jobs that the watch has
/// yet to bring.
const DESIRED_WAIT_MS: Ms = 2_000;

pub fn place_prefix(shard: &str) -> String {
    format!("place/{shard}/")
}

#[derive(Debug)]
pub enum ShardOwnerCall {
    Load { shard: ShardIndex, fencing_token: u64 },
    Write(Written),
    Reread { shard: ShardIndex, record: u32, fencing_token: u64 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    Wanted { at: Ms },
    Reading,
    Done,
}

#[derive(Debug)]
pub struct OwnedShard {
    pub fencing_token: u64,
    pub load: Load,
    /// How far what is on record has been squared with what workers report.
    pub(super) recovery: ShardRecovery,
    pub term: u64,
    pub(super) echo: u64,
    /// Bindings refused here, until the leader has taken note.
    pub(super) rejected: FxHashSet<u64>,
    /// A state message that speaks of jobs yet unknown here.
    pub(super) parked: Option<(DesiredState, Ms)>,
    pub(super) waiting: Vec<(JobIndex, u32)>,
    pub dirty: bool,
    pub(super) sent_at: Ms,
    /// Machines and tasks in the last state message.
    pub(super) size: usize,
    pub records: Vec<HeldRecord>,
    /// The record that takes what is new.
    pub open: u32,
    /// No record is written before that only to leave out what is gone.
    pub tidy_at: Ms,
}

impl OwnedShard {
    /// Attempts that are proven gone, with their records. Pictures under way may
    /// still allow to bind them, and our next one, which leaves them out, has their
    /// tasks granted elsewhere: bound again here, they would run twice.
    pub(super) fn note_gone_attempts(&mut self, gone: impl IntoIterator<Item = (u64, u32)>, now: Ms) {
        for (id, record) in gone {
            self.rejected.insert(id);
            placement_records::mark_stale(self, [record], now);
        }
    }
}

pub struct ShardOwner {
    pub(super) shards: Vec<Option<OwnedShard>>,
    pub(super) machines: Machines,
    /// Machines whose return is confirmed; a late report must not revive them.
    pub(super) gone: RecentNames,
    pub(super) next_scan: Ms,
    pub(super) next_check: Ms,
    pub(super) next_project: Ms,
}

impl ShardOwner {
    pub fn new(context: &NodeContext) -> ShardOwner {
        ShardOwner {
            shards: context.shards.iter().map(|_| None).collect(),
            machines: Machines::default(),
            gone: RecentNames::new(context.returned_kept()),
            next_scan: 0,
            next_check: 0,
            next_project: 0,
        }
    }

    /// Takes blocks over and gives them up as the watched records say.
    fn follow_shard_records(&mut self, context: &mut NodeContext) {
        for b in 0..self.shards.len() {
            let owner = context.shards.owner(b);
            let granted = owner
                .filter(|owner| context.is_self(&owner.record.node, owner.record.incarnation))
                .map(|owner| owner.fencing_token);
            let have = self.shards[b].as_ref().map(|h| h.fencing_token);
            if granted == have {
                continue;
            }
            for ix in self.machines.indices() {
                if self.machines.get(ix).is_some_and(|m| m.shard.place() == b)
                    && let Some(held) = self.machines.remove(ix).and_then(|m| m.held)
                {
                    context.respond_unavailable(held.request_id, "the block went to another holder");
                }
            }
            self.shards[b] = granted.map(|fencing_token| {
                tracing::info!(shard = context.shards[b].name, fencing_token, "holding block");
                OwnedShard {
                    fencing_token,
                    load: Load::Wanted { at: context.clock.now() },
                    recovery: ShardRecovery::new(context.clock.now()),
                    term: 0,
                    echo: 0,
                    rejected: FxHashSet::default(),
                    parked: None,
                    waiting: Vec::new(),
                    dirty: true,
                    sent_at: 0,
                    size: 0,
                    records: Vec::new(),
                    open: 0,
                    tidy_at: 0,
                }
            });
            if granted.is_none() {
                tracing::info!(shard = context.shards[b].name, "block went to another holder");
            }
        }
    }

    pub fn poll(&mut self, context: &mut NodeContext) {
        self.follow_shard_records(context);
        let now = context.clock.now();
        for b in 0..self.shards.len() {
            let Some(h) = &mut self.shards[b] else { continue };
            if let Load::Wanted { at } = h.load
                && now >= at
            {
                h.load = Load::Reading;
                let call =
                    ShardOwnerCall::Load { shard: ShardIndex::at(b), fencing_token: h.fencing_token };
                let prefix = place_prefix(&context.shards[b].name);
                context.send_store_request(
                    StoreCallOwner::ShardOwner(call),
                    StoreRequest::List { prefix, since: None, most: 1000 },
                );
            }
            if let Some((w, at)) = h.parked.take() {
                if now > at + DESIRED_WAIT_MS || knows_jobs(context, &w) {
                    self.take_desired_state(context, w);
                } else if let Some(h) = &mut self.shards[b] {
                    h.parked = Some((w, at));
                }
            }
        }
        self.stop_cancelled(context);
        if now >= self.next_check {
            self.next_check = now + 250;
            self.check_leases(context);
            self.repeat_stops(context);
            self.follow_recovery(context);
        }
        if now >= self.next_project {
            self.next_project =
                now + context.load_adjusted_gap(PROJECT_EVERY_MS, self.machines.len() / 4);
            self.project(context);
        }
        // These look at every machine, so they must not follow every input:
        // hundreds of reports a second reach a node.
        if now >= self.next_scan {
            self.next_scan = now + SCAN_GAP_MS;
            placement_records::write_all(context, &mut self.shards, &mut self.machines);
            self.answer_due(context);
            self.tell_leader(context);
        }
    }

    /// Jobs with an attempt on a machine held here.
    pub(super) fn jobs_in_use(&self) -> impl Iterator<Item = JobIndex> {
        self.machines.values().flat_map(|m| m.attempts.iter().map(|a| a.job))
    }

    pub fn on_result(&mut self, context: &mut NodeContext, call: ShardOwnerCall, result: StoreResponse) {
        match call {
            ShardOwnerCall::Load { shard, fencing_token } => {
                self.on_load(context, shard, fencing_token, result)
            }
            ShardOwnerCall::Write(w) => {
                if let Some(h) = &mut self.shards[w.shard.place()] {
                    placement_records::on_written(context, h, &mut self.machines, w, result);
                }
            }
            ShardOwnerCall::Reread { shard, record, fencing_token } => {
                let h = self.shards[shard.place()].as_mut().filter(|h| h.fencing_token == fencing_token);
                if let Some(h) = h {
                    placement_records::on_reread(
                        context,
                        h,
                        &mut self.machines,
                        (shard, record),
                        result,
                    );
                }
            }
        }
    }
}

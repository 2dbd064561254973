//! Reading a block's placement records after it was granted.

use super::machine::{Attempt, Machine};
use super::placement_records::{self, HeldRecord};
use super::{Load, ShardOwner, ShardOwnerCall, place_prefix, reconciliation};
use crate::core::common::context::NodeContext;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{Resources, ShardIndex};
use crate::wire::store::{KeyValue, PlacementRecord, RecordedMachine};
use woadlever_recovery::attempt::AttemptPhase;

impl ShardOwner {
    /// The machines of one record as its record tells them.
    fn load_record(
        &mut self,
        context: &mut NodeContext,
        shard: ShardIndex,
        fencing_token: u64,
        item: KeyValue,
    ) {
        let number = item.key.rsplit('/').next().and_then(|n| n.parse::<u32>().ok());
        let bytes = item.value.len();
        let rec = item.value.decode::<PlacementRecord>();
        let (Some(number), Ok(rec)) = (number.filter(|n| *n < 100_000), rec) else {
            tracing::error!(key = item.key, "unreadable record");
            return;
        };
        if let Some(h) = &mut self.shards[shard.place()] {
            while h.records.len() <= number as usize {
                h.records.push(HeldRecord::new(0, 0));
            }
            h.records[number as usize] = HeldRecord::read(context, item.version, bytes);
        }
        for row in &rec.machines {
            // Another record may have told of it already.
            let blank = || Machine::blank(&row.0, shard, fencing_token);
            let (_, m) = self.machines.get_or_insert_with(&row.0, blank);
            if m.fencing_token != fencing_token {
                *m = Machine::blank(&row.0, shard, fencing_token);
            }
            m.type_name = rec.types.get(row.1 as usize).cloned().unwrap_or_default();
            m.zone = context.shards[shard.place()].zone.clone();
            m.spot = row.is(RecordedMachine::SPOT);
            m.terminating_recorded |= row.is(RecordedMachine::TERMINATING);
            m.decommission |= m.terminating_recorded;
            if row.is(RecordedMachine::CORDONED | RecordedMachine::TERMINATING) || m.record.is_none() {
                m.record = Some(number);
                m.cordoned_recorded = row.is(RecordedMachine::CORDONED);
                m.cordoned |= m.cordoned_recorded;
            }
            // What its report told meanwhile stays; and the record may be read
            // a second time.
            m.attempts.retain(|a| a.record != number);
            for new in inherited(context, &rec, row, number) {
                // On two records, if a holder was lost while it moved it.
                let Some(old) = m.attempts.iter_mut().find(|a| a.id == new.id) else {
                    m.attempts.push(new);
                    continue;
                };
                if let Some(h) = &mut self.shards[shard.place()] {
                    placement_records::mark_stale(h, [old.record], context.clock.now());
                }
                (old.record, old.moving) = (number, None);
            }
        }
    }

    pub(super) fn on_load(
        &mut self,
        context: &mut NodeContext,
        shard: ShardIndex,
        fencing_token: u64,
        result: StoreResponse,
    ) {
        let Some(h) = self.shards[shard.place()].as_mut().filter(|h| h.fencing_token == fencing_token)
        else {
            return;
        };
        let StoreResponse::Page(p) = result else {
            h.load = Load::Wanted { at: context.clock.now() + context.jitter(300) };
            return;
        };
        let revision = p.revision;
        let last = p.items.last().map(|i| i.key.clone());
        for i in p.items {
            self.load_record(context, shard, fencing_token, i);
        }
        if p.more && last.is_some() {
            let prefix = place_prefix(&context.shards[shard.place()].name);
            context.send_store_request(
                StoreCallOwner::ShardOwner(ShardOwnerCall::Load { shard, fencing_token }),
                StoreRequest::List { prefix, since: last, most: 1000 },
            );
            return;
        }
        if let Some(h) = self.shards[shard.place()].as_mut() {
            let of_block = self.machines.values().filter(|m| m.shard == shard);
            let recorded: usize = of_block.map(Machine::unreconciled_attempts).sum();
            h.load = Load::Done;
            h.recovery.records_read(revision, recorded as u32);
            h.dirty = true;
            reconciliation::log_phase(context, shard.place(), h.fencing_token, &h.recovery);
        }
    }
}

fn inherited(
    context: &mut NodeContext,
    rec: &PlacementRecord,
    row: &RecordedMachine,
    record: u32,
) -> Vec<Attempt> {
    let mut out = Vec::new();
    for (job, task, id) in row.tasks(rec.base) {
        let Some(j) = rec.jobs.get(job) else { continue };
        // A job not in memory is final, and its tasks are to be stopped. Left out,
        // they would pass for gone.
        let job = context.job_index_or_lookup(&j.0);
        let demand = Resources { cpus: j.2, gpus: j.3, mem: j.4 };
        out.push(Attempt {
            job,
            task,
            id,
            demand,
            job_row_bytes: placement_records::job_row_bytes(&j.0, &j.1, &demand),
            team: j.1.clone(),
            record,
            moving: None,
            phase: AttemptPhase::Inherited,
            tried: true,
            written: true,
            wanted: true,
            run_sent: None,
            listed: false,
            started: None,
            ran: 0,
            expected_ms: 0,
            bound_at: 0,
            written_at: 0,
        });
    }
    out
}

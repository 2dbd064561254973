//! What the leader wants in the blocks held here, taken in.

use super::binding::Granted;
use super::machine::{Attempt, Machine};
use super::{Load, ShardOwner, placement_records};
use crate::core::common::context::NodeContext;
use crate::model::{JobIndex, Ms, ShardIndex};
use crate::wire::peer::DesiredState;
use rustc_hash::{FxHashMap, FxHashSet};
use woadlever_recovery::attempt;

impl ShardOwner {
    pub fn on_desired_state(&mut self, context: &mut NodeContext, w: DesiredState) {
        let current = context.leadership.term();
        let Some(Some(h)) = self.shards.get_mut(w.shard as usize) else { return };
        if current != Some(w.term) || w.fencing_token != h.fencing_token || h.load != Load::Done {
            return;
        }
        if h.term == w.term && w.serial <= h.echo {
            return;
        }
        if knows_jobs(context, &w) {
            h.parked = None;
            self.take_desired_state(context, w);
        } else if h.parked.as_ref().is_none_or(|(p, _)| p.serial < w.serial || p.term != w.term) {
            let at = h.parked.as_ref().map_or(context.clock.now(), |(_, at)| *at);
            h.parked = Some((w, at));
        }
    }

    pub(super) fn take_desired_state(&mut self, context: &mut NodeContext, w: DesiredState) {
        let shard = ShardIndex::new(w.shard);
        let b = shard.place();
        let Some(h) = &mut self.shards[b] else { return };
        if h.fencing_token != w.fencing_token {
            return;
        }
        h.term = w.term;
        h.echo = w.serial;
        h.dirty = true;
        let mut wanted: FxHashMap<u64, (JobIndex, u32, bool, Ms)> = FxHashMap::default();
        // The leader takes what our next state message leaves out for never bound and
        // puts it elsewhere. So a task whose job is yet unknown here is refused
        // for good: bound with a later state message, it would run twice.
        let mut unknown: FxHashSet<u64> = FxHashSet::default();
        for j in &w.jobs {
            let Some(job) = context.job_index(&j.job) else {
                unknown.extend(j.tasks.iter().map(|t| t.1));
                continue;
            };
            for &(task, id, bind) in &j.tasks {
                wanted.insert(id, (job, task, bind, (j.expected_s * 1000.0) as Ms));
            }
        }
        h.rejected.retain(|id| wanted.contains_key(id));
        h.rejected.extend(unknown);
        h.waiting =
            w.waiting.iter().filter_map(|x| Some((context.job_index(&x.job)?, x.count))).collect();
        for name in &w.gone {
            self.forget_machine(context, name, shard);
        }
        let cordoned: FxHashSet<&str> = w.cordoned.iter().map(String::as_str).collect();
        let decommission: FxHashSet<&str> = w.decommission.iter().map(|r| r.machine.as_str()).collect();
        let quarantined: FxHashSet<&str> = w.quarantined.iter().map(String::as_str).collect();
        for r in &w.decommission {
            if self.gone.contains(&r.machine) {
                continue;
            }
            let fencing_token = w.fencing_token;
            let (_, m) = self.machines.get_or_insert_with(&r.machine, || {
                let mut m = Machine::blank(&r.machine, shard, fencing_token);
                m.type_name = r.machine_type.clone();
                m.zone = r.zone.clone();
                m.spot = r.spot;
                m
            });
            m.decommission = true;
        }
        let mut known: FxHashSet<u64> = FxHashSet::default();
        for m in self.machines.values_mut().filter(|m| m.shard == shard) {
            m.cordoned = cordoned.contains(m.name.as_str());
            m.decommission = m.terminating_recorded || decommission.contains(m.name.as_str());
            m.quarantined = quarantined.contains(m.name.as_str());
            let lease_ended = m.worker.has_ended();
            for a in &mut m.attempts {
                known.insert(a.id);
                match wanted.get(&a.id) {
                    Some((_, _, _, expected)) => {
                        a.wanted = true;
                        a.expected_ms = *expected;
                    }
                    None => a.wanted = false,
                }
            }
            // What was never sent is nowhere, whatever the record says; what
            // ended on a dead machine needs no clearing.
            if let Some(h) = &mut self.shards[b] {
                let is_gone = |a: &mut Attempt| attempt::ends_when_unwanted(&a.state(), lease_ended);
                let gone = m.attempts.extract_if(.., is_gone);
                placement_records::mark_stale(h, gone.map(|a| a.record), context.clock.now());
            }
        }
        let mut granted: Vec<Granted> = wanted
            .iter()
            .filter(|(id, (_, _, bind, _))| *bind && !known.contains(id))
            .map(|(&id, &(job, task, _, expected))| Granted { id, job, task, expected })
            .collect();
        granted.sort_unstable_by_key(|granted| granted.id);
        if !granted.is_empty() {
            self.bind_all(context, shard, &granted);
        }
    }

    fn bind_all(&mut self, context: &NodeContext, shard: ShardIndex, granted: &[Granted]) {
        let mut free = self.free_machines(context, shard);
        for task in granted {
            let rejected = self.shards[shard.place()].as_ref().map(|h| h.rejected.contains(&task.id));
            if rejected != Some(false) || self.bind(context, shard, task, &mut free) {
                continue;
            }
            if let Some(h) = &mut self.shards[shard.place()] {
                h.rejected.insert(task.id);
            }
        }
    }

    fn forget_machine(&mut self, context: &mut NodeContext, name: &str, shard: ShardIndex) {
        if !self.gone.insert(name) {
            return;
        }
        let Some(ix) = self.machines.index_of(name) else { return };
        let Some(m) = self.machines.remove(ix) else { return };
        if let Some(held) = &m.held {
            context.respond_unavailable(held.request_id, "this machine has been returned");
        }
        if let Some(h) = &mut self.shards[shard.place()] {
            h.note_gone_attempts(m.attempts.iter().map(|a| (a.id, a.record)), context.clock.now());
            placement_records::mark_stale(h, m.record, context.clock.now());
        }
    }
}

pub(super) fn knows_jobs(context: &NodeContext, w: &DesiredState) -> bool {
    w.jobs.iter().all(|j| context.job_index(&j.job).is_some())
}

//! What the holder tells the leader: whole states of its blocks, with the
//! design's projection of their machines.

use super::machine::Machine;
use super::{Load, ShardOwner};
use crate::core::common::context::NodeContext;
use crate::core::common::leadership::KnownLeader;
use crate::core::common::window::{self, Booking};
use crate::model::{JobIndex, MachineIndex, MachineType, Ms, Resources};
use crate::wire::peer::{
    PeerMessage, ReportedJob, ReportedMachine, ReportedPhase, ReportedState, ReportedTask,
};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use woadlever_recovery::attempt::AttemptPhase;

/// Sooner than this no second state message of a block is sent.
const REPORTED_GAP_MS: Ms = 60;
const REPORTED_EVERY_MS: Ms = 1_000;
/// A machine's load in millionths of its room that leaves no doubt.
const WAITING_ENOUGH: u64 = 3_000_000;

impl ShardOwner {
    /// Each waiting task counts once, on its best-fit machine: the one with the
    /// most room left when earlier ones are counted.
    fn waiting_on(&self, context: &NodeContext, shard: usize) -> FxHashMap<MachineIndex, Resources> {
        let mut extra: FxHashMap<MachineIndex, Resources> = FxHashMap::default();
        let Some(h) = self.shards[shard].as_ref().filter(|h| !h.waiting.is_empty()) else {
            return extra;
        };
        let mut able: Vec<(MachineIndex, &Machine, &MachineType, Resources)> = Vec::new();
        let ours = |m: &Machine| m.shard.place() == shard && m.takes_tasks(context);
        for (ix, m) in self.machines.iter().filter(|(_, m)| ours(m)) {
            if let Some(t) = context.machine_types.index_of(&m.type_name) {
                able.push((ix, m, &context.machine_types[t], m.used()));
            }
        }
        // Machines that what waits has not overloaded beyond doubt yet. Once there is none,
        // more of it changes nothing.
        let mut open: Vec<usize> = (0..able.len()).collect();
        for &(job, count) in &h.waiting {
            if open.is_empty() {
                break;
            }
            let Some(spec) = context.job(job).spec.clone() else { continue };
            let demand = spec.demand();
            let parts =
                |load: &Resources, t: &MachineType| (load.dominant_share(&t.capacity) * 1e6) as u64;
            let fit = |m: &Machine, t: &MachineType| {
                window::allowed(&spec, &m.type_name, &m.zone, m.spot) && demand.fits_within(&t.capacity)
            };
            let mut heap: BinaryHeap<Reverse<(u64, usize)>> = open
                .iter()
                .map(|i| (*i, &able[*i]))
                .filter(|(_, (_, m, t, _))| fit(m, t))
                .map(|(i, (_, _, t, load))| Reverse((parts(load, t), i)))
                .collect();
            for _ in 0..count {
                let Some(Reverse((share, i))) = heap.pop() else { break };
                if share > WAITING_ENOUGH {
                    break;
                }
                let (ix, _, t, load) = &mut able[i];
                load.add(&demand);
                extra.entry(*ix).or_default().add(&demand);
                heap.push(Reverse((parts(load, t), i)));
            }
            open.retain(|i| parts(&able[*i].3, able[*i].2) <= WAITING_ENOUGH);
        }
        extra
    }

    pub(super) fn project(&mut self, context: &mut NodeContext) {
        for b in 0..self.shards.len() {
            if self.shards[b].is_none() {
                continue;
            }
            let extra = self.waiting_on(context, b);
            let mut changed = false;
            for (ix, m) in self.machines.iter_mut().filter(|(_, m)| m.shard.place() == b) {
                let Some(t) =
                    context.machine_types.index_of(&m.type_name).map(|t| &context.machine_types[t])
                else {
                    continue;
                };
                let bookings: Vec<Booking> = m
                    .attempts
                    .iter()
                    .filter(|a| !a.phase.has_ended())
                    .map(|a| Booking {
                        demand: a.demand,
                        ran_ms: a.started.map_or(0, |s| context.clock.now().saturating_sub(s)),
                        expected_ms: a.expected_ms,
                    })
                    .collect();
                let more = extra.get(&ix).copied().unwrap_or_default();
                let p = window::project(&context.operator, &t.capacity, &bookings, &more);
                changed |= p.overloaded != m.overloaded;
                m.overloaded = p.overloaded;
                m.peak = p.peak;
            }
            if changed && let Some(h) = &mut self.shards[b] {
                h.dirty = true;
            }
        }
    }

    pub(super) fn tell_leader(&mut self, context: &mut NodeContext) {
        let Some(KnownLeader { record: leader, term }) = context.leadership.current().cloned() else {
            return;
        };
        let now = context.clock.now();
        for b in 0..self.shards.len() {
            let Some(h) = &mut self.shards[b] else { continue };
            if h.load != Load::Done {
                continue;
            }
            let gap = context.load_adjusted_gap(REPORTED_GAP_MS, h.size);
            let due = h.sent_at + if h.dirty { gap } else { REPORTED_EVERY_MS.max(gap) };
            if now < due && h.sent_at != 0 {
                continue;
            }
            h.dirty = false;
            h.sent_at = now;
            let echo = if h.term == term { h.echo } else { 0 };
            let mut have = ReportedState {
                term,
                shard: b as u32,
                fencing_token: h.fencing_token,
                echo,
                types: Vec::new(),
                jobs: Vec::new(),
                machines: Vec::new(),
            };
            let mut rows: FxHashMap<JobIndex, u32> = FxHashMap::default();
            for m in self.machines.values().filter(|m| m.shard.place() == b) {
                let m = reported_machine(context, m, &mut have, &mut rows);
                have.machines.push(m);
            }
            h.size = have.machines.iter().map(|m| 1 + m.tasks.len()).sum();
            context.send(&leader.node, PeerMessage::ReportedState(have));
        }
    }
}

/// A machine as the state message shows it; `rows` are the places of its jobs there.
fn reported_machine(
    context: &NodeContext,
    m: &Machine,
    have: &mut ReportedState,
    rows: &mut FxHashMap<JobIndex, u32>,
) -> ReportedMachine {
    let known = have.types.iter().position(|t| *t == m.type_name);
    let machine_type = known.unwrap_or_else(|| {
        have.types.push(m.type_name.clone());
        have.types.len() - 1
    }) as u32;
    let mut tasks = Vec::with_capacity(m.attempts.len());
    for a in &m.attempts {
        let job = *rows.entry(a.job).or_insert_with(|| {
            have.jobs.push(ReportedJob {
                job: context.jobs.id(a.job).to_string(),
                team: a.team.clone(),
                cpus: a.demand.cpus,
                gpus: a.demand.gpus,
                memory_gb: a.demand.mem,
            });
            have.jobs.len() as u32 - 1
        });
        let ran_ms = if a.phase.has_ended() {
            a.ran
        } else {
            a.started.map_or(0, |s| context.clock.now().saturating_sub(s))
        };
        let state = match a.phase {
            AttemptPhase::Bound | AttemptPhase::Inherited => ReportedPhase::Bound,
            AttemptPhase::Fetching => ReportedPhase::Fetching,
            AttemptPhase::Running => ReportedPhase::Running,
            AttemptPhase::Saving => ReportedPhase::Saving,
            AttemptPhase::Done => ReportedPhase::Done,
            AttemptPhase::Stopped => ReportedPhase::Stopped,
            AttemptPhase::Failed => ReportedPhase::Failed,
            AttemptPhase::Refused => ReportedPhase::Refused,
        };
        tasks.push(ReportedTask { job, task: a.task, attempt: a.id, state, ran_ms });
    }
    ReportedMachine {
        machine: m.name.clone(),
        machine_type,
        spot: m.spot,
        silent_ms: m.worker.last_heartbeat().map_or(u64::MAX, |at| context.clock.now() - at),
        preemption_notice: m.preemption_notice,
        terminating: m.terminating_recorded,
        fenced: m.worker.is_fenced(),
        unreachable: m.worker.is_unreachable(),
        peak: m.peak,
        overloaded: m.overloaded,
        tasks,
    }
}

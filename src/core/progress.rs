//! Recording what is done: bits of tasks while a job runs, and its final state.
//! Only what is on record is cleared from the machines.

use super::leader::{LJob, Leader, LeaderCall};
use super::model::Ms;
use super::shared::Shared;
use super::sync::job_key;
use super::{Purpose, StateOp};
use crate::wire::peer::HaveState;
use crate::wire::state::{Change, Cond, JobRecord, JobState, Txn};
use std::collections::BTreeSet;

/// Tasks per progress record: 4 KiB of hexadecimal digits.
const CHUNK: u32 = 16_384;
pub const CHUNK_WORDS: usize = (CHUNK / 64) as usize;
const RECORD_GAP_MS: Ms = 150;

impl Leader {
    pub(super) fn record(&mut self, sh: &mut Shared) {
        let now = sh.now;
        // Whole jobs first: their users wait for just this.
        let mut finish = Vec::new();
        for (ix, j) in &mut self.jobs {
            if j.done.len() == j.spec.tasks && !j.finish_busy && now >= j.finish_at {
                j.finish_busy = true;
                finish.push(*ix);
            }
        }
        for ix in finish {
            self.finish(sh, ix);
        }
        if now < self.record_at + RECORD_GAP_MS || !sh.can_write(1) {
            return;
        }
        let max_ops = sh.cfg.cluster.state.txn_ops.min(8);
        let mut txn = Txn { conds: vec![self.leader_cond()], changes: Vec::new() };
        let mut items = Vec::new();
        for (ix, j) in &mut self.jobs {
            if j.unrecorded.is_empty() || j.recording || j.done.len() == j.spec.tasks {
                continue;
            }
            let chunks: BTreeSet<u32> = j.unrecorded.iter().map(|t| t / CHUNK).collect();
            if txn.changes.len() + chunks.len() > max_ops {
                if !items.is_empty() {
                    break;
                }
                // One job alone passes the limit: take what fits.
                let few: BTreeSet<u32> = chunks.iter().copied().take(max_ops).collect();
                let (now, later): (Vec<u32>, Vec<u32>) =
                    j.unrecorded.iter().partition(|t| few.contains(&(**t / CHUNK)));
                j.unrecorded = later;
                push_chunks(sh, *ix, j, &few, &mut txn);
                items.push((*ix, now));
                break;
            }
            push_chunks(sh, *ix, j, &chunks, &mut txn);
            items.push((*ix, std::mem::take(&mut j.unrecorded)));
        }
        if items.is_empty() {
            return;
        }
        self.record_at = now;
        sh.state_call(Purpose::Leader(LeaderCall::Record { items }), StateOp::Txn(txn));
    }

    fn finish(&mut self, sh: &mut Shared, ix: u32) {
        let Some(j) = self.jobs.get(&ix) else { return };
        let id = sh.job_names.name(ix).clone();
        let key = job_key(&id);
        let rec = JobRecord { state: JobState::Done, spec: None, tasks: j.spec.tasks };
        let mut changes = vec![Change::Put {
            key: key.clone(),
            value: serde_json::to_value(rec).unwrap_or_default(),
            lease: None,
        }];
        let most = sh.cfg.cluster.state.txn_ops - 1;
        for c in j.chunks.iter().take(most) {
            changes.push(Change::Delete { key: progress_key(&id, *c) });
        }
        let stamp = sh.job(ix).stamp;
        let txn = Txn { conds: vec![self.leader_cond(), Cond { key, version: stamp }], changes };
        sh.state_call(Purpose::Leader(LeaderCall::Finish { job: ix }), StateOp::Txn(txn));
    }

    /// Attempts whose success is recorded may be cleared from the machines.
    pub(super) fn release_done(&mut self, job: u32) {
        let Some(j) = self.jobs.get(&job) else { return };
        for id in self.attempts.of_job(job) {
            let Some(a) = self.attempts.get_mut(id) else { continue };
            if a.want && a.state == HaveState::Done && j.recorded.contains(a.task) {
                a.want = false;
                self.blocks[a.block as usize].dirty = true;
            }
        }
    }
}

fn push_chunks(sh: &Shared, ix: u32, j: &mut LJob, chunks: &BTreeSet<u32>, txn: &mut Txn) {
    j.recording = true;
    let id = sh.job_names.name(ix);
    for c in chunks {
        let from = *c as usize * CHUNK_WORDS;
        txn.changes.push(Change::Put {
            key: progress_key(id, *c),
            value: serde_json::Value::String(j.done.to_hex(from, from + CHUNK_WORDS)),
            lease: None,
        });
        j.chunks.insert(*c);
    }
}

pub fn progress_key(id: &str, chunk: u32) -> String {
    format!("progress/{id}/{chunk}")
}

//! Recording what is done: bits of tasks while a job runs, and its final state.
//! Only what is on record is cleared from the machines.

use super::live_jobs::LiveJob;
use super::{Leader, LeaderCall};
use crate::core::common::context::NodeContext;
use crate::core::common::watch_cache::job_key;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, Ms};
use crate::wire::encoded::Encoded;
use crate::wire::peer::ReportedPhase;
use crate::wire::store::{Compare, CompareAndSwap, JobRecord, Mutation};
use std::collections::{BTreeSet, VecDeque};

/// Tasks per record: up to 4 KiB of hexadecimal digits.
const SEGMENT_TASKS: u32 = 16_384;
/// Tasks per record where less fits: half a KiB, below any limit that the
/// settings take.
const PART_TASKS: u32 = 2_048;
const RECORD_GAP_MS: Ms = 150;
/// Share of the service's changes that bits of unfinished jobs may take. They
/// only spare work if the leader and a machine are lost together; meanwhile a
/// success is safe on its machine.
const RECORD_SHARE: f64 = 0.12;
/// Records read back at once.
const MOST_REREADS: usize = 8;

/// One record of a job's progress: `progress/<id>/<n>`, or a part of that,
/// `progress/<id>/<n>.<part>`.
///
/// The version before smaller limits reads whole chunks only. So parts are
/// written only once the state service has refused a whole one, which shows that
/// its limits have fallen, and that comes after the last old process is gone.
/// Both are read always; bits only ever grow, so that both together are right.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProgressSegment {
    number: u32,
    part: Option<u32>,
}

impl ProgressSegment {
    fn of(task: u32, parts: bool) -> ProgressSegment {
        ProgressSegment {
            number: task / SEGMENT_TASKS,
            part: parts.then_some(task % SEGMENT_TASKS / PART_TASKS),
        }
    }

    /// Whether it is one of the smaller parts.
    pub fn is_fine(self) -> bool {
        self.part.is_some()
    }

    /// Its first word in the job's set of tasks.
    pub fn first_word(self) -> usize {
        ((self.number * SEGMENT_TASKS + self.part.unwrap_or(0) * PART_TASKS) / 64) as usize
    }

    fn words(self) -> usize {
        if self.is_fine() { (PART_TASKS / 64) as usize } else { (SEGMENT_TASKS / 64) as usize }
    }

    /// Key of its record.
    pub fn key(self, id: &str) -> String {
        match self.part {
            None => format!("progress/{id}/{}", self.number),
            Some(p) => format!("progress/{id}/{}.{p}", self.number),
        }
    }

    /// The job's id and the chunk that a key speaks of; none: it is not ours.
    pub fn of_key(key: &str) -> Option<(&str, ProgressSegment)> {
        let (id, segment) = key.strip_prefix("progress/")?.split_once('/')?;
        let (number, part) = match segment.split_once('.') {
            Some((n, p)) => (n, Some(p.parse().ok().filter(|p| *p < SEGMENT_TASKS / PART_TASKS)?)),
            None => (segment, None),
        };
        let number = number.parse().ok().filter(|n| *n < u32::MAX / SEGMENT_TASKS)?;
        Some((id, ProgressSegment { number, part }))
    }
}

/// Records to be removed, a transaction's worth at a time.
#[derive(Debug, Default)]
pub struct DeletionQueue {
    keys: VecDeque<String>,
    busy: bool,
    retry_at: Ms,
}

impl DeletionQueue {
    /// Adds keys of records to be deleted.
    pub fn extend(&mut self, keys: impl Iterator<Item = String>) {
        self.keys.extend(keys);
    }
}

impl Leader {
    pub(super) fn record(&mut self, context: &mut NodeContext) {
        let now = context.clock.now();
        // Whole jobs first: their users wait for just this.
        let mut finish = Vec::new();
        for (ix, j) in &mut self.jobs {
            if j.done.len() == j.spec.tasks && !j.finish_busy && now >= j.finish_at {
                j.finish_busy = true;
                finish.push(*ix);
            }
        }
        for ix in finish {
            self.finish(context, ix);
        }
        if now < self.record_at {
            return;
        }
        self.reread(context);
        if !context.can_write(1) {
            return;
        }
        let max_ops = context.platform.cluster.state.txn_ops.min(8);
        let mut txn = CompareAndSwap { compares: vec![self.compare_term()], mutations: Vec::new() };
        let mut items = Vec::new();
        let mut written: Vec<(JobIndex, ProgressSegment)> = Vec::new();
        let open = |j: &LiveJob| !j.unrecorded.is_empty() && !j.recording && j.done.len() < j.spec.tasks;
        // Where a change carries the most first.
        let mut due: Vec<(usize, JobIndex)> =
            self.jobs.iter().filter(|(_, j)| open(j)).map(|(ix, j)| (j.unrecorded.len(), *ix)).collect();
        due.sort_unstable_by(|a, b| b.cmp(a));
        for (_, ix) in due {
            let Some(j) = self.jobs.get_mut(&ix) else { continue };
            let parts = in_parts(context, j.spec.tasks, self.writes_parts);
            let segments: BTreeSet<ProgressSegment> =
                j.unrecorded.iter().map(|t| ProgressSegment::of(*t, parts)).collect();
            if txn.mutations.len() + segments.len() > max_ops {
                if !items.is_empty() {
                    break;
                }
                // One job alone passes the limit: take what fits.
                let few: BTreeSet<ProgressSegment> = segments.iter().copied().take(max_ops).collect();
                let (now, later): (Vec<u32>, Vec<u32>) =
                    j.unrecorded.iter().partition(|t| few.contains(&ProgressSegment::of(**t, parts)));
                j.unrecorded = later;
                push_chunks(context, ix, j, &few, &mut txn);
                written.extend(few.iter().map(|c| (ix, *c)));
                items.push((ix, now));
                break;
            }
            push_chunks(context, ix, j, &segments, &mut txn);
            written.extend(segments.iter().map(|c| (ix, *c)));
            items.push((ix, std::mem::take(&mut j.unrecorded)));
        }
        if items.is_empty() {
            return self.delete_obsolete_progress(context);
        }
        let cost = txn.mutations.len() as f64 * 1000.0
            / (context.platform.cluster.state.write_rps * RECORD_SHARE);
        self.record_at = now + RECORD_GAP_MS.max(cost as Ms);
        let call = LeaderCall::Record { items, segments: written };
        context.send_store_request(StoreCallOwner::Leader(call), StoreRequest::CompareAndSwap(txn));
    }

    pub(super) fn on_recorded(
        &mut self,
        context: &mut NodeContext,
        items: Vec<(JobIndex, Vec<u32>)>,
        segments: Vec<(JobIndex, ProgressSegment)>,
        result: StoreResponse,
    ) {
        let version = match result {
            StoreResponse::Committed { revision } => Some(revision),
            _ => None,
        };
        let not_done = matches!(result, StoreResponse::NotExecuted | StoreResponse::Malformed);
        for (ix, segment) in segments {
            if let Some(j) = self.jobs.get_mut(&ix).filter(|_| !not_done) {
                j.segments.insert(segment, version);
            }
        }
        for (ix, tasks) in items {
            let Some(j) = self.jobs.get_mut(&ix) else { continue };
            // What is in doubt is read back before anything is written on it.
            j.recording = j.segments.values().any(Option::is_none);
            if version.is_none() {
                j.unrecorded.extend(&tasks);
                continue;
            }
            for t in &tasks {
                j.recorded.insert(*t);
            }
            self.release_done(ix);
        }
        if version.is_none() {
            self.record_at = self.record_at.max(context.clock.now() + context.retry_ms(250));
        }
        if matches!(result, StoreResponse::Malformed) {
            // In parts it fits; a no for anything else is not asked for at every
            // turn.
            self.writes_parts = true;
            self.record_at = context.clock.now() + 1_000;
        }
    }

    /// Reads back the records whose last write had no answer.
    fn reread(&mut self, context: &mut NodeContext) {
        let doubt = |j: &LiveJob| j.segments.iter().find(|(_, v)| v.is_none()).map(|(c, _)| *c);
        let due: Vec<(JobIndex, ProgressSegment)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.recording && !j.rereading)
            .filter_map(|(ix, j)| Some((*ix, doubt(j)?)))
            .take(MOST_REREADS)
            .collect();
        for (job, segment) in due {
            if let Some(j) = self.jobs.get_mut(&job) {
                j.rereading = true;
            }
            let key = segment.key(context.jobs.id(job));
            context.send_store_request(
                StoreCallOwner::Leader(LeaderCall::Reread { job, segment }),
                StoreRequest::Get(key),
            );
        }
    }

    pub(super) fn on_reread(
        &mut self,
        context: &mut NodeContext,
        job: JobIndex,
        segment: ProgressSegment,
        result: StoreResponse,
    ) {
        let Some(j) = self.jobs.get_mut(&job) else { return };
        j.rereading = false;
        match result {
            StoreResponse::KeyValue(i) => {
                let bits = i.value.decode::<String>().unwrap_or_default();
                j.read_chunk(segment, &bits, i.version);
                let recorded = &j.recorded;
                j.unrecorded.retain(|t| !recorded.contains(*t));
            }
            StoreResponse::NotFound => {
                j.segments.insert(segment, Some(0));
            }
            _ => self.record_at = self.record_at.max(context.clock.now() + context.retry_ms(250)),
        }
        j.recording = j.segments.values().any(Option::is_none);
        self.release_done(job);
    }

    fn finish(&mut self, context: &mut NodeContext, ix: JobIndex) {
        let Some(j) = self.jobs.get(&ix) else { return };
        let id = context.jobs.id(ix).to_string();
        let key = job_key(&id);
        let origin = context.job(ix).origin().cloned();
        let rec = JobRecord::done(j.spec.tasks, context.clock.wall()).with_origin(origin);
        let mut changes =
            vec![Mutation::Put { key: key.clone(), value: Encoded::new(&rec), lease: None }];
        // What does not go along here goes later.
        let dropped: Vec<ProgressSegment> =
            j.segments.keys().copied().take(context.platform.cluster.state.txn_ops - 1).collect();
        changes.extend(dropped.iter().map(|c| Mutation::Delete { key: c.key(&id) }));
        let version = context.job(ix).version;
        let txn = CompareAndSwap {
            compares: vec![self.compare_term(), Compare { key, version }],
            mutations: changes,
        };
        let call = LeaderCall::Finish { job: ix, done_ms: context.clock.wall(), dropped };
        context.send_store_request(StoreCallOwner::Leader(call), StoreRequest::CompareAndSwap(txn));
    }

    /// Removes records of jobs that are final, when nothing else is to write.
    fn delete_obsolete_progress(&mut self, context: &mut NodeContext) {
        let t = &mut self.deletions;
        if t.busy || t.keys.is_empty() || context.clock.now() < t.retry_at {
            return;
        }
        let n = t.keys.len().min(context.platform.cluster.state.txn_ops);
        if !context.can_write(n) {
            return;
        }
        t.busy = true;
        let keys: Vec<String> = t.keys.drain(..n).collect();
        let changes = keys.iter().map(|k| Mutation::Delete { key: k.clone() }).collect();
        let txn = CompareAndSwap { compares: vec![self.compare_term()], mutations: changes };
        self.record_at = context.clock.now() + RECORD_GAP_MS;
        context.send_store_request(
            StoreCallOwner::Leader(LeaderCall::Forget { keys }),
            StoreRequest::CompareAndSwap(txn),
        );
    }

    pub(super) fn on_forgotten(
        &mut self,
        context: &mut NodeContext,
        keys: Vec<String>,
        result: StoreResponse,
    ) {
        self.deletions.busy = false;
        if matches!(result, StoreResponse::NotExecuted | StoreResponse::OutcomeUnknown) {
            self.deletions.keys.extend(keys);
            self.deletions.retry_at = context.clock.now() + context.jitter(500);
        }
    }

    /// Attempts whose success is recorded may be cleared from the machines.
    pub(super) fn release_done(&mut self, job: JobIndex) {
        let Some(j) = self.jobs.get(&job) else { return };
        for id in self.attempts.of_job(job) {
            let Some(a) = self.attempts.get_mut(id) else { continue };
            if a.is_wanted && a.state == ReportedPhase::Done && j.recorded.contains(a.task) {
                a.is_wanted = false;
                self.shards[a.shard.place()].dirty = true;
            }
        }
    }
}

/// Whether a job's progress has to be recorded in parts: a whole chunk may pass
/// the limit, today's or the next once that one is in force.
fn in_parts(context: &NodeContext, tasks: u32, writes_parts: bool) -> bool {
    let text = tasks.min(SEGMENT_TASKS).div_ceil(4) as usize + 2;
    let state = &context.platform.cluster.state;
    text > state.value_bytes() && (writes_parts || text as f64 > state.today_kb * 1024.0)
}

fn push_chunks(
    context: &NodeContext,
    ix: JobIndex,
    j: &mut LiveJob,
    segments: &BTreeSet<ProgressSegment>,
    txn: &mut CompareAndSwap,
) {
    j.recording = true;
    let id = context.jobs.id(ix);
    for c in segments {
        let from = c.first_word();
        // Under its own version: carried out late, after a newer one, it would
        // take bits back whose tasks have long been cleared from the machines.
        let version = *j.segments.entry(*c).or_insert(Some(0));
        txn.compares.push(Compare { key: c.key(id), version: version.unwrap_or(0) });
        txn.mutations.push(Mutation::Put {
            key: c.key(id),
            value: Encoded::new(&j.done.to_hex(from, from + c.words())),
            lease: None,
        });
    }
}

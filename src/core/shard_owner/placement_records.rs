//! Placement records: the records that say what may be on a block's machines.
//!
//! The state service takes few changes a second, and many tasks start in each,
//! so one record speaks for many machines. All that has gathered for a record
//! goes out in one change, under every condition that it rests on; while it is
//! under way, or its outcome in doubt, the next batch gathers. A record is full when
//! its record nears the service's limit; further attempts go to the next, so
//! that a machine may have attempts on several. What is new goes to one record of
//! a block as long as that has room, since each record written is a change: the
//! gap between two writes widens with the records that have something pressing,
//! not with all there are, so that all holders together keep within the rate.
//!
//! A record may be longer than the service takes by now: its limits have fallen,
//! or are about to, and a holder of the version before wrote it. Such a record
//! is still read but can't be written again, so what is too much is copied to
//! other records first, and only once it stands there the long one shrinks.
//! No attempt is ever on no record, and a reader takes repeats as one.

use super::machine::{Attempt, Machine, Machines};
use super::record_draft::RecordDraft;
use super::{Load, OwnedShard, ShardOwnerCall};
use crate::core::common::context::NodeContext;
use crate::core::common::watch_cache::{LEADER, shard_key};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, MachineIndex, Ms, Resources, ShardIndex};
use crate::wire::encoded::Encoded;
use crate::wire::store::{
    Compare, CompareAndSwap, JobState, Mutation, PlacementRecord, RecordedMachine,
};
use rustc_hash::{FxHashMap, FxHashSet};

/// Bytes kept free in a record for what the estimate leaves out.
const RECORD_SLACK: usize = 200;
/// What a record takes beside its rows: names of fields and of a few types.
const HEAD_BYTES: usize = 100;
/// Share of the service's changes that bindings may take of all nodes together.
const RATE_SHARE: f64 = 0.5;
const MIN_GAP_MS: Ms = 100;
/// What isn't pressing goes along with other changes, or after this time.
const TIDY_MS: Ms = 4_000;
/// Share of the changes that tidying may take, of all nodes together.
const TIDY_SHARE: f64 = 0.1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Write {
    Idle,
    InFlight,
    /// The outcome of the last write is unknown; nothing may rest on it
    /// before the record has been read back.
    OutcomeUnknown,
    Rereading,
}

#[derive(Debug)]
pub struct HeldRecord {
    pub version: u64,
    write: Write,
    retry_at: Ms,
    next_at: Ms,
    /// Since when the record lists what is gone.
    pub stale: Option<Ms>,
    /// At most so many bytes long, with all that waits to be written.
    bytes: usize,
    jobs: FxHashSet<JobIndex>,
    /// Its record was read, and is longer than a write may be.
    long: bool,
}

impl HeldRecord {
    pub fn new(version: u64, bytes: usize) -> HeldRecord {
        HeldRecord {
            version,
            write: Write::Idle,
            retry_at: 0,
            next_at: 0,
            stale: None,
            bytes: RECORD_SLACK + bytes,
            jobs: FxHashSet::default(),
            long: false,
        }
    }

    /// As read, under the limit that holds for writes.
    pub fn read(context: &NodeContext, version: u64, bytes: usize) -> HeldRecord {
        HeldRecord { long: bytes > limit(context), ..HeldRecord::new(version, bytes) }
    }
}

/// One write under way.
#[derive(Debug)]
pub struct Written {
    pub shard: ShardIndex,
    pub record: u32,
    fencing_token: u64,
    /// Attempts whose `run` may go out once this is on record.
    pub(super) attempts: FxHashSet<u64>,
    /// Copied from longer records.
    pub(super) moved: FxHashSet<u64>,
    /// What the record says of machines whose own state is on it.
    pub(super) flags: FxHashMap<MachineIndex, u8>,
}

pub(super) fn limit(context: &NodeContext) -> usize {
    context.platform.cluster.state.value_bytes()
}

/// Upper bounds of what each part adds to a record.
const ATTEMPT_BYTES: usize = 24;
/// What a job's or a machine's row takes, names of usual length given.
const MOST_HEADER: usize = 100;

pub(super) fn machine_bytes(name: &str) -> usize {
    name.len() + 14
}

fn job_bytes(name: &str, team: &str) -> usize {
    name.len() + team.len() + 60
}

/// What a job's row takes, to the byte: an estimate would leave bound tasks
/// waiting for room that is there. It is worked out once for an attempt, as it
/// writes out three decimal numbers.
pub fn job_row_bytes(name: &str, team: &str, demand: &Resources) -> usize {
    let number = |n: f64| n.to_string().len() + 3;
    let numbers = number(demand.cpus) + number(demand.gpus) + number(demand.mem);
    name.len() + team.len() + numbers + 9
}

pub fn record_key(shard: &str, record: u32) -> String {
    format!("place/{shard}/{record}")
}

/// Makes sure that the record which takes what is new has room for one more
/// attempt. A record whose record lists much that is gone has the room of that,
/// as its next write leaves it out.
pub fn open_record(context: &NodeContext, h: &mut OwnedShard, machines: &Machines, shard: ShardIndex) {
    let most = limit(context);
    let spare = ATTEMPT_BYTES + 2 * MOST_HEADER;
    if h.records.get(h.open as usize).is_some_and(|s| !s.long && s.bytes + spare <= most) {
        return;
    }
    // What each record will hold once it is written anew.
    let mut live = vec![HEAD_BYTES + RECORD_SLACK; h.records.len()];
    let mut jobs: FxHashSet<(u32, JobIndex)> = FxHashSet::default();
    for m in machines.values().filter(|m| m.shard == shard) {
        let mut add = |s: u32, n: usize| {
            if let Some(b) = live.get_mut(s as usize) {
                *b += n;
            }
        };
        let mut rows: FxHashSet<u32> = FxHashSet::default();
        if let Some(s) = m.record
            && (m.row_kept || m.has_state() || m.can_decommission())
        {
            rows.insert(s);
        }
        for a in &m.attempts {
            for s in [Some(a.record), a.moving].into_iter().flatten() {
                rows.insert(s);
                add(s, ATTEMPT_BYTES);
                if jobs.insert((s, a.job)) {
                    add(s, job_bytes(context.jobs.id(a.job), &a.team));
                }
            }
        }
        for s in rows {
            add(s, machine_bytes(&m.name));
        }
    }
    let free = (0..h.records.len()).filter(|s| !h.records[*s].long).min_by_key(|s| live[*s]);
    // One that is nearly full again at once would only add a change.
    match free.filter(|s| live[*s] * 3 <= most * 2) {
        Some(s) => {
            h.records[s].bytes = live[s];
            h.records[s].jobs = jobs.iter().filter(|(at, _)| *at as usize == s).map(|j| j.1).collect();
            h.open = s as u32;
        }
        None => {
            h.records.push(HeldRecord::new(0, 0));
            h.open = h.records.len() as u32 - 1;
        }
    }
}

/// A record that surely has room for one more attempt on this machine: the open
/// one, or any other that has.
pub fn reserve(
    context: &NodeContext,
    h: &mut OwnedShard,
    m: &mut Machine,
    job: JobIndex,
    team: &str,
) -> u32 {
    let header = job_bytes(context.jobs.id(job), team);
    let row = ATTEMPT_BYTES + machine_bytes(&m.name);
    let most = limit(context);
    let fits_within = |s: &HeldRecord| {
        !s.long && s.bytes + row + if s.jobs.contains(&job) { 0 } else { header } <= most
    };
    let open = Some(h.open).filter(|s| h.records.get(*s as usize).is_some_and(fits_within));
    let found = open.or_else(|| h.records.iter().position(fits_within).map(|s| s as u32));
    let s = found.unwrap_or_else(|| {
        h.records.push(HeldRecord::new(0, 0));
        h.records.len() as u32 - 1
    });
    m.record.get_or_insert(s);
    let record = &mut h.records[s as usize];
    record.bytes += row + if record.jobs.insert(job) { header } else { 0 };
    s
}

/// The record that a machine's own state is on, with room kept there for its
/// row: hundreds of machines may be isolated or returned at once, and a record
/// that passed the limit would be rejected for ever, with all that is on it.
fn home(context: &NodeContext, h: &mut OwnedShard, m: &mut Machine) -> u32 {
    if let Some(s) = m.record.filter(|s| !h.records.get(*s as usize).is_some_and(|s| s.long)) {
        let busy = h.records.get(s as usize).is_some_and(|s| s.write != Write::Idle);
        let row = m.row_kept || m.cordoned_recorded || m.terminating_recorded;
        if busy || row || m.attempts.iter().any(|a| a.record == s) {
            return s;
        }
    }
    let row = machine_bytes(&m.name);
    let fits_within = |s: &HeldRecord| s.bytes + row <= limit(context);
    let own = m.record.filter(|s| h.records.get(*s as usize).is_some_and(fits_within));
    let found = own.or_else(|| h.records.iter().position(fits_within).map(|s| s as u32));
    let s = found.unwrap_or_else(|| {
        h.records.push(HeldRecord::new(0, 0));
        h.records.len() as u32 - 1
    });
    h.records[s as usize].bytes += row;
    m.row_kept = true;
    if m.record != Some(s) && (m.cordoned_recorded || m.terminating_recorded) {
        m.row_from = m.record;
    }
    m.record = Some(s);
    s
}

/// Finds new places for what a long record holds too much of: attempts and rows
/// of machines, in whole machines. What stays leaves room for a write.
fn spread_out(
    context: &NodeContext,
    h: &mut OwnedShard,
    machines: &mut Machines,
    shard: ShardIndex,
    record: u32,
) {
    let most = limit(context) * 9 / 10;
    let mut bytes = HEAD_BYTES;
    let mut jobs: FxHashSet<JobIndex> = FxHashSet::default();
    for m in machines.values_mut().filter(|m| m.shard == shard) {
        let row = m.record == Some(record) && (m.cordoned || m.terminating_recorded);
        let here = |a: &&mut Attempt| a.record == record && a.moving.is_none();
        let mut more = machine_bytes(&m.name);
        let mut any = row;
        let mut new: FxHashSet<JobIndex> = FxHashSet::default();
        for a in m.attempts.iter_mut().filter(here) {
            any = true;
            more += ATTEMPT_BYTES;
            if !jobs.contains(&a.job) && new.insert(a.job) {
                more += a.job_row_bytes;
            }
        }
        if !any {
            continue;
        }
        if bytes + more <= most {
            bytes += more;
            jobs.extend(new);
            continue;
        }
        if row {
            home(context, h, m);
        }
        let ids: Vec<(usize, JobIndex, String)> = m
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, a)| a.record == record && a.moving.is_none())
            .map(|(i, a)| (i, a.job, a.team.clone()))
            .collect();
        for (i, job, team) in ids {
            let to = reserve(context, h, m, job, &team);
            m.attempts[i].moving = Some(to);
        }
    }
}

/// Whether a long record can't be written yet: it still holds too much, or what
/// is to leave it does not stand elsewhere.
fn held_back(context: &NodeContext, machines: &Machines, shard: ShardIndex, record: u32) -> bool {
    let ours = || machines.values().filter(|m| m.shard == shard);
    let leaves = |m: &Machine| {
        m.row_from == Some(record) || m.attempts.iter().any(|a| a.record == record && a.moving.is_some())
    };
    if ours().any(leaves) {
        return true;
    }
    let here = |m: &Machine| m.attempts.iter().filter(|a| a.record == record).map(|a| a.id).min();
    let base = ours().filter_map(here).min().unwrap_or(0);
    due_bytes(machines, shard, record, base) > limit(context)
}

/// What a record holds in any case: rows that it may have already, and those
/// of machines with a state of their own.
fn due_bytes(machines: &Machines, shard: ShardIndex, record: u32, base: u64) -> usize {
    let mut jobs: FxHashSet<JobIndex> = FxHashSet::default();
    let mut bytes = HEAD_BYTES;
    for m in machines.values().filter(|m| m.shard == shard) {
        let mut row =
            m.record == Some(record) && (m.cordoned || m.terminating_recorded || m.can_decommission());
        for a in m.attempts.iter().filter(|a| a.record == record && (a.written || a.tried)) {
            row = true;
            bytes += 5 + digits(u64::from(a.task)) + digits(a.id - base);
            if jobs.insert(a.job) {
                bytes += a.job_row_bytes;
            }
        }
        if row {
            bytes += machine_bytes(&m.name);
        }
    }
    bytes
}

/// The length of a number and the comma after it.
pub(super) fn digits(n: u64) -> usize {
    n.checked_ilog10().unwrap_or(0) as usize + 2
}

/// Time between two writes of one of `own` records when each node has as many,
/// and all together take a share of the changes.
fn gap_ms(context: &NodeContext, own: usize, share: f64) -> Ms {
    let nodes = context.platform.peers.len() + 1;
    let rate = (context.platform.cluster.state.write_rps * share).max(0.1);
    ((own * nodes) as f64 * 1000.0 / rate).clamp(MIN_GAP_MS as f64, 5_000.0) as Ms
}

/// Writes the records that have something new, and reads back those in doubt.
pub fn write_all(context: &mut NodeContext, shards: &mut [Option<OwnedShard>], machines: &mut Machines) {
    let Some(term) = context.leadership.term() else { return };
    let now = context.clock.now();
    if !shards.iter().flatten().any(|h| h.load == Load::Done) {
        return;
    }
    for (b, h) in shards.iter_mut().enumerate() {
        let Some(h) = h.as_mut().filter(|h| h.load == Load::Done) else { continue };
        // A leader that has yet to read all records would miss an attempt that
        // moves from one that it reads later to one that it has read.
        if h.term != term {
            continue;
        }
        for s in 0..h.records.len() as u32 {
            if h.records[s as usize].long && held_back(context, machines, ShardIndex::at(b), s) {
                spread_out(context, h, machines, ShardIndex::at(b), s);
                h.records[s as usize].next_at = now + MIN_GAP_MS;
            }
        }
    }
    // What waits, record by record; false: not pressing.
    let mut needs: FxHashMap<(ShardIndex, u32), bool> = FxHashMap::default();
    for m in machines.values_mut() {
        let Some(h) = shards[m.shard.place()].as_mut() else { continue };
        if h.load != Load::Done || h.fencing_token != m.fencing_token {
            continue;
        }
        if h.term == term {
            for a in m.attempts.iter().filter(|a| a.unwritten(context)) {
                needs.insert((m.shard, a.record), true);
            }
        }
        for a in &m.attempts {
            if let Some(to) = a.moving {
                needs.insert((m.shard, to), true);
            }
        }
        if let (Some(_), Some(home)) = (m.row_from, m.record) {
            // Its long record can't shrink before this one has the row.
            needs.insert((m.shard, home), true);
        }
        if m.can_decommission() || m.cordoned != m.cordoned_recorded {
            let record = home(context, h, m);
            *needs.entry((m.shard, record)).or_default() |= m.can_decommission();
        }
    }
    let pressing = needs.values().filter(|press| **press).count().max(1);
    for (b, h) in shards.iter_mut().enumerate() {
        let Some(h) = h.as_mut().filter(|h| h.load == Load::Done) else { continue };
        for s in 0..h.records.len() {
            let key = (ShardIndex::at(b), s as u32);
            let record = &mut h.records[s];
            if now < record.retry_at {
                continue;
            }
            if record.write == Write::OutcomeUnknown {
                record.write = Write::Rereading;
                let call = ShardOwnerCall::Reread {
                    shard: key.0,
                    record: key.1,
                    fencing_token: h.fencing_token,
                };
                let key = record_key(&context.shards[b].name, key.1);
                context.send_store_request(StoreCallOwner::ShardOwner(call), StoreRequest::Get(key));
                continue;
            }
            if record.write != Write::Idle || now < record.next_at {
                continue;
            }
            let tidy = record.stale.is_some_and(|at| at + TIDY_MS < now) && now >= h.tidy_at;
            let press = match needs.get(&key) {
                Some(press) => *press,
                None if tidy => false,
                None => continue,
            };
            if !press && !tidy {
                // Goes along with the next write, or is tidied up in time.
                record.stale.get_or_insert(now);
                continue;
            }
            if record.long && (h.term != term || held_back(context, machines, key.0, key.1)) {
                continue;
            }
            if !context.can_write(1) {
                return;
            }
            let record = &mut h.records[s];
            record.next_at = now + gap_ms(context, pressing, RATE_SHARE);
            if !press {
                h.tidy_at = now + gap_ms(context, 1, TIDY_SHARE);
            }
            write(context, h, machines, key, term);
        }
    }
}

/// One record as it is now, under the conditions of all that is new in it.
fn write(
    context: &mut NodeContext,
    h: &mut OwnedShard,
    machines: &mut Machines,
    (shard, record): (ShardIndex, u32),
    term: u64,
) {
    let block_name = context.shards[shard.place()].name.clone();
    let key = record_key(&block_name, record);
    let compares = vec![
        Compare { key: LEADER.into(), version: term },
        Compare { key: shard_key(&block_name), version: h.fencing_token },
        Compare { key: key.clone(), version: h.records[record as usize].version },
    ];
    let here = |a: &&Attempt| a.record == record || a.moving == Some(record);
    let ids = machines
        .values()
        .filter(|m| m.shard == shard)
        .flat_map(|m| m.attempts.iter().filter(here).map(|a| a.id));
    let base = ids.min().unwrap_or(0);
    let written = Written {
        shard,
        record,
        fencing_token: h.fencing_token,
        attempts: FxHashSet::default(),
        moved: FxHashSet::default(),
        flags: FxHashMap::default(),
    };
    let bytes = due_bytes(machines, shard, record, base);
    // A binding granted by a former leader has no standing.
    let takes_new = h.term == term;
    let mut draft = RecordDraft::new(written, compares, base, bytes, takes_new);
    for (ix, m) in machines.iter_mut().filter(|(_, m)| m.shard == shard) {
        draft.add_machine(context, ix, m);
    }
    let RecordDraft { record: content, job_rows, written, compares, .. } = draft;
    let state = &mut h.records[record as usize];
    state.write = Write::InFlight;
    state.stale = None;
    state.jobs = job_rows.into_keys().collect();
    // What is bound but did not get its condition yet still needs its place.
    let value = Encoded::new(&content);
    let bytes = value.len() + RECORD_SLACK;
    state.bytes = bytes + unwritten_bytes(context, machines, shard, record, &written);
    let txn = CompareAndSwap { compares, mutations: vec![Mutation::Put { key, value, lease: None }] };
    context.send_store_request(
        StoreCallOwner::ShardOwner(ShardOwnerCall::Write(written)),
        StoreRequest::CompareAndSwap(txn),
    );
}

fn unwritten_bytes(
    context: &NodeContext,
    machines: &Machines,
    shard: ShardIndex,
    record: u32,
    done: &Written,
) -> usize {
    let left = |a: &&Attempt| {
        a.record == record && a.unwritten(context) && !done.attempts.contains(&a.id)
            || a.moving == Some(record) && !done.moved.contains(&a.id)
    };
    let ours = machines.values().filter(|m| m.shard == shard);
    let row =
        |m: &Machine| m.attempts.iter().filter(left).count() * (ATTEMPT_BYTES + machine_bytes(&m.name));
    ours.map(row).sum()
}

/// A write that was certainly not carried out lists nothing. Left as tried, its
/// attempts would go along with a later write that no longer checks their job and
/// the leader who granted them; with its answer lost, reading it back would then
/// pass for leave to start them.
fn untried(machines: &mut Machines, w: &Written) {
    let ours = machines.values_mut().filter(|m| m.shard == w.shard);
    for a in ours.flat_map(|m| &mut m.attempts).filter(|a| w.attempts.contains(&a.id)) {
        a.tried = a.written;
    }
}

pub fn on_written(
    context: &mut NodeContext,
    h: &mut OwnedShard,
    machines: &mut Machines,
    w: Written,
    result: StoreResponse,
) {
    if h.fencing_token != w.fencing_token {
        return;
    }
    let Some(record) = h.records.get_mut(w.record as usize) else { return };
    match &result {
        StoreResponse::Committed { revision } => {
            record.write = Write::Idle;
            record.version = *revision;
            record.long = false;
            h.dirty = true;
            let mut emptier = Vec::new();
            let mut moved = 0;
            for (ix, m) in machines.iter_mut().filter(|(_, m)| m.shard == w.shard) {
                for a in &mut m.attempts {
                    if a.record == w.record {
                        if w.attempts.contains(&a.id) {
                            (a.written, a.written_at) = (true, context.clock.now());
                        }
                    } else if a.moving == Some(w.record) && w.moved.contains(&a.id) {
                        emptier.push(a.record);
                        a.move_to(w.record);
                        moved += 1;
                    }
                }
                if m.record == Some(w.record) {
                    // A write sent before the row came here has not brought it.
                    if w.flags.contains_key(&ix) || !m.has_state() {
                        emptier.extend(m.row_from.take());
                    }
                    let f = w.flags.get(&ix).copied().unwrap_or(0);
                    m.row_kept = false;
                    m.cordoned_recorded = f & RecordedMachine::CORDONED != 0;
                    m.terminating_recorded |= f & RecordedMachine::TERMINATING != 0;
                }
            }
            if moved < w.moved.len() {
                // Gone meanwhile, and now listed here for nothing.
                emptier.push(w.record);
            }
            mark_stale(h, emptier, context.clock.now());
        }
        StoreResponse::NotExecuted => {
            untried(machines, &w);
            record.write = Write::Idle;
            record.stale.get_or_insert(context.clock.now());
            record.retry_at = context.clock.now() + context.jitter(200);
        }
        StoreResponse::Conflict(keys) => {
            untried(machines, &w);
            let key = record_key(&context.shards[w.shard.place()].name, w.record);
            record.write = if keys.contains(&key) { Write::OutcomeUnknown } else { Write::Idle };
            record.stale.get_or_insert(context.clock.now());
            record.retry_at = context.clock.now() + context.jitter(80);
        }
        StoreResponse::Malformed => {
            // Longer than the service takes, whatever the settings say: never
            // again as it is.
            let key = record_key(&context.shards[w.shard.place()].name, w.record);
            tracing::error!(key, "record rejected; what it holds goes to others");
            record.write = Write::OutcomeUnknown;
            record.long = true;
            record.retry_at = context.clock.now() + 2_000;
        }
        _ => {
            record.write = Write::OutcomeUnknown;
            record.stale.get_or_insert(context.clock.now());
            record.retry_at = context.clock.now() + context.jitter(100);
        }
    }
}

pub fn on_reread(
    context: &mut NodeContext,
    h: &mut OwnedShard,
    machines: &mut Machines,
    (shard, record): (ShardIndex, u32),
    result: StoreResponse,
) {
    let Some(state) = h.records.get_mut(record as usize) else { return };
    match result {
        StoreResponse::KeyValue(i) => {
            let bytes = i.value.len();
            let Ok(rec) = i.value.decode::<PlacementRecord>() else {
                tracing::error!(key = i.key, "unreadable record");
                state.write = Write::OutcomeUnknown;
                state.retry_at = context.clock.now() + 2_000;
                return;
            };
            state.write = Write::Idle;
            state.version = i.version;
            state.stale.get_or_insert(context.clock.now());
            state.long |= bytes > limit(context);
            let mut emptier = Vec::new();
            let listed: FxHashMap<&str, &RecordedMachine> =
                rec.machines.iter().map(|m| (m.0.as_str(), m)).collect();
            for m in machines.values_mut().filter(|m| m.shard == shard) {
                let row = listed.get(m.name.as_str());
                if m.record == Some(record) {
                    m.cordoned_recorded = row.is_some_and(|r| r.is(RecordedMachine::CORDONED));
                    m.terminating_recorded |= row.is_some_and(|r| r.is(RecordedMachine::TERMINATING));
                    let state = RecordedMachine::CORDONED | RecordedMachine::TERMINATING;
                    if row.is_some_and(|r| r.is(state)) || !m.has_state() {
                        emptier.extend(m.row_from.take());
                    }
                }
                for a in &mut m.attempts {
                    let listed = || row.is_some_and(|r| r.tasks(rec.base).any(|t| t.2 == a.id));
                    if a.record == record {
                        // Only a write under the attempt's own conditions lists
                        // it, so that what stands here was right then.
                        a.written |= listed();
                        a.tried = a.written;
                    } else if a.moving == Some(record) && listed() {
                        emptier.push(a.record);
                        a.move_to(record);
                    }
                }
            }
            mark_stale(h, emptier, context.clock.now());
            h.dirty = true;
        }
        StoreResponse::NotFound => {
            state.write = Write::Idle;
            state.version = 0;
            let ours = machines.values_mut().filter(|m| m.shard == shard);
            for a in ours.flat_map(|m| &mut m.attempts).filter(|a| a.record == record) {
                a.tried = a.written;
            }
        }
        _ => {
            state.write = Write::OutcomeUnknown;
            state.retry_at = context.clock.now() + context.jitter(300);
        }
    }
}

/// Marks that records list what is gone.
pub fn mark_stale(h: &mut OwnedShard, records: impl IntoIterator<Item = u32>, now: Ms) {
    for s in records {
        if let Some(s) = h.records.get_mut(s as usize) {
            s.stale.get_or_insert(now);
        }
    }
}

impl Attempt {
    /// Stands on another record now.
    fn move_to(&mut self, record: u32) {
        self.record = record;
        self.moving = None;
    }

    /// Waits for the record that must stand before its `run`.
    pub fn unwritten(&self, context: &NodeContext) -> bool {
        !self.written
            && self.wanted
            && context.job(self.job).state == JobState::Live
            && !context.must_stop(self.job)
    }
}

//! A cell that may run the job for its origin.

use super::network::{Offer, OfferedJob, Status};
use super::{Model, ORIGIN, State, TIMING, Task};
use rand::RngExt;
use std::mem::discriminant;
use woadlever_cells::Millis;
use woadlever_cells::host::{
    Admission, HostDecision, HostRecord, HostStep, ListedRecord, Listing, decide, may_extend_lease,
};
use woadlever_cells::record::{CellLease, Origin};

/// Time that a write takes, unless it is late.
const WRITE_MS: Millis = 10;

/// A host's record of the job.
#[derive(Debug, Clone)]
pub(crate) struct HostedRecord {
    state: State,
    origin: Origin,
}

#[derive(Debug, Clone)]
enum HostWrite {
    /// The first record, if the known one is still of this epoch, or none is there.
    Create {
        record: HostedRecord,
        known_epoch: Option<u64>,
    },
    /// The end of a live job.
    Cancel,
    Lease(CellLease),
}

/// A write under way. It holds only under the term of its leader.
#[derive(Debug)]
struct PendingWrite {
    at: Millis,
    term: u64,
    write: HostWrite,
}

#[derive(Debug, Default)]
pub(crate) struct Host {
    record: Option<HostedRecord>,
    lease: CellLease,
    pub task: Option<Task>,
    writes: Vec<PendingWrite>,
    term: u64,
    /// Until then there is no leader.
    down_until: Millis,
    /// Until then controllers and machines don't hear each other.
    pub workers_cut_until: Millis,
    newest: Option<Offer>,
}

impl Host {
    /// A new leader has heard nothing.
    pub(crate) fn lose_leader(&mut self, down_until: Millis) {
        self.down_until = down_until;
        self.newest = None;
        self.term += 1;
    }

    pub(crate) fn receive(&mut self, offer: Offer, now: Millis) {
        let is_newer = self.newest.as_ref().is_none_or(|known| offer.revision >= known.revision);
        if now >= self.down_until && is_newer {
            self.newest = Some(offer);
        }
    }

    fn live_epoch(&self) -> Option<u64> {
        let record = self.record.as_ref().filter(|record| record.state == State::Live);
        record.map(|record| record.origin.epoch)
    }

    fn known_epoch(&self) -> Option<u64> {
        self.record.as_ref().map(|record| record.origin.epoch)
    }

    /// What the host's record says of the job in an epoch.
    fn record_of(&self, epoch: u64) -> HostRecord {
        let Some(record) = &self.record else { return HostRecord::Unknown };
        let is_over = record.state == State::Cancelled && self.task.is_none();
        if record.origin.epoch < epoch && is_over {
            return HostRecord::Unknown;
        }
        if record.origin.epoch != epoch {
            return HostRecord::Foreign;
        }
        match record.state {
            State::Live => HostRecord::Live { done: 0, running: u32::from(self.task.is_some()) },
            State::Done => HostRecord::Done,
            State::Cancelled => HostRecord::Tombstone { has_attempts: self.task.is_some() },
        }
    }

    /// Each write holds only under the term of its leader and the record that it knew.
    fn carry_out_writes(&mut self, now: Millis) {
        let all = std::mem::take(&mut self.writes).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = all.partition(|write| write.at <= now);
        self.writes = later;
        for PendingWrite { term, write, .. } in due {
            if term == self.term {
                self.carry_out(write);
            }
        }
    }

    fn carry_out(&mut self, write: HostWrite) {
        match write {
            HostWrite::Create { record, known_epoch } => {
                if self.known_epoch() == known_epoch {
                    self.record = Some(record);
                }
            }
            HostWrite::Cancel => {
                if let Some(record) = self.record.as_mut().filter(|r| r.state == State::Live) {
                    record.state = State::Cancelled;
                }
            }
            HostWrite::Lease(lease) if lease.until_ms > self.lease.until_ms => self.lease = lease,
            HostWrite::Lease(_) => {}
        }
    }

    fn start_task(&mut self, now: Millis) {
        let may_run = !TIMING.has_ended(self.lease.until_ms, now) && now >= self.workers_cut_until;
        if may_run && self.task.is_none() {
            self.task = Some(Task::start(now));
        }
    }

    /// Shard owners answer workers from the records, whether or not there is a leader.
    fn answer_workers(&mut self, now: Millis) {
        let Some(task) = &mut self.task else { return };
        if now > task.renewed + TIMING.worker_lease_ms {
            self.task = None;
            return;
        }
        if now < self.workers_cut_until {
            return;
        }
        let is_live = self.record.as_ref().is_some_and(|record| record.state == State::Live);
        if !is_live || TIMING.has_ended(self.lease.until_ms, now) {
            self.task = None;
            return;
        }
        task.renewed = now;
        if task.has_run(now) {
            self.task = None;
            if let Some(record) = &mut self.record {
                record.state = State::Done;
            }
        }
    }
}

/// How an offer lists a job that is live at the host in this epoch.
fn listing_in(offer: &Offer, epoch: u64) -> Listing {
    match offer.job {
        Some(job) if job.epoch == epoch && job.is_recalled => Listing::Recalled,
        Some(job) if job.epoch == epoch => Listing::Active,
        // The offer is older than the forwarding.
        _ if epoch >= offer.revision => Listing::Active,
        _ => Listing::Absent,
    }
}

impl Model {
    pub(crate) fn step_host(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        host.carry_out_writes(now);
        host.answer_workers(now);
        if now < host.down_until {
            return;
        }
        let Some(offer) = host.newest.clone() else { return };
        if offer.revision < host.lease.revision {
            return;
        }
        let live_epoch = host.live_epoch();
        let listing = live_epoch.map(|epoch| listing_in(&offer, epoch));
        if listing.is_some_and(|listing| listing != Listing::Active) {
            self.submit(index, HostWrite::Cancel);
        }
        let is_listed = offer.job.is_some_and(|job| Some(job.epoch) == live_epoch);
        if listing == Some(Listing::Active) && is_listed {
            self.hosts[index].start_task(now);
        }
        let status = offer.job.and_then(|job| self.decide_on(index, &offer, job));
        if let Some(listing) = listing {
            self.extend_lease(index, &offer, listing);
        }
        self.send_status(index, status);
    }

    /// Takes the next step with a job that is listed. Returns what the origin is told.
    fn decide_on(&mut self, index: usize, offer: &Offer, job: OfferedJob) -> Option<Status> {
        let OfferedJob { epoch, is_recalled } = job;
        let listing = if is_recalled { Listing::Recalled } else { Listing::Active };
        let has_ended = TIMING.has_ended(offer.lease_until_ms, self.now);
        let admission = match self.rng.random_range(0..4) {
            _ if has_ended => Admission::Undecided,
            0 => Admission::Refuse { retry_after_ms: 1_000 },
            _ => Admission::Accept,
        };
        let record = self.hosts[index].record_of(epoch);
        let HostDecision { step, phase } = decide(listing, record, admission);
        match step {
            HostStep::Wait => {}
            HostStep::Accept => self.submit_record(index, epoch, State::Live),
            HostStep::Tombstone => self.submit_record(index, epoch, State::Cancelled),
            HostStep::Cancel => self.submit(index, HostWrite::Cancel),
        }
        phase.map(|phase| Status { epoch, phase })
    }

    fn extend_lease(&mut self, index: usize, offer: &Offer, listing: Listing) {
        let record = HostRecord::Live { done: 0, running: 0 };
        let may_extend = may_extend_lease(std::iter::once(ListedRecord { listing, record }));
        let lease = CellLease { until_ms: offer.lease_until_ms, revision: offer.revision };
        if may_extend && lease.until_ms > self.hosts[index].lease.until_ms {
            self.submit(index, HostWrite::Lease(lease));
        }
    }

    fn submit_record(&mut self, index: usize, epoch: u64, state: State) {
        let origin = Origin { cell: ORIGIN.into(), epoch, done: String::new() };
        let known_epoch = self.hosts[index].known_epoch();
        let record = HostedRecord { state, origin };
        self.submit(index, HostWrite::Create { record, known_epoch });
    }

    /// A write is carried out at once or, now and then, late; meanwhile no other of its kind
    /// is sent.
    fn submit(&mut self, index: usize, write: HostWrite) {
        let host = &self.hosts[index];
        let mut under_way = host.writes.iter().filter(|pending| pending.term == host.term);
        if under_way.any(|pending| discriminant(&pending.write) == discriminant(&write)) {
            return;
        }
        let is_late = self.has_faults() && self.chance(self.fault_rate * 10.0);
        let delay = if is_late { self.rng.random_range(500..60_000) } else { WRITE_MS };
        let host = &mut self.hosts[index];
        host.writes.push(PendingWrite { at: self.now + delay, term: host.term, write });
    }
}

//! Model of a host: a cell that may run the job for its origin.

use super::network::{Offer, OfferedJob, Status};
use super::{Model, ORIGIN, State, TIMING, Task};
use rand::RngExt;
use std::mem::discriminant;
use woadlever_cells::Millis;
use woadlever_cells::host::{
    Admission, HostDecision, HostRecord, HostStep, ListedRecord, Listing, decide, may_extend_lease,
};
use woadlever_cells::record::{CellLease, Origin};

/// Time that a write takes, unless it is delayed by a fault.
const WRITE_MS: Millis = 10;

/// A host's record of the job.
#[derive(Debug, Clone)]
pub(crate) struct HostedRecord {
    state: State,
    origin: Origin,
}

#[derive(Debug, Clone)]
enum HostWrite {
    /// Writes a new record, on condition that the epoch of the existing record is `known_epoch`,
    /// or that there is no record if that is none.
    Create { record: HostedRecord, known_epoch: Option<u64> },
    /// Cancels a live job.
    Cancel,
    /// Extends the lease.
    Lease(CellLease),
}

/// A write in flight. It takes effect only in the term of the leader that sent it.
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
    /// Time until which there is no leader.
    down_until: Millis,
    /// Time until which controllers and machines are partitioned from each other.
    pub workers_cut_until: Millis,
    newest: Option<Offer>,
}

impl Host {
    /// Replaces the leader. The new one has received no offer.
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

    /// State of the host's record of the job, as it concerns this epoch.
    fn record_of(&self, epoch: u64) -> HostRecord {
        let Some(record) = &self.record else { return HostRecord::Unknown };
        let is_over = record.state == State::Cancelled && self.task.is_none();
        if record.origin.epoch < epoch && is_over {
            return HostRecord::Unknown;
        }
        if record.origin.epoch != epoch {
            return HostRecord::Conflicting;
        }
        match record.state {
            State::Live => HostRecord::Live { done: 0, running: u32::from(self.task.is_some()) },
            State::Done => HostRecord::Done,
            State::Cancelled => HostRecord::Tombstone { has_attempts: self.task.is_some() },
        }
    }

    /// Executes the writes that are due. Each takes effect only in the term of its leader and if
    /// the record is still the one that the leader knew.
    fn execute_due_writes(&mut self, now: Millis) {
        let all = std::mem::take(&mut self.writes).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = all.partition(|write| write.at <= now);
        self.writes = later;
        for PendingWrite { term, write, .. } in due {
            if term == self.term {
                self.execute(write);
            }
        }
    }

    fn execute(&mut self, write: HostWrite) {
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
        let may_run =
            !TIMING.lease_may_have_ended(self.lease.until_ms, now) && now >= self.workers_cut_until;
        if may_run && self.task.is_none() {
            self.task = Some(Task::start(now));
        }
    }

    /// Answers the workers' heartbeats. Shard owners do this from the records, whether or not
    /// there is a leader.
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
        if !is_live || TIMING.lease_may_have_ended(self.lease.until_ms, now) {
            self.task = None;
            return;
        }
        task.renewed = now;
        if task.has_finished(now) {
            self.task = None;
            if let Some(record) = &mut self.record {
                record.state = State::Done;
            }
        }
    }
}

/// Returns how an offer lists a job that is live at the host in this epoch.
fn listing_in(offer: &Offer, epoch: u64) -> Listing {
    match offer.job {
        Some(job) if job.epoch == epoch && job.is_recalled => Listing::Recalled,
        Some(job) if job.epoch == epoch => Listing::Active,
        // The offer is older than the forwarding, so it says nothing about this epoch.
        _ if epoch >= offer.revision => Listing::Active,
        _ => Listing::Absent,
    }
}

impl Model {
    pub(crate) fn step_host(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        host.execute_due_writes(now);
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

    /// Takes the next step with a listed job. Returns the status that is reported to the origin.
    fn decide_on(&mut self, index: usize, offer: &Offer, job: OfferedJob) -> Option<Status> {
        let OfferedJob { epoch, is_recalled } = job;
        let listing = if is_recalled { Listing::Recalled } else { Listing::Active };
        let lease_may_have_ended = TIMING.lease_may_have_ended(offer.lease_until_ms, self.now);
        let admission = match self.rng.random_range(0..4) {
            _ if lease_may_have_ended => Admission::Undecided,
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

    /// Sends a write, which is executed after the usual time or, at random, much later. While it
    /// is in flight, no other write of its kind is sent.
    fn submit(&mut self, index: usize, write: HostWrite) {
        let host = &self.hosts[index];
        let mut in_flight = host.writes.iter().filter(|pending| pending.term == host.term);
        if in_flight.any(|pending| discriminant(&pending.write) == discriminant(&write)) {
            return;
        }
        let is_late = self.has_faults() && self.chance(self.fault_rate * 10.0);
        let delay = if is_late { self.rng.random_range(500..60_000) } else { WRITE_MS };
        let host = &mut self.hosts[index];
        host.writes.push(PendingWrite { at: self.now + delay, term: host.term, write });
    }
}

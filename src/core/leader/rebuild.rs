//! Rebuilds the state of a new leader from the placement records, the progress records and the
//! fleet record.
//!
//! The three kinds are read concurrently. The leader becomes active when all have been read;
//! until then it makes no decisions. A failed read restarts from the first page.

use super::attempts::{Attempt, Evidence};
use super::progress::{LoadedSegment, ProgressSegment};
use super::timer::Timer;
use super::{FleetRecord, Leader, LeaderCall};
use crate::core::common::context::NodeContext;
use crate::core::common::store_keys::PLACEMENT_PREFIX;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{AttemptId, InstanceIndex, Ms, Resources, ShardIndex};
use crate::wire::peer::ReportedPhase;
use crate::wire::store::{KeyValue, Page, PlacementRecord, RecordedJob, RecordedMachine};
use woadlever_recovery::disposition::JobStatus;

/// Maximum number of records in one page.
const PAGE_RECORDS: u32 = 1_000;
/// Delay before a failed read is retried.
const RETRY_MS: Ms = 200;
/// Key of the fleet record.
pub(super) const FLEET_KEY: &str = "fleet";

/// Kinds of records that a new leader reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordKind {
    /// The machines on which attempts have been placed, by shard.
    Placements,
    /// Which tasks of live jobs are done.
    Progress,
    /// The state that the previous leader has left in the fleet record.
    Fleet,
}

impl RecordKind {
    const ALL: [RecordKind; 3] = [RecordKind::Placements, RecordKind::Progress, RecordKind::Fleet];
}

/// State of reading the records of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum LoadState {
    #[default]
    Due,
    InFlight,
    Loaded,
}

/// State of reading the records of all kinds.
#[derive(Debug, Default)]
pub(super) struct RecordLoading {
    placements: LoadState,
    progress: LoadState,
    fleet: LoadState,
    retry: Timer,
    /// Revision of the last page of placement records.
    placements_revision: u64,
}

impl RecordLoading {
    fn state_mut(&mut self, kind: RecordKind) -> &mut LoadState {
        match kind {
            RecordKind::Placements => &mut self.placements,
            RecordKind::Progress => &mut self.progress,
            RecordKind::Fleet => &mut self.fleet,
        }
    }

    fn is_complete(&self) -> bool {
        [self.placements, self.progress, self.fleet].iter().all(|state| *state == LoadState::Loaded)
    }
}

impl Leader {
    /// Starts the reads that are due, and activates the leader once all records have been read.
    pub(super) fn load_records(&mut self, context: &mut NodeContext) {
        if !self.loading.retry.is_due(context.clock.now()) {
            return;
        }
        for kind in RecordKind::ALL {
            let state = self.loading.state_mut(kind);
            if *state == LoadState::Due {
                *state = LoadState::InFlight;
                read_records(context, kind, None);
            }
        }
        if self.loading.is_complete() {
            self.activate(context);
        }
    }

    /// Activates the leader after all records have been read.
    fn activate(&mut self, context: &mut NodeContext) {
        self.is_active = true;
        self.activated_at = context.clock.now();
        self.attempts.drop_superseded();
        for job in context.jobs.indices() {
            self.sync_job(context, job);
        }
        // The remaining progress belongs to final jobs that are not in memory.
        for id in self.unclaimed_progress.keys() {
            context.job_index_or_lookup(id);
        }
        context.jobs.clear_changed();
        self.reconcile_recorded_attempts(context);
        tracing::info!(
            term = self.term.number(),
            revision = self.loading.placements_revision,
            watched_revision = context.jobs.watched_revision(),
            jobs = self.jobs.len(),
            unread_jobs = context.jobs.unread().len(),
            attempts = self.attempts.len(),
            attempts_of_undetermined_jobs = self.undetermined_jobs.attempts,
            stopped_attempts = self.attempts.values().filter(|attempt| !attempt.is_wanted).count(),
            took_ms = context.clock.now() - self.term_started_at,
            "leader has read the records"
        );
    }

    /// Handles the response to a read of records.
    pub(super) fn on_load(
        &mut self,
        context: &mut NodeContext,
        kind: RecordKind,
        response: StoreResponse,
    ) {
        match (kind, response) {
            (RecordKind::Placements | RecordKind::Progress, StoreResponse::Page(page)) => {
                if let Some(last_key) = self.apply_page(context, kind, page) {
                    return read_records(context, kind, Some(last_key));
                }
            }
            (RecordKind::Fleet, StoreResponse::KeyValue(item)) => {
                let record: FleetRecord = item.value.decode().unwrap_or_default();
                self.ratios = record.ratios;
                self.fleet.resume(context, record.at_ms, record.history);
            }
            // Without a fleet record no window has ever begun, so there are no existing instances
            // to wait for.
            (RecordKind::Fleet, StoreResponse::NotFound) => {
                self.fleet.start_without_predecessor(context);
            }
            _ => {
                *self.loading.state_mut(kind) = LoadState::Due;
                self.loading.retry.set(context.clock.now() + context.jitter(RETRY_MS));
                return;
            }
        }
        *self.loading.state_mut(kind) = LoadState::Loaded;
    }

    /// Applies a page of records. Returns its last key if another page follows.
    fn apply_page(&mut self, context: &mut NodeContext, kind: RecordKind, page: Page) -> Option<String> {
        let last_key = page.items.last().map(|item| item.key.clone());
        if kind == RecordKind::Placements {
            self.loading.placements_revision = page.revision;
        }
        for item in page.items {
            match kind {
                RecordKind::Placements => self.apply_placement_item(context, &item),
                RecordKind::Progress => self.apply_progress_item(&item),
                RecordKind::Fleet => {}
            }
        }
        last_key.filter(|_| page.has_more)
    }

    fn apply_progress_item(&mut self, item: &KeyValue) {
        let Some((id, segment)) = ProgressSegment::of_key(&item.key) else { return };
        let Ok(bits) = item.value.decode::<String>() else { return };
        // Records in parts are written only under the store's lower limits.
        self.are_lower_limits_in_force |= segment.is_part();
        let loaded = LoadedSegment { segment, bits, version: item.version };
        self.unclaimed_progress.entry(id.to_string()).or_default().push(loaded);
    }

    fn apply_placement_item(&mut self, context: &mut NodeContext, item: &KeyValue) {
        match item.value.decode() {
            Ok(record) => self.apply_placement_record(context, &item.key, &record),
            Err(error) => tracing::error!(key = item.key, %error, "cannot decode placement record"),
        }
    }

    /// Applies the machines and attempts of a placement record.
    fn apply_placement_record(
        &mut self,
        context: &mut NodeContext,
        key: &str,
        record: &PlacementRecord,
    ) {
        let Some(shard) = key.split('/').nth(1).and_then(|name| context.shards.index_of(name)) else {
            return;
        };
        for machine in &record.machines {
            let instance = self.apply_recorded_machine(context, shard, machine, &record.types);
            for listed in machine.attempts(record.base) {
                let Some(job) = record.jobs.get(listed.job) else { continue };
                let shard = ShardIndex::from_usize(shard);
                let attempt = recorded_attempt(context, shard, instance, job, listed.task);
                self.attempts.insert(AttemptId::new(listed.attempt), attempt);
            }
        }
    }

    fn apply_recorded_machine(
        &mut self,
        context: &NodeContext,
        shard: usize,
        machine: &RecordedMachine,
        types: &[String],
    ) -> InstanceIndex {
        let type_name = types.get(machine.type_index()).map_or("", String::as_str);
        let zone = &context.shards[shard].zone;
        let is_spot = machine.has_any_flag(RecordedMachine::SPOT);
        let index = self.fleet.find_or_add(context, machine.name(), type_name, zone, is_spot);
        if let Some(known) = self.fleet.instances.get_mut(index) {
            known.cordoned |= machine.has_any_flag(RecordedMachine::CORDONED);
            known.confirmed = true;
            known.recorded |= machine.has_attempts();
        }
        index
    }

    /// Decides which of the recorded attempts continue whose jobs have not been added. Live jobs
    /// have decided on theirs when they were added.
    fn reconcile_recorded_attempts(&mut self, context: &NodeContext) {
        let ids: Vec<AttemptId> = self.attempts.iter().map(|(id, _)| id).collect();
        for id in ids {
            let Some(job) = self.attempts.get(id).map(|attempt| attempt.job) else { continue };
            match self.job_status(context, job) {
                JobStatus::Live => {}
                JobStatus::Undetermined => self.undetermined_jobs.add_attempt(job),
                JobStatus::Ended => self.stop_attempt(id),
            }
        }
    }
}

/// Sends a read of the records of a kind. For paged kinds, `after` is the key after which the page
/// begins.
fn read_records(context: &mut NodeContext, kind: RecordKind, after: Option<String>) {
    let list =
        |prefix: &str| StoreRequest::List { prefix: prefix.to_string(), after, limit: PAGE_RECORDS };
    let request = match kind {
        RecordKind::Placements => list(PLACEMENT_PREFIX),
        RecordKind::Progress => list("progress/"),
        RecordKind::Fleet => StoreRequest::Get(FLEET_KEY.into()),
    };
    context.send_store_request(StoreCallOwner::Leader(LeaderCall::Load(kind)), request);
}

/// Creates an attempt from a placement record.
fn recorded_attempt(
    context: &mut NodeContext,
    shard: ShardIndex,
    instance: InstanceIndex,
    job: &RecordedJob,
    task: u32,
) -> Attempt {
    let RecordedJob(id, team, cpus, gpus, memory_gb) = job;
    let teams = &context.platform.cluster.teams;
    let team = teams.iter().position(|known| known.name == *team);
    Attempt {
        // A job that is not in memory is final, but its tasks occupy their machines and their
        // team's quota until they are proven gone.
        job: context.job_index_or_lookup(id),
        task,
        shard,
        instance: Some(instance),
        may_bind: false,
        evidence: Evidence::Record,
        is_wanted: true,
        phase: ReportedPhase::Bound,
        demand: Resources { cpus: *cpus, gpus: *gpus, memory_gb: *memory_gb },
        team,
        ran_ms: 0,
        first_named_in: None,
    }
}

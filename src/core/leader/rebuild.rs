//! What a new leader starts from: the records, and what they say of jobs, of
//! attempts and of the fleet.

use super::attempts::AttemptView;
use super::progress::ProgressSegment;
use super::{FleetRecord, Leader, LeaderCall, Loading};
use crate::core::common::context::NodeContext;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{Resources, ShardIndex};
use crate::wire::peer::ReportedPhase;
use crate::wire::store::{PlacementRecord, RecordedMachine};
use woadlever_recovery::disposition::{AttemptDisposition, TaskStatus};

impl Leader {
    pub(super) fn load(&mut self, context: &mut NodeContext) {
        if context.clock.now() < self.load_retry {
            return;
        }
        for i in 0..3 {
            if self.loading[i] != Loading::Start {
                continue;
            }
            self.loading[i] = Loading::Busy;
            match i {
                0 => self.list(context, LeaderCall::Places, "place/", None),
                1 => self.list(context, LeaderCall::Progress, "progress/", None),
                _ => context.send_store_request(
                    StoreCallOwner::Leader(LeaderCall::Fleet),
                    StoreRequest::Get("fleet".into()),
                ),
            }
        }
        if self.loading.iter().all(|l| *l == Loading::Done) {
            self.is_active = true;
            self.activated_at = context.clock.now();
            for ix in context.jobs.indices() {
                self.follow_job(context, ix);
            }
            // What is left belongs to final jobs that are not in memory.
            for id in self.progress.keys() {
                context.job_index_or_lookup(id);
            }
            context.jobs.clear_changed();
            self.settle_inherited();
            tracing::info!(
                term = self.term,
                jobs = self.jobs.len(),
                attempts = self.attempts.len(),
                took_ms = context.clock.now() - self.since,
                "leader has read the records"
            );
        }
    }

    pub(super) fn list(
        &mut self,
        context: &mut NodeContext,
        call: LeaderCall,
        prefix: &str,
        since: Option<String>,
    ) {
        let prefix = prefix.to_string();
        context.send_store_request(
            StoreCallOwner::Leader(call),
            StoreRequest::List { prefix, since, most: 1000 },
        );
    }

    /// What the records list is taken over, unless it is done.
    pub(super) fn settle_inherited(&mut self) {
        self.attempts.drop_superseded();
        for a in self.attempts.values_mut() {
            let job = self.jobs.get_mut(&a.job).filter(|job| !job.is_away());
            let is_done = job.as_ref().is_some_and(|job| job.done.contains(a.task));
            let task = TaskStatus { job_is_live: job.is_some(), is_done };
            a.is_wanted = AttemptDisposition::of_recorded(task) == AttemptDisposition::Keep;
            if let Some(job) = job {
                job.issued.insert(a.task);
            }
        }
    }

    pub(super) fn take_placement_record(
        &mut self,
        context: &mut NodeContext,
        key: &str,
        rec: PlacementRecord,
    ) {
        let Some(shard) = key.split('/').nth(1) else { return };
        let Some(b) = context.shards.iter().position(|b| b.name == shard) else { return };
        let zone = context.shards[b].zone.clone();
        for m in &rec.machines {
            let type_name = rec.types.get(m.1 as usize).map_or("", String::as_str);
            let ix =
                self.fleet.find_or_add(context, &m.0, type_name, &zone, m.is(RecordedMachine::SPOT));
            if let Some(known) = self.fleet.machines.get_mut(ix) {
                known.cordoned |= m.is(RecordedMachine::CORDONED);
                known.confirmed = true;
                known.recorded |= !m.3.is_empty();
            }
            for (job, task, id) in m.tasks(rec.base) {
                let Some(j) = rec.jobs.get(job) else { continue };
                // A job not in memory is final, but its tasks still use their machines
                // and their team's share until they are proven gone.
                let job = context.job_index_or_lookup(&j.0);
                self.attempts.insert(
                    id,
                    AttemptView {
                        job,
                        task,
                        shard: ShardIndex::at(b),
                        machine: Some(ix),
                        may_bind: false,
                        is_wanted: true,
                        state: ReportedPhase::Bound,
                        demand: Resources { cpus: j.2, gpus: j.3, mem: j.4 },
                        team: context.platform.cluster.teams.iter().position(|t| t.name == j.1),
                        ran_ms: 0,
                        first_named_in: None,
                    },
                );
            }
        }
    }

    pub(super) fn on_load(&mut self, context: &mut NodeContext, i: usize, result: StoreResponse) {
        match result {
            StoreResponse::Page(p) => {
                let last = p.items.last().map(|i| i.key.clone());
                for item in p.items {
                    if i == 0 {
                        match item.value.decode() {
                            Ok(rec) => self.take_placement_record(context, &item.key, rec),
                            Err(e) => tracing::error!(key = item.key, %e, "unreadable record"),
                        }
                    } else {
                        let Some((id, segment)) = ProgressSegment::of_key(&item.key) else { continue };
                        let Ok(bits) = item.value.decode::<String>() else { continue };
                        // Only ever written once the smaller limits were met.
                        self.writes_parts |= segment.is_fine();
                        let list = self.progress.entry(id.to_string()).or_default();
                        list.push((segment, bits, item.version));
                    }
                }
                if p.more && last.is_some() {
                    if i == 0 {
                        self.list(context, LeaderCall::Places, "place/", last);
                    } else {
                        self.list(context, LeaderCall::Progress, "progress/", last);
                    }
                    return;
                }
                self.loading[i] = Loading::Done;
            }
            StoreResponse::KeyValue(item) if i == 2 => {
                let rec: FleetRecord = item.value.decode().unwrap_or_default();
                self.ratios = rec.ratios;
                self.fleet.resume(context, rec.at_ms, rec.history);
                self.loading[2] = Loading::Done;
            }
            StoreResponse::NotFound if i == 2 => {
                // No window has ever begun: there is no fleet to wait for.
                self.fleet.start_without_predecessor(context);
                self.loading[2] = Loading::Done;
            }
            _ => {
                self.loading[i] = Loading::Start;
                self.load_retry = context.clock.now() + context.jitter(200);
            }
        }
    }
}

//! Admission: rounds of decisions that take whatever has gathered.
//!
//! A round looks at all waiting work, in the order of priority, guarantee and
//! nearness of deadline, and grants what fits into quota and free room. Its
//! batch is as wide as the backlog; what holds it back is room, not a count.

use super::leader::Leader;
use super::model::{JobOrder, Res, Spec};
use super::shared::Shared;
use super::window::{allowed, fit_score};
use crate::config::Objective;
use crate::wire::peer::HaveState;
use std::collections::HashMap;

/// Grants of one round; the next one follows at once.
const MAX_GRANTS: usize = 400;
/// Tasks stopped to make room in one round.
const MAX_STOPS: usize = 6;
/// A job that no aim speaks of is to be started this long after its arrival.
const DUE_WITHOUT_AIM_S: f64 = 60.0;

/// Free room of one machine, as far as the leader knows.
#[derive(Debug, Clone)]
pub struct Room {
    pub machine: u32,
    pub block: u32,
    pub kind: usize,
    pub spot: bool,
    pub zone: String,
    pub free: Res,
    pub total: Res,
}

impl Leader {
    /// Use per team by everything that may be on a machine.
    pub fn team_use(&self, sh: &Shared) -> Vec<Res> {
        let mut used = vec![Res::default(); sh.cfg.cluster.teams.len()];
        for a in self.attempts.values().filter(|a| a.counts()) {
            if let Some(u) = a.team.and_then(|t| used.get_mut(t)) {
                u.add(&a.need);
            }
        }
        used
    }

    /// Machines that may get tasks now, with what is free on them.
    pub fn rooms(&self, sh: &Shared) -> Vec<Room> {
        let mut used: HashMap<u32, Res> = HashMap::new();
        for a in self.attempts.values().filter(|a| a.counts()) {
            if let Some(m) = a.machine {
                used.entry(m).or_default().add(&a.need);
            }
        }
        let mut out = Vec::new();
        for (ix, m) in &self.fleet.machines {
            let Some(b) = self.blocks.get(m.block as usize) else { continue };
            if !b.shown || !m.takes_tasks(sh.now) {
                continue;
            }
            let Some(t) = sh.types.get(m.kind) else { continue };
            let mut free = t.room;
            if let Some(u) = used.get(ix) {
                free.sub(u);
            }
            out.push(Room {
                machine: *ix,
                block: m.block,
                kind: m.kind,
                spot: m.spot,
                zone: m.zone.clone(),
                free,
                total: t.room,
            });
        }
        out
    }

    /// Jobs with something to run, most pressing first.
    pub fn order(&mut self, sh: &Shared) -> Vec<u32> {
        let mut by_age: Vec<(u64, u32)> = self.jobs.iter().map(|(ix, j)| (j.spec.at_ms, *ix)).collect();
        by_age.sort_unstable();
        let mut sums = vec![Res::default(); sh.cfg.cluster.teams.len()];
        let mut within: HashMap<u32, bool> = HashMap::new();
        for (_, ix) in by_age {
            let j = &self.jobs[&ix];
            let t = &sh.cfg.cluster.teams[j.team];
            let mut need = j.spec.need();
            let n = f64::from(j.spec.tasks - j.done.len());
            need.cpus *= n;
            need.gpus *= n;
            let sum = &mut sums[j.team];
            sum.add(&need);
            within.insert(ix, sum.cpus <= t.cpus + 1e-6 && sum.gpus <= t.gpus + 1e-6);
        }
        let now = sh.now;
        let mut list: Vec<(JobOrder, u32)> = Vec::new();
        let wall = sh.wall;
        for (ix, j) in &mut self.jobs {
            if j.hold_until > now || j.peek().is_none() {
                continue;
            }
            let ratio = self.ratios.get(&j.spec.class).copied().unwrap_or(1.0);
            let run_s = j.spec.estimate_s * ratio;
            let age_s = wall.saturating_sub(j.spec.at_ms) as f64 / 1000.0;
            let next = next_start(&sh.cfg.cluster.objectives, &j.spec, within[ix], run_s, age_s);
            j.within = within[ix];
            let order = JobOrder {
                priority: std::cmp::Reverse(j.spec.priority),
                late: next.is_none(),
                slack_ms: (next.unwrap_or(-age_s) * 1000.0) as i64,
            };
            list.push((order, *ix));
        }
        list.sort();
        list.into_iter().map(|(_, ix)| ix).collect()
    }

    pub fn round(&mut self, sh: &mut Shared) {
        if sh.types.is_empty() {
            return;
        }
        let order = self.order(sh);
        let mut rooms = self.rooms(sh);
        let mut used = self.team_use(sh);
        let mut granted = 0;
        let mut left: Vec<(u32, u32)> = Vec::new();
        for ix in order {
            let Some(j) = self.jobs.get(&ix) else { continue };
            let spec = j.spec.clone();
            let team = &sh.cfg.cluster.teams[j.team];
            let need = spec.need();
            let mut quota = quota_tasks(team, &used[j.team], &need);
            let team_ix = j.team;
            let mut zones = Zones::of(self, ix, &spec);
            while quota > 0 && granted < MAX_GRANTS {
                let Some(task) = self.jobs.get_mut(&ix).and_then(|j| j.peek()) else { break };
                let Some(r) = best_room(sh, &mut rooms, &spec, &zones) else { break };
                if let Some(j) = self.jobs.get_mut(&ix) {
                    j.take();
                }
                r.free.sub(&need);
                zones.add(&r.zone);
                let (machine, block) = (r.machine, r.block);
                used[team_ix].add(&need);
                self.new_attempt(ix, task, machine, block);
                quota -= 1;
                granted += 1;
            }
            if let Some(j) = self.jobs.get(&ix) {
                let n = j.waiting(quota.min(2000));
                if n > 0 {
                    left.push((ix, n));
                }
            }
        }
        if granted > 0 {
            tracing::debug!(granted, waiting = left.len(), "granted");
        }
        if granted >= MAX_GRANTS {
            self.round_due = true;
        }
        self.preempt(sh, &rooms, &left, used);
        self.spread_waiting(sh, &rooms, &left);
        self.fleet.waiting = left;
    }

    /// Makes room for work that has waited for long: lower priorities give way,
    /// and what other teams run beyond their guarantee gives way to work
    /// within one. Stops what loses least, little at a time, and nothing
    /// while earlier stops are still under way.
    fn preempt(&mut self, sh: &Shared, rooms: &[Room], left: &[(u32, u32)], mut used: Vec<Res>) {
        if sh.now < self.preempt_at || self.attempts.values().any(|a| !a.want && a.counts()) {
            return;
        }
        let mut budget = MAX_STOPS;
        for (ix, _) in left {
            let Some(j) = self.jobs.get(ix) else { continue };
            let age_s = sh.wall.saturating_sub(j.spec.at_ms) as f64 / 1000.0;
            if budget == 0 || age_s < sh.op.preempt_after_s {
                continue;
            }
            let (spec, team, within) = (j.spec.clone(), j.team, j.within);
            let need = spec.need();
            let zones = Zones::of(self, *ix, &spec);
            let mut best: Option<(u64, Vec<u64>)> = None;
            for r in rooms {
                let Some(t) = sh.types.get(r.kind) else { continue };
                if !allowed(&spec, &t.name, &r.zone, r.spot)
                    || !zones.allows(&r.zone)
                    || !need.fits(&r.total)
                {
                    continue;
                }
                let mut victims: Vec<(u64, u64)> = self
                    .attempts
                    .iter()
                    .filter(|(_, a)| a.machine == Some(r.machine) && a.want && !a.bind && a.counts())
                    .filter_map(|(id, a)| {
                        let v = self.jobs.get(&a.job)?;
                        let lower = v.spec.priority < spec.priority;
                        let beyond = within
                            && v.team != team
                            && used[v.team].cpus - a.need.cpus >= sh.cfg.cluster.teams[v.team].cpus;
                        let lost = if v.spec.checkpoint_s > 0.0 { 1_000 } else { a.ran_ms + 2_000 };
                        (lower || beyond).then_some((lost, *id))
                    })
                    .collect();
                victims.sort_unstable();
                let (mut free, mut cost, mut list) = (r.free, 0, Vec::new());
                for (lost, id) in victims {
                    if need.fits(&free) || list.len() >= budget {
                        break;
                    }
                    free.add(&self.attempts[&id].need);
                    cost += lost;
                    list.push(id);
                }
                let better = best.as_ref().is_none_or(|(c, _)| cost < *c);
                if need.fits(&free) && !list.is_empty() && better {
                    best = Some((cost, list));
                }
            }
            for id in best.map(|(_, l)| l).unwrap_or_default() {
                let Some(a) = self.attempts.get_mut(&id) else { continue };
                a.want = false;
                self.blocks[a.block as usize].dirty = true;
                if let Some(u) = a.team.and_then(|t| used.get_mut(t)) {
                    u.sub(&a.need);
                }
                budget -= 1;
                self.preempt_at = sh.now + 1_000;
                tracing::debug!(job = sh.job_names.name(a.job), task = a.task, "stopped to make room");
            }
        }
    }

    /// Names the tasks that fit no free room to the blocks whose machines
    /// could take them, so that the holders count them in their projection.
    fn spread_waiting(&mut self, sh: &Shared, rooms: &[Room], left: &[(u32, u32)]) {
        let mut lists: Vec<Vec<(u32, u32)>> = vec![Vec::new(); self.blocks.len()];
        for &(ix, n) in left {
            let Some(j) = self.jobs.get(&ix) else { continue };
            let mut able = vec![0u32; self.blocks.len()];
            for r in rooms {
                let name = sh.types.get(r.kind).map_or("", |t| t.name.as_str());
                if allowed(&j.spec, name, &r.zone, r.spot) && j.spec.need().fits(&r.total) {
                    able[r.block as usize] += 1;
                }
            }
            let sum: u32 = able.iter().sum();
            if sum == 0 {
                continue;
            }
            let mut rest = n;
            for (b, a) in able.iter().enumerate() {
                let part = (n * a).div_ceil(sum).min(rest);
                if part > 0 {
                    lists[b].push((ix, part));
                    rest -= part;
                }
            }
        }
        for (b, list) in lists.into_iter().enumerate() {
            if self.blocks[b].waiting != list {
                self.blocks[b].waiting = list;
                // Not pressing: goes along with the next picture.
            }
        }
    }
}

/// Seconds until the next aim for which the job can still be started in time;
/// none when all are missed. Serving work that is late already before work
/// that can still make it would only make both late.
fn next_start(
    objectives: &[Objective],
    spec: &Spec,
    within: bool,
    run_s: f64,
    age_s: f64,
) -> Option<f64> {
    let own = objectives.iter().filter(|o| o.class.as_ref().is_none_or(|c| *c == spec.class));
    let mut best: Option<f64> = None;
    let mut any = false;
    for o in own {
        let at = match o.kind.as_str() {
            "deadline" => spec.deadline_s.map(|d| d * o.times.unwrap_or(1.0) - run_s),
            "finished" => o.within_s.map(|w| w - run_s),
            "wait" => o.within_s,
            "guarantee" if within => o.within_s,
            _ => None,
        };
        let Some(at) = at else { continue };
        any = true;
        let left = at - age_s;
        if left >= 0.0 && best.is_none_or(|b| left < b) {
            best = Some(left);
        }
    }
    if any { best } else { Some(DUE_WITHOUT_AIM_S - age_s) }
}

/// How many more tasks the team's limit allows. A limit of 0 means none.
pub fn quota_tasks(team: &crate::config::Team, used: &Res, need: &Res) -> u32 {
    let limit = Res { cpus: team.cpus_max - used.cpus, gpus: team.gpus_max - used.gpus, mem: f64::MAX };
    need.times_in(&limit)
}

/// Where a job's tasks are, for the rules on zones.
pub struct Zones {
    one: bool,
    most: Option<u32>,
    counts: HashMap<String, u32>,
}

impl Zones {
    pub fn of(l: &Leader, ix: u32, spec: &Spec) -> Zones {
        let mut z = Zones {
            one: spec.one_zone,
            most: spec.spread.then(|| spec.tasks.div_ceil(2)),
            counts: HashMap::new(),
        };
        if z.one || z.most.is_some() {
            for a in l.attempts.values().filter(|a| a.job == ix && a.state != HaveState::Done) {
                if let Some(m) = a.machine.and_then(|m| l.fleet.machines.get(&m)) {
                    z.add(&m.zone);
                }
            }
        }
        z
    }

    pub fn add(&mut self, zone: &str) {
        if self.one || self.most.is_some() {
            *self.counts.entry(zone.to_string()).or_default() += 1;
        }
    }

    pub fn allows(&self, zone: &str) -> bool {
        if self.one && !self.counts.is_empty() && !self.counts.contains_key(zone) {
            return false;
        }
        self.most.is_none_or(|m| self.counts.get(zone).copied().unwrap_or(0) < m)
    }
}

fn best_room<'a>(
    sh: &Shared,
    rooms: &'a mut [Room],
    spec: &Spec,
    zones: &Zones,
) -> Option<&'a mut Room> {
    let need = spec.need();
    let mut best: Option<(f64, usize)> = None;
    for (i, r) in rooms.iter().enumerate() {
        let Some(t) = sh.types.get(r.kind) else { continue };
        if !need.fits(&r.free) || !allowed(spec, &t.name, &r.zone, r.spot) || !zones.allows(&r.zone) {
            continue;
        }
        let score = fit_score(&need, &r.free, &r.total, spec.spot && !r.spot, true);
        if best.is_none_or(|(s, _)| score < s) {
            best = Some((score, i));
        }
    }
    best.map(|(_, i)| &mut rooms[i])
}

//! Admission: scheduling cycles of decisions that take whatever has gathered.
//!
//! A scheduling cycle looks at all waiting work, in the order of priority, guarantee and
//! nearness of deadline, and grants what fits into quota and free room. Its
//! batch is as wide as the backlog; what holds it back is room, not a count.

use super::Leader;
use super::live_jobs::LiveJob;
use super::pipelines::Inherited;
use crate::config::Objective;
use crate::core::common::model::{JobOrder, Res, Spec};
use crate::core::common::shared::Shared;
use crate::core::common::window::{allowed, fit_score};
use crate::wire::peer::ReportedPhase;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;

/// Grants of one scheduling cycle; the next one follows at once.
const MAX_GRANTS: usize = 400;
/// Tasks stopped to make room in one scheduling cycle.
const MAX_STOPS: usize = 6;
/// Jobs that one scheduling cycle looks at for it.
const MAX_LOOKS: usize = 16;
/// Tasks that a starving job gets before all others in one scheduling cycle.
const FIRST_TASKS: u32 = 2;
/// In one of so many scheduling cycles the longest waiting job comes first.
const OLDEST_EVERY: u64 = 8;
/// A job that no aim speaks of is to be started this long after its arrival.
const DUE_WITHOUT_AIM_S: f64 = 60.0;

/// Machines that are alike to a job: same type, zone and kind.
#[derive(Debug, Clone)]
pub struct Class {
    pub kind: usize,
    pub zone: String,
    pub spot: bool,
    pub total: Res,
    rooms: Vec<usize>,
    /// No room of this class has more free than this.
    most: Res,
}

/// Free room of one machine, as far as the leader knows.
#[derive(Debug, Clone)]
pub struct Room {
    pub machine: u32,
    pub block: u32,
    pub class: usize,
    pub free: Res,
}

/// All rooms by class, so that a job looks at what it may use and nothing
/// else: with thousands of machines full, most jobs look at no room at all.
#[derive(Debug, Clone, Default)]
pub struct Rooms {
    pub classes: Vec<Class>,
    pub list: Vec<Room>,
}

impl Rooms {
    /// The class of machines of a type, zone and kind.
    pub fn class_of(&mut self, kind: usize, zone: &str, spot: bool, total: Res) -> usize {
        let found = self.classes.iter().position(|c| c.kind == kind && c.spot == spot && c.zone == zone);
        found.unwrap_or_else(|| {
            let most = Res::default();
            let zone = zone.to_string();
            self.classes.push(Class { kind, zone, spot, total, rooms: Vec::new(), most });
            self.classes.len() - 1
        })
    }

    /// Adds a room (machine, block, free) to its class.
    pub fn push_to(&mut self, class: usize, room: (u32, u32, Res)) {
        let (machine, block, free) = room;
        let c = &mut self.classes[class];
        c.rooms.push(self.list.len());
        c.most = c.most.max(&free);
        self.list.push(Room { machine, block, class, free });
    }

    /// Adds a room (machine, block, free).
    pub fn push(&mut self, kind: usize, zone: &str, spot: bool, total: Res, room: (u32, u32, Res)) {
        let class = self.class_of(kind, zone, spot, total);
        self.push_to(class, room);
    }

    /// Rooms with place for one task, of the classes that will do.
    pub fn with_place(&mut self, need: &Res, will_do: impl Fn(&Class) -> bool) -> Vec<usize> {
        let mut out = Vec::new();
        for c in &mut self.classes {
            if !need.fits(&c.most) || !will_do(c) {
                continue;
            }
            c.most = Res::default();
            for &i in &c.rooms {
                let free = &self.list[i].free;
                c.most = c.most.max(free);
                if need.fits(free) {
                    out.push(i);
                }
            }
        }
        out
    }

    pub fn class(&self, room: usize) -> &Class {
        &self.classes[self.list[room].class]
    }
}

/// Whether a job may use machines of this class.
pub fn may_use(shared: &Shared, spec: &Spec, c: &Class) -> bool {
    shared.types.get(c.kind).is_some_and(|t| allowed(spec, &t.name, &c.zone, c.spot))
        && spec.need().fits(&c.total)
}

impl Leader {
    /// Use per team by everything that may be on a machine.
    pub fn team_use(&self, shared: &Shared) -> Vec<Res> {
        let mut used = vec![Res::default(); shared.cfg.cluster.teams.len()];
        for a in self.attempts.values().filter(|a| a.counts()) {
            if let Some(u) = a.team.and_then(|t| used.get_mut(t)) {
                u.add(&a.need);
            }
        }
        used
    }

    /// Machines that may get tasks now, with what is free on them.
    pub fn rooms(&self, shared: &Shared) -> Rooms {
        let mut used: FxHashMap<u32, Res> = FxHashMap::default();
        for a in self.attempts.values().filter(|a| a.counts()) {
            if let Some(m) = a.machine {
                used.entry(m).or_default().add(&a.need);
            }
        }
        let mut out = Rooms::default();
        for (ix, m) in self.fleet.machines.iter() {
            let Some(b) = self.blocks.get(m.block as usize) else { continue };
            if !b.shown || !m.takes_tasks(shared) {
                continue;
            }
            let Some(t) = shared.types.get(m.kind) else { continue };
            let mut free = t.room;
            if let Some(u) = used.get(&ix) {
                free.sub(u);
            }
            out.push(m.kind, &m.zone, m.spot, t.room, (ix, m.block, free));
        }
        out
    }

    /// Jobs with something to run, most pressing first.
    pub fn order(&mut self, shared: &Shared) -> Vec<u32> {
        let here = self.jobs.iter().filter(|(_, j)| !j.is_away());
        // Jobs of other cells come after a team's own.
        let mut by_age: Vec<(bool, u64, u32)> =
            here.map(|(ix, j)| (j.is_hosted(), j.ready_ms, *ix)).collect();
        by_age.sort_unstable();
        let mut sums = vec![Res::default(); shared.cfg.cluster.teams.len()];
        let mut within: FxHashMap<u32, bool> = FxHashMap::default();
        for (_, _, ix) in by_age {
            let j = &self.jobs[&ix];
            let t = &shared.cfg.cluster.teams[j.team];
            let mut need = j.spec.need();
            let n = f64::from(j.spec.tasks - j.done.len());
            need.cpus *= n;
            need.gpus *= n;
            let sum = &mut sums[j.team];
            sum.add(&need);
            within.insert(ix, sum.cpus <= t.cpus + 1e-6 && sum.gpus <= t.gpus + 1e-6);
        }
        let heirs = self.heirs(shared);
        let now = shared.now;
        let mut list: Vec<(JobOrder, u32)> = Vec::new();
        let wall = shared.wall;
        for (ix, j) in &mut self.jobs {
            let is_paused = j.is_hosted() && shared.must_stop(*ix);
            if j.hold_until > now || !j.may_be_granted() || is_paused || j.peek().is_none() {
                continue;
            }
            let ratio = self.ratios.get(&j.spec.class).copied().unwrap_or(1.0);
            let run_s = j.spec.estimate_s * ratio;
            let age_s = wall.saturating_sub(j.ready_ms) as f64 / 1000.0;
            let clock =
                Clock { age_s, waited_s: j.ready_ms.saturating_sub(j.spec.at_ms) as f64 / 1000.0 };
            let next = next_start(&shared.cfg.cluster.objectives, &j.spec, clock, within[ix], run_s);
            j.within = within[ix];
            // What a pipeline's end needs in time, each stage needs the earlier.
            let heir = heirs.get(ix);
            j.priority = heir.map_or(j.spec.priority, |h| h.priority);
            let by = heir.and_then(|h| h.finish_by).map(|by| by - wall as f64 / 1000.0 - run_s);
            let next = match (next, by.filter(|by| *by >= 0.0)) {
                (Some(own), Some(by)) => Some(own.min(by)),
                (own, by) => own.or(by),
            };
            let order = JobOrder {
                priority: std::cmp::Reverse(j.priority),
                late: next.is_none(),
                slack_ms: (next.unwrap_or(-age_s) * 1000.0) as i64,
            };
            list.push((order, *ix));
        }
        list.sort();
        list.into_iter().map(|(_, ix)| ix).collect()
    }

    /// What jobs with others behind them inherit from those.
    fn heirs(&self, shared: &Shared) -> FxHashMap<u32, Inherited> {
        let mut known = FxHashMap::default();
        for ix in self.jobs.keys().filter(|ix| !shared.job(**ix).links.after.is_empty()) {
            self.inherited(shared, *ix, &mut known);
        }
        known
    }

    pub fn run_cycle(&mut self, shared: &mut Shared) {
        if shared.types.is_empty() {
            return;
        }
        let order = self.order(shared);
        let mut rooms = self.rooms(shared);
        let mut used = self.team_use(shared);
        let mut granted = 0;
        let mut left: Vec<(u32, u32)> = Vec::new();
        let starving = self.starving(shared, &order);
        let order: Vec<u32> = starving.iter().chain(order.iter()).copied().collect();
        for (place, ix) in order.into_iter().enumerate() {
            let Some(j) = self.jobs.get(&ix) else { continue };
            let spec = j.spec.clone();
            let team = &shared.cfg.cluster.teams[j.team];
            let need = spec.need();
            let mut quota = quota_tasks(team, &used[j.team], &need);
            let team_ix = j.team;
            let mut zones = Zones::of(shared, self, ix, &spec);
            // Best fit: a room that takes a task is the better fit for the next.
            let mut places = best_rooms(shared, &mut rooms, &spec, quota).into_iter().peekable();
            // A starving job gets its first tasks before all others; its turn
            // with the rest of them comes in the ordinary order.
            let first = place < starving.len();
            if first {
                quota = quota.min(FIRST_TASKS);
            }
            let before = granted;
            while quota > 0 && granted < MAX_GRANTS {
                let Some(task) = self.jobs.get_mut(&ix).and_then(|j| j.peek()) else { break };
                let Some(&i) = places.peek() else { break };
                let zone = &rooms.classes[rooms.list[i].class].zone;
                let r = &mut rooms.list[i];
                if !need.fits(&r.free) || !zones.allows(zone) {
                    places.next();
                    continue;
                }
                if let Some(j) = self.jobs.get_mut(&ix) {
                    j.take();
                }
                r.free.sub(&need);
                zones.add(zone);
                let (machine, block) = (r.machine, r.block);
                used[team_ix].add(&need);
                self.new_attempt(ix, task, machine, block);
                quota -= 1;
                granted += 1;
            }
            if first {
                if granted == before {
                    reserve(shared, &mut rooms, &spec, &zones);
                }
                continue;
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
            self.cycle_due = true;
        }
        self.preempt(shared, &rooms, &left, used);
        self.spread_waiting(shared, &rooms, &left);
        self.fleet.waiting = left;
    }

    /// Jobs that have waited for long without a single task on a machine, the
    /// longest first, one of a team so that none crowds out the others; and on
    /// every few scheduling cycles the longest waiting of all. The order by aims puts late
    /// work and low priorities last without end; this brings each job to its
    /// start, and then on, whatever the burst.
    fn starving(&mut self, shared: &Shared, order: &[u32]) -> Vec<u32> {
        self.cycles += 1;
        let age_s = |j: &LiveJob| shared.wall.saturating_sub(j.ready_ms) as f64 / 1000.0;
        let served = self.served();
        let mut old: Vec<(u64, u32)> = order
            .iter()
            .filter_map(|ix| Some((self.jobs.get(ix)?, *ix)))
            .filter(|(j, _)| age_s(j) >= shared.op.starve_after_s)
            .map(|(j, ix)| (j.ready_ms, ix))
            .collect();
        old.sort_unstable();
        let oldest = old.first().map(|(_, ix)| *ix).filter(|_| self.cycles.is_multiple_of(OLDEST_EVERY));
        let unserved =
            |ix: &u32| !served.contains(ix) && self.jobs.get(ix).is_some_and(|j| j.done.is_empty());
        let mut teams: FxHashSet<usize> = FxHashSet::default();
        let mut out: Vec<u32> = old
            .iter()
            .map(|(_, ix)| *ix)
            .filter(unserved)
            .filter(|ix| teams.insert(self.jobs[ix].team))
            .collect();
        out.extend(oldest.filter(|ix| !out.contains(ix)));
        out
    }

    /// Jobs with a task that is or may be on a machine.
    fn served(&self) -> FxHashSet<u32> {
        self.attempts.values().filter(|a| a.counts()).map(|a| a.job).collect()
    }

    /// Makes room for work that has waited for long: lower priorities give way,
    /// and what other teams run beyond their guarantee gives way to work
    /// within one. Stops what loses least, little at a time, and nothing
    /// while earlier stops are still under way.
    fn preempt(&mut self, shared: &Shared, rooms: &Rooms, left: &[(u32, u32)], mut used: Vec<Res>) {
        if shared.now < self.preempt_at || self.attempts.values().any(|a| !a.want && a.counts()) {
            return;
        }
        let served = self.served();
        let mut budget = MAX_STOPS;
        let age_s = |j: &LiveJob| shared.wall.saturating_sub(j.ready_ms) as f64 / 1000.0;
        let old: Vec<u32> = left
            .iter()
            .filter(|(ix, _)| self.jobs.get(ix).is_some_and(|j| age_s(j) >= shared.op.preempt_after_s))
            .map(|(ix, _)| *ix)
            .collect();
        if old.is_empty() {
            return;
        }
        let mut there: FxHashMap<u32, Vec<u64>> = FxHashMap::default();
        for (id, a) in self.attempts.iter().filter(|(_, a)| a.want && !a.bind && a.counts()) {
            if let Some(m) = a.machine {
                there.entry(m).or_default().push(id);
            }
        }
        // Under a backlog of hundreds of old jobs each scheduling cycle looks at some,
        // the next scheduling cycle at others.
        let skip = if old.len() > MAX_LOOKS { self.cycles as usize * MAX_LOOKS % old.len() } else { 0 };
        for ix in old.iter().cycle().skip(skip).take(old.len().min(MAX_LOOKS)) {
            let Some(j) = self.jobs.get(ix) else { continue };
            if budget == 0 {
                break;
            }
            let (spec, team, within) = (j.spec.clone(), j.team, j.within);
            // Priority alone stops others only for a first start: two old jobs
            // would go on stopping each other.
            let unserved = !served.contains(ix) && j.done.is_empty();
            let need = spec.need();
            let zones = Zones::of(shared, self, *ix, &spec);
            let mut best: Option<(u64, Vec<u64>)> = None;
            let will_do: Vec<bool> = rooms
                .classes
                .iter()
                .map(|c| may_use(shared, &spec, c) && zones.allows(&c.zone))
                .collect();
            for r in rooms.list.iter().filter(|r| will_do[r.class]) {
                let mut victims: Vec<(u64, u64)> = there
                    .get(&r.machine)
                    .into_iter()
                    .flatten()
                    .filter_map(|id| {
                        let a = self.attempts.get(*id).filter(|a| a.want)?;
                        let v = self.jobs.get(&a.job)?;
                        let lower = unserved && v.priority < j.priority;
                        let beyond = within
                            && v.team != team
                            && used[v.team].cpus - a.need.cpus >= shared.cfg.cluster.teams[v.team].cpus;
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
                    if let Some(a) = self.attempts.get(id) {
                        free.add(&a.need);
                    }
                    cost += lost;
                    list.push(id);
                }
                let better = best.as_ref().is_none_or(|(c, _)| cost < *c);
                if need.fits(&free) && !list.is_empty() && better {
                    best = Some((cost, list));
                }
            }
            for id in best.map(|(_, l)| l).unwrap_or_default() {
                let Some(a) = self.attempts.get_mut(id) else { continue };
                a.want = false;
                self.blocks[a.block as usize].dirty = true;
                if let Some(u) = a.team.and_then(|t| used.get_mut(t)) {
                    u.sub(&a.need);
                }
                budget -= 1;
                self.preempt_at = shared.now + 1_000;
                tracing::debug!(job = shared.jobs.id(a.job), task = a.task, "stopped to make room");
            }
        }
    }

    /// Names the tasks that fit no free room to the blocks whose machines
    /// could take them, so that the holders count them in their projection.
    fn spread_waiting(&mut self, shared: &Shared, rooms: &Rooms, left: &[(u32, u32)]) {
        let mut lists: Vec<Vec<(u32, u32)>> = vec![Vec::new(); self.blocks.len()];
        let mut counts: BTreeMap<(usize, u32), u32> = BTreeMap::new();
        for r in &rooms.list {
            *counts.entry((r.class, r.block)).or_default() += 1;
        }
        for &(ix, n) in left {
            let Some(j) = self.jobs.get(&ix) else { continue };
            let will_do: Vec<bool> = rooms.classes.iter().map(|c| may_use(shared, &j.spec, c)).collect();
            let mut able = vec![0u32; self.blocks.len()];
            for ((class, block), n) in &counts {
                if will_do[*class] {
                    able[*block as usize] += n;
                }
            }
            let sum: u32 = able.iter().sum();
            if sum == 0 {
                continue;
            }
            let mut rest = n;
            for (b, a) in able.iter().enumerate() {
                let part = (u64::from(n) * u64::from(*a)).div_ceil(u64::from(sum)) as u32;
                let part = part.min(rest);
                if part > 0 {
                    lists[b].push((ix, part));
                    rest -= part;
                }
            }
        }
        for (b, list) in lists.into_iter().enumerate() {
            if self.blocks[b].waiting != list {
                self.blocks[b].waiting = list;
                // Not pressing: goes along with the next state message.
            }
        }
    }
}

/// Keeps the machine with the most room for a starving job that fits
/// nowhere: small tasks would refill it for ever.
fn reserve(shared: &Shared, rooms: &mut Rooms, spec: &Spec, zones: &Zones) {
    let will_do: Vec<bool> =
        rooms.classes.iter().map(|c| may_use(shared, spec, c) && zones.allows(&c.zone)).collect();
    let free = |r: &Room| {
        let total = rooms.classes[r.class].total;
        1.0 - r.free.share_of(&total)
    };
    let best = (0..rooms.list.len())
        .filter(|i| will_do[rooms.list[*i].class])
        .min_by(|a, b| free(&rooms.list[*a]).total_cmp(&free(&rooms.list[*b])));
    let Some(r) = best.map(|i| &mut rooms.list[i]) else { return };
    r.free = Res::default();
}

/// A job's times, in seconds: since it could be started, and before that, while it
/// waited for others. A deadline counts from the submission all the same.
#[derive(Debug, Clone, Copy)]
struct Clock {
    age_s: f64,
    waited_s: f64,
}

/// Seconds until the next aim for which the job can still be started in time;
/// none when all are missed. Serving work that is late already before work
/// that can still make it would only make both late.
fn next_start(
    objectives: &[Objective],
    spec: &Spec,
    clock: Clock,
    within: bool,
    run_s: f64,
) -> Option<f64> {
    let own = objectives.iter().filter(|o| o.class.as_ref().is_none_or(|c| *c == spec.class));
    let mut best: Option<f64> = None;
    let mut any = false;
    for o in own {
        let at = match o.kind.as_str() {
            "deadline" => spec.deadline_s.map(|d| d * o.times.unwrap_or(1.0) - clock.waited_s - run_s),
            "finished" => o.within_s.map(|w| w - run_s),
            "wait" => o.within_s,
            "guarantee" if within => o.within_s,
            _ => None,
        };
        let Some(at) = at else { continue };
        any = true;
        let left = at - clock.age_s;
        if left >= 0.0 && best.is_none_or(|b| left < b) {
            best = Some(left);
        }
    }
    if any { best } else { Some(DUE_WITHOUT_AIM_S - clock.age_s) }
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
    counts: FxHashMap<String, u32>,
}

impl Zones {
    pub fn of(shared: &Shared, l: &Leader, ix: u32, spec: &Spec) -> Zones {
        let mut z = Zones {
            one: spec.one_zone,
            most: spec.spread.then(|| spec.tasks.div_ceil(2)),
            counts: FxHashMap::default(),
        };
        if z.one || z.most.is_some() {
            // By block, which lies in one zone: the machine itself may be unknown
            // to a leader that has just begun.
            for a in l.attempts.values().filter(|a| a.job == ix && a.state != ReportedPhase::Done) {
                if let Some(b) = shared.blocks.get(a.block as usize) {
                    z.add(&b.zone);
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

/// Rooms for the job's tasks, best fit first.
fn best_rooms(shared: &Shared, rooms: &mut Rooms, spec: &Spec, quota: u32) -> Vec<usize> {
    if quota == 0 {
        return Vec::new();
    }
    let need = spec.need();
    let mut scored: Vec<(f64, usize)> = rooms
        .with_place(&need, |c| may_use(shared, spec, c))
        .into_iter()
        .map(|i| {
            let c = rooms.class(i);
            let wastes = spec.spot && !c.spot;
            let score = fit_score(&need, &rooms.list[i].free, &c.total, wastes, true);
            let score = score + shared.scarcity(c.kind);
            (score, i)
        })
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    scored.into_iter().map(|(_, i)| i).collect()
}

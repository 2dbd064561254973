//! Calls to the cloud, and what their results say.

use super::machine::{Ask, InstancePhase};
use super::{
    CATALOG_EVERY_MS, CloudCall, Fleet, InstanceOffer, LIST_EVERY_MS, RETURNS_EVERY_MS,
    machine_type_label,
};
use crate::core::common::context::{MAX_RETURNS, NodeContext};
use crate::core::leader::Leader;
use crate::core::{CloudRequest, CloudResponse};
use crate::model::{InstanceIndex, Ms};
use crate::wire::cloud::{ListedMachine, RentRequest, ReturnRequest};

impl Leader {
    pub(super) fn cloud_calls(&mut self, context: &mut NodeContext) {
        let f = &mut self.fleet;
        let now = context.clock.now();
        if let Some(types) = f.catalog_save.take() {
            self.save_catalog(context, types);
            return;
        }
        if now < f.trouble_until || !f.pace.has(now, 1.0) {
            return;
        }
        let op = if !f.catalog_known && now >= f.catalog_at || now >= f.catalog_at + CATALOG_EVERY_MS {
            f.catalog_at = now + if f.catalog_known { 0 } else { 2000 };
            (CloudRequest::Catalog, CloudCall::Catalog)
        } else if let Some(r) =
            f.rents.iter_mut().find(|r| r.call.is_none() && now >= r.retry_at && r.count > 0)
        {
            let InstanceOffer { machine_type, zone, is_spot } = &r.offer;
            let rent = RentRequest {
                request: format!("r-{}-{}", self.term, r.number),
                machine_type: context.machine_types[*machine_type].name.clone(),
                zone: zone.clone(),
                spot: *is_spot,
                count: r.count,
            };
            r.call = Some(0);
            (CloudRequest::Rent(rent), CloudCall::Rent(r.number))
        } else if let Some(terminating) = f.ready_to_return(now) {
            let names = terminating
                .iter()
                .filter_map(|ix| f.machines.get(*ix))
                .map(|m| m.name.clone())
                .collect();
            for ix in &terminating {
                if let Some(m) = f.machines.get_mut(*ix) {
                    m.phase = InstancePhase::Terminating;
                }
            }
            (CloudRequest::Return(ReturnRequest { machines: names }), CloudCall::Return(terminating))
        } else if now >= f.list_at {
            f.list_at = now + 30_000;
            (CloudRequest::List { since: f.list_page.clone() }, CloudCall::List)
        } else {
            return;
        };
        f.pace.take(now, 1.0);
        let call = context.send_cloud_request(op.0);
        f.calls.insert(call, op.1);
    }

    pub fn fleet_result(&mut self, context: &mut NodeContext, call: u64, result: CloudResponse) {
        let Some(what) = self.fleet.calls.remove(&call) else { return };
        if let CloudResponse::NotExecuted = result {
            self.fleet.trouble_until = context.clock.now() + context.jitter(700);
        }
        match what {
            CloudCall::Catalog => self.on_catalog(context, result),
            CloudCall::List => self.on_list(context, result),
            CloudCall::Rent(number) => self.on_rented(context, number, result),
            CloudCall::Return(list) => {
                let ok = matches!(result, CloudResponse::Returned);
                for ix in list {
                    if !ok {
                        if let Some(m) = self.fleet.machines.get_mut(ix) {
                            m.phase = InstancePhase::Drained;
                        }
                        continue;
                    }
                    let Some(m) = self.fleet.machines.remove(ix) else { continue };
                    self.fleet.gone.insert(&m.name);
                    if let Some(b) = self.shards.get_mut(m.shard.place()) {
                        b.gone.push((m.name, context.clock.now()));
                        b.dirty = true;
                    }
                }
            }
        }
    }

    fn on_catalog(&mut self, context: &mut NodeContext, result: CloudResponse) {
        let CloudResponse::Catalog(c) = result else { return };
        self.fleet.catalog_known = true;
        self.fleet.catalog_at = context.clock.now();
        let types = c.types.clone();
        let new: Vec<crate::model::MachineType> = c.types.into_iter().map(Into::into).collect();
        let same = new.len() == context.machine_types.len()
            && new.iter().zip(context.machine_types.iter()).all(|(a, b)| {
                a.name == b.name
                    && a.capacity == b.capacity
                    && a.zones == b.zones
                    && a.boot_s == b.boot_s
            });
        if same {
            // Prices move all the time and matter to the leader alone.
            context.machine_types.merge(new);
        } else {
            self.fleet.catalog_save = Some(types);
        }
    }

    fn on_list(&mut self, context: &mut NodeContext, result: CloudResponse) {
        let f = &mut self.fleet;
        let CloudResponse::Page(p) = result else {
            f.list_at = context.clock.now() + 500;
            return;
        };
        let last = p.machines.last().map(|m| m.name.clone());
        for m in &p.machines {
            f.take_listed(context, m);
        }
        if p.more && last.is_some() {
            f.list_page = last;
            f.list_at = context.clock.now();
            return;
        }
        f.list_page = None;
        f.list_at = context.clock.now() + LIST_EVERY_MS;
        f.listed_once = true;
        let seen = std::mem::take(&mut f.list_seen);
        for (ix, m) in f.machines.iter_mut() {
            if seen.contains(&ix) {
                m.listed = true;
                m.missed = 0;
            } else if m.listed || m.recorded {
                m.missed += 1;
            }
        }
    }

    fn on_rented(&mut self, context: &mut NodeContext, number: u64, result: CloudResponse) {
        let Some(i) = self.fleet.rents.iter().position(|r| r.number == number) else { return };
        match result {
            CloudResponse::Rented(a) => {
                let r = self.fleet.rents.remove(i);
                if (a.machines.len() as u32) < r.count {
                    self.fleet.refuse(context.clock.now(), &r.offer);
                } else {
                    self.fleet.refused.remove(&r.offer);
                }
                let InstanceOffer { machine_type, zone, is_spot } = &r.offer;
                let name = context.machine_types[*machine_type].name.clone();
                let mut rented = Vec::new();
                for machine in a.machines {
                    let ix = self.fleet.find_or_add(context, &machine, &name, zone, *is_spot);
                    if let Some(m) = self.fleet.machines.get_mut(ix) {
                        m.since = m.since.min(r.at);
                        m.confirmed = true;
                        rented.push(ix);
                    }
                }
                let mut rented = rented.into_iter();
                for m in self.fleet.machines.values_mut().filter(|m| m.ask == Some(Ask::Rent(number))) {
                    m.ask = rented.next().map(Ask::Boot);
                }
            }
            CloudResponse::NoCapacity | CloudResponse::Malformed => {
                let r = self.fleet.rents.remove(i);
                tracing::info!(
                    machine_type = machine_type_label(context, r.offer.machine_type, r.offer.is_spot),
                    zone = r.offer.zone,
                    "no capacity"
                );
                self.fleet.refuse(context.clock.now(), &r.offer);
            }
            CloudResponse::NotExecuted => {
                // Nothing was rented, and what was needed then may not be
                // needed later; the next plan asks anew. But a request whose
                // outcome was unknown before must be settled by its name.
                if self.fleet.rents[i].open {
                    let wait = context.jitter(1000);
                    self.fleet.rents[i].call = None;
                    self.fleet.rents[i].retry_at = context.clock.now() + wait;
                } else {
                    self.fleet.rents.remove(i);
                }
            }
            _ => {
                let wait = context.jitter(1000);
                let r = &mut self.fleet.rents[i];
                r.call = None;
                r.open = true;
                r.retry_at = context.clock.now() + wait;
            }
        }
    }
}

impl Fleet {
    fn take_listed(&mut self, context: &NodeContext, l: &ListedMachine) {
        let ix = self.find_or_add(context, &l.name, &l.machine_type, &l.zone, l.spot);
        self.list_seen.insert(ix);
        let Some(m) = self.machines.get_mut(ix) else { return };
        m.confirmed = true;
        m.since = m.since.min(context.clock.now().saturating_sub((l.age_s.max(0.0) * 1000.0) as Ms));
        m.starting = l.state == "starting";
        if l.state == "failed" && m.phase < InstancePhase::Draining {
            tracing::info!(machine = m.name, "machine has failed");
            m.phase = InstancePhase::Draining;
        }
    }

    /// Machines that may go back, as many as one call takes. Returns wait this long
    /// for each other, as the look is at every machine.
    fn ready_to_return(&mut self, now: Ms) -> Option<Vec<InstanceIndex>> {
        if now < self.returns_at {
            return None;
        }
        self.returns_at = now + RETURNS_EVERY_MS;
        let ready = self.machines.iter().filter(|(_, m)| m.phase == InstancePhase::Drained);
        let ready: Vec<InstanceIndex> = ready.map(|(ix, _)| ix).take(MAX_RETURNS).collect();
        (!ready.is_empty()).then_some(ready)
    }
}

//! Records that the leader keeps for those after it: the catalog and the fleet.

use super::{FleetRecord, Leader, LeaderCall};
use crate::core::common::context::NodeContext;
use crate::core::common::watch_cache::catalog_key;
use crate::core::{StoreCallOwner, StoreRequest};
use crate::wire::cloud;
use crate::wire::encoded::Encoded;
use crate::wire::store::{CompareAndSwap, Mutation};

/// Machine types in as few records as the limit allows.
fn split_catalog(types: &[cloud::MachineType], limit: usize) -> Vec<Encoded> {
    let mut out: Vec<Vec<Encoded>> = vec![Vec::new()];
    let mut bytes = 2;
    for t in types {
        let value = Encoded::new(&t);
        let more = value.len() + 1;
        if bytes + more > limit && bytes > 2 {
            out.push(Vec::new());
            bytes = 2;
        }
        bytes += more;
        if let Some(last) = out.last_mut() {
            last.push(value);
        }
    }
    out.iter().map(Encoded::new).collect()
}

impl Leader {
    /// The machine types, for every user API. In several records only where one would
    /// be too long: the version before reads the first alone.
    pub fn save_catalog(&mut self, context: &mut NodeContext, types: Vec<cloud::MachineType>) {
        let state = &context.platform.cluster.state;
        let limit = if self.writes_parts { state.value_kb } else { state.today_kb };
        let records = split_catalog(&types, (limit * 1024.0) as usize);
        let changes: Vec<Mutation> = records
            .into_iter()
            .enumerate()
            .map(|(n, value)| Mutation::Put { key: catalog_key(n), value, lease: None })
            .collect();
        for some in changes.chunks(state.txn_ops.min(8)) {
            let txn = CompareAndSwap { compares: vec![self.compare_term()], mutations: some.to_vec() };
            context.send_store_request(
                StoreCallOwner::Leader(LeaderCall::SaveCatalog),
                StoreRequest::CompareAndSwap(txn),
            );
        }
    }

    pub fn save_fleet(&mut self, context: &mut NodeContext, mut rec: FleetRecord) {
        // Many kinds of machines, or hundreds of each, make the history long; a
        // record past the limit would be rejected window after window.
        let limit = context.platform.cluster.state.value_bytes();
        let too_long = |rec: &FleetRecord| serde_json::to_string(rec).map_or(0, |s| s.len()) > limit;
        while too_long(&rec) && rec.history.shorten() {}
        // Users name classes as they like; learned run times are the least loss.
        while too_long(&rec) && rec.ratios.pop_last().is_some() {}
        while too_long(&rec) && rec.counts.pop_last().is_some() {}
        let txn = CompareAndSwap {
            compares: vec![self.compare_term()],
            mutations: vec![Mutation::Put {
                key: "fleet".into(),
                value: Encoded::new(&rec),
                lease: None,
            }],
        };
        context.send_store_request(
            StoreCallOwner::Leader(LeaderCall::SaveFleet),
            StoreRequest::CompareAndSwap(txn),
        );
    }
}

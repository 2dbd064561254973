//! Writes of records that the leader keeps for others: the catalog for all user API nodes, and
//! the fleet record for later leaders.
//!
//! The fleet module calls these functions and also decides when to retry a failed write.

use super::rebuild::FLEET_KEY;
use super::{FleetRecord, Leader, LeaderCall};
use crate::core::common::context::NodeContext;
use crate::core::common::store_keys::catalog_key;
use crate::core::{StoreCallOwner, StoreRequest};
use crate::wire::cloud;
use crate::wire::encoded::Encoded;
use crate::wire::store::{CompareAndSwap, Mutation};

/// Maximum number of mutations in one write of the catalog.
const MAX_CATALOG_MUTATIONS: usize = 8;

/// Divides machine types, in order, into as few lists as possible whose JSON texts have at most
/// `limit` bytes. A type that exceeds the limit by itself gets a list of its own.
fn split_catalog(types: &[cloud::MachineType], limit: usize) -> Vec<Encoded> {
    let brackets = 2;
    let mut lists: Vec<Vec<Encoded>> = vec![Vec::new()];
    let mut list_bytes = brackets;
    for machine_type in types {
        let value = Encoded::new(&machine_type);
        let bytes_with_comma = value.len() + 1;
        if list_bytes + bytes_with_comma > limit && list_bytes > brackets {
            lists.push(Vec::new());
            list_bytes = brackets;
        }
        list_bytes += bytes_with_comma;
        if let Some(last) = lists.last_mut() {
            last.push(value);
        }
    }
    lists.iter().map(Encoded::new).collect()
}

impl Leader {
    /// Writes the machine types of the catalog. They are divided among several records only if
    /// one record would be too long, because the previous version reads only the first record.
    pub(super) fn save_catalog(&mut self, context: &mut NodeContext, types: Vec<cloud::MachineType>) {
        let state = &context.platform.cluster.state;
        let limit_kb =
            if self.are_lower_limits_in_force { state.value_kb } else { state.current_value_kb };
        let max_mutations = state.txn_ops.min(MAX_CATALOG_MUTATIONS);
        let records = split_catalog(&types, (limit_kb * 1024.0) as usize);
        let mutations: Vec<Mutation> = records
            .into_iter()
            .enumerate()
            .map(|(number, value)| Mutation::Put { key: catalog_key(number), value, lease: None })
            .collect();
        for batch in mutations.chunks(max_mutations) {
            self.send_write(context, LeaderCall::SaveCatalog, batch.to_vec());
        }
    }

    /// Writes the fleet record, shortened to the store's limit on the size of a value, as a longer
    /// record would be rejected in every window. With many machine types, or hundreds of machines
    /// of each, the history gets long.
    pub(super) fn save_fleet(&mut self, context: &mut NodeContext, mut record: FleetRecord) {
        let limit = context.platform.cluster.state.value_bytes();
        let is_too_long =
            |record: &FleetRecord| serde_json::to_string(record).map_or(0, |text| text.len()) > limit;
        while is_too_long(&record) && record.history.shorten() {}
        // Users choose the names of classes, so their number is unlimited. The learned run times
        // are the least valuable part of the record.
        while is_too_long(&record) && record.ratios.pop_last().is_some() {}
        while is_too_long(&record) && record.counts.pop_last().is_some() {}
        let value = Encoded::new(&record);
        let mutation = Mutation::Put { key: FLEET_KEY.into(), value, lease: None };
        self.send_write(context, LeaderCall::SaveFleet, vec![mutation]);
    }

    /// Sends a write that takes effect only while this leader's term lasts.
    fn send_write(&self, context: &mut NodeContext, call: LeaderCall, mutations: Vec<Mutation>) {
        let request = CompareAndSwap { compares: vec![self.compare_term()], mutations };
        context.send_store_request(StoreCallOwner::Leader(call), StoreRequest::CompareAndSwap(request));
    }
}

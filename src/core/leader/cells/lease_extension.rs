//! Extends the lease under which this cell runs the jobs of another cell.

use super::Cells;
use super::hosted_jobs::{HostedEntry, OriginState};
use super::record_writes::{CellCall, WriteState, put_if_unchanged, send_write};
use crate::core::StoreResponse;
use crate::core::common::cell_leases::KnownCellLease;
use crate::core::common::context::NodeContext;
use crate::core::common::store_keys::cell_lease_key;
use crate::core::leader::Leader;
use crate::model::Ms;
use crate::wire::encoded::Encoded;
use woadlever_cells::host::{HostRecord, ListedRecord, Listing, may_extend_lease};
use woadlever_cells::record::CellLease;

/// Minimum extension by the origin cell for which the lease is written again. It limits the cost
/// to one write every few seconds, independently of the number of jobs.
const MIN_EXTENSION_MS: Ms = 4_000;

impl Cells {
    /// Records a later end of the lease, provided that no hosted job is live any more that the
    /// message doesn't list as active.
    pub(super) fn extend_lease(
        &mut self,
        leader: &Leader,
        context: &mut NodeContext,
        origin: &OriginState,
        hosted: &[HostedEntry],
    ) {
        if !is_extension_allowed(hosted) {
            return;
        }
        let KnownCellLease { lease: known, version } = context.cell_leases.get(&origin.cell);
        let lease = CellLease { until_ms: origin.forwarded.lease_until_ms, revision: origin.revision };
        let is_later = lease.until_ms >= known.until_ms + MIN_EXTENSION_MS;
        let state = self.lease_writes.get(&origin.cell);
        let is_due = state.is_none_or(|state| state.is_due(context.clock.now()));
        if !is_later || !is_due || !context.can_write(1) {
            return;
        }
        self.lease_writes.insert(origin.cell.clone(), WriteState::InFlight);
        let key = cell_lease_key(&origin.cell);
        let write = put_if_unchanged(leader, key, version, Encoded::new(&lease));
        send_write(context, CellCall::ExtendLease { cell: origin.cell.clone(), lease }, write);
    }

    /// Handles the result of the write of a lease.
    pub(super) fn on_lease_written(
        &mut self,
        context: &mut NodeContext,
        cell: String,
        lease: CellLease,
        result: &StoreResponse,
    ) {
        if let StoreResponse::Committed { revision } = result {
            context.cell_leases.put(&cell, lease, *revision);
            self.lease_writes.remove(&cell);
        } else {
            self.lease_writes.insert(cell, WriteState::after_failure(context));
        }
    }
}

/// Whether the lease is needed, and the records agree with the origin cell's message.
fn is_extension_allowed(hosted: &[HostedEntry]) -> bool {
    let is_needed = hosted.iter().any(|entry| entry.listing == Listing::Active);
    let record = HostRecord::Live { done: 0, running: 0 };
    let listed = hosted.iter().map(|entry| ListedRecord { listing: entry.listing, record });
    is_needed && may_extend_lease(listed)
}

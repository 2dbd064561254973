//! Keeps the watched records up to date with one full read, page by page, followed by a watch.
//!
//! A completed full read or an answered watch also renews the control lease as of the time at
//! which its first call was *sent*: this node's view of shards and cancellations was current at
//! that time.

use super::context::NodeContext;
use super::job_records::RecordSource;
use super::store_keys::{LEADER, WATCHED_PREFIX, WatchedRecord};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{MachineType, Ms};
use crate::wire::cloud;
use crate::wire::encoded::Encoded;
use crate::wire::store::{Event, JobRecord, KeyValue, LeaderRecord, Page, ShardRecord, WatchResponse};
use woadlever_cells::record::CellLease;

/// Maximum time that a watch waits for a change.
const WATCH_TIMEOUT_MS: Ms = 2_000;
/// Minimum number of watches that time out within one control lease, so that each lease is renewed
/// several times before it ends.
const WATCHES_PER_LEASE: Ms = 4;
/// Maximum number of records on one page of the full read.
const PAGE_SIZE: u32 = 500;
const RETRY_MS: Ms = 250;

/// A call of the watch cache to the store.
#[derive(Debug)]
pub(crate) enum WatchCacheCall {
    /// Reads the next page of a full read.
    Page(FullRead),
    /// Watches for changes after a revision.
    Watch {
        /// Revision after which changes are reported.
        since: u64,
    },
}

/// State of a full read in progress.
#[derive(Debug)]
pub(crate) struct FullRead {
    /// Time at which the call for the first page was sent.
    first_sent_at: Ms,
    /// Revision of the first page. The watch starts at this revision, so that it also reports
    /// changes made while later pages were read.
    first_revision: Option<u64>,
    /// Whether a page contained a leader record.
    saw_leader: bool,
    /// Records that assign roles, kept until every job has been read.
    roles: Vec<KeyValue>,
}

/// State of the full read or watch in progress.
#[derive(Debug, Default)]
pub(crate) struct WatchCache {
    /// Revision from which the watch continues; `None` if all records have to be read again.
    watched_revision: Option<u64>,
    in_flight: bool,
    retry_at: Ms,
}

impl WatchCache {
    /// Starts the next read or watch if none is in flight.
    pub(crate) fn poll(&mut self, context: &mut NodeContext) {
        if self.in_flight || context.clock.now() < self.retry_at {
            return;
        }
        self.in_flight = true;
        match self.watched_revision {
            Some(since) => watch(context, since),
            None => {
                let read = FullRead {
                    first_sent_at: context.clock.now(),
                    first_revision: None,
                    saw_leader: false,
                    roles: Vec::new(),
                };
                list(context, read, None);
            }
        }
    }

    /// Handles the response to a call that was sent at `sent_at`.
    pub(crate) fn on_store_response(
        &mut self,
        context: &mut NodeContext,
        call: WatchCacheCall,
        sent_at: Ms,
        response: StoreResponse,
    ) {
        self.in_flight = false;
        match (call, response) {
            (WatchCacheCall::Page(read), StoreResponse::Page(page)) => {
                self.on_page(context, read, page);
            }
            (WatchCacheCall::Watch { since }, StoreResponse::Watch(changes)) => {
                self.on_changes(context, since, changes);
                context.control_lease.renew(sent_at);
            }
            (_, StoreResponse::Compacted) => {
                tracing::info!("watch fell behind; reading all records again");
                self.watched_revision = None;
                context.jobs.set_watched_revision(None);
            }
            (_, response) => {
                tracing::debug!(?response, "read or watch of the records failed");
                self.retry_at = context.clock.now() + context.jitter(RETRY_MS);
            }
        }
    }

    fn on_page(&mut self, context: &mut NodeContext, mut read: FullRead, page: Page) {
        let first_revision = *read.first_revision.get_or_insert(page.revision);
        let source = RecordSource::Page { first_revision };
        let last_key = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            read.saw_leader |= item.key == LEADER;
            if !WatchedRecord::of_key(&item.key).is_some_and(WatchedRecord::assigns_role) {
                apply(context, &item.key, Some(item.value), item.version, source);
            } else if item.version <= first_revision {
                read.roles.push(item);
            }
        }
        if page.has_more && last_key.is_some() {
            self.in_flight = true;
            return list(context, read, last_key);
        }
        apply_roles(context, read.roles, read.saw_leader, first_revision);
        self.watched_revision = Some(first_revision);
        context.jobs.set_watched_revision(self.watched_revision);
        context.is_synced = true;
        context.control_lease.renew(read.first_sent_at);
    }

    fn on_changes(&mut self, context: &mut NodeContext, since: u64, changes: WatchResponse) {
        for Event { put, delete, value, version } in changes.events {
            let value = put.is_some().then_some(value);
            if let Some(key) = put.or(delete) {
                apply(context, &key, value, version, RecordSource::Watch);
            }
        }
        self.watched_revision = Some(since.max(changes.revision));
        context.jobs.set_watched_revision(self.watched_revision);
    }
}

fn watch(context: &mut NodeContext, since: u64) {
    let request = StoreRequest::Watch {
        prefix: WATCHED_PREFIX.into(),
        since,
        block_ms: WATCH_TIMEOUT_MS.min(context.control_lease.duration() / WATCHES_PER_LEASE),
    };
    context.send_store_request(StoreCallOwner::WatchCache(WatchCacheCall::Watch { since }), request);
}

fn list(context: &mut NodeContext, read: FullRead, after: Option<String>) {
    let request = StoreRequest::List { prefix: WATCHED_PREFIX.into(), after, limit: PAGE_SIZE };
    context.send_store_request(StoreCallOwner::WatchCache(WatchCacheCall::Page(read)), request);
}

/// Applies the records that name the leader and the shard owners, after every job. A shard owner
/// that started from the first page alone would treat attempts of jobs on later pages as
/// belonging to no job and report them as gone, and their tasks would run twice. Role records
/// newer than the first page are left out: they may refer to jobs that no page contained, and the
/// watch delivers them in order.
fn apply_roles(context: &mut NodeContext, roles: Vec<KeyValue>, saw_leader: bool, first_revision: u64) {
    let source = RecordSource::Page { first_revision };
    for item in roles {
        apply(context, &item.key, Some(item.value), item.version, source);
    }
    if !saw_leader {
        apply(context, LEADER, None, first_revision, source);
    }
}

/// Applies one record or its deletion. A value that can't be decoded is logged and ignored: it was
/// not written by this service, or was written by a version that this one does not know.
fn apply(
    context: &mut NodeContext,
    key: &str,
    value: Option<Encoded>,
    version: u64,
    source: RecordSource,
) {
    match WatchedRecord::of_key(key) {
        Some(WatchedRecord::Leader) => {
            context.leadership.update(decode::<LeaderRecord>(key, value), version);
        }
        Some(WatchedRecord::Shard(name)) => {
            let index = context.shards.index_of(name);
            if let Some(index) = index.filter(|index| context.shards.is_newer(*index, version))
                && let Some(record) = decode::<ShardRecord>(key, value)
            {
                context.shards.set_owner(index, record, version);
            }
        }
        Some(WatchedRecord::Job(id)) => {
            if let Some(record) = decode::<JobRecord>(key, value) {
                context.apply_job_record(id, record, version, source);
            }
        }
        Some(WatchedRecord::CellLease(cell)) => {
            if let Some(lease) = decode::<CellLease>(key, value) {
                context.cell_leases.put(cell, lease, version);
            }
        }
        Some(WatchedRecord::Catalog) => {
            if context.machine_types.note_catalog_version(key, version)
                && let Some(list) = decode::<Vec<cloud::MachineType>>(key, value)
            {
                context.machine_types.merge(list.into_iter().map(MachineType::from).collect());
            }
        }
        None => {}
    }
}

fn decode<T: serde::de::DeserializeOwned>(key: &str, value: Option<Encoded>) -> Option<T> {
    match value?.decode() {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key, %error, "unreadable record");
            None
        }
    }
}

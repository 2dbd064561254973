//! Assignment of shards to nodes: each shard has one owner, and is reassigned when that node is
//! lost or when the shard's home node is back.
//!
//! The leader chooses the owner and writes the shard record; a node becomes the owner when it
//! sees the record. The version of the record is the fencing token. The leader's poll runs the
//! assignment.

use super::scheduling_cycle::WaitingJob;
use super::write_pacing::WritePacing;
use super::{Leader, LeaderCall};
use crate::core::common::context::NodeContext;
use crate::core::common::shard_map::KnownOwner;
use crate::core::common::store_keys::shard_key;
use crate::core::{StoreCallOwner, StoreRequest};
use crate::model::{FencingToken, Ms, Resources, ShardIndex};
use crate::wire::encoded::Encoded;
use crate::wire::store::{Compare, CompareAndSwap, Mutation, ShardRecord};

/// Grace period in which a new leader waits for the recorded owners before it replaces them.
const OWNER_GRACE_MS: Ms = 2_500;
/// Time for which frames of a node must have arrived, without a break longer than the silence
/// limit, before shards move back to it.
const STABLE_AFTER_MS: Ms = 6_000;
/// Time after which a node that the store does not answer can't own shards, as it can't record
/// placements. It applies only while the store answers the leader.
const OWNER_STORE_SILENCE_MS: Ms = 4_000;
/// Time without an answer from the store to the leader itself after which the store may be at fault.
/// A node that the store does not answer may then still own shards.
const LEADER_STORE_SILENCE_MS: Ms = 1_500;
/// Delay after a write of a shard's assignment before the next one.
const ASSIGNMENT_INTERVAL_MS: Ms = 300;

/// An instance whose termination the cloud has confirmed.
#[derive(Debug)]
pub(crate) struct TerminatedInstance {
    /// Its name.
    pub name: String,
    /// When the cloud confirmed it.
    pub confirmed_at: Ms,
}

/// The leader's state of a shard, including the desired state last sent to the owner.
#[derive(Debug)]
pub(crate) struct ShardAssignment {
    /// Serial of the last desired state.
    pub(super) serial: u64,
    /// Whether the desired state has changed since it was last sent.
    pub dirty: bool,
    /// When the desired state was last sent; `None` before the first time.
    pub(super) sent_at: Option<Ms>,
    /// Number of attempts in the last desired state.
    pub(super) attempts_sent: usize,
    /// Fencing token of the shard's owner, if it has one.
    pub(super) fencing_token: Option<FencingToken>,
    /// Whether the owner with this token has reported its whole state.
    pub has_reported: bool,
    /// Usage of each team according to the last reported state, by index of the team.
    pub(super) reported_usage: Vec<Resources>,
    /// Instances whose termination the cloud has confirmed.
    pub terminated_instances: Vec<TerminatedInstance>,
    /// Waiting tasks that the owner includes in its load projection.
    pub waiting: Vec<WaitingJob>,
    /// Pacing of the write of the shard's record.
    pub(super) write: WritePacing,
}

impl ShardAssignment {
    /// Creates the state of a shard at the start of a term, when nothing is known about it.
    pub(super) fn new() -> ShardAssignment {
        ShardAssignment {
            serial: 0,
            dirty: true,
            sent_at: None,
            attempts_sent: 0,
            fencing_token: None,
            has_reported: false,
            reported_usage: Vec::new(),
            terminated_instances: Vec::new(),
            waiting: Vec::new(),
            write: WritePacing::default(),
        }
    }
}

impl Leader {
    /// Assigns shards to live nodes if they have no owner, if their owner is lost, or if it is not
    /// their home node.
    pub(super) fn assign_shards(&mut self, context: &mut NodeContext) {
        for shard in (0..self.shards.len()).map(ShardIndex::from_usize) {
            let owner = context.shards.owner(shard.as_usize()).cloned();
            let fencing_token = owner.as_ref().map(|owner| owner.fencing_token);
            self.update_fencing_token(shard, fencing_token);
            if !self.shards[shard.as_usize()].write.is_ready(context.clock.now()) {
                continue;
            }
            let Some(node) = self.choose_reassignment(context, shard, owner.as_ref()) else { continue };
            let incarnation = if node == context.node {
                context.incarnation
            } else {
                context.peers.get(&node).map_or(0, |peer| peer.incarnation)
            };
            let assignment = ShardRecord { node, incarnation };
            if owner.is_none_or(|owner| owner.record != assignment) {
                self.write_assignment(context, shard, fencing_token, &assignment);
            }
        }
    }

    /// Updates the fencing token of a shard. An owner with a new token knows only the contents of
    /// the records, so the whole state is exchanged again.
    fn update_fencing_token(&mut self, index: ShardIndex, fencing_token: Option<FencingToken>) {
        let shard = &mut self.shards[index.as_usize()];
        if shard.fencing_token == fencing_token {
            return;
        }
        shard.fencing_token = fencing_token;
        shard.has_reported = false;
        shard.reported_usage.clear();
        shard.dirty = true;
        for attempt in self.attempts.values_mut().filter(|attempt| attempt.shard == index) {
            attempt.may_bind = false;
            attempt.first_named_in = None;
        }
    }

    /// Returns the node that a shard should be assigned to now, or `None` to keep its owner.
    fn choose_reassignment(
        &self,
        context: &NodeContext,
        shard: ShardIndex,
        owner: Option<&KnownOwner>,
    ) -> Option<String> {
        let Some(KnownOwner { record: owner, .. }) = owner else {
            return self.choose_owner(context, shard, None);
        };
        if self.is_node_alive(context, &owner.node, Some(owner.incarnation)) {
            let home = context.shards[shard.as_usize()].home.as_ref()?;
            let may_move = *home != owner.node && self.is_stable(context, home);
            return may_move.then(|| home.clone());
        }
        let newest = context.peers.get(&owner.node).map(|peer| peer.incarnation);
        let has_restarted = newest.is_some_and(|newest| newest > owner.incarnation)
            || (owner.node == context.node && owner.incarnation != context.incarnation);
        if has_restarted {
            return self.choose_owner(context, shard, None);
        }
        let is_grace_over = context.clock.now() > self.activated_at + OWNER_GRACE_MS;
        if is_grace_over { self.choose_owner(context, shard, Some(&owner.node)) } else { None }
    }

    /// Writes the record that makes a node the owner of a shard.
    fn write_assignment(
        &mut self,
        context: &mut NodeContext,
        shard: ShardIndex,
        fencing_token: Option<FencingToken>,
        assignment: &ShardRecord,
    ) {
        let name = &context.shards[shard.as_usize()].name;
        tracing::debug!(shard = name, node = assignment.node, "assigning shard");
        let key = shard_key(name);
        let value = Encoded::new(assignment);
        let version = fencing_token.map_or(0, FencingToken::number);
        let request = CompareAndSwap {
            compares: vec![self.compare_term(), Compare { key: key.clone(), version }],
            mutations: vec![Mutation::Put { key, value, lease: None }],
        };
        self.shards[shard.as_usize()].write.start();
        context.send_store_request(
            StoreCallOwner::Leader(LeaderCall::AssignShard { shard }),
            StoreRequest::CompareAndSwap(request),
        );
    }

    /// Handles the answer to a write of a shard's record. The outcome is taken from the record
    /// itself.
    pub(super) fn on_shard_assigned(&mut self, context: &mut NodeContext, shard: ShardIndex) {
        let pause = context.jitter(ASSIGNMENT_INTERVAL_MS);
        if let Some(shard) = self.shards.get_mut(shard.as_usize()) {
            shard.write.finish_and_retry_at(context.clock.now() + pause);
        }
    }

    /// Whether a node is able to own shards; if an incarnation is given, the node must still be in
    /// that incarnation.
    fn is_node_alive(&self, context: &NodeContext, node: &str, incarnation: Option<u64>) -> bool {
        if node == context.node {
            return incarnation.is_none_or(|expected| expected == context.incarnation);
        }
        let max_silence_ms = (context.operator.node_silence_s * 1000.0) as Ms;
        context.peers.get(node).is_some_and(|peer| {
            let reaches_store = peer.store_silence_ms < OWNER_STORE_SILENCE_MS
                || context.store_silence_ms() > LEADER_STORE_SILENCE_MS;
            peer.last_frame_at + max_silence_ms > context.clock.now()
                && peer.receives_our_frames
                && incarnation.is_none_or(|expected| expected == peer.incarnation)
                && reaches_store
        })
    }

    /// Whether a node has been alive long enough for shards to move back to it.
    fn is_stable(&self, context: &NodeContext, node: &str) -> bool {
        if node == context.node {
            return true;
        }
        let peer = context.peers.get(node);
        self.is_node_alive(context, node, None)
            && peer.is_some_and(|peer| peer.receiving_since + STABLE_AFTER_MS < context.clock.now())
    }

    /// Chooses the owner of a shard among the live nodes: its home node first, then nodes in the
    /// shard's zone, then those that own the fewest shards. `excluded` is never chosen.
    fn choose_owner(
        &self,
        context: &NodeContext,
        shard: ShardIndex,
        excluded: Option<&str>,
    ) -> Option<String> {
        let shard = &context.shards[shard.as_usize()];
        let peers = context.platform.peers.iter().map(|p| (p.node.as_str(), p.zone.as_str()));
        let this_node = (context.node.as_str(), context.platform.zone.as_str());
        peers
            .chain([this_node])
            .filter(|(node, _)| Some(*node) != excluded && self.is_node_alive(context, node, None))
            .min_by_key(|(node, zone)| {
                let is_home = shard.home.as_deref() == Some(*node);
                let is_in_zone = *zone == shard.zone;
                (!is_home, !is_in_zone, context.shards.count_owned_by(node), node.to_string())
            })
            .map(|(node, _)| node.to_string())
    }
}

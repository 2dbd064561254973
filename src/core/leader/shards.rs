//! Who holds which block: the leader gives blocks to living nodes, and moves them
//! when a node is lost or back.

use super::{Leader, LeaderCall};
use crate::core::common::context::NodeContext;
use crate::core::common::shard_map::KnownOwner;
use crate::core::common::watch_cache::shard_key;
use crate::core::{StoreCallOwner, StoreRequest};
use crate::model::{JobIndex, Ms, ShardIndex};
use crate::wire::encoded::Encoded;
use crate::wire::store::{Compare, CompareAndSwap, Mutation, ShardRecord};

/// How long a new leader waits for the recorded holders to show themselves.
const HOLDER_GRACE_MS: Ms = 2_500;
/// A node must have been heard for so long before blocks move to it for
/// balance alone.
const SETTLED_MS: Ms = 6_000;
/// A holder whose state service calls fail for so long, while ours succeed,
/// can't place anything.
const HOLDER_STATE_MS: u64 = 4_000;

#[derive(Debug)]
pub struct ShardAssignment {
    pub(super) serial: u64,
    pub dirty: bool,
    pub(super) sent_at: Ms,
    /// Attempts in its last state message.
    pub(super) size: usize,
    pub(super) fencing_token: u64,
    /// The present holder has shown its whole state message.
    pub has_reported: bool,
    pub gone: Vec<(String, Ms)>,
    pub waiting: Vec<(JobIndex, u32)>,
    pub(super) writing: bool,
    pub(super) retry_at: Ms,
}

impl Leader {
    pub(super) fn node_alive(
        &self,
        context: &NodeContext,
        node: &str,
        incarnation: Option<u64>,
    ) -> bool {
        if node == context.node {
            return incarnation.is_none_or(|i| i == context.incarnation);
        }
        let silence = (context.operator.node_silence_s * 1000.0) as Ms;
        context.peers.get(node).is_some_and(|p| {
            p.heard_at + silence > context.clock.now()
                && p.receives_our_frames
                && incarnation.is_none_or(|i| i == p.incarnation)
                && (p.store_silence_ms < HOLDER_STATE_MS || context.store_silence_ms() > 1500)
        })
    }

    /// Gives blocks to living nodes: home first, then the zone, then anyone
    /// with few blocks.
    pub(super) fn assign_shards(&mut self, context: &mut NodeContext) {
        for b in 0..self.shards.len() {
            let rec = context.shards.owner(b).cloned();
            let fencing_token = rec.as_ref().map_or(0, |owner| owner.fencing_token);
            if self.shards[b].fencing_token != fencing_token {
                self.shards[b].fencing_token = fencing_token;
                self.shards[b].has_reported = false;
                self.shards[b].dirty = true;
                for a in self.attempts.values_mut().filter(|a| a.shard.place() == b) {
                    // The new holder knows only what is in the records.
                    a.may_bind = false;
                    a.first_named_in = None;
                }
            }
            if self.shards[b].writing || context.clock.now() < self.shards[b].retry_at {
                continue;
            }
            let home = context.shards[b].home.clone();
            let target = match &rec {
                None => self.choose_shard_owner(context, b, None),
                Some(KnownOwner { record: r, .. }) => {
                    let alive = self.node_alive(context, &r.node, Some(r.incarnation));
                    let restarted =
                        context.peers.get(&r.node).is_some_and(|p| p.incarnation > r.incarnation)
                            || (r.node == context.node && r.incarnation != context.incarnation);
                    if !alive && (restarted || context.clock.now() > self.activated_at + HOLDER_GRACE_MS)
                    {
                        let except = (!restarted).then_some(r.node.as_str());
                        self.choose_shard_owner(context, b, except)
                    } else if alive
                        && home.as_ref().is_some_and(|h| *h != r.node && self.settled(context, h))
                    {
                        home
                    } else {
                        None
                    }
                }
            };
            let Some(node) = target else { continue };
            let incarnation = if node == context.node {
                context.incarnation
            } else {
                context.peers.get(&node).map_or(0, |p| p.incarnation)
            };
            if rec.as_ref().is_some_and(|owner| {
                owner.record.node == node && owner.record.incarnation == incarnation
            }) {
                continue;
            }
            tracing::debug!(shard = context.shards[b].name, node, "granting block");
            let key = shard_key(&context.shards[b].name);
            let value = Encoded::new(&ShardRecord { node, incarnation });
            let txn = CompareAndSwap {
                compares: vec![
                    self.compare_term(),
                    Compare { key: key.clone(), version: fencing_token },
                ],
                mutations: vec![Mutation::Put { key, value, lease: None }],
            };
            self.shards[b].writing = true;
            context.send_store_request(
                StoreCallOwner::Leader(LeaderCall::AssignShard { shard: ShardIndex::at(b) }),
                StoreRequest::CompareAndSwap(txn),
            );
        }
    }

    pub(super) fn settled(&self, context: &NodeContext, node: &str) -> bool {
        node == context.node
            || (self.node_alive(context, node, None)
                && context
                    .peers
                    .get(node)
                    .is_some_and(|p| p.heard_since + SETTLED_MS < context.clock.now()))
    }

    pub(super) fn choose_shard_owner(
        &self,
        context: &NodeContext,
        shard: usize,
        except: Option<&str>,
    ) -> Option<String> {
        let mut nodes: Vec<(&str, &str)> =
            context.platform.peers.iter().map(|p| (p.node.as_str(), p.zone.as_str())).collect();
        nodes.push((&context.node, &context.platform.zone));
        let b = &context.shards[shard];
        nodes
            .into_iter()
            .filter(|(n, _)| Some(*n) != except && self.node_alive(context, n, None))
            .min_by_key(|(n, z)| {
                let holds = context.shards.count_owned_by(n);
                (b.home.as_deref() != Some(*n), *z != b.zone, holds, n.to_string())
            })
            .map(|(n, _)| n.to_string())
    }
}

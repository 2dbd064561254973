//! Who holds which block: the leader gives blocks to living nodes, and moves them
//! when a node is lost or back.

use super::{Leader, LeaderCall};
use crate::core::common::model::Ms;
use crate::core::common::shared::Shared;
use crate::core::common::watch_cache::shard_key;
use crate::core::{StoreCallOwner, StoreRequest};
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
    pub shown: bool,
    pub gone: Vec<(String, Ms)>,
    pub waiting: Vec<(u32, u32)>,
    pub(super) writing: bool,
    pub(super) retry_at: Ms,
}

impl Leader {
    pub(super) fn node_alive(&self, shared: &Shared, node: &str, incarnation: Option<u64>) -> bool {
        if node == shared.me {
            return incarnation.is_none_or(|i| i == shared.incarnation);
        }
        let silence = (shared.op.node_silence_s * 1000.0) as Ms;
        shared.peers.get(node).is_some_and(|p| {
            p.heard + silence > shared.now
                && p.receives_our_frames
                && incarnation.is_none_or(|i| i == p.incarnation)
                && (p.store_silence_ms < HOLDER_STATE_MS || shared.store_silence_ms() > 1500)
        })
    }

    /// Gives blocks to living nodes: home first, then the zone, then anyone
    /// with few blocks.
    pub(super) fn assign_shards(&mut self, shared: &mut Shared) {
        for b in 0..self.shards.len() {
            let rec = shared.shard_records[b].clone();
            let fencing_token = rec.as_ref().map_or(0, |(_, s)| *s);
            if self.shards[b].fencing_token != fencing_token {
                self.shards[b].fencing_token = fencing_token;
                self.shards[b].shown = false;
                self.shards[b].dirty = true;
                for a in self.attempts.values_mut().filter(|a| a.shard == b as u32) {
                    // The new holder knows only what is in the records.
                    a.bind = false;
                    a.named_in = None;
                }
            }
            if self.shards[b].writing || shared.now < self.shards[b].retry_at {
                continue;
            }
            let home = shared.shards[b].home.clone();
            let target = match &rec {
                None => self.choose_shard_owner(shared, b, None),
                Some((r, _)) => {
                    let alive = self.node_alive(shared, &r.node, Some(r.incarnation));
                    let restarted =
                        shared.peers.get(&r.node).is_some_and(|p| p.incarnation > r.incarnation)
                            || (r.node == shared.me && r.incarnation != shared.incarnation);
                    if !alive && (restarted || shared.now > self.active_at + HOLDER_GRACE_MS) {
                        let except = (!restarted).then_some(r.node.as_str());
                        self.choose_shard_owner(shared, b, except)
                    } else if alive
                        && home.as_ref().is_some_and(|h| *h != r.node && self.settled(shared, h))
                    {
                        home
                    } else {
                        None
                    }
                }
            };
            let Some(node) = target else { continue };
            let incarnation = if node == shared.me {
                shared.incarnation
            } else {
                shared.peers.get(&node).map_or(0, |p| p.incarnation)
            };
            if rec.as_ref().is_some_and(|(r, _)| r.node == node && r.incarnation == incarnation) {
                continue;
            }
            tracing::debug!(shard = shared.shards[b].name, node, "granting block");
            let key = shard_key(&shared.shards[b].name);
            let value = Encoded::new(&ShardRecord { node, incarnation });
            let txn = CompareAndSwap {
                compares: vec![
                    self.compare_term(),
                    Compare { key: key.clone(), version: fencing_token },
                ],
                changes: vec![Mutation::Put { key, value, lease: None }],
            };
            self.shards[b].writing = true;
            shared.send_store_request(
                StoreCallOwner::Leader(LeaderCall::AssignShard { shard: b as u32 }),
                StoreRequest::CompareAndSwap(txn),
            );
        }
    }

    pub(super) fn settled(&self, shared: &Shared, node: &str) -> bool {
        node == shared.me
            || (self.node_alive(shared, node, None)
                && shared.peers.get(node).is_some_and(|p| p.since + SETTLED_MS < shared.now))
    }

    pub(super) fn choose_shard_owner(
        &self,
        shared: &Shared,
        shard: usize,
        except: Option<&str>,
    ) -> Option<String> {
        let mut nodes: Vec<(&str, &str)> =
            shared.cfg.peers.iter().map(|p| (p.node.as_str(), p.zone.as_str())).collect();
        nodes.push((&shared.me, &shared.cfg.zone));
        let b = &shared.shards[shard];
        nodes
            .into_iter()
            .filter(|(n, _)| Some(*n) != except && self.node_alive(shared, n, None))
            .min_by_key(|(n, z)| {
                let holds = shared.shard_records.iter().flatten().filter(|(r, _)| r.node == *n).count();
                (b.home.as_deref() != Some(*n), *z != b.zone, holds, n.to_string())
            })
            .map(|(n, _)| n.to_string())
    }
}

//! Which role a call to the store belongs to, so that its response finds the way back.
//!
//! This is the one place below the dispatch that names the roles: each declares its calls,
//! and the context keeps them until they are answered.

use super::common::election::ElectionCall;
use super::common::lookups::LookupCall;
use super::common::watch_cache::WatchCacheCall;
use super::leader::LeaderCall;
use super::shard_owner::ShardOwnerCall;
use super::user_api::UserApiCall;

/// The role that made a call to the store, and what the call was for.
#[derive(Debug)]
pub(crate) enum StoreCallOwner {
    WatchCache(WatchCacheCall),
    Lookup(LookupCall),
    Election(ElectionCall),
    UserApi(UserApiCall),
    ShardOwner(ShardOwnerCall),
    Leader(LeaderCall),
}

//! The component or role that a call to the store belongs to, to which the response is dispatched.
//!
//! Apart from the dispatch in [`super`], this is the only place in the core that names all roles.
//! Each role declares its own calls, and the context keeps them until they are answered.

use super::common::election::ElectionCall;
use super::common::lookups::LookupCall;
use super::common::watch_cache::WatchCacheCall;
use super::leader::LeaderCall;
use super::shard_owner::ShardOwnerCall;
use super::user_api::UserApiCall;

/// The component or role that made a call to the store, and the purpose of the call.
#[derive(Debug)]
pub(crate) enum StoreCallOwner {
    WatchCache(WatchCacheCall),
    Lookup(LookupCall),
    Election(ElectionCall),
    UserApi(UserApiCall),
    ShardOwner(ShardOwnerCall),
    Leader(LeaderCall),
}

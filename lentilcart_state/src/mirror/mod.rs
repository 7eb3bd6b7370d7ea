//! Calls to the store and its replies, and a mirror of the store's items under a prefix.
//!
//! The mirror is updated by listings and watches and from the mirrors of other entries. It makes no
//! writes and opens no leases; other users of the store make these calls.

mod call;
#[allow(clippy::module_inception)]
mod mirror;

pub use self::call::{Precondition, StoreCall, StoreEvent, StoreItem, StorePut, StoreReply};
pub use self::mirror::{Mirror, MirrorChange, MirrorSnapshot};

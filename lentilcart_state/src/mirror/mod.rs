//! Mirror of the store's items under a prefix, updated by watches and from the mirrors of other
//! entries.

mod call;
#[allow(clippy::module_inception)]
mod mirror;

pub use self::call::{Precondition, StoreCall, StoreEvent, StoreItem, StorePut, StoreReply};
pub use self::mirror::{Mirror, MirrorChange, MirrorSnapshot};

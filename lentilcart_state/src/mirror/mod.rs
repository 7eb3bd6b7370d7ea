//! Calls to the store and its replies, and a mirror of the store's items under a prefix.
//!
//! The mirror is updated by listings and watches and from the mirrors of other entries, which a
//! fetch plan chooses. It makes no writes and opens no leases; other users of the store make these calls.
//! [`Freshness`] decides what an entry does by the age of its knowledge.

mod call;
mod fetch_plan;
mod freshness;
mod freshness_limits;
#[allow(clippy::module_inception)]
mod mirror;
mod missing_changes;
mod place;

pub use self::call::{Precondition, StoreCall, StoreEvent, StoreItem, StorePut, StoreReply};
pub use self::fetch_plan::{FetchOutcome, FetchPlan, FetchSource, FetchStep};
pub use self::freshness::{Freshness, FreshnessStage};
pub use self::freshness_limits::FreshnessLimits;
pub use self::mirror::{Mirror, MirrorChange, MirrorSnapshot};
pub use self::missing_changes::MissingChanges;
pub use self::place::Place;

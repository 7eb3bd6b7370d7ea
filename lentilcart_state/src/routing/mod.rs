//! Routes of a gateway by host and path, as one complete table with a version number. The routes of
//! change tickets are in `ticket`.

mod account;
mod account_key;
mod account_table;
mod headers;
mod key_state;
mod limits;
mod path_route;
mod table;

pub use self::account::{Account, AccountLimit};
pub use self::account_key::AccountKey;
pub use self::account_table::AccountTable;
pub use self::headers::HeaderNames;
pub use self::key_state::KeyState;
pub use self::limits::CallerLimits;
pub use self::path_route::{PathRoute, WeightedService};
pub use self::table::{RouteTable, ServiceLimits, WarmupLimit};

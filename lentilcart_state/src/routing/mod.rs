//! Routes by host and path, as one whole numbered table.

mod headers;
mod limits;
mod rule;
mod table;

pub use self::headers::HeaderNames;
pub use self::limits::CallerLimits;
pub use self::rule::{PathRule, RulePart};
pub use self::table::{RouteTable, ServiceRules};

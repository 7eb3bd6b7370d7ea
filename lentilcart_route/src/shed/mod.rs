//! Load shedding: which requests wait, and which are refused, when the servers have too little room.
//!
//! [`plan`] is the decision. It goes through the requests that need a server in the order of a rule, sums the work
//! ahead of each, and refuses those whose answer would come later than the rule accepts. A request that is kept
//! starts as soon as a server has room for it. It is taken again whenever a request comes and at each tick, so that a
//! request is refused when it becomes known that it cannot be served, and that a request which comes may displace one
//! that waits.

mod candidate;
mod return_times;
mod shed_plan;
mod shed_rule;

pub use self::candidate::{Candidate, ShedLoad};
pub use self::return_times::ReturnTimes;
pub use self::shed_plan::{ShedCause, ShedVerdict, plan};
pub use self::shed_rule::{SHED_RULES, ShedRule, get_shed_rule, get_shed_rule_names};

//! Routing decisions of lentilcart: which server gets a request, when the request is queued or
//! rejected, and the budgets of retries and hedges.
//!
//! A [`ServerPool`] holds what one entry (a process of the balancer) knows of the servers of one
//! service. It does no I/O, reads no clock and has no entropy source of its own: time and seed are
//! arguments, so that the same code can be embedded, replayed and run in the daemon.
//!
//! A [`Micros`](lentilcart_util::Micros) is an instant or a duration, as the doc of a field or
//! argument says. An instant counts from an epoch that the user of the pool chooses, and is the
//! same for all calls; Unix times are plain integers whose name gives the unit. Sums and
//! differences saturate, so that an instant in the past is zero time away.
//!
//! # Examples
//!
//! ```
//! use lentilcart_route::{
//!     AttemptOutcome, Decision, PendingRequest, PoolConfig, ServerConfig, ServerPool,
//! };
//! use lentilcart_util::Micros;
//!
//! let mut pool = ServerPool::new(PoolConfig::default(), 1);
//! let server = ServerConfig::new("10.0.0.7:80".parse().unwrap(), 1);
//! pool.set_servers(Micros::ZERO, &[server]);
//! let request = PendingRequest::new(1, Micros::ZERO, Micros::from_millis(100));
//! let decisions = pool.offer(Micros::ZERO, request);
//! assert!(matches!(decisions[..], [Decision::Start { request_id: 1, server: 0 }]));
//! pool.finish_attempt(Micros::from_millis(5), 1, 0, AttemptOutcome::answered(None));
//! ```

mod limits;
mod policy;
mod pool;
mod queue;
mod shed;

pub use self::limits::{
    ByteBudget, ByteClaim, EjectLimits, Hedger, MAX_SEND_DELAY, ProbeBudget, RetryLimits,
    TokenBucket, WarmthSource, WarmupRules,
};
pub use self::policy::{LoadSource, POLICIES, PickContext, Policy, get_policy, get_policy_names};
pub use self::pool::{
    AttemptOutcome, Decision, LoadReport, MAX_PREFLIGHT_PROBES, NoticeSource, PendingRequest,
    PoolConfig, Rejection, Restriction, ServerConfig, ServerNotice, ServerPhase, ServerPool,
    ServerState, ServerSummary, Shard, ShedTally, WarmthChange, WarmupTerm, is_latency_much_higher,
};
pub use self::shed::{
    Candidate, ReturnTimes, SHED_RULES, ShedCause, ShedLoad, ShedRule, ShedVerdict, get_shed_rule,
    get_shed_rule_names, plan,
};

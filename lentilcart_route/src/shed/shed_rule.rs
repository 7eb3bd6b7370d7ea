use std::fmt;

use lentilcart_util::Micros;

use super::{Candidate, ShedLoad};

/// Credit for a late answer, where one in time is 1.
const LATE_CREDIT: f64 = 0.1;
/// Share of the time to the objective that a request waits at most while requests wait without a break; a refusal
/// in this time costs a caller nothing.
const STANDING_WAIT_SHARE: f64 = 0.125;
/// Wait that the highest priority accepts, as a share of the time to the objective.
const LEVEL_WAIT_SHARE: f64 = 0.5;
/// Wait up to which a request may still be answered late, as a share of the time to its deadline.
const WAIT_SHARE: f64 = 0.5;
/// Number of priorities.
const PRIORITIES: f64 = 10.0;

/// Rule of load shedding: the order in which requests are started, and how late an answer may be.
pub struct ShedRule {
    /// Name in the settings.
    pub name: &'static str,
    /// Whether the rule plans ahead with [`plan`](super::plan). Otherwise requests are refused by
    /// [`PoolConfig::wait_share`](crate::PoolConfig::wait_share), and the other fields are not used.
    pub plans: bool,
    /// Whether higher priorities go first.
    pub by_priority: bool,
    /// Whether a request that can be answered by its objective goes before every one that cannot.
    pub in_time_first: bool,
    /// Returns the place of a request among those that are equal by the fields above; the highest goes first.
    pub get_score: fn(&Candidate, &ShedLoad) -> f64,
    /// Returns the latest expected time of the answer with which a request is kept.
    pub get_latest_answer: fn(&Candidate, &ShedLoad) -> Micros,
}

impl fmt::Debug for ShedRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("ShedRule").field(&self.name).finish()
    }
}

/// All rules; the first is the default.
pub static SHED_RULES: [ShedRule; 9] = [
    // Priority, then adaptive LIFO; a request is refused when it has waited for a share of its time.
    ShedRule {
        plans: false,
        ..new_rule("wait-share", oldest_first)
    },
    // Strict priority, oldest first.
    ShedRule {
        by_priority: true,
        ..new_rule("priority", oldest_first)
    },
    // Earliest objective first.
    new_rule("deadline", earliest_objective),
    // Highest credit for a millisecond of a server.
    ShedRule {
        in_time_first: true,
        ..new_rule("value", highest_value)
    },
    // Controlled delay (Nichols and Jacobson, ACM Queue, 2012) with adaptive LIFO, as Maurer ("Fail at Scale", ACM
    // Queue, 2015) uses them for requests.
    ShedRule {
        get_latest_answer: standing_bound,
        ..new_rule("codel", adaptive)
    },
    // Admission by levels of priority, each with a bound of the wait, as by the queueing delay in DAGOR (Zhou et al.,
    // SoCC 2018) and Breakwater (Cho et al., OSDI 2020).
    ShedRule {
        by_priority: true,
        get_latest_answer: level_bound,
        ..new_rule("levels", oldest_first)
    },
    // Priority, then the highest credit for a millisecond; kept until the deadline.
    ShedRule {
        by_priority: true,
        in_time_first: true,
        ..new_rule("priority-value", highest_value)
    },
    // Priority, then adaptive LIFO; kept for half of the time to the deadline.
    ShedRule {
        by_priority: true,
        in_time_first: true,
        get_latest_answer: half_bound,
        ..new_rule("adaptive", adaptive)
    },
    // The same; kept only if it can be answered by its objective.
    ShedRule {
        by_priority: true,
        in_time_first: true,
        get_latest_answer: objective_bound,
        ..new_rule("adaptive-objective", adaptive)
    },
];

const fn new_rule(name: &'static str, get_score: fn(&Candidate, &ShedLoad) -> f64) -> ShedRule {
    ShedRule {
        name,
        plans: true,
        by_priority: false,
        in_time_first: false,
        get_score,
        get_latest_answer: deadline_bound,
    }
}

/// Returns the rule with a name, or `None`.
#[must_use]
pub fn get_shed_rule(name: &str) -> Option<&'static ShedRule> {
    SHED_RULES.iter().find(|rule| rule.name == name)
}

/// Returns the names of all rules.
#[must_use]
pub fn get_shed_rule_names() -> Vec<&'static str> {
    SHED_RULES.iter().map(|rule| rule.name).collect()
}

fn oldest_first(candidate: &Candidate, _: &ShedLoad) -> f64 {
    -(candidate.arrived.0 as f64)
}

fn earliest_objective(candidate: &Candidate, _: &ShedLoad) -> f64 {
    -(candidate.objective.0 as f64)
}

fn adaptive(candidate: &Candidate, load: &ShedLoad) -> f64 {
    let arrived = candidate.arrived.0 as f64;
    if load.pressed { arrived } else { -arrived }
}

/// Returns the credit for a microsecond of a server. The most urgent priority counts twice the least urgent one.
fn highest_value(candidate: &Candidate, load: &ShedLoad) -> f64 {
    let weight = 1.0 + f64::from(candidate.priority) / (PRIORITIES - 1.0);
    let credit = if load.is_in_time(candidate) {
        1.0
    } else {
        LATE_CREDIT
    };
    weight * credit / (candidate.service_time.0 as f64).max(1.0)
}

fn deadline_bound(candidate: &Candidate, _: &ShedLoad) -> Micros {
    candidate.deadline
}

/// A request that can be answered by its objective no more is refused while requests wait without a break: those that
/// can be answered in time keep it from being started until it is refused late, which costs its caller more than a
/// late answer earns. Otherwise, and where the servers are too slow for any answer in time, it is kept until its
/// deadline.
fn objective_bound(candidate: &Candidate, load: &ShedLoad) -> Micros {
    let fresh = load.get_answer_time(candidate, Micros::ZERO) - load.now;
    let is_possible = fresh <= candidate.objective - candidate.arrived;
    if load.is_in_time(candidate) || (load.standing && is_possible) {
        candidate.objective
    } else {
        candidate.deadline
    }
}

fn half_bound(candidate: &Candidate, load: &ShedLoad) -> Micros {
    let wait = (candidate.deadline - candidate.arrived).scaled(WAIT_SHARE);
    let latest = load.get_answer_time(candidate, wait) - load.now + candidate.arrived;
    latest.min(candidate.deadline)
}

fn standing_bound(candidate: &Candidate, load: &ShedLoad) -> Micros {
    let objective = candidate.objective - candidate.arrived;
    let wait = if load.standing {
        objective.scaled(STANDING_WAIT_SHARE)
    } else {
        objective
    };
    let latest =
        load.get_answer_time(candidate, Micros::ZERO) - load.now + candidate.arrived + wait;
    latest.min(candidate.deadline)
}

fn level_bound(candidate: &Candidate, load: &ShedLoad) -> Micros {
    let level = (f64::from(candidate.priority) + 1.0) / PRIORITIES;
    let wait = (candidate.objective - candidate.arrived).scaled(LEVEL_WAIT_SHARE * level);
    let latest = load.get_answer_time(candidate, wait) - load.now + candidate.arrived;
    latest.min(candidate.deadline)
}

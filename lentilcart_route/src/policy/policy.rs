use std::fmt;

use super::choice::Choice;
use super::rules;

/// A way to choose a server.
pub struct Policy {
    /// Name used in tickets.
    pub name: &'static str,
    /// Whether a request waits in the entry until a server has a free slot.
    pub late: bool,
    /// Whether entries send each other digests of their outstanding requests.
    pub digests: bool,
    /// Whether servers' own reports count against their limit.
    pub reports: bool,
    /// Whether the policy measures load by probes.
    pub probes: bool,
    /// Chooses among the rows that may take one more request.
    pub pick: fn(&mut Choice<'_>) -> usize,
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Policy").field(&self.name).finish()
    }
}

const fn rule(name: &'static str, pick: fn(&mut Choice<'_>) -> usize) -> Policy {
    Policy {
        name,
        late: false,
        digests: false,
        reports: false,
        probes: false,
        pick,
    }
}

/// Every policy; the first is the default.
pub static POLICIES: [Policy; 11] = [
    Policy {
        late: true,
        ..rule("late-near", rules::near_wait)
    },
    Policy {
        late: true,
        ..rule("late", rules::least)
    },
    Policy {
        late: true,
        ..rule("late-wait", rules::least_wait)
    },
    Policy {
        late: true,
        digests: true,
        ..rule("late-digests", rules::least_with_peers)
    },
    Policy {
        late: true,
        ..rule("late-shares", rules::own_slots)
    },
    Policy {
        late: true,
        reports: true,
        ..rule("late-paced", rules::paced)
    },
    rule("random", rules::random),
    rule("round-robin", rules::round_robin),
    rule("least", rules::least),
    rule("two-choices", rules::two_choices),
    Policy {
        probes: true,
        ..rule("probe-pool", rules::probe_pool)
    },
];

/// Returns the policy of a name.
#[must_use]
pub fn get_policy(name: &str) -> Option<&'static Policy> {
    POLICIES.iter().find(|policy| policy.name == name)
}

/// Returns the names of all policies, the default first.
#[must_use]
pub fn get_policy_names() -> Vec<&'static str> {
    POLICIES.iter().map(|policy| policy.name).collect()
}

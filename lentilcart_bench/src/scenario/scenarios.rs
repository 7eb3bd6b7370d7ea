use lentilcart_util::Micros;

use super::action::Action;
use crate::cluster::Layout;
use crate::load::LoadProfile;

/// Load, deployment and actions of a run of the bench.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Course of the load.
    pub profile: LoadProfile,
    /// Share of requests that are stragglers, with 30 times the usual service time
    /// ([`STRAGGLER_FACTOR`](crate::cluster::STRAGGLER_FACTOR)).
    pub straggler_share: f64,
    /// Whether a further execution of a request draws its own service time, which is never that of a
    /// straggler; otherwise it takes as long as the first.
    pub independent_reruns: bool,
    /// Share of requests that go to the first entry; `None` for equal shares of all.
    pub first_entry_share: Option<f64>,
    /// Number of entries.
    pub entries: usize,
    /// Whether every third server reports a load of 0 all the time, which misleads the entries.
    pub misleading: bool,
    /// Deadline of every route.
    pub deadline: Micros,
    /// Whether requests that must run at most once carry an idempotency key.
    pub keyed: bool,
    /// Actions in order, each with its time since the start of the load.
    pub actions: &'static [(Micros, Action)],
}

/// Deadline of the routes in most scenarios.
const LONG_DEADLINE: Micros = Micros::from_millis(10_000);
/// Deadline of the routes in the scenario `crest`.
const SHORT_DEADLINE: Micros = Micros::from_millis(1_000);
/// Times of actions since the start of the load.
const AT_2_S: Micros = Micros::from_millis(2_000);
const AT_3_S: Micros = Micros::from_millis(3_000);
const AT_5_S: Micros = Micros::from_millis(5_000);
const AT_6_S: Micros = Micros::from_millis(6_000);

const STEADY: Scenario = Scenario {
    name: "steady",
    profile: LoadProfile::Flat(0.7),
    straggler_share: 0.01,
    independent_reruns: false,
    first_entry_share: None,
    entries: 5,
    misleading: false,
    deadline: LONG_DEADLINE,
    keyed: false,
    actions: &[],
};

/// Returns a scenario with a constant load of half the capacity, and actions.
const fn with_actions(name: &'static str, actions: &'static [(Micros, Action)]) -> Scenario {
    Scenario {
        name,
        profile: LoadProfile::Flat(0.5),
        deadline: LONG_DEADLINE,
        actions,
        ..STEADY
    }
}

/// Every scenario of the command line but `force`, `overhead` and `slopes`.
pub const SCENARIOS: [Scenario; 17] = [
    STEADY,
    // 90% of the capacity.
    Scenario {
        name: "busy",
        profile: LoadProfile::Flat(0.9),
        ..STEADY
    },
    // Stragglers are slow by chance: a hedge or a retry of one is not slow.
    Scenario {
        name: "unlucky",
        independent_reruns: true,
        ..STEADY
    },
    Scenario {
        name: "crest",
        profile: LoadProfile::Peak(AT_2_S),
        deadline: SHORT_DEADLINE,
        ..STEADY
    },
    Scenario {
        name: "skewed",
        first_entry_share: Some(0.4),
        ..STEADY
    },
    Scenario {
        name: "many-entries",
        entries: 48,
        ..STEADY
    },
    Scenario {
        name: "keyed",
        keyed: true,
        profile: LoadProfile::Flat(0.5),
        ..STEADY
    },
    Scenario {
        name: "misleading",
        misleading: true,
        ..STEADY
    },
    with_actions("lost-server", &[(AT_2_S, Action::KillServer)]),
    // A server rejects every request at once.
    with_actions("failfast", &[(AT_2_S, Action::FailServer)]),
    with_actions("drain", &[(AT_2_S, Action::DrainServer)]),
    // A server is slow for 3 s, as after a restart.
    with_actions("cold", &[(AT_2_S, Action::ColdServer)]),
    with_actions(
        "entry-lost",
        &[
            (AT_2_S, Action::KillEntry(0)),
            (AT_5_S, Action::KillEntry(1)),
        ],
    ),
    with_actions("entry-leaving", &[(AT_2_S, Action::StopEntry(0))]),
    // Pauses processes with `STOP`; unlike `LinkState::Frozen`, which holds a link back.
    with_actions(
        "freeze",
        &[
            (AT_2_S, Action::PauseEntry(0)),
            (AT_5_S, Action::ResumeEntry(0)),
            (AT_5_S, Action::PauseEntry(1)),
            (Micros::from_millis(8_000), Action::ResumeEntry(1)),
        ],
    ),
    with_actions(
        "link-cut",
        &[
            (AT_2_S, Action::CutLink(1, 0)),
            (AT_3_S, Action::CutLink(0, 1)),
        ],
    ),
    with_actions(
        "platform-down",
        &[(AT_2_S, Action::PlatformDown), (AT_6_S, Action::PlatformUp)],
    ),
];

impl Scenario {
    /// Returns whether an action kills, stops, pauses or resumes an entry.
    #[must_use]
    pub fn is_entry_disrupted(&self, layout: &Layout, entry: usize) -> bool {
        let mut actions = self.actions.iter().map(|(_, action)| action);
        actions.any(|action| {
            action.get_rank().map(|rank| layout.get_entry_by_rank(rank)) == Some(entry)
        })
    }
}

/// Returns the scenario with a name.
#[must_use]
pub fn get_scenario(name: &str) -> Option<Scenario> {
    SCENARIOS.into_iter().find(|scenario| scenario.name == name)
}

use lentilcart_util::Micros;

use super::action::Action;
use crate::cluster::Layout;
use crate::load::LoadProfile;

/// Load, deployment and events of a run of the bench.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Course of the load.
    pub profile: LoadProfile,
    /// Share of requests that are stragglers, with 30 times the usual service time.
    pub straggler_share: f64,
    /// Whether a further execution of a request draws its own service time, which is never that of a
    /// straggler; otherwise it takes as long as the first.
    pub independent_reruns: bool,
    /// Share of requests that go to the first entry; `None` for equal shares of all.
    pub skew: Option<f64>,
    /// Number of entries.
    pub entries: usize,
    /// Whether every third server reports a load of 0 all the time.
    pub misleading: bool,
    /// Deadline of every route.
    pub deadline: Micros,
    /// Whether requests that must run at most once carry an idempotency key.
    pub keyed: bool,
    /// Events in order, each with its time since the start of the load.
    pub events: &'static [(Micros, Action)],
}

/// Deadline of the routes in most scenarios.
const LONG_DEADLINE: Micros = Micros::from_millis(10_000);
/// Deadline of the routes in the scenario `crest`.
const SHORT_DEADLINE: Micros = Micros::from_millis(1_000);
/// Times of events since the start of the load.
const AT_2_S: Micros = Micros::from_millis(2_000);
const AT_3_S: Micros = Micros::from_millis(3_000);
const AT_5_S: Micros = Micros::from_millis(5_000);
const AT_6_S: Micros = Micros::from_millis(6_000);

const STEADY: Scenario = Scenario {
    name: "steady",
    profile: LoadProfile::Flat(0.7),
    straggler_share: 0.01,
    independent_reruns: false,
    skew: None,
    entries: 5,
    misleading: false,
    deadline: LONG_DEADLINE,
    keyed: false,
    events: &[],
};

/// Returns a scenario with a constant load of half the capacity, and events.
const fn with_events(name: &'static str, events: &'static [(Micros, Action)]) -> Scenario {
    Scenario {
        name,
        profile: LoadProfile::Flat(0.5),
        deadline: LONG_DEADLINE,
        events,
        ..STEADY
    }
}

/// Every scenario of the command line but `force`, `overhead` and `slopes`.
pub const SCENARIOS: [Scenario; 17] = [
    STEADY,
    Scenario {
        name: "busy",
        profile: LoadProfile::Flat(0.9),
        ..STEADY
    },
    Scenario {
        name: "unlucky",
        independent_reruns: true,
        ..STEADY
    },
    Scenario {
        name: "crest",
        profile: LoadProfile::Crest(AT_2_S),
        deadline: SHORT_DEADLINE,
        ..STEADY
    },
    Scenario {
        name: "skewed",
        skew: Some(0.4),
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
    with_events("lost-server", &[(AT_2_S, Action::KillServer)]),
    with_events("failfast", &[(AT_2_S, Action::FailServer)]),
    with_events("drain", &[(AT_2_S, Action::DrainServer)]),
    with_events("cold", &[(AT_2_S, Action::ColdServer)]),
    with_events(
        "entry-lost",
        &[
            (AT_2_S, Action::KillEntry(0)),
            (AT_5_S, Action::KillEntry(1)),
        ],
    ),
    with_events("entry-leaving", &[(AT_2_S, Action::StopEntry(0))]),
    with_events(
        "freeze",
        &[
            (AT_2_S, Action::PauseEntry(0)),
            (AT_5_S, Action::ResumeEntry(0)),
            (AT_5_S, Action::PauseEntry(1)),
            (Micros::from_millis(8_000), Action::ResumeEntry(1)),
        ],
    ),
    with_events(
        "link-cut",
        &[
            (AT_2_S, Action::CutLink(1, 0)),
            (AT_3_S, Action::CutLink(0, 1)),
        ],
    ),
    with_events(
        "platform-down",
        &[(AT_2_S, Action::PlatformDown), (AT_6_S, Action::PlatformUp)],
    ),
];

impl Scenario {
    /// Returns whether an event kills, stops, pauses or resumes an entry.
    #[must_use]
    pub fn is_affected(&self, layout: &Layout, entry: usize) -> bool {
        let mut actions = self.events.iter().map(|(_, action)| action);
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

use lentilcart_util::Micros;

use super::action::Action;
use crate::cluster::Layout;
use crate::load::Profile;

/// A run of the bench.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// How the load moves.
    pub profile: Profile,
    /// Share of requests with 30 times the work.
    pub straggler: f64,
    /// Whether a further execution of a straggler has usual work.
    pub unlucky: bool,
    /// Share of callers of the first entry.
    pub skew: Option<f64>,
    /// Number of entries.
    pub entries: usize,
    /// Share of the servers that report no load.
    pub misleading: bool,
    /// Deadline of every route.
    pub deadline: Micros,
    /// Whether requests that run at most once carry an idempotency key.
    pub keyed: bool,
    /// Events, by the time since the start.
    pub events: &'static [(Micros, Action)],
}

const LONG: Micros = Micros::from_millis(10_000);
const SHORT: Micros = Micros::from_millis(1_000);
const T2: Micros = Micros::from_millis(2_000);
const T3: Micros = Micros::from_millis(3_000);
const T5: Micros = Micros::from_millis(5_000);
const T6: Micros = Micros::from_millis(6_000);

const STEADY: Scenario = Scenario {
    name: "steady",
    profile: Profile::Flat(0.7),
    straggler: 0.01,
    unlucky: false,
    skew: None,
    entries: 5,
    misleading: false,
    deadline: LONG,
    keyed: false,
    events: &[],
};

const fn faulty(name: &'static str, events: &'static [(Micros, Action)]) -> Scenario {
    Scenario {
        name,
        profile: Profile::Flat(0.5),
        deadline: LONG,
        events,
        ..STEADY
    }
}

/// Every scenario.
pub const SCENARIOS: [Scenario; 17] = [
    STEADY,
    Scenario {
        name: "busy",
        profile: Profile::Flat(0.9),
        ..STEADY
    },
    Scenario {
        name: "unlucky",
        unlucky: true,
        ..STEADY
    },
    Scenario {
        name: "crest",
        profile: Profile::Crest(T2),
        deadline: SHORT,
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
        profile: Profile::Flat(0.5),
        ..STEADY
    },
    Scenario {
        name: "misleading",
        misleading: true,
        ..STEADY
    },
    faulty("lost-server", &[(T2, Action::KillServer)]),
    faulty("failfast", &[(T2, Action::FailServer)]),
    faulty("drain", &[(T2, Action::DrainServer)]),
    faulty("cold", &[(T2, Action::ColdServer)]),
    faulty(
        "entry-lost",
        &[(T2, Action::KillEntry(0)), (T5, Action::KillEntry(1))],
    ),
    faulty("entry-leaving", &[(T2, Action::StopEntry(0))]),
    faulty(
        "freeze",
        &[
            (T2, Action::PauseEntry(0)),
            (T5, Action::ResumeEntry(0)),
            (T5, Action::PauseEntry(1)),
            (Micros::from_millis(8_000), Action::ResumeEntry(1)),
        ],
    ),
    faulty(
        "link-cut",
        &[(T2, Action::CutLink(1, 0)), (T3, Action::CutLink(0, 1))],
    ),
    faulty(
        "platform-down",
        &[(T2, Action::PlatformDown), (T6, Action::PlatformUp)],
    ),
];

impl Scenario {
    /// Returns whether an event concerns an entry.
    #[must_use]
    pub fn is_concerned(&self, layout: &Layout, entry: usize) -> bool {
        let mut actions = self.events.iter().map(|(_, action)| action);
        actions.any(|action| action.get_rank().map(|rank| layout.get_ranked(rank)) == Some(entry))
    }
}

/// Returns the scenario of a name.
#[must_use]
pub fn get_scenario(name: &str) -> Option<Scenario> {
    SCENARIOS.into_iter().find(|scenario| scenario.name == name)
}

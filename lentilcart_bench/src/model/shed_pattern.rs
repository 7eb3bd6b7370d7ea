use lentilcart_util::Micros;

/// When the load or the servers change, and until when.
pub const INCIDENT: (Micros, Micros) = (Micros::from_millis(4000), Micros::from_millis(8000));
/// Last arrival of a first attempt.
pub const END: Micros = Micros::from_millis(12_000);
/// Duration for which the servers that come back are cold.
const COLD_TIME: Micros = Micros::from_millis(3000);
/// Slowdown of a cold server.
const COLD_SLOWDOWN: f64 = 2.0;

/// A kind of request, after the routes of deployment K.
#[derive(Debug, Clone, Copy)]
pub struct ShedKind {
    /// Name in the tables.
    pub name: &'static str,
    /// Share of the requests.
    pub share: f64,
    /// Mean service time at an idle server.
    pub service_time: Micros,
    /// Latency objective.
    pub objective: Micros,
    /// Deadline.
    pub deadline: Micros,
    /// Priority in the queue.
    pub priority: u8,
    /// Value of an answer in time; that of a late one is a tenth.
    pub weight: f64,
}

/// The kinds of request. Their shares are those of the rates in deployment K.
pub const KINDS: [ShedKind; 3] = [
    ShedKind {
        name: "lookups",
        share: 579.0 / 840.0,
        service_time: Micros::from_millis(180),
        objective: Micros::from_millis(500),
        deadline: Micros::from_millis(1500),
        priority: 8,
        weight: 1.0,
    },
    ShedKind {
        name: "bookings",
        share: 200.0 / 840.0,
        service_time: Micros::from_millis(240),
        objective: Micros::from_millis(600),
        deadline: Micros::from_millis(2000),
        priority: 9,
        weight: 1.0,
    },
    ShedKind {
        name: "uploads",
        share: 61.0 / 840.0,
        service_time: Micros::from_millis(220),
        objective: Micros::from_millis(2000),
        deadline: Micros::from_millis(3000),
        priority: 7,
        weight: 1.0,
    },
];

/// A pattern of load and servers with an incident between `INCIDENT`.
#[derive(Debug, Clone, Copy)]
pub struct ShedPattern {
    /// Name in the tables.
    pub name: &'static str,
    /// Load as a share of the capacity, outside the incident and in it.
    pub load: (f64, f64),
    /// Share of the servers that is lost in the incident.
    pub lost: f64,
    /// Slowdown of half of the servers in the incident.
    pub slowdown: f64,
    /// Whether the servers that were lost come back cold.
    pub cold: bool,
    /// Whether refused callers come back at once instead of after `Retry-After`.
    pub at_once: bool,
    /// Whether the additional load of the incident is that of one account.
    pub one_account: bool,
}

const USUAL: ShedPattern = ShedPattern {
    name: "",
    load: (0.7, 0.7),
    lost: 0.0,
    slowdown: 1.0,
    cold: false,
    at_once: false,
    one_account: false,
};

/// The patterns that rules are compared on.
pub const PATTERNS: [ShedPattern; 7] = [
    ShedPattern {
        name: "burst",
        load: (0.7, 1.6),
        ..USUAL
    },
    ShedPattern {
        name: "repeat at once",
        load: (0.7, 1.6),
        at_once: true,
        ..USUAL
    },
    ShedPattern {
        name: "half lost",
        lost: 0.5,
        ..USUAL
    },
    ShedPattern {
        name: "slow servers",
        slowdown: 4.0,
        ..USUAL
    },
    ShedPattern {
        name: "back cold",
        lost: 0.75,
        cold: true,
        ..USUAL
    },
    // The callers of another data centre, as many as usual here, come too.
    ShedPattern {
        name: "move",
        load: (0.65, 1.3),
        ..USUAL
    },
    // Seven times the usual requests of an account with 15 of 100.
    ShedPattern {
        name: "one account",
        load: (0.7, 0.7 * 1.9),
        one_account: true,
        ..USUAL
    },
];

impl ShedPattern {
    /// Returns whether an incident is in progress.
    fn is_on(now: Micros) -> bool {
        (INCIDENT.0..INCIDENT.1).contains(&now)
    }

    /// Returns the load as a share of the capacity.
    #[must_use]
    pub fn get_load(&self, now: Micros) -> f64 {
        if Self::is_on(now) {
            self.load.1
        } else {
            self.load.0
        }
    }

    /// Returns how many of a number of servers are lost.
    #[must_use]
    pub fn get_lost_count(&self, now: Micros, servers: usize) -> usize {
        if Self::is_on(now) {
            (servers as f64 * self.lost) as usize
        } else {
            0
        }
    }

    /// Returns the slowdown of one of a number of servers.
    #[must_use]
    pub fn get_slowdown(&self, now: Micros, server: usize, servers: usize) -> f64 {
        let was_lost = server < (servers as f64 * self.lost) as usize;
        let is_cold = (INCIDENT.1..INCIDENT.1 + COLD_TIME).contains(&now);
        match () {
            () if Self::is_on(now) && server.is_multiple_of(2) => self.slowdown,
            () if self.cold && was_lost && is_cold => COLD_SLOWDOWN,
            () => 1.0,
        }
    }
}

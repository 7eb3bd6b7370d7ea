use lentilcart_util::Micros;

/// Slack of a request that must start soon, as a share of the time from its arrival to its objective.
const MIN_SLACK_SHARE: f64 = 0.2;

/// A request that needs a server, as the decision sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Id of the request in the pool.
    pub id: u64,
    /// Priority; a higher one is more urgent.
    pub priority: u8,
    /// Time of its first arrival, as far as it is known.
    pub arrived: Micros,
    /// Time by which its answer must be complete.
    pub deadline: Micros,
    /// Time by which it should be answered.
    pub objective: Micros,
    /// Expected service time of its kind at an idle server.
    pub service_time: Micros,
}

/// The room that the servers of a service have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShedLoad {
    /// Current time.
    pub now: Micros,
    /// Service times that all servers complete in one service time: their limits, divided by their slowdowns.
    pub room: f64,
    /// Expected latency of a request that has been started, in service times of its kind.
    pub latency_factor: f64,
    /// Whether requests have been waiting for some time without a break.
    pub standing: bool,
    /// Whether a request waits that must start soon to be answered by its objective.
    pub pressed: bool,
}

impl ShedLoad {
    /// Returns when a request would be answered that starts after a wait.
    #[must_use]
    pub fn get_answer_time(&self, candidate: &Candidate, wait: Micros) -> Micros {
        self.now + wait + candidate.service_time.scaled(self.latency_factor)
    }

    /// Returns how long the servers take for a work, which is a sum of service times.
    #[must_use]
    pub fn get_duration(&self, work: Micros) -> Micros {
        work.scaled(1.0 / self.room)
    }

    /// Returns whether a request can be answered by its objective, but only if it starts soon: less than a fifth of the
    /// time to its objective is left over.
    #[must_use]
    pub fn is_urgent(&self, candidate: &Candidate) -> bool {
        let total = candidate.objective - candidate.arrived;
        self.is_in_time(candidate)
            && self.get_answer_time(candidate, total.scaled(MIN_SLACK_SHARE)) > candidate.objective
    }

    /// Returns whether a request would be answered by its objective if it were started now.
    #[must_use]
    pub fn is_in_time(&self, candidate: &Candidate) -> bool {
        self.get_answer_time(candidate, Micros::ZERO) <= candidate.objective
    }
}

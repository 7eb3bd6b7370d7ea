//! Load shedding by a rule that plans ahead: the room of the servers, and the decisions on the queue.

use lentilcart_util::Micros;
use rand::RngExt;

use super::{Decision, PendingRequest, Rejection, ServerPool};
use crate::shed::{Candidate, ShedCause, ShedLoad, ShedVerdict, plan};

/// Time for which requests must have been waiting without a break to count as a standing queue.
const STANDING_TIME: Micros = Micros::from_millis(100);

/// What load shedding has done since the pool was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShedTally {
    /// Requests refused since no server would be free in time.
    pub too_late: u64,
    /// Requests that waited and were refused for one that came later.
    pub displaced: u64,
    /// Requests that were queued and then started.
    pub started: u64,
    /// Sum of their waits.
    pub waited: Micros,
    /// Sum of the waits that were expected when they came.
    pub expected: Micros,
}

impl ServerPool {
    /// Returns what load shedding has done.
    #[must_use]
    pub fn get_shed_tally(&self) -> ShedTally {
        self.shed_tally
    }

    /// Returns whether the rule of load shedding plans ahead, and the room of the servers is known: where none has
    /// room, as while all are ejected, requests are refused by their wait.
    pub(super) fn plans_shedding(&self, now: Micros) -> bool {
        self.config.shedding.plans && self.get_shed_load(now).room > 0.0
    }

    /// Returns the room that the servers have. A server that is cold or names a rate limit has at most the room of
    /// that rate.
    fn get_shed_load(&self, now: Micros) -> ShedLoad {
        let mean_service_time = self.service_times.get_mean();
        let (mut slots, mut room) = (0.0, 0.0);
        for state in &self.states {
            // As in an overload: with all slots in use, a server completes no more requests than with these.
            let kept = state.config.slots.saturating_sub(self.config.reserve);
            let limit = state.get_limit(now, &self.config).min(kept.max(1));
            if limit == 0 || state.is_held_off(now) {
                continue;
            }
            let limit = f64::from(limit);
            let factor = state.get_slowdown(now).max(1.0);
            let paced = self.get_paced_rate(now, state);
            let paced = paced.map_or(f64::MAX, |rate| rate * mean_service_time / 1e6);
            slots += limit;
            room += (limit / factor).min(paced);
        }
        let load = ShedLoad {
            now,
            room,
            latency_factor: if room > 0.0 { slots / room } else { 1.0 },
            standing: self
                .queued_since
                .is_some_and(|since| now - since >= STANDING_TIME),
            pressed: false,
        };
        let pressed = self
            .queue
            .any(|request| load.is_urgent(&self.to_candidate(request)));
        ShedLoad { pressed, ..load }
    }

    fn to_candidate(&self, request: &PendingRequest) -> Candidate {
        let service_time = self.service_times.get_estimate(request.latency_objective);
        Candidate {
            id: request.id,
            priority: request.priority,
            arrived: request.arrived,
            deadline: request.deadline,
            objective: request.objective,
            service_time: Micros(service_time as u64),
        }
    }

    /// Returns the queued requests in the order of the rule.
    fn get_shed_order(&self, load: &ShedLoad) -> Vec<&PendingRequest> {
        let rule = self.config.shedding;
        self.queue.get_order(rule.by_priority, |request| {
            let candidate = self.to_candidate(request);
            let first = !rule.in_time_first || load.is_in_time(&candidate);
            (first, (rule.get_score)(&candidate, load))
        })
    }

    /// Returns the id and the priority of the next request to start, by the rule, that `is_wanted` accepts.
    pub(super) fn find_by_rule(
        &self,
        now: Micros,
        is_wanted: impl Fn(&PendingRequest) -> bool,
    ) -> Option<(u64, u8)> {
        let load = self.get_shed_load(now);
        let mut order = self.get_shed_order(&load).into_iter();
        let next = order.find(|request| is_wanted(request))?;
        Some((next.id, next.priority))
    }

    /// Removes and returns a request to start by its id and priority.
    pub(super) fn pop_by_rule(&mut self, now: Micros, next: (u64, u8)) -> Option<PendingRequest> {
        if let Some((queued_at, expected)) = self.expected_waits.remove(&next.0) {
            self.shed_tally.started += 1;
            self.shed_tally.waited += now - queued_at;
            self.shed_tally.expected += expected;
        }
        self.queue.pop_by_id(next)
    }

    /// Refuses the queued requests that the rule does not keep. `arrival` is the id of the request that has just come.
    pub(super) fn shed(&mut self, now: Micros, arrival: Option<u64>) -> Vec<Decision> {
        if self.queue.len() == 0 {
            self.queued_since = None;
            self.expected_waits.clear();
            return Vec::new();
        }
        self.queued_since = self.queued_since.or(Some(now));
        let load = self.get_shed_load(now);
        if load.room <= 0.0 {
            return self.reject_expired(now);
        }
        let ordered = self.get_shed_order(&load);
        let ordered: Vec<Candidate> = ordered
            .into_iter()
            .map(|request| self.to_candidate(request))
            .collect();
        let verdicts = plan(self.config.shedding, &load, &ordered, arrival);
        let mut decisions = Vec::new();
        for (candidate, verdict) in ordered.iter().zip(verdicts) {
            let (room_after, cause) = match verdict {
                ShedVerdict::Refuse { room_after, cause } => (room_after, cause),
                ShedVerdict::Keep { wait } if arrival == Some(candidate.id) => {
                    self.expected_waits.insert(candidate.id, (now, wait));
                    continue;
                }
                ShedVerdict::Keep { .. } => continue,
            };
            self.cancel_queued(candidate.id);
            match cause {
                ShedCause::TooLate => self.shed_tally.too_late += 1,
                ShedCause::Displaced(_) => self.shed_tally.displaced += 1,
            }
            let room_after = self.return_times.assign(
                now,
                room_after,
                load.get_duration(candidate.service_time),
                candidate.deadline - now,
                self.rng.random_range(0.0..1.0),
            );
            decisions.push(Decision::Reject {
                request_id: candidate.id,
                reason: Rejection::Shed { room_after, cause },
            });
        }
        decisions
    }
}

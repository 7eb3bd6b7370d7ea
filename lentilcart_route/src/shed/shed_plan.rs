use lentilcart_util::{Micros, common};

use super::{Candidate, ShedLoad, ShedRule};

/// Share by which the wait of a request that has just come may turn out longer than expected: one that is kept at
/// the very limit would soon be refused after all, which costs its caller more than an early refusal.
const ARRIVAL_MARGIN: f64 = 0.25;

common! { value,
    /// Why a request is refused.
    pub enum ShedCause {
        /// Requests that go before it leave no room in time, or no time is left.
        TooLate,
        /// It waited, and the request with this id, which has just come and goes before it, takes its room.
        Displaced(u64),
    }
}

common! { value,
    /// What happens to a request.
    pub enum ShedVerdict {
        /// It starts as soon as a server has room for it.
        Keep {
            /// Expected wait; zero if it is the next one.
            wait: Micros,
        },
        /// It is refused.
        Refuse {
            /// Time after which a request like it is expected to be kept, if no others come.
            room_after: Micros,
            /// Why.
            cause: ShedCause,
        },
    }
}

/// Decides on the requests that need a server, which are in the order of a rule.
///
/// `arrival` is the id of the request that has just come, if any: a request that is refused behind it, but could have
/// been kept without it, is displaced by it.
#[must_use]
pub fn plan(
    rule: &ShedRule,
    load: &ShedLoad,
    ordered: &[Candidate],
    arrival: Option<u64>,
) -> Vec<ShedVerdict> {
    let mut work = Micros::ZERO;
    let mut arrival_work = Micros::ZERO;
    let mut verdicts = Vec::with_capacity(ordered.len());
    for candidate in ordered {
        let wait = load.get_duration(work);
        let latest = (rule.get_latest_answer)(candidate, load);
        let margin = match arrival {
            Some(id) if id == candidate.id => wait.scaled(ARRIVAL_MARGIN),
            _ => Micros::ZERO,
        };
        let answer = load.get_answer_time(candidate, wait + margin);
        if answer <= latest {
            work += candidate.service_time;
            if arrival == Some(candidate.id) {
                arrival_work = candidate.service_time;
            }
            verdicts.push(ShedVerdict::Keep { wait });
            continue;
        }
        let without = load.get_duration(work - arrival_work);
        let cause = match arrival {
            Some(id)
                if id != candidate.id && load.get_answer_time(candidate, without) <= latest =>
            {
                ShedCause::Displaced(id)
            }
            _ => ShedCause::TooLate,
        };
        // A request that comes later has its whole time before it: its wait may be as long as that of this one when
        // it came.
        let accepted = latest - candidate.arrived;
        let needed = answer - load.now;
        verdicts.push(ShedVerdict::Refuse {
            room_after: needed - accepted,
            cause,
        });
    }
    verdicts
}

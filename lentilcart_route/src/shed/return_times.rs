use lentilcart_util::Micros;

/// Largest share of the remaining time of a request after which its caller is told to come back, if there is room by
/// then: the rest is needed for the answer.
const MAX_REMAINING_SHARE: f64 = 1.0 / 3.0;

/// When the callers of refused requests are told to come back: one after another, as the servers have room for them,
/// so that those which are refused together do not return together.
#[derive(Debug, Default)]
pub struct ReturnTimes {
    /// Time at which the last caller was told to come back.
    last: Micros,
}

impl ReturnTimes {
    /// Returns after which time the caller of a refused request is told to come back: not before `room_after`, when
    /// room is expected, and an `interval` (the time that the servers take for a request like it) after the caller
    /// before.
    ///
    /// If that is later than a third of its `remaining` time, the time is drawn by `random`, from 0 to 1, between
    /// `room_after` and that third. If there is no room by then, it is `room_after` and up to one interval.
    pub fn assign(
        &mut self,
        now: Micros,
        room_after: Micros,
        interval: Micros,
        remaining: Micros,
        random: f64,
    ) -> Micros {
        let longest = remaining.scaled(MAX_REMAINING_SHARE);
        let turn = (self.last + interval).max(now + room_after) - now;
        if turn <= longest {
            self.last = now + turn;
            return turn;
        }
        let spread = if room_after < longest {
            longest - room_after
        } else {
            interval
        };
        room_after + spread.scaled(random)
    }
}

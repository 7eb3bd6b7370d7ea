use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use lentilcart_util::Micros;

use super::shot::Shot;
use crate::servers::Slowdowns;

const SLOTS: usize = 3;

/// Returns the latencies of a service's requests before one dispatcher that knows every
/// outstanding request at once and holds a single queue, in the order of `shots`.
///
/// `slowdowns` holds one schedule a server; `delay` gives the one-way time between an entry and a
/// server. There is no hedging and no cost of the dispatcher.
#[must_use]
pub fn bound(
    shots: &[&Shot],
    slowdowns: &[Slowdowns],
    delay: impl Fn(usize, usize) -> Micros,
) -> Vec<Micros> {
    let mut latencies = vec![Micros::ZERO; shots.len()];
    let mut busy = vec![0_usize; slowdowns.len()];
    let mut waiting: VecDeque<usize> = VecDeque::new();
    let mut ends: BinaryHeap<Reverse<(Micros, usize)>> = BinaryHeap::new();
    let mut arrivals = (0..shots.len()).peekable();
    loop {
        let arrival = arrivals.peek().map(|&index| shots[index].at);
        let end = ends.peek().map(|Reverse((at, _))| *at);
        let now = match (arrival, end) {
            (None, None) => return latencies,
            (Some(at), Some(end)) if at < end => at,
            (Some(at), None) => at,
            (_, Some(end)) => end,
        };
        if end == Some(now) {
            if let Some(Reverse((_, server))) = ends.pop() {
                busy[server] -= 1;
            }
        } else {
            waiting.extend(arrivals.next());
        }
        while let Some(&index) = waiting.front() {
            let shot = shots[index];
            let open = (0..busy.len()).filter(|&server| busy[server] < SLOTS);
            let Some(server) = open.min_by_key(|&s| (busy[s], delay(shot.entry, s))) else {
                break;
            };
            waiting.pop_front();
            busy[server] += 1;
            let way = delay(shot.entry, server);
            let done = slowdowns[server].end_of(now + way, shot.work);
            ends.push(Reverse((done, server)));
            latencies[index] = done + way - shot.at;
        }
    }
}

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use lentilcart_util::Micros;

use super::planned_request::PlannedRequest;
use crate::servers::Slowdowns;

/// Requests that a server runs at the same time.
const SLOTS: usize = 3;

/// Simulates the reference, a dispatcher with full knowledge, and returns the latencies of a service's
/// requests, in the order of `requests`.
///
/// The dispatcher learns of every completion at once and holds a single first-come first-served
/// queue for all servers, as in an M/G/k queue. It sends a request to the server with the fewest
/// running requests, the nearest of them, as soon as a slot is free. It does not hedge and takes no
/// time of its own.
///
/// `slowdowns` holds one schedule per server; `one_way_delay` gives the one-way network latency
/// between an entry (first) and a server (second). Columns of the report name this reference
/// `bound`, but it is not a proven bound.
#[must_use]
pub fn simulate_reference(
    requests: &[&PlannedRequest],
    slowdowns: &[Slowdowns],
    one_way_delay: impl Fn(usize, usize) -> Micros,
) -> Vec<Micros> {
    let mut latencies = vec![Micros::ZERO; requests.len()];
    let mut running = vec![0_usize; slowdowns.len()];
    let mut waiting: VecDeque<usize> = VecDeque::new();
    let mut completions: BinaryHeap<Reverse<(Micros, usize)>> = BinaryHeap::new();
    let mut arrivals = (0..requests.len()).peekable();
    loop {
        let next_arrival = arrivals.peek().map(|&index| requests[index].arrival);
        let next_completion = completions.peek().map(|Reverse((due, _))| *due);
        let now = match (next_arrival, next_completion) {
            (None, None) => return latencies,
            (Some(at), Some(ended)) if at < ended => at,
            (Some(at), None) => at,
            (_, Some(ended)) => ended,
        };
        if next_completion == Some(now) {
            if let Some(Reverse((_, server))) = completions.pop() {
                running[server] -= 1;
            }
        } else {
            waiting.extend(arrivals.next());
        }
        while let Some(&index) = waiting.front() {
            let request = requests[index];
            let free = (0..running.len()).filter(|&server| running[server] < SLOTS);
            let Some(server) = free.min_by_key(|&s| (running[s], one_way_delay(request.entry, s)))
            else {
                break;
            };
            waiting.pop_front();
            running[server] += 1;
            let latency = one_way_delay(request.entry, server);
            let finish = slowdowns[server].get_completion(now + latency, request.service_time);
            completions.push(Reverse((finish, server)));
            latencies[index] = finish + latency - request.arrival;
        }
    }
}

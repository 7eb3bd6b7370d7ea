use lentilcart_util::Micros;

use super::pick_context::PickContext;

const PROBE_LIFE: Micros = Micros::from_millis(1000);
const HOT_QUANTILE: f64 = 0.84;
const WAIT_WEIGHT: f64 = 10.0;
const FAR_WEIGHT: f64 = 1.0;
const BORROWED_WEIGHT: f64 = 1.0;
/// Cost of a failed attempt, in usual work times.
const FAILURE_COST: f64 = 8.0;
/// Spread of the time that a request takes around what is expected, as a share of the time left.
const LATE_SPREAD: f64 = 0.2;
/// Cost of time itself, for all of the time left, as a probability of a late answer.
const TIME_COST: f64 = 0.15;
/// Probabilities of a late answer that count as equal: entries that know the same would otherwise all
/// choose the same server.
const CLOSE: f64 = 0.04;
/// Shortest time left that is reckoned with.
const LEAST_LEFT: Micros = Micros::from_millis(10);

pub(super) fn random(choice: &mut PickContext<'_>) -> usize {
    choice.any()
}

pub(super) fn round_robin(choice: &mut PickContext<'_>) -> usize {
    choice.open[choice.turn as usize % choice.open.len()]
}

/// Fewest outstanding requests of this entry.
pub(super) fn least(choice: &mut PickContext<'_>) -> usize {
    choice.lowest(|c, index| c.load(index, 0))
}

/// Shortest expected wait; then fewest outstanding requests.
pub(super) fn least_wait(choice: &mut PickContext<'_>) -> usize {
    choice.lowest(|c, index| c.wait(index) * WAIT_WEIGHT + c.load(index, 0))
}

/// Shortest expected wait; then the sender's data centre, which keeps slots from idling while
/// requests travel; then fewest outstanding requests.
pub(super) fn near_wait(choice: &mut PickContext<'_>) -> usize {
    choice.lowest(|c, index| {
        let far = f64::from(u8::from(c.is_far(index)));
        c.wait(index) * WAIT_WEIGHT + far * FAR_WEIGHT + c.load(index, 0)
    })
}

/// Fewest outstanding requests of all entries, as far as their digests tell.
pub(super) fn least_with_peers(choice: &mut PickContext<'_>) -> usize {
    choice.lowest(|c, index| c.load(index, c.rows[index].get_peers(c.now)))
}

/// Lowest probability of a late answer, by the servers' own reports of load and speed, each of which
/// counts the less the older it is; then the shortest time, and the sender's data centre.
pub(super) fn paced(choice: &mut PickContext<'_>) -> usize {
    choice.near_lowest(CLOSE, |c, index| {
        let row = &c.rows[index];
        let far = f64::from(u8::from(c.is_far(index)));
        let failing = row.get_failing(c.now);
        let expected = row.get_expected(c.now, c.work) * c.work * (1.0 + failing * FAILURE_COST);
        let left = (c.objective - c.now).0.max(LEAST_LEFT.0) as f64;
        let share = expected / left;
        let late = 1.0 / (1.0 + ((1.0 - share) / LATE_SPREAD).exp());
        late + share * TIME_COST + far * c.config.remote_cost
    })
}

/// Own slots first, then the slots of other entries.
pub(super) fn own_slots(choice: &mut PickContext<'_>) -> usize {
    choice.lowest(|c, index| {
        let row = &c.rows[index];
        let borrowed = row.get_outstanding() >= row.get_owned(index, c.share);
        c.load(index, 0) + BORROWED_WEIGHT * f64::from(u8::from(borrowed))
    })
}

/// The less loaded of two random servers, after Mitzenmacher, 2001.
pub(super) fn two_choices(choice: &mut PickContext<'_>) -> usize {
    let (a, b) = (choice.any(), choice.any());
    if choice.load(a, 0) <= choice.load(b, 0) {
        a
    } else {
        b
    }
}

/// The hot/cold rule of Prequal (Wydrowski et al., NSDI 2024): among the probed servers, those
/// with the most requests in flight are hot; the cold one with the lowest latency wins, or, where
/// all are hot, the one with the fewest requests in flight.
pub(super) fn probe_pool(choice: &mut PickContext<'_>) -> usize {
    let measure = |index: &usize| {
        let probe = choice.rows[*index].get_probe(choice.now, PROBE_LIFE);
        probe.map(|(load, latency)| {
            (
                *index,
                load + choice.rows[*index].get_outstanding(),
                latency,
            )
        })
    };
    let probes: Vec<(usize, u32, Micros)> = choice.open.iter().filter_map(measure).collect();
    let mut loads: Vec<u32> = probes.iter().map(|(_, load, _)| *load).collect();
    loads.sort_unstable();
    let rank = (loads.len() as f64 * HOT_QUANTILE) as usize;
    match loads.get(rank.min(loads.len().saturating_sub(1))) {
        None => choice.any(),
        Some(hot) => {
            let cold = probes.iter().filter(|(_, load, _)| load < hot);
            let cold = cold.min_by_key(|(_, load, latency)| (*latency, *load));
            let best = cold.or_else(|| probes.iter().min_by_key(|(_, load, _)| *load));
            best.map_or(choice.open[0], |(index, ..)| *index)
        }
    }
}

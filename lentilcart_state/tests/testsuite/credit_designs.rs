//! Designs of a limit that holds across entries, compared in paired runs without a network.
//!
//! `CREDIT_SIZES=5,47,210,300 cargo test -p lentilcart_state credit_designs -- --nocapture` prints the table
//! of `docs/design/account-limits.md`.

use lentilcart_state::AccountLimit;
use lentilcart_util::Micros;

use crate::credit_world::{RULES, World};

const LIMIT: AccountLimit = AccountLimit {
    rate: 309.0,
    burst: 309.0,
};
const STEP: Micros = Micros::from_millis(10);
/// Time before the load, in which buckets fill.
const WARM_UP: Micros = Micros::from_millis(4000);
/// Interval of heartbeats, and the time without one after which an entry counts as lost.
const HEARTBEAT: Micros = Micros::from_millis(500);
const HEARTBEAT_TIMEOUT: Micros = Micros::from_millis(1800);
/// Part of an equal share that an entry without demand keeps.
const IDLE_PART: f64 = 0.05;

/// What is measured of a design.
#[derive(Debug, Clone, Copy)]
struct Figures {
    /// Part of the requests below the limit that is served, with all callers at one entry, and while they
    /// move to another entry every second.
    at_one: f64,
    moving: f64,
    /// Most requests of a window as a part of the bound, in an overload at two sides of a partition.
    overrun: f64,
    /// Messages and bytes a second and entry.
    messages: f64,
    bytes: f64,
}

/// Requests a second at each entry, by the time since the load began.
fn get_load(pattern: usize, count: usize, time: Micros) -> (usize, f64) {
    match pattern {
        0 => (0, 0.95),
        _ => ((time.0 / 1_000_000) as usize % count, 0.95),
    }
}

/// Entries with a bucket each, whose share is equal, or follows the demand of which heartbeats tell.
struct Shares {
    by_demand: bool,
    /// Demand of each entry as each one knows it, and when it was heard.
    known: Vec<Vec<(f64, Micros)>>,
    arrivals: Vec<f64>,
    levels: Vec<f64>,
    partial: Vec<f64>,
    sent: Vec<Micros>,
    offered: usize,
    messages: u64,
}

impl Shares {
    fn new(count: usize, by_demand: bool) -> Self {
        Self {
            by_demand,
            known: vec![vec![(0.0, Micros::ZERO); count]; count],
            arrivals: vec![0.0; count],
            levels: vec![0.0; count],
            partial: vec![0.0; count],
            sent: Vec::new(),
            offered: 0,
            messages: 0,
        }
    }

    fn get_share(&self, entry: usize, now: Micros) -> f64 {
        let count = self.levels.len() as f64;
        if !self.by_demand {
            return 1.0 / count;
        }
        let idle = LIMIT.rate * IDLE_PART / count;
        let heard = self.known[entry].iter();
        let heard = heard.filter(|(_, at)| now - *at < HEARTBEAT_TIMEOUT);
        let sum: f64 = heard.map(|(demand, _)| demand + idle).sum();
        (self.known[entry][entry].0 + idle) / sum.max(idle)
    }

    fn step(&mut self, now: Micros, demands: &[f64], is_split: bool) {
        let count = demands.len();
        for (entry, demand) in demands.iter().enumerate() {
            let share = self.get_share(entry, now);
            let level = self.levels[entry] + share * LIMIT.rate * STEP.as_secs();
            self.levels[entry] = level.min(share * LIMIT.burst).max(0.0);
            self.partial[entry] += demand * STEP.as_secs();
            while self.partial[entry] >= 1.0 {
                self.partial[entry] -= 1.0;
                self.arrivals[entry] += 1.0;
                self.offered += 1;
                if self.levels[entry] >= 1.0 {
                    self.levels[entry] -= 1.0;
                    self.sent.push(now);
                }
            }
        }
        if self.by_demand && now.0.is_multiple_of(HEARTBEAT.0) {
            for from in 0..count {
                let demand = self.arrivals[from] / HEARTBEAT.as_secs();
                self.arrivals[from] = 0.0;
                for to in 0..count {
                    if !is_split || from % 2 == to % 2 {
                        self.known[to][from] = (demand, now);
                    }
                    self.messages += u64::from(from != to);
                }
            }
        }
    }
}

fn get_worst_window(sent: &[Micros]) -> f64 {
    let mut first = 0;
    let mut worst = 0;
    for (last, at) in sent.iter().enumerate() {
        while sent[first] + RULES.window <= *at {
            first += 1;
        }
        worst = worst.max(last + 1 - first);
    }
    worst as f64 / RULES.get_bound(LIMIT)
}

fn measure_shares(count: usize, by_demand: bool) -> Figures {
    let mut used = [0.0; 2];
    let mut messages = 0.0;
    for (pattern, used) in used.iter_mut().enumerate() {
        let mut shares = Shares::new(count, by_demand);
        let end = Micros::from_millis(6000);
        let mut now = Micros::ZERO;
        while now < WARM_UP + end {
            now += STEP;
            let mut demands = vec![0.0; count];
            if now > WARM_UP {
                let (entry, load) = get_load(pattern, count, now - WARM_UP);
                demands[entry] = load * LIMIT.rate;
            }
            shares.step(now, &demands, false);
        }
        *used = shares.sent.len() as f64 / shares.offered as f64;
        messages = shares.messages as f64 / now.as_secs() / count as f64;
    }
    let mut shares = Shares::new(count, by_demand);
    let mut now = Micros::ZERO;
    while now < Micros::from_millis(12_000) {
        now += STEP;
        let demands = vec![3.0 * LIMIT.rate / count as f64; count];
        shares.step(now, &demands, now > WARM_UP);
    }
    Figures {
        at_one: used[0],
        moving: used[1],
        overrun: get_worst_window(&shares.sent),
        messages,
        // A name and a number for each account with demand, and the headers.
        bytes: messages * 60.0,
    }
}

fn measure_credit(count: usize) -> Figures {
    let mut used = [0.0; 2];
    let mut traffic = (0.0, 0.0);
    for (pattern, used) in used.iter_mut().enumerate() {
        let mut world = World::new(7, count, LIMIT);
        world.run(WARM_UP);
        let start = world.now;
        let before = (world.messages, world.message_bytes);
        for second in 0..6 {
            let (entry, load) = get_load(pattern, count, Micros::from_millis(second * 1000));
            world.nodes.iter_mut().for_each(|node| node.demand = 0.0);
            world.nodes[entry].demand = load * LIMIT.rate;
            world.run(Micros::from_millis(1000));
        }
        let (sent, refused) = world.count(start, world.now);
        *used = sent as f64 / (sent + refused) as f64;
        let entry_seconds = 6.0 * count as f64;
        traffic = (
            (world.messages - before.0) as f64 / entry_seconds,
            (world.message_bytes - before.1) as f64 / entry_seconds,
        );
    }
    let mut world = World::new(8, count, LIMIT);
    for node in &mut world.nodes {
        node.demand = 3.0 * LIMIT.rate / count as f64;
    }
    world.run(WARM_UP);
    for (index, node) in world.nodes.iter_mut().enumerate() {
        node.side = (index % 2) as u8;
    }
    world.run(Micros::from_millis(8000));
    Figures {
        at_one: used[0],
        moving: used[1],
        overrun: get_worst_window(&world.sent),
        messages: traffic.0,
        bytes: traffic.1,
    }
}

// Guards against a choice of the design by figures that no longer hold: only credit that is granted by
// delegated shares gives one entry the whole rate at once and keeps the bound under a partition.
#[test]
fn credit_designs_compared() {
    let sizes = std::env::var("CREDIT_SIZES").unwrap_or_else(|_| "5,24".to_owned());
    println!(
        "| entries | design | at one entry | moving callers | worst window / bound | messages/s | bytes/s |"
    );
    for size in sizes.split(',').map(|size| size.parse().unwrap()) {
        let designs = [
            ("static shares", measure_shares(size, false)),
            ("shares by demand", measure_shares(size, true)),
            ("delegated credit", measure_credit(size)),
        ];
        for (name, figures) in designs {
            println!(
                "| {size} | {name} | {:.3} | {:.3} | {:.2} | {:.1} | {:.0} |",
                figures.at_one, figures.moving, figures.overrun, figures.messages, figures.bytes
            );
        }
        let [fixed, by_demand, credit] = designs.map(|(_, figures)| figures);
        assert!(credit.overrun <= 1.0 && credit.moving >= 0.99);
        assert!(by_demand.overrun > 1.0 && by_demand.moving < credit.moving);
        assert!(fixed.at_one < 0.5);
    }
}

//! Limits of accounts that hold across all entries.

use lentilcart_state::{AccountLimit, CREDIT_TTL, get_group};
use lentilcart_util::Micros;
use proptest::prelude::*;

use crate::credit_world::{ACCOUNT, RULES, World};

/// The largest account of the platform, and a small one.
const LARGE: AccountLimit = AccountLimit {
    rate: 309.0,
    burst: 309.0,
};
const SMALL: AccountLimit = AccountLimit {
    rate: 3.0,
    burst: 3.0,
};
/// Time after which all entries of a start have their share in use, and buckets are full.
const START_TIME: Micros = Micros::from_millis(4000);

fn assert_bound(world: &World, limit: AccountLimit) {
    let (worst, bound) = world.get_worst_window(Micros::ZERO, limit);
    assert!(worst as f64 <= bound, "{worst} requests, allowed {bound}");
}

/// Guards against an account that gets less than its limit where all its callers use one entry, and against
/// one that gets more.
#[test]
fn credit_of_one_busy_entry_is_the_whole_rate() {
    for limit in [LARGE, SMALL] {
        let mut world = World::new(1, 47, limit);
        world.run(START_TIME);
        world.nodes[3].demand = limit.rate * 0.95;
        let start = world.now;
        world.run(Micros::from_millis(10_000));
        let (sent, refused) = world.count(start, world.now);
        assert_eq!(refused, 0, "{sent} sent");
        assert_bound(&world, limit);
    }
}

/// Guards against an account that loses credit when all its callers move to another entry.
#[test]
fn credit_follows_callers_that_move() {
    let mut world = World::new(2, 47, LARGE);
    world.run(START_TIME);
    for target in 1..6 {
        let start = world.now;
        world.nodes[target].demand = LARGE.rate * 0.9;
        world.run(Micros::from_millis(1500));
        let (sent, refused) = world.count(start, world.now);
        assert_eq!(refused, 0, "{sent} sent after move {target}");
        world.nodes[target].demand = 0.0;
    }
    assert_bound(&world, LARGE);
}

/// Guards against callers beyond the limit that take more than it, or that waste credit.
#[test]
fn credit_beyond_the_limit_is_refused_and_all_of_it_used() {
    for (limit, demands) in [
        (LARGE, [7.0, 0.0]),
        (LARGE, [2.0, 5.0]),
        (SMALL, [7.0, 7.0]),
    ] {
        let mut world = World::new(3, 47, limit);
        world.queueing = true;
        world.run(START_TIME);
        for (node, demand) in demands.into_iter().enumerate() {
            world.nodes[node].demand = limit.rate * demand;
        }
        world.run(Micros::from_millis(2000));
        let start = world.now;
        world.run(Micros::from_millis(10_000));
        let (sent, _) = world.count(start, world.now);
        assert!(sent as f64 >= 0.97 * limit.rate * 10.0, "{sent} sent");
        assert_bound(&world, limit);
    }
}

/// Guards against an owner whose loss stops an account for longer than it takes to notice and to wait for
/// what it granted.
#[test]
fn credit_returns_after_the_owner_is_killed() {
    let mut world = World::new(4, 47, LARGE);
    world.run(START_TIME);
    for node in &mut world.nodes {
        node.demand = LARGE.rate * 0.8 / 47.0;
    }
    world.run(Micros::from_millis(3000));
    let owner = find_owner(&mut world);
    world.kill(owner);
    world.run(Micros::from_millis(2200));
    let start = world.now;
    world.run(Micros::from_millis(3000));
    let (sent, refused) = world.count(start, world.now);
    assert!(refused * 50 <= sent, "{refused} refused, {sent} sent");
    assert_bound(&world, LARGE);
}

/// Guards against state of accounts that are idle, which would grow with their number.
#[test]
fn credit_of_idle_accounts_takes_no_state() {
    let mut world = World::new(5, 3, LARGE);
    world.run(START_TIME);
    world.nodes[0].demand = 50.0;
    world.run(Micros::from_millis(1000));
    world.nodes[0].demand = 0.0;
    world.run(Micros::from_millis(9000));
    for node in &world.nodes {
        let exchange = node.exchange.as_ref().unwrap();
        assert_eq!(exchange.owner.get_account_count(), 0);
        assert_eq!(exchange.holder.get_account_count(), 0);
    }
}

/// Returns the entry with the largest share of the account.
fn find_owner(world: &mut World) -> usize {
    let shares = world.get_shares(get_group(ACCOUNT));
    let share = |index: &usize| shares.get(&world.nodes[*index].name).copied();
    let largest =
        (0..world.nodes.len()).max_by(|one, other| share(one).partial_cmp(&share(other)).unwrap());
    largest.unwrap()
}

/// A fault of the simulation.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Pause(usize, u64),
    Kill(usize),
    Start(usize),
    KillOwner,
    PauseOwner(u64),
    CutStore(usize, bool),
    StoreDown(bool),
    Partition(u8),
    Heal,
    Add,
    Move(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..12_usize;
    prop_oneof![
        (node.clone(), 50..12_000_u64).prop_map(|(node, millis)| Fault::Pause(node, millis)),
        node.clone().prop_map(Fault::Kill),
        node.clone().prop_map(Fault::Start),
        node.clone().prop_map(Fault::Start),
        Just(Fault::KillOwner),
        (50..12_000_u64).prop_map(Fault::PauseOwner),
        (node.clone(), any::<bool>()).prop_map(|(node, cut)| Fault::CutStore(node, cut)),
        any::<bool>().prop_map(Fault::StoreDown),
        any::<u8>().prop_map(Fault::Partition),
        Just(Fault::Heal),
        Just(Fault::Add),
        node.prop_map(Fault::Move),
    ]
}

impl Fault {
    fn apply(self, world: &mut World, limit: AccountLimit) {
        let count = world.nodes.len();
        match self {
            Self::Pause(node, millis) => {
                world.nodes[node % count].paused_until = world.now + Micros::from_millis(millis);
            }
            Self::Kill(node) => world.kill(node % count),
            Self::Start(node) => {
                if world.nodes[node % count].exchange.is_none() {
                    world.start_process(node % count);
                }
            }
            Self::KillOwner => {
                let owner = find_owner(world);
                world.kill(owner);
            }
            Self::PauseOwner(millis) => {
                let owner = find_owner(world);
                world.nodes[owner].paused_until = world.now + Micros::from_millis(millis);
            }
            Self::CutStore(node, cut) => world.nodes[node % count].store_cut = cut,
            Self::StoreDown(down) => world.store_down = down,
            Self::Partition(bits) => {
                for (index, node) in world.nodes.iter_mut().enumerate() {
                    node.side = bits >> (index % 8) & 1;
                }
            }
            Self::Heal => world.nodes.iter_mut().for_each(|node| node.side = 0),
            Self::Add if count < 16 => world.add_node(count, limit),
            Self::Add => {}
            Self::Move(node) => {
                let demand: f64 = world.nodes.iter().map(|node| node.demand).sum();
                world.nodes.iter_mut().for_each(|node| node.demand = 0.0);
                world.nodes[node % count].demand = demand / 2.0;
                world.nodes[(node + 1) % count].demand = demand / 2.0;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    /// Guards against interleavings of faults in which the entries together send more than the bound.
    #[test]
    fn credit_bound_holds_under_faults(
        seed in any::<u64>(),
        count in 1..8_usize,
        is_small in any::<bool>(),
        load in 1.0..8.0_f64,
        loss in prop_oneof![Just(0.0), 0.0..0.5_f64],
        max_delay in prop_oneof![1..20_u64, 1..2500_u64],
        faults in prop::collection::vec((10..2500_u64, fault()), 1..25),
    ) {
        let limit = if is_small { SMALL } else { LARGE };
        let mut world = World::new(seed, count, limit);
        world.queueing = true;
        world.loss = loss;
        world.max_delay = Micros::from_millis(max_delay);
        for node in &mut world.nodes {
            node.demand = limit.rate * load / count as f64;
        }
        for (millis, fault) in faults {
            world.run(Micros::from_millis(millis));
            fault.apply(&mut world, limit);
        }
        world.run(Micros::from_millis(2000));
        let (worst, bound) = world.get_worst_window(Micros::ZERO, limit);
        prop_assert!(worst as f64 <= bound, "{} requests, allowed {}", worst, bound);
        let sum = world.largest_sum;
        prop_assert!(sum <= 1.0 + 1e-9, "shares add up to {}", sum);
    }
}

/// Guards against a rule whose reserve is not what the settings say.
#[test]
fn credit_rules_give_the_bound_of_the_settings() {
    let bound = RULES.get_bound(LARGE);
    assert!((bound - ((309.0 * 5.0 + 309.0) * 1.1 + 20.0)).abs() < 1e-9);
}

/// Guards against buckets so large that an account exceeds its bound when shares move before the credit
/// from them has ended.
#[test]
fn credit_caps_allow_for_credit_of_shares_that_have_moved() {
    for rate in [0.0, 0.5, 3.0, 309.0, 50_000.0] {
        for burst in [0.0, 1.0, 309.0, 100_000.0] {
            let limit = AccountLimit { rate, burst };
            let held = RULES.get_level_cap(limit) + rate * CREDIT_TTL.as_secs();
            let sum = held + rate * RULES.window.as_secs();
            assert!(sum <= RULES.get_bound(limit), "{limit:?}: {sum}");
            assert!(
                held <= RULES.get_total_cap(limit) + 1e-9,
                "{limit:?}: {held}"
            );
        }
    }
}

/// Guards against a restart of all entries after which accounts are refused for longer than their former
/// shares may be in use.
#[test]
fn credit_returns_after_all_entries_restart() {
    let mut world = World::new(11, 47, LARGE);
    world.run(START_TIME);
    for node in &mut world.nodes {
        node.demand = LARGE.rate * 0.77 / 47.0;
    }
    world.run(Micros::from_millis(3000));
    for index in 0..47 {
        world.kill(index);
    }
    world.run(Micros::from_millis(1100));
    for index in 0..47 {
        world.start_process(index);
        if index % 5 == 4 {
            world.run(Micros::from_millis(10));
        }
    }
    let mut served = Vec::new();
    for _ in 0..8 {
        let from = world.now;
        world.run(Micros::from_millis(250));
        let (sent, refused) = world.count(from, world.now);
        served.push(sent as f64 / (sent + refused).max(1) as f64);
    }
    println!("{served:?}");
    let first_second = served[..4].iter().sum::<f64>() / 4.0;
    assert!(first_second >= 0.25, "{served:?}");
    assert!(served[4..].iter().all(|part| *part >= 0.95), "{served:?}");
    assert_bound(&world, LARGE);
}

/// Guards against accounts below their limit that are refused while a third of the entries is cut off from
/// the store for 9 s, or when it registers anew.
#[test]
fn credit_remains_while_a_third_is_cut_off_from_the_store() {
    let mut world = World::new(12, 47, LARGE);
    world.run(START_TIME);
    for node in &mut world.nodes {
        node.demand = LARGE.rate * 0.77 / 47.0;
    }
    world.run(Micros::from_millis(3000));
    for node in &mut world.nodes[..16] {
        node.store_cut = true;
    }
    let mut served = Vec::new();
    for second in 0..14 {
        if second == 9 {
            for node in &mut world.nodes[..16] {
                node.store_cut = false;
            }
        }
        let from = world.now;
        world.run(Micros::from_millis(1000));
        let (sent, refused) = world.count(from, world.now);
        served.push(sent as f64 / (sent + refused).max(1) as f64);
    }
    assert!(served.iter().all(|part| *part >= 0.97), "{served:?}");
    assert_bound(&world, LARGE);
}

/// Guards against requests beyond the bound where all entries restart again and again, and each time use
/// shares before the credit of the former processes has ended.
#[test]
fn credit_bound_holds_when_all_entries_restart_repeatedly() {
    for limit in [LARGE, SMALL] {
        let mut world = World::new(13, 12, limit);
        world.run(START_TIME);
        for node in &mut world.nodes {
            node.demand = limit.rate * 6.0 / 12.0;
        }
        for millis in [700, 900, 650, 1200, 300, 1000] {
            world.run(Micros::from_millis(millis));
            for index in 0..12 {
                world.kill(index);
                world.start_process(index);
            }
        }
        world.run(Micros::from_millis(4000));
        assert_bound(&world, limit);
        assert!(world.largest_sum <= 1.0 + 1e-9, "{}", world.largest_sum);
    }
}

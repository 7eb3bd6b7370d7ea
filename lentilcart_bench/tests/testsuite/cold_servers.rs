//! Requests that cold servers get from all entries together, simulated on virtual time: entries that are cut off
//! from the store or from each other, paused, killed and restarted, and datagrams and requests that are delayed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, MAX_SEND_DELAY, NoticeSource, PendingRequest, PoolConfig,
    ServerConfig, ServerNotice, ServerPool, WarmupRules, WarmupTerm, get_policy,
};
use lentilcart_state::{Member, MemberTable, PacerLease, rendezvous_rank};
use lentilcart_util::{Map, Micros, Name, Rng, Set, seeded_rng};
use proptest::prelude::*;
use rand::RngExt;

const STEP: Micros = Micros::from_millis(10);
const END: Micros = Micros::from_millis(60_000);
const LEASE_TTL: Micros = Micros::from_millis(9000);
const HEARTBEAT_TIMEOUT: Micros = Micros::from_millis(700);
const SUSPICION_TIME: Micros = Micros::from_millis(500);
const RENEW_INTERVAL: Micros = Micros::from_millis(500);
const HEARTBEAT_INTERVAL: Micros = Micros::from_millis(100);
const WARMUP: Micros = Micros::from_millis(3000);
/// Longest delay of a reply of the store, and of a watch at a connected entry.
const MAX_STORE_DELAY_MS: u64 = 600;
/// Rate of a cold server, factor on it and number of requests beyond, which a server may get in a second.
const LIMIT: (f64, f64, f64) = (4.6, 1.5, 8.0);
const SPAN: Micros = Micros::from_millis(1000);
const SERVICE: &str = "shop";
const DATA_CENTERS: [&str; 2] = ["a", "b"];
/// Time for which a request runs.
const SERVICE_TIME: Micros = Micros::from_millis(200);
/// Longest time from the sending of a request to its arrival at the server.
const MAX_NETWORK_MS: u64 = 50;

/// A fault of an entry.
#[derive(Debug, Clone, Copy)]
enum FaultKind {
    /// The store does not answer it.
    StoreCut,
    /// Datagrams from and to it are lost.
    PeerCut,
    /// Datagrams from it are lost, those to it arrive.
    OneWayCut,
    Pause,
    /// It is killed, and restarted at the end.
    Kill,
    /// Its watches show no changes, while the store answers its other calls.
    StaleWatch,
}

#[derive(Debug, Clone, Copy)]
struct Fault {
    kind: FaultKind,
    entry: usize,
    start: Micros,
    time: Micros,
}

/// The store: registrations under leases, and the changes of them.
#[derive(Default)]
struct Store {
    revision: u64,
    /// Expiry of each registered entry.
    leases: BTreeMap<usize, Micros>,
    /// Entry, whether it was registered or removed, and when, by revision.
    changes: Vec<(usize, bool, Micros)>,
}

impl Store {
    fn expire(&mut self, now: Micros) {
        let expired: Vec<usize> = self
            .leases
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(entry, _)| *entry)
            .collect();
        for entry in expired {
            self.leases.remove(&entry);
            self.record(entry, false, now);
        }
    }

    fn record(&mut self, entry: usize, is_registered: bool, now: Micros) {
        self.revision += 1;
        self.changes.push((entry, is_registered, now));
    }
}

/// A call of an entry to renew its lease or to register, which the store answers at a time.
struct Call {
    sent: Micros,
    answered: Micros,
    /// Revision of a registration that was written; `None` for a renewal.
    written: Option<u64>,
    is_lost: bool,
}

struct Entry {
    name: Name,
    data_center: Name,
    address: SocketAddr,
    members: MemberTable,
    lease: PacerLease,
    has_lease: bool,
    listed: u64,
    /// Delay of its watch.
    watch_delay: Micros,
    pool: ServerPool,
    call: Option<Call>,
    next_call: Micros,
    suspected: Map<SocketAddr, Micros>,
    next_request: u64,
    running: Vec<(Micros, u64, usize)>,
    /// Number of its start.
    start: u64,
}

/// A request that arrives at a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Arrival {
    at: Micros,
    server: usize,
    entry: usize,
}

struct World {
    rng: Rng,
    store: Store,
    entries: Vec<Entry>,
    faults: Vec<Fault>,
    servers: Vec<ServerConfig>,
    /// Until when each server is cold.
    cold_until: Vec<Micros>,
    arrivals: Vec<Arrival>,
    /// End of the term of each entry, and its data centres.
    terms: Vec<WarmupTerm>,
    /// Largest number of entries that have paced the servers of a data centre at the same time.
    most_pacers: usize,
    now: Micros,
}

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn get_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, index as u8], 70))
}

fn new_entry(index: usize, data_center: &str, servers: &[ServerConfig], start: u64) -> Entry {
    let (name, data_center) = (Name::from(format!("e{index}")), Name::from(data_center));
    let own = Member {
        data_center: data_center.clone(),
        peer_address: get_address(index),
        last_heartbeat: None,
        leaving: false,
        applied_number: 0,
        weight: lentilcart_state::DEFAULT_WEIGHT,
        overloaded: false,
    };
    let config = PoolConfig {
        policy: get_policy("late-paced").unwrap(),
        data_center: data_center.clone(),
        ..PoolConfig::default()
    };
    let (rate, overage, slack) = LIMIT;
    let mut pool = ServerPool::new(config, index as u64);
    pool.set_warmup(
        Micros::ZERO,
        Some(WarmupRules::new(WARMUP, rate, overage, slack)),
    );
    pool.set_servers(Micros::ZERO, servers);
    Entry {
        address: own.peer_address,
        members: MemberTable::new(name.clone(), own, HEARTBEAT_TIMEOUT),
        name,
        data_center,
        lease: PacerLease::default(),
        has_lease: false,
        listed: 0,
        watch_delay: Micros::ZERO,
        pool,
        call: None,
        next_call: Micros::ZERO,
        suspected: Map::default(),
        next_request: start << 32,
        running: Vec::new(),
        start,
    }
}

impl World {
    fn new(counts: [usize; 2], faults: Vec<Fault>, seed: u64) -> Self {
        let servers: Vec<ServerConfig> = (0..4_u8)
            .map(|number| ServerConfig {
                data_center: DATA_CENTERS[usize::from(number) % 2].into(),
                ..ServerConfig::new(SocketAddr::from(([10, 0, 0, number], 80)), 3)
            })
            .collect();
        let homes = (0..2).flat_map(|index| vec![DATA_CENTERS[index]; counts[index]]);
        let entries = homes.enumerate();
        let entries = entries.map(|(index, home)| new_entry(index, home, &servers, 0));
        Self {
            rng: seeded_rng(seed),
            store: Store::default(),
            entries: entries.collect(),
            faults,
            cold_until: vec![Micros::ZERO; servers.len()],
            servers,
            arrivals: Vec::new(),
            terms: vec![WarmupTerm::default(); counts[0] + counts[1]],
            most_pacers: 0,
            now: Micros::ZERO,
        }
    }

    fn has_fault(&self, entry: usize, is_kind: impl Fn(FaultKind) -> bool) -> bool {
        self.faults.iter().any(|fault| {
            let is_active = fault.start <= self.now && self.now < fault.start + fault.time;
            fault.entry == entry && is_active && is_kind(fault.kind)
        })
    }

    fn is_stopped(&self, entry: usize) -> bool {
        self.has_fault(entry, |kind| {
            matches!(kind, FaultKind::Pause | FaultKind::Kill)
        })
    }

    fn can_send(&self, from: usize, to: usize) -> bool {
        !self.has_fault(from, |kind| {
            matches!(kind, FaultKind::PeerCut | FaultKind::OneWayCut)
        }) && !self.has_fault(to, |kind| matches!(kind, FaultKind::PeerCut))
            && !self.is_stopped(from)
            && !self.is_stopped(to)
    }

    fn get_delay(&mut self, max_ms: u64) -> Micros {
        ms(self.rng.random_range(0..=max_ms))
    }

    /// Runs until `end`, with `load` requests at each entry in each step on average.
    fn run(&mut self, end: Micros, load: f64) {
        while self.now < end {
            self.now += STEP;
            self.store.expire(self.now);
            self.restart_killed();
            self.cool_servers();
            self.exchange_heartbeats();
            for index in 0..self.entries.len() {
                if self.is_stopped(index) {
                    continue;
                }
                // Requests come first: a process that resumes serves them before it updates its term.
                let is_requested = self.rng.random_range(0.0..1.0) < load;
                if is_requested {
                    self.serve_request(index);
                }
                self.tick(index);
                self.call_store(index);
                self.watch_store(index);
            }
            self.count_pacers();
        }
    }

    /// Counts the entries that may start requests now; one that is paused may as soon as it resumes.
    fn count_pacers(&mut self) {
        for data_center in DATA_CENTERS {
            let paces = |term: &&WarmupTerm| {
                term.until > self.now && term.data_centers.iter().any(|name| **name == *data_center)
            };
            self.most_pacers = self
                .most_pacers
                .max(self.terms.iter().filter(paces).count());
        }
    }

    fn restart_killed(&mut self) {
        let ends = |fault: &&Fault| {
            let end = fault.start + fault.time;
            matches!(fault.kind, FaultKind::Kill) && self.now >= end && self.now < end + STEP
        };
        let ended: Vec<usize> = self.faults.iter().filter(ends).map(|f| f.entry).collect();
        for index in ended {
            let (home, start) = (
                self.entries[index].data_center.clone(),
                self.entries[index].start + 1,
            );
            self.entries[index] = new_entry(index, &home, &self.servers, start);
            self.terms[index] = WarmupTerm::default();
            for server in 0..self.servers.len() {
                self.tell_cold(index, server);
            }
        }
    }

    /// Lets warm servers become cold now and then, for long times, which all entries learn by their probes.
    fn cool_servers(&mut self) {
        for server in 0..self.servers.len() {
            if self.now >= self.cold_until[server] && self.rng.random_range(0..100) == 0 {
                self.cold_until[server] = self.now + ms(self.rng.random_range(1000..20_000));
                for index in 0..self.entries.len() {
                    self.tell_cold(index, server);
                }
            }
        }
    }

    fn tell_cold(&mut self, entry: usize, server: usize) {
        let remaining = self.cold_until[server] - self.now;
        if remaining > Micros::ZERO {
            let notice = ServerNotice {
                warmup: Some(remaining),
                ..ServerNotice::EMPTY
            };
            let pool = &mut self.entries[entry].pool;
            pool.record_notice(self.now, server, None, notice, NoticeSource::Probe);
        }
    }

    fn exchange_heartbeats(&mut self) {
        if !self.now.0.is_multiple_of(HEARTBEAT_INTERVAL.0) {
            return;
        }
        let senders: Vec<(Name, Name, SocketAddr)> = self
            .entries
            .iter()
            .map(|entry| (entry.name.clone(), entry.data_center.clone(), entry.address))
            .collect();
        for (from, (name, data_center, address)) in senders.iter().enumerate() {
            for to in 0..self.entries.len() {
                if from == to
                    || !self.can_send(from, to)
                    || self.entries[to].data_center != *data_center
                {
                    continue;
                }
                let members = &mut self.entries[to].members;
                members.upsert(name, data_center, *address, false);
                members.record_heartbeat(name, self.now, 1, false);
            }
        }
    }

    fn call_store(&mut self, index: usize) {
        let is_cut = self.has_fault(index, |kind| matches!(kind, FaultKind::StoreCut));
        let now = self.now;
        if let Some(call) = self.entries[index]
            .call
            .take_if(|call| call.answered <= now)
        {
            let entry = &mut self.entries[index];
            entry.next_call = now + RENEW_INTERVAL;
            match call {
                Call { is_lost: true, .. } => {}
                Call {
                    written: Some(revision),
                    sent,
                    ..
                } => {
                    entry.has_lease = true;
                    entry.lease.record_written(now, sent, revision);
                }
                Call { sent, .. } => entry.lease.record_renewed(sent),
            }
        }
        let entry = &self.entries[index];
        if entry.call.is_some() || now < entry.next_call {
            return;
        }
        if entry.has_lease && !is_cut && !self.store.leases.contains_key(&index) {
            let entry = &mut self.entries[index];
            entry.has_lease = false;
            entry.lease.record_lost();
        }
        let has_lease = self.entries[index].has_lease;
        let written = if is_cut {
            None
        } else {
            self.store.leases.insert(index, now + LEASE_TTL);
            if !has_lease {
                self.store.record(index, true, now);
            }
            (!has_lease).then_some(self.store.revision)
        };
        let answered = now + self.get_delay(MAX_STORE_DELAY_MS);
        self.entries[index].call = Some(Call {
            sent: now,
            answered,
            written,
            is_lost: is_cut,
        });
    }

    fn watch_store(&mut self, index: usize) {
        if self.has_fault(index, |kind| {
            matches!(kind, FaultKind::StoreCut | FaultKind::StaleWatch)
        }) {
            return;
        }
        if self.entries[index].listed == self.store.revision {
            self.entries[index].watch_delay = self.get_delay(MAX_STORE_DELAY_MS);
            return;
        }
        let homes: Vec<(Name, Name, SocketAddr)> = self
            .entries
            .iter()
            .map(|entry| (entry.name.clone(), entry.data_center.clone(), entry.address))
            .collect();
        let entry = &mut self.entries[index];
        let changes = &self.store.changes[entry.listed as usize..];
        for (changed, is_registered, at) in changes {
            // An entry that has just started lists what there is.
            if entry.listed > 0 && self.now < *at + entry.watch_delay {
                break;
            }
            let (name, home, address) = &homes[*changed];
            if *is_registered {
                entry.members.upsert(name, home, *address, false);
                entry.members.record_listed(name);
            } else {
                entry.members.remove_unlisted(name, self.now);
            }
            entry.listed += 1;
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let until = entry.lease.get_term_end(now, LEASE_TTL, entry.listed);
        let cold = entry.pool.get_cold_data_centers(now);
        let term = until.map_or_else(WarmupTerm::default, |until| WarmupTerm {
            data_centers: entry.members.get_paced_data_centers(SERVICE, cold),
            until,
        });
        self.terms[index] = term.clone();
        entry.pool.set_warmup_term(now, term);
        let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut entry.running)
            .into_iter()
            .partition(|(end, _, _)| *end <= now);
        entry.running = running;
        let mut decisions = Vec::new();
        for (_, request, server) in ended {
            let outcome = AttemptOutcome::answered(None);
            decisions.extend(entry.pool.finish_attempt(now, request, server, outcome));
        }
        decisions.extend(entry.pool.tick(now));
        self.start_requests(index, decisions);
    }

    /// Lets the owner that an entry knows choose a server for a request, or the entry itself if that does not
    /// answer.
    fn serve_request(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        entry.suspected.retain(|_, until| *until > now);
        let is_candidate = |name: &&Name| {
            let member = entry.members.get(name);
            member.is_some_and(|member| {
                member.data_center == entry.data_center
                    && !entry.suspected.contains_key(&member.peer_address)
            })
        };
        let serving = entry.members.get_serving(now).into_iter();
        let ranked = rendezvous_rank(SERVICE, serving.filter(is_candidate), 1);
        let owner = ranked[0].clone();
        let owner = self.entries.iter().position(|entry| entry.name == owner);
        let mut chooser = owner.unwrap();
        if chooser != index && !(self.can_send(index, chooser) && self.can_send(chooser, index)) {
            let address = self.entries[chooser].address;
            let until = now + SUSPICION_TIME;
            self.entries[index].suspected.insert(address, until);
            chooser = index;
        }
        let entry = &mut self.entries[chooser];
        entry.next_request += 1;
        let request = PendingRequest::new(entry.next_request, now, now + ms(1000));
        let decisions = entry.pool.offer(now, request);
        self.start_requests(chooser, decisions);
    }

    /// Records when requests arrive that an entry has started: a permit is sent with any delay up to the longest
    /// allowed one.
    fn start_requests(&mut self, index: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            let Decision::Start { request_id, server } = decision else {
                continue;
            };
            let is_cold = self.now < self.cold_until[server];
            if is_cold {
                let limit = self.entries[index].pool.get_send_limit(request_id, server);
                assert_eq!(limit, Some(self.now + MAX_SEND_DELAY));
                let delay =
                    self.get_delay(MAX_SEND_DELAY.0 / 1000) + self.get_delay(MAX_NETWORK_MS);
                self.arrivals.push(Arrival {
                    at: self.now + delay,
                    server,
                    entry: index,
                });
            }
            let end = self.now + SERVICE_TIME;
            self.entries[index].running.push((end, request_id, server));
        }
    }

    /// Returns the largest number of requests that a cold server got in a span of a second.
    fn get_largest_count(&self) -> (usize, Vec<Arrival>) {
        let mut largest = Vec::new();
        for server in 0..self.servers.len() {
            let arrivals = self.arrivals.iter().filter(|a| a.server == server);
            let mut arrivals: Vec<Arrival> = arrivals.copied().collect();
            arrivals.sort_by_key(|arrival| arrival.at);
            for (index, first) in arrivals.iter().enumerate() {
                let in_span = arrivals[index..].iter();
                let in_span: Vec<Arrival> = in_span
                    .take_while(|arrival| arrival.at <= first.at + SPAN)
                    .copied()
                    .collect();
                if in_span.len() > largest.len() {
                    largest = in_span;
                }
            }
        }
        (largest.len(), largest)
    }
}

fn fault_strategy(entries: usize) -> impl Strategy<Value = Fault> {
    let kind = prop_oneof![
        Just(FaultKind::StoreCut),
        Just(FaultKind::PeerCut),
        Just(FaultKind::OneWayCut),
        Just(FaultKind::Pause),
        Just(FaultKind::Kill),
        Just(FaultKind::StaleWatch),
    ];
    let times = (0..END.0 / 1000, 20..15_000_u64);
    (kind, 0..entries, times).prop_map(|(kind, entry, (start, time))| Fault {
        kind,
        entry,
        start: ms(start),
        time: ms(time),
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against entries that are cut off, paused, killed or replaced and send a cold server, all together,
    /// more than its limit in some second.
    #[test]
    fn arrivals_of_all_entries_keep_limit(
        seed: u64,
        counts in (1..6_usize, 0..4_usize),
        mut faults in prop::collection::vec(fault_strategy(8), 0..16),
    ) {
        faults.retain(|fault| fault.entry < counts.0 + counts.1);
        let mut world = World::new([counts.0, counts.1], faults, seed);
        world.run(END, 0.3);
        let (count, arrivals) = world.get_largest_count();
        let (rate, overage, slack) = LIMIT;
        let allowed = rate * overage + slack;
        // The second one is a new entry that the first one has not learned of.
        prop_assert!(world.most_pacers <= 2, "{}", world.most_pacers);
        prop_assert!(count as f64 <= allowed, "{count}, allowed {allowed}: {arrivals:?}");
    }
}

/// Guards against two entries that pace the same servers after the first one was cut off from the store, which it
/// may learn later than the others.
#[test]
fn entries_that_lose_store_pace_one_after_the_other() {
    let names: Vec<Name> = (0..5).map(|entry| format!("e{entry}").into()).collect();
    let ranked = rendezvous_rank(SERVICE, names.iter(), names.len());
    for has_heartbeats in [false, true] {
        // They register at the start, and lose the store and, maybe, each other one by one.
        let faults = ranked[..4].iter().enumerate().flat_map(|(rank, name)| {
            let cut = Fault {
                kind: FaultKind::StoreCut,
                entry: names.iter().position(|other| other == *name).unwrap(),
                start: ms(5000 + rank as u64 * 12_000),
                time: END,
            };
            let silent = Fault {
                kind: FaultKind::PeerCut,
                ..cut
            };
            if has_heartbeats {
                vec![cut]
            } else {
                vec![cut, silent]
            }
        });
        let mut world = World::new([5, 0], faults.collect(), 1);
        world.run(ms(10_000), 0.3);
        let mut pacers: Set<usize> = Set::default();
        while world.now < END {
            world.run(world.now + ms(100), 0.3);
            let is_pacer = |index: &usize| world.terms[*index].until > world.now;
            pacers.extend((0..5).filter(is_pacer));
        }
        assert_eq!(world.most_pacers, 1);
        assert!(pacers.len() >= 4, "{pacers:?}");
    }
}

/// Guards against a pacing rule under which cold servers get nothing while all entries work.
#[test]
fn cold_servers_get_their_rate_without_faults() {
    let mut world = World::new([3, 3], Vec::new(), 1);
    world.run(ms(5000), 0.0);
    world.cold_until = vec![Micros(u64::MAX); 4];
    for entry in 0..6 {
        for server in 0..4 {
            let notice = ServerNotice {
                warmup: Some(ms(10_000)),
                ..ServerNotice::EMPTY
            };
            let pool = &mut world.entries[entry].pool;
            pool.record_notice(ms(5000), server, None, notice, NoticeSource::Probe);
        }
    }
    world.run(ms(10_000), 0.5);
    let count = world.arrivals.len() as f64;
    // The pace begins at half of the rate.
    assert!(count >= 4.0 * 5.0 * LIMIT.0 * 0.4, "{count}");
}

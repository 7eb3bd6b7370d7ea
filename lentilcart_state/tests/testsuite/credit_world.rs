//! Simulated entries, store and network for the limits of accounts.

use std::collections::{BTreeMap, VecDeque};

use lentilcart_state::{
    AccountLimit, CreditAsk, CreditExchange, CreditReply, CreditRules, CreditTake, get_group,
};
use lentilcart_util::{Map, Micros, Name, Rng, seeded_rng};
use rand::RngExt;

/// Length of a step of the simulation.
pub const STEP: Micros = Micros::from_millis(10);
/// Duration of the lease of a registration, and the time between two renewals.
const LEASE: Micros = Micros::from_millis(9000);
const RENEW_INTERVAL: Micros = Micros::from_millis(3600);
/// Bytes of the headers of a datagram (IPv4 and UDP).
const HEADER_BYTES: u64 = 28;
/// Time between two sums of all shares.
const SUM_INTERVAL: Micros = Micros::from_millis(50);
/// Time between two removals of idle state.
const IDLE_INTERVAL: Micros = Micros::from_millis(500);
/// Longest time that a request waits between taking credit and being sent.
const MAX_QUEUE_TIME: Micros = Micros::from_millis(200);
pub const ACCOUNT: &str = "a";

/// The tolerance on the platform.
pub const RULES: CreditRules = CreditRules {
    window: Micros::from_millis(5000),
    overage: 0.1,
    slack: 20.0,
};

enum Message {
    Ask(CreditAsk),
    Reply(CreditReply),
}

/// An entry: its process, if it runs, and its connections.
pub struct Node {
    pub name: Name,
    pub exchange: Option<CreditExchange>,
    /// What the process's clock shows at the start of the simulation.
    clock_offset: Micros,
    pub paused_until: Micros,
    pub store_cut: bool,
    /// Side of a partition; messages pass between entries of the same side only.
    pub side: u8,
    pub limit: AccountLimit,
    inbox: VecDeque<Message>,
    last_renewal: Option<Micros>,
    has_lease: bool,
    /// Requests with credit, and when they are sent.
    queue: Vec<(Micros, Micros)>,
    /// Requests that wait for credit, with their arrivals.
    waiting: VecDeque<Micros>,
    /// Requests that arrive in a second, and the part of one that has arrived.
    pub demand: f64,
    partial: f64,
}

/// The simulated cluster.
pub struct World {
    pub now: Micros,
    pub nodes: Vec<Node>,
    /// Revision and end of the lease of each registration.
    registered: BTreeMap<Name, (u64, Micros)>,
    revision: u64,
    pub store_down: bool,
    network: BTreeMap<(Micros, u64), (usize, Message)>,
    rng: Rng,
    /// Chance that a datagram is lost or duplicated, and the longest delay.
    pub loss: f64,
    pub max_delay: Micros,
    /// Longest delay until an entry sees a change of registrations.
    pub max_mirror_delay: Micros,
    pub sent: Vec<Micros>,
    pub refused: Vec<Micros>,
    pub messages: u64,
    pub message_bytes: u64,
    /// Largest sum of the shares from which entries could grant credit at a time.
    pub largest_sum: f64,
    next_process: u64,
    pub queueing: bool,
    next_message: u64,
}

impl World {
    pub fn new(seed: u64, count: usize, limit: AccountLimit) -> Self {
        let mut world = Self {
            now: Micros::ZERO,
            nodes: Vec::new(),
            registered: BTreeMap::new(),
            revision: 0,
            store_down: false,
            network: BTreeMap::new(),
            rng: seeded_rng(seed),
            loss: 0.0,
            max_delay: Micros::from_millis(2),
            max_mirror_delay: Micros::from_millis(1200),
            sent: Vec::new(),
            refused: Vec::new(),
            messages: 0,
            message_bytes: 0,
            largest_sum: 0.0,
            next_process: 1,
            queueing: false,
            next_message: 0,
        };
        for number in 0..count {
            world.add_node(number, limit);
        }
        world
    }

    pub fn add_node(&mut self, number: usize, limit: AccountLimit) {
        self.nodes.push(Node {
            name: format!("e{number}").into(),
            exchange: None,
            clock_offset: Micros::ZERO,
            paused_until: Micros::ZERO,
            store_cut: false,
            side: 0,
            limit,
            inbox: VecDeque::new(),
            last_renewal: None,
            has_lease: false,
            queue: Vec::new(),
            waiting: VecDeque::new(),
            demand: 0.0,
            partial: 0.0,
        });
        self.start_process(self.nodes.len() - 1);
    }

    /// Kills the process of an entry, with all that it knows.
    pub fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.exchange = None;
        node.inbox.clear();
        node.queue.clear();
        node.waiting.clear();
    }

    /// Starts a new process of an entry, whose clock shows another time.
    pub fn start_process(&mut self, index: usize) {
        let offset = Micros::from_millis(self.rng.random_range(1..100_000));
        self.next_process += 1;
        let process = self.next_process;
        let node = &mut self.nodes[index];
        node.clock_offset = offset;
        node.paused_until = Micros::ZERO;
        node.last_renewal = None;
        node.has_lease = false;
        let start = self.now + offset;
        node.exchange = Some(CreditExchange::new(node.name.clone(), process, start));
    }

    /// Runs the simulation for a time.
    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step();
            if self.now.0.is_multiple_of(SUM_INTERVAL.0) {
                let shares = self.get_shares(get_group(ACCOUNT));
                let sum: f64 = shares.values().sum();
                self.largest_sum = self.largest_sum.max(sum);
            }
        }
    }

    fn step(&mut self) {
        let now = self.now;
        if !self.store_down {
            let before = self.registered.len();
            self.registered.retain(|_, (_, end)| *end > now);
            self.revision += u64::from(self.registered.len() != before);
        }
        while let Some(entry) = self.network.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (index, message) = entry.remove();
            if self.nodes[index].exchange.is_some() {
                self.nodes[index].inbox.push_back(message);
            }
        }
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if node.exchange.is_some() && node.paused_until <= now {
                self.step_node(index);
            }
        }
    }

    fn step_node(&mut self, index: usize) {
        self.use_store(index);
        let real = self.now;
        let mut node_messages = Vec::new();
        let node = &mut self.nodes[index];
        let now = real + node.clock_offset;
        let limit = node.limit;
        let limits = |_: &str| Some(limit);
        let exchange = node.exchange.as_mut().unwrap();
        for message in node.inbox.drain(..) {
            match message {
                Message::Ask(ask) => {
                    if let Some(reply) = exchange.handle_ask(now, &ask, &RULES, limits) {
                        node_messages.push((ask.name, Message::Reply(reply)));
                    }
                }
                Message::Reply(reply) => {
                    exchange.handle_reply(now, &reply);
                }
            }
        }
        node.partial += node.demand * STEP.as_secs();
        let account = Name::from(ACCOUNT);
        while node.partial >= 1.0 {
            node.partial -= 1.0;
            node.waiting.push_back(now);
            exchange.holder.record_arrival(now, &account);
            exchange.holder.record_waiting(&account, 1.0);
        }
        // Twice, since messages to this entry itself are answered at once.
        for _ in 0..2 {
            while let Some(arrived) = node.waiting.front().copied() {
                match exchange.holder.take(now, &account) {
                    CreditTake::Taken(end) => {
                        let longest = if self.queueing { MAX_QUEUE_TIME.0 } else { 0 };
                        let delay = Micros(self.rng.random_range(0..=longest));
                        node.queue.push((now + delay, end));
                    }
                    CreditTake::Unknown if now - arrived < Micros::from_millis(100) => break,
                    _ => self.refused.push(real),
                }
                node.waiting.pop_front();
                exchange.holder.record_waiting(&account, -1.0);
            }
            let (asks, _) = exchange.get_due_asks(now);
            for (owner, ask) in asks {
                if owner == node.name {
                    if let Some(reply) = exchange.handle_ask(now, &ask, &RULES, limits) {
                        exchange.handle_reply(now, &reply);
                    }
                } else {
                    node_messages.push((owner, Message::Ask(ask)));
                }
            }
        }
        if real.0.is_multiple_of(IDLE_INTERVAL.0) {
            exchange.remove_idle(now, &RULES, limits);
        }
        node.queue.retain(|(at, end)| {
            if *at > now {
                return true;
            }
            if now < *end {
                exchange.holder.record_run(&account, *end);
                self.sent.push(real);
            } else {
                self.refused.push(real);
            }
            false
        });
        for (receiver, message) in node_messages {
            self.send(index, &receiver, message);
        }
    }

    /// Renews the registration of an entry, and updates what it knows of the others.
    fn use_store(&mut self, index: usize) {
        let real = self.now;
        let node = &mut self.nodes[index];
        if self.store_down || node.store_cut {
            return;
        }
        let now = real + node.clock_offset;
        let exchange = node.exchange.as_mut().unwrap();
        if node
            .last_renewal
            .is_none_or(|last| now - last >= RENEW_INTERVAL)
        {
            let is_known = self.registered.contains_key(&node.name);
            node.last_renewal = Some(now);
            if node.has_lease && is_known {
                let (revision, _) = self.registered[&node.name];
                self.registered
                    .insert(node.name.clone(), (revision, real + LEASE));
                exchange.shares.record_renewal(now + LEASE);
            } else {
                self.revision += 1;
                self.registered
                    .insert(node.name.clone(), (self.revision, real + LEASE));
                node.has_lease = true;
                if !is_known {
                    exchange.shares.record_first_registration();
                }
                exchange
                    .shares
                    .record_registration(self.revision, now + LEASE);
            }
        }
        let chance = STEP.as_secs() / self.max_mirror_delay.as_secs().max(STEP.as_secs());
        // The first listing follows the registration.
        let is_first = !exchange.shares.has_revision(0);
        let is_behind = !exchange.shares.has_revision(self.revision);
        if is_behind && (is_first || self.rng.random_bool(chance)) {
            let registered = self.registered.iter();
            let members: Map<Name, u64> = registered
                .map(|(name, (revision, _))| (name.clone(), *revision))
                .collect();
            exchange.shares.set_members(now, self.revision, members);
        }
    }

    fn send(&mut self, from: usize, to: &Name, message: Message) {
        self.messages += 1;
        let mut encoded = Vec::new();
        match &message {
            Message::Ask(ask) => ciborium::into_writer(ask, &mut encoded).unwrap(),
            Message::Reply(reply) => ciborium::into_writer(reply, &mut encoded).unwrap(),
        }
        self.message_bytes += encoded.len() as u64 + HEADER_BYTES;
        let Some(target) = self.nodes.iter().position(|node| node.name == *to) else {
            return;
        };
        if self.nodes[target].side != self.nodes[from].side {
            return;
        }
        let copy = match &message {
            Message::Ask(ask) => Message::Ask(ask.clone()),
            Message::Reply(reply) => Message::Reply(reply.clone()),
        };
        for message in [Some(message), Some(copy).filter(|_| self.loss > 0.0)] {
            let is_copy = self.loss > 0.0;
            let is_lost = is_copy && self.rng.random_bool(self.loss);
            let delay = Micros(self.rng.random_range(0..=self.max_delay.0));
            if let (Some(message), false) = (message, is_lost) {
                self.next_message += 1;
                let key = (self.now + delay, self.next_message);
                self.network.insert(key, (target, message));
            }
        }
    }

    /// Returns the most requests that any window had which begins after a time, and how many are allowed.
    pub fn get_worst_window(&self, after: Micros, limit: AccountLimit) -> (usize, f64) {
        let sent: Vec<Micros> = self.sent.iter().copied().filter(|at| *at > after).collect();
        let mut first = 0;
        let mut worst = 0;
        for (last, at) in sent.iter().enumerate() {
            while sent[first] + RULES.window <= *at {
                first += 1;
            }
            worst = worst.max(last + 1 - first);
        }
        (worst, RULES.get_bound(limit))
    }

    /// Returns how many requests were sent and refused between two times.
    pub fn count(&self, from: Micros, to: Micros) -> (usize, usize) {
        let is_in = |at: &&Micros| **at > from && **at <= to;
        (
            self.sent.iter().filter(is_in).count(),
            self.refused.iter().filter(is_in).count(),
        )
    }

    /// Returns the shares of an account that the entries may grant credit from now, by entry.
    pub fn get_shares(&mut self, group: usize) -> Map<Name, f64> {
        let real = self.now;
        let nodes = self.nodes.iter_mut();
        let shares = nodes.filter_map(|node| {
            let now = real + node.clock_offset;
            let owner = &mut node.exchange.as_mut()?.owner;
            Some((node.name.clone(), owner.get_share(group, now)))
        });
        shares.collect()
    }
}

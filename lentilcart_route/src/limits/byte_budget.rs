use std::collections::BTreeMap;

use lentilcart_util::{Map, Name};

/// Largest number of small bodies that wait for room.
const MAX_WAITING_SMALL: usize = 2048;
/// Largest number of large bodies that wait for room; fewer if so many small ones would fill more than
/// half of the reserve, since bodies of unknown length hold a part of it while they wait.
const MAX_WAITING_LARGE: u64 = 128;
/// Largest share of the waiting large bodies that are of one service: one in so many.
const SERVICE_WAITING_DIVISOR: u64 = 2;
/// Share of the budget that is reserved for small bodies: one in so many bytes.
const RESERVE_DIVISOR: u64 = 8;

/// A budget in bytes for the bodies that a process holds at once.
///
/// A part of it is reserved for small bodies, the rest is shared. Small bodies that find no room in the
/// reserve use the shared part, and go before large ones. Among large bodies, the service that holds the
/// least is next, and none overtakes it while it waits for room; a service that holds as much as one
/// service may hold is passed over.
///
/// It does no I/O and does not wait: its user calls [`pop_ready`](Self::pop_ready) after each change.
#[derive(Debug)]
pub struct ByteBudget {
    /// Largest small body, in bytes.
    small_bytes: u64,
    /// Size of the part for small bodies, in bytes.
    reserve: u64,
    /// Size of the shared part, in bytes; at least `largest`.
    shared: u64,
    /// Largest body that must fit, in bytes.
    largest: u64,
    held_reserve: u64,
    held_shared: u64,
    /// Bytes of the shared part that each service holds; none are 0.
    held_by: Map<Name, u64>,
    /// Bodies that wait, by their ticket.
    waiting: BTreeMap<u64, Waiter>,
    next_ticket: u64,
}

/// A body that waits for room.
#[derive(Debug)]
struct Waiter {
    service: Name,
    bytes: u64,
}

/// Bytes taken from a [`ByteBudget`]; they must be given back.
#[derive(Debug, PartialEq, Eq)]
pub struct ByteClaim {
    service: Name,
    bytes: u64,
    is_reserved: bool,
}

impl ByteClaim {
    /// Returns the number of bytes that may be held.
    #[must_use]
    pub fn get_bytes(&self) -> u64 {
        self.bytes
    }
}

impl ByteBudget {
    /// Creates a budget of `total` bytes, in which bodies of at most `small_bytes` bytes are small.
    #[must_use]
    pub fn new(total: u64, small_bytes: u64) -> Self {
        let reserve = (total / RESERVE_DIVISOR).max(small_bytes);
        Self {
            small_bytes,
            reserve,
            shared: total.saturating_sub(reserve),
            largest: 0,
            held_reserve: 0,
            held_shared: 0,
            held_by: Map::default(),
            waiting: BTreeMap::new(),
            next_ticket: 0,
        }
    }

    /// Makes a body of `largest` bytes fit alone: the shared part grows to that size if it is smaller.
    /// It does not shrink again, since bodies of earlier routes may be waiting. Returns whether it grew.
    pub fn fit_largest(&mut self, largest: u64) -> bool {
        self.largest = self.largest.max(largest);
        let has_grown = self.shared < self.largest;
        self.shared = self.shared.max(self.largest);
        has_grown
    }

    /// Returns the size of the budget, in bytes.
    #[must_use]
    pub fn get_total(&self) -> u64 {
        self.reserve + self.shared
    }

    /// Returns the number of bytes held, of the reserve and of the shared part.
    #[must_use]
    pub fn get_held(&self) -> (u64, u64) {
        (self.held_reserve, self.held_shared)
    }

    /// Returns the number of bodies that wait, small ones and large ones.
    #[must_use]
    pub fn get_waiting(&self) -> (usize, usize) {
        let waiters = self.waiting.values();
        let small = waiters.filter(|waiter| self.is_small(waiter.bytes)).count();
        (small, self.waiting.len() - small)
    }

    /// Takes room for a body at once, or returns `None` if it has to wait.
    pub fn take_now(&mut self, service: &Name, bytes: u64) -> Option<ByteClaim> {
        let mut waiters = self.waiting.values();
        if !self.is_small(bytes) && waiters.any(|waiter| !self.is_small(waiter.bytes)) {
            return None;
        }
        self.claim(service, bytes)
    }

    /// Takes room for a small body from the reserve at once, or returns `None` if that has none now. A body
    /// that may need more later begins with it: what is held of the shared part must not wait for more of it.
    pub fn take_reserved(&mut self, service: &Name, bytes: u64) -> Option<ByteClaim> {
        if self.fits_reserve(bytes) {
            self.claim(service, bytes)
        } else {
            None
        }
    }

    /// Adds a body to those that wait and returns its ticket, or `None` if too many wait or it can never
    /// fit.
    pub fn enqueue(&mut self, service: &Name, bytes: u64) -> Option<u64> {
        let (small, large) = self.get_waiting();
        let has_place = if self.is_small(bytes) {
            small < MAX_WAITING_SMALL
        } else {
            let max_large = MAX_WAITING_LARGE.min(self.reserve / 2 / self.small_bytes.max(1));
            let max_own = (max_large / SERVICE_WAITING_DIVISOR).max(1);
            let own = self
                .waiting
                .values()
                .filter(|waiter| !self.is_small(waiter.bytes) && waiter.service == *service);
            bytes <= self.shared
                && (large as u64) < max_large.max(1)
                && (own.count() as u64) < max_own
        };
        if !has_place {
            return None;
        }
        self.next_ticket += 1;
        let waiter = Waiter {
            service: service.clone(),
            bytes,
        };
        self.waiting.insert(self.next_ticket, waiter);
        Some(self.next_ticket)
    }

    /// Removes a body from those that wait, if it still does.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.remove(&ticket);
    }

    /// Takes room for the next waiting body, if there is room for it.
    pub fn pop_ready(&mut self) -> Option<(u64, ByteClaim)> {
        let ticket = self.find_ready()?;
        let waiter = self.waiting.remove(&ticket)?;
        let claim = self.claim(&waiter.service, waiter.bytes)?;
        Some((ticket, claim))
    }

    /// Gives back room.
    pub fn give_back(&mut self, mut claim: ByteClaim) {
        self.shrink(&mut claim, 0);
    }

    /// Gives back all but `bytes` of a claim.
    pub fn shrink(&mut self, claim: &mut ByteClaim, bytes: u64) {
        let returned = claim.bytes.saturating_sub(bytes);
        claim.bytes -= returned;
        if claim.is_reserved {
            self.held_reserve -= returned;
            return;
        }
        self.held_shared -= returned;
        if let Some(held) = self.held_by.get_mut(&claim.service) {
            *held -= returned;
            if *held == 0 {
                self.held_by.remove(&claim.service);
            }
        }
    }

    fn is_small(&self, bytes: u64) -> bool {
        bytes <= self.small_bytes
    }

    /// Returns the ticket of the waiting body that is next and has room.
    fn find_ready(&self) -> Option<u64> {
        let has_room = |waiter: &Waiter| {
            self.fits_reserve(waiter.bytes) || self.fits_shared(&waiter.service, waiter.bytes)
        };
        let mut small = self.waiting.iter().filter(|(_, w)| self.is_small(w.bytes));
        if let Some((ticket, _)) = small.find(|(_, waiter)| has_room(waiter)) {
            return Some(*ticket);
        }
        let large = self.waiting.iter().filter(|(_, waiter)| {
            !self.is_small(waiter.bytes) && self.is_below_cap(&waiter.service, waiter.bytes)
        });
        let next =
            large.min_by_key(|(ticket, waiter)| (self.get_held_by(&waiter.service), **ticket));
        next.filter(|(_, waiter)| has_room(waiter))
            .map(|(ticket, _)| *ticket)
    }

    fn claim(&mut self, service: &Name, bytes: u64) -> Option<ByteClaim> {
        let is_reserved = self.fits_reserve(bytes);
        if is_reserved {
            self.held_reserve += bytes;
        } else if self.fits_shared(service, bytes) {
            self.held_shared += bytes;
            *self.held_by.entry(service.clone()).or_default() += bytes;
        } else {
            return None;
        }
        Some(ByteClaim {
            service: service.clone(),
            bytes,
            is_reserved,
        })
    }

    fn fits_reserve(&self, bytes: u64) -> bool {
        self.is_small(bytes) && self.held_reserve + bytes <= self.reserve
    }

    fn fits_shared(&self, service: &Name, bytes: u64) -> bool {
        self.held_shared + bytes <= self.shared && self.is_below_cap(service, bytes)
    }

    /// Returns whether a service may hold `bytes` more: room for the largest body is left to the others
    /// where the shared part has room for two of them.
    fn is_below_cap(&self, service: &Name, bytes: u64) -> bool {
        let cap = (self.shared - self.largest).max(self.largest);
        self.get_held_by(service) + bytes <= cap
    }

    fn get_held_by(&self, service: &Name) -> u64 {
        self.held_by.get(service).copied().unwrap_or(0)
    }
}

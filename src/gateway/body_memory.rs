use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use lentilcart_route::{ByteBudget, ByteClaim};
use lentilcart_util::{Map, Name};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

/// Largest small body, in bytes: small bodies have a reserve that large ones cannot take. Answers that are
/// buffered are small.
const SMALL_BYTES: u64 = 64 * 1024;

/// The memory for bodies of requests and buffered answers of this process. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct BodyMemory(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    budget: ByteBudget,
    /// Where the room of each waiting body is sent, by its ticket.
    waiting: Map<u64, oneshot::Sender<Room>>,
}

/// Room for the bytes of a body, which is given back on drop.
#[derive(Debug)]
pub(crate) struct Room {
    memory: BodyMemory,
    /// Is `Some` until the drop.
    claim: Option<ByteClaim>,
}

/// Why a body got no room, with its name in metrics and details.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoRoom {
    /// Too many bodies wait.
    QueueFull,
    /// No room became free in time.
    TooLate,
}

impl NoRoom {
    /// Returns the fixed name in metrics and response bodies.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::QueueFull => "queue-full",
            Self::TooLate => "no-room-in-time",
        }
    }
}

/// The place of a body among those that wait, which it leaves on drop.
struct Waiting<'a> {
    memory: &'a BodyMemory,
    ticket: u64,
    granted: oneshot::Receiver<Room>,
}

/// Bytes that hold their room until the last reference to them is dropped.
struct HeldBytes {
    data: Vec<u8>,
    // Gives back the room on drop.
    _room: Room,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl BodyMemory {
    /// Creates a memory of `total` bytes.
    pub(crate) fn new(total: u64) -> Self {
        Self(Arc::new(Mutex::new(State {
            budget: ByteBudget::new(total, SMALL_BYTES),
            waiting: Map::default(),
        })))
    }

    /// Makes a body of `largest` bytes fit alone. Returns the size of the memory, in bytes, if it had to
    /// grow for that.
    pub(crate) fn fit_largest(&self, largest: u64) -> Option<u64> {
        let (has_grown, total) = {
            let mut state = self.lock();
            (state.budget.fit_largest(largest), state.budget.get_total())
        };
        self.grant_ready();
        has_grown.then_some(total)
    }

    /// Takes room at once, or returns `None` if there is none now.
    pub(crate) fn take_now(&self, service: &Name, bytes: u64) -> Option<Room> {
        let claim = self.lock().budget.take_now(service, bytes)?;
        Some(self.new_room(claim))
    }

    /// Takes room for the start of a body of unknown length: for a small one from the reserve, or else for
    /// the `largest` one, for which it waits until `wait_end`.
    pub(crate) async fn take_start(
        &self,
        service: &Name,
        largest: u64,
        wait_end: Instant,
    ) -> Result<Room, NoRoom> {
        let bytes = SMALL_BYTES.min(largest);
        let claim = self.lock().budget.take_reserved(service, bytes);
        match claim {
            Some(claim) => Ok(self.new_room(claim)),
            None => self.take(service, largest, wait_end).await,
        }
    }

    /// Waits for room until `wait_end`.
    pub(crate) async fn take(
        &self,
        service: &Name,
        bytes: u64,
        wait_end: Instant,
    ) -> Result<Room, NoRoom> {
        if let Some(room) = self.take_now(service, bytes) {
            return Ok(room);
        }
        let (sender, granted) = oneshot::channel();
        let ticket = {
            let mut state = self.lock();
            let ticket = state.budget.enqueue(service, bytes);
            let ticket = ticket.ok_or(NoRoom::QueueFull)?;
            state.waiting.insert(ticket, sender);
            ticket
        };
        let mut waiting = Waiting {
            memory: self,
            ticket,
            granted,
        };
        self.grant_ready();
        match timeout_at(wait_end, &mut waiting.granted).await {
            Ok(Ok(room)) => Ok(room),
            _ => Err(NoRoom::TooLate),
        }
    }

    /// Records the gauges of the bytes held and of the bodies that wait.
    pub(crate) fn record_gauges(&self) {
        let (held, waiting) = {
            let state = self.lock();
            (state.budget.get_held(), state.budget.get_waiting())
        };
        metrics::gauge!("lentilcart_body_bytes", "part" => "reserve").set(held.0 as f64);
        metrics::gauge!("lentilcart_body_bytes", "part" => "shared").set(held.1 as f64);
        metrics::gauge!("lentilcart_bodies_waiting", "size" => "small").set(waiting.0 as f64);
        metrics::gauge!("lentilcart_bodies_waiting", "size" => "large").set(waiting.1 as f64);
    }

    /// Hands room to the bodies that wait, as far as there is room.
    fn grant_ready(&self) {
        loop {
            let (claim, sender) = {
                let mut state = self.lock();
                let Some((ticket, claim)) = state.budget.pop_ready() else {
                    return;
                };
                (claim, state.waiting.remove(&ticket))
            };
            let room = self.new_room(claim);
            // Without the lock: a room that nobody takes any more is given back here.
            drop(sender.map(|sender| sender.send(room)));
        }
    }

    fn new_room(&self, claim: ByteClaim) -> Room {
        Room {
            memory: self.clone(),
            claim: Some(claim),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic under lock")
    }
}

impl Room {
    /// Returns the number of bytes that may be held.
    pub(crate) fn get_bytes(&self) -> u64 {
        self.claim.as_ref().map_or(0, ByteClaim::get_bytes)
    }

    /// Converts a buffer into bytes that hold this room, less what the buffer does not need.
    pub(crate) fn hold(mut self, mut data: Vec<u8>) -> Bytes {
        if data.is_empty() {
            return Bytes::new();
        }
        data.shrink_to_fit();
        if let Some(claim) = &mut self.claim {
            let mut state = self.memory.lock();
            state.budget.shrink(claim, data.len() as u64);
        }
        self.memory.grant_ready();
        Bytes::from_owner(HeldBytes { data, _room: self })
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            self.memory.lock().budget.give_back(claim);
            self.memory.grant_ready();
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        {
            let mut state = self.memory.lock();
            state.budget.cancel(self.ticket);
            state.waiting.remove(&self.ticket);
        }
        self.memory.grant_ready();
    }
}

use std::io::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use lentilcart_state::ServerRegistration;
use lentilcart_util::{Name, Rng, Set, seeded_rng};
use rand::RngExt;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::entry::Entry;
use super::evacuation::SoakEvacuation;
use super::fault_kind::FaultKind;
use super::record::{Record, RouteVersion, now_ms};
use super::server::SoakServer;
use super::site::{DATA_CENTERS, FIRST_VERSION, HEARTBEAT, Site, WARMUP};
use super::store::Store;

/// Time for which a server that is leaving serves, at least.
const DRAIN: Duration = Duration::from_secs(2);
/// Mean time between two faults of one server, in milliseconds.
const SERVER_FAULT_MS: f64 = 14_000.0;

/// The faults of a soak: what is taken, changed and brought back, in an order that follows from the seed.
#[derive(Clone)]
pub(super) struct Schedule {
    pub(super) seed: u64,
    /// Factor on the number of faults of servers.
    pub(super) pace: f64,
    pub(super) faults: Arc<Set<FaultKind>>,
    pub(super) servers: Arc<Vec<SoakServer>>,
    pub(super) entries: Arc<Vec<Entry>>,
    pub(super) store: Store,
    pub(super) site: Arc<Site>,
    pub(super) record: Record,
}

/// Marks something as taken by a fault for as long as it lives.
struct Taken<'a>(&'a AtomicBool);

impl<'a> Taken<'a> {
    fn new(flag: &'a AtomicBool) -> Option<Self> {
        (!flag.swap(true, Ordering::Relaxed)).then(|| Self(flag))
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

async fn join_all(mut tasks: JoinSet<Result<(), Error>>) -> Result<(), Error> {
    while let Some(ended) = tasks.join_next().await {
        ended.expect("faults are played without a panic")?;
    }
    Ok(())
}

fn millis(rng: &mut Rng, start: u64, end: u64) -> Duration {
    Duration::from_millis(rng.random_range(start..end))
}

impl Schedule {
    /// Plays faults until it is told to stop, and ends those that are at work.
    ///
    /// # Errors
    ///
    /// Fails if a server or an entry cannot be started again.
    pub(super) async fn play(self, stop: CancellationToken) -> Result<(), Error> {
        let mut players = JoinSet::new();
        players.spawn(self.clone().play_servers(stop.clone()));
        players.spawn(self.clone().play_entries(stop.clone()));
        players.spawn(self.clone().play_routes(stop.clone()));
        players.spawn(self.clone().play_evacuations(stop.clone()));
        players.spawn(self.play_store(stop));
        join_all(players).await
    }

    /// Returns those of some kinds that are switched on.
    fn pick_kinds(&self, kinds: &[FaultKind]) -> Vec<FaultKind> {
        let is_on = |kind: &&FaultKind| self.faults.contains(kind);
        kinds.iter().filter(is_on).copied().collect()
    }

    fn note(&self, kind: FaultKind, what: &str) {
        self.record.count(kind.as_str());
        self.record.add_event(format!("{} {what}", kind.as_str()));
    }

    async fn play_servers(self, stop: CancellationToken) -> Result<(), Error> {
        use FaultKind::{ColdAgain, ColdStart};
        use FaultKind::{ServerEnd, ServerLeave, ServerMove, ServerSame, ServerSlow};
        let kinds = self.pick_kinds(&[
            ServerEnd,
            ServerSame,
            ServerLeave,
            ServerMove,
            ServerSlow,
            ColdStart,
            ColdAgain,
        ]);
        let mut rng = seeded_rng(self.seed ^ 0x5e17);
        let mut actions = JoinSet::new();
        let pause_ms = (SERVER_FAULT_MS / self.servers.len() as f64 / self.pace) as u64;
        while !kinds.is_empty() {
            let pause = millis(&mut rng, pause_ms / 2, pause_ms * 3 / 2 + 1);
            tokio::select! {
                () = sleep(pause) => {}
                () = stop.cancelled() => break,
            }
            while let Some(ended) = actions.try_join_next() {
                ended.expect("faults are played without a panic")?;
            }
            let server = rng.random_range(0..self.servers.len());
            let kind = kinds[rng.random_range(0..kinds.len())];
            let action_rng = seeded_rng(rng.random_range(0..u64::MAX));
            let schedule = self.clone();
            actions.spawn(async move { schedule.harm_server(server, kind, action_rng).await });
        }
        join_all(actions).await
    }

    async fn harm_server(&self, server: usize, kind: FaultKind, mut rng: Rng) -> Result<(), Error> {
        let server = &self.servers[server];
        let Some(_taken) = Taken::new(&server.is_taken) else {
            return Ok(());
        };
        let Some(old) = server.registration(false) else {
            return Ok(());
        };
        self.note(kind, &format!("{} at {}", old.id, old.address));
        if kind == FaultKind::ServerSlow {
            server.set_slowness(rng.random_range(200..1000));
            sleep(millis(&mut rng, 500, 3000)).await;
            server.set_slowness(100);
            return Ok(());
        }
        if kind == FaultKind::ColdAgain {
            server.set_cold(WARMUP);
            sleep(WARMUP).await;
            return Ok(());
        }
        if kind == FaultKind::ServerLeave {
            self.store
                .put_registration(&server.registration(true).expect("it has started"));
            sleep(DRAIN + millis(&mut rng, 0, 1500)).await;
            self.store.remove_registration(&old);
        }
        let mut taken = None;
        if kind == FaultKind::ServerMove {
            let others: Vec<_> = self
                .servers
                .iter()
                .filter(|other| !other.shares_service(server))
                .collect();
            let other = others[rng.random_range(0..others.len())];
            let Some((mark, old)) = Taken::new(&other.is_taken).zip(other.registration(false))
            else {
                return Ok(());
            };
            server.swap_services(other);
            taken = Some((mark, other, old));
        }
        let mut action_rng = seeded_rng(rng.random_range(0..u64::MAX));
        let other = async {
            match &taken {
                Some((_, other, old)) => {
                    self.restart_server(other, old, (None, false), &mut action_rng)
                        .await
                }
                None => Ok(()),
            }
        };
        let id = (kind == FaultKind::ServerSame).then(|| old.id.clone());
        let start = (id, kind == FaultKind::ColdStart);
        let restart = self.restart_server(server, &old, start, &mut rng);
        let (ended, other) = tokio::join!(restart, other);
        ended.and(other)
    }

    /// Ends a server and starts it again, under an identifier or a new one, and cold or not.
    async fn restart_server(
        &self,
        server: &SoakServer,
        old: &ServerRegistration,
        (id, is_cold): (Option<Name>, bool),
        rng: &mut Rng,
    ) -> Result<(), Error> {
        server.end().await;
        let down = match rng.random_range(0..10) {
            0..4 => millis(rng, 5, 150),
            4..9 => millis(rng, 150, 2500),
            _ => millis(rng, 2500, 7000),
        };
        // The old registration lapses some time after the last heartbeat.
        let lapse = HEARTBEAT * 2 + millis(rng, 0, HEARTBEAT.as_millis() as u64);
        let unknown = millis(rng, 0, 800);
        let is_renamed = id.is_none();
        let restart = async {
            sleep(down).await;
            server.start(id).map_err(|error| {
                Error::other(format!("{}: server not started: {error}", server.address))
            })?;
            if is_cold {
                server.set_cold(WARMUP);
            }
            sleep(unknown).await;
            self.store
                .put_registration(&server.registration(false).expect("it has started"));
            Ok(())
        };
        let forget = async {
            sleep(lapse).await;
            if is_renamed || lapse < down {
                self.store.remove_registration(old);
            }
        };
        tokio::join!(restart, forget).0
    }

    async fn play_entries(self, stop: CancellationToken) -> Result<(), Error> {
        use FaultKind::{CheckLost, EntryHup, EntryKill, EntryStop, EntryTerm};
        let kinds = self.pick_kinds(&[EntryTerm, EntryKill, EntryStop, EntryHup, CheckLost]);
        let mut rng = seeded_rng(self.seed ^ 0xe7);
        let mut actions = JoinSet::new();
        while !kinds.is_empty() {
            tokio::select! {
                () = sleep(millis(&mut rng, 2000, 8000)) => {}
                () = stop.cancelled() => break,
            }
            while let Some(ended) = actions.try_join_next() {
                ended.expect("faults are played without a panic")?;
            }
            let length = rng.random_range(1..=3);
            for _ in 0..length {
                let entry = rng.random_range(0..self.entries.len());
                let kind = kinds[rng.random_range(0..kinds.len())];
                let action_rng = seeded_rng(rng.random_range(0..u64::MAX));
                let schedule = self.clone();
                actions.spawn(async move { schedule.harm_entry(entry, kind, action_rng).await });
                sleep(millis(&mut rng, 0, 700)).await;
            }
        }
        join_all(actions).await
    }

    async fn harm_entry(&self, entry: usize, kind: FaultKind, mut rng: Rng) -> Result<(), Error> {
        let entry = &self.entries[entry];
        let Some(_taken) = Taken::new(&entry.is_taken) else {
            return Ok(());
        };
        self.note(kind, &entry.name);
        match kind {
            FaultKind::EntryStop => {
                entry.pause(millis(&mut rng, 50, 2000)).await;
                return Ok(());
            }
            FaultKind::EntryHup => return entry.reload(),
            FaultKind::EntryTerm => {
                if !entry.terminate().await {
                    self.record.count("entry killed after its grace");
                }
            }
            FaultKind::CheckLost => entry.fail_stop(),
            _ => entry.kill(),
        }
        sleep(millis(&mut rng, 50, 1500)).await;
        entry.start()
    }

    async fn play_routes(self, stop: CancellationToken) -> Result<(), Error> {
        let kinds = self.pick_kinds(&[FaultKind::RouteMove, FaultKind::RouteDrop]);
        let mut rng = seeded_rng(self.seed ^ 0x40);
        let mut services = self.site.services();
        let mut number = FIRST_VERSION;
        while !kinds.is_empty() {
            tokio::select! {
                () = sleep(millis(&mut rng, 500, 5000)) => {}
                () = stop.cancelled() => break,
            }
            let names = self.site.kinds.each_ref().map(|kind| kind.name);
            let kind = kinds[rng.random_range(0..kinds.len())];
            // One route is never removed, so that the host has one.
            let first = usize::from(kind == FaultKind::RouteDrop);
            let index = rng.random_range(first..names.len());
            let (name, other) = (names[index], names[(index + 1) % names.len()]);
            match (services.get(name) == Some(&name), kind) {
                (false, _) => services.insert(name, name),
                (true, FaultKind::RouteDrop) => services.remove(name),
                (true, _) => services.insert(name, other),
            };
            number += rng.random_range(1..4);
            self.note(kind, &format!("version {number}: {services:?}"));
            self.record.lock().versions.push(RouteVersion {
                sent: now_ms(),
                services: services.clone(),
            });
            if !self.faults.contains(&FaultKind::CheckConfig) {
                self.store.put_routes(&self.site.routes(number, &services));
            }
        }
        Ok(())
    }

    /// Evacuates one or two data centres at a time, for longer than entries may take to obey.
    async fn play_evacuations(self, stop: CancellationToken) -> Result<(), Error> {
        let kinds = self.pick_kinds(&[FaultKind::EvacuateSite, FaultKind::CheckEvacuation]);
        let mut rng = seeded_rng(self.seed ^ 0xeac);
        while !kinds.is_empty() {
            tokio::select! {
                () = sleep(millis(&mut rng, 500, 4000)) => {}
                () = stop.cancelled() => break,
            }
            let kind = kinds[rng.random_range(0..kinds.len())];
            let (first, count) = (
                rng.random_range(0..DATA_CENTERS.len()),
                rng.random_range(1..=2),
            );
            let names =
                (first..first + count).map(|index| DATA_CENTERS[index % DATA_CENTERS.len()]);
            let names: Vec<_> = names.collect();
            self.note(kind, &format!("{names:?}"));
            let mut numbers = Vec::new();
            for name in &names {
                if kind != FaultKind::CheckEvacuation {
                    self.store.evacuate(name);
                }
                let mut state = self.record.lock();
                numbers.push(state.evacuations.len());
                state.evacuations.push(SoakEvacuation {
                    data_center: name,
                    acknowledged: now_ms(),
                    revoked: None,
                });
            }
            tokio::select! {
                () = sleep(millis(&mut rng, 6000, 10_000)) => {}
                () = stop.cancelled() => {}
            }
            for (number, name) in numbers.into_iter().zip(&names) {
                self.record.lock().evacuations[number].revoked = Some(now_ms());
                self.store.end_evacuation(name);
            }
            self.record
                .add_event(format!("end of the evacuation of {names:?}"));
        }
        Ok(())
    }

    async fn play_store(self, stop: CancellationToken) -> Result<(), Error> {
        use FaultKind::{StoreDown, StorePart, StoreSlow, StoreWatch, StoreWrite};
        let kinds = self.pick_kinds(&[StoreWatch, StoreWrite, StoreDown, StorePart, StoreSlow]);
        let mut rng = seeded_rng(self.seed ^ 0x570);
        while !kinds.is_empty() {
            tokio::select! {
                () = sleep(millis(&mut rng, 1500, 6000)) => {}
                () = stop.cancelled() => break,
            }
            let kind = kinds[rng.random_range(0..kinds.len())];
            self.note(kind, "");
            let mut is_chosen = |_: &&Entry| rng.random_range(0..2) == 0;
            let some = self.entries.iter().filter(|entry| is_chosen(entry));
            let some: Set<_> = some.map(|entry| entry.address.ip()).collect();
            let delay = millis(&mut rng, 50, 500);
            self.store.change_faults(|faults| match kind {
                StoreWatch => faults.loses_watches = true,
                StoreWrite => faults.loses_writes = true,
                StoreDown => faults.is_down = true,
                StorePart => faults.refused = some,
                _ => faults.delay = delay,
            });
            let began = now_ms();
            sleep(millis(&mut rng, 300, 4000)).await;
            self.store
                .change_faults(|faults| *faults = super::store::StoreFaults::default());
            self.record.lock().store_troubles.push((began, now_ms()));
        }
        Ok(())
    }
}

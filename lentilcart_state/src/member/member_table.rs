use std::net::SocketAddr;

use lentilcart_util::{Map, Micros, Name};

use super::rendezvous_rank;

/// What an entry knows of another entry.
#[derive(Debug, Clone)]
pub struct Member {
    /// Data centre that the entry stands in.
    pub data_center: Name,
    /// Address of its peer listener.
    pub peer_address: SocketAddr,
    /// When its last heartbeat arrived.
    pub last_heartbeat: Option<Micros>,
    /// Whether it said that it is leaving, or the host list says so.
    pub leaving: bool,
    /// Number of the ticket in force there.
    pub applied_number: u64,
}

/// Table of the entries, this one included, kept from the host list and from heartbeats.
#[derive(Debug)]
pub struct MemberTable {
    me: Name,
    silence: Micros,
    rows: Map<Name, Member>,
}

impl MemberTable {
    /// Creates a table that holds only this entry; others are live while their last heartbeat is
    /// younger than `silence`.
    #[must_use]
    pub fn new(me: Name, own: Member, silence: Micros) -> Self {
        let rows = std::iter::once((me.clone(), own)).collect();
        Self { me, silence, rows }
    }

    /// Adds an entry, or updates its addresses.
    pub fn upsert(
        &mut self,
        name: &Name,
        data_center: &Name,
        peer_address: SocketAddr,
        leaving: bool,
    ) {
        if *name == self.me {
            return;
        }
        let row = self.rows.entry(name.clone()).or_insert_with(|| Member {
            data_center: data_center.clone(),
            peer_address,
            last_heartbeat: None,
            leaving,
            applied_number: 0,
        });
        row.data_center = data_center.clone();
        row.peer_address = peer_address;
        row.leaving |= leaving;
    }

    /// Removes an entry that the host list no longer names, unless its heartbeats still arrive:
    /// the list lags, the heartbeat does not.
    pub fn remove_unlisted(&mut self, name: &Name, now: Micros) {
        if *name != self.me && !self.is_live(name, now) {
            self.rows.remove(name);
        }
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(
        &mut self,
        name: &Name,
        now: Micros,
        applied_number: u64,
        leaving: bool,
    ) {
        if let Some(row) = self.rows.get_mut(name) {
            row.last_heartbeat = Some(now);
            row.applied_number = row.applied_number.max(applied_number);
            row.leaving = leaving;
        }
    }

    /// Records that the link to an entry has ended.
    pub fn record_link_loss(&mut self, name: &Name) {
        if let Some(row) = self.rows.get_mut(name) {
            row.last_heartbeat = None;
        }
    }

    /// Marks this entry as leaving.
    pub fn mark_leaving(&mut self) {
        if let Some(row) = self.rows.get_mut(&self.me) {
            row.leaving = true;
        }
    }

    /// Returns this entry's name.
    #[must_use]
    pub fn get_own_name(&self) -> &Name {
        &self.me
    }

    /// Returns a row.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.rows.get(name)
    }

    /// Returns every row.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.rows.iter()
    }

    /// Returns whether an entry's heartbeats arrive.
    #[must_use]
    pub fn is_live(&self, name: &Name, now: Micros) -> bool {
        match self.rows.get(name) {
            Some(_) if *name == self.me => true,
            Some(Member {
                last_heartbeat: Some(at),
                ..
            }) => now - *at <= self.silence,
            _ => false,
        }
    }

    /// Returns the live entries that are not leaving.
    #[must_use]
    pub fn get_serving(&self, now: Micros) -> Vec<&Name> {
        let serving = |(name, row): &(&Name, &Member)| !row.leaving && self.is_live(name, now);
        self.rows
            .iter()
            .filter(serving)
            .map(|(name, _)| name)
            .collect()
    }

    /// Returns the entries that dispatch for a key, the first choice first.
    #[must_use]
    pub fn get_owners(&self, key: &str, count: usize, now: Micros) -> Vec<Name> {
        let live = self.get_serving(now);
        rendezvous_rank(key, live.into_iter(), count)
            .into_iter()
            .cloned()
            .collect()
    }
}

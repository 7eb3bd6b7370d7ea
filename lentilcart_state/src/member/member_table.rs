use std::net::SocketAddr;

use lentilcart_util::{Map, Micros, Name, Set};

use super::{DEFAULT_WEIGHT, rendezvous_rank, weighted_rank};

/// This entry's view of one entry, possibly of itself.
#[derive(Debug, Clone)]
pub struct Member {
    /// Data centre of the entry.
    pub data_center: Name,
    /// Address on which the entry listens for connections from other entries.
    pub peer_address: SocketAddr,
    /// Time at which the last heartbeat arrived; `None` before the first one and after the link was
    /// lost. Not read for this entry itself, which is always live.
    pub last_heartbeat: Option<Micros>,
    /// Whether the entry is leaving, by its own heartbeat or by the host list.
    pub leaving: bool,
    /// Highest number that the entry has reported as in force: that of a ticket or, among gateways
    /// (entries whose routes come from the platform's store), the version of a route table.
    pub applied_number: u64,
    /// Weight in the choice of owners and of other duties, by what the entry can bear.
    pub weight: u32,
    /// Whether the entry has reported that it falls behind.
    pub overloaded: bool,
}

/// Table of the entries, this one included, updated from the host list and from heartbeats.
#[derive(Debug)]
pub struct MemberTable {
    own_name: Name,
    heartbeat_timeout: Micros,
    members: Map<Name, Member>,
    /// Entries that the host list no longer names, of those in the table.
    unlisted: Set<Name>,
}

impl MemberTable {
    /// Creates a table that holds only this entry, `own`. Another entry is live while its last
    /// heartbeat is not older than `heartbeat_timeout`.
    #[must_use]
    pub fn new(own_name: Name, own: Member, heartbeat_timeout: Micros) -> Self {
        let members = std::iter::once((own_name.clone(), own)).collect();
        Self {
            own_name,
            heartbeat_timeout,
            members,
            unlisted: Set::default(),
        }
    }

    /// Adds another entry, or updates its data centre and address.
    ///
    /// `leaving = true` marks the entry as leaving; `false` leaves the mark as it is. Only a
    /// heartbeat clears it.
    pub fn upsert(
        &mut self,
        name: &Name,
        data_center: &Name,
        peer_address: SocketAddr,
        leaving: bool,
    ) {
        if *name == self.own_name {
            return;
        }
        let member = self.members.entry(name.clone()).or_insert_with(|| Member {
            data_center: data_center.clone(),
            peer_address,
            last_heartbeat: None,
            leaving,
            applied_number: 0,
            weight: DEFAULT_WEIGHT,
            overloaded: false,
        });
        member.data_center = data_center.clone();
        member.peer_address = peer_address;
        member.leaving |= leaving;
    }

    /// Removes an entry that the host list no longer names, unless its heartbeats still arrive: the
    /// list is updated with a delay, heartbeats are not.
    pub fn remove_unlisted(&mut self, name: &Name, now: Micros) {
        if *name != self.own_name && !self.is_live(name, now) {
            self.members.remove(name);
            self.unlisted.remove(name);
        } else {
            self.unlisted.insert(name.clone());
        }
    }

    /// Records that the host list names an entry.
    pub fn record_listed(&mut self, name: &Name) {
        self.unlisted.remove(name);
    }

    /// Returns whether the host list has named an entry, or its heartbeats have come before that, and the list
    /// has not removed it since.
    #[must_use]
    pub fn is_listed(&self, name: &Name) -> bool {
        self.members.contains_key(name) && !self.unlisted.contains(name)
    }

    /// Records a heartbeat of a known entry, which reports the number in force there and whether
    /// the entry is leaving.
    pub fn record_heartbeat(
        &mut self,
        name: &Name,
        now: Micros,
        applied_number: u64,
        leaving: bool,
    ) {
        if let Some(member) = self.members.get_mut(name) {
            member.last_heartbeat = Some(now);
            member.applied_number = member.applied_number.max(applied_number);
            member.leaving = leaving;
        }
    }

    /// Sets the weight of an entry, as it has registered or reported it.
    pub fn set_weight(&mut self, name: &Name, weight: u32) {
        if let Some(member) = self.members.get_mut(name) {
            member.weight = weight;
        }
    }

    /// Sets whether an entry has reported that it falls behind.
    pub fn set_overloaded(&mut self, name: &Name, overloaded: bool) {
        if let Some(member) = self.members.get_mut(name) {
            member.overloaded = overloaded;
        }
    }

    /// Records that the link to an entry was lost; the entry is not live until its next heartbeat.
    pub fn record_link_loss(&mut self, name: &Name) {
        if let Some(member) = self.members.get_mut(name) {
            member.last_heartbeat = None;
        }
    }

    /// Marks this entry as leaving.
    pub fn mark_leaving(&mut self) {
        if let Some(member) = self.members.get_mut(&self.own_name) {
            member.leaving = true;
        }
    }

    /// Returns this entry's name.
    #[must_use]
    pub fn get_own_name(&self) -> &Name {
        &self.own_name
    }

    /// Returns what is known of an entry, by its name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns an iterator over the names of all entries and what is known of them.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter()
    }

    /// Returns the number of data centres that have entries; at least 1.
    ///
    /// An entry that is not live counts until it is no longer listed.
    #[must_use]
    pub fn get_data_center_count(&self) -> usize {
        let data_centers = self.members.values().map(|member| &member.data_center);
        data_centers.collect::<Set<&Name>>().len()
    }

    /// Returns whether an entry is live: this entry always, another one while its heartbeats
    /// arrive. An entry that is leaving may still be live.
    #[must_use]
    pub fn is_live(&self, name: &Name, now: Micros) -> bool {
        match self.members.get(name) {
            Some(_) if *name == self.own_name => true,
            Some(Member {
                last_heartbeat: Some(at),
                ..
            }) => now - *at <= self.heartbeat_timeout,
            _ => false,
        }
    }

    /// Returns the names of the live entries that are not leaving, in no particular order.
    #[must_use]
    pub fn get_serving(&self, now: Micros) -> Vec<&Name> {
        let is_serving =
            |(name, member): &(&Name, &Member)| !member.leaving && self.is_live(name, now);
        self.members
            .iter()
            .filter(is_serving)
            .map(|(name, _)| name)
            .collect()
    }

    /// Returns the entries that share the work for a data centre, such as probes of its servers: its own
    /// ones, or all serving entries if it has none.
    ///
    /// Most entries of another data centre send no heartbeats here, so they count while they are listed.
    #[must_use]
    pub fn get_responsible(&self, data_center: &Name, now: Micros) -> Vec<&Name> {
        let is_in_data_center = |name: &&Name| self.members[*name].data_center == *data_center;
        let listed: Vec<&Name> = self.members.keys().filter(is_in_data_center).collect();
        let serving = self.get_serving(now);
        match () {
            () if listed.contains(&&self.own_name) => {
                serving.into_iter().filter(is_in_data_center).collect()
            }
            () if listed.is_empty() => serving,
            () => listed,
        }
    }

    /// Returns up to `count` of some entries in the order in which they rank for a key by their weights.
    pub fn rank<'a>(
        &self,
        key: &str,
        names: impl Iterator<Item = &'a Name>,
        count: usize,
    ) -> Vec<&'a Name> {
        let get_weight = |name| self.members.get(name).map_or(DEFAULT_WEIGHT, |m| m.weight);
        weighted_rank(key, names.map(|name| (name, get_weight(name))), count)
    }

    /// Returns some entries in the order in which they take on a duty of one of them for all: those of the largest
    /// weight first, and among equals as they rank for a key.
    pub fn rank_strongest<'a>(
        &self,
        key: &str,
        names: impl Iterator<Item = &'a Name>,
    ) -> Vec<&'a Name> {
        let mut ranked = rendezvous_rank(key, names, usize::MAX);
        ranked.sort_by_key(|name| {
            let weight = self.members.get(*name).map_or(DEFAULT_WEIGHT, |m| m.weight);
            std::cmp::Reverse(weight)
        });
        ranked
    }

    /// Returns the number of entries of a data centre that are listed or were heard.
    #[must_use]
    pub fn get_count(&self, data_center: &Name) -> usize {
        let members = self.members.values();
        members
            .filter(|member| member.data_center == *data_center)
            .count()
    }

    /// Returns the entries of a data centre that may own its services: the serving ones and, if
    /// `include_unheard` is true, those that are listed and have never been heard.
    ///
    /// Right after a start no entry has heard of others, but all have listed the same ones, so that they
    /// choose the same owners. Entries that have reported that they fall behind are passed over, unless
    /// that leaves less than half of the others: where all fall behind, moves would only spread it.
    #[must_use]
    pub fn get_candidates(
        &self,
        data_center: &Name,
        include_unheard: bool,
        now: Micros,
    ) -> Vec<&Name> {
        let is_candidate = |(name, member): &(&Name, &Member)| {
            let is_unheard = include_unheard && member.last_heartbeat.is_none();
            member.data_center == *data_center
                && !member.leaving
                && (is_unheard || self.is_live(name, now))
        };
        let candidates = || self.members.iter().filter(is_candidate);
        let rested = candidates().filter(|(_, member)| !member.overloaded);
        let rested: Vec<&Name> = rested.map(|(name, _)| name).collect();
        if rested.len() * 2 >= candidates().count() {
            return rested;
        }
        candidates().map(|(name, _)| name).collect()
    }

    /// Returns up to `count` serving entries that own a key, such as the name of a service, the first
    /// choice first.
    #[must_use]
    pub fn get_owners(&self, key: &str, count: usize, now: Micros) -> Vec<Name> {
        let serving = self.get_serving(now);
        rendezvous_rank(key, serving.into_iter(), count)
            .into_iter()
            .cloned()
            .collect()
    }
}

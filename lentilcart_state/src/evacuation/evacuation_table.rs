use lentilcart_util::{Map, Micros, Name, Set};

use super::{Evacuation, EvacuationChange, EvacuationSource};

/// The evacuations in force at an entry.
///
/// A data centre need not be known: its evacuation is remembered, and applies to servers that come
/// later. Nothing prevents the evacuation of every data centre, since the operator's word counts.
#[derive(Debug, Default)]
pub struct EvacuationTable {
    evacuations: Map<Name, Evacuation>,
    /// Revision of the store at which the evacuations are as the table has them; 0 before the first
    /// listing.
    revision: u64,
}

impl EvacuationTable {
    /// Replaces the evacuations by all those that the store has at a revision, and returns the changes.
    /// Evacuations of an older revision than that of the table are ignored.
    ///
    /// `evacuated` holds each data centre with the revision at which its evacuation was ordered. An
    /// evacuation that stays keeps its source and its time, also if it was ordered again.
    pub fn replace(
        &mut self,
        now: Micros,
        source: EvacuationSource,
        revision: u64,
        evacuated: impl IntoIterator<Item = (Name, u64)>,
    ) -> Vec<EvacuationChange> {
        if revision < self.revision {
            return Vec::new();
        }
        self.revision = revision;
        let mut ended = std::mem::take(&mut self.evacuations);
        let mut changes = Vec::new();
        for (data_center, ordered) in evacuated {
            let known = ended.remove(&data_center);
            let evacuation = known.unwrap_or_else(|| {
                let evacuation = Evacuation {
                    data_center: data_center.clone(),
                    revision: ordered,
                    source,
                    learned: now,
                };
                changes.push(EvacuationChange::Begun(evacuation.clone()));
                evacuation
            });
            self.evacuations.insert(data_center, evacuation);
        }
        changes.extend(ended.into_values().map(EvacuationChange::Ended));
        changes
    }

    /// Returns the evacuation of a data centre, if it is evacuated.
    #[must_use]
    pub fn find(&self, data_center: &str) -> Option<&Evacuation> {
        self.evacuations.get(data_center)
    }

    /// Returns the evacuations, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Evacuation> {
        self.evacuations.values()
    }

    /// Returns the names of the evacuated data centres.
    #[must_use]
    pub fn get_names(&self) -> Set<Name> {
        self.evacuations.keys().cloned().collect()
    }

    /// Returns the number of evacuated data centres.
    #[must_use]
    pub fn len(&self) -> usize {
        self.evacuations.len()
    }

    /// Returns whether no data centre is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.evacuations.is_empty()
    }

    /// Returns the revision of the store at which the evacuations are as the table has them; 0 before the
    /// first listing.
    #[must_use]
    pub fn get_revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether there are data centres, and every one of them is evacuated.
    #[must_use]
    pub fn covers<'a>(&self, data_centers: impl IntoIterator<Item = &'a Name>) -> bool {
        let mut data_centers = data_centers.into_iter().peekable();
        data_centers.peek().is_some() && data_centers.all(|name| self.find(name).is_some())
    }
}

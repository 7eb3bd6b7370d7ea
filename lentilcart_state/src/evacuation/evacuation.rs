use lentilcart_util::{Micros, Name, common};

common! { value,
    /// Where an entry learned of an evacuation.
    pub enum EvacuationSource {
        /// It read the store itself.
        Store,
        /// Another entry told it.
        Peer,
    }
}

impl EvacuationSource {
    /// Returns the name that logs show.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// The evacuation of a data centre: its servers get no new requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// Name of the data centre.
    pub data_center: Name,
    /// Revision of the store at which the operator ordered it.
    pub revision: u64,
    /// Where this entry learned of it.
    pub source: EvacuationSource,
    /// When this entry learned of it, by its own clock.
    pub learned: Micros,
}

/// A change of the evacuations in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// This evacuation has begun.
    Begun(Evacuation),
    /// This evacuation has ended.
    Ended(Evacuation),
}

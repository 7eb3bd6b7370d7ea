/// Number of bits of a place that hold the revision.
const REVISION_BITS: u32 = 44;

/// A place in the store's history: its era, which rises each time the store comes back from an older copy, and the
/// revision in that era.
///
/// Mirrors, and what entries tell each other, hold a place as one number, which orders places as pairs. In era 0, that of a
/// store which names none, the number is the revision itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    /// Era of the store.
    pub era: u64,
    /// Revision of the store in that era.
    pub revision: u64,
}

impl Place {
    /// Highest era that a place can hold.
    pub const MAX_ERA: u64 = (1 << (u64::BITS - REVISION_BITS)) - 1;

    /// Returns the place as one number; a revision or an era that is too high counts as the highest.
    #[must_use]
    pub fn to_number(self) -> u64 {
        match self.era {
            0 => self.revision,
            era => {
                let revision = self.revision.min((1 << REVISION_BITS) - 1);
                era.min(Self::MAX_ERA) << REVISION_BITS | revision
            }
        }
    }

    /// Returns the place that a number stands for.
    #[must_use]
    pub fn from_number(number: u64) -> Self {
        Self {
            era: number >> REVISION_BITS,
            revision: number & ((1 << REVISION_BITS) - 1),
        }
    }
}

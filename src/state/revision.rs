//! Revisions and leases of the registry, which a restore from an older copy takes back.

use std::fmt;

/// A revision of the registry. When the registry is restored from an older copy, its numbers
/// go back and are given out again, in a new era. A revision of a later era is newer,
/// whatever its number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision {
    /// Times that the registry was restored; 0 when it does not say.
    pub era: u64,
    /// Number within the era; 0 before the first update.
    pub number: u64,
}

impl Revision {
    /// Returns whether this is the revision of a copy without any update.
    #[must_use]
    pub fn is_initial(self) -> bool {
        self == Self::default()
    }

    /// Returns whether changes up to this revision complete a copy at `known`: those between
    /// revisions of two eras are not all known to the registry.
    #[must_use]
    pub fn continues(self, known: Self) -> bool {
        self.era == known.era
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.number)
    }
}

/// A lease; the registry removes an entry when its lease ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Id, which may be another client's in another era.
    pub id: u64,
    /// Era in which the registry gave it out.
    pub era: u64,
}

impl Lease {
    /// Returns whether the lease is this host's in a registry of `era`.
    #[must_use]
    pub fn is_valid_in(self, era: u64) -> bool {
        self.era == era
    }
}

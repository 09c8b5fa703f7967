//! Revisions of the registry.

/// A revision of the registry. When the registry is restored from an older copy, its numbers
/// go back and are given out again, in a new era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision {
    /// Times that the registry was restored; 0 when it does not say.
    pub era: u64,
    /// Number within the era; 0 before the first update.
    pub number: u64,
}

//! Index versions that the leaves can serve, and the choice of the snapshot that a query
//! uses.

use {
    crate::{
        clock::Millis,
        collections::{Map, Name},
    },
    std::{
        collections::BTreeMap,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// Index versions that a leaf can serve, both ends included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionRange {
    /// Oldest version.
    pub oldest: u64,
    /// Newest version.
    pub newest: u64,
}

impl VersionRange {
    /// Returns whether the leaf can serve `version`.
    #[must_use]
    pub fn contains(self, version: u64) -> bool {
        (self.oldest..=self.newest).contains(&version)
    }
}

/// Index versions of the leaves of a service, with the number of leaves that have them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRanges {
    /// Service name.
    pub service: Name,
    /// Ranges, each with its number of leaves.
    pub ranges: Vec<(VersionRange, u32)>,
}

/// Time for which the versions that an owner reported are used.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Index versions of each service as their owners report them.
#[derive(Debug, Default)]
pub struct VersionReports {
    /// Latest report of each owner, by service and owner.
    services: Mutex<Map<Name, Map<Name, OwnerReport>>>,
}

#[derive(Debug)]
struct OwnerReport {
    received_at: Millis,
    ranges: Vec<(VersionRange, u32)>,
}

impl VersionReports {
    /// Records the versions that `owner` reported at `now`.
    pub fn record_report(&self, owner: &Name, reported: &[ServiceRanges], now: Millis) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        for service in reported {
            let report = OwnerReport {
                received_at: now,
                ranges: service.ranges.clone(),
            };
            services
                .entry(service.service.clone())
                .or_default()
                .insert(owner.clone(), report);
        }
    }

    /// Returns the version that most leaves of `service` can serve, the newest if several
    /// do; `None` when no owner has reported any.
    #[must_use]
    pub fn choose_snapshot(&self, service: &str, now: Millis) -> Option<u64> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let owners = services.get(service)?;
        let last_received = owners.values().map(|report| report.received_at).max()?;
        // If all reports have expired, those that came last are used.
        let since = now
            .0
            .min(last_received.0)
            .saturating_sub(crate::clock::millis(REPORT_TTL));
        let ranges: Vec<(VersionRange, u32)> = owners
            .values()
            .filter(|report| report.received_at.0 >= since)
            .flat_map(|report| report.ranges.iter().copied())
            .collect();
        newest_common_version(&ranges)
    }
}

/// Returns the version that most leaves can serve, the newest if several do; `None` without
/// ranges.
#[must_use]
pub fn newest_common_version(ranges: &[(VersionRange, u32)]) -> Option<u64> {
    let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
    // The newest version that most leaves can serve is the end of some range.
    for (range, _) in ranges {
        let leaves = ranges
            .iter()
            .filter(|(other, _)| other.contains(range.newest))
            .map(|(_, leaves)| leaves)
            .sum();
        counts.insert(range.newest, leaves);
    }
    let best = counts.values().copied().max()?;
    let newest = counts.into_iter().rev().find(|(_, leaves)| *leaves == best);
    newest.map(|(version, _)| version)
}

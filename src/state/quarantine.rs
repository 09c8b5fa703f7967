//! Requests that crashed targets, and requests known to be safe.

use {
    crate::{
        collections::{Map, Name, Set},
        protocol::message::Suspect,
    },
    std::{
        collections::VecDeque,
        sync::{Mutex, PoisonError},
    },
};

/// Number of distinct targets that a request crashes before it is always rejected.
pub const CRASH_LIMIT: usize = 2;

/// Most fingerprints of safe requests that are kept.
const MAX_SAFE_REQUESTS: usize = 65_536;

/// What is known about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestSafety {
    /// A target ran it without a crash.
    Safe,
    /// It crashed these targets, fewer than [`CRASH_LIMIT`], and must not be sent to them
    /// again. Empty when nothing is known.
    Unknown(Vec<Name>),
    /// It crashed [`CRASH_LIMIT`] targets or more.
    Quarantined,
}

/// Requests that crashed targets, and recent safe ones.
#[derive(Debug, Default)]
pub struct Quarantine {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    suspects: Map<u64, Vec<Name>>,
    safe: Set<u64>,
    /// Fingerprints in `safe`, oldest first.
    safe_order: VecDeque<u64>,
}

impl Quarantine {
    /// Returns what is known about a request.
    #[must_use]
    pub fn safety(&self, fingerprint: u64) -> RequestSafety {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        match inner.suspects.get(&fingerprint) {
            Some(targets) if targets.len() >= CRASH_LIMIT => RequestSafety::Quarantined,
            Some(targets) => RequestSafety::Unknown(targets.clone()),
            None if inner.safe.contains(&fingerprint) => RequestSafety::Safe,
            None => RequestSafety::Unknown(Vec::new()),
        }
    }

    /// Records that a target ran the request without a crash.
    pub fn mark_safe(&self, fingerprint: u64) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.safe.insert(fingerprint) {
            inner.safe_order.push_back(fingerprint);
        }
        if inner.safe_order.len() > MAX_SAFE_REQUESTS
            && let Some(oldest) = inner.safe_order.pop_front()
        {
            inner.safe.remove(&oldest);
        }
    }

    /// Records that `target` crashed on the request. Returns the suspect to send to the
    /// other daemons, or `None` if the crash was already recorded.
    pub fn record_crash(&self, fingerprint: u64, target: &Name) -> Option<Suspect> {
        let suspect = Suspect {
            fingerprint,
            targets: vec![target.clone()],
        };
        self.apply_suspects(std::slice::from_ref(&suspect))
            .then(|| Suspect {
                targets: self.targets(fingerprint),
                ..suspect
            })
    }

    /// Records crashes that other daemons report; true if any of them is new.
    pub fn apply_suspects(&self, suspects: &[Suspect]) -> bool {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let mut is_new = false;
        for suspect in suspects {
            let known = inner.suspects.entry(suspect.fingerprint).or_default();
            for target in &suspect.targets {
                if !known.contains(target) {
                    known.push(target.clone());
                    is_new = true;
                }
            }
        }
        is_new
    }

    /// Returns all requests that crashed a target.
    #[must_use]
    pub fn suspects(&self) -> Vec<Suspect> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner
            .suspects
            .iter()
            .map(|(fingerprint, targets)| Suspect {
                fingerprint: *fingerprint,
                targets: targets.clone(),
            })
            .collect()
    }

    fn targets(&self, fingerprint: u64) -> Vec<Name> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner
            .suspects
            .get(&fingerprint)
            .cloned()
            .unwrap_or_default()
    }
}

//! Organisations of callers: the keys that identify them, their priority and their quota.

use {
    crate::{
        collections::{Map, Name, Set},
        protocol::fingerprint::Fingerprint,
    },
    std::{sync::Arc, time::Duration},
};

/// An organisation of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, unique in the table.
    pub name: Name,
    /// Priority of its requests, 0 being the most urgent; `None` for that of their routes.
    pub priority: Option<u32>,
    /// Limit on its requests; `None` without one.
    pub quota: Option<Quota>,
}

/// Limit on the requests of an organisation, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// How closely the quotas of organisations are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRule {
    /// Span of time for which a quota binds.
    pub window: Duration,
    /// Share by which all hosts together may exceed a quota.
    pub overage: f64,
    /// Requests by which they may exceed it besides.
    pub slack: f64,
}

/// Digest of a key. The key itself is not kept, so that no log and no message can show it,
/// and a comparison of digests tells nothing about a key by its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyDigest(Fingerprint);

/// All organisations of one version of the routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisations {
    /// Whether requests need a key, though there may be no organisation.
    are_required: bool,
    /// Keys of which it isn't known what they allow.
    refused: Set<KeyDigest>,
    by_key: Map<KeyDigest, Arc<Organisation>>,
    by_name: Map<Name, Arc<Organisation>>,
}

/// Who sent a request, as far as hosts have checked it.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Caller {
    /// Nobody asks: there are no organisations.
    #[default]
    Unchecked,
    /// A caller that may send it; `None` when no organisation is known of it.
    Checked(Option<Arc<Organisation>>),
    /// A caller whose key another host must check; the request still has the key.
    Unproven,
}

impl Caller {
    /// Returns whether the headers of the request name its organisation and have no key.
    #[must_use]
    pub fn is_checked(&self) -> bool {
        matches!(self, Self::Checked(_))
    }

    /// Returns the caller's organisation, if one is known.
    #[must_use]
    pub fn organisation(&self) -> Option<&Arc<Organisation>> {
        match self {
            Self::Checked(organisation) => organisation.as_ref(),
            Self::Unchecked | Self::Unproven => None,
        }
    }
}

impl KeyDigest {
    /// Returns the digest of `key`.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Fingerprint::of_parts(&[key]))
    }
}

impl Organisations {
    /// Returns the table of a configuration that has a list of organisations, as yet an empty one.
    #[must_use]
    pub fn required() -> Self {
        Self {
            are_required: true,
            ..Self::default()
        }
    }

    /// Adds an organisation as far as it doesn't conflict with those in the table; returns whether
    /// it did not. Keys that another one holds are refused. One with the name of another adds its
    /// keys to that.
    #[must_use]
    pub fn add_part(&mut self, organisation: Organisation, keys: &[KeyDigest]) -> bool {
        let is_taken = |key: &KeyDigest| {
            self.refused.contains(key)
                || (self.by_key.get(key)).is_some_and(|holder| holder.name != organisation.name)
        };
        let (taken, free): (Vec<KeyDigest>, Vec<KeyDigest>) =
            keys.iter().copied().partition(is_taken);
        self.refuse(&taken);
        let known = self.by_name.get(&organisation.name).cloned();
        let is_new = known.is_none();
        let organisation = known.unwrap_or_else(|| Arc::new(organisation));
        for key in free {
            self.by_key.insert(key, Arc::clone(&organisation));
        }
        self.by_name.insert(organisation.name.clone(), organisation);
        is_new && taken.is_empty()
    }

    /// Refuses `keys`: they are in the configuration, but it isn't known what they allow.
    pub fn refuse(&mut self, keys: &[KeyDigest]) {
        for key in keys {
            self.by_key.remove(key);
            self.refused.insert(*key);
        }
    }

    /// Returns whether `key` is in the configuration, but it isn't known what it allows.
    #[must_use]
    pub fn is_refused(&self, key: &[u8]) -> bool {
        self.refused.contains(&KeyDigest::of(key))
    }

    /// Adds an organisation with the digests of its keys. Returns false, and changes nothing,
    /// if the name or a key is in the table already.
    #[must_use]
    pub fn add(&mut self, organisation: Organisation, keys: &[KeyDigest]) -> bool {
        let is_taken = self.by_name.contains_key(&organisation.name)
            || keys.iter().any(|key| self.by_key.contains_key(key));
        if is_taken {
            return false;
        }
        let organisation = Arc::new(organisation);
        for key in keys {
            self.by_key.insert(*key, Arc::clone(&organisation));
        }
        self.by_name.insert(organisation.name.clone(), organisation);
        true
    }

    /// Returns whether requests need a key: the configuration has a list of organisations, be it
    /// empty.
    #[must_use]
    pub fn need_keys(&self) -> bool {
        self.are_required || !self.by_name.is_empty()
    }

    /// Returns the organisation that holds `key`.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Organisation>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// Returns the organisation with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Returns all organisations, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }
}

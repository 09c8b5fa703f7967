//! Whether a caller may send a request: by the key that it states, and by how recently this
//! host's copy of the registry is proven current.
//!
//! Handles keys that are withdrawn or added while this host may not hear of it. A withdrawn key is
//! of no use at any host after a set time, so a host without a recent proof lets no key pass; nor
//! does it turn a key away that a newer copy may hold. It leaves the request to another host.

use {
    crate::state::organisations::Organisation,
    std::{sync::Arc, time::Duration},
};

/// Share of the time from a withdrawal within which a proof counts; the clocks of two machines
/// may differ in rate by the rest.
const CLOCK_RATIO: f64 = 0.99;

/// Longest key, bytes.
const MAX_KEY_BYTES: usize = 1_024;

/// Scheme of the only credentials that are accepted.
const SCHEME: &[u8] = b"bearer";

/// Key that a request states.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerKey {
    /// None.
    Missing,
    /// Credentials of another form, or several.
    Malformed,
    /// One that no organisation of this host's copy holds.
    Unknown,
    /// One of an organisation that can't be read.
    Unreadable,
    /// One of this organisation.
    Known(Arc<Organisation>),
}

/// A request whose caller is to be checked.
#[derive(Clone, Debug)]
pub struct CallerFacts {
    /// Whether there are organisations.
    pub has_organisations: bool,
    /// Whether the route needs no key.
    pub is_public: bool,
    /// Key that the request states.
    pub key: CallerKey,
    /// Time for which changes of the registry may be missing in this host's copy; `None` when it
    /// is not known.
    pub copy_age: Option<Duration>,
    /// Time after which a withdrawn key is of no use; `None` where hosts rely on their copies.
    pub revocation_time: Option<Duration>,
    /// Time within which a change of the registry must take effect.
    pub apply_timeout: Duration,
    /// Whether another host can check the key.
    pub can_hand_over: bool,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// There are no organisations: the request goes on as it is.
    Unchecked,
    /// The request may go on; `None` when no organisation is known to have sent it.
    Allowed(Option<Arc<Organisation>>),
    /// It states no key of any organisation.
    Unauthorized,
    /// This host can't tell; another one may.
    HandOver,
    /// This host can't tell; who sent it has to ask another one.
    Declined,
    /// No host can tell what the key allows.
    Unreadable,
}

/// Judges a request.
#[must_use]
pub fn judge(facts: CallerFacts) -> Verdict {
    let is_within = |limit: Duration| {
        let limit = limit.mul_f64(CLOCK_RATIO);
        facts.copy_age.is_some_and(|age| age <= limit)
    };
    if !facts.has_organisations {
        return Verdict::Unchecked;
    }
    let unproven = if facts.can_hand_over {
        Verdict::HandOver
    } else {
        Verdict::Declined
    };
    match facts.key {
        CallerKey::Known(organisation)
            if facts.is_public || facts.revocation_time.is_none_or(is_within) =>
        {
            Verdict::Allowed(Some(organisation))
        }
        CallerKey::Known(_) => unproven,
        _ if facts.is_public => Verdict::Allowed(None),
        CallerKey::Unreadable => Verdict::Unreadable,
        _ if is_within(facts.apply_timeout) => Verdict::Unauthorized,
        _ => unproven,
    }
}

/// Returns the key that the values of a request's `Authorization` headers state, if there are any.
///
/// # Errors
///
/// Fails when they are not one key in the form `Bearer KEY`.
pub fn read_key<'a>(
    mut values: impl Iterator<Item = &'a [u8]>,
) -> Result<Option<&'a [u8]>, Malformed> {
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Malformed);
    }
    let space = value.iter().position(|byte| *byte == b' ');
    let (scheme, key) = value.split_at(space.ok_or(Malformed)?);
    let key = key.trim_ascii();
    let is_key = (1..=MAX_KEY_BYTES).contains(&key.len()) && key.iter().all(u8::is_ascii_graphic);
    if scheme.eq_ignore_ascii_case(SCHEME) && is_key {
        Ok(Some(key))
    } else {
        Err(Malformed)
    }
}

/// Credentials that are not one key in the form `Bearer KEY`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

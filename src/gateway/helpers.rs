//! Other entry hosts as this one asks them for parts of a request.

use {
    super::view::lock,
    crate::{
        collections::{Map, Name},
        policy::{
            divide::{self, Helper},
            reassign,
        },
        state::{allowance::Share, roster::Member},
        transport::fleet::Link,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Instant,
    },
};

/// Hosts of each domain that are kept at hand: as many as ask for one request, and some in
/// place of those that do not answer.
const KEPT: usize = 16;

/// Entry hosts, by domain.
#[derive(Debug, Default)]
pub struct Helpers {
    domains: Map<Name, Vec<Arc<HelperHandle>>>,
    /// Share of a core that a host has, thousandths: that of the one in the middle.
    typical: u32,
}

/// An entry host and how it answers; outlives the view.
#[derive(Debug)]
pub struct HelperHandle {
    /// Its name.
    pub id: Name,
    /// Where it answers.
    pub address: SocketAddr,
    /// Share of a core that it has, thousandths.
    pub processor: u32,
    /// The connection to it.
    pub link: Link,
    silence: Mutex<Silence>,
}

/// Pieces that a host did not answer.
#[derive(Debug, Default)]
struct Silence {
    strikes: u32,
    until: Option<Instant>,
}

impl Helpers {
    /// Returns the hosts among `members`, with what `before` knows of them.
    #[must_use]
    pub fn new<'a>(members: impl Iterator<Item = &'a Member>, before: &Self) -> Self {
        let mut processors: Vec<u32> = Vec::new();
        let mut domains: Map<Name, Vec<&Member>> = Map::default();
        for member in members {
            processors.push(member.processor);
            domains
                .entry(member.domain.clone())
                .or_default()
                .push(member);
        }
        processors.sort_unstable();
        let middle = processors.get(processors.len() / 2);
        let kept = domains.into_iter().map(|(domain, mut members)| {
            members.sort_by_cached_key(|member| member.rank());
            members.truncate(KEPT);
            let known = before.domains.get(&domain).map_or(&[][..], |known| known);
            let handles = members.into_iter().map(|member| {
                let known = known.iter().find(|known| known.is(member));
                known.map_or_else(|| Arc::new(HelperHandle::new(member)), Arc::clone)
            });
            (domain, handles.collect())
        });
        Self {
            domains: kept.collect(),
            typical: middle.copied().unwrap_or_default(),
        }
    }

    /// Returns the hosts of `domain` that may be asked, the most powerful first.
    #[must_use]
    pub fn usable(&self, domain: &str, now: Instant) -> Vec<Arc<HelperHandle>> {
        let known = self.domains.get(domain).map_or(&[][..], |known| known);
        let usable = known.iter().filter(|helper| helper.is_usable(now));
        usable.cloned().collect()
    }

    /// Returns which hosts share what may be sent again to the shards of a request to `shards`
    /// shards, for the host `own`; `None` when each host asks by itself.
    #[must_use]
    pub fn share(&self, own: &str, shards: usize) -> Option<Share> {
        let mut askers = 0;
        let mut is_asker = false;
        for helpers in self.domains.values() {
            let count = divide::askers(shards, self.typical, &weigh(helpers));
            askers += count;
            is_asker |= helpers[..count].iter().any(|helper| *helper.id == *own);
        }
        match (askers, is_asker) {
            (0, _) => None,
            (askers, true) => Some(Share::Among(askers)),
            (_, false) => Some(Share::Others),
        }
    }

    /// Returns the domains that have hosts, in no order.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        self.domains.keys()
    }

    /// Returns the share of a core that the host in the middle has, thousandths.
    #[must_use]
    pub fn typical(&self) -> u32 {
        self.typical
    }
}

impl HelperHandle {
    fn new(member: &Member) -> Self {
        Self {
            id: member.id.clone(),
            address: member.address,
            processor: member.processor,
            link: Link::new(member.address),
            silence: Mutex::default(),
        }
    }

    fn is(&self, member: &Member) -> bool {
        (&self.id, self.address, self.processor) == (&member.id, member.address, member.processor)
    }

    /// Notes that it took a piece on.
    pub fn note_taken(&self) {
        *lock(&self.silence) = Silence::default();
    }

    /// Notes that it did not answer.
    pub fn note_silent(&self, now: Instant) {
        let mut silence = lock(&self.silence);
        // Pieces that were under way together are one silence.
        if silence.until.is_none_or(|until| now >= until) {
            silence.strikes += 1;
            silence.until = Some(now + reassign::shun_time(silence.strikes));
        }
    }

    fn is_usable(&self, now: Instant) -> bool {
        lock(&self.silence).until.is_none_or(|until| now >= until)
    }
}

/// Returns what the division of a request goes by.
#[must_use]
pub fn weigh(helpers: &[Arc<HelperHandle>]) -> Vec<Helper<'_>> {
    let weighed = helpers.iter().map(|helper| Helper {
        id: &helper.id,
        processor: helper.processor,
    });
    weighed.collect()
}

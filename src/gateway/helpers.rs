//! The entry hosts to which this one can delegate subqueries, and their availability.

use {
    super::view::lock,
    crate::{
        collections::{Map, Name, hash},
        policy::{
            delegation::{self, Helper},
            helper_failure,
            placement::Host,
        },
        state::{fleet_budget::BudgetShare, quota_allocator::HostPlace, roster::Member},
        transport::fleet::PeerChannel,
    },
    rand::seq::SliceRandom,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Hosts kept per domain: enough to run the subqueries of one request, and some to replace
/// those that do not respond.
const MAX_DOMAIN_HELPERS: usize = 16;

/// Hosts kept per domain that handle requests for this one: with most of them cut off as well,
/// some are left.
const MAX_DOMAIN_RELAYS: usize = 16;

/// Hosts in backoff that are asked all the same when no other one accepts a request: the only
/// host that reaches leaves may have been late once.
const MAX_RESTING_RELAYS: usize = 2;

/// Time for which a host that had a proof of its copy of the registry is taken to have one.
const PROOF_TTL: Duration = Duration::from_millis(1_500);

/// Hosts that are asked in turn for a proof that a copy of the registry is current.
const MAX_LEADS: usize = 2;

/// Entry hosts by domain.
#[derive(Debug, Default)]
pub struct HelperPool {
    domains: Map<Name, Vec<Arc<HelperHandle>>>,
    /// Hosts that handle requests for this one while it can't reach leaves.
    relays: Vec<Arc<HelperHandle>>,
    /// The lead of the fleet and the host that takes its place.
    leads: Vec<Arc<HelperHandle>>,
    /// Median processor share of a host, thousandths of a core.
    median_processor: u32,
    /// Since when the hosts are these.
    changed_at: Option<Instant>,
}

/// An entry host and its availability; outlives the view.
#[derive(Debug)]
pub struct HelperHandle {
    /// Host name.
    pub id: Name,
    /// Address for calls from other hosts.
    pub address: SocketAddr,
    /// Processor share, thousandths of a core.
    pub millicores: u32,
    /// Connection to the host.
    pub channel: PeerChannel,
    backoff: Mutex<Backoff>,
    /// When it last told that its copy of the registry is proven current.
    proven_at: Mutex<Option<Instant>>,
}

/// Backoff after subqueries that a host did not accept or complete.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
    until: Option<Instant>,
}

impl HelperPool {
    /// Groups `members` by domain, and keeps the state of hosts that `before` has. `own` is the
    /// name of this host.
    #[must_use]
    pub fn new<'a>(
        members: impl Iterator<Item = &'a Member>,
        before: &Self,
        own: &str,
        now: Instant,
    ) -> Self {
        let mut processors: Vec<u32> = Vec::new();
        let mut domains: Map<Name, Vec<&Member>> = Map::default();
        let mut all: Vec<&Member> = Vec::new();
        for member in members {
            all.push(member);
            processors.push(member.millicores);
            domains
                .entry(member.domain.clone())
                .or_default()
                .push(member);
        }
        processors.sort_unstable();
        let median = processors.get(processors.len() / 2);
        let before_handles = before.domains.values().flatten().chain(&before.relays);
        let mut handles: Map<Name, Arc<HelperHandle>> = before_handles
            .map(|known| (known.id.clone(), Arc::clone(known)))
            .collect();
        let mut handle_of = |member: &Member| {
            let known = handles
                .get(&member.id)
                .filter(|known| known.matches(member));
            let handle = known.map_or_else(|| Arc::new(HelperHandle::new(member)), Arc::clone);
            handles.insert(member.id.clone(), Arc::clone(&handle));
            handle
        };
        let seed = hash(own, 0);
        let mut relays: Vec<Arc<HelperHandle>> = Vec::new();
        let kept = domains.into_iter().map(|(domain, mut members)| {
            // Each host has others, so that the requests of those that are cut off spread.
            members.sort_by_cached_key(|member| hash(&member.id, seed));
            let others = members.iter().filter(|member| *member.id != *own);
            relays.extend(
                others
                    .take(MAX_DOMAIN_RELAYS)
                    .map(|member| handle_of(member)),
            );
            members.sort_by_cached_key(|member| member.sort_key());
            members.truncate(MAX_DOMAIN_HELPERS);
            (domain, members.into_iter().map(&mut handle_of).collect())
        });
        let domains: Map<Name, Vec<Arc<HelperHandle>>> = kept.collect();
        all.sort_by_cached_key(|member| member.sort_key());
        let leads = all.into_iter().take(MAX_LEADS).map(handle_of).collect();
        let has_same_hosts = domains.len() == before.domains.len()
            && domains.iter().all(|(domain, hosts)| {
                let known = before.domains.get(domain).map_or(&[][..], |known| known);
                hosts.len() == known.len()
                    && hosts
                        .iter()
                        .zip(known)
                        .all(|(one, other)| Arc::ptr_eq(one, other))
            });
        Self {
            domains,
            relays,
            leads,
            median_processor: median.copied().unwrap_or_default(),
            changed_at: before.changed_at.filter(|_| has_same_hosts).or(Some(now)),
        }
    }

    /// Returns the names of the hosts.
    pub fn ids(&self) -> impl Iterator<Item = &Name> {
        self.domains.values().flatten().map(|helper| &helper.id)
    }

    /// Returns the hosts as [`policy::placement`](crate::policy::placement) compares them.
    pub fn placers(&self) -> impl Iterator<Item = Host<'_>> + Clone {
        self.domains.values().flatten().map(|helper| Host {
            id: &helper.id,
            millicores: helper.millicores,
        })
    }

    /// Returns the hosts with their domains.
    pub fn places(&self) -> impl Iterator<Item = HostPlace> {
        let domains = self.domains.iter();
        domains.flat_map(|(domain, helpers)| {
            helpers.iter().map(|helper| HostPlace {
                domain: domain.clone(),
                id: helper.id.clone(),
            })
        })
    }

    /// Returns the host with the name `id`.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<HelperHandle>> {
        let mut hosts = self.domains.values().flatten();
        hosts.find(|helper| *helper.id == *id)
    }

    /// Returns how long the hosts have been these.
    #[must_use]
    pub fn unchanged_for(&self, now: Instant) -> Duration {
        self.changed_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Returns the hosts of `domain` that are not in backoff, in descending order of
    /// processor share.
    #[must_use]
    pub fn available(&self, domain: &str, now: Instant) -> Vec<Arc<HelperHandle>> {
        let known = self.domains.get(domain).map_or(&[][..], |known| known);
        let available = known.iter().filter(|helper| helper.is_available(now));
        available.cloned().collect()
    }

    /// Returns the hosts that may handle a request for this one, in the order in which they are
    /// asked: in a random one, those in backoff last and only two of them.
    #[must_use]
    pub fn choose_relays(&self, now: Instant) -> Vec<Arc<HelperHandle>> {
        let relays = self.relays.iter().cloned();
        let (mut chosen, mut resting): (Vec<_>, Vec<_>) =
            relays.partition(|relay| relay.is_available(now));
        chosen.shuffle(&mut rand::rng());
        resting.shuffle(&mut rand::rng());
        chosen.extend(resting.into_iter().take(MAX_RESTING_RELAYS));
        chosen
    }

    /// Returns whether one of the hosts that may handle requests for this one has a proof that its
    /// copy of the registry is current.
    #[must_use]
    pub fn has_proof(&self, now: Instant) -> bool {
        self.relays.iter().any(|relay| relay.has_proof(now))
    }

    /// Returns whether the host `own` asks the registry for proofs for all hosts.
    #[must_use]
    pub fn is_lead(&self, own: &str) -> bool {
        self.leads.first().is_some_and(|lead| *lead.id == *own)
    }

    /// Returns the hosts that the host `own` asks for proofs, in order.
    pub fn leads(&self, own: &str) -> impl Iterator<Item = &Arc<HelperHandle>> {
        self.leads.iter().take_while(move |lead| *lead.id != *own)
    }

    /// Returns the host at `address`.
    #[must_use]
    pub fn at(&self, address: SocketAddr) -> Option<&Arc<HelperHandle>> {
        let mut hosts = self.domains.values().flatten().chain(&self.relays);
        hosts.find(|host| host.address == address)
    }

    /// Returns how the retry budget for the shards of a request to `shards` shards is
    /// shared between hosts, as seen from the host `own`; `None` when each host queries all
    /// shards itself.
    #[must_use]
    pub fn share(&self, own: &str, shards: usize) -> Option<BudgetShare> {
        let mut helper_count = 0;
        let mut is_helper = false;
        for helpers in self.domains.values() {
            let count = delegation::helper_count(
                shards,
                self.median_processor,
                &helper_capacities(helpers),
            );
            helper_count += count;
            is_helper |= helpers[..count].iter().any(|helper| *helper.id == *own);
        }
        match (helper_count, is_helper) {
            (0, _) => None,
            (helper_count, true) => Some(BudgetShare::DividedAmong(helper_count)),
            (_, false) => Some(BudgetShare::OtherHosts),
        }
    }

    /// Returns the domains that have hosts, in no particular order.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        self.domains.keys()
    }

    /// Returns the median processor share of a host, thousandths of a core.
    #[must_use]
    pub fn median_processor(&self) -> u32 {
        self.median_processor
    }
}

impl HelperHandle {
    fn new(member: &Member) -> Self {
        Self {
            id: member.id.clone(),
            address: member.address,
            millicores: member.millicores,
            channel: PeerChannel::new(member.address),
            backoff: Mutex::default(),
            proven_at: Mutex::default(),
        }
    }

    fn matches(&self, member: &Member) -> bool {
        (&self.id, self.address, self.millicores) == (&member.id, member.address, member.millicores)
    }

    /// Records that the host accepted a subquery, and ends its backoff.
    pub fn record_acceptance(&self) {
        *lock(&self.backoff) = Backoff::default();
    }

    /// Records that the host did not accept or complete a subquery, and starts its backoff.
    pub fn record_failure(&self, now: Instant) {
        let mut backoff = lock(&self.backoff);
        // Failures of subqueries that were in flight together count as one.
        if backoff.until.is_none_or(|until| now >= until) {
            backoff.failures += 1;
            backoff.until = Some(now + helper_failure::helper_backoff(backoff.failures));
        }
    }

    /// Records whether the host has a proof that its copy of the registry is current.
    pub fn record_proof(&self, has_proof: bool, now: Instant) {
        *lock(&self.proven_at) = has_proof.then_some(now);
    }

    /// Returns whether the host has told lately that its copy of the registry is proven current.
    #[must_use]
    pub fn has_proof(&self, now: Instant) -> bool {
        let proven_at = *lock(&self.proven_at);
        proven_at.is_some_and(|at| now.saturating_duration_since(at) < PROOF_TTL)
    }

    fn is_available(&self, now: Instant) -> bool {
        lock(&self.backoff).until.is_none_or(|until| now >= until)
    }
}

/// Returns the capacities by which a request is divided among `helpers`.
#[must_use]
pub fn helper_capacities(helpers: &[Arc<HelperHandle>]) -> Vec<Helper<'_>> {
    let capacities = helpers.iter().map(|helper| Helper {
        id: &helper.id,
        millicores: helper.millicores,
    });
    capacities.collect()
}

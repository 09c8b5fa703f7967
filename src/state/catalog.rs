//! The declaration in force, indexed for lookups while a query is served.

use {
    crate::{
        collections::{Map, Name, Set},
        declaration::{Declaration, Service, TargetState},
    },
    std::{net::SocketAddr, sync::Arc},
    xxhash_rust::xxh3::Xxh3,
};

/// Identifies a leaf, alike on all daemons: a hash of service, target and shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeafId(pub u64);

impl LeafId {
    /// Returns the id of the leaf of `target` that serves `shard`.
    #[must_use]
    pub fn of(service: &str, target: &str, shard: u32) -> Self {
        let mut hasher = Xxh3::new();
        for part in [service.as_bytes(), target.as_bytes(), &shard.to_le_bytes()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}

/// A leaf with what is needed to send requests to it.
#[derive(Clone, Debug)]
pub struct LeafEntry {
    /// Leaf id.
    pub id: LeafId,
    /// Shard that it serves.
    pub shard: u32,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Target that it belongs to.
    pub target: Name,
    /// Failure domain of the target.
    pub domain: Name,
    /// False when an operator took its failure domain out of service or its target is
    /// leaving.
    pub serving: bool,
    /// True when an operator took its failure domain out of service.
    pub domain_out: bool,
    /// Service that it belongs to.
    pub service: Arc<Service>,
}

/// A service with its leaves by shard.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// The service as declared.
    pub service: Arc<Service>,
    /// Replicas of each shard, by shard number.
    pub shards: Vec<Vec<Arc<LeafEntry>>>,
}

/// A target with its leaves, which placement assigns to the same first owner.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// Target name.
    pub name: Name,
    /// Ids of its leaves.
    pub leaves: Vec<LeafId>,
    /// Shards that its leaves serve, each as a hash of service name and shard.
    pub shards: Vec<u64>,
}

/// One revision of the declaration, indexed.
#[derive(Debug, Default)]
pub struct Catalog {
    /// Revision of the declaration; 0 before any is loaded.
    pub revision: u64,
    /// Services by name.
    pub services: Map<Name, ServiceEntry>,
    /// Leaves by id.
    pub leaves: Map<LeafId, Arc<LeafEntry>>,
    /// Targets of all services.
    pub targets: Vec<TargetEntry>,
}

impl Catalog {
    /// Indexes `declaration`, which is the given `revision`.
    #[must_use]
    pub fn new(revision: u64, declaration: &Declaration) -> Self {
        let excluded_domains = declaration.domains_out();
        let mut catalog = Self {
            revision,
            ..Self::default()
        };
        for service in &declaration.services {
            catalog.add_service(service, &excluded_domains);
        }
        catalog
    }

    fn add_service(&mut self, service: &Service, excluded_domains: &Set<Name>) {
        let shared = Arc::new(service.clone());
        let mut shards = vec![Vec::new(); service.shards as usize];
        for target in &service.targets {
            let mut entry = TargetEntry {
                name: target.name.clone(),
                leaves: Vec::new(),
                shards: Vec::new(),
            };
            let domain_out = excluded_domains.contains(&target.domain);
            for leaf in &target.leaves {
                let id = LeafId::of(&service.name, &target.name, leaf.shard);
                let leaf = Arc::new(LeafEntry {
                    id,
                    shard: leaf.shard,
                    address: leaf.address,
                    target: target.name.clone(),
                    domain: target.domain.clone(),
                    serving: !domain_out && target.state == TargetState::Serving,
                    domain_out,
                    service: Arc::clone(&shared),
                });
                entry.leaves.push(id);
                entry
                    .shards
                    .push(LeafId::of(&service.name, "", leaf.shard).0);
                shards[leaf.shard as usize].push(Arc::clone(&leaf));
                self.leaves.insert(id, leaf);
            }
            self.targets.push(entry);
        }
        self.services.insert(
            service.name.clone(),
            ServiceEntry {
                service: shared,
                shards,
            },
        );
    }
}

/// Returns the fingerprint of a request, under which crashes of targets are recorded.
#[must_use]
pub fn fingerprint(service: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::with_seed(1);
    hasher.update(service.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest()
}

//! Starts a stand-in for each target of one declaration.

use {
    crate::{
        history::History,
        target::{Behaviour, Spec, TargetStandin},
    },
    eyre::{OptionExt, Result, WrapErr},
    serde::Deserialize,
    serde_yaml_ng::Value,
    std::{net::SocketAddr, time::Duration},
};

/// Source of the addresses that the targets listen on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Addresses {
    /// The addresses in the declaration.
    Declared,
    /// Loopback addresses with ports chosen by the kernel.
    Loopback,
}

/// The running targets of a declaration.
pub struct Fleet {
    targets: Vec<TargetStandin>,
    document: String,
}

#[derive(Deserialize)]
struct DeclaredServices {
    services: Vec<DeclaredService>,
}

#[derive(Deserialize)]
struct DeclaredService {
    name: String,
    limits: DeclaredLimits,
    targets: Vec<DeclaredTarget>,
}

#[derive(Deserialize)]
struct DeclaredLimits {
    slots: u32,
    connections: u32,
    #[serde(default)]
    connect_cost_ms: u64,
}

#[derive(Deserialize)]
struct DeclaredTarget {
    name: String,
    domain: String,
    leaves: Vec<DeclaredLeaf>,
}

#[derive(Deserialize)]
struct DeclaredLeaf {
    shard: u32,
    address: SocketAddr,
}

impl Fleet {
    /// Starts the targets that `document` declares.
    ///
    /// # Errors
    ///
    /// Fails when the document has no services or an address can't be bound.
    pub async fn start(
        document: &str,
        addresses: Addresses,
        behaviour: &Behaviour,
        seed: u64,
        history: &History,
    ) -> Result<Self> {
        let declared: DeclaredServices =
            serde_yaml_ng::from_str(document).wrap_err("fleet: read declaration")?;
        let mut targets = Vec::new();
        for service in &declared.services {
            for target in &service.targets {
                let spec = target_spec(service, target, addresses, seed + targets.len() as u64);
                let name = spec.name.clone();
                let target = TargetStandin::start(spec, behaviour.clone(), history.clone())
                    .await
                    .wrap_err_with(|| format!("fleet: start target {name}"))?;
                targets.push(target);
            }
        }
        let document = replace_addresses(document, &targets)?;
        Ok(Self { targets, document })
    }

    /// Returns the declaration with the addresses that the targets listen on.
    #[must_use]
    pub fn document(&self) -> &str {
        &self.document
    }

    /// Returns all targets.
    #[must_use]
    pub fn targets(&self) -> &[TargetStandin] {
        &self.targets
    }

    /// Returns the targets of one service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &TargetStandin> {
        self.targets
            .iter()
            .filter(move |target| target.spec().service == service)
    }

    /// Returns the target named `name`.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&TargetStandin> {
        self.targets
            .iter()
            .find(|target| target.spec().name == name)
    }

    /// Makes all targets warm at once.
    pub fn warm_up(&self) {
        for target in &self.targets {
            target.warm_up();
        }
    }
}

fn target_spec(
    service: &DeclaredService,
    target: &DeclaredTarget,
    addresses: Addresses,
    seed: u64,
) -> Spec {
    let leaves = target
        .leaves
        .iter()
        .map(|leaf| match addresses {
            Addresses::Declared => (leaf.shard, leaf.address),
            Addresses::Loopback => (leaf.shard, SocketAddr::from(([127, 0, 0, 1], 0))),
        })
        .collect();
    Spec {
        name: target.name.clone(),
        service: service.name.clone(),
        domain: target.domain.clone(),
        leaves,
        slots: service.limits.slots,
        connections: service.limits.connections,
        connect_cost: Duration::from_millis(service.limits.connect_cost_ms),
        seed,
    }
}

fn replace_addresses(document: &str, targets: &[TargetStandin]) -> Result<String> {
    let mut tree: Value = serde_yaml_ng::from_str(document)?;
    let mut targets = targets.iter();
    let services = tree
        .get_mut("services")
        .and_then(Value::as_sequence_mut)
        .ok_or_eyre("fleet: services missing")?;
    for service in services {
        let declared = service
            .get_mut("targets")
            .and_then(Value::as_sequence_mut)
            .ok_or_eyre("fleet: targets missing")?;
        for target in declared {
            let spec = targets
                .next()
                .ok_or_eyre("fleet: a target is missing")?
                .spec();
            let leaves = target
                .get_mut("leaves")
                .and_then(Value::as_sequence_mut)
                .ok_or_eyre("fleet: leaves missing")?;
            for (leaf, (_, address)) in leaves.iter_mut().zip(&spec.leaves) {
                leaf["address"] = Value::from(address.to_string());
            }
        }
    }
    Ok(serde_yaml_ng::to_string(&tree)?)
}

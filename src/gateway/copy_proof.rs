//! Keeps this host's copy of the registry proven current, where withdrawn keys have a time limit.

use {
    super::{Gateway, helpers::HelperHandle, view::View},
    crate::{
        clock::{BootTime, Millis, millis},
        policy::{
            proof_renewal::{self, HOSTS_ASKED, Prover, Role},
            sync_source,
        },
        state::{copy_proof::Proof, revision::Revision},
        transport::{
            fleet::CopyProof,
            registry::{Registry, RegistryUpdate},
        },
    },
    futures_util::future::join_all,
    slog::{info, warn},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
    tokio_util::sync::CancellationToken,
};

/// Delay until the next look for routes while there are none.
const START_DELAY: Duration = Duration::from_millis(50);

/// Keeps the copy proven current until `stop`.
pub async fn keep_proven<R: Registry>(
    gateway: Arc<Gateway>,
    registry: Arc<R>,
    stop: CancellationToken,
) {
    let Some(lifetime) = gateway.settings.revocation_time else {
        return;
    };
    let mut renewal = Renewal {
        gateway,
        registry,
        lifetime,
        failures: 0,
        registry_due: Millis::default(),
        is_proven: true,
    };
    loop {
        let delay = tokio::select! {
            () = stop.cancelled() => return,
            delay = renewal.renew_if_due() => delay,
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(delay) => {}
        }
    }
}

struct Renewal<R> {
    gateway: Arc<Gateway>,
    registry: Arc<R>,
    /// Time for which a proof counts.
    lifetime: Duration,
    /// Calls in a row that the registry did not answer.
    failures: u32,
    /// When the registry may be called again.
    registry_due: Millis,
    /// Whether the last look found a proof that counts.
    is_proven: bool,
}

impl<R: Registry> Renewal<R> {
    /// Renews the proof if it is due; returns the delay until the next look.
    async fn renew_if_due(&mut self) -> Duration {
        let view = self.gateway.view();
        match &view.routes {
            None => return START_DELAY,
            Some(routes) if !routes.organisations.need_keys() => {
                return self.lifetime.mul_f64(rand::random::<f64>().max(0.5)) / 5;
            }
            Some(_) => {}
        }
        let due = self.delay();
        if !due.is_zero() {
            self.record_state();
            return due;
        }
        let calls_registry = Millis::now() >= self.registry_due;
        let role = self.role(&view);
        let mut is_answered = false;
        for prover in proof_renewal::provers(role, calls_registry) {
            if !proof_renewal::asks(role, *prover, is_answered) {
                continue;
            }
            is_answered |= match prover {
                Prover::Registry => self.ask_registry().await,
                Prover::Lead => self.ask_leads().await,
                Prover::Source => self.ask_source().await,
                Prover::OtherHosts => self.ask_other_hosts().await,
            };
            if self.is_recent() {
                break;
            }
        }
        self.record_state();
        self.delay()
            .max(proof_renewal::retry_delay(self.lifetime, rand::random()))
    }

    fn role(&self, view: &View) -> Role {
        if self.gateway.is_follower() {
            Role::Follower
        } else if view.helpers.is_lead(&self.gateway.settings.id) {
            Role::Lead
        } else {
            Role::Direct
        }
    }

    /// Returns the time until the proof is renewed.
    fn delay(&self) -> Duration {
        proof_renewal::renewal_delay(self.gateway.copy_age(), self.lifetime, rand::random())
    }

    fn is_recent(&self) -> bool {
        proof_renewal::is_recent(self.gateway.copy_age(), self.lifetime)
    }

    /// Asks the registry; returns whether it answered.
    async fn ask_registry(&mut self) -> bool {
        let Some(sent_at) = BootTime::now() else {
            return false;
        };
        let known = self.gateway.copy_revision();
        let limit = proof_renewal::answer_timeout(Prover::Registry, self.lifetime);
        let read = self.registry.watch_routes(known, limit).await;
        self.gateway.metrics.record_registry_call(read.is_ok());
        let is_answered = read.is_ok();
        if let Ok(update) = read {
            self.failures = 0;
            let proof = proof_of(known, &update, sent_at);
            self.gateway.copy_proofs().record_proof(proof);
        } else {
            self.failures += 1;
            let delay = sync_source::retry_delay(self.failures);
            self.registry_due = Millis::now().plus(delay);
        }
        is_answered
    }

    /// Asks the lead and the second host; returns whether one has a proof.
    async fn ask_leads(&self) -> bool {
        let view = self.gateway.view();
        let mut has_proof = false;
        for lead in view.helpers.leads(&self.gateway.settings.id) {
            has_proof |= self.ask_host(lead, Prover::Lead).await;
            if self.is_recent() {
                break;
            }
        }
        has_proof
    }

    /// Asks the host that this one syncs from; returns whether it has a proof.
    async fn ask_source(&self) -> bool {
        let view = self.gateway.view();
        let source = self.gateway.source_address();
        match source.and_then(|source| view.helpers.at(source)) {
            Some(host) => self.ask_host(host, Prover::Source).await,
            None => false,
        }
    }

    /// Asks some other hosts at once; returns whether one has a proof.
    async fn ask_other_hosts(&self) -> bool {
        let view = self.gateway.view();
        let mut hosts = view.helpers.choose_relays(Instant::now());
        hosts.truncate(HOSTS_ASKED);
        let asked = hosts
            .iter()
            .map(|host| self.ask_host(host, Prover::OtherHosts));
        join_all(asked).await.contains(&true)
    }

    /// Asks `host` how current its copy is; returns whether it has a proof, of whatever age. Hosts that
    /// don't know of proofs have none.
    async fn ask_host(&self, host: &HelperHandle, prover: Prover) -> bool {
        let Some(sent_at) = BootTime::now() else {
            return false;
        };
        let limit = proof_renewal::answer_timeout(prover, self.lifetime);
        let reply = timeout(limit, host.channel.prove_current()).await;
        let proof = reply.ok().and_then(Result::ok).flatten();
        let has_proof = proof.is_some();
        let counts = |proof: &CopyProof| proof.age < self.lifetime;
        host.record_proof(proof.as_ref().is_some_and(counts), Instant::now());
        if let Some(CopyProof { age, revision }) = proof
            && let Some(sent_at) = sent_at.0.checked_sub(age)
        {
            self.gateway.copy_proofs().record_proof(Proof {
                sent_at: BootTime(sent_at),
                revision,
            });
        }
        has_proof
    }

    /// Records the age of the proof, and logs when proofs no longer count or count again.
    fn record_state(&mut self) {
        let gateway = &self.gateway;
        let age = gateway.copy_age();
        let age_ms = age.and_then(|age| i64::try_from(millis(age)).ok());
        gateway
            .metrics
            .organisations
            .proof_age
            .set(age_ms.unwrap_or(-1));
        let is_proven = age.is_some_and(|age| age < self.lifetime);
        match (self.is_proven, is_proven) {
            (true, false) => {
                warn!(gateway.log, "copy_proof: the copy of the registry is not proven current";
                    "age_ms" => age_ms, "follows_host" => gateway.is_follower());
            }
            (false, true) => {
                info!(gateway.log, "copy_proof: the copy of the registry is proven current again";
                    "age_ms" => age_ms, "follows_host" => gateway.is_follower());
            }
            _ => {}
        }
        self.is_proven = is_proven;
    }
}

/// Returns what `update`, the changes of the routes after `known` as of a call sent at `sent_at`,
/// proves: a copy at `known` is current if there are none.
fn proof_of(known: Revision, update: &RegistryUpdate, sent_at: BootTime) -> Proof {
    let is_current = update.entries.is_empty() && update.revision.continues(known);
    Proof {
        sent_at,
        revision: if is_current { known } else { update.revision },
    }
}

//! Registration: keeps this host's entry in the registry under a lease.

use {
    super::Gateway,
    crate::{
        clock::Millis,
        policy::sync_source::{self, RegistryContact},
        state::{revision::Lease, roster::Member},
        transport::registry::{Registry, RegistryError},
    },
    futures_util::future::select_ok,
    slog::{info, warn},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Lifetime of the lease of this host's entry without a renewal.
const LEASE_TTL: Duration = Duration::from_secs(20);

/// Time between renewals of a host that syncs from the registry. A registry that hangs is
/// detected within this interval and the timeout of a call, at a tenth of the cost of a
/// watch; a change must take effect within 3 seconds.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Time between renewals of a host that has followers: they treat it as behind once the
/// registry has not answered it for 1.2 seconds.
const SOURCE_RENEWAL_INTERVAL: Duration = Duration::from_millis(700);

/// Time between renewals of a host that syncs from another: they only keep its entry.
const FOLLOWER_RENEWAL_INTERVAL: Duration = Duration::from_secs(9);

/// Time after which a renewal without a reply is made once more, beside the first. Followers
/// of this host would call the registry themselves if a single lost reply made it seem behind.
const RENEWAL_HEDGE_DELAY: Duration = Duration::from_millis(350);

/// Largest delay of the registration after the registry was restored: other hosts treat
/// missing entries as removed 2.3 seconds after the restore.
const MAX_REGISTRATION_DELAY: Duration = Duration::from_millis(800);

/// Time for which a host waits to learn whether a restored registry has its entry.
const OWN_ENTRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a starting host waits for the lease of an earlier process.
const PREVIOUS_LEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// What a new copy of the registry has of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnEntry {
    /// Era of the registry.
    pub era: u64,
    /// Lease of this host's entry; `None` without an entry that can be kept.
    pub lease: Option<Lease>,
}

/// The lease of this host's entry.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: Lease,
    /// Whether the entry is known to be written under it.
    is_written: bool,
}

/// Keeps this host registered until `stop`. `own_entry` delivers the lease of an earlier
/// process of this host, if its entry still exists, and later what a restored registry has
/// of this host.
///
/// A stop leaves the entry in place until its lease ends. Most hosts start again before
/// that and then keep the lease with one call; other hosts notice that this one has ended
/// when they send it the next subquery.
pub async fn keep_registered<R: Registry>(
    gateway: Arc<Gateway>,
    registry: Arc<R>,
    mut own_entry: watch::Receiver<Option<OwnEntry>>,
    stop: CancellationToken,
) {
    let settings = &gateway.settings;
    let member = Member {
        id: settings.id.clone(),
        address: settings.peer_address.unwrap_or(settings.caller_address),
        domain: settings.domain.clone(),
        millicores: settings.millicores,
        lease: 0,
    };
    // Without a copy of the registry in time, the host registers anew.
    let _ = timeout(PREVIOUS_LEASE_TIMEOUT, own_entry.changed()).await;
    let found = own_entry.borrow_and_update().and_then(|entry| entry.lease);
    let mut held = found.map(HeldLease::of_entry);
    let mut failures = 0;
    let mut awaits_copy = false;
    while !stop.is_cancelled() {
        let started = Millis::now();
        let delay = match renew_or_register(&*registry, &member, &mut held).await {
            Ok(era) => {
                gateway.registry_copy.record_contact(started);
                gateway.record_renewal(started);
                failures = 0;
                awaits_copy = false;
                record_response(&gateway, era);
                renewal_interval(&gateway)
            }
            // The sync reads the restored registry and tells whether this host's entry is in it.
            Err(RegistryError::Restored(era)) if !awaits_copy => {
                awaits_copy = true;
                record_response(&gateway, era);
                OWN_ENTRY_TIMEOUT
            }
            Err(RegistryError::LeaseExpired | RegistryError::Restored(_)) => {
                info!(
                    gateway.log,
                    "registration: this host's lease has expired; registering again"
                );
                held = None;
                Duration::ZERO
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    gateway
                        .registry_contact
                        .send_modify(|contact| contact.is_lost = true);
                    warn!(gateway.log, "registration: registration or lease renewal failed"; "error" => %error);
                }
                sync_source::retry_delay(failures) * 2
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            // From now on renewals must detect a registry that hangs, for this host or for
            // its followers: the next one is made at once.
            () = gateway.registry_resumed.notified() => {}
            () = gateway.registry_copy.wait_for_follower() => {}
            Ok(()) = own_entry.changed() => {
                let found = *own_entry.borrow_and_update();
                // A lease that this host got since the restore may not be in the copy.
                if let Some(found) = found && !held.is_some_and(|held| held.lease.is_valid_in(found.era)) {
                    held = found.lease.map(HeldLease::of_entry);
                    // The registry limits the rate at which all hosts write.
                    sleep(MAX_REGISTRATION_DELAY.mul_f64(rand::random())).await;
                }
            }
            () = sleep(delay) => {}
        }
    }
}

/// Records that a registry of `era` responded; wakes the registry sync if that is news.
fn record_response(gateway: &Gateway, era: u64) {
    let response = RegistryContact {
        is_lost: false,
        era,
    };
    gateway.registry_contact.send_if_modified(|contact| {
        let is_news = *contact != response;
        *contact = response;
        is_news
    });
}

impl HeldLease {
    /// Returns the lease of an entry that is in the registry.
    fn of_entry(lease: Lease) -> Self {
        Self {
            lease,
            is_written: true,
        }
    }
}

/// Renews the lease in `held`, or writes the entry under it; without one, a lease is granted
/// first. Returns the era of the registry.
///
/// A write without a reply is made again under the same lease: the first one may take effect
/// later and must not put the entry under a lease that nobody renews.
async fn renew_or_register<R: Registry>(
    registry: &R,
    member: &Member,
    held: &mut Option<HeldLease>,
) -> Result<u64, RegistryError> {
    let mut current = match *held {
        Some(current) => current,
        None => HeldLease {
            lease: registry.grant_lease(LEASE_TTL).await?,
            is_written: false,
        },
    };
    *held = Some(current);
    let era = if current.is_written {
        renew(registry, current.lease).await?
    } else {
        let member = Member {
            lease: current.lease.id,
            ..member.clone()
        };
        registry.register(&member).await?
    };
    if !current.lease.is_valid_in(era) {
        return Err(RegistryError::Restored(era));
    }
    current.is_written = true;
    *held = Some(current);
    Ok(era)
}

/// Renews `lease`; makes the call twice when the first reply is late. Returns the era of the
/// registry.
async fn renew<R: Registry>(registry: &R, lease: Lease) -> Result<u64, RegistryError> {
    let mut first = Box::pin(registry.renew(lease));
    if let Ok(renewed) = timeout(RENEWAL_HEDGE_DELAY, first.as_mut()).await {
        return renewed;
    }
    let second = Box::pin(registry.renew(lease));
    let (era, _) = select_ok([first, second]).await?;
    Ok(era)
}

fn renewal_interval(gateway: &Gateway) -> Duration {
    match (gateway.registry_copy.has_followers(), gateway.is_follower()) {
        (true, _) => SOURCE_RENEWAL_INTERVAL,
        (false, true) => FOLLOWER_RENEWAL_INTERVAL,
        (false, false) => RENEWAL_INTERVAL,
    }
}

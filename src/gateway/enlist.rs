//! Keeps this host's entry in the registry.

use {
    super::Gateway,
    crate::{
        clock::Millis,
        policy::follow,
        state::roster::Member,
        transport::registry::{LeaseId, Registry, RegistryError},
    },
    slog::{info, warn},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Length of the lease of this host's entry.
const LEASE_TIME: Duration = Duration::from_secs(20);

/// Time between renewals of a host that follows the registry. They tell within this time
/// and that of an answer that the registry hangs, at a tenth of the price of a watch; a
/// change must be in force after 3 seconds.
const RENEW_TIME: Duration = Duration::from_secs(2);

/// Time between renewals of a host that others follow: they take it for behind when the
/// registry has not answered it for 1.2 seconds.
const FOLLOWED_RENEW_TIME: Duration = Duration::from_millis(700);

/// Time between renewals of a host that follows another: they keep its entry, no more.
const FOLLOWING_RENEW_TIME: Duration = Duration::from_secs(6);

/// Time in which a starting host learns whether its entry of before is still there.
const LEARN_TIME: Duration = Duration::from_secs(1);

/// Keeps this host's entry in the registry until `stop`. `before` tells the lease that an
/// earlier process of this host had, once that is known.
///
/// The entry outlives a stop until its lease ends: most hosts are back before, and then keep
/// the lease with one call. Others notice at the first piece that a host has ended.
pub async fn enlist<R: Registry>(
    gateway: Arc<Gateway>,
    registry: Arc<R>,
    before: oneshot::Receiver<LeaseId>,
    stop: CancellationToken,
) {
    let settings = &gateway.settings;
    let member = Member {
        id: settings.id.clone(),
        address: settings.peer_address.unwrap_or(settings.caller_address),
        domain: settings.domain.clone(),
        processor: settings.processor,
        lease: 0,
    };
    let before = timeout(LEARN_TIME, before).await;
    let mut lease: Option<LeaseId> = before.ok().and_then(Result::ok);
    let mut failures = 0;
    while !stop.is_cancelled() {
        let asked = Millis::now();
        let pause = match renew(&*registry, &member, lease).await {
            Ok(held) => {
                lease = Some(held);
                gateway.held.note_contact(asked);
                if std::mem::take(&mut failures) > 0 {
                    gateway.doubted.notify_one();
                }
                renew_time(&gateway)
            }
            Err(RegistryError::LeaseGone) => {
                info!(gateway.log, "upkeep: this host's lease has ended");
                lease = None;
                Duration::ZERO
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    gateway.doubted.notify_one();
                    warn!(gateway.log, "upkeep: this host's entry can't be kept"; "error" => %error);
                }
                follow::retry_pause(failures) * 2
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            // From now on renewals tell whether the registry hangs, here or to others.
            () = gateway.left_source.notified() => {}
            () = gateway.held.when_followed() => {}
            () = sleep(pause) => {}
        }
    }
}

async fn renew<R: Registry>(
    registry: &R,
    member: &Member,
    lease: Option<LeaseId>,
) -> Result<LeaseId, RegistryError> {
    match lease {
        Some(lease) => registry.renew(lease).await.map(|()| lease),
        None => registry.enlist(member, LEASE_TIME).await,
    }
}

fn renew_time(gateway: &Gateway) -> Duration {
    match (gateway.held.is_followed(), gateway.is_following()) {
        (true, _) => FOLLOWED_RENEW_TIME,
        (false, true) => FOLLOWING_RENEW_TIME,
        (false, false) => RENEW_TIME,
    }
}

//! The tasks of the host that drives rollouts: it claims that under a lease of the registry,
//! decides, and writes the stages.

use {
    super::driving::{Claim, Decision, Round},
    crate::{
        clock::{Millis, millis, unix_ms},
        collections::Name,
        gateway::{Gateway, settings::RolloutRule, view::lock},
        policy::sync_source,
        state::{revision::Lease, rollouts::Driver},
        transport::registry::{ConditionalWrite, Registry, RegistryError, StageWrite},
    },
    slog::{info, warn},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
    tokio_util::sync::CancellationToken,
};

/// Lifetime of the claim without a renewal: another host takes over after it.
const CLAIM_TTL: Duration = Duration::from_secs(2);

/// Time between renewals of the claim.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(600);

/// Time between two rounds of decisions.
const ROUND_TIME: Duration = Duration::from_millis(250);

/// Longest time for which a host waits before it claims: the largest hosts, which can best bear
/// the reports, wait the first part only.
const MAX_CLAIM_DELAY: Duration = Duration::from_secs(1);
const LARGE_HOST_PART: f64 = 0.3;

/// Claims to drive rollouts while orders are open and no other host does, until `stop`.
pub async fn hold_claim<R: Registry>(
    gateway: Arc<Gateway>,
    registry: Arc<R>,
    stop: CancellationToken,
) {
    let mut changes = gateway.rollouts.changed.subscribe();
    while !stop.is_cancelled() {
        let is_needed = gateway.rollouts.has_open_orders() && !gateway.is_stopping();
        if !is_needed {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = changes.changed() => {}
            }
        } else if lock(&gateway.rollouts.state).driver().is_some() {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = changes.changed() => {}
            }
        } else {
            sleep(claim_delay(&gateway)).await;
            if lock(&gateway.rollouts.state).driver().is_none() {
                drive(&gateway, &*registry, &stop).await;
            }
        }
    }
}

fn claim_delay(gateway: &Gateway) -> Duration {
    let median = gateway.view().helpers.median_processor();
    let draw: f64 = rand::random();
    let part = if gateway.settings.millicores > median {
        draw * LARGE_HOST_PART
    } else {
        LARGE_HOST_PART + draw * (1.0 - LARGE_HOST_PART)
    };
    MAX_CLAIM_DELAY.mul_f64(part)
}

/// Claims, and keeps the claim until it is not needed or lost.
async fn drive<R: Registry>(gateway: &Arc<Gateway>, registry: &R, stop: &CancellationToken) {
    let sent_at = Millis::now();
    let claimed = claim(gateway, registry).await;
    gateway.metrics.record_registry_call(claimed.is_ok());
    let (lease, revision) = match claimed {
        Ok(Some(claimed)) => claimed,
        Ok(None) => return sleep(ROUND_TIME).await,
        Err(error) => {
            warn!(gateway.log, "rollouts: claim failed"; "error" => %error);
            return sleep(sync_source::retry_delay(1)).await;
        }
    };
    info!(gateway.log, "rollouts: this host drives rollouts"; "lease" => lease.id);
    gateway.metrics.rollouts.is_driver.set(1);
    let mut claim = Claim {
        revision,
        valid_until: sent_at.plus(CLAIM_TTL),
    };
    lock(&gateway.rollouts.driving).set_claim(claim);
    let reason = loop {
        tokio::select! {
            () = stop.cancelled() => {}
            () = sleep(RENEWAL_INTERVAL) => {}
        }
        if stop.is_cancelled() || gateway.is_stopping() || !gateway.rollouts.has_open_orders() {
            lock(&gateway.rollouts.driving).drop_claim();
            let _ = registry.release_rollouts(revision).await;
            break "it is not needed";
        }
        let renewed_at = Millis::now();
        match registry.renew(lease).await {
            Ok(era) if lease.is_valid_in(era) => {
                claim.valid_until = renewed_at.plus(CLAIM_TTL);
            }
            Ok(_) | Err(RegistryError::LeaseExpired) => break "its lease has ended",
            Err(_) if Millis::now() >= claim.valid_until => break "the registry does not answer",
            Err(_) => {}
        }
        let mut driving = lock(&gateway.rollouts.driving);
        if driving.claim(Millis::now()).is_none() {
            break "another host may drive";
        }
        driving.set_claim(claim);
    };
    lock(&gateway.rollouts.driving).drop_claim();
    gateway.metrics.rollouts.is_driver.set(0);
    info!(gateway.log, "rollouts: this host drives rollouts no more"; "reason" => reason);
    // The registry may still list this host for a moment.
    sleep(ROUND_TIME).await;
}

/// Claims under a new lease; `None` if another host has the claim.
async fn claim<R: Registry>(
    gateway: &Gateway,
    registry: &R,
) -> Result<Option<(Lease, u64)>, RegistryError> {
    let lease = registry.grant_lease(CLAIM_TTL).await?;
    let driver = Driver {
        host: gateway.settings.id.clone(),
        lease: lease.id,
    };
    let mut result = registry.claim_rollouts(&driver).await;
    if matches!(result, Err(RegistryError::Unreachable(_))) {
        // It may have taken effect: the second call tells.
        result = registry.claim_rollouts(&driver).await;
    }
    Ok(match result? {
        ConditionalWrite::Written { revision, era } if lease.is_valid_in(era) => {
            Some((lease, revision))
        }
        ConditionalWrite::Conflict {
            driver: Some((found, revision)),
            ..
        } if found == driver => Some((lease, revision)),
        _ => None,
    })
}

/// Decides the stages of rollouts while this host drives them, until `stop`.
pub async fn decide_stages(gateway: Arc<Gateway>, rule: RolloutRule, stop: CancellationToken) {
    let mut changes = gateway.rollouts.changed.subscribe();
    loop {
        let is_driver = lock(&gateway.rollouts.driving)
            .claim(Millis::now())
            .is_some();
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(ROUND_TIME), if is_driver || gateway.rollouts.has_open_orders() => {}
            _ = changes.changed() => {}
        }
        let decisions = decide_round(&gateway, &rule);
        for decision in &decisions {
            log_decision(&gateway, decision);
        }
        if !decisions.is_empty() {
            gateway.rollouts.write_due.notify_one();
        }
    }
}

fn decide_round(gateway: &Gateway, rule: &RolloutRule) -> Vec<Decision> {
    let fleet: Vec<Name> = gateway.view().helpers.ids().cloned().collect();
    let state = lock(&gateway.rollouts.state);
    let mut driving = lock(&gateway.rollouts.driving);
    let decisions = driving.decide(&Round {
        rollouts: &state,
        rule,
        fleet: &fleet,
        now: Millis::now(),
        unix_ms: unix_ms(),
    });
    if driving.next_write(Millis::now()).is_some() {
        gateway.rollouts.write_due.notify_one();
    }
    decisions
}

fn log_decision(gateway: &Gateway, decision: &Decision) {
    let Decision {
        stage,
        fault,
        facts,
    } = decision;
    let sum = |count: fn(&crate::state::rollouts::RouteReplies) -> u64| -> u64 {
        facts.routes.iter().map(count).sum()
    };
    info!(gateway.log, "rollouts: stage decided"; "service" => &*stage.service,
        "target" => &*stage.target, "stage" => stage.phase.name(),
        "fault" => fault.map(rollout_fault_name), "elapsed_ms" => millis(facts.elapsed),
        "requests" => facts.all, "sent_to_target" => facts.sent,
        "replies" => sum(|route| route.target.replies), "failed" => sum(|route| route.target.failed),
        "slow" => sum(|route| route.target.slow),
        "former_replies" => sum(|route| route.former.replies),
        "former_failed" => sum(|route| route.former.failed),
        "former_slow" => sum(|route| route.former.slow));
    gateway.metrics.rollouts.record_stage(stage.phase);
}

fn rollout_fault_name(fault: crate::policy::rollout::Fault) -> &'static str {
    fault.name()
}

/// Writes the stages that were decided, until `stop`.
pub async fn write_stages<R: Registry>(
    gateway: Arc<Gateway>,
    registry: Arc<R>,
    stop: CancellationToken,
) {
    let mut failures = 0;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = gateway.rollouts.write_due.notified() => {}
        }
        while !stop.is_cancelled() {
            let Some(is_written) = write_next(&gateway, &*registry, failures == 0).await else {
                break;
            };
            // The first conflict tells the revision that the next write replaces.
            failures = if is_written { 0 } else { failures + 1 };
            if failures > 1 {
                sleep(sync_source::retry_delay(failures - 1)).await;
            }
        }
    }
}

/// Writes one stage; returns whether the registry has it, or `None` if there is nothing to write.
async fn write_next<R: Registry>(gateway: &Gateway, registry: &R, logs: bool) -> Option<bool> {
    let write = lock(&gateway.rollouts.driving).next_write(Millis::now())?;
    let (service, stage) = (&*write.stage.service, write.stage.phase.name());
    let written = registry.write_stage(StageWrite {
        stage: &write.stage,
        claim: write.claim,
        replaces: write.replaces,
    });
    let written = written.await;
    gateway.metrics.record_registry_call(written.is_ok());
    match written {
        Ok(result) => {
            let mut driving = lock(&gateway.rollouts.driving);
            let is_written = driving.record_write(&write, &result, Millis::now());
            drop(driving);
            if logs || is_written {
                info!(gateway.log, "rollouts: stage written"; "service" => service,
                    "stage" => stage, "done" => is_written);
            }
            Some(is_written)
        }
        Err(error) => {
            if logs {
                warn!(gateway.log, "rollouts: write failed"; "error" => %error,
                    "service" => service, "stage" => stage);
            }
            Some(false)
        }
    }
}

//! One claim on the quota of an organisation: which hosts are asked, and what they reply.

use {
    super::super::{Gateway, view::View},
    crate::{
        collections::Name,
        policy::quota::{self, Patience, Refusal, Reply},
        state::quota_allocator::Role,
        transport::fleet::{QuotaClaim, QuotaGrant},
    },
    futures_util::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered},
    slog::info,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep_until,
};

/// What a claim got.
#[derive(Default)]
pub(super) struct Claimed {
    /// For each granted request, the time after which it may be sent.
    pub(super) grants: Vec<Duration>,
    /// Whether any was granted.
    pub(super) is_granted: bool,
    /// What the hosts that were asked replied.
    pub(super) replies: Vec<Reply>,
}

/// What a host replied.
type HostReply = (Name, Result<Vec<QuotaGrant>, String>);

impl Claimed {
    /// Records what a host replied to a claim for `wanted` requests.
    fn record(&mut self, grants: &[QuotaGrant], wanted: u32) {
        let [grant] = grants else {
            // It is no allocator, or may not grant yet.
            self.replies.push(Reply::Unanswered);
            return;
        };
        let granted = grant.requests.min(wanted);
        self.grants.extend((0..granted).map(|_| grant.wait));
        self.is_granted |= granted > 0;
        self.replies.push(match granted {
            0 => Reply::Denied(grant.wait),
            // The rest of them comes after those.
            _ if granted < wanted => Reply::Denied(grant.wait),
            _ => Reply::Granted,
        });
    }
}

/// Claims `wanted` requests of `organisation`.
pub(super) async fn claim(
    gateway: &Arc<Gateway>,
    view: &View,
    organisation: &Name,
    wanted: u32,
    patience: &Patience,
) -> Claimed {
    let started = Instant::now();
    let hosts: Vec<_> = view.helpers.places().collect();
    let granters = quota::choose_granters(organisation, &hosts);
    let is_silent = |host: &str| gateway.quotas.is_silent(host, started);
    let is_cut_off = granters.iter().all(|(host, _)| is_silent(host));
    let give_up = started + quota::claim_time(patience, is_cut_off);
    let order = quota::ask_order(&granters, &gateway.settings.id, is_silent, rand::random());
    let mut order = order.into_iter().peekable();
    let mut claimed = Claimed::default();
    let mut asked: Vec<&Name> = Vec::new();
    let mut calls: FuturesUnordered<BoxFuture<'_, HostReply>> = FuturesUnordered::new();
    let mut asks_next = true;
    loop {
        let missing = wanted.saturating_sub(u32::try_from(claimed.grants.len()).unwrap_or(wanted));
        if missing == 0 {
            break;
        }
        let may_ask =
            |(_, role): &(&Name, Role)| quota::is_asked(*role, &claimed.replies, hosts.len());
        if asks_next && let Some((host, _)) = order.next_if(may_ask) {
            let max_wait = patience.max_wait.saturating_sub(started.elapsed());
            calls.push(ask(gateway, view, host, organisation, missing, max_wait));
            asked.push(host);
        } else if calls.is_empty() {
            break;
        }
        let is_denied = matches!(quota::refusal(&claimed.replies), Refusal::OverQuota(_));
        let hedge_at = Instant::now() + patience.hedge_delay;
        tokio::select! {
            Some((host, reply)) = calls.next() => {
                asked.retain(|waiting| **waiting != host);
                match reply {
                    Ok(grants) => claimed.record(&grants, missing),
                    Err(reason) => {
                        claimed.replies.push(Reply::Unanswered);
                        record_silence(gateway, &host, &reason);
                    }
                }
                asks_next = calls.is_empty();
            }
            () = sleep_until(hedge_at.into()), if order.peek().is_some() || is_denied => {
                // The others have nothing left: a host that is this slow won't change much.
                if order.peek().is_none() {
                    break;
                }
                asks_next = true;
            }
            () = sleep_until(give_up.into()) => break,
        }
    }
    // Those that others had to be asked beside.
    for host in asked {
        record_silence(gateway, host, "no reply in time");
    }
    claimed
}

fn record_silence(gateway: &Gateway, host: &Name, reason: &str) {
    if gateway.quotas.record_silence(host, Instant::now()) {
        info!(gateway.log, "quotas: host did not answer a claim"; "host" => &**host,
            "reason" => reason);
    }
}

/// Asks one host, which may be this one.
fn ask<'a>(
    gateway: &'a Arc<Gateway>,
    view: &'a View,
    host: &'a Name,
    organisation: &Name,
    requests: u32,
    max_wait: Duration,
) -> BoxFuture<'a, HostReply> {
    let claims = [QuotaClaim {
        organisation: organisation.clone(),
        requests,
        max_wait,
    }];
    async move {
        let reply = if *host == gateway.settings.id {
            Ok(gateway.take_quota(&claims))
        } else if let Some(helper) = view.helpers.get(host) {
            helper
                .channel
                .take_quota(&gateway.settings.id, &claims)
                .await
        } else {
            Err("unknown host".to_owned())
        };
        (host.clone(), reply)
    }
    .boxed()
}

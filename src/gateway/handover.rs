//! Waits for the leaf of a request, and hands the request to another host besides when new
//! connections to its service are silent.

use {
    super::{
        attempt::OutgoingRequest, hedged_request::HedgedRequest, relay::Relayed,
        response::FullResponse, serve::RoutedRequest, service_reach::Handover,
    },
    crate::policy::relaying::{self, WaitingFacts},
    futures_util::{FutureExt, future::BoxFuture},
    slog::info,
    std::{future::pending, pin::pin, time::Instant},
};

/// A request at another host.
struct RelayedCopy<'a> {
    asked_at: Instant,
    reason: Handover,
    relayed: BoxFuture<'a, Relayed>,
}

impl RoutedRequest<'_> {
    /// Sends `hedged` and waits until it has a reply or a failure, or its time is over. Returns the
    /// response of another host if that comes first.
    ///
    /// When it is to be found out whether another host reaches the service, a new request goes there
    /// only: that is its first attempt. One that waits already takes another attempt from the retry
    /// budget.
    pub(super) async fn wait_for_leaf(
        &self,
        hedged: &mut HedgedRequest,
        outgoing: &OutgoingRequest,
    ) -> Option<FullResponse> {
        let gateway = self.gateway;
        let service = hedged.services.first()?.handle.as_ref()?.name.clone();
        let mut last_response_due = pin!(gateway.last_response_due());
        let mut copy: Option<RelayedCopy> = None;
        let mut is_started = false;
        let mut is_done = false;
        while hedged.reply_count() + hedged.failed_count() == 0
            && Instant::now() < outgoing.deadline
        {
            let severed = gateway.service_reach.severed();
            let now = Instant::now();
            let due = match (&copy, self.handover_due(hedged, outgoing, now)) {
                _ if is_done => None,
                (None, due) => due,
                // The host that was asked may be one that doesn't reach the service either.
                (Some(copy), due) if copy.reason == Handover::Trial => {
                    due.filter(|(_, reason)| *reason == Handover::Severed)
                }
                (Some(_), _) => None,
            };
            if let Some((at, reason)) = due
                && at <= now
                && (is_started || copy.is_some() || reason == Handover::Trial)
            {
                gateway.service_reach.record_trial(&service, now);
                let is_extra = is_started && reason == Handover::Trial;
                if !is_extra || hedged.spend_budget(0, 0, now) {
                    info!(gateway.log, "handover: new connections to the service are silent";
                        "request" => &*outgoing.id, "service" => &*service, "reason" => reason.name());
                    let is_trial = reason == Handover::Trial;
                    let relayed = self.relay_elsewhere(outgoing, Some(&service), is_trial);
                    copy = Some(RelayedCopy {
                        asked_at: now,
                        reason,
                        relayed: relayed.boxed(),
                    });
                }
                continue;
            }
            if copy.is_none() && !std::mem::replace(&mut is_started, true) {
                hedged.start();
                continue;
            }
            let until = due.map_or(outgoing.deadline, |(at, _)| at.min(outgoing.deadline));
            let relayed = tokio::select! {
                () = hedged.advance(until) => continue,
                () = severed => continue,
                () = &mut last_response_due => return None,
                relayed = next_response(&mut copy) => relayed,
            };
            is_done = true;
            let asked_at = copy.take().map_or(now, |copy| copy.asked_at);
            match relayed {
                Relayed::Answered(response)
                    if response.headers().contains_key(&gateway.dialect.digest) =>
                {
                    gateway.record_reply_elsewhere(&service, asked_at);
                    return Some(response);
                }
                // A leaf may have got it, so it isn't sent to one from here as if it were new.
                Relayed::Answered(response) if !is_started => return Some(response),
                Relayed::MayHaveRun | Relayed::TimedOut if !is_started => return None,
                _ => {}
            }
        }
        None
    }

    /// Returns when and why the request should be handed to another host besides.
    fn handover_due(
        &self,
        hedged: &HedgedRequest,
        outgoing: &OutgoingRequest,
        now: Instant,
    ) -> Option<(Instant, Handover)> {
        let facts = WaitingFacts {
            repeats: self.route.repeats,
            is_relayed: self.is_relayed,
            has_used_pool: outgoing.has_used_pool(),
        };
        if !relaying::may_hand_over(&facts) {
            return None;
        }
        let service = hedged.services.first()?;
        let reach = &self.gateway.service_reach;
        reach.handover(service.name(), service.leaves().len(), now)
    }
}

/// Waits for the response of the other host, if one is asked.
async fn next_response(copy: &mut Option<RelayedCopy<'_>>) -> Relayed {
    match copy {
        Some(copy) => copy.relayed.as_mut().await,
        None => pending().await,
    }
}

//! Hands requests of callers to other hosts while this one reaches no leaf, and handles those of
//! other hosts.

use {
    super::{
        Gateway,
        attempt::{OutgoingRequest, RequestProgress},
        authorization::{self, Refusal},
        helpers::HelperHandle,
        metrics::RelayOutcome,
        response::FullResponse,
        serve::RoutedRequest,
    },
    crate::{
        clock::millis,
        collections::Name,
        policy::{
            rejection::Reason,
            relaying::{self, HostReply, RESPONSE_RESERVE},
        },
        state::organisations::Caller,
        transport::fleet::{
            PeerRejection, RelayService, RelayedCall, RelayedRequest, RelayedResponse,
        },
    },
    futures_util::future::BoxFuture,
    http_body_util::{BodyExt, Full},
    hyper::{Response, header},
    slog::info,
    std::{sync::Arc, time::Instant},
    tokio::time::{timeout, timeout_at},
};

/// What became of a request that was to be handed to another host.
pub enum Relayed {
    /// A host has sent the response.
    Answered(FullResponse),
    /// No host has accepted it; no leaf has got it.
    NotRun,
    /// No host that was asked reaches a leaf of its service; none has got it.
    Unreached,
    /// A host that may have sent it to a leaf was lost.
    MayHaveRun,
    /// No response came before the deadline.
    TimedOut,
}

/// Why a host did not accept a request, or did not answer it.
struct Failed {
    outcome: RelayOutcome,
    reply: HostReply,
    reason: String,
}

impl RoutedRequest<'_> {
    /// Hands the request to another host and returns its response. `service` is the one that this
    /// host doesn't reach; `None` if it reaches none. With `is_trial`, only a host that is sure to
    /// reach it takes the request.
    pub(super) async fn relay_elsewhere(
        &self,
        outgoing: &OutgoingRequest,
        service: Option<&Name>,
        is_trial: bool,
    ) -> Relayed {
        let reach = &self.gateway.service_reach;
        let record_asked = |host: &HelperHandle, is_reached| {
            if let Some(service) = service {
                reach.record_asked(service, &host.id, is_reached, Instant::now());
            }
        };
        let mut replies: Vec<HostReply> = Vec::new();
        let is_unproven = outgoing.caller == Caller::Unproven;
        let mut hosts = self.view.helpers.choose_relays(Instant::now());
        hosts.retain(|host| !is_unproven || host.has_proof(Instant::now()));
        let first = service.and_then(|service| reach.host_for(service, Instant::now()));
        hosts.sort_by_key(|host| Some(&host.id) != first.as_ref());
        for host in hosts {
            if !relaying::asks_another(&replies, self.route.repeats) {
                break;
            }
            let call = match self.ask_host(&host, outgoing, is_trial).await {
                Ok(call) => call,
                Err(failed) => {
                    // Declining a trial tells nothing of other requests.
                    if !(is_trial && failed.outcome == RelayOutcome::Rejected) {
                        host.record_failure(Instant::now());
                    }
                    record_asked(&host, false);
                    self.log_relay(&host, outgoing, failed.outcome, &failed.reason);
                    replies.push(failed.reply);
                    continue;
                }
            };
            host.record_acceptance();
            return match timeout_at(outgoing.deadline.into(), call.response()).await {
                Ok(Ok(response)) if response.is_unreached => {
                    self.log_relay(&host, outgoing, RelayOutcome::Unreached, "");
                    record_asked(&host, false);
                    replies.push(HostReply::Unreached);
                    continue;
                }
                Ok(Ok(response)) => {
                    let is_replied = response.headers.contains_key(&self.gateway.dialect.digest);
                    let outcome = if is_replied || !is_trial {
                        RelayOutcome::Answered
                    } else {
                        RelayOutcome::Unreached
                    };
                    self.log_relay(&host, outgoing, outcome, "");
                    if is_replied {
                        self.gateway.record_reply(outgoing);
                        record_asked(&host, true);
                    }
                    Relayed::Answered(build_response(response))
                }
                Ok(Err(reason)) => {
                    self.log_relay(&host, outgoing, RelayOutcome::Failed, &reason);
                    Relayed::MayHaveRun
                }
                Err(_) => Relayed::TimedOut,
            };
        }
        if replies.contains(&HostReply::Silent) {
            Relayed::MayHaveRun
        } else if relaying::is_down(&replies) {
            Relayed::Unreached
        } else {
            Relayed::NotRun
        }
    }

    /// Asks `host` to handle the request; returns once it has accepted.
    async fn ask_host(
        &self,
        host: &HelperHandle,
        outgoing: &OutgoingRequest,
        is_trial: bool,
    ) -> Result<RelayedCall, Failed> {
        let now = Instant::now();
        let left = outgoing.deadline.saturating_duration_since(now);
        let request = RelayedRequest {
            id: outgoing.id.clone(),
            version: self.version,
            method: outgoing.method.clone(),
            uri: outgoing.uri.clone(),
            headers: outgoing.headers.clone(),
            body: outgoing.body.clone(),
            age: now.saturating_duration_since(self.started) + RESPONSE_RESERVE,
            deadline: left.saturating_sub(RESPONSE_RESERVE),
            is_checked: outgoing.caller.is_checked(),
            is_trial,
        };
        let channel = &host.channel;
        let call = async {
            match outgoing.caller {
                Caller::Unproven => channel.send_with_key(request).await,
                Caller::Unchecked | Caller::Checked(_) => channel.send_request(request).await,
            }
        };
        let limit = relaying::accept_timeout(self.route.objective, self.route.repeats);
        let Ok(accepted) = timeout(limit.unwrap_or(left).min(left), call).await else {
            return Err(Failed {
                outcome: RelayOutcome::Late,
                reply: HostReply::Silent,
                reason: "not accepted in time".to_owned(),
            });
        };
        accepted.map_err(|rejection| match rejection {
            PeerRejection::Unreachable(reason) => Failed {
                outcome: RelayOutcome::Failed,
                reply: HostReply::Declined,
                reason,
            },
            PeerRejection::Refused(reason) => Failed {
                outcome: RelayOutcome::Rejected,
                reply: HostReply::Declined,
                reason,
            },
            PeerRejection::Broken(reason) => Failed {
                outcome: RelayOutcome::Failed,
                reply: HostReply::Silent,
                reason,
            },
        })
    }

    fn log_relay(
        &self,
        host: &HelperHandle,
        outgoing: &OutgoingRequest,
        outcome: RelayOutcome,
        reason: &str,
    ) {
        self.gateway.metrics.record_relay(outcome);
        info!(self.gateway.log, "relay: request handed to another host"; "request" => &*outgoing.id,
            "route" => &*self.route.name, "host" => &*host.id, "outcome" => outcome.name(),
            "reason" => reason, "took_ms" => millis(self.started.elapsed()));
    }
}

fn build_response(relayed: RelayedResponse) -> FullResponse {
    let mut response = Response::new(Full::new(relayed.body));
    *response.status_mut() = relayed.status;
    *response.headers_mut() = relayed.headers;
    response
}

/// Handles requests for hosts that reach no leaf.
pub struct RelayServer(pub Arc<Gateway>);

impl RelayService for RelayServer {
    fn handle(
        &self,
        request: RelayedRequest,
    ) -> Result<BoxFuture<'static, RelayedResponse>, &'static str> {
        handle_relayed(Arc::clone(&self.0), request)
    }
}

/// Handles a request that another host has handed to this one: because it reaches no leaf, or
/// because it can't check the caller.
///
/// # Errors
///
/// Returns the reason for a rejection; no leaf has got the request then.
pub(super) fn handle_relayed(
    gateway: Arc<Gateway>,
    mut request: RelayedRequest,
) -> Result<BoxFuture<'static, RelayedResponse>, &'static str> {
    let copy_age = gateway.copy_age();
    let view = gateway.view();
    let host = request.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let routes = view.routes.as_deref();
    let known = routes.map_or(0, |routes| routes.version);
    let route = routes.and_then(|routes| Some((routes, routes.route(host, request.uri.path())?)));
    let admitted = match route {
        _ if gateway.is_stopping() => Err("stopping"),
        _ if gateway.leaf_reach.is_cut_off() => Err("cut off from the leaves"),
        _ if known < request.version => Err("older routes"),
        None => Err("no route"),
        Some((_, route)) if request.is_trial && gateway.has_silent_service(&view, route) => {
            Err("may not reach the service")
        }
        Some((routes, route)) => {
            match authorization::admit_relayed(&gateway, routes, route, copy_age, &mut request) {
                Err(refusal @ Refusal::Unproven) => Err(refusal.name()),
                // The caller gets this response.
                checked => {
                    Ok(checked.map(|caller| (authorization::route_for(&caller, route), caller)))
                }
            }
        }
    };
    info!(gateway.log, "relay: received"; "request" => &*request.id,
        "version" => request.version, "known_version" => known,
        "age_ms" => millis(request.age), "refused" => admitted.as_ref().err());
    let (route, caller) = match admitted? {
        Ok(admitted) => admitted,
        Err(refusal) => return Ok(Box::pin(to_relayed(refusal.response()))),
    };
    let now = Instant::now();
    let started = now.checked_sub(request.age).unwrap_or(now);
    // A stop waits until the token is dropped, with the response.
    let token = gateway.subqueries.token();
    Ok(Box::pin(async move {
        let mut outgoing = OutgoingRequest {
            id: request.id,
            method: request.method,
            uri: request.uri,
            headers: request.headers,
            body: request.body,
            deadline: now + request.deadline,
            caller: Caller::Unchecked,
            progress: RequestProgress::default(),
        };
        authorization::mark_caller(&gateway, &caller, &mut outgoing);
        let handled = RoutedRequest {
            gateway: &gateway,
            view,
            route,
            version: known,
            started,
            is_relayed: true,
            caller: caller.organisation().cloned(),
        };
        let response = handled.respond(outgoing).await;
        drop(token);
        to_relayed(response).await
    }))
}

async fn to_relayed(response: FullResponse) -> RelayedResponse {
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await;
    let reason = head.extensions.get::<Reason>();
    RelayedResponse {
        is_unreached: reason == Some(&Reason::Unreachable),
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    }
}

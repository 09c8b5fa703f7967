//! Checks the caller of a request by its key, before the body is read.
//!
//! The key ends here: leaves get the name of the caller's organisation instead, which this host
//! sets whatever the caller sent. Only a request that this host can't judge keeps its key, and only
//! for the host that judges it.

use {
    super::{
        Gateway,
        attempt::OutgoingRequest,
        helpers::HelperPool,
        response::{self, FullResponse},
    },
    crate::{
        clock::millis,
        policy::{
            authorization::{self, CallerFacts, CallerKey, Malformed, Verdict},
            rejection::{self, Reason},
        },
        state::{
            organisations::{Caller, Organisation, Organisations},
            routes::{Route, RouteTable},
        },
        transport::fleet::{RelayedRequest, Subquery},
    },
    hyper::{
        HeaderMap, StatusCode,
        header::{AUTHORIZATION, HeaderValue, WWW_AUTHENTICATE},
    },
    slog::info,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// A request whose caller is to be checked.
pub(super) struct CheckedRequest<'a> {
    pub(super) id: &'a str,
    pub(super) routes: &'a RouteTable,
    pub(super) route: &'a Route,
    /// From before the view that has `routes` was loaded.
    pub(super) copy_age: Option<Duration>,
    /// Other hosts, of which one may check the caller instead.
    pub(super) helpers: Option<&'a HelperPool>,
}

impl CheckedRequest<'_> {
    /// Returns whether another host can check the caller.
    fn can_hand_over(&self) -> bool {
        let now = Instant::now();
        self.helpers.is_some_and(|helpers| helpers.has_proof(now))
    }
}

/// Why a request does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// It has no key of any organisation.
    Unauthorized,
    /// This host can't tell, and knows no host that can.
    Unproven,
    /// No host can tell what its key allows.
    Unreadable,
}

impl Refusal {
    /// Returns the name that other hosts get.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Unauthorized => "no key of an organisation",
            Self::Unproven => "no proof that its copy of the registry is current",
            Self::Unreadable => "the organisation of the key can't be read",
        }
    }

    /// Returns the response to the caller.
    pub(super) fn response(self) -> FullResponse {
        match self {
            Self::Unauthorized => {
                let message = "no organisation has this key";
                let mut response = response::plain_text(StatusCode::UNAUTHORIZED, message);
                let scheme = HeaderValue::from_static("Bearer");
                response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
                response
            }
            Self::Unproven => reject(Reason::Unproven),
            Self::Unreadable => reject(Reason::Unreadable),
        }
    }
}

fn reject(reason: Reason) -> FullResponse {
    response::reject(rejection::retry_after(reason, None), reason.name())
}

/// Checks the caller of a request by its `headers`, and removes what no leaf may get from them.
///
/// # Errors
///
/// Returns the refusal if the request does not go on.
pub(super) fn check_caller(
    gateway: &Gateway,
    request: &CheckedRequest,
    headers: &mut HeaderMap,
) -> Result<Caller, Refusal> {
    let organisations = &request.routes.organisations;
    if !organisations.need_keys() {
        return Ok(Caller::Unchecked);
    }
    let key = find_key(organisations, headers);
    let outcome = outcome_name(&key);
    let verdict = authorization::judge(CallerFacts {
        has_organisations: true,
        is_public: request.route.is_public,
        key,
        copy_age: request.copy_age,
        revocation_time: gateway.revocation_time(),
        apply_timeout: gateway.settings.apply_timeout,
        can_hand_over: request.can_hand_over(),
    });
    headers.remove(&gateway.dialect.organisation);
    let (outcome, checked) = match verdict {
        Verdict::Unchecked => (outcome, Ok(Caller::Unchecked)),
        Verdict::Allowed(organisation) => {
            headers.remove(AUTHORIZATION);
            (outcome, Ok(Caller::Checked(organisation)))
        }
        Verdict::Unauthorized => (outcome, Err(Refusal::Unauthorized)),
        Verdict::HandOver => ("unproven", Ok(Caller::Unproven)),
        Verdict::Declined => ("unproven", Err(Refusal::Unproven)),
        Verdict::Unreadable => (outcome, Err(Refusal::Unreadable)),
    };
    gateway.metrics.organisations.record_authorization(outcome);
    if checked.is_err() {
        info!(gateway.log, "authorization: refused"; "request" => request.id,
            "route" => &*request.route.name, "version" => request.routes.version,
            "cause" => outcome, "copy_ms" => request.copy_age.map(millis));
    }
    checked
}

/// Sets what leaves and other hosts get of the caller.
pub(super) fn mark_caller(gateway: &Gateway, caller: &Caller, outgoing: &mut OutgoingRequest) {
    outgoing.caller = caller.clone();
    if let Some(organisation) = caller.organisation()
        && let Ok(name) = HeaderValue::from_bytes(organisation.name.as_bytes())
    {
        let header = gateway.dialect.organisation.clone();
        outgoing.headers.insert(header, name);
    }
}

/// Returns the route as it applies to `caller`: the priority of its organisation goes before that
/// of the route.
pub(super) fn route_for(caller: &Caller, route: &Arc<Route>) -> Arc<Route> {
    let priority = caller
        .organisation()
        .and_then(|organisation| organisation.priority);
    match priority {
        Some(priority) if priority != route.priority => Arc::new(Route {
            priority,
            ..(**route).clone()
        }),
        _ => Arc::clone(route),
    }
}

/// Admits a subquery of another host and returns its caller. A host that doesn't know of
/// organisations sends the key along, which is checked here.
pub(super) fn admit_subquery(
    gateway: &Gateway,
    routes: &RouteTable,
    copy_age: Option<Duration>,
    subquery: &mut Subquery,
) -> Result<Caller, &'static str> {
    let organisations = &routes.organisations;
    if !organisations.need_keys() {
        return Ok(Caller::Unchecked);
    }
    if subquery.is_checked {
        return Ok(read_caller(gateway, organisations, &mut subquery.headers));
    }
    let mut known = routes.routes();
    let route = known.find(|route| route.name == subquery.route);
    let asked = CheckedRequest {
        id: &subquery.id,
        routes,
        route: route.ok_or("no route")?,
        copy_age,
        helpers: None,
    };
    let checked = check_caller(gateway, &asked, &mut subquery.headers);
    checked.map_err(Refusal::name)
}

/// Admits a request that another host hands over and returns its caller. The key of one that is not
/// checked yet is checked here.
pub(super) fn admit_relayed(
    gateway: &Gateway,
    routes: &RouteTable,
    route: &Route,
    copy_age: Option<Duration>,
    request: &mut RelayedRequest,
) -> Result<Caller, Refusal> {
    let organisations = &routes.organisations;
    if !organisations.need_keys() {
        return Ok(Caller::Unchecked);
    }
    if request.is_checked {
        return Ok(read_caller(gateway, organisations, &mut request.headers));
    }
    let asked = CheckedRequest {
        id: &request.id,
        routes,
        route,
        copy_age,
        helpers: None,
    };
    check_caller(gateway, &asked, &mut request.headers)
}

/// Returns the caller that another host has checked.
fn read_caller(
    gateway: &Gateway,
    organisations: &Organisations,
    headers: &mut HeaderMap,
) -> Caller {
    headers.remove(AUTHORIZATION);
    let name = headers.get(&gateway.dialect.organisation);
    let name = name.and_then(|name| str::from_utf8(name.as_bytes()).ok());
    Caller::Checked(name.map(|name| {
        let known = organisations.get(name).cloned();
        // This host's routes may be older or newer than those of the other one.
        known.unwrap_or_else(|| {
            Arc::new(Organisation {
                name: name.into(),
                priority: None,
                quota: None,
            })
        })
    }))
}

fn find_key(organisations: &Organisations, headers: &HeaderMap) -> CallerKey {
    let values = headers.get_all(AUTHORIZATION).iter();
    match authorization::read_key(values.map(HeaderValue::as_bytes)) {
        Ok(Some(key)) if organisations.is_refused(key) => CallerKey::Unreadable,
        Ok(Some(key)) => organisations
            .find(key)
            .map_or(CallerKey::Unknown, |organisation| {
                CallerKey::Known(Arc::clone(organisation))
            }),
        Ok(None) => CallerKey::Missing,
        Err(Malformed) => CallerKey::Malformed,
    }
}

/// Returns the name of a key in logs and metrics.
fn outcome_name(key: &CallerKey) -> &'static str {
    match key {
        CallerKey::Missing => "missing",
        CallerKey::Malformed => "malformed",
        CallerKey::Unknown => "unknown",
        CallerKey::Unreadable => "unreadable",
        CallerKey::Known(_) => "known",
    }
}

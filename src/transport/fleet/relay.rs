//! Requests of callers that another entry host handles, since the one that received them can't
//! reach leaves.

use {
    super::subquery::{decode_headers, encode_headers, saturating_micros},
    crate::{
        collections::Name,
        protocol::generated::{RelayReply, RelayRequest},
    },
    bytes::Bytes,
    futures_util::future::BoxFuture,
    hyper::{HeaderMap, Method, StatusCode, Uri},
    std::time::Duration,
    tonic::Status,
};

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct RelayedRequest {
    /// Id of the caller's attempt.
    pub id: Name,
    /// Version of the routes of the host that received it.
    pub version: u64,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that are sent to leaves.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Time since it arrived.
    pub age: Duration,
    /// Deadline: the time from now after which no response is of use.
    pub deadline: Duration,
    /// Whether a host has checked the caller: the headers name its organisation and have no key.
    pub is_checked: bool,
    /// Whether the calling host looks for one that reaches the request's service.
    pub is_trial: bool,
}

/// The response to the caller.
#[derive(Clone, Debug)]
pub struct RelayedResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Whether the host reached no leaf of the request's service, so that none has got it.
    pub is_unreached: bool,
}

/// Handles requests of callers for other hosts.
pub trait RelayService: Send + Sync + 'static {
    /// Accepts a request and returns its response to come.
    ///
    /// # Errors
    ///
    /// Returns the reason for a rejection; no leaf has got the request then.
    fn handle(
        &self,
        request: RelayedRequest,
    ) -> Result<BoxFuture<'static, RelayedResponse>, &'static str>;
}

impl From<RelayedRequest> for RelayRequest {
    fn from(request: RelayedRequest) -> Self {
        Self {
            id: request.id.to_string(),
            version: request.version,
            method: request.method.to_string(),
            uri: request.uri.to_string(),
            headers: encode_headers(&request.headers),
            body: request.body,
            age_us: saturating_micros(request.age),
            limit_us: saturating_micros(request.deadline),
            is_checked: request.is_checked,
            is_trial: request.is_trial,
        }
    }
}

impl TryFrom<RelayRequest> for RelayedRequest {
    type Error = Status;

    fn try_from(request: RelayRequest) -> Result<Self, Status> {
        let invalid = |field: &str| Status::failed_precondition(format!("{field} can't be read"));
        let method = request.method.parse().map_err(|_| invalid("the method"));
        let uri = request.uri.parse().map_err(|_| invalid("the path"));
        Ok(Self {
            id: request.id.into(),
            version: request.version,
            method: method?,
            uri: uri?,
            headers: decode_headers(request.headers).ok_or_else(|| invalid("a header"))?,
            body: request.body,
            age: Duration::from_micros(request.age_us),
            deadline: Duration::from_micros(request.limit_us),
            is_checked: request.is_checked,
            is_trial: request.is_trial,
        })
    }
}

impl From<RelayedResponse> for RelayReply {
    fn from(response: RelayedResponse) -> Self {
        Self {
            status: response.status.as_u16().into(),
            headers: encode_headers(&response.headers),
            body: response.body,
            is_unreached: response.is_unreached,
        }
    }
}

impl TryFrom<RelayReply> for RelayedResponse {
    type Error = String;

    fn try_from(reply: RelayReply) -> Result<Self, String> {
        let status = u16::try_from(reply.status).ok();
        let status = status.and_then(|status| StatusCode::from_u16(status).ok());
        let headers = decode_headers(reply.headers);
        let (Some(status), Some(headers)) = (status, headers) else {
            return Err("a reply can't be read".to_owned());
        };
        Ok(Self {
            status,
            headers,
            body: reply.body,
            is_unreached: reply.is_unreached,
        })
    }
}

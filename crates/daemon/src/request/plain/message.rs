//! A plain call without what belongs to one hop only.

use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_text::Service;
use fireflyhoist_wire::caller::{
    FORWARDED_HEADER, REQUEST_HEADER, TICKET_HEADER, WORKSPACE_HEADER,
};
use ntex::client::ClientRequest;
use ntex::http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use ntex::http::{HeaderMap, Method};
use ntex::util::{Bytes, BytesMut};
use ntex::web::{HttpRequest, types};

use crate::request::plain::{MAX_BODY, MAX_KEPT};

/// Headers of one hop (RFC 9110, section 7.6.1), beside those that `Connection` names.
const HOP: [HeaderName; 6] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];

/// The same, for names that the library has no constant for.
const HOP_NAMES: [&str; 4] =
    ["keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization"];

/// What of a call goes to a target.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub(crate) request: id::Request,
    pub(crate) workspace: id::Workspace,
    pub(crate) method: Method,
    /// The path and query at the target.
    pub(crate) path: String,
    /// The path and query at another entry.
    pub(crate) entry_path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) authorization: Option<HeaderValue>,
}

/// The body of a call.
#[derive(Debug)]
pub(crate) enum Upload {
    /// Small enough to keep, and read whole.
    Kept(Bytes),
    /// To be read as it arrives.
    Arriving(types::Payload),
}

/// Why a body cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    TooLarge,
    Broken,
}

impl Message {
    pub(crate) fn open(
        http: &HttpRequest,
        workspace: id::Workspace,
        service: &id::Service,
        path: &str,
    ) -> Self {
        let query = http.query_string();
        let mark = if query.is_empty() { "" } else { "?" };
        Self {
            request: id::Request::new(rand::random()),
            workspace,
            method: http.method().clone(),
            path: format!("/{path}{mark}{query}"),
            entry_path: format!("/s/{service}/{path}{mark}{query}"),
            headers: end_to_end(http.headers()),
            authorization: http.headers().get(AUTHORIZATION).cloned(),
        }
    }

    /// The ticket that the caller sent.
    pub(crate) fn ticket(&self) -> Option<&str> {
        self.headers.get(TICKET_HEADER)?.to_str().ok()
    }

    /// Whether another entry passed the call on.
    pub(crate) fn forwarded(&self) -> bool {
        self.headers.contains_key(FORWARDED_HEADER)
    }

    /// Gives a request for a target its headers. The workspace's key stays here.
    pub(crate) fn dress(&self, mut request: ClientRequest) -> ClientRequest {
        for (name, value) in &self.headers {
            if name.as_str() != FORWARDED_HEADER {
                request.headers_mut().append(name.clone(), value.clone());
            }
        }
        request
            .set_header(REQUEST_HEADER, self.request.to_string())
            .set_header(WORKSPACE_HEADER, self.workspace.as_str())
    }
}

/// How long a caller may be kept waiting for the reply's first byte.
pub(crate) fn patience(service: &Service) -> Duration {
    Duration::from_millis(service.patience_ms)
}

/// Headers without those of one hop, the length, which the client writes itself, and the
/// workspace's key.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let hop = HOP.contains(name) || HOP_NAMES.contains(&name.as_str());
        let own = [HOST, CONTENT_LENGTH, AUTHORIZATION].contains(name);
        if !hop && !own && !named.iter().any(|other| other == name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

impl Upload {
    /// Reads the body of a call, if it is announced to be small or absent.
    pub(crate) async fn open(
        http: &HttpRequest,
        payload: types::Payload,
    ) -> Result<Self, BodyError> {
        let length = http.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let arriving = match length {
            Some(length) if length > MAX_BODY => return Err(BodyError::TooLarge),
            Some(length) => length > MAX_KEPT as u64,
            None => http.headers().contains_key(TRANSFER_ENCODING),
        };
        match arriving {
            true => Ok(Self::Arriving(payload)),
            false => Self::Arriving(payload).read().await.map(Self::Kept),
        }
    }

    /// The whole body, where it may be kept.
    pub(crate) async fn read(self) -> Result<Bytes, BodyError> {
        let mut payload = match self {
            Self::Kept(body) => return Ok(body),
            Self::Arriving(payload) => payload,
        };
        let mut body = BytesMut::new();
        while let Some(bytes) = payload.recv().await {
            let bytes = bytes.map_err(|_| BodyError::Broken)?;
            if body.len() + bytes.len() > MAX_KEPT {
                return Err(BodyError::TooLarge);
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body.freeze())
    }
}

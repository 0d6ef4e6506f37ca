//! A plain call without its hop-by-hop headers, and its body.

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
use ntex::http::{HeaderMap, Method, Version};
use ntex::util::{Bytes, BytesMut};
use ntex::web::{HttpRequest, types};

use crate::request::plain::{MAX_BODY_BYTES, MAX_BUFFERED_BYTES};

/// Hop-by-hop headers (RFC 9110, section 7.6.1), besides those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 6] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];

/// Hop-by-hop headers that the library has no constant for.
const HOP_BY_HOP_NAMES: [&str; 4] =
    ["keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization"];

/// The parts of a call that are sent to a target.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub(crate) request: id::Request,
    pub(crate) workspace: id::Workspace,
    pub(crate) method: Method,
    /// The version of HTTP that the caller speaks.
    pub(crate) version: Version,
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
    /// Small enough to buffer, and read completely.
    Buffered(Bytes),
    /// Streamed as it arrives.
    Streaming(types::Payload),
}

/// Why a body is rejected.
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
            version: http.version(),
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

    /// Whether another entry forwarded the call.
    pub(crate) fn forwarded(&self) -> bool {
        self.headers.contains_key(FORWARDED_HEADER)
    }

    /// Adds the headers to a request for a target, without the workspace's key.
    pub(crate) fn add_headers(&self, mut request: ClientRequest) -> ClientRequest {
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

/// Returns the timeout for the reply's first byte.
pub(crate) fn patience(service: &Service) -> Duration {
    Duration::from_millis(service.patience_ms)
}

/// Returns the headers without hop-by-hop headers, `Host`, the length, which the client writes
/// itself, and the workspace's key.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let hop = HOP_BY_HOP.contains(name) || HOP_BY_HOP_NAMES.contains(&name.as_str());
        let own = [HOST, CONTENT_LENGTH, AUTHORIZATION].contains(name);
        if !hop && !own && !named.iter().any(|other| other == name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

impl Upload {
    /// Reads the body of a call if its declared length is small or it has none.
    pub(crate) async fn open(
        http: &HttpRequest,
        payload: types::Payload,
    ) -> Result<Self, BodyError> {
        let length = http.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let streaming = match length {
            Some(length) if length > MAX_BODY_BYTES => return Err(BodyError::TooLarge),
            Some(length) => length > MAX_BUFFERED_BYTES as u64,
            None => http.headers().contains_key(TRANSFER_ENCODING),
        };
        match streaming {
            true => Ok(Self::Streaming(payload)),
            false => Self::Streaming(payload).read().await.map(Self::Buffered),
        }
    }

    /// Reads the whole body; fails if it is too large to buffer.
    pub(crate) async fn read(self) -> Result<Bytes, BodyError> {
        let mut payload = match self {
            Self::Buffered(body) => return Ok(body),
            Self::Streaming(payload) => payload,
        };
        let mut body = BytesMut::new();
        while let Some(bytes) = payload.recv().await {
            let bytes = bytes.map_err(|_| BodyError::Broken)?;
            if body.len() + bytes.len() > MAX_BUFFERED_BYTES {
                return Err(BodyError::TooLarge);
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body.freeze())
    }
}

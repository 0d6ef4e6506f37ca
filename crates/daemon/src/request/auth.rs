//! Authenticates requests and determines their workspace.

use std::fmt::Write;

use derive_more::{Display, Error};
use fireflyhoist_policy::id;
use fireflyhoist_text::Text;
use fireflyhoist_wire::caller::WORKSPACE_HEADER;
use ntex::http::header::AUTHORIZATION;
use ntex::web::HttpRequest;
use sha2::{Digest, Sha256};

/// The workspace of requests that do not name one.
const DEFAULT_WORKSPACE: &str = "default";

const SCHEME: &str = "Bearer ";

/// Why a request could not be authenticated.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum AuthError {
    /// The name of the workspace is not valid.
    #[display("{_0}")]
    Name(id::NameError),
    /// No workspace has this key.
    #[display("no workspace has this key; send `Authorization: Bearer KEY` with your workspace's")]
    Key,
    /// The workspace has a key and the request carries none.
    #[display("workspace {workspace} needs its key; send it as `Authorization: Bearer KEY`")]
    Missing {
        /// The workspace named.
        workspace: id::Workspace,
    },
    /// The key belongs to another workspace than the one named.
    #[display("the key is not that of {workspace}; leave out the workspace or use its own key")]
    Foreign {
        /// The workspace named.
        workspace: id::Workspace,
    },
}

/// Returns the workspace of a request: the owner of its key, or without a key, the named one.
pub(crate) fn workspace(text: &Text, http: &HttpRequest) -> Result<id::Workspace, AuthError> {
    let named = named(http)?;
    let Some(key) = bearer(http) else {
        let workspace = named.unwrap_or_else(default);
        let keyed = text.workspaces.iter().any(|w| w.name == workspace && w.key_sha256.is_some());
        return match keyed {
            true => Err(AuthError::Missing { workspace }),
            false => Ok(workspace),
        };
    };
    // Comparing digests instead of keys avoids a timing side channel on the key.
    let digest = digest(key);
    let owner = text.workspaces.iter().find(|w| w.key_sha256.as_deref() == Some(&digest));
    let owner = owner.ok_or(AuthError::Key)?.name.clone();
    match named {
        Some(workspace) if workspace != owner => Err(AuthError::Foreign { workspace }),
        _ => Ok(owner),
    }
}

fn named(http: &HttpRequest) -> Result<Option<id::Workspace>, AuthError> {
    let value = http.headers().get(WORKSPACE_HEADER).map(|v| v.to_str().unwrap_or("?"));
    value.map(|name| name.parse().map_err(AuthError::Name)).transpose()
}

fn bearer(http: &HttpRequest) -> Option<&str> {
    http.headers().get(AUTHORIZATION)?.to_str().ok()?.strip_prefix(SCHEME).map(str::trim)
}

fn default() -> id::Workspace {
    DEFAULT_WORKSPACE.parse().unwrap_or_else(|_| unreachable!("the default name is a name"))
}

fn digest(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().fold(String::with_capacity(64), |mut out, byte| {
        let _ = write!(out, "{byte:02x}");
        out
    })
}

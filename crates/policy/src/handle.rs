//! Resume handles: signed tokens with which any entry can resume an answer after its entry has
//! failed.
//!
//! The state of a stream travels with its caller instead of being shared between entries. The
//! handle names the engine and the generation, and a message authentication code shows that an
//! entry of this fleet issued it.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use smol_str::SmolStr;

use crate::id;
use crate::mac::Key;

/// How long a handle is valid, in seconds: the longest generation plus a margin.
pub const LIFETIME_S: u64 = 3_600;

const PURPOSE: &str = "resume";
const SEPARATOR: char = '~';
const FIELD_COUNT: usize = 7;

/// The contents of a handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handle {
    /// The generation to resume.
    pub generation: id::Generation,
    /// The engine that runs it.
    pub target: id::Target,
    /// The address of that engine.
    pub address: SocketAddr,
    /// The service that the request was sent to.
    pub service: id::Service,
    /// The workspace that the request belongs to.
    pub workspace: id::Workspace,
    /// When the handle expires, in seconds since the Unix epoch.
    pub expires_s: u64,
}

/// Why a handle is refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum HandleError {
    /// It was not issued by an entry of this fleet, or was modified.
    #[display("the resume handle is not one of this fleet; pass it on exactly as received")]
    Forged,
    /// It has expired.
    #[display("the resume handle has expired; send the request anew without it")]
    Expired,
    /// It belongs to another service or workspace.
    #[display("the resume handle is of another service or workspace; use that of this request")]
    Foreign,
}

impl Handle {
    /// Encodes and signs the handle as text for a header.
    pub fn write(&self, key: &Key) -> SmolStr {
        let fields = self.fields();
        let code = key.sign(PURPOSE, &fields.each_ref().map(SmolStr::as_str));
        let mut out = String::with_capacity(200);
        for field in &fields {
            out.push_str(field);
            out.push(SEPARATOR);
        }
        out.push_str(&code);
        SmolStr::new(out)
    }

    /// Decodes and verifies a handle for a request of `workspace` to `service`. `now_s` is the
    /// current time in seconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// [`HandleError`] where the handle was not issued by this fleet, has expired or is of another
    /// service or workspace.
    pub fn read(
        key: &Key,
        now_s: u64,
        workspace: &id::Workspace,
        service: &id::Service,
        text: &str,
    ) -> Result<Self, HandleError> {
        let fields: Vec<&str> = text.split(SEPARATOR).collect();
        let Some((code, fields)) = fields.split_last().filter(|_| fields.len() == FIELD_COUNT)
        else {
            return Err(HandleError::Forged);
        };
        // Prevents a caller from reading another caller's stream by naming its generation: the code
        // covers every field, and only entries have the key.
        if !key.verify(PURPOSE, fields, code) {
            return Err(HandleError::Forged);
        }
        let handle = Self::parse(fields).ok_or(HandleError::Forged)?;
        if handle.workspace != *workspace || handle.service != *service {
            return Err(HandleError::Foreign);
        }
        if handle.expires_s <= now_s {
            return Err(HandleError::Expired);
        }
        Ok(handle)
    }

    fn fields(&self) -> [SmolStr; FIELD_COUNT - 1] {
        [
            smol_str::format_smolstr!("{}", self.generation),
            self.target.as_str().into(),
            smol_str::format_smolstr!("{}", self.address),
            self.service.as_str().into(),
            self.workspace.as_str().into(),
            smol_str::format_smolstr!("{}", self.expires_s),
        ]
    }

    fn parse(fields: &[&str]) -> Option<Self> {
        let [generation, target, address, service, workspace, expires_s] = fields else {
            return None;
        };
        Some(Self {
            generation: generation.parse().ok()?,
            target: target.parse().ok()?,
            address: address.parse().ok()?,
            service: service.parse().ok()?,
            workspace: workspace.parse().ok()?,
            expires_s: expires_s.parse().ok()?,
        })
    }
}

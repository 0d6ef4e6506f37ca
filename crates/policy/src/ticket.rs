//! Tickets: idempotency keys with which a call that must not be repeated runs at most once, without
//! shared state.
//!
//! Only the process that issued a ticket runs its call, and only that process records that it did.
//! A partition cannot cause a second run, since the issuer is on one side of it.

use std::time::Duration;

use derive_more::{Display, Error};
use smol_str::SmolStr;

use crate::id;
use crate::mac::Key;
use crate::time::Time;

/// How long a ticket is valid: long enough to retry while an entry drains, short enough that the
/// issuer has few tickets to keep.
pub const LIFETIME: Duration = Duration::from_secs(600);

const PURPOSE: &str = "ticket";
const SEPARATOR: char = '~';

/// The contents of a ticket. The service and the workspace are covered by its code but not written
/// in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The host that issued it.
    pub issuer: id::Host,
    /// The run of that host's process; a later run has no record of used tickets and must not
    /// accept it.
    pub instance: id::Instance,
    /// The ticket's number within that run.
    pub sequence: u64,
    /// When it expires, by the issuer's own clock, which never goes back.
    pub expires: Time,
}

/// Why a ticket is refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum TicketError {
    /// It was not issued by an entry of this fleet for this service and workspace.
    #[display(
        "the ticket is not one of this fleet for this service and workspace; \
         get one with POST /v1/tickets and pass it on exactly as received"
    )]
    Forged,
}

impl Ticket {
    /// Encodes and signs the ticket as text for the `Idempotency-Key` header.
    pub fn write(&self, key: &Key, workspace: &id::Workspace, service: &id::Service) -> SmolStr {
        let fields = [
            self.issuer.as_str().into(),
            smol_str::format_smolstr!("{}", self.instance),
            smol_str::format_smolstr!("{}", self.sequence),
            smol_str::format_smolstr!("{}", self.expires.as_micros()),
        ];
        let [issuer, instance, sequence, expires] = fields.each_ref().map(SmolStr::as_str);
        let parts = [issuer, instance, sequence, expires, workspace.as_str(), service.as_str()];
        let code = key.sign(PURPOSE, &parts);
        smol_str::format_smolstr!("{issuer}~{instance}~{sequence}~{expires}~{code}")
    }

    /// Decodes and verifies a ticket for a call of `workspace` to `service`.
    ///
    /// # Errors
    ///
    /// [`TicketError::Forged`] where the ticket is malformed or its code does not verify.
    pub fn read(
        key: &Key,
        workspace: &id::Workspace,
        service: &id::Service,
        text: &str,
    ) -> Result<Self, TicketError> {
        let fields: Vec<&str> = text.split(SEPARATOR).collect();
        let [issuer, instance, sequence, expires, code] = fields[..] else {
            return Err(TicketError::Forged);
        };
        let parts = [issuer, instance, sequence, expires, workspace.as_str(), service.as_str()];
        // Prevents made-up sequence numbers that the issuer has evicted or never issued, whose
        // calls would run again. Only entries have the key.
        if !key.verify(PURPOSE, &parts, code) {
            return Err(TicketError::Forged);
        }
        let parsed = || {
            Some(Self {
                issuer: issuer.parse().ok()?,
                instance: instance.parse().ok()?,
                sequence: sequence.parse().ok()?,
                expires: Time::from_micros(expires.parse().ok()?),
            })
        };
        parsed().ok_or(TicketError::Forged)
    }
}

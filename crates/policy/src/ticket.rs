//! Tickets: what lets a call that may not be repeated run at most once without shared state.
//!
//! Only the process that issued a ticket runs its call, and it alone remembers that it did. A
//! partition cannot double a run, since the issuer stands on one side of it. See
//! `docs/DESIGN.md`, section "At most once without shared state".

use std::time::Duration;

use derive_more::{Display, Error};
use smol_str::SmolStr;

use crate::id;
use crate::mac::Key;
use crate::time::Time;

/// How long a ticket may be used; long enough to retry through an entry's drain, short enough that
/// what the issuer must remember stays small.
pub const LIFETIME: Duration = Duration::from_secs(600);

const PURPOSE: &str = "ticket";
const SEPARATOR: char = '~';

/// What a ticket says; service and workspace are covered by its code but not written in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The host that issued it.
    pub issuer: id::Host,
    /// The run of that host's daemon; a later run remembers nothing and must not honour it.
    pub instance: id::Instance,
    /// Counts the tickets of that run.
    pub sequence: u64,
    /// Until when it may be used, by the issuer's own clock, which never goes back.
    pub expires: Time,
}

/// Why a ticket is refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum TicketError {
    /// No entry of this fleet wrote it for this service and workspace.
    #[display(
        "the ticket is not one of this fleet for this service and workspace; \
         get one with POST /v1/tickets and pass it on exactly as received"
    )]
    Forged,
}

impl Ticket {
    /// The ticket as text for the `Idempotency-Key` header.
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

    /// Reads a ticket for a call of `workspace` to `service`.
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
        // Guards against a made-up number that the issuer has forgotten or never gave out: such a
        // call would run again. Only entries know the key.
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

//! Frames that entries exchange over their links.
//!
//! Names of variants and fields are part of the wire format.

use derive_more::{Display, Error};
use fireflyhoist_policy::cold;
use fireflyhoist_policy::cordon;
use fireflyhoist_policy::entry_load::{Exclusions, Pressure};
use fireflyhoist_policy::feature::Feature;
use fireflyhoist_policy::fleet_share::Shares;
use fireflyhoist_policy::fragility;
use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::{Change, Target};
use fireflyhoist_policy::load::Load;
use fireflyhoist_policy::migration_queue::Migration;
use fireflyhoist_policy::observation::Outcome;
use fireflyhoist_policy::origin;
use fireflyhoist_policy::poison;
use fireflyhoist_policy::position::Position;
use fireflyhoist_policy::presence::Update;
use fireflyhoist_policy::reservation::Demand;
use fireflyhoist_policy::resubmission::Fingerprint;
use fireflyhoist_policy::suspicion;
use fireflyhoist_policy::target_limit;
use fireflyhoist_policy::topology::Member;
use fireflyhoist_text::transfer::Message;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::connection::deflate;

/// The largest frame that is accepted, in bytes; the list of ten thousand targets fits.
pub(crate) const MAX_FRAME_BYTES: usize = 2 << 20;

/// The frames that this release reads. An entry of an earlier one closes the link on a frame that it
/// does not know.
pub(crate) const PROTOCOL: u32 = 2;

/// The protocol from which on entries read origins of streams and suspicions.
pub(crate) const ORIGINS_PROTOCOL: u32 = 1;

/// The protocol from which on entries read [`Permit::Prefill`].
pub(crate) const RESERVATIONS_PROTOCOL: u32 = 2;

/// The first byte of an uncompressed frame.
const PLAIN: u8 = 0;

/// The first byte of a compressed frame.
const DEFLATED: u8 = 1;

/// The size from which compressing a frame is worth its processor time.
const MIN_DEFLATE_BYTES: usize = 512;

/// The outcome of a request at a target, as entries announce it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct TargetOutcome {
    /// The target's service.
    pub(crate) service: id::Service,
    /// The target.
    pub(crate) target: id::Target,
    /// How the request ended.
    pub(crate) outcome: Outcome,
}

/// The state of an entry, which it sends several times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Whether the entry takes new callers.
    pub(crate) ready: bool,
    /// The revision of the configuration text in force at the entry; 0 before the first.
    pub(crate) text: u64,
    /// The registry position of its list of targets; `None` before its first list.
    pub(crate) targets: Option<Position>,
    /// The cordoned failure domains; `None` before their first reading, and if they are unchanged
    /// since they were last sent to the receiver.
    #[serde(default)]
    pub(crate) cordons: Option<cordon::Update>,
    /// Whether its latest call to the registry succeeded.
    #[serde(rename = "registry")]
    pub(crate) registry_up: bool,
    /// Whether it reaches no target, so that callers should use other entries.
    #[serde(default)]
    pub(crate) isolated: bool,
    /// Which frames the entry reads; see [`PROTOCOL`].
    #[serde(default)]
    pub(crate) protocol: u32,
    /// What it carries, as a part of what it can carry; `None` from an earlier release, and where
    /// the entry does not measure it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) pressure: Option<Pressure>,
    /// The entries that its directory leaves out of answers; only to leaves, which receive the
    /// pressure of two entries at most.
    #[serde(default, skip_serializing_if = "Exclusions::is_empty")]
    pub(crate) left_out: Exclusions,
    /// Whether it currently receives changes of targets from the registry.
    pub(crate) watching: bool,
    /// Whether it relies on the receiver to send it each change of targets.
    pub(crate) follows: bool,
    /// Outcomes since its previous heartbeat, of requests to targets that fail some requests.
    #[serde(rename = "endings")]
    pub(crate) outcomes: Vec<TargetOutcome>,
    /// The load on each target that the entry knows of, without what it learned from the receiver.
    #[serde(rename = "held")]
    pub(crate) loads: Vec<Load>,
    /// What workspaces use of each service through the sender and the entries that it announces,
    /// without what it learned from the receiver. `None` if the sender does not announce it, or not
    /// in each heartbeat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) shares: Option<Vec<(id::Service, Shares)>>,
}

/// Permission to send a request, which one entry grants for all.
///
/// Each variant holds what the requesting entry knows of its subject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Permit {
    /// To run a trial of a request that is suspected of crashing targets.
    Trial(poison::Record),
    /// To send a request to a target that advertises a limit.
    #[serde(rename = "Send")]
    LimitedSend(target_limit::Update),
    /// To send a request to a cold target.
    #[serde(rename = "Cold")]
    ColdSend(cold::Update),
    /// To send a request to a fragile target.
    Slot(SlotRequest),
    /// To run a trial of a request with features that are suspected of crashing engines.
    Features(Vec<Feature>),
    /// To send a prompt to an engine.
    Prefill(PrefillRequest),
    /// To send a stream on, at the version that the reply names. Each entry decides by what it knows.
    Resumption(origin::Key),
}

impl Permit {
    /// Returns the key that determines the entry that grants this permit.
    pub(crate) fn key(&self) -> String {
        match self {
            Self::Trial(record) => record.fingerprint.to_string(),
            Self::LimitedSend(update) => update.target.to_string(),
            Self::ColdSend(update) => update.target.to_string(),
            Self::Slot(request) => request.target.to_string(),
            Self::Prefill(request) => request.target.to_string(),
            Self::Features(features) => {
                features.iter().min().map(ToString::to_string).unwrap_or_default()
            }
            Self::Resumption(key) => key.to_string(),
        }
    }
}

/// Requests a place at a fragile target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct SlotRequest {
    /// The target.
    pub(crate) target: id::Target,
    /// The requests that it runs at one time; 0 for engines.
    pub(crate) slots: u32,
    /// What its service is known to tolerate.
    pub(crate) update: fragility::Update,
}

/// Requests a reservation of prefill at an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PrefillRequest {
    /// The engine.
    pub(crate) target: id::Target,
    /// The entry that is to send the prompt; others may relay its request.
    pub(crate) entry: id::Host,
    /// What the prompt needs there.
    pub(crate) demand: Demand,
}

/// One message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// Who the sender is; the first frame in each direction.
    Hello(Member),
    /// Changes in the presence of the sender and of the entries that it has links to.
    #[serde(rename = "Alive")]
    Presence(Update),
    /// Requests the complete presence list.
    #[serde(rename = "WantAlive")]
    PresenceRequest,
    /// The state of the sender; also shows that the link works.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Part of the transfer of a configuration text and its sections.
    Text(Message),
    /// Requests the complete list of targets.
    #[serde(rename = "WantTargets")]
    TargetsRequest,
    /// The complete list of targets.
    Targets {
        /// The registry position of the list.
        revision: Position,
        /// All targets.
        targets: Vec<Target>,
    },
    /// Changes of targets.
    Changes {
        /// The registry position of the sender before the changes.
        since: Position,
        /// Its registry position after them.
        revision: Position,
        /// The changes.
        changes: Vec<Change>,
    },
    /// The sender refused a request, which may be sent again to another entry.
    Refused {
        /// The request.
        #[serde(rename = "print")]
        fingerprint: Fingerprint,
        /// Milliseconds since it was first received.
        age_ms: u64,
    },
    /// New records of requests that were running on targets when these crashed.
    Poison(Vec<poison::Record>),
    /// Features of requests that engines crashed on, and what clears them.
    Suspicions(Vec<suspicion::Update>),
    /// The versions of software that began streams.
    Origins(Vec<origin::Update>),
    /// New or changed limits that targets advertise.
    Limits(Vec<target_limit::Update>),
    /// A target asked for rest over a connection that the receiver relays. It rests from the receiver,
    /// whose requests it does not tell from those of the sender.
    Rest {
        /// The target.
        target: Target,
        /// Milliseconds for which it rests.
        wait_ms: u64,
    },
    /// A request was sent without a permit to a target that advertises a limit.
    #[serde(rename = "Spent")]
    LimitedSend(target_limit::Update),
    /// A request was sent without a permit to a cold target.
    #[serde(rename = "SpentCold")]
    ColdSend(cold::Update),
    /// The targets of a service are fragile.
    Fragile(fragility::Update),
    /// A request to a fragile target has ended, or was accepted by an engine.
    SlotRelease {
        /// The target.
        target: id::Target,
        /// The requests that it runs at one time; 0 for engines.
        slots: u32,
        /// How the request ended.
        ending: fragility::Ending,
    },
    /// Requests a permit.
    #[serde(rename = "Ask")]
    PermitRequest {
        /// The number that the sender gave the request.
        #[serde(rename = "ask")]
        id: u64,
        /// The permit.
        #[serde(rename = "question")]
        permit: Permit,
    },
    /// The reply to a request for a permit.
    #[serde(rename = "Answer")]
    PermitReply {
        /// The number that the receiver gave the request.
        #[serde(rename = "ask")]
        id: u64,
        /// Milliseconds until the permit may be requested again; `None` if it is granted.
        wait_ms: Option<u64>,
        /// The origin of the stream that the permit is for.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        origin: Option<origin::Origin>,
    },
    /// Adds an answer to the migration queue of an engine, which the receiver owns.
    #[serde(rename = "TurnAsk")]
    MigrationRequest {
        /// The engine.
        engine: id::Target,
        /// The migration of the answer.
        #[serde(rename = "ask")]
        migration: Migration,
    },
    /// The answer may be migrated now.
    #[serde(rename = "Turn")]
    MigrationGrant {
        /// The engine.
        engine: id::Target,
        /// The request that the answer belongs to.
        request: SmolStr,
    },
    /// A migration is over, or is not wanted any more.
    #[serde(rename = "TurnDone")]
    MigrationDone {
        /// The engine.
        engine: id::Target,
        /// The request that the answer belongs to.
        request: SmolStr,
    },
}

/// The bytes received are not a valid frame.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("invalid frame ({reason}); run the same release on every entry")]
pub(crate) struct FrameError {
    reason: String,
}

impl FrameError {
    fn new(reason: impl std::fmt::Display) -> Self {
        Self { reason: reason.to_string() }
    }
}

impl Frame {
    /// Returns the kind of frame for metrics and log lines.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Presence(_) | Self::PresenceRequest => "alive",
            Self::Heartbeat(_) => "beat",
            Self::Text(_) => "text",
            Self::TargetsRequest | Self::Targets { .. } => "targets",
            Self::Changes { .. } => "changes",
            Self::Refused { .. } => "refused",
            Self::Poison(_) | Self::Suspicions(_) => "poison",
            Self::Origins(_) => "origins",
            Self::Limits(_)
            | Self::LimitedSend(_)
            | Self::ColdSend(_)
            | Self::Rest { .. }
            | Self::Fragile(_)
            | Self::SlotRelease { .. } => "limits",
            Self::PermitRequest { .. } | Self::PermitReply { .. } => "question",
            Self::MigrationRequest { .. }
            | Self::MigrationGrant { .. }
            | Self::MigrationDone { .. } => "turn",
        }
    }

    /// Encodes the frame: one byte for its encoding, followed by CBOR that may be compressed.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![PLAIN];
        ciborium::into_writer(self, &mut bytes).expect("writing to memory cannot fail");
        if bytes.len() < MIN_DEFLATE_BYTES || !self.is_repetitive() {
            return bytes;
        }
        let mut deflated = vec![DEFLATED];
        deflated.extend(deflate::compress(&bytes[1..]).expect("writing to memory cannot fail"));
        deflated
    }

    /// Decodes a frame.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let read = |bytes: &[u8]| ciborium::from_reader(bytes).map_err(FrameError::new);
        match bytes.split_first() {
            Some((&PLAIN, rest)) => read(rest),
            Some((&DEFLATED, rest)) => {
                read(&deflate::decompress(rest, MAX_FRAME_BYTES).map_err(FrameError::new)?)
            }
            _ => Err(FrameError::new("unknown encoding")),
        }
    }

    /// Returns whether the frame is of a kind that makes up most of the traffic of a large fleet
    /// and repeats the same field names, so that it compresses well.
    fn is_repetitive(&self) -> bool {
        matches!(
            self,
            Self::Presence(_) | Self::Heartbeat(_) | Self::Changes { .. } | Self::Targets { .. }
        )
    }
}

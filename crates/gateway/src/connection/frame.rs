//! What entries tell each other over their links.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use fireflyhoist_policy::cold;
use fireflyhoist_policy::cordon;
use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::{Change, Target};
use fireflyhoist_policy::migration_queue::Migration;
use fireflyhoist_policy::observation::Outcome;
use fireflyhoist_policy::poison;
use fireflyhoist_policy::position::Position;
use fireflyhoist_policy::presence::Update;
use fireflyhoist_policy::resubmission::Fingerprint;
use fireflyhoist_policy::target_limit;
use fireflyhoist_policy::topology::Member;
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_text::transfer::Message;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::connection::deflate;

/// The largest frame that is read: ten thousand targets fit.
pub(crate) const MAX_FRAME_BYTES: usize = 2 << 20;

/// The first byte of a frame that goes as it is.
const PLAIN: u8 = 0;

/// The first byte of a frame that goes deflated.
const DEFLATED: u8 = 1;

/// Bytes from which deflating a frame is worth its processor time.
const MIN_DEFLATE_BYTES: usize = 512;

/// What an entry holds at one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Load {
    /// The target.
    pub(crate) target: id::Target,
    /// Tokens of running answers there.
    pub(crate) tokens: Tokens,
    /// Running answers there.
    pub(crate) streams: u32,
    /// Prompt tokens that wait to be read there.
    pub(crate) unread: Tokens,
    /// Tokens of copies kept there for answers that run elsewhere.
    pub(crate) copies: Tokens,
}

/// How a request ended at a target, as far as others need to know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct TargetOutcome {
    /// The target's service.
    pub(crate) service: id::Service,
    /// The target.
    pub(crate) target: id::Target,
    /// How it ended.
    pub(crate) outcome: Outcome,
}

/// What an entry says several times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Whether it takes new callers.
    pub(crate) ready: bool,
    /// The revision of the text in force there; 0 before the first.
    pub(crate) text: u64,
    /// Where its view of targets stands in the registry's history; `None` before its first list.
    pub(crate) targets: Option<Position>,
    /// Which failure domains are cordoned; `None` before its first reading, and where nothing has
    /// changed since the receiver was told.
    #[serde(default)]
    pub(crate) cordons: Option<cordon::Update>,
    /// Whether its latest call of the registry succeeded.
    #[serde(rename = "registry")]
    pub(crate) registry_up: bool,
    /// Whether it hears of targets from the registry just now.
    pub(crate) watching: bool,
    /// Whether the receiver is the one that tells it of each change of targets.
    pub(crate) follows: bool,
    /// How requests ended at targets that fail some, since its heartbeat before.
    #[serde(rename = "endings")]
    pub(crate) outcomes: Vec<TargetOutcome>,
    /// What it answers for: all that it knows to be held, but for what the receiver told it.
    #[serde(rename = "held")]
    pub(crate) loads: Vec<Load>,
}

/// What one entry decides for all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Permit {
    /// May a request that is held back be tried? With what the sender knows of it.
    Trial(poison::Record),
    /// May a request be sent to a target that names a limit? With what the sender knows of it.
    #[serde(rename = "Send")]
    LimitedSend(target_limit::Update),
    /// May a request be sent to a target that is cold? With what the sender knows of it.
    #[serde(rename = "Cold")]
    ColdSend(cold::Update),
}

impl Permit {
    /// What decides which entry answers.
    pub(crate) fn key(&self) -> String {
        match self {
            Self::Trial(record) => record.fingerprint.to_string(),
            Self::LimitedSend(update) => update.target.to_string(),
            Self::ColdSend(update) => update.target.to_string(),
        }
    }
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// The first frame of each end.
    Hello(Member),
    /// What changed of the sender and the entries that it has a link to.
    #[serde(rename = "Alive")]
    Presence(Update),
    /// Please send the whole list of who is alive.
    #[serde(rename = "WantAlive")]
    PresenceRequest,
    /// The sender's state; it shows too that the link works.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// About texts and their sections.
    Text(Message),
    /// Please send all targets.
    #[serde(rename = "WantTargets")]
    TargetsRequest,
    /// All targets as of a position.
    Targets {
        /// Where the list stands.
        revision: Position,
        /// All that are listed.
        targets: Vec<Target>,
    },
    /// What has changed of the targets.
    Changes {
        /// Where the sender stood before.
        since: Position,
        /// Where it stands now.
        revision: Position,
        /// What changed in between.
        changes: Vec<Change>,
    },
    /// The sender has refused a request.
    Refused {
        /// Which.
        #[serde(rename = "print")]
        fingerprint: Fingerprint,
        /// For how many milliseconds it has been wanted.
        age_ms: u64,
    },
    /// Requests under which targets ended, as far as that is news.
    Poison(Vec<poison::Record>),
    /// Limits that targets named, as far as that is news.
    Limits(Vec<target_limit::Update>),
    /// A request was sent to a target that names a limit without asking for leave.
    #[serde(rename = "Spent")]
    LimitedSend(target_limit::Update),
    /// A request was sent to a target that is cold without asking for leave.
    #[serde(rename = "SpentCold")]
    ColdSend(cold::Update),
    /// Something that the receiver decides for all entries.
    #[serde(rename = "Ask")]
    PermitRequest {
        /// The sender's number for the question.
        #[serde(rename = "ask")]
        id: u64,
        /// What is asked.
        #[serde(rename = "question")]
        permit: Permit,
    },
    /// The answer to a question.
    #[serde(rename = "Answer")]
    PermitReply {
        /// The receiver's number for the question.
        #[serde(rename = "ask")]
        id: u64,
        /// After how many milliseconds to ask again; `None` where it is granted.
        wait_ms: Option<u64>,
    },
    /// An answer waits to be copied from an engine whose queue the receiver keeps.
    #[serde(rename = "TurnAsk")]
    MigrationRequest {
        /// The engine.
        engine: id::Target,
        /// The answer.
        #[serde(rename = "ask")]
        migration: Migration,
    },
    /// It is the turn of an answer of the receiver.
    #[serde(rename = "Turn")]
    MigrationGrant {
        /// The engine.
        engine: id::Target,
        /// The answer's request.
        request: SmolStr,
    },
    /// A turn is over, or not wanted any more.
    #[serde(rename = "TurnDone")]
    MigrationDone {
        /// The engine.
        engine: id::Target,
        /// The answer's request.
        request: SmolStr,
    },
}

impl Load {
    /// Nothing held.
    pub(crate) fn none(target: &id::Target) -> Self {
        let zero = Tokens::default();
        Self { target: target.clone(), tokens: zero, streams: 0, unread: zero, copies: zero }
    }

    /// Adds what another entry holds at the same target.
    pub(crate) fn add(&mut self, other: &Self) {
        self.tokens += other.tokens;
        self.streams += other.streams;
        self.unread += other.unread;
        self.copies += other.copies;
    }
}

/// Adds up what several entries hold, target by target.
pub(crate) fn sum<'a>(held: impl Iterator<Item = &'a Load>) -> Vec<Load> {
    let mut sums: BTreeMap<id::Target, Load> = BTreeMap::new();
    for one in held {
        sums.entry(one.target.clone()).or_insert_with(|| Load::none(&one.target)).add(one);
    }
    sums.into_values().collect()
}

/// Bytes that are no frame.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("not a frame ({reason}); run the same release on every entry")]
pub(crate) struct FrameError {
    reason: String,
}

impl FrameError {
    fn new(reason: impl std::fmt::Display) -> Self {
        Self { reason: reason.to_string() }
    }
}

impl Frame {
    /// Its kind as metrics and log lines call it.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Presence(_) | Self::PresenceRequest => "alive",
            Self::Heartbeat(_) => "beat",
            Self::Text(_) => "text",
            Self::TargetsRequest | Self::Targets { .. } => "targets",
            Self::Changes { .. } => "changes",
            Self::Refused { .. } => "refused",
            Self::Poison(_) => "poison",
            Self::Limits(_) | Self::LimitedSend(_) | Self::ColdSend(_) => "limits",
            Self::PermitRequest { .. } | Self::PermitReply { .. } => "question",
            Self::MigrationRequest { .. }
            | Self::MigrationGrant { .. }
            | Self::MigrationDone { .. } => "turn",
        }
    }

    /// The frame as it goes over a link: a byte that says how, and then what it holds.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![PLAIN];
        ciborium::into_writer(self, &mut bytes).expect("a frame goes into memory");
        if bytes.len() < MIN_DEFLATE_BYTES || !self.is_repetitive() {
            return bytes;
        }
        let mut deflated = vec![DEFLATED];
        deflated.extend(deflate::compress(&bytes[1..]).expect("bytes go into memory"));
        deflated
    }

    /// Reads a frame.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let read = |bytes: &[u8]| ciborium::from_reader(bytes).map_err(FrameError::new);
        match bytes.split_first() {
            Some((&PLAIN, rest)) => read(rest),
            Some((&DEFLATED, rest)) => {
                read(&deflate::decompress(rest, MAX_FRAME_BYTES).map_err(FrameError::new)?)
            }
            _ => Err(FrameError::new("an unknown form")),
        }
    }

    /// Whether it is one of those that make up most bytes of a large fleet, several times a second,
    /// and that name the same fields over and over.
    fn is_repetitive(&self) -> bool {
        matches!(
            self,
            Self::Presence(_) | Self::Heartbeat(_) | Self::Changes { .. } | Self::Targets { .. }
        )
    }
}

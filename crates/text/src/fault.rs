//! Why a text or settings file is refused, each reason with its line and its remedy.

use std::fmt;

use derive_more::{Display, Error};
use smol_str::SmolStr;

/// What is wrong at one place. Each message quotes the offending value and names the remedy.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Problem {
    /// Nothing is written.
    #[display("the file is empty; write at least its required fields")]
    Empty,
    /// The file is over the platform's bound for one value.
    #[display("the file has {bytes} bytes; shorten it to at most {limit}, as the platform holds")]
    Large {
        /// Bytes found.
        bytes: usize,
        /// Bytes permitted.
        limit: usize,
    },
    /// The bytes are no text.
    #[display("byte 0x{byte:02x} is not UTF-8; save the file as UTF-8")]
    Encoding {
        /// The first byte that does not decode.
        byte: u8,
    },
    /// The TOML does not parse.
    #[display("`{value}` is not TOML here: {reason}; correct the syntax")]
    Syntax {
        /// The source at the fault.
        value: SmolStr,
        /// The parser's words.
        reason: SmolStr,
    },
    /// Tables or arrays stand too deep in one another.
    #[display("`{value}` is nested deeper than 80 levels; no field needs more than 3")]
    Deep {
        /// The source at the fault.
        value: SmolStr,
    },
    /// A field that does not exist.
    #[display("field `{name}` is unknown; remove it or use {permitted}")]
    UnknownField {
        /// The field found.
        name: SmolStr,
        /// The fields that exist there.
        permitted: SmolStr,
    },
    /// A required field is absent.
    #[display("field `{name}` is missing in `{place}`; add it")]
    MissingField {
        /// The field wanted.
        name: SmolStr,
        /// The table that lacks it.
        place: SmolStr,
    },
    /// A value is of the wrong type.
    #[display("`{value}` does not fit; write {wanted}")]
    Value {
        /// The source at the fault.
        value: SmolStr,
        /// What fits.
        wanted: SmolStr,
    },
    /// A value is none of the choices.
    #[display("`{value}` is no choice here; write {permitted}")]
    Choice {
        /// The source at the fault.
        value: SmolStr,
        /// The choices.
        permitted: SmolStr,
    },
    /// A name holds what names cannot.
    #[display("`{value}`: {reason}")]
    Name {
        /// The source at the fault.
        value: SmolStr,
        /// The name's fault and remedy.
        reason: SmolStr,
    },
    /// An address is not an IP number and a port.
    #[display(
        "`{value}` is no IP number with a port; names are not resolved, write one such as \
         \"10.0.0.7:8000\""
    )]
    Address {
        /// The source at the fault.
        value: SmolStr,
    },
    /// An address that nothing can be reached at.
    #[display("`{value}` cannot be connected to; write the target's own IP number and port")]
    Unreachable {
        /// The address.
        value: SmolStr,
    },
    /// Two items of one kind share what must be unique.
    #[display("{what} `{value}` stands twice, first on line {first}; change or remove one")]
    Duplicate {
        /// What must be unique.
        what: &'static str,
        /// The value.
        value: SmolStr,
        /// The line of its first appearance.
        first: usize,
    },
    /// A name that nothing in the text declares.
    #[display("`{value}` is no {what} of this text; declare it or correct the name")]
    Undeclared {
        /// What kind of thing is meant.
        what: &'static str,
        /// The name found.
        value: SmolStr,
    },
    /// Services that depend on one another in a circle.
    #[display("dependencies go in a circle: {path}; remove one of them from `depends_on`")]
    Cycle {
        /// The circle, names joined by arrows.
        path: SmolStr,
    },
    /// A number outside its bounds.
    #[display("{what} `{value}` is out of range; set it {range}")]
    Range {
        /// The field.
        what: &'static str,
        /// The number.
        value: SmolStr,
        /// The bounds.
        range: &'static str,
    },
    /// A key digest is not the SHA-256 of a key.
    #[display("key_sha256 `{value}` is not 64 hexadecimal digits; write `sha256sum` of the key")]
    KeyDigest {
        /// The digest found.
        value: SmolStr,
    },
    /// A field that has no meaning for the kind of service.
    #[display("`{field}` means nothing for a {kind} service; remove it or correct `kind`")]
    Misplaced {
        /// The field.
        field: &'static str,
        /// The service's kind.
        kind: SmolStr,
    },
    /// A service without targets.
    #[display("service `{service}` has no targets; list [[service.target]] or set `targets_from`")]
    NoTargets {
        /// The service.
        service: SmolStr,
    },
    /// A service with targets from two sources.
    #[display("service `{service}` lists targets and sets `targets_from`; keep one of the two")]
    TwoSources {
        /// The service.
        service: SmolStr,
    },
    /// One address is given for two purposes.
    #[display("`{value}` is the address of `{field}` too; give each a port of its own")]
    Shared {
        /// The other field.
        field: &'static str,
        /// The address.
        value: SmolStr,
    },
    /// A text value that must not be empty.
    #[display("{what} is empty; write one")]
    Blank {
        /// The field.
        what: &'static str,
    },
}

/// One fault and where it stands.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("line {line}: {problem}")]
pub struct Fault {
    line: usize,
    problem: Problem,
}

impl Fault {
    /// A fault on a line, counted from one.
    pub fn new(line: usize, problem: Problem) -> Self {
        Self { line, problem }
    }

    /// The line, counted from one.
    pub fn line(&self) -> usize {
        self.line
    }

    /// What is wrong.
    pub fn problem(&self) -> &Problem {
        &self.problem
    }
}

/// All faults found in one file, in the order of its lines.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Faults(#[error(not(source))] Vec<Fault>);

/// More faults than these help nobody, and a log line must stay bounded.
const MAX_FAULTS: usize = 50;

impl Faults {
    /// Orders faults by line and keeps the first fifty.
    pub fn new(mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(Fault::line);
        faults.truncate(MAX_FAULTS);
        Self(faults)
    }

    /// The faults.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.0.iter()
    }
}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Self {
        Self(vec![fault])
    }
}

impl fmt::Display for Faults {
    /// One line, so that a log event can carry it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let mark = if index == 0 { "" } else { " | " };
            write!(f, "{mark}{fault}")?;
        }
        Ok(())
    }
}

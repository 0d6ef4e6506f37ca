//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::{Bpaf, Parser, ShellComp, long};
use derive_more::{Display, Error};
use fireflyhoist_policy::id;

/// How a report is written.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    #[display("table")]
    Table,
    /// For programs.
    #[display("json")]
    Json,
}

/// A text that names no format.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no such format; write `table` or `json`")]
pub struct FormatError;

impl FromStr for Format {
    type Err = FormatError;

    fn from_str(text: &str) -> Result<Self, FormatError> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(FormatError),
        }
    }
}

/// The flag that chooses a format, the same for every command that has one.
fn format() -> impl Parser<Format> {
    long("format")
        .help("`table` or `json`")
        .argument("FORMAT")
        .complete(formats)
        .fallback(Format::Table)
        .display_fallback()
}

/// Where the fleet is found.
#[derive(Clone, Debug, Bpaf)]
pub struct Fleet {
    /// An entry host by IP number and port; give several where some may be gone
    #[bpaf(
        long("entry"),
        short('e'),
        env("FIREFLYHOIST_ENTRY"),
        argument("IP:PORT"),
        some("name at least one entry host with --entry IP:PORT")
    )]
    pub entries: Vec<SocketAddr>,
}

/// What to ask, and as whom.
#[derive(Clone, Debug, Bpaf)]
pub struct Question {
    /// The workspace to ask as, where it has no key
    #[bpaf(long, short, argument("NAME"), optional)]
    pub workspace: Option<id::Workspace>,
    /// A file that holds the workspace's key; FIREFLYHOIST_KEY in the environment does as well
    #[bpaf(long, argument("FILE"), complete_shell(ShellComp::File { mask: None }), optional)]
    pub key_file: Option<PathBuf>,
    /// The most tokens wanted
    #[bpaf(long, argument("N"), optional)]
    pub max_tokens: Option<u64>,
    /// Print the answer only when it is complete; it may then restart after a failure
    #[bpaf(long)]
    pub whole: bool,
    /// Give up after so many seconds without progress
    #[bpaf(long, argument("SECONDS"), fallback(60), display_fallback)]
    pub patience: u64,
    /// The service
    #[bpaf(positional("SERVICE"))]
    pub service: id::Service,
    /// The prompt; read from standard input where absent
    #[bpaf(positional("PROMPT"), optional)]
    pub prompt: Option<String>,
}

/// Check, publish and watch the text of a fireflyhoist fleet
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(command), footer(EXIT_CODES))]
pub enum Command {
    /// Check a text and say everything that is wrong with it
    #[bpaf(command)]
    Check {
        /// The text, in TOML
        #[bpaf(positional("FILE"), complete_shell(toml_file()))]
        file: PathBuf,
    },
    /// Say what the fleet would do on going from one text to another
    #[bpaf(command)]
    Diff {
        /// The text in force
        #[bpaf(positional("OLD"), complete_shell(toml_file()))]
        old: PathBuf,
        /// The text proposed
        #[bpaf(positional("NEW"), complete_shell(toml_file()))]
        new: PathBuf,
    },
    /// Check a text against the fleet, then follow its publication until it is in force everywhere
    #[bpaf(command, header(PUBLISHES_NOTHING))]
    Submit {
        /// The fleet:
        #[bpaf(external(fleet))]
        fleet: Fleet,
        /// Give up after so many seconds
        #[bpaf(long, argument("SECONDS"), fallback(60), display_fallback)]
        timeout: u64,
        /// The text, in TOML
        #[bpaf(positional("FILE"), complete_shell(toml_file()))]
        file: PathBuf,
    },
    /// Show members, their versions, and targets that are not in use
    #[bpaf(command)]
    Status {
        /// The fleet:
        #[bpaf(external(fleet))]
        fleet: Fleet,
        /// How to print:
        #[bpaf(external(format))]
        format: Format,
    },
    /// Show which addresses callers of a workspace should use
    #[bpaf(command)]
    Entries {
        /// The fleet:
        #[bpaf(external(fleet))]
        fleet: Fleet,
        /// The workspace
        #[bpaf(long, short, argument("NAME"), fallback("default".parse().expect("a name")))]
        workspace: id::Workspace,
        /// How to print:
        #[bpaf(external(format))]
        format: Format,
    },
    /// Show how fast each service spends what its objective lets go wrong
    #[bpaf(command)]
    Burn {
        /// The fleet:
        #[bpaf(external(fleet))]
        fleet: Fleet,
        /// How to print:
        #[bpaf(external(format))]
        format: Format,
    },
    /// Tell what became of one request, from the logs of entries
    #[bpaf(command)]
    Explain {
        /// How to print:
        #[bpaf(external(format))]
        format: Format,
        /// The request's id
        #[bpaf(positional("ID"))]
        request: String,
        /// Logs of entries, all that may have served it
        #[bpaf(
            positional("FILE"),
            complete_shell(ShellComp::File { mask: None }),
            some("name the logs of entries")
        )]
        files: Vec<PathBuf>,
    },
    /// Send nothing new to a failure domain, send to it again, or list those that get nothing new
    #[bpaf(command)]
    Cordon {
        /// The registry that the entries read
        #[bpaf(long, env("FIREFLYHOIST_REGISTRY"), argument("IP:PORT"))]
        registry: SocketAddr,
        /// Send to it again
        #[bpaf(long)]
        lift: bool,
        /// The failure domain; all that are cordoned are listed where it is absent
        #[bpaf(positional("DOMAIN"), optional)]
        domain: Option<id::Domain>,
    },
    /// Send a prompt to a model service and print the answer as it arrives
    #[bpaf(command)]
    Ask {
        /// The fleet:
        #[bpaf(external(fleet))]
        fleet: Fleet,
        /// The question:
        #[bpaf(external(question))]
        question: Question,
    },
}

const EXIT_CODES: &str =
    "Exit codes: 0 all well, 1 a finding, 2 a wrong command line or a file that cannot be read.";

const PUBLISHES_NOTHING: &str =
    "The tool publishes nothing itself: run your own pipeline before it or beside it.";

fn toml_file() -> ShellComp {
    ShellComp::File { mask: Some("*.toml") }
}

fn formats(_: &Format) -> Vec<(&'static str, Option<&'static str>)> {
    vec![("table", Some("for people")), ("json", Some("for programs"))]
}

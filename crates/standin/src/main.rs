//! `standin`: one stand-in as a process of its own.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_standin::batch::Shape;
use fireflyhoist_standin::engine::{Engine, Pace};
use fireflyhoist_standin::plain::Plain;
use fireflyhoist_standin::platform::Platform;
use fireflyhoist_standin::registry::Registry;

/// Small stand-ins for what fireflyhoist meets.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Role {
    /// A model engine.
    #[bpaf(command)]
    Engine {
        /// Where to listen; port 0 lets the system choose.
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// Milliseconds to the first token.
        #[bpaf(argument("MS"), fallback(5))]
        first_ms: u64,
        /// Microseconds between tokens.
        #[bpaf(argument("US"), fallback(2000))]
        between_us: u64,
        /// Tokens of memory that load reports name.
        #[bpaf(argument("TOKENS"), fallback(100_000))]
        memory: u64,
    },
    /// A model engine that batches continuously in a memory of limited size.
    #[bpaf(command)]
    Batching {
        /// Where to listen; port 0 lets the system choose.
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// Tokens that its memory holds.
        #[bpaf(argument("TOKENS"), fallback(64_000))]
        memory: u64,
        /// Microseconds of a step without work.
        #[bpaf(argument("US"), fallback(14_000))]
        step_us: u64,
    },
    /// A plain service that echoes.
    #[bpaf(command)]
    Plain {
        /// Where to listen; port 0 lets the system choose.
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
    },
    /// A registry of texts, targets and cordons, which entries of the gateway read.
    #[bpaf(command)]
    Registry {
        /// Where to listen; port 0 lets the system choose.
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
    },
    /// The platform.
    #[bpaf(command)]
    Platform {
        /// Where to listen; port 0 lets the system choose.
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
    },
}

#[ntex::main]
async fn main() -> ExitCode {
    match run(role().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}; choose another --listen address");
            ExitCode::FAILURE
        }
    }
}

async fn run(role: Role) -> io::Result<()> {
    let address = match role {
        Role::Engine { listen, first_ms, between_us, memory } => {
            let first = Duration::from_millis(first_ms);
            let between = Duration::from_micros(between_us);
            let memory = Tokens::new(memory);
            Engine::bind(listen, Pace { first, between, memory })?.0.address()
        }
        Role::Batching { listen, memory, step_us } => {
            let shape = Shape { memory, base: step_us as f64, ..Shape::default() };
            Engine::bind_batching(listen, shape)?.0.address()
        }
        Role::Plain { listen } => Plain::bind(listen)?.0.address(),
        Role::Registry { listen } => Registry::bind(listen).await?.address(),
        Role::Platform { listen } => Platform::bind(listen)?.0.address(),
    };
    let mut out = io::stdout();
    writeln!(out, "listening address={address}")?;
    out.flush()?;
    std::future::pending().await
}

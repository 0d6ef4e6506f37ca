//! A link between an entry and a target that breaks at a chosen step.
//!
//! It passes bytes on, looks at them only to know which step an exchange has reached, and strikes
//! there: cuts the connection, lets it go silent, or takes the target away for good. Exchanges
//! other than those chosen, such as load reports, pass untouched until the target is gone.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::TcpSocket;

use crate::port;

/// How far an exchange has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// No connection yet.
    BeforeConnect,
    /// The connection is open and nothing has been written.
    Connected,
    /// A part of the request has reached the target.
    Partly,
    /// The whole request has reached the target, whose reply is not passed on.
    Sent,
    /// The head of the reply has been passed on.
    Accepted,
    /// The token at this offset has been passed on.
    Token(u64),
    /// The end mark has been passed on.
    End,
}

/// What happens at the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strike {
    /// The connection is cut; new ones work.
    Cut,
    /// The connection brings nothing more, in either direction, and stays open; new ones work.
    Silent,
    /// The target is gone: its connections are cut and new ones are refused.
    Die,
}

/// When and how to strike.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// At which step.
    pub step: Step,
    /// What happens.
    pub strike: Strike,
    /// How many exchanges are struck.
    pub times: usize,
}

#[derive(Debug)]
struct State {
    target: SocketAddr,
    address: SocketAddr,
    _held: TcpSocket,
    plan: Option<Plan>,
    chosen: fn(&str) -> bool,
    strikes: AtomicUsize,
    gone: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

/// A running link; everything passes until the plan strikes.
#[derive(Clone, Debug)]
pub struct Link(Arc<State>);

impl Link {
    /// Opens a link to `target`; `chosen` picks by their first line the exchanges that the plan
    /// is for.
    pub fn open(
        target: SocketAddr,
        plan: Option<Plan>,
        chosen: fn(&str) -> bool,
    ) -> io::Result<Self> {
        let (socket, held) = port::hold(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let state = Arc::new(State {
            target,
            address: held.local_addr()?,
            _held: held,
            plan,
            chosen,
            strikes: AtomicUsize::new(0),
            gone: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let link = Self(Arc::clone(&state));
        if plan.is_some_and(|p| p.step == Step::BeforeConnect && p.strike == Strike::Die) {
            state.strikes.store(1, Ordering::Release);
            state.gone.store(true, Ordering::Release);
            return Ok(link);
        }
        let listener = port::listen(socket)?;
        thread::spawn(move || accept(&listener, &state));
        Ok(link)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// How many exchanges were struck.
    pub fn strikes(&self) -> usize {
        self.0.strikes.load(Ordering::Acquire)
    }

    /// Takes the target away for good.
    pub fn die(&self) {
        self.0.die();
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        // The acceptor holds one, and each exchange two; what is left is the last handle.
        if Arc::strong_count(&self.0) <= 2 {
            self.0.die();
        }
    }
}

impl State {
    fn die(&self) {
        if self.gone.swap(true, Ordering::AcqRel) {
            return;
        }
        for stream in self.open.lock().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the acceptor, so that it lets go of the address.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }

    /// Whether the plan strikes at `step`; counts it.
    fn strikes_at(&self, step: Step) -> Option<Strike> {
        let plan = self.plan.filter(|plan| plan.step == step)?;
        let count = |n: usize| (n < plan.times).then_some(n + 1);
        self.strikes.fetch_update(Ordering::AcqRel, Ordering::Acquire, count).ok()?;
        Some(plan.strike)
    }
}

fn accept(listener: &TcpListener, state: &Arc<State>) {
    for stream in listener.incoming() {
        if state.gone.load(Ordering::Acquire) {
            return;
        }
        let Ok(near) = stream else { return };
        let state = Arc::clone(state);
        thread::spawn(move || {
            let _ = carry(&state, near);
        });
    }
}

/// One connection, which carries one exchange or, where not chosen, any number.
fn carry(state: &Arc<State>, mut near: TcpStream) -> io::Result<()> {
    near.set_nodelay(true)?;
    state.open.lock().push(near.try_clone()?);
    let head = read_head(&mut near)?;
    let first = String::from_utf8_lossy(&head);
    let chosen = (state.chosen)(first.lines().next().unwrap_or_default());
    if chosen && let Some(strike) = state.strikes_at(Step::Connected) {
        return struck(state, strike, &near, None);
    }
    let far = TcpStream::connect(state.target)?;
    far.set_nodelay(true)?;
    state.open.lock().push(far.try_clone()?);
    let mut to = far.try_clone()?;
    if chosen && let Some(strike) = state.strikes_at(Step::Partly) {
        to.write_all(&head[..head.len() / 2])?;
        return struck(state, strike, &near, Some(&far));
    }
    to.write_all(&head)?;
    let (mut up, up_to) = (near.try_clone()?, far.try_clone()?);
    thread::spawn(move || {
        let mut to = up_to;
        let _ = io::copy(&mut up, &mut to);
        let _ = to.shutdown(Shutdown::Write);
    });
    if chosen && let Some(strike) = state.strikes_at(Step::Sent) {
        // The target has acted on the request once its reply begins, which is lost.
        let mut lost = [0; 1];
        let _ = far.try_clone()?.read(&mut lost);
        return struck(state, strike, &near, Some(&far));
    }
    back(state, chosen, &near, far)
}

/// Carries the reply back, up to the step at which the plan strikes.
fn back(state: &Arc<State>, chosen: bool, near: &TcpStream, mut far: TcpStream) -> io::Result<()> {
    let mut to = near.try_clone()?;
    let mut seen = Vec::new();
    let mut passed = 0;
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = far.read(&mut buffer)?;
        if read == 0 {
            return near.shutdown(Shutdown::Both);
        }
        if !chosen {
            to.write_all(&buffer[..read])?;
            continue;
        }
        seen.extend_from_slice(&buffer[..read]);
        let step = state.plan.map_or(Step::BeforeConnect, |plan| plan.step);
        if let Some(end) = reached(&seen, step)
            && let Some(strike) = state.strikes_at(step)
        {
            to.write_all(&seen[passed.min(end)..end])?;
            // Let what was passed on arrive before the connection ends.
            thread::sleep(Duration::from_millis(5));
            return struck(state, strike, near, Some(&far));
        }
        to.write_all(&seen[passed..])?;
        passed = seen.len();
    }
}

/// Where the step ends in what the target has sent.
fn reached(seen: &[u8], step: Step) -> Option<usize> {
    let after = |from: usize, mark: &str| {
        memchr::memmem::find(&seen[from..], mark.as_bytes()).map(|at| from + at + mark.len())
    };
    let head = after(0, "\r\n\r\n")?;
    match step {
        Step::Accepted => Some(head),
        Step::Token(offset) => after(after(head, &format!("id: {offset}\n"))?, "\n\n"),
        Step::End => after(after(head, "event: end\n")?, "\n\n"),
        Step::BeforeConnect | Step::Connected | Step::Partly | Step::Sent => None,
    }
}

fn struck(
    state: &State,
    strike: Strike,
    near: &TcpStream,
    far: Option<&TcpStream>,
) -> io::Result<()> {
    match strike {
        Strike::Die => state.die(),
        Strike::Cut => {
            near.shutdown(Shutdown::Both)?;
            if let Some(far) = far {
                far.shutdown(Shutdown::Both)?;
            }
        }
        // Both ends stay open in `State::open`; nothing is read from either any more.
        Strike::Silent => {}
    }
    Ok(())
}

/// Reads a request up to the end of its head and what came with it.
fn read_head(near: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut head = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = near.read(&mut buffer)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        head.extend_from_slice(&buffer[..read]);
        if memchr::memmem::find(&head, b"\r\n\r\n").is_some() {
            return Ok(head);
        }
    }
}

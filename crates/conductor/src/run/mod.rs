//! Start and stop: reads the configuration, opens the sockets, and goes from turn to turn until a signal.

mod channel;
mod clock;
mod command;
mod config;
mod follow;
mod hooks;
mod log;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use clap::Parser;
use oatpitch_channel::net::client::Identity;
use oatpitch_channel::net::server::{Event, Server};
use oatpitch_hooks::core::view::Words;
use oatpitch_hooks::worker::Told;
use oatpitch_memory::counters::Counters;
use oatpitch_memory::reducer::{Memory, Start};
use oatpitch_memory::{ConnId, Effect, Ending, Grade, Input};
use oatpitch_operator::records::channel::Channel;
use oatpitch_operator::{Operator, Settled};
use slog::{Logger, error, info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::task::{AbortHandle, LocalSet, spawn_local};
use tokio::time::Instant;
use tower::ServiceExt;

use crate::wire::heard::Terms;
use crate::wire::stream::{Budget, Entered, Outbox, Reader};
use crate::wire::{limits, peers, push, roster, stream};
use clock::Clock;
use command::{Command, Line};
use config::{Occasion, Peers, Posting};
use hooks::Hooks;

/// A file was checked, and something in it is wrong.
const WRONG: u8 = 3;

/// Does what the command line asks for; what is wrong is told in one line.
pub fn main() -> ExitCode {
    let line = Line::parse();
    let files = line.operator.files;
    let started =
        match line.command {
            None | Some(Command::Serve) => run(async move {
                // Before anything is read: a signal that comes meanwhile is neither missed nor the end.
                let signals = Signals::start()?;
                let settled = settled(&files)?;
                let posting = read(Occasion::Start)?;
                conduct(signals, posting, files, settled.operator).await
            }),
            Some(Command::Check { files, json }) => return check(&files, json),
            Some(Command::Follow { hosts, proxy, zone, rate, tags, count }) => {
                settled(&files).and_then(|settled| {
                    let identity = Identity { proxy, zone, rate, tags };
                    run(async move {
                        follow::print(&hosts, &identity, &settled.operator.follow.hold, count).await
                    })
                })
            }
            Some(Command::Hooks { command }) => return hooks_command(command),
            Some(Command::Relay) => settled(&files).and_then(|settled| {
                run(async move { follow::pass_on(settled.operator.relay.as_ref()).await })
            }),
        };
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            // Where nobody reads the log, the exit code still tells.
            let _ = writeln!(std::io::stderr(), "oatpitch: {trouble:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(job: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, job)
}

/// What operators have set: in the files named, or in the one that NODE_OPERATOR names.
fn settled(files: &[PathBuf]) -> Result<Settled> {
    let named: Vec<PathBuf> = std::env::var_os("NODE_OPERATOR").map(PathBuf::from).into_iter().collect();
    Ok(oatpitch_operator::read(if files.is_empty() { &named } else { files })?)
}

/// What is wrong with a script is told in one line.
fn hooks_command(command: command::Hooks) -> ExitCode {
    let done = match command {
        command::Hooks::Check { file, settings } => hooks::check(&file, &settings),
        command::Hooks::Run { file, settings, input } => hooks::run(&file, &settings, input.as_deref()),
        command::Hooks::Sample => hooks::sample(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            let _ = writeln!(std::io::stderr(), "oatpitch: {trouble:#}");
            ExitCode::from(WRONG)
        }
    }
}

/// Prints what files settle, or all that is wrong with them.
fn check(files: &[PathBuf], json: bool) -> ExitCode {
    match oatpitch_operator::read(files) {
        Ok(settled) => {
            let lines = if json { format!("{}\n", settled.shown) } else { listed("", &settled.shown) };
            // Where nobody reads it, the exit code still tells.
            let _ = std::io::stdout().write_all(lines.as_bytes());
            ExitCode::SUCCESS
        }
        Err(trouble) => {
            let mut all = std::io::stderr().lock();
            for told in &trouble.0 {
                let _ = writeln!(all, "{told}\n{}", told.shown);
            }
            ExitCode::from(WRONG)
        }
    }
}

/// A line for every settled key, with its full path.
fn listed(path: &str, value: &serde_json::Value) -> String {
    match value.as_object() {
        Some(record) => {
            let path = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
            record.iter().map(|(key, value)| listed(&path(key), value)).collect()
        }
        None => format!("{path}: {}\n", value.as_str().map_or_else(|| value.to_string(), String::from)),
    }
}

/// The signals that a conductor minds, from the first on.
struct Signals {
    stop: Signal,
    stop_too: Signal,
    renew: Signal,
    show: Signal,
}

impl Signals {
    fn start() -> Result<Signals> {
        Ok(Signals {
            stop: signal(SignalKind::terminate())?,
            stop_too: signal(SignalKind::interrupt())?,
            renew: signal(SignalKind::hangup())?,
            show: signal(SignalKind::user_defined1())?,
        })
    }

    async fn stopped(&mut self) {
        tokio::select! {
            _ = self.stop.recv() => {}
            _ = self.stop_too.recv() => {}
        }
    }
}

/// Opens an address. One that a predecessor still holds is waited for, as it ends within its time; nothing where
/// the conductor is stopped meanwhile.
async fn claim<T>(
    log: &Logger,
    signals: &mut Signals,
    key: &str,
    at: SocketAddr,
    open: impl AsyncFn() -> std::io::Result<T>,
) -> Result<Option<T>> {
    let (until, mut told) = (Instant::now() + limits::PREDECESSOR, false);
    loop {
        match open().await {
            Ok(opened) => return Ok(Some(opened)),
            Err(trouble) if trouble.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                if !std::mem::replace(&mut told, true) {
                    info!(log, "{key}: {at} is held by another, waited for");
                }
            }
            Err(trouble) => return Err(trouble).with_context(|| format!("{key}: {at}")),
        }
        tokio::select! {
            biased;
            () = signals.stopped() => return Ok(None),
            () = tokio::time::sleep(limits::CLAIM_PAUSE) => {}
        }
    }
}

/// A configuration that was refused is read again a few times: it may have been half written.
struct Unread {
    due: Instant,
    wait: Duration,
}

impl Unread {
    fn first() -> Unread {
        Unread { due: Instant::now() + limits::REREAD_FIRST, wait: limits::REREAD_FIRST }
    }

    fn next(self) -> Option<Unread> {
        let wait = self.wait * 2;
        (wait <= limits::REREAD_LAST).then(|| Unread { due: Instant::now() + wait, wait })
    }
}

/// What a renewal takes over, or what is wrong with it.
fn renewal(stated: &Posting) -> Result<(SocketAddr, Vec<&'static str>), String> {
    let read = read(Occasion::Renewal);
    read.map(|posting| (posting.discovery, stated.fixed(&posting))).map_err(|trouble| format!("{trouble:#}"))
}

fn read(occasion: Occasion) -> Result<Posting> {
    config::read(occasion, |name| std::env::var(name).ok())
}

/// What the effects act on. Nothing is decided by it.
struct Hands {
    log: Logger,
    inbox: mpsc::Sender<Input>,
    conns: Conns,
    terms: Rc<Terms>,
    room: limits::Room,
    discovery: SocketAddr,
    /// What is asked of discovery, by its number.
    asked: BTreeMap<u64, AbortHandle>,
    peers: Peers,
    datagrams: Option<Rc<UdpSocket>>,
    wake: Option<oatpitch::interface::Time>,
    channel: Option<Server>,
    entered: Entered,
    /// What a message counts in the channel beside its lines.
    head: f64,
}

type Conns = Rc<std::cell::RefCell<BTreeMap<ConnId, Conn>>>;

struct Conn {
    outbox: Outbox,
    reading: AbortHandle,
    writing: AbortHandle,
    dismissed: Rc<Notify>,
}

impl Conn {
    /// Ends it at once; but an answer of life just queued, which counts nothing in the channel, goes out first.
    fn end(self) {
        self.reading.abort();
        let writing = self.writing;
        if !self.outbox.owes_sign() {
            return writing.abort();
        }
        // Without its outbox it ends by itself, unless the other side takes nothing.
        spawn_local(async move {
            tokio::time::sleep(limits::FAREWELL).await;
            writing.abort();
        });
    }
}

async fn conduct(
    mut signals: Signals,
    posting: Posting,
    files: Vec<PathBuf>,
    operator: Operator,
) -> Result<()> {
    let log = log::start(&posting.name);
    let places = posting.sockets - limits::SOCKETS_OWN;
    // All that there are places for may dial at once: who finds no place in the queue comes again a second later.
    let open = async || stream::listen(posting.listen, places);
    let Some(listener) = claim(&log, &mut signals, "listen", posting.listen, open).await? else {
        info!(log, "stopped before it listened");
        return Ok(());
    };
    let datagrams = match posting.peers.listen {
        Some(at) => claim(&log, &mut signals, "peer_listen", at, async || UdpSocket::bind(at).await)
            .await?
            .map(Rc::new),
        None => None,
    };
    // What a renewal is held against; the list known is for the start alone.
    let stated = Posting { known: Default::default(), ..posting.clone() };
    let clock = Clock::start(posting.charge.tick);
    let (inbox, mut inputs) = mpsc::channel(limits::INBOX_MOST);
    let terms = Rc::new(Terms {
        zones: posting.charge.zones.clone(),
        classes: posting.charge.classes.clone(),
        proxies: posting.charge.mandate.proxies,
        longest: limits::mean_longest(&posting.charge.mandate),
    });
    let (room, nodes) = (limits::room(posting.memory_mb, posting.sockets), posting.known.entries.len());
    let next = Rc::new(Cell::new(0));
    let (server, mut events) = match &operator.channel {
        Some(record) => {
            let origin = channel::Origin {
                conductor: &posting.name,
                started: clock.now(),
                mandate: &posting.charge.mandate,
                classes: &posting.charge.classes,
                zones: &posting.charge.zones,
                seed: posting.seed,
            };
            let (next, now) = (next.clone(), Rc::new(move || clock.now()));
            let place = Rc::new(move || ConnId(next.replace(next.get() + 1)));
            let (server, events) = channel::open(record, &origin, now, place).await?;
            info!(log, "publishing on {}", record.listen);
            (Some(server), Some(events))
        }
        None => (None, None),
    };
    let mut hooked = operator.hooks.as_ref().map(|record| {
        let words =
            Words { zones: posting.charge.zones.clone(), classes: posting.charge.classes.clone(), ahead: 0 };
        let folder = hooks::folder(&files);
        let (hooked, lines) = Hooks::start(record, &folder, posting.charge.mandate.clone(), words);
        lines.iter().for_each(|line| warn!(log, "{line}"));
        info!(log, "hooks: {}", record.each.len());
        hooked
    });
    let followers = operator.channel.as_ref().map_or(0, |record| record.subscribers);
    let head = posting.charge.mandate.message_head;
    let start = Start {
        mandate: posting.charge.mandate,
        classes: posting.charge.classes.len() as u16,
        seed: posting.seed,
        known: posting.known,
        discovery: posting.discovery,
        places: places + followers,
    };
    let mut turned = clock.now();
    let (mut memory, effects) = Memory::begin(turned, start);
    let mut hands = Hands {
        log: log.clone(),
        inbox: inbox.clone(),
        conns: Conns::default(),
        terms: terms.clone(),
        room,
        discovery: posting.discovery,
        asked: BTreeMap::new(),
        peers: posting.peers,
        datagrams: datagrams.clone(),
        wake: None,
        channel: server,
        entered: Entered::default(),
        head,
    };
    info!(log, "listening on {}, seed {:016x}, nodes known: {nodes}", posting.listen, posting.seed);
    let reader = Reader { terms, inbox: inbox.clone(), budget: Budget::of(room) };
    let ends = Ends { reader, conns: hands.conns.clone(), entered: hands.entered.clone() };
    spawn_local(accept(listener, ends, Rc::new(Semaphore::new(places)), next));
    if let Some(socket) = datagrams {
        spawn_local(hear_peers(socket, hands.peers.each.clone(), inbox.clone()));
    }
    let mut clogged = hands.carry_out(effects, &mut memory.counters);
    hands.publish(turned, memory.settled());
    let (mut operator, mut unread) = (operator, None::<Unread>);
    loop {
        let mut gathered: Vec<Input> = std::mem::take(&mut clogged);
        let wake = hands.wake.map(|at| clock.instant(at));
        let round = hooked.as_ref().map(|hooked| clock.instant(hooked.due()));
        if gathered.is_empty() {
            tokio::select! {
                // Signals are few, and must not wait behind what always comes.
                biased;
                _ = signals.stop.recv() => break,
                _ = signals.stop_too.recv() => break,
                _ = signals.renew.recv() => {
                    let renewal = renewal(&stated);
                    unread = renewal.is_err().then(Unread::first);
                    gathered.push(Input::Renewed(renewal));
                    gathered.push(Input::Noted(hands.renew(&mut operator, &mut hooked, &files)));
                }
                () = sleep(unread.as_ref().map(|unread| unread.due)) => match renewal(&stated) {
                    Ok(renewal) => {
                        unread = None;
                        gathered.push(Input::Renewed(Ok(renewal)));
                    }
                    // Told when it was first refused.
                    Err(_) => unread = unread.and_then(Unread::next),
                },
                _ = signals.show.recv() => {
                    info!(log, "counters: {}", memory.counters);
                    if let Some(server) = &hands.channel {
                        info!(log, "channel: {}", server.figures());
                    }
                    hooked.iter_mut().for_each(|hooked| hooked.list(turned));
                    continue;
                }
                input = inputs.recv() => gathered.extend(input),
                Some(told) = next_told(&mut hooked) => {
                    if let Some(hooked) = &mut hooked {
                        let (inputs, lines) = hooked.hear(turned, told, &memory);
                        for (bad, line) in lines {
                            if bad {
                                warn!(log, "{line}");
                            } else {
                                info!(log, "{line}");
                            }
                        }
                        if inputs.is_empty() {
                            continue;
                        }
                        gathered.extend(inputs);
                    }
                }
                () = sleep(round) => {}
                Some(event) = next_event(&mut events) => gathered.extend(channel::inputs(event)),
                () = sleep(wake) => {}
            }
        }
        // Turns come at most once a tick, so that what comes together is one message.
        if clock.now() <= turned {
            tokio::select! {
                biased;
                () = signals.stopped() => break,
                () = tokio::time::sleep_until(clock.next()) => {}
            }
        }
        turned = clock.turn(turned, hands.wake);
        while gathered.len() < limits::TURN_MOST {
            let Ok(input) = inputs.try_recv() else { break };
            gathered.push(input);
        }
        gathered.extend(hooked.iter_mut().flat_map(|hooked| hooked.begin(turned, &memory)));
        while let Some(events) = events.as_mut().filter(|_| gathered.len() < limits::TURN_MOST) {
            let Ok(event) = events.try_recv() else { break };
            gathered.extend(channel::inputs(event));
        }
        gathered.push(Input::Entered(hands.entered.take()));
        gathered.push(Input::Bell);
        let effects = memory.turn(turned, gathered);
        clogged = hands.carry_out(effects, &mut memory.counters);
        hands.publish(turned, memory.settled());
    }
    if let Some(server) = &hands.channel {
        server.stop().await;
        info!(log, "channel: {}", server.figures());
    }
    info!(log, "stopped; counters: {}", memory.counters);
    Ok(())
}

/// Nothing, for good, where there are no hooks.
async fn next_told(hooked: &mut Option<Hooks>) -> Option<Told> {
    match hooked {
        Some(hooked) => hooked.next().await,
        None => std::future::pending().await,
    }
}

/// Nothing, for good, where no channel is published.
async fn next_event(events: &mut Option<mpsc::Receiver<Event>>) -> Option<Event> {
    match events {
        Some(events) => events.recv().await,
        None => std::future::pending().await,
    }
}

async fn sleep(until: Option<Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}

impl Hands {
    /// Does what a turn asked for, in order. Connections whose outbox is full come back as inputs.
    fn carry_out(&mut self, effects: Vec<Effect>, counters: &mut Counters) -> Vec<Input> {
        let mut clogged = Vec::new();
        // Each turn tells when it is to be woken, if at all; what an earlier one asked for is over.
        self.wake = None;
        for effect in effects {
            match effect {
                Effect::Order(mut to, message) => {
                    let lines = message.cost() as f64 + self.head;
                    if let Some(server) = &self.channel {
                        server.order(&to, &message);
                        let all = to.len();
                        to.retain(|conn| !server.follows(*conn));
                        self.enter((all - to.len()) as f64 * lines);
                    }
                    if !to.is_empty() {
                        let bytes = push::encode(&message.parts, &self.terms.classes, counters);
                        clogged
                            .extend(to.into_iter().filter_map(|conn| self.write(conn, bytes.clone(), lines)));
                    }
                }
                Effect::Alive(conn) => clogged.extend(self.write(conn, Bytes::from_static(push::ALIVE), 0.0)),
                Effect::End(conn) => {
                    self.conns.borrow_mut().remove(&conn).into_iter().for_each(Conn::end);
                    self.channel.iter().for_each(|server| server.end(conn));
                }
                Effect::Dismiss(conn) => {
                    self.conns.borrow().get(&conn).into_iter().for_each(|conn| conn.dismissed.notify_one());
                }
                Effect::Watch { number, since } => self.watch(number, since),
                Effect::Unwatch(number) => self.asked.remove(&number).iter().for_each(AbortHandle::abort),
                Effect::Discovery(address) => self.discovery = address,
                Effect::Fetch(number) => self.fetch(number),
                Effect::Wake(at) => self.wake = Some(at),
                Effect::Tell(peer, message) => self.tell(peer, message),
                Effect::Log(Grade::Info, text) => info!(self.log, "{text}"),
                Effect::Log(Grade::Warning, text) => warn!(self.log, "{text}"),
                Effect::Log(Grade::Error, text) => error!(self.log, "{text}"),
            }
        }
        clogged
    }

    /// What the turn ordered goes out on the channel, if there is one.
    fn publish(&self, now: oatpitch::interface::Time, roster: u64) {
        self.channel.iter().for_each(|server| server.close(now, roster));
    }

    /// The operator's files are read anew: what can be taken over is, and the rest is told. Where they can't be
    /// read, all stays as it is.
    fn renew(&self, operator: &mut Operator, hooked: &mut Option<Hooks>, files: &[PathBuf]) -> Vec<String> {
        let renewed = match settled(files) {
            Ok(settled) => settled.operator,
            Err(trouble) => return vec![format!("operator's file not taken over: {trouble:#}")],
        };
        let fixed = operator.fixed(&renewed);
        let mut told: Vec<String> = fixed
            .iter()
            .map(|key| format!("operator's file: {key} has changed, which takes a new start"))
            .collect();
        if let (Some(server), Some(old), Some(new)) = (&self.channel, &mut operator.channel, &renewed.channel)
            && channel::limits(old) != channel::limits(new)
        {
            server.renew(channel::limits(new));
            *old = Channel {
                listen: old.listen,
                lineage: old.lineage.clone(),
                subscribers: old.subscribers,
                ..new.clone()
            };
            told.push("operator's file: the channel's limits are taken over".into());
        }
        match (hooked, &renewed.hooks) {
            (Some(hooked), Some(record)) => {
                told.extend(hooked.renew(record, &hooks::folder(files)));
                operator.hooks = Some(record.clone());
            }
            (None, None) => {}
            _ => told.push("operator's file: hooks has changed, which takes a new start".into()),
        }
        told
    }

    /// What is to be told of a connection whose outbox is full.
    fn write(&self, conn: ConnId, message: Bytes, lines: f64) -> Option<Input> {
        let Some(written) = self.conns.borrow().get(&conn).map(|conn| conn.outbox.write(message, lines))
        else {
            self.enter(lines);
            return None;
        };
        (!written).then_some(Input::Ended(conn, Ending::Unread))
    }

    fn enter(&self, lines: f64) {
        self.entered.set(self.entered.get() + lines);
    }

    fn watch(&mut self, number: u64, since: u64) {
        let (inbox, address, terms) = (self.inbox.clone(), self.discovery, self.terms.clone());
        let longest = self.room.roster;
        let task = async move {
            let ended = async {
                let body = roster::open(address, since).await?;
                let _ = inbox.send(Input::Watching(number)).await;
                let pass_on = async |news| _ = inbox.send(Input::News(number, news)).await;
                roster::follow(body, &terms.zones, longest, pass_on).await
            };
            let ended = ended.await;
            let cause = ended.map_or_else(|trouble| format!("{trouble:#}"), |()| "the watch ended".into());
            let _ = inbox.send(Input::NewsEnded(number, cause)).await;
        };
        self.asked.insert(number, spawn_local(task).abort_handle());
    }

    fn fetch(&mut self, number: u64) {
        let (inbox, address, terms) = (self.inbox.clone(), self.discovery, self.terms.clone());
        let longest = self.room.roster;
        let task = async move {
            let heard = match roster::fetch(address, &terms.zones, longest).await {
                Ok(news) => Input::News(number, news),
                Err(trouble) => Input::NewsEnded(number, format!("{trouble:#}")),
            };
            let _ = inbox.send(heard).await;
        };
        self.asked.insert(number, spawn_local(task).abort_handle());
    }

    fn tell(&self, peer: Option<usize>, message: Vec<u8>) {
        let to = match peer {
            Some(place) => self.peers.each.get(place).copied(),
            None => self.peers.all,
        };
        if let (Some(socket), Some(to)) = (&self.datagrams, to) {
            // A datagram may be lost anyway.
            let _ = socket.try_send_to(&message, to);
        }
    }
}

/// What connections are given as they are taken.
struct Ends {
    reader: Reader,
    conns: Conns,
    entered: Entered,
}

/// Takes connections as they come, while there is a place for more; one is free again once its socket is.
async fn accept(listener: TcpListener, ends: Ends, places: Rc<Semaphore>, next: Rc<Cell<u64>>) {
    let Ends { reader, conns, entered } = ends;
    loop {
        if places.available_permits() == 0 {
            // The reducer makes room among strangers; who waits in the queue is not to wait for more than that.
            let _ = reader.inbox.send(Input::Refused).await;
            let _ = tokio::time::timeout(limits::ACCEPT_PAUSE, places.acquire()).await;
            continue;
        }
        let (socket, peer) = match listener.accept().await {
            Ok(taken) => taken,
            Err(trouble) if stream::itself_alone(&trouble) => continue,
            Err(_) => {
                // Nothing to be told to is a conductor that stops.
                let _ = reader.inbox.send(Input::Refused).await;
                tokio::time::sleep(limits::ACCEPT_PAUSE).await;
                continue;
            }
        };
        let conn = ConnId(next.replace(next.get() + 1));
        // A connection already broken tells so when it is read.
        let _ = socket.set_nodelay(true);
        let (read, outbox, writing) = stream::split(socket, &reader.budget, entered.clone());
        let held = Rc::new(Place::take(&places));
        // The memory hears of it before anything that it says, and can end it from then on.
        let Ok(opened) = reader.inbox.reserve().await else { return };
        opened.send(Input::Opened(conn, peer));
        let dismissed = Rc::new(Notify::new());
        let reading = reader.clone().oneshot((conn, read, dismissed.clone()));
        let (held, also_held) = (held.clone(), held);
        let reading = spawn_local(async move {
            let _held = held;
            let _ = reading.await;
        });
        let writing = spawn_local(async move {
            let _held = also_held;
            writing.await;
        });
        let (reading, writing) = (reading.abort_handle(), writing.abort_handle());
        conns.borrow_mut().insert(conn, Conn { outbox, reading, writing, dismissed });
    }
}

/// One of the descriptors for connections, until both halves of its socket are gone.
struct Place(Rc<Semaphore>);

impl Place {
    fn take(places: &Rc<Semaphore>) -> Place {
        // Only the accepting task takes any, and looks before.
        places.try_acquire().into_iter().for_each(tokio::sync::SemaphorePermit::forget);
        Place(places.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.add_permits(1);
    }
}

async fn hear_peers(socket: Rc<UdpSocket>, each: Vec<std::net::SocketAddr>, inbox: mpsc::Sender<Input>) {
    loop {
        let Ok((from, bytes)) = peers::next(&socket).await else {
            tokio::time::sleep(limits::ACCEPT_PAUSE).await;
            continue;
        };
        let place = bytes.and_then(|_| each.iter().position(|peer| *peer == from));
        if inbox.send(Input::Peer(place)).await.is_err() {
            return;
        }
    }
}

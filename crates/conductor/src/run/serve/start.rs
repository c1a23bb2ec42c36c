//! Sets a conductor up: its sockets, its channel and hooks, and the reducer.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;

use anyhow::Result;
use oatpitch_channel::net::server::{FollowerEvent, Server};
use oatpitch_hooks::core::view::ViewContext;
use oatpitch_operator::OperatorSettings;
use oatpitch_state::Input;
use oatpitch_state::reducer::{Reducer, ReducerConfig};
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::spawn_local;

use super::Conductor;
use crate::run::accept::Acceptor;
use crate::run::clock::Clock;
use crate::run::config::Configuration;
use crate::run::connection::{ConnectionIdAllocator, Connections};
use crate::run::effects::EffectRunner;
use crate::run::hooks::{self, Hooks};
use crate::run::open_address::open_with_retry;
use crate::run::signals::Signals;
use crate::run::{channel, peers};
use crate::wire::budget::Budget;
use crate::wire::inbound::DecodeContext;
use crate::wire::limits;
use crate::wire::send_queue::EnteredLines;
use crate::wire::stream::{self, Reader};

/// The sockets that a conductor listens on.
pub struct Sockets {
    listener: TcpListener,
    /// Socket for datagrams of peers, if an address is configured.
    datagrams: Option<Rc<UdpSocket>>,
}

impl Sockets {
    /// Opens the sockets. Returns `None` if the conductor is stopped before they are open.
    pub async fn open(
        log: &Logger,
        signals: &mut Signals,
        configuration: &Configuration,
    ) -> Result<Option<Sockets>> {
        // The accept queue has room for every allowed connection, as all of them may connect at once: a client that
        // finds it full only retries a second later.
        let open = async || stream::listen(configuration.listen, max_connections(configuration));
        let Some(listener) = open_with_retry(log, signals, "listen", configuration.listen, open).await?
        else {
            return Ok(None);
        };
        let Some(address) = configuration.peers.listen else {
            return Ok(Some(Sockets { listener, datagrams: None }));
        };
        let open = async || UdpSocket::bind(address).await;
        let Some(datagrams) = open_with_retry(log, signals, "peer_listen", address, open).await? else {
            return Ok(None);
        };
        Ok(Some(Sockets { listener, datagrams: Some(Rc::new(datagrams)) }))
    }
}

/// Returns the limit of open connections.
fn max_connections(configuration: &Configuration) -> usize {
    configuration.sockets - limits::RESERVED_DESCRIPTORS
}

impl Conductor {
    /// Opens the channel, starts the hooks, the reducer and the listeners, and runs the reducer's first effects.
    pub async fn start(
        log: Logger,
        sockets: Sockets,
        mut configuration: Configuration,
        files: Vec<PathBuf>,
        operator: OperatorSettings,
    ) -> Result<Conductor> {
        let clock = Clock::start(configuration.host_settings.tick);
        let (inbox, inputs) = mpsc::channel(limits::INBOX_CAPACITY);
        let connection_ids = ConnectionIdAllocator::default();
        let (server, follower_events) =
            open_channel(&log, &operator, &configuration, clock, &connection_ids).await?.unzip();
        let hooks = start_hooks(&log, &operator, &configuration, &files);
        let last_turn = clock.now();
        let reducer_config = reducer_config(&mut configuration, &operator);
        let nodes = reducer_config.known_list.entries.len();
        let (mut reducer, effects) = Reducer::start(last_turn, reducer_config);
        let mut effect_runner = effect_runner(&log, &inbox, &configuration, &sockets, server);
        info!(
            log,
            "listening on {}, seed {:016x}, nodes known: {nodes}", configuration.listen, configuration.seed
        );
        spawn_listeners(sockets, &effect_runner, &configuration, connection_ids);
        let close_inputs = effect_runner.run(effects, &mut reducer.counters);
        effect_runner.publish(last_turn, reducer.applied_list_version());
        Ok(Conductor {
            log,
            clock,
            reducer,
            effect_runner,
            inputs,
            follower_events,
            hooks,
            operator,
            files,
            configuration,
            reload_retry: None,
            last_turn,
            close_inputs,
        })
    }
}

/// Opens the snapshot channel if the operator has configured one.
async fn open_channel(
    log: &Logger,
    operator: &OperatorSettings,
    configuration: &Configuration,
    clock: Clock,
    connection_ids: &ConnectionIdAllocator,
) -> Result<Option<(Server, mpsc::Receiver<FollowerEvent>)>> {
    let Some(settings) = &operator.channel else { return Ok(None) };
    let origin = channel::ChannelOrigin {
        conductor: &configuration.name,
        started_at: clock.now(),
        settings: &configuration.host_settings.settings,
        class_names: &configuration.host_settings.classes,
        zone_names: &configuration.host_settings.zones,
        seed: configuration.seed,
    };
    let now = Rc::new(move || clock.now());
    let connection_ids = connection_ids.clone();
    let opened = channel::open(settings, &origin, now, Rc::new(move || connection_ids.allocate())).await?;
    info!(log, "publishing on {}", settings.listen);
    Ok(Some(opened))
}

/// Starts the operator's hooks, if any are configured.
fn start_hooks(
    log: &Logger,
    operator: &OperatorSettings,
    configuration: &Configuration,
    files: &[PathBuf],
) -> Option<Hooks> {
    let settings = operator.hooks.as_ref()?;
    let host_settings = &configuration.host_settings;
    let view_context = ViewContext {
        zones: host_settings.zones.clone(),
        classes: host_settings.classes.clone(),
        clock_offset_minutes: 0,
    };
    let (hooks, lines) =
        Hooks::start(settings, &hooks::script_folder(files), host_settings.settings.clone(), view_context);
    lines.iter().for_each(|line| warn!(log, "{line}"));
    info!(log, "hooks: {}", settings.hooks.len());
    Some(hooks)
}

/// Returns the reducer's start configuration. The known list is moved out of the configuration, as only the start
/// needs it.
fn reducer_config(configuration: &mut Configuration, operator: &OperatorSettings) -> ReducerConfig {
    let followers = operator.channel.as_ref().map_or(0, |settings| settings.max_subscribers);
    ReducerConfig {
        settings: configuration.host_settings.settings.clone(),
        class_count: configuration.host_settings.classes.len() as u16,
        seed: configuration.seed,
        known_list: std::mem::take(&mut configuration.known),
        discovery_address: configuration.discovery,
        max_connections: max_connections(configuration) + followers,
    }
}

/// Creates the runner of the reducer's effects.
fn effect_runner(
    log: &Logger,
    inbox: &mpsc::Sender<Input>,
    configuration: &Configuration,
    sockets: &Sockets,
    channel: Option<Server>,
) -> EffectRunner {
    let decode_context = DecodeContext {
        zones: configuration.host_settings.zones.clone(),
        classes: configuration.host_settings.classes.clone(),
        proxy_count: configuration.host_settings.settings.proxy_count,
        max_mean_time: limits::max_mean_time(&configuration.host_settings.settings),
    };
    let buffer_limits = limits::buffer_limits(configuration.memory_mb, configuration.sockets);
    EffectRunner {
        log: log.clone(),
        inbox: inbox.clone(),
        connections: Connections::default(),
        decode_context: Rc::new(decode_context),
        buffer_limits,
        budget: Budget::new(buffer_limits),
        discovery: configuration.discovery,
        discovery_requests: BTreeMap::new(),
        peers: configuration.peers.clone(),
        datagrams: sockets.datagrams.clone(),
        wake_at: None,
        channel,
        entered: EnteredLines::default(),
        message_overhead_lines: configuration.host_settings.settings.message_overhead_lines,
    }
}

/// Starts the tasks that accept connections and receive datagrams.
fn spawn_listeners(
    sockets: Sockets,
    effects: &EffectRunner,
    configuration: &Configuration,
    connection_ids: ConnectionIdAllocator,
) {
    let reader = Reader {
        context: effects.decode_context.clone(),
        inbox: effects.inbox.clone(),
        budget: effects.budget.clone(),
    };
    let acceptor = Acceptor {
        listener: sockets.listener,
        reader,
        connections: effects.connections.clone(),
        entered: effects.entered.clone(),
        available_slots: Rc::new(Semaphore::new(max_connections(configuration))),
        connection_ids,
    };
    spawn_local(acceptor.run());
    if let Some(socket) = sockets.datagrams {
        spawn_local(peers::receive(socket, configuration.peers.addresses.clone(), effects.inbox.clone()));
    }
}

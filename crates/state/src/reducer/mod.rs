//! The reducer: only its turns change the state. Messages of connections are handled in [`connections`], the list
//! of nodes in [`discovery`].

mod connections;
mod discovery;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use oatpitch::Balance;
use oatpitch::interface::*;

use super::counters::Counters;
use super::desired_state::DesiredState;
use super::inbound::MembershipUpdate;
use super::node_names::NodeNames;
use super::{ConnectionId, Effect, Input, LogLevel, limits};
use connections::Connection;
use discovery::DiscoveryState;

/// What a reducer is started with.
pub struct ReducerConfig {
    pub settings: ServiceSettings,
    pub class_count: u16,
    /// Seed of the random delays and of the decision module.
    pub seed: u64,
    /// The list that an earlier process held; the default for none.
    pub known_list: MembershipUpdate,
    pub discovery_address: SocketAddr,
    /// Most connections at a time, whether they have joined or not.
    pub max_connections: usize,
}

/// The state of a conductor, and what the current turn has ordered so far.
pub struct Reducer {
    balance: Balance,
    desired_state: DesiredState,
    names: NodeNames,
    /// Whether the known list of [`ReducerConfig`] has been applied.
    started: bool,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Tags that joined proxies reported. A proxy without tags has no entry.
    proxy_tags: BTreeMap<ProxyId, BTreeMap<String, String>>,
    max_connections: usize,
    /// Lines that a message occupies in the channel in addition to its own.
    message_overhead_lines: f64,
    /// When each connection that has not joined was opened.
    not_joined: BTreeMap<ConnectionId, Time>,
    /// Connections for which [`Effect::CloseUnlessJoined`] was issued and that have neither joined nor closed yet.
    /// They are no longer in `not_joined`.
    closing_unless_joined: BTreeSet<ConnectionId>,
    /// Whether the decision module itself requests the list of nodes, instead of a standing watch.
    roster_on_request: bool,
    discovery: DiscoveryState,
    /// The version of the list that the tables, withdrawals and marks ordered so far fully reflect.
    applied_list_version: u64,
    /// Whether a list is held, including one of an earlier process.
    has_list: bool,
    /// Connections whose probes wait until the conductor can serve.
    waiting_probes: BTreeSet<ConnectionId>,
    discovery_address: SocketAddr,
    rng: fastrand::Rng,
    now: Time,
    /// Start of the current [`limits::WARNING_WINDOW`].
    warning_window_start: Time,
    /// Warnings in the current window, logged or not.
    warnings_in_window: u32,
    pub counters: Counters,
    effects: Vec<Effect>,
}

impl Reducer {
    /// Starts a reducer. The known list is applied before any input. Returns the effects of the first turn too.
    pub fn start(now: Time, config: ReducerConfig) -> (Reducer, Vec<Effect>) {
        let mut desired_state = DesiredState::new(config.class_count);
        let roster_on_request = config.settings.roster_on_request;
        let message_overhead_lines = config.settings.message_overhead_lines;
        let balance = Balance::start(now, config.settings, config.seed, &mut desired_state);
        let mut reducer = Reducer {
            balance,
            desired_state,
            names: NodeNames::default(),
            started: false,
            connections: BTreeMap::new(),
            proxy_tags: BTreeMap::new(),
            max_connections: config.max_connections,
            message_overhead_lines,
            not_joined: BTreeMap::new(),
            closing_unless_joined: BTreeSet::new(),
            roster_on_request,
            discovery: DiscoveryState::new(!roster_on_request, config.known_list.version),
            applied_list_version: 0,
            has_list: false,
            waiting_probes: BTreeSet::new(),
            discovery_address: config.discovery_address,
            rng: fastrand::Rng::with_seed(config.seed),
            now,
            warning_window_start: now,
            warnings_in_window: 0,
            counters: Counters::default(),
            effects: Vec::new(),
        };
        if config.known_list != MembershipUpdate::default() {
            reducer.list_received(&config.known_list);
        }
        if reducer.has_list {
            let entries = reducer.roster_entries(&config.known_list.entries);
            reducer.balance.roster_replaced(now, &entries, true, &mut reducer.desired_state);
        }
        reducer.balance.run_rules(now, &mut reducer.desired_state);
        reducer.started = true;
        let effects = reducer.close_turn();
        (reducer, effects)
    }

    /// Runs one turn: handles the inputs in order, and returns what is to be done.
    pub fn turn(&mut self, now: Time, inputs: impl IntoIterator<Item = Input>) -> Vec<Effect> {
        // A turn sends each proxy at most one message. Two turns at the same time would send two.
        self.now = now.max(self.now + Time(1));
        for input in inputs {
            self.handle(input);
        }
        self.close_overdue();
        self.balance.run_rules(self.now, &mut self.desired_state);
        self.close_turn()
    }

    fn handle(&mut self, input: Input) {
        let now = self.now;
        match input {
            Input::ConnectionOpened(conn, peer) => self.connection_opened(conn, peer),
            Input::AcceptFailed => self.accept_failed(),
            Input::MessageReceived(conn, message) => self.message_received(conn, message),
            Input::InvalidMessage(conn, cause) => {
                self.drop_message(conn, "messages spoilt", &cause.to_string())
            }
            Input::ConnectionClosed(conn, reason) => self.connection_closed(conn, reason),
            Input::ConfigReloaded(reloaded) => self.config_reloaded(reloaded),
            Input::LinesEntered(lines) => self.balance.record_entered_lines(now, lines),
            Input::AdviceReceived(advice) => {
                self.counters.add("advice taken", 1);
                self.balance.set_advice(now, advice);
            }
            Input::LogWarnings(lines) => {
                for line in lines {
                    self.warn(line);
                }
            }
            Input::WatchOpened(request_id) => self.watch_opened(request_id),
            Input::MembershipUpdate(request_id, update) => self.membership_update(request_id, update),
            Input::ListTooLong(request_id, list) => self.list_too_long(request_id, list),
            Input::DiscoveryRequestEnded(request_id, cause) => self.request_ended(request_id, &cause),
            Input::PeerDatagram(sender) => {
                let name = if sender.is_some() { "datagrams of peers" } else { "datagrams dropped" };
                self.counters.add(name, 1);
            }
            Input::TimerFired => self.timers_due(),
        }
    }

    /// Removes the timers that are due, and records how late the earliest one is.
    fn timers_due(&mut self) {
        let later = self.desired_state.timers.split_off(&(self.now + Time(1)));
        let due = std::mem::replace(&mut self.desired_state.timers, later);
        let Some(first) = due.first().copied() else { return };
        self.counters.add("bells", 1);
        if first < self.now {
            self.counters.add("bells late by a tick or more", 1);
            self.counters.peak("latest bell in ms", (self.now - first).0 / 10);
        }
    }

    /// Applies a configuration that was read again. Streams, tables and the list of nodes are not affected.
    fn config_reloaded(&mut self, reloaded: Result<(SocketAddr, Vec<&'static str>), String>) {
        let (address, changed_keys) = match reloaded {
            Ok(reloaded) => reloaded,
            Err(cause) => {
                self.counters.add("configurations refused", 1);
                return self.warn(format!("configuration not taken over: {cause}"));
            }
        };
        self.counters.add("configurations read anew", 1);
        for key in changed_keys {
            self.warn(format!("configuration: {key} has changed, which requires a restart"));
        }
        if address != self.discovery_address {
            self.move_discovery(address);
        }
    }

    /// Returns the version of the list that everything ordered so far fully reflects.
    pub fn applied_list_version(&self) -> u64 {
        self.applied_list_version
    }

    /// Returns a snapshot of the decision module, and the names of the nodes in it.
    pub fn snapshot(&self) -> (BalanceSnapshot, BTreeMap<NodeId, String>) {
        let snapshot = self.balance.snapshot();
        let id_and_name = |node: &NodeSnapshot| Some((node.node, self.names.name(node.node)?.to_string()));
        let names = snapshot.nodes.iter().filter_map(id_and_name).collect();
        (snapshot, names)
    }

    /// Returns the tags that joined proxies reported, by proxy number.
    pub fn proxy_tags(&self) -> BTreeMap<u32, BTreeMap<String, String>> {
        self.proxy_tags.iter().map(|(proxy, tags)| (proxy.0, tags.clone())).collect()
    }

    /// Returns the id of a node by its name.
    pub fn node_id(&self, name: &str) -> Option<NodeId> {
        self.names.id(name)
    }

    /// Returns how many nodes are known by name.
    #[cfg(test)]
    pub fn node_count(&self) -> usize {
        self.names.count()
    }

    /// Ends the turn, and returns its effects.
    fn close_turn(&mut self) -> Vec<Effect> {
        if self.balance.is_settled() {
            self.applied_list_version = self.discovery.version;
        }
        self.send_orders();
        for node in self.desired_state.take_forgotten() {
            self.counters.add("nodes forgotten", 1);
            self.names.remove(node);
        }
        self.update_requests();
        self.log_notes();
        self.send_datagrams();
        let wake = self.next_wake();
        self.effects.extend(wake.map(Effect::WakeAt));
        std::mem::take(&mut self.effects)
    }

    /// Sends the turn's messages to proxies, and tells the decision module how many lines they occupy.
    fn send_orders(&mut self) {
        let mut lines = 0.0;
        let mut proxies = 0;
        let version = self.applied_list_version;
        let messages = self.desired_state.close_turn(self.now, version, &self.names, &mut self.counters);
        for (conns, message) in messages {
            proxies += conns.len();
            lines += conns.len() as f64 * (message.cost() as f64 + self.message_overhead_lines);
            self.effects.push(Effect::SendMessage(conns, message));
        }
        // The module's estimate is corrected by what is written: it does not know which nodes are restored, and
        // which proxies are told of a withdrawal.
        self.balance.record_written_lines(lines, proxies);
    }

    /// Logs the notes of the decision module, each with the name of its node.
    fn log_notes(&mut self) {
        for (node, text) in std::mem::take(&mut self.desired_state.notes) {
            let name = node.and_then(|node| self.names.name(node));
            let prefix = name.map(|name| format!("{name} ")).unwrap_or_default();
            self.effects.push(Effect::Log(LogLevel::Info, prefix + &text));
        }
    }

    /// Passes on the effects that the decision module ordered directly, among them datagrams to peers.
    fn send_datagrams(&mut self) {
        let effects = std::mem::take(&mut self.desired_state.effects);
        let datagrams = effects.iter().filter(|effect| matches!(effect, Effect::SendDatagram(..))).count();
        if datagrams > 0 {
            self.counters.add("datagrams ordered", datagrams as u64);
        }
        self.effects.extend(effects);
    }

    /// Returns when the next turn is due at the latest, if at all.
    fn next_wake(&self) -> Option<Time> {
        let timer = self.desired_state.timers.first().copied();
        timer.into_iter().chain(self.discovery.next_due()).chain(self.next_join_deadline()).min()
    }

    /// Logs a warning, or only counts it once the window's limit is reached.
    fn warn(&mut self, text: String) {
        if self.now >= self.warning_window_start + limits::WARNING_WINDOW {
            self.warning_window_start = self.now;
            self.warnings_in_window = 0;
        }
        self.warnings_in_window += 1;
        if self.warnings_in_window <= limits::MAX_WARNINGS {
            self.effects.push(Effect::Log(LogLevel::Warning, text));
        } else {
            self.counters.add("log lines left out", 1);
        }
    }
}

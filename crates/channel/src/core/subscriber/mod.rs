//! The subscriber, which a dispatcher embeds: which tables it applies and how it may route by them.
//!
//! It holds one table. A table older than an applied one is never applied. An incoming update is assembled beside
//! the current table and replaces it completely or not at all. While the table is not known to be current,
//! exchanges that may safely run twice are routed by it all the same; others are held back for a while and then
//! refused at once.

mod events;
mod lines;
mod streams;

use std::collections::BTreeMap;

use oatpitch::interface::Time;
use oatpitch_state::counters::Counters;

use super::line::*;
use super::order::{Position, PositionHistory, TableOrder};
use super::table::Table;

pub use self::events::{Action, Route, State, StreamAttempt, StreamError, StreamEvent, SubscriberSettings};

/// An update of which some parts are still to come.
#[derive(Clone, Debug)]
struct PartialUpdate {
    update: TableUpdate,
    next_part: u32,
    part_count: u32,
}

/// A table that may not be applied yet, kept up to date beside the current one.
#[derive(Clone, Debug)]
struct CandidateTable {
    position: Position,
    table: Table,
    /// Marks to acknowledge once the table is applied.
    marks: Vec<u16>,
    order: TableOrder,
    since: Time,
}

/// What the open stream has reported about itself.
#[derive(Clone, Debug)]
struct OpenStream {
    welcome: Welcome,
    /// Whether its updates have been applied up to the latest.
    caught_up: bool,
    /// Whether its tables are the conductor's latest.
    live: bool,
    /// How far its epoch has come without a further change of the current table.
    latest: Revision,
}

/// The subscriber's state machine.
#[derive(Clone, Debug)]
pub struct Subscriber {
    settings: SubscriberSettings,
    host_count: usize,
    host_index: usize,
    attempt: StreamAttempt,
    /// Whether a stream is being opened or is open.
    stream_active: bool,
    /// The open stream, once its welcome has come.
    stream: Option<OpenStream>,
    last_heard: Time,
    last_alive_sent: Time,
    consecutive_failures: u32,
    history: PositionHistory,
    table: Table,
    /// Nodes withdrawn ahead of the table, each until a table of its revision is applied.
    withdrawn_ahead: BTreeMap<Name, Revision>,
    classes: Vec<Name>,
    non_idempotent: BTreeMap<Name, bool>,
    candidate: Option<CandidateTable>,
    partial_update: Option<PartialUpdate>,
    /// Marks of applied updates that are to be acknowledged.
    pending_marks: Vec<u16>,
    state: State,
    /// When the state last ceased to be current.
    not_current_since: Time,
    now: Time,
    random: fastrand::Rng,
    pub counters: Counters,
}

impl Subscriber {
    /// Starts to follow one of `hosts` hosts, at least one. The first action is to connect.
    pub fn new(
        now: Time,
        settings: SubscriberSettings,
        hosts: usize,
        seed: u64,
    ) -> (Subscriber, Vec<Action>) {
        let mut subscriber = Subscriber {
            settings,
            host_count: hosts.max(1),
            host_index: 0,
            attempt: StreamAttempt(0),
            stream_active: false,
            stream: None,
            last_heard: now,
            last_alive_sent: now,
            consecutive_failures: 0,
            history: PositionHistory::default(),
            table: Table::default(),
            withdrawn_ahead: BTreeMap::new(),
            classes: Vec::new(),
            non_idempotent: BTreeMap::new(),
            candidate: None,
            partial_update: None,
            pending_marks: Vec::new(),
            state: State::Joining,
            not_current_since: now,
            now,
            random: fastrand::Rng::with_seed(seed),
            counters: Counters::default(),
        };
        let action = subscriber.connect(now);
        (subscriber, vec![action])
    }

    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the position of the current table.
    pub fn position(&self) -> Option<&Position> {
        self.history.current()
    }

    /// Returns the latest revision that the current table is known to stand for: its own, or a later one of its epoch that
    /// its publisher has come to without a change of it.
    pub fn latest_revision(&self) -> Revision {
        let own = self.history.current().map_or(Revision::default(), |current| current.revision);
        self.stream.as_ref().map_or(own, |open| own.max(open.latest))
    }

    /// Returns the current table, without the nodes withdrawn ahead of it.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the classes of the current table.
    pub fn classes(&self) -> Vec<ClassTerms> {
        let terms =
            |name: &Name| ClassTerms { name: name.clone(), non_idempotent: self.is_non_idempotent(name) };
        self.classes.iter().map(terms).collect()
    }

    fn is_non_idempotent(&self, class: &str) -> bool {
        // An unknown class counts as non-idempotent, which is the safe assumption.
        self.non_idempotent.get(class).copied().unwrap_or(true)
    }

    /// Returns when the subscriber must get a [`StreamEvent::Tick`] at the latest.
    pub fn next_deadline(&self) -> Time {
        let silence_deadline = self.last_heard + self.silence_timeout();
        let heartbeat_interval = self
            .stream
            .as_ref()
            .map_or(self.settings.silence_timeout, |open| open.welcome.heartbeat_interval);
        let deadline = silence_deadline.min(self.last_alive_sent + heartbeat_interval);
        self.unordered_deadline().map_or(deadline, |unordered| deadline.min(unordered))
    }

    /// Returns when a candidate table without order is applied.
    fn unordered_deadline(&self) -> Option<Time> {
        let candidate =
            self.candidate.as_ref().filter(|candidate| candidate.order == TableOrder::Unordered)?;
        Some(candidate.since + self.settings.unordered_timeout)
    }

    fn silence_timeout(&self) -> Time {
        self.stream.as_ref().map_or(self.settings.silence_timeout, |open| open.welcome.silence_timeout)
    }

    /// Routes an exchange of a class to a node at random, in proportion to the weights of the current table.
    /// `random` is a random number below 1.
    pub fn route(&self, now: Time, class: &str, random: f64) -> Route {
        if self.state != State::Current && self.is_non_idempotent(class) {
            let until = self.not_current_since + self.settings.effects_timeout;
            return if now < until { Route::Held(until) } else { Route::Refused };
        }
        let total_weight: f64 = self.routable_lines(class).map(|(_, weight)| f64::from(weight)).sum();
        let mut remaining = random * total_weight;
        let mut last = None;
        for (node, weight) in self.routable_lines(class) {
            last = Some(node);
            remaining -= f64::from(weight);
            if remaining < 0.0 {
                break;
            }
        }
        last.map_or(Route::Refused, |node| Route::Node(node.clone()))
    }

    /// Returns the highest revision of the nodes withdrawn ahead of the table.
    pub fn withdrawn_ahead_revision(&self) -> Revision {
        self.withdrawn_ahead.values().copied().max().unwrap_or_default()
    }

    /// Returns the lines that exchanges of a class may be routed to, with their weights.
    pub fn routable_lines(&self, class: &str) -> impl Iterator<Item = (&Name, f32)> {
        self.table.routable_lines(class).filter(|(node, _)| !self.withdrawn_ahead.contains_key(*node))
    }

    /// Handles an event of an attempt at a stream. Events of earlier attempts are ignored, but time passes.
    pub fn handle(&mut self, now: Time, attempt: StreamAttempt, event: StreamEvent) -> Vec<Action> {
        self.now = self.now.max(now);
        let mut actions = Vec::new();
        match event {
            StreamEvent::Tick => {}
            _ if attempt != self.attempt => self.counters.add("lines of earlier streams", 1),
            StreamEvent::Line(line) => {
                self.last_heard = self.now;
                if let Err(error) = self.handle_line(line, &mut actions) {
                    self.abandon_stream(&error, &mut actions);
                }
            }
            StreamEvent::Undecodable(error) => {
                self.counters.add("lines refused", 1);
                self.abandon_stream(&StreamError::Undecodable(error), &mut actions);
            }
            StreamEvent::Closed(cause) => {
                if self.stream_active {
                    self.stream_active = false;
                    self.handle_stream_loss(cause, &mut actions);
                }
            }
        }
        self.check_timers(&mut actions);
        self.update_state(None, &mut actions);
        actions
    }

    /// Does what is due by the passage of time.
    fn check_timers(&mut self, actions: &mut Vec<Action>) {
        if self.stream_active && self.now >= self.last_heard + self.silence_timeout() {
            self.counters.add("silent streams", 1);
            self.abandon_stream(&StreamError::Silent, actions);
        }
        if self.unordered_deadline().is_some_and(|deadline| self.now >= deadline) {
            self.counters.add("tables taken without order", 1);
            self.apply_candidate(actions);
        }
        let is_due = |open: &OpenStream| self.now >= self.last_alive_sent + open.welcome.heartbeat_interval;
        if let Some(open) = self.stream.as_ref().filter(|open| is_due(open) || !self.pending_marks.is_empty())
        {
            let marks = std::mem::take(&mut self.pending_marks);
            let point = self.history.current().map(Position::point);
            actions.push(Action::SendAlive { session: open.welcome.session, point, marks });
            self.last_alive_sent = self.now;
        }
    }
}

impl Subscriber {
    /// Returns the state that results from the stream and the tables, with the reason.
    fn compute_state(&self) -> (State, &'static str) {
        let order = self.candidate.as_ref().map(|candidate| candidate.order);
        match (&self.stream, order) {
            (_, Some(TableOrder::Behind)) => {
                (State::Behind, "the conductor's list is older than that of the current table")
            }
            (_, Some(TableOrder::Unordered)) => (State::Unordered, "the conductor uses another list"),
            _ if self.history.current().is_none() => (State::Joining, "no table yet"),
            (None, _) => (State::Stale, "no stream"),
            (Some(open), _) if !open.live => (State::Stale, "the relay is cut off from its origin"),
            (Some(open), _) if open.caught_up => (State::Current, "caught up"),
            (Some(_), _) => (State::CatchingUp, "a stream is open"),
        }
    }

    /// Reports a change of the state. A `cause` that is not empty replaces the state's own reason.
    fn update_state(&mut self, cause: Option<String>, actions: &mut Vec<Action>) {
        let (to, default_reason) = self.compute_state();
        if to == self.state {
            return;
        }
        let from = std::mem::replace(&mut self.state, to);
        if from == State::Current {
            self.not_current_since = self.now;
        }
        let reason = cause.filter(|cause| !cause.is_empty()).unwrap_or_else(|| default_reason.to_string());
        actions.push(Action::StateChanged { from, to, reason });
    }
}

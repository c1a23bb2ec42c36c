//! The subscriber, which a dispatcher embeds: which tables it applies and how it may route by them.
//!
//! It holds one table. A table older than an applied one is never applied. An incoming update is assembled beside
//! the current table and replaces it completely or not at all. While the table is not known to be current,
//! exchanges that may safely run twice are routed by it all the same; others are held back for a while and then
//! refused at once.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use oatpitch::interface::Time;
use oatpitch_state::counters::Counters;

use super::codec::DecodeError;
use super::line::*;
use super::order::{Position, PositionHistory, TableOrder};
use super::table::Table;

/// The operator's settings for a subscriber.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubscriberSettings {
    /// How long non-idempotent exchanges are held back before they are refused at once.
    pub effects_timeout: Time,
    /// How long the current table is kept while the stream's table has no order with it.
    pub unordered_timeout: Time,
    /// The delay before the first reconnection.
    pub min_retry_delay: Time,
    /// The maximum that the delay before a reconnection grows to.
    pub max_retry_delay: Time,
    /// How long a stream may be silent before its welcome states a timeout.
    pub silence_timeout: Time,
}

/// How the current table relates to the conductor's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// No table has been applied yet.
    Joining,
    /// A stream is open and its updates have not been applied up to the latest.
    CatchingUp,
    /// The table is the conductor's latest.
    Current,
    /// The stream's conductor has an older version of the list than the current table.
    Behind,
    /// The stream's conductor has another list, which has no order with that of the current table.
    Unordered,
    /// There is no stream, or it comes from a relay that is cut off from its origin.
    Stale,
}

impl Display for State {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            State::Joining => "joining",
            State::CatchingUp => "catching-up",
            State::Current => "current",
            State::Behind => "behind",
            State::Unordered => "unordered",
            State::Stale => "stale",
        })
    }
}

/// The number of an attempt at a stream. Only events of the latest attempt count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamAttempt(pub u64);

/// An input of the subscriber.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEvent {
    Line(Line),
    Undecodable(DecodeError),
    /// The stream ended or could not be opened, with the cause.
    Closed(String),
    /// Time has passed.
    Tick,
}

/// Why a stream can't be continued.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamError {
    /// The stream was silent for too long.
    Silent,
    /// The publisher ended the stream.
    Ended(EndReason),
    Undecodable(DecodeError),
    SecondWelcome,
    BeforeWelcome,
    OtherEpoch,
    /// A part of an update came without the parts before it.
    MissingPart,
    /// An update is larger than the limit.
    UpdateTooLarge,
    /// A change refers to a table that the subscriber does not have.
    UnknownTable,
    /// A change is not based on the latest revision that came.
    MissingChange,
    /// The stream's table is older than the current one.
    OlderTable,
    /// A heartbeat names a table that never came.
    HeartbeatOfUnknownTable,
    /// A heartbeat names a revision that never came.
    HeartbeatOfUnknownRevision,
}

impl Display for StreamError {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            StreamError::Ended(reason) => return write!(to, "the other end is {reason}"),
            StreamError::Undecodable(error) => return error.fmt(to),
            StreamError::Silent => "nothing received within the silence timeout",
            StreamError::SecondWelcome => "received a second welcome",
            StreamError::BeforeWelcome => "received a line before the welcome",
            StreamError::OtherEpoch => "received a line of another epoch",
            StreamError::MissingPart => "received a part of an update without the parts before it",
            StreamError::UpdateTooLarge => "received an update of too many lines",
            StreamError::UnknownTable => "received a change of an unknown table",
            StreamError::MissingChange => "a change is missing",
            StreamError::OlderTable => "the stream's table is older than the current one",
            StreamError::HeartbeatOfUnknownTable => "received a heartbeat of a table that never came",
            StreamError::HeartbeatOfUnknownRevision => "received a heartbeat of a revision that never came",
        })
    }
}

/// What the host of a subscriber must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a stream.
    Connect {
        attempt: StreamAttempt,
        /// When to connect.
        at: Time,
        /// The index of the host among those followed; hosts are tried in turn.
        host_index: usize,
        /// The table that the subscriber has, for the publisher to resume from.
        resume: Option<FeedPoint>,
    },
    /// Close the stream of an attempt.
    Disconnect(StreamAttempt),
    /// Report that the subscriber is alive.
    SendAlive {
        session: u64,
        point: Option<FeedPoint>,
        /// The marks whose updates have been applied.
        marks: Vec<u16>,
    },
    /// A table was applied.
    Applied,
    /// Nodes were withdrawn ahead of the table.
    Withdrawn(Vec<Name>),
    /// The state has changed.
    StateChanged { from: State, to: State, reason: String },
}

/// Where an exchange may go.
#[derive(Clone, Debug, PartialEq)]
pub enum Route {
    Node(Name),
    /// Hold the exchange back, at most until this time.
    Held(Time),
    /// Refuse the exchange at once.
    Refused,
}

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

/// The maximum number of marks to acknowledge at once; a publisher requests one at a time.
const MAX_PENDING_MARKS: usize = 16;

/// The maximum size of an update in lines, so that its assembly is bounded.
const MAX_UPDATE_COST: usize = 1_000_000;

/// The maximum number of doublings of the delay before a reconnection.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// The part of the delay that is used for the first reconnection after a stream that had caught up.
const FIRST_RETRY_DIVISOR: u64 = 8;

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

    /// Closes a stream that can't be continued, and opens another one.
    fn abandon_stream(&mut self, error: &StreamError, actions: &mut Vec<Action>) {
        if self.stream_active {
            self.stream_active = false;
            actions.push(Action::Disconnect(self.attempt));
            self.handle_stream_loss(error.to_string(), actions);
        }
    }

    /// Clears what belongs to the lost stream, and orders a reconnection after a delay.
    fn handle_stream_loss(&mut self, cause: String, actions: &mut Vec<Action>) {
        self.counters.add("streams lost", 1);
        let before = self.state;
        let had_caught_up = self.stream.take().is_some_and(|open| open.caught_up);
        self.partial_update = None;
        self.candidate = None;
        self.pending_marks.clear();
        if had_caught_up {
            self.consecutive_failures = 0;
        } else {
            self.consecutive_failures = self.consecutive_failures.saturating_add(1);
            // Tries another host next, as this one was of no use.
            self.host_index = (self.host_index + 1) % self.host_count;
        }
        self.update_state(Some(cause), actions);
        debug_assert!(self.state != State::Current, "current without a stream, after {before:?}");
        let delay = self.retry_delay(had_caught_up);
        let action = self.connect(self.now + delay);
        actions.push(action);
    }

    /// Returns the delay before the next connection: exponential, with jitter of up to a half. It is short for
    /// the first connection after a stream that had caught up.
    fn retry_delay(&mut self, had_caught_up: bool) -> Time {
        let min_delay = self.settings.min_retry_delay.0;
        let max_delay = self.settings.max_retry_delay.0.max(min_delay);
        let backoff = min_delay << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let delay = (backoff.min(max_delay) as f64 * (0.5 + 0.5 * self.random.f64())) as u64;
        Time(if had_caught_up { delay / FIRST_RETRY_DIVISOR } else { delay })
    }

    /// Starts the next attempt at a stream.
    fn connect(&mut self, at: Time) -> Action {
        self.attempt = StreamAttempt(self.attempt.0 + 1);
        self.stream_active = true;
        self.last_heard = at;
        self.last_alive_sent = at;
        let resume = self.history.current().map(Position::point);
        Action::Connect { attempt: self.attempt, at, host_index: self.host_index, resume }
    }
}

// ---- Lines ----

impl Subscriber {
    fn handle_line(&mut self, line: Line, actions: &mut Vec<Action>) -> Result<(), StreamError> {
        let line = match (line, &self.stream) {
            (Line::Welcome(welcome), None) => {
                self.handle_welcome(welcome);
                return Ok(());
            }
            (Line::Welcome(_), Some(_)) => return Err(StreamError::SecondWelcome),
            (Line::End(reason), _) => return Err(StreamError::Ended(reason)),
            (_, None) => return Err(StreamError::BeforeWelcome),
            (line, Some(_)) => line,
        };
        let epoch = match &line {
            Line::Fragment(fragment) => &fragment.point.epoch,
            Line::Withdrawal(withdrawal) => &withdrawal.epoch,
            Line::Heartbeat(heartbeat) => &heartbeat.epoch,
            Line::Welcome(_) | Line::End(_) => return Ok(()),
        };
        if self.stream.as_ref().is_some_and(|open| open.welcome.epoch != *epoch) {
            return Err(StreamError::OtherEpoch);
        }
        match line {
            Line::Fragment(fragment) => self.handle_fragment(fragment, actions),
            Line::Withdrawal(withdrawal) => {
                self.handle_withdrawal(withdrawal, actions);
                Ok(())
            }
            Line::Heartbeat(heartbeat) => self.handle_heartbeat(&heartbeat, actions),
            Line::Welcome(_) | Line::End(_) => Ok(()),
        }
    }

    fn handle_welcome(&mut self, welcome: Welcome) {
        self.counters.add("welcomes", 1);
        self.stream = Some(OpenStream { welcome, caught_up: false, live: true, latest: Revision::default() });
        self.last_alive_sent = self.now;
    }

    /// Adds a fragment to the update that is being assembled, and applies the update once it is complete.
    fn handle_fragment(
        &mut self,
        fragment: UpdateFragment,
        actions: &mut Vec<Action>,
    ) -> Result<(), StreamError> {
        let UpdateFragment { point, base, roster, part_number, part_count, part, mark } = fragment;
        let continues = |partial: &PartialUpdate| {
            let update = &partial.update;
            partial.next_part == part_number
                && partial.part_count == part_count
                && update.point == point
                && update.base == base
                && update.roster == roster
        };
        let mut partial = match self.partial_update.take() {
            Some(partial) if continues(&partial) => partial,
            abandoned => {
                if abandoned.is_some() {
                    // An update is applied completely or not at all, so that its parts are dropped.
                    self.counters.add("steps never ended", 1);
                }
                if part_number != 1 {
                    return Err(StreamError::MissingPart);
                }
                let update = TableUpdate { point, base, roster, parts: Vec::new(), mark: None };
                PartialUpdate { update, next_part: 1, part_count }
            }
        };
        partial.update.parts.push(part);
        partial.update.mark = mark.or(partial.update.mark);
        if partial.update.cost() > MAX_UPDATE_COST {
            return Err(StreamError::UpdateTooLarge);
        }
        if part_number < part_count {
            partial.next_part += 1;
            self.partial_update = Some(partial);
            return Ok(());
        }
        self.handle_update(partial.update, actions)
    }

    /// Handles a complete update.
    fn handle_update(&mut self, update: TableUpdate, actions: &mut Vec<Action>) -> Result<(), StreamError> {
        let Some(open) = self.stream.as_ref() else { return Ok(()) };
        let offered = Position {
            epoch: update.point.epoch,
            feed: update.point.feed,
            revision: update.point.revision,
            lineage: open.welcome.lineage.clone(),
            roster: update.roster,
        };
        let classes: Vec<Name> = open.welcome.classes.iter().map(|terms| terms.name.clone()).collect();
        let Some(base) = update.base else {
            let mut table = Table::default();
            table.apply(&update.parts, &classes);
            let marks = update.mark.into_iter().collect();
            return self.consider_table(offered, table, marks, true, actions);
        };
        // A change builds on the latest table that this stream brought, whether or not it was applied.
        let no_marks = Vec::new();
        let latest = match &self.candidate {
            Some(candidate) => Some((&candidate.position, &candidate.table, &candidate.marks)),
            None => self.history.current().map(|current| (current, &self.table, &no_marks)),
        };
        let is_same_feed = |(position, ..): &(&Position, &Table, &Vec<u16>)| {
            position.epoch == offered.epoch && position.feed == offered.feed
        };
        let Some((position, table, marks)) = latest.filter(is_same_feed) else {
            return Err(StreamError::UnknownTable);
        };
        if offered.revision <= position.revision {
            self.counters.add("steps had before", 1);
            return Ok(());
        }
        if base != position.revision {
            return Err(StreamError::MissingChange);
        }
        let mut table = table.clone();
        table.apply(&update.parts, &classes);
        let mut marks = marks.clone();
        marks.extend(update.mark);
        self.consider_table(offered, table, marks, false, actions)
    }

    /// Applies a table, keeps it as the candidate, or drops it, according to its order.
    fn consider_table(
        &mut self,
        position: Position,
        table: Table,
        marks: Vec<u16>,
        is_snapshot: bool,
        actions: &mut Vec<Action>,
    ) -> Result<(), StreamError> {
        let order = self.history.compare(&position);
        // A snapshot is always the latest state. After a resumption only a heartbeat shows whether a change is.
        if let Some(open) = self.stream.as_mut().filter(|_| is_snapshot && order != TableOrder::Older) {
            open.caught_up = true;
        }
        match order {
            TableOrder::Newer => {
                let since = self.now;
                self.candidate = Some(CandidateTable { position, table, marks, order, since });
                self.apply_candidate(actions);
            }
            TableOrder::Same => {
                self.counters.add("steps had before", 1);
                self.candidate = None;
            }
            TableOrder::Older => {
                self.counters.add("older tables refused", 1);
                return Err(StreamError::OlderTable);
            }
            TableOrder::Behind | TableOrder::Unordered => {
                let previous = self.candidate.take().filter(|candidate| candidate.order == order);
                if previous.is_none() {
                    let counter =
                        if order == TableOrder::Behind { "tables behind" } else { "tables without order" };
                    self.counters.add(counter, 1);
                }
                let since = previous.map_or(self.now, |candidate| candidate.since);
                self.candidate = Some(CandidateTable { position, table, marks, order, since });
            }
        }
        Ok(())
    }

    /// Replaces the current table with the candidate.
    fn apply_candidate(&mut self, actions: &mut Vec<Action>) {
        let Some(candidate) = self.candidate.take() else { return };
        self.counters.add("tables applied", 1);
        if self.history.current().is_some_and(|current| current.epoch != candidate.position.epoch) {
            self.counters.add("moves to another epoch", 1);
        }
        let epoch = &candidate.position.epoch;
        let revision = candidate.position.revision;
        let is_same_epoch = self.history.current().is_some_and(|current| current.epoch == *epoch);
        self.withdrawn_ahead.retain(|_, withdrawn_at| is_same_epoch && *withdrawn_at > revision);
        self.history.record(candidate.position);
        self.table = candidate.table;
        self.pending_marks.extend(candidate.marks);
        let excess = self.pending_marks.len().saturating_sub(MAX_PENDING_MARKS);
        self.pending_marks.drain(..excess);
        if let Some(open) = self.stream.as_mut() {
            let terms = &open.welcome.classes;
            self.classes = terms.iter().map(|terms| terms.name.clone()).collect();
            self.non_idempotent =
                terms.iter().map(|terms| (terms.name.clone(), terms.non_idempotent)).collect();
        }
        actions.push(Action::Applied);
    }

    /// Applies a withdrawal ahead of queued changes, if the sender's tables may be applied. A sender that is behind
    /// may withdraw a node that has long been restored.
    fn handle_withdrawal(&mut self, withdrawal: Withdrawal, actions: &mut Vec<Action>) {
        let Some(current) = self.history.current() else { return };
        let is_old = current.epoch != withdrawal.epoch || withdrawal.revision < current.revision;
        if self.candidate.is_some() || is_old {
            self.counters.add("withdrawals not taken", 1);
            return;
        }
        self.counters.add("withdrawals taken", 1);
        if withdrawal.revision > current.revision {
            let nodes = withdrawal.nodes.iter().map(|node| (node.clone(), withdrawal.revision));
            self.withdrawn_ahead.extend(nodes);
        }
        actions.push(Action::Withdrawn(withdrawal.nodes));
    }

    fn handle_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) -> Result<(), StreamError> {
        if let Some(open) = self.stream.as_mut() {
            open.live = heartbeat.live;
        }
        let Some((feed, revision)) = heartbeat.position else { return Ok(()) };
        let is_same_feed = |position: &Position| position.epoch == heartbeat.epoch && position.feed == feed;
        if let Some(candidate) = &mut self.candidate {
            if !is_same_feed(&candidate.position) || candidate.position.revision < revision {
                return Err(StreamError::HeartbeatOfUnknownRevision);
            }
            if candidate.position.revision == revision {
                candidate.position.roster = candidate.position.roster.max(heartbeat.roster);
                if self.history.compare(&candidate.position) == TableOrder::Newer {
                    self.apply_candidate(actions);
                }
            }
            return Ok(());
        }
        let Some(current) = self.history.current().filter(|current| is_same_feed(current)) else {
            return Err(StreamError::HeartbeatOfUnknownTable);
        };
        match revision.cmp(&current.revision) {
            Ordering::Greater => Err(StreamError::HeartbeatOfUnknownRevision),
            Ordering::Less => Ok(()),
            Ordering::Equal => {
                self.history.raise_roster(heartbeat.roster);
                if let Some(open) = &mut self.stream {
                    open.caught_up = true;
                    open.latest = open.latest.max(heartbeat.latest.unwrap_or_default());
                }
                Ok(())
            }
        }
    }
}

// ---- States ----

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

//! What a subscriber is told, what it asks its host to do, and the states that it reports.

use std::fmt::{self, Display, Formatter};

use oatpitch::interface::Time;

use crate::core::codec::DecodeError;
use crate::core::line::*;

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

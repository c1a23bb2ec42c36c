//! The publisher: feeds with their tables and a bounded history, and what each follower is sent next.
//!
//! Followers have no queues. Each has a position in the history of its feed, so that a stalled follower holds no
//! memory, and a change is encoded once for all followers.

mod catch_up;
mod feed;
mod followers;
mod output;
mod relay;
mod turns;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use oatpitch::interface::{ProxyId, Time, ZoneId};
use oatpitch_state::ConnectionId;
use oatpitch_state::counters::Counters;
use oatpitch_state::message::Binding;

use self::catch_up::CatchUpBudget;
use self::feed::Feed;
use self::turns::PendingChange;
use super::codec::Codec;
use super::line::*;

/// The operator's limits for a publisher.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// How many lines may wait for a follower before they are dropped and a snapshot takes their place.
    pub max_waiting_lines: usize,
    /// The maximum number of revisions in the history of a feed.
    pub max_revisions: usize,
    /// The maximum number of bytes in the history of a feed.
    pub max_history_bytes: usize,
    /// How many lines of snapshots are sent per second, over all followers.
    pub catch_up_lines_per_second: u64,
    pub heartbeat_interval: Time,
    /// How long a follower may be silent before its stream is ended.
    pub silence_timeout: Time,
    /// How long a follower without a stream is kept.
    pub linger: Time,
}

/// A stream to a follower. A follower may replace its stream with a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// A subscriber's request to follow.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowRequest {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    /// The proxy's exchanges per second.
    pub rate: f64,
    /// Whether the subscriber has no table yet.
    pub fresh: bool,
    /// The table that the subscriber has.
    pub resume: Option<FeedPoint>,
    /// What the subscriber states about itself, by name.
    pub tags: BTreeMap<String, String>,
}

/// What the host of a publisher must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Register a new follower as a proxy on this connection.
    Join(ConnectionId, FollowRequest),
    /// Remove a follower.
    Leave(ConnectionId),
    /// Take a mark as acknowledged. The time is how long the acknowledgement took.
    Acknowledged(ConnectionId, ProxyId, u16, Time),
    /// Poll the stream, which may have something to send.
    Wake(StreamId),
}

/// What a stream sends next.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamOutput {
    Send(Bytes),
    /// Nothing now; an [`Action::Wake`] follows when there is something.
    Wait,
    /// These bytes, then the end of the stream.
    Last(Bytes),
    End,
}

/// A follower's report that it is alive.
#[derive(Clone, Debug, PartialEq)]
pub struct AliveReport {
    pub session: u64,
    /// The marks whose updates the follower has applied.
    pub marks: Vec<u16>,
}

/// The numbers of followers and feeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerCounts {
    pub followers: usize,
    pub without_stream: usize,
    pub feeds: usize,
}

#[derive(Debug)]
struct Follower {
    proxy: ProxyId,
    zone: ZoneId,
    session: u64,
    /// The open stream; `None` while it is broken.
    stream: Option<StreamId>,
    /// When the stream broke.
    broken_since: Option<Time>,
    last_heard: Time,
    /// The feed that the follower is bound to.
    feed: Option<FeedId>,
    /// The revision of the epoch up to which everything was sent; `None` if a snapshot is needed.
    sent_revision: Option<Revision>,
    /// The table that the follower had when it came, until it is bound to a feed.
    resume_point: Option<FeedPoint>,
    /// The last revision whose withdrawn nodes were sent to the follower, ahead of waiting changes or with them. The
    /// default until a table was sent or resumed from.
    withdrawals_sent_through: Revision,
    /// Nodes to withdraw ahead of the follower's tables.
    urgent_withdrawals: BTreeSet<Name>,
    /// The revision that withdraws the urgent nodes.
    urgent_revision: Revision,
    welcomed: bool,
    /// When a table or a heartbeat was last sent.
    heartbeat_from: Time,
    /// Whether to send a heartbeat at once, for instance to show the follower that it has caught up.
    heartbeat_owed: bool,
    /// Whether the follower waits for the budget of snapshot lines.
    awaits_budget: bool,
}

/// The publisher's state machine.
pub struct Publisher<C> {
    codec: C,
    limits: Limits,
    epoch: Epoch,
    lineage: Name,
    classes: Vec<ClassTerms>,
    class_names: Vec<Name>,
    /// The version of the list of nodes that all published tables reflect.
    roster_version: u64,
    /// Whether the published tables are the conductor's latest.
    live: bool,
    /// How far the epoch has come, over all its feeds.
    revision: Revision,
    /// The revision of the turn whose messages are being added.
    turn_revision: Revision,
    feeds: BTreeMap<FeedId, Feed>,
    bindings: BTreeMap<Binding, FeedId>,
    last_feed_number: u32,
    pending: BTreeMap<FeedId, PendingChange>,
    /// Whether this turn has messages; followers are examined only then.
    has_messages: bool,
    followers: BTreeMap<ConnectionId, Follower>,
    proxies: BTreeMap<ProxyId, ConnectionId>,
    streams: BTreeMap<StreamId, ConnectionId>,
    sessions: BTreeMap<u64, ConnectionId>,
    /// Streams to be ended, with the reasons.
    ending_streams: BTreeMap<StreamId, EndReason>,
    /// When the latest marks were published.
    mark_times: VecDeque<(u16, Time)>,
    catch_up_budget: CatchUpBudget,
    random: fastrand::Rng,
    pub counters: Counters,
}

impl<C: Codec> Publisher<C> {
    /// Returns a publisher without feeds. Session numbers are random, from the seed.
    pub fn new(
        codec: C,
        limits: Limits,
        epoch: Epoch,
        lineage: Name,
        classes: Vec<ClassTerms>,
        seed: u64,
    ) -> Self {
        Publisher {
            codec,
            catch_up_budget: CatchUpBudget::new(limits.catch_up_lines_per_second),
            limits,
            epoch,
            lineage,
            class_names: classes.iter().map(|terms| terms.name.clone()).collect(),
            classes,
            roster_version: 0,
            live: true,
            revision: Revision::default(),
            turn_revision: Revision::default(),
            feeds: BTreeMap::new(),
            bindings: BTreeMap::new(),
            last_feed_number: 0,
            pending: BTreeMap::new(),
            has_messages: false,
            followers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            streams: BTreeMap::new(),
            sessions: BTreeMap::new(),
            ending_streams: BTreeMap::new(),
            mark_times: VecDeque::new(),
            random: fastrand::Rng::with_seed(seed),
            counters: Counters::default(),
        }
    }

    /// Returns the codec.
    pub fn codec(&self) -> &C {
        &self.codec
    }

    /// Returns the epoch of the published tables.
    pub fn epoch(&self) -> &Epoch {
        &self.epoch
    }

    /// Returns the limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns whether a connection belongs to a follower.
    pub fn is_follower(&self, conn: ConnectionId) -> bool {
        self.followers.contains_key(&conn)
    }

    /// Returns the numbers of followers and feeds.
    pub fn follower_counts(&self) -> FollowerCounts {
        FollowerCounts {
            followers: self.followers.len(),
            without_stream: self.followers.values().filter(|follower| follower.stream.is_none()).count(),
            feeds: self.feeds.len(),
        }
    }

    /// Returns an action for each open stream.
    fn wake_all(&self) -> Vec<Action> {
        self.followers.values().filter_map(|follower| follower.stream.map(Action::Wake)).collect()
    }
}

//! The lines of the channel as typed values; a codec turns them into bytes and back.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use oatpitch::interface::Time;
pub use oatpitch_state::message::{Level, Name};

/// The protocol version that this crate speaks.
pub const VERSION: u32 = 1;

/// One run of a conductor. A conductor starts a new epoch with each restart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch {
    pub conductor: Name,
    /// When the run started, in tenths of a millisecond since 1970.
    pub started_at: u64,
}

impl Epoch {
    /// Parses the written form: the conductor's name, a hyphen, and the start time in hexadecimal digits. The
    /// last hyphen separates the two.
    pub fn parse(text: &str) -> Option<Epoch> {
        let (conductor, started_at) = text.rsplit_once('-')?;
        let started_at = u64::from_str_radix(started_at, 16).ok()?;
        (!conductor.is_empty()).then(|| Epoch { conductor: conductor.into(), started_at })
    }
}

impl Display for Epoch {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        write!(to, "{}-{:x}", self.conductor, self.started_at)
    }
}

/// A feed: the tables shared by all subscribers that are bound to the same tables. Numbered within an epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FeedId(pub u32);

/// The number of a feed's state. Revisions grow within an epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// A state of a feed, from which a subscriber can resume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedPoint {
    pub epoch: Epoch,
    pub feed: FeedId,
    pub revision: Revision,
}

/// A class of exchanges and whether its exchanges may run twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassTerms {
    pub name: Name,
    /// Whether repeating an exchange has an effect. Such exchanges are held back while the table is not current.
    pub non_idempotent: bool,
}

/// The first line of every stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Welcome {
    pub version: u32,
    pub epoch: Epoch,
    /// The list of nodes within which versions are compared.
    pub lineage: Name,
    /// The number by which the subscriber identifies itself from now on.
    pub session: u64,
    pub classes: Vec<ClassTerms>,
    /// How often both ends show that they are alive.
    pub heartbeat_interval: Time,
    /// How long an end may be silent before the other one gives it up.
    pub silence_timeout: Time,
}

/// One part of a snapshot or a change. It changes only what it names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part {
    /// The classes that it applies to; empty for all.
    pub classes: Vec<Name>,
    /// Whether the lines replace the whole table of these classes and remove their levels.
    pub whole: bool,
    /// Nodes and their weights; a weight of 0 removes the node's line.
    pub lines: Vec<(Name, f32)>,
    pub level: Option<Level>,
    /// Nodes that must not be used, whatever lines they have.
    pub withdrawn: Vec<Name>,
    /// Nodes that may be used again.
    pub restored: Vec<Name>,
}

impl Part {
    /// Returns the size of the part in lines, for the limits on waiting lines.
    pub fn cost(&self) -> usize {
        self.lines.len() + self.withdrawn.len() + self.restored.len() + usize::from(self.level.is_some()) + 1
    }
}

/// A change from one revision of a feed to another, or a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct TableUpdate {
    /// The state that the update leads to.
    pub point: FeedPoint,
    /// The revision that it changes; `None` for a snapshot.
    pub base: Option<Revision>,
    /// The version of the list that the new state fully reflects; 0 where that is not known yet.
    pub roster: u64,
    pub parts: Vec<Part>,
    /// The mark to acknowledge once the update is applied.
    pub mark: Option<u16>,
}

impl TableUpdate {
    /// Returns the size of the update in lines.
    pub fn cost(&self) -> usize {
        self.parts.iter().map(Part::cost).sum()
    }
}

/// One line of an update: part `part_number` of `part_count`, counted from 1.
#[derive(Clone, Debug, PartialEq)]
pub struct UpdateFragment {
    pub point: FeedPoint,
    pub base: Option<Revision>,
    pub roster: u64,
    pub part_number: u32,
    pub part_count: u32,
    pub part: Part,
    /// The mark of the update, on its last fragment only.
    pub mark: Option<u16>,
}

/// Nodes to stop using at once, sent ahead of all queued changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Withdrawal {
    pub epoch: Epoch,
    /// The revision that withdraws the nodes.
    pub revision: Revision,
    pub nodes: Vec<Name>,
}

/// Shows that the sender is alive, and how far the feed has come.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    pub epoch: Epoch,
    /// The feed and its revision; `None` before the subscriber is bound to a feed.
    pub position: Option<(FeedId, Revision)>,
    /// How far the epoch has come without a further change of the feed; `None` where changes of it are still to be sent, or
    /// the publisher does not say.
    pub latest: Option<Revision>,
    /// The version of the list that the feed reflects.
    pub roster: u64,
    /// Whether the published tables are the conductor's latest; false at a relay that is cut off from its origin.
    pub live: bool,
}

/// Why the sender ends a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The publisher stops.
    Stopping,
    /// Another stream of the same subscriber replaced this one.
    Replaced,
    /// The subscriber was silent for too long.
    Silent,
    /// The published tables now belong to another epoch.
    Moved,
    /// The subscriber was removed.
    Ended,
}

impl EndReason {
    pub const ALL: [EndReason; 5] =
        [EndReason::Stopping, EndReason::Replaced, EndReason::Silent, EndReason::Moved, EndReason::Ended];

    /// Returns the word for the reason, on the wire and in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            EndReason::Stopping => "stopping",
            EndReason::Replaced => "replaced",
            EndReason::Silent => "silent",
            EndReason::Moved => "moved",
            EndReason::Ended => "ended",
        }
    }
}

impl Display for EndReason {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        to.write_str(self.as_str())
    }
}

/// One line of a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    Welcome(Welcome),
    Fragment(UpdateFragment),
    Withdrawal(Withdrawal),
    Heartbeat(Heartbeat),
    End(EndReason),
}

/// The maximum number of table lines in one fragment, which keeps a channel line to some tens of kilobytes.
const MAX_LINES_PER_FRAGMENT: usize = 1_000;

/// Splits an update into fragments of limited size.
pub fn fragments(update: &TableUpdate) -> Vec<UpdateFragment> {
    let mut parts: Vec<Part> = Vec::new();
    for part in &update.parts {
        let mut chunks = part.lines.chunks(MAX_LINES_PER_FRAGMENT);
        let first = chunks.next().unwrap_or_default().to_vec();
        parts.push(Part { lines: first, ..part.clone() });
        for lines in chunks {
            parts.push(Part { classes: part.classes.clone(), lines: lines.to_vec(), ..Part::default() });
        }
    }
    if parts.is_empty() {
        parts.push(Part::default());
    }
    let part_count = parts.len() as u32;
    let fragment = |(index, part): (usize, Part)| {
        let part_number = index as u32 + 1;
        UpdateFragment {
            point: update.point.clone(),
            base: update.base,
            roster: update.roster,
            part_number,
            part_count,
            part,
            mark: update.mark.filter(|_| part_number == part_count),
        }
    };
    parts.into_iter().enumerate().map(fragment).collect()
}

/// Returns a name as a shared string.
pub fn name(text: &str) -> Name {
    Arc::from(text)
}

//! Tests of publisher and subscriber: a simulation over faulty links with random seeds, which is compared with a
//! simple model, and tests of single steps.

mod codec;
mod order;
mod publisher;
mod rebinding;
mod simulation;
mod subscriber;
mod table;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oatpitch::interface::*;
use oatpitch_frame::LineBuffer;
use oatpitch_state::ConnectionId;
use oatpitch_state::counters::Counters;
use oatpitch_state::desired_state::DesiredState;
use oatpitch_state::node_names::NodeNames;
use quickcheck::{Gen, QuickCheck};

use super::codec::{Codec, DecodeError, Json, MAX_LINE_BYTES};
use super::line::*;
use super::order::{Position, PositionHistory, TableOrder};
use super::publisher::{
    Action as PublisherAction, AliveReport, FollowRequest, FollowerCounts, Limits, Publisher, StreamId,
    StreamOutput,
};
use super::subscriber::{Action, Route, State, StreamAttempt, StreamEvent, Subscriber, SubscriberSettings};
use super::table::Table;

const CLASSES: [&str; 2] = ["quote", "advance"];

/// The number of nodes.
const NODES: usize = 12;

/// The number of tables of a conductor, each of which is a feed while it has followers.
const TABLES: u16 = 2;

const SUBSCRIBER_SETTINGS: SubscriberSettings = SubscriberSettings {
    effects_timeout: Time::from_ms(400),
    unordered_timeout: Time::from_ms(3_000),
    min_retry_delay: Time::from_ms(20),
    max_retry_delay: Time::from_ms(200),
    silence_timeout: Time::from_ms(1_500),
};

fn limits() -> Limits {
    Limits {
        max_waiting_lines: 30,
        max_revisions: 12,
        max_history_bytes: 1 << 20,
        catch_up_lines_per_second: 1_000_000,
        heartbeat_interval: Time::from_ms(200),
        silence_timeout: Time::from_ms(1_000),
        linger: Time::from_ms(300),
    }
}

fn terms() -> Vec<ClassTerms> {
    CLASSES
        .iter()
        .map(|class| ClassTerms { name: name(class), non_idempotent: *class == "advance" })
        .collect()
}

/// The model's lines: nodes and their weights.
type ExpectedLines = BTreeMap<String, f32>;

/// The simple model of a conductor's tables.
#[derive(Default)]
struct ExpectedTables {
    /// The lines of each table.
    lines: BTreeMap<u16, ExpectedLines>,
    withdrawn: BTreeSet<String>,
    /// The lines of each table, and the withdrawn nodes among them, at each revision.
    by_revision: BTreeMap<(u16, u64), (ExpectedLines, BTreeSet<String>)>,
}

/// One run of a conductor: the actual ordered state, the publisher, and the model.
struct Conductor {
    epoch: Epoch,
    publisher: Publisher<Json>,
    ordered: DesiredState,
    names: NodeNames,
    expected: ExpectedTables,
    /// The version of the list that the conductor has.
    roster: u64,
    /// Followers that are not bound to a table yet.
    unbound: Vec<(ProxyId, ConnectionId)>,
    bound: BTreeMap<ProxyId, u16>,
    marks: u16,
    revision: u64,
}

impl Conductor {
    fn new(number: usize, now: Time, roster: u64, lineage: &str) -> Conductor {
        let epoch = Epoch { conductor: name(&format!("n{number}")), started_at: now.0 };
        let publisher = Publisher::new(Json, limits(), epoch.clone(), name(lineage), terms(), now.0);
        let mut conductor = Conductor {
            epoch,
            publisher,
            ordered: DesiredState::new(CLASSES.len() as u16),
            names: NodeNames::default(),
            expected: ExpectedTables::default(),
            roster,
            unbound: Vec::new(),
            bound: BTreeMap::new(),
            marks: 0,
            revision: 0,
        };
        for k in 0..NODES {
            conductor.names.id_or_insert(&format!("s-{k}"));
        }
        for table in 0..TABLES {
            (0..4).for_each(|k| conductor.set_line(table, k, 1.0));
        }
        conductor.finish_turn(now);
        conductor
    }

    fn set_line(&mut self, table: u16, node: usize, weight: f32) {
        let text = format!("s-{node}");
        let id = self.names.id_or_insert(&text);
        if weight > 0.0 && self.expected.withdrawn.remove(&text) {
            // As in the decision module, a line restores its node.
            self.ordered.set_withdrawn(id, false);
        }
        self.ordered.set_line(TableId(table), id, weight.into());
        let lines = self.expected.lines.entry(table).or_default();
        if weight > 0.0 {
            lines.insert(text, weight);
        } else {
            lines.remove(&text);
        }
    }

    fn withdraw(&mut self, node: usize) {
        self.ordered.set_withdrawn(self.names.id_or_insert(&format!("s-{node}")), true);
        self.expected.withdrawn.insert(format!("s-{node}"));
    }

    fn is_withdrawn(&self, node: usize) -> bool {
        self.expected.withdrawn.contains(&format!("s-{node}"))
    }

    fn finish_turn(&mut self, now: Time) {
        if !self.ordered.streams.is_empty() {
            self.marks += 1;
            self.ordered.request_acknowledgement(self.marks, false);
        }
        let messages = self.ordered.close_turn(now, self.roster, &self.names, &mut Counters::default());
        let revision = messages.iter().map(|(_, message)| message.revision).max().unwrap_or(self.revision);
        let previous = std::mem::replace(&mut self.revision, revision);
        let changed = revision > previous || self.expected.by_revision.is_empty();
        for (table, lines) in self.expected.lines.iter().filter(|_| changed) {
            let withdrawn =
                self.expected.withdrawn.iter().filter(|node| lines.contains_key(*node)).cloned().collect();
            self.expected.by_revision.insert((*table, self.revision), (lines.clone(), withdrawn));
        }
        messages.iter().for_each(|(to, message)| self.publisher.add_message(to, message));
        self.publisher.finish_turn(now, self.roster);
    }

    /// Performs the publisher's actions.
    fn perform(&mut self, actions: Vec<PublisherAction>) {
        for action in actions {
            match action {
                PublisherAction::Join(conn, request) => {
                    self.ordered.add_stream(request.proxy, conn, false, true);
                    self.unbound.push((request.proxy, conn));
                }
                PublisherAction::Leave(conn) => {
                    let known = self.ordered.streams.iter().find(|(_, stream)| stream.conn == conn);
                    if let Some(proxy) = known.map(|(proxy, _)| *proxy) {
                        self.ordered.remove_stream(proxy);
                        self.bound.remove(&proxy);
                    }
                    self.unbound.retain(|(_, unbound)| *unbound != conn);
                }
                PublisherAction::Acknowledged(..) | PublisherAction::Wake(_) => {}
            }
        }
    }

    /// Binds all new followers to random tables.
    fn bind(&mut self, random: &mut fastrand::Rng) {
        for (proxy, _) in std::mem::take(&mut self.unbound) {
            let table = random.u16(0..TABLES);
            self.bound.insert(proxy, table);
            self.ordered.bind_proxy(proxy, TableId(table), ClassSet::default());
        }
    }
}

fn epoch(started_at: u64) -> Epoch {
    Epoch { conductor: name("n1"), started_at }
}

fn fragment(
    life: u64,
    base: Option<u64>,
    revision: u64,
    (part_number, part_count): (u32, u32),
    part: Part,
) -> Line {
    let point = FeedPoint { epoch: epoch(life), feed: FeedId(1), revision: Revision(revision) };
    Line::Fragment(UpdateFragment {
        point,
        base: base.map(Revision),
        roster: 5,
        part_number,
        part_count,
        part,
        mark: None,
    })
}

fn welcome(life: u64) -> Line {
    Line::Welcome(Welcome {
        version: VERSION,
        epoch: epoch(life),
        lineage: name("list"),
        session: 1,
        classes: terms(),
        heartbeat_interval: Time::from_ms(200),
        silence_timeout: Time::from_ms(1_000),
    })
}

fn lines(all: &[(&str, f32)]) -> Part {
    Part { lines: all.iter().map(|(node, weight)| (name(node), *weight)).collect(), ..Part::default() }
}

fn whole(all: &[(&str, f32)]) -> Part {
    Part { whole: true, ..lines(all) }
}

fn heartbeat(life: u64, revision: u64, roster: u64) -> Line {
    let position = Some((FeedId(1), Revision(revision)));
    Line::Heartbeat(Heartbeat {
        epoch: epoch(life),
        position,
        latest: Some(Revision(revision)),
        roster,
        live: true,
    })
}

//! What is kept in memory, driven without sockets: generated orders against a plain proxy, generated inputs
//! against the reducer, and what each kind of bad input must cost.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use oatpitch::interface::*;
use quickcheck::{Gen, QuickCheck};

use super::counters::Counters;
use super::inbound::{Entry, MembershipUpdate, PeerMessage, Unusable};
use super::message::{Message, Part};
use super::names::Names;
use super::ordered::Ordered;
use super::reducer::{Memory, Start};
use super::{ConnId, Effect, Ending, Input, limits};

const CLASSES: [&str; 2] = ["quote", "advance"];
const PROXIES: u16 = 4;

/// A proxy that does as the wire page says, and no more.
#[derive(Clone, Debug, Default)]
struct Plain {
    tables: BTreeMap<String, BTreeMap<String, f32>>,
    levels: BTreeMap<String, (f32, FurtherTries)>,
    out: BTreeSet<String>,
    marks: Vec<u64>,
}

impl Plain {
    /// The nodes that it may pick for a class.
    fn open(&self, class: &str) -> Vec<&str> {
        self.tables[class].keys().map(String::as_str).filter(|node| !self.out.contains(*node)).collect()
    }

    /// Applies a message, and gives what it counts in the channel without its head.
    fn apply(&mut self, message: &Message) -> usize {
        assert!(!message.parts.is_empty());
        for part in &message.parts {
            let touched = part.whole || !part.lines.is_empty() || part.level.is_some();
            let all: Vec<usize> = (0..CLASSES.len()).collect();
            let meant: Vec<usize> = part.classes.iter().map(|class| usize::from(class.0)).collect();
            for class in if meant.is_empty() { all } else { meant }.into_iter().filter(|_| touched) {
                let class = CLASSES[class].to_string();
                let table = self.tables.entry(class.clone()).or_default();
                if part.whole {
                    table.clear();
                    self.levels.remove(&class);
                }
                for (name, weight) in &part.lines {
                    if *weight > 0.0 {
                        table.insert(name.to_string(), *weight);
                    } else {
                        table.remove(&**name);
                    }
                }
                if let Some((tries, amount)) = part.level {
                    self.levels.insert(class, (amount, tries));
                }
            }
            self.out.extend(part.out.iter().map(|name| name.to_string()));
            part.back.iter().for_each(|name| _ = self.out.remove(&**name));
            self.marks.extend(part.mark.map(u64::from));
        }
        message.parts.iter().map(Part::cost).sum()
    }
}

/// What was ordered, by the tests' own books, and what that counts by the wire page.
#[derive(Default)]
struct Books {
    tables: BTreeMap<u16, BTreeMap<NodeId, f32>>,
    levels: BTreeMap<(u16, u16), (f32, FurtherTries)>,
    withdrawn: BTreeSet<NodeId>,
    bound: BTreeMap<(u16, usize), u16>,
    proxies: BTreeMap<u16, Plain>,
    /// Lines of this turn, for each proxy that it concerns.
    turn: BTreeMap<u16, usize>,
}

impl Books {
    fn count(&mut self, proxy: u16, lines: usize) {
        *self.turn.entry(proxy).or_default() += lines;
    }

    fn users(&self, table: u16) -> BTreeSet<u16> {
        self.bound.iter().filter(|(_, bound)| **bound == table).map(|((proxy, _), _)| *proxy).collect()
    }
}

/// Whatever is ordered, every proxy that applies its messages ends with just the table, levels and
/// withdrawals that were ordered, and the messages cost no more lines than the wire page says, but for nodes
/// let back that an earlier conductor may have shut out.
#[test]
fn a_plain_proxy_ends_with_what_was_ordered() {
    fn play(steps: Vec<(u8, u8, u8)>) {
        let (mut names, mut counters) = (Names::default(), Counters::default());
        let nodes: Vec<NodeId> = (0..6).map(|k| names.list(&format!("s-{k}"))).collect();
        let name = |node: NodeId| format!("s-{}", node.0[3]);
        let mut ordered = Ordered::new(CLASSES.len() as u16);
        nodes[..3].iter().for_each(|node| ordered.mark_possibly_ejected(*node));
        let mut books = Books::default();
        for (k, (what, which, how)) in steps.into_iter().enumerate() {
            let (proxy, table) = (u16::from(which) % PROXIES, u16::from(how) % 2);
            let node = nodes[usize::from(which) % nodes.len()];
            let named = (0..2).filter(|class| (how / 2) & (1 << class) != 0).map(ClassId);
            let classes = Classes(named.collect());
            let named = classes.0.clone();
            let meant = |class: usize| named.is_empty() || named.contains(&ClassId(class as u16));
            match what % 8 {
                0 => {
                    ordered.join(ProxyId(proxy), ConnId(k as u64), false);
                    // It brings what another conductor told it.
                    let out = nodes[..3].iter().filter(|node| how & (1 << node.0[3]) != 0);
                    let plain = Plain { out: out.map(|node| name(*node)).collect(), ..Plain::default() };
                    books.proxies.insert(proxy, plain);
                    books.bound.retain(|(bound, _), _| *bound != proxy);
                    books.turn.remove(&proxy);
                }
                1 => {
                    ordered.leave(ProxyId(proxy));
                    books.proxies.remove(&proxy);
                    books.bound.retain(|(bound, _), _| *bound != proxy);
                    books.turn.remove(&proxy);
                }
                2 => {
                    let weight = f64::from(how / 2 % 4) * 0.3;
                    ordered.line(TableId(table), node, weight);
                    let lines = books.tables.entry(table).or_default();
                    if weight > 0.0 {
                        lines.insert(node, weight as f32)
                    } else {
                        lines.remove(&node)
                    };
                    books.users(table).into_iter().for_each(|proxy| books.count(proxy, 1));
                }
                3 if books.proxies.contains_key(&proxy) => {
                    ordered.bind(ProxyId(proxy), TableId(table), classes);
                    for class in (0..CLASSES.len()).filter(|class| meant(*class)) {
                        books.bound.insert((proxy, class), table);
                    }
                    // Of the table as it will be written at the end of the turn.
                    books.count(proxy, 1 + nodes.len() + CLASSES.len() + nodes.len());
                }
                4 => {
                    ordered.withdraw(node, how % 2 == 0);
                    if how % 2 == 0 {
                        books.withdrawn.insert(node)
                    } else {
                        books.withdrawn.remove(&node)
                    };
                    let proxies: Vec<u16> = books.proxies.keys().copied().collect();
                    proxies.into_iter().for_each(|proxy| books.count(proxy, 1));
                }
                5 => {
                    let tries = [FurtherTries::None, FurtherTries::One][usize::from(which % 2)];
                    ordered.level(Some(TableId(table)), classes, tries, 0.5);
                    for class in (0..CLASSES.len()).filter(|class| meant(*class)) {
                        books.levels.insert((table, class as u16), (0.5, tries));
                        books.users(table).into_iter().for_each(|proxy| books.count(proxy, 1));
                    }
                }
                6 => {
                    ordered.clear(TableId(table));
                    books.tables.remove(&table);
                    books.levels.retain(|(cleared, _), _| *cleared != table);
                    let whole = 1 + 2 * nodes.len() + CLASSES.len();
                    books.users(table).into_iter().for_each(|proxy| books.count(proxy, whole));
                }
                _ => {
                    ordered.mark(k as u16, how % 4 == 0);
                    close(&mut ordered, &names, &mut counters, &mut books, Some(how % 4 == 0));
                }
            }
        }
        close(&mut ordered, &names, &mut counters, &mut books, None);
        for (proxy, plain) in &books.proxies {
            for (class, class_name) in CLASSES.iter().enumerate() {
                let Some(table) = books.bound.get(&(*proxy, class)) else { continue };
                let lines = books.tables.get(table).cloned().unwrap_or_default();
                let held = plain.tables.get(*class_name).cloned().unwrap_or_default();
                let wanted: BTreeMap<String, f32> =
                    lines.iter().map(|(node, weight)| (name(*node), *weight)).collect();
                assert_eq!(held, wanted, "proxy {proxy}, {class_name}");
                let level = books.levels.get(&(*table, class as u16));
                assert_eq!(plain.levels.get(*class_name), level, "proxy {proxy}, {class_name}");
                for node in lines.keys() {
                    let shut = plain.out.contains(&name(*node));
                    assert_eq!(shut, books.withdrawn.contains(node), "proxy {proxy}, {}", name(*node));
                }
            }
            if !(0..CLASSES.len()).any(|class| books.bound.contains_key(&(*proxy, class))) {
                assert!(plain.tables.is_empty() && plain.levels.is_empty(), "orders for an unbound proxy");
            }
        }
    }

    fn close(
        ordered: &mut Ordered,
        names: &Names,
        counters: &mut Counters,
        books: &mut Books,
        everyone: Option<bool>,
    ) {
        let conns: BTreeMap<ConnId, u16> =
            ordered.streams.iter().map(|(proxy, stream)| (stream.conn, proxy.0)).collect();
        let mut written = BTreeSet::new();
        let messages = ordered.close(Time(1), 0, names, counters);
        let each = messages.iter().flat_map(|(to, message)| to.iter().map(move |conn| (conn, message)));
        for (conn, message) in each {
            let proxy = conns[conn];
            assert!(written.insert(proxy), "two messages in one turn");
            let plain = books.proxies.get_mut(&proxy).expect("joined");
            let cost = plain.apply(message);
            // Nodes in doubt are let back once on a stream, beyond what the page counts.
            let most = books.turn.get(&proxy).map_or(0, |lines| lines + 3) + usize::from(everyone.is_some());
            assert!(cost <= most, "{cost} lines where {most} are reckoned with");
            assert!(everyone == Some(true) || books.turn.contains_key(&proxy), "no order concerns it");
        }
        if everyone == Some(true) {
            assert_eq!(written.len(), books.proxies.len());
        }
        books.turn.clear();
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 7))
        .tests(400)
        .quickcheck(play as fn(Vec<(u8, u8, u8)>));
}

// ---- The reducer ----

fn mandate(asked: bool) -> Mandate {
    Mandate { roster_asked: asked, ..oatpitch_standins::mandate::mandate(PROXIES.into(), 100.0) }
}

fn entry(k: u8, standing: Standing) -> Entry {
    let (node, kind) = (format!("s-{k}"), "m1".into());
    Entry { node, zone: u16::from(k) % 2, kind, standing, weight: 1.0, started: None }
}

fn list(version: u64, whole: bool, nodes: &[u8]) -> MembershipUpdate {
    let entries = nodes.iter().map(|k| entry(*k, Standing::Ready)).collect();
    MembershipUpdate { version, whole, entries, unreadable: 0 }
}

fn hello(proxy: u16) -> PeerMessage {
    PeerMessage::Joined {
        proxy: ProxyId(proxy),
        zone: ZoneId(proxy % 2),
        rate: 5.0,
        fresh: true,
        anew: false,
        tags: Default::default(),
    }
}

fn peer() -> SocketAddr {
    address(9)
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// The reducer with its clock, what its connections were written, and which it has ended.
struct Desk {
    memory: Memory,
    now: Time,
    written: BTreeMap<ConnId, Vec<Rc<Message>>>,
    alive: BTreeMap<ConnId, usize>,
    ended: BTreeSet<ConnId>,
    effects: Vec<Effect>,
    /// Lines written that have entered the channel since the last turn.
    entered: f64,
    /// What connections say waits to be read, so that those dismissed do not end yet.
    unread: bool,
}

impl Desk {
    fn new(asked: bool) -> Desk {
        let start = Start {
            mandate: mandate(asked),
            classes: CLASSES.len() as u16,
            seed: 7,
            known: list(5, true, &[0, 1, 2]),
            discovery: address(1),
            places: 8,
        };
        let (memory, effects) = Memory::begin(Time(1_000_000), start);
        let (written, alive, ended) = Default::default();
        Desk { memory, now: Time(1_000_000), written, alive, ended, effects, entered: 0.0, unread: false }
    }

    /// Lets a span pass, a timer firing every 50 ms.
    fn pass(&mut self, ms: u64) {
        (0..ms.div_ceil(50)).for_each(|_| self.turn(50, []));
    }

    fn turn(&mut self, ms: u64, inputs: impl IntoIterator<Item = Input>) {
        self.now = self.now + Time::from_ms(ms);
        let entered = Input::Entered(std::mem::take(&mut self.entered));
        let effects = self.memory.turn(self.now, inputs.into_iter().chain([entered, Input::TimerFired]));
        let mut dismissed = Vec::new();
        for effect in &effects {
            match effect {
                Effect::Order(to, message) => {
                    self.entered += to.len() as f64 * (message.cost() as f64 + 6.0);
                    for conn in to {
                        assert!(!self.ended.contains(conn), "written after its end");
                        self.written.entry(*conn).or_default().push(message.clone());
                    }
                }
                Effect::Alive(conn) => *self.alive.entry(*conn).or_default() += 1,
                Effect::End(conn) => _ = self.ended.insert(*conn),
                // Whoever reads it has heard all, and ends it.
                Effect::Dismiss(conn) if !self.unread => {
                    dismissed.push(Input::Ended(*conn, Ending::Dismissed));
                }
                _ => {}
            }
        }
        self.effects.extend(effects);
        if !dismissed.is_empty() {
            self.turn(0, dismissed);
        }
    }

    fn open(&mut self, conn: u64, said: impl IntoIterator<Item = PeerMessage>) {
        let conn = ConnId(conn);
        let said = said.into_iter().map(|said| Input::Message(conn, said));
        self.turn(1, [Input::Opened(conn, peer())].into_iter().chain(said));
    }

    fn say(&mut self, conn: u64, said: PeerMessage) {
        self.turn(1, [Input::Message(ConnId(conn), said)]);
    }

    fn counted(&self, name: &str) -> u64 {
        let counters = format!(", {},", self.memory.counters);
        let Some((_, rest)) = counters.split_once(&format!(", {name}=")) else { return 0 };
        rest.split(',').next().and_then(|count| count.parse().ok()).expect("a count")
    }

    /// What a proxy holds that applied all that its connection was written.
    fn held(&self, conn: u64) -> Plain {
        let mut plain = Plain::default();
        for message in self.written.get(&ConnId(conn)).into_iter().flatten() {
            plain.apply(message);
        }
        plain
    }

    fn fetches(&self) -> Vec<u64> {
        let fetch = |effect: &Effect| match effect {
            Effect::Fetch(number) => Some(*number),
            _ => None,
        };
        self.effects.iter().filter_map(fetch).collect()
    }

    fn watches(&self) -> Vec<(u64, u64)> {
        let watch = |effect: &Effect| match effect {
            Effect::Watch { number, since } => Some((*number, *since)),
            _ => None,
        };
        self.effects.iter().filter_map(watch).collect()
    }
}

#[test]
fn a_proxy_is_bound_from_the_known_list_and_follows_changes() {
    let mut desk = Desk::new(false);
    assert_eq!(desk.watches(), [(1, 5)], "followed from the version known");
    desk.open(1, [hello(0)]);
    desk.pass(500);
    let table = |desk: &Desk, conn| desk.held(conn).tables["quote"].keys().cloned().collect::<Vec<_>>();
    assert_eq!(table(&desk, 1), ["s-0", "s-1", "s-2"]);
    desk.turn(1, [Input::MembershipUpdate(1, list(6, false, &[3]))]);
    desk.turn(
        1,
        [Input::MembershipUpdate(
            1,
            MembershipUpdate { entries: vec![entry(1, Standing::Draining)], ..list(7, false, &[]) },
        )],
    );
    assert_eq!(
        table(&desk, 1),
        ["s-0", "s-2", "s-3"],
        "taken out at once, and what waited for a flush along"
    );
    desk.pass(500);
    assert_eq!(table(&desk, 1), ["s-0", "s-2", "s-3"]);
    // The mark of the latest message is answered, and an unordered one is not passed on.
    let mark = *desk.held(1).marks.last().expect("flushes carry marks");
    // Nor one that says that it took longer than it can have.
    for took in [Time(u64::MAX), Time::from_ms(600), Time(10), Time(10)] {
        desk.say(1, PeerMessage::Acknowledged { proxy: ProxyId(0), mark, took });
    }
    assert_eq!((desk.counted("marks answered"), desk.counted("marks never ordered")), (1, 3));
    // Back without a new start: the line and the way in come together.
    desk.turn(1, [Input::MembershipUpdate(1, list(8, false, &[1]))]);
    desk.pass(500);
    assert_eq!((table(&desk, 1).len(), desk.held(1).out.len()), (4, 0));
}

/// Guards against an old connection's end taking the proxy's new stream down with it.
#[test]
fn a_stream_dialled_anew_replaces_the_old_one() {
    let mut desk = Desk::new(false);
    desk.open(1, [hello(0)]);
    desk.pass(500);
    desk.open(2, [hello(0)]);
    assert!(desk.ended.contains(&ConnId(1)));
    desk.turn(1, [Input::Ended(ConnId(1), Ending::Closed)]);
    desk.pass(500);
    assert_eq!(desk.held(2).tables["advance"].len(), 3);
    assert!(!desk.ended.contains(&ConnId(2)));
    // What the old one still had on its way is nobody's.
    desk.say(1, hello(1));
    assert_eq!((desk.counted("messages of ended connections"), desk.counted("streams replaced")), (1, 1));
}

/// Guards against a node staying shut out at a proxy that another conductor had told to shut it out: it was
/// gone for a while, came back, and the proxy came here in between.
#[test]
fn what_another_conductor_shut_out_is_let_back() {
    let mut desk = Desk::new(false);
    let back = Entry { started: Some(Time(10_000)), ..entry(1, Standing::Ready) };
    desk.turn(
        1,
        [Input::MembershipUpdate(1, MembershipUpdate { entries: vec![back], ..list(6, false, &[]) })],
    );
    desk.open(1, [hello(0)]);
    desk.pass(500);
    let first = &desk.written[&ConnId(1)][0].parts[0];
    assert_eq!(first.back, ["s-1".into()]);
}

#[test]
fn a_message_out_of_place_costs_a_stranger_its_connection_and_others_itself() {
    let ack = PeerMessage::Acknowledged { proxy: ProxyId(0), mark: 1, took: Time(1) };
    let asked = |proxy| PeerMessage::Asked {
        proxy: ProxyId(proxy),
        class: ClassId(0),
        exchanges: 1,
        lost: 0,
        span: Time(10_000),
    };
    let met = |node: &str| PeerMessage::Met {
        zone: ZoneId(0),
        node: node.into(),
        tries: 1,
        lost: 0,
        mean: Time(1),
        span: Time(1),
        load: None,
    };
    let collector = PeerMessage::Collector { zone: ZoneId(0) };
    let spoilt = |conn| Input::Spoilt(ConnId(conn), Unusable::Field("tries"));
    for (said, place) in [
        (vec![ack.clone()], 0),
        (vec![asked(0)], 0),
        (vec![met("s-0")], 0),
        (vec![hello(1), hello(1)], 1),
        (vec![hello(1), hello(2)], 1),
        (vec![hello(1), collector.clone()], 1),
        (vec![hello(1), ack.clone()], 1),
        (vec![hello(1), asked(0)], 1),
        (vec![hello(1), met("s-0")], 1),
        (vec![collector.clone(), hello(1)], 1),
        (vec![collector.clone(), ack], 1),
    ] {
        let mut desk = Desk::new(false);
        desk.open(1, [hello(0)]);
        desk.open(2, said[..place].to_vec());
        assert!(!desk.ended.contains(&ConnId(2)), "{said:?}");
        desk.say(2, said[place].clone());
        desk.turn(1, [spoilt(2)]);
        let stranger = place == 0;
        assert_eq!(desk.ended, BTreeSet::from_iter(stranger.then_some(ConnId(2))), "{said:?}");
        let counted = ["faults: strangers", "messages out of place", "messages spoilt"];
        let counted = counted.map(|name| desk.counted(name));
        assert_eq!(counted, if stranger { [1, 0, 0] } else { [0, 1, 1] });
        assert!(
            desk.effects.iter().any(|effect| matches!(effect, Effect::Log(_, text) if text.contains("127")))
        );
    }
    // What is merely unknown costs nothing but itself.
    let mut desk = Desk::new(false);
    desk.open(1, [hello(0), asked(0), PeerMessage::Probe]);
    desk.open(2, [collector, met("s-0"), met("s-9"), asked(0), asked(3), PeerMessage::Probe]);
    assert!(desk.ended.is_empty());
    assert_eq!((desk.counted("sums heard"), desk.counted("sums of nodes never listed")), (1, 1));
    assert_eq!((desk.counted("demand heard"), desk.counted("demand of proxies not joined")), (2, 1));
    assert_eq!((desk.alive[&ConnId(2)], desk.written.contains_key(&ConnId(2))), (1, false));
}

#[test]
fn each_fault_of_a_line_is_counted_and_the_log_is_kept_short() {
    let mut desk = Desk::new(false);
    for k in 0..100 {
        let cause = [Unusable::TooLong, Unusable::NoObject, Unusable::Field("zone")][k as usize % 3];
        desk.turn(1, [Input::Opened(ConnId(k), peer()), Input::Ended(ConnId(k), Ending::Unusable(cause))]);
    }
    desk.open(200, [hello(0)]);
    desk.turn(1, [Input::Ended(ConnId(200), Ending::Unread)]);
    assert_eq!(desk.ended.len(), 101);
    assert_eq!((desk.counted("faults: unusable"), desk.counted("faults: unread")), (100, 1));
    let lines = desk.effects.iter().filter(|effect| matches!(effect, Effect::Log(..))).count();
    assert_eq!((lines as u32, desk.counted("log lines left out")), (limits::FAULTS_LOGGED, 81));
}

/// Guards against strangers that say nothing using up the descriptors of those that have work here, and against
/// a newcomer being taken for one before its first message can have come.
#[test]
fn the_oldest_strangers_make_room() {
    let mut desk = Desk::new(false);
    let wait = |desk: &mut Desk| desk.turn(limits::NEWCOMER.0 / 10, []);
    desk.open(0, []);
    desk.open(1, [hello(0)]);
    desk.open(2, [PeerMessage::Collector { zone: ZoneId(0) }]);
    (3..9).for_each(|conn| desk.open(conn, [PeerMessage::Probe]));
    assert!(desk.ended.is_empty());
    wait(&mut desk);
    assert_eq!(desk.ended, BTreeSet::from([ConnId(0)]));
    (9..12).for_each(|conn| desk.open(conn, []));
    desk.say(9, hello(1));
    wait(&mut desk);
    assert_eq!(desk.ended, BTreeSet::from([0, 3, 4, 5].map(ConnId)));
    desk.pass(500);
    assert_eq!(desk.held(9).tables["quote"].len(), 3);
    // With nearly all places taken by those that joined, a newcomer still has the time to join.
    [6, 7, 10, 11].into_iter().for_each(|conn| desk.say(conn, PeerMessage::Collector { zone: ZoneId(0) }));
    desk.open(13, []);
    assert!(desk.ended.contains(&ConnId(8)) && !desk.ended.contains(&ConnId(13)));
    desk.open(14, []);
    wait(&mut desk);
    assert!(desk.ended.contains(&ConnId(13)) && !desk.ended.contains(&ConnId(14)));
}

/// Guards against memory that grows for good while all nodes are replaced again and again, and against an id
/// that comes to mean two nodes: one that comes back after it was forgotten is let in at those it was shut out.
#[test]
fn nodes_long_replaced_are_forgotten() {
    let mut desk = Desk::new(false);
    desk.open(1, [hello(0)]);
    desk.pass(500);
    let (mut version, mut most) = (5, 0);
    let mut news = |desk: &mut Desk, name: String, standing| {
        version += 1;
        let entry = Entry { node: name, ..entry(0, standing) };
        desk.turn(
            1,
            [Input::MembershipUpdate(
                1,
                MembershipUpdate { entries: vec![entry], ..list(version, false, &[]) },
            )],
        );
    };
    for k in 0..1_000 {
        news(&mut desk, format!("n-{k}"), Standing::Ready);
        (0..5).for_each(|_| desk.turn(1_000, []));
        for standing in [Standing::Draining, Standing::Gone] {
            news(&mut desk, format!("n-{k}"), standing);
            desk.turn(500, []);
        }
        most = most.max(desk.memory.known());
    }
    // Ten minutes of them, a node every 6 s.
    assert!((100..130).contains(&most), "{most} nodes were known at once");
    assert!(desk.counted("nodes forgotten") > 850);
    news(&mut desk, "n-3".into(), Standing::Ready);
    desk.pass(500);
    let held = desk.held(1);
    assert_eq!(held.tables["quote"].keys().collect::<Vec<_>>(), ["n-3", "s-0", "s-1", "s-2"]);
    assert!(!held.out.contains("n-3"));
}

/// Guards against connections held for good by who never joins, whether it says nothing or asks for a sign of
/// life again and again; who has joined is kept.
#[test]
fn strangers_are_ended_in_time() {
    let mut desk = Desk::new(false);
    desk.open(0, [hello(0)]);
    desk.open(1, []);
    desk.open(2, [PeerMessage::Probe]);
    desk.open(3, [PeerMessage::Probe]);
    let opened = desk.now;
    let due = opened + limits::STRANGER_LONGEST;
    assert!(limits::STRANGER_LONGEST >= Time::from_ms(1_000) && due < opened + Time::from_ms(2_500));
    desk.turn(limits::STRANGER_LONGEST.0 / 10 - 10, [Input::Message(ConnId(2), PeerMessage::Probe)]);
    assert!(desk.ended.is_empty());
    desk.say(3, PeerMessage::Collector { zone: ZoneId(0) });
    // Nothing else need come: it asks to be woken for it.
    for _ in 0..200 {
        let wakes = desk.effects.iter().rev().find(|effect| matches!(effect, Effect::Wake(_)));
        let Some(Effect::Wake(at)) = wakes.cloned() else { panic!("no wake") };
        desk.turn((at.max(desk.now) - desk.now).0 / 10, []);
    }
    assert_eq!(desk.ended, BTreeSet::from([1, 2].map(ConnId)));
    assert_eq!(desk.counted("strangers ended in time"), 2);
}

#[test]
fn a_watch_is_opened_again_with_growing_waits_and_from_the_version_held() {
    let mut desk = Desk::new(false);
    let mut waits = Vec::new();
    for number in 1..=8 {
        let ended = desk.now;
        desk.turn(1, [Input::DiscoveryRequestEnded(number, "reset".into())]);
        while desk.watches().len() as u64 == number {
            desk.turn(10, []);
        }
        waits.push((desk.now - ended).0 / 10);
    }
    assert!((50..=170).contains(&waits[0]) && (400..=1_300).contains(&waits[7]), "{waits:?}");
    desk.turn(1, [Input::MembershipUpdate(9, list(6, false, &[3]))]);
    // The end of an earlier watch, and its news, are nothing to this one.
    desk.turn(
        1,
        [Input::DiscoveryRequestEnded(3, "late".into()), Input::MembershipUpdate(3, list(1, true, &[]))],
    );
    desk.turn(1, [Input::DiscoveryRequestEnded(9, "reset".into())]);
    desk.pass(300);
    assert_eq!(desk.watches().last(), Some(&(10, 6)));
}

/// Guards against news lost while discovery moves: the old watch counts until the new one is answered, and no
/// stream is touched. A file that can't be taken over changes nothing.
#[test]
fn a_moved_discovery_is_watched_before_the_old_watch_is_let_go() {
    let mut desk = Desk::new(false);
    desk.open(1, [hello(0)]);
    desk.pass(500);
    let unwatched = |desk: &Desk, number| desk.effects.contains(&Effect::Unwatch(number));
    desk.turn(1, [Input::Renewed(Err("seed: missing".into())), Input::Renewed(Ok((address(1), vec![])))]);
    assert_eq!(desk.watches(), [(1, 5)]);
    desk.turn(1, [Input::Renewed(Ok((address(2), vec!["listen"])))]);
    assert!(desk.effects.contains(&Effect::Discovery(address(2))));
    // Moved again before it was answered: the first is still the one that tells.
    desk.turn(1, [Input::Renewed(Ok((address(3), vec![])))]);
    assert_eq!(desk.watches(), [(1, 5), (2, 5), (3, 5)]);
    assert!(unwatched(&desk, 2) && !unwatched(&desk, 1));
    desk.turn(1, [Input::MembershipUpdate(1, list(6, false, &[3])), Input::Watching(2)]);
    desk.turn(1, [Input::DiscoveryRequestEnded(3, "refused".into())]);
    desk.pass(200);
    assert_eq!(desk.watches().last(), Some(&(4, 6)));
    assert!(!unwatched(&desk, 1));
    desk.turn(1, [Input::Watching(4), Input::MembershipUpdate(1, list(7, false, &[4]))]);
    assert!(unwatched(&desk, 1));
    desk.turn(1, [Input::MembershipUpdate(4, list(7, false, &[5]))]);
    desk.pass(500);
    assert_eq!(desk.held(1).tables["quote"].keys().collect::<Vec<_>>(), ["s-0", "s-1", "s-2", "s-3", "s-5"]);
    assert!(desk.ended.is_empty());
    assert_eq!((desk.counted("configurations refused"), desk.counted("configurations read anew")), (1, 3));
    // The old address ends its watch by itself: no cause to dial the new one again.
    desk.turn(
        1,
        [Input::Renewed(Ok((address(4), vec![]))), Input::DiscoveryRequestEnded(4, "closed".into())],
    );
    desk.pass(500);
    assert_eq!(desk.watches().len(), 5);
}

/// Guards against what lies between two versions being lost: the whole list is taken before the next watch. What
/// an older list says is not taken as it stands at once, but where discovery still says so after the time in which
/// all counts as told.
#[test]
fn a_false_version_leads_to_the_whole_list() {
    let mut desk = Desk::new(false);
    desk.turn(1, [Input::MembershipUpdate(1, list(2, false, &[7]))]);
    assert!(desk.effects.contains(&Effect::Unwatch(1)));
    desk.pass(300);
    assert_eq!(desk.fetches(), [2]);
    assert_eq!(desk.watches().len(), 1);
    desk.turn(1, [Input::DiscoveryRequestEnded(2, "half a document".into())]);
    desk.pass(500);
    assert_eq!(desk.fetches(), [2, 3]);
    desk.turn(1, [Input::MembershipUpdate(3, list(3, true, &[0, 4]))]);
    desk.pass(100);
    assert_eq!(desk.watches().last(), Some(&(4, 3)));
    desk.open(1, [hello(0)]);
    desk.pass(500);
    assert_eq!(desk.held(1).tables["quote"].keys().collect::<Vec<_>>(), ["s-0", "s-1", "s-2", "s-4"]);
    desk.pass(limits::TOLD_LATEST.0 / 10);
    assert_eq!((desk.fetches(), desk.watches().len()), (vec![2, 3, 5], 2));
    desk.turn(1, [Input::MembershipUpdate(5, list(3, true, &[0, 4]))]);
    desk.pass(500);
    assert_eq!(desk.held(1).open("quote"), ["s-0", "s-4"]);
    desk.pass(2 * limits::TOLD_LATEST.0 / 10);
    assert_eq!(desk.fetches().len(), 3);
}

/// Guards against an older list, kept by somebody on the way, undoing a drain or dropping what was told since.
#[test]
fn an_older_list_neither_undoes_a_drain_nor_drops_a_node() {
    let drain = |version, standing| MembershipUpdate {
        entries: vec![entry(1, standing)],
        ..list(version, false, &[])
    };
    for watched in [true, false] {
        let mut desk = Desk::new(false);
        desk.open(1, [hello(0)]);
        desk.pass(500);
        desk.turn(
            1,
            [
                Input::MembershipUpdate(1, list(6, false, &[3])),
                Input::MembershipUpdate(1, drain(8, Standing::Draining)),
            ],
        );
        desk.pass(500);
        assert_eq!(desk.held(1).open("quote"), ["s-0", "s-2", "s-3"]);
        let old = list(5, true, &[0, 1, 2, 4]);
        if watched {
            desk.turn(1, [Input::MembershipUpdate(1, old)]);
        } else {
            desk.turn(1, [Input::MembershipUpdate(1, list(7, false, &[]))]);
            desk.pass(300);
            assert_eq!(desk.fetches(), [2]);
            desk.turn(1, [Input::MembershipUpdate(2, old)]);
        }
        desk.pass(500);
        assert_eq!(desk.held(1).open("quote"), ["s-0", "s-2", "s-3", "s-4"]);
        // What came after it is told again, and the list as it stands is asked for in the end.
        let number = desk.watches().last().expect("a watch").0;
        assert_eq!(number, if watched { 1 } else { 3 });
        desk.turn(1, [Input::MembershipUpdate(number, drain(8, Standing::Draining))]);
        desk.pass(limits::TOLD_LATEST.0 / 10);
        assert_eq!(desk.held(1).open("quote"), ["s-0", "s-2", "s-3", "s-4"]);
        let fetch = *desk.fetches().last().expect("a fetch");
        desk.turn(1, [Input::MembershipUpdate(fetch, list(9, true, &[0, 1, 2, 4]))]);
        desk.pass(500);
        assert_eq!(desk.held(1).open("quote"), ["s-0", "s-1", "s-2", "s-4"]);
        assert_eq!((desk.counted("older lists"), desk.ended.len()), (1, 0));
    }
}

/// Guards against a list that was fetched before a drain was told being taken after it.
#[test]
fn a_fetched_list_overtaken_by_news_is_asked_for_again() {
    let mut desk = Desk::new(false);
    desk.open(1, [hello(0)]);
    desk.pass(500);
    // Discovery moves; the new one is behind and says so by a version that can't be.
    desk.turn(1, [Input::Renewed(Ok((address(2), vec![])))]);
    desk.turn(1, [Input::MembershipUpdate(2, list(4, false, &[]))]);
    desk.pass(300);
    assert_eq!(desk.fetches(), [3]);
    let drain = MembershipUpdate { entries: vec![entry(1, Standing::Draining)], ..list(7, false, &[]) };
    desk.turn(1, [Input::MembershipUpdate(1, drain), Input::MembershipUpdate(3, list(5, true, &[0, 1, 2]))]);
    desk.pass(300);
    let held = desk.held(1);
    assert!(!held.tables["quote"].contains_key("s-1") || held.out.contains("s-1"));
    assert_eq!((desk.counted("lists overtaken"), desk.fetches().len()), (1, 2));
    let fetch = *desk.fetches().last().expect("a fetch");
    desk.turn(1, [Input::MembershipUpdate(fetch, list(7, true, &[0, 2]))]);
    desk.pass(200);
    assert_eq!(desk.watches().last().map(|watch| watch.1), Some(7));
}

/// Guards against the end of a fetch, or its list, that was given up being taken for that of another, or for the
/// watch's: it lay in the inbox when discovery moved or the fetch was asked again.
#[test]
fn what_was_given_up_says_nothing_of_what_is_open() {
    let mut desk = Desk::new(false);
    desk.turn(1, [Input::MembershipUpdate(1, list(2, false, &[]))]);
    desk.pass(300);
    assert_eq!(desk.fetches(), [2]);
    // The fetch fails at the address left, in the same turn in which discovery moves and once the watch stands.
    desk.turn(1, [Input::Renewed(Ok((address(2), vec![])))]);
    assert!(desk.effects.contains(&Effect::Unwatch(2)));
    assert_eq!(desk.fetches(), [2, 3]);
    desk.turn(
        1,
        [Input::DiscoveryRequestEnded(2, "reset".into()), Input::MembershipUpdate(2, list(9, true, &[0]))],
    );
    assert_eq!((desk.counted("watches ended"), desk.counted("whole lists")), (1, 0));
    desk.turn(1, [Input::MembershipUpdate(3, list(6, true, &[0, 1, 2, 3]))]);
    desk.pass(50);
    assert_eq!(desk.watches().last(), Some(&(4, 6)));
    desk.turn(
        1,
        [Input::DiscoveryRequestEnded(3, "late".into()), Input::DiscoveryRequestEnded(2, "late".into())],
    );
    desk.turn(1, [Input::MembershipUpdate(4, list(7, false, &[4]))]);
    desk.pass(1_000);
    assert_eq!((desk.watches().len(), desk.counted("watches ended")), (2, 1));
    desk.open(1, [hello(0)]);
    desk.pass(500);
    assert_eq!(desk.held(1).tables["quote"].len(), 5);
}

/// Guards against news that the former watch has told being taken for a discovery gone back when the new one
/// repeats them, which cost the watch and a fetch; and against the repeat undoing what came after.
#[test]
fn a_new_watch_repeats_what_the_former_told() {
    let mut desk = Desk::new(false);
    desk.open(1, [hello(0)]);
    desk.pass(500);
    desk.turn(1, [Input::Renewed(Ok((address(2), vec![])))]);
    assert_eq!(desk.watches(), [(1, 5), (2, 5)]);
    let drain = MembershipUpdate { entries: vec![entry(1, Standing::Draining)], ..list(7, false, &[]) };
    desk.turn(1, [Input::MembershipUpdate(1, list(6, false, &[3])), Input::MembershipUpdate(1, drain)]);
    desk.turn(1, [Input::Watching(2), Input::MembershipUpdate(2, list(6, false, &[1, 3]))]);
    desk.turn(1, [Input::MembershipUpdate(2, list(8, false, &[4]))]);
    desk.pass(500);
    assert_eq!(desk.held(1).open("quote"), ["s-0", "s-2", "s-3", "s-4"]);
    assert_eq!((desk.watches().len(), desk.fetches().len()), (2, 0));
    assert_eq!((desk.counted("false versions"), desk.counted("news heard before")), (0, 1));
}

/// Guards against the greeting of a connection given up since, read last, taking the place of the newer stream:
/// which is newer is known by the order in which they came.
#[test]
fn a_late_greeting_does_not_replace_a_newer_stream() {
    let mut desk = Desk::new(false);
    desk.open(1, []);
    desk.open(2, [hello(0)]);
    desk.pass(500);
    desk.say(1, hello(0));
    assert_eq!(desk.ended, BTreeSet::from([ConnId(1)]));
    desk.turn(1, [Input::MembershipUpdate(1, list(6, false, &[3]))]);
    desk.pass(500);
    assert_eq!(desk.held(2).tables["quote"].len(), 4);
    assert!(!desk.written.contains_key(&ConnId(1)));
    assert_eq!((desk.counted("streams overtaken"), desk.counted("streams replaced")), (1, 0));
}

/// Guards against a proxy that is dismissed as a stranger while its greeting waits to be read: it is a proxy once
/// the greeting is heard, and one that says nothing is ended.
#[test]
fn a_greeting_that_waits_wins_over_its_dismissal() {
    let mut desk = Desk::new(false);
    desk.unread = true;
    desk.open(1, []);
    desk.open(2, []);
    desk.turn(limits::STRANGER_LONGEST.0 / 10, []);
    let dismissed = |desk: &Desk, conn| desk.effects.contains(&Effect::Dismiss(ConnId(conn)));
    assert!(dismissed(&desk, 1) && dismissed(&desk, 2) && !desk.effects.contains(&Effect::End(ConnId(1))));
    desk.say(1, hello(0));
    desk.turn(1, [Input::Ended(ConnId(2), Ending::Dismissed)]);
    desk.pass(500);
    assert!(
        desk.effects.contains(&Effect::End(ConnId(2))) && !desk.effects.contains(&Effect::End(ConnId(1)))
    );
    assert_eq!(desk.held(1).tables["quote"].len(), 3);
    assert_eq!((desk.counted("strangers ended"), desk.counted("streams opened")), (1, 1));
}

/// Guards against one entry that can't be read taking nodes out: what a list with such entries does not name
/// is not known to be gone.
#[test]
fn a_bad_entry_never_empties_the_list() {
    let mut desk = Desk::new(false);
    desk.turn(1, [Input::MembershipUpdate(1, MembershipUpdate { unreadable: 2, ..list(6, true, &[1]) })]);
    desk.open(1, [hello(0)]);
    desk.pass(500);
    assert_eq!(desk.held(1).tables["quote"].len(), 3);
    assert_eq!(desk.counted("entries unreadable"), 2);
    desk.turn(1, [Input::MembershipUpdate(1, list(7, true, &[1]))]);
    desk.pass(500);
    assert_eq!(desk.held(1).tables["quote"].len(), 1);
}

/// Where the roster speaks only when asked, the module asks, and hears of each failure.
#[test]
fn an_asked_roster_is_asked_by_the_module() {
    let mut desk = Desk::new(true);
    assert_eq!(desk.watches(), [(1, 5)]);
    desk.turn(1, [Input::DiscoveryRequestEnded(1, "refused".into())]);
    desk.pass(5_000);
    assert_eq!(desk.watches().last(), Some(&(2, 5)));
}

/// Guards against a table of descriptors that is full, whoever filled it, keeping proxies out.
#[test]
fn a_refused_connection_makes_room_among_strangers() {
    let mut desk = Desk::new(false);
    desk.open(0, [hello(0)]);
    (1..6).for_each(|conn| desk.open(conn, []));
    desk.turn(limits::NEWCOMER.0 / 10, [Input::Refused]);
    assert_eq!(desk.ended, BTreeSet::from([1, 2, 3, 4, 5].map(ConnId)));
    desk.turn(1, [Input::Refused]);
    assert_eq!((desk.ended.len(), desk.counted("connections refused")), (5, 2));
}

#[test]
fn a_datagram_over_the_longest_is_never_sent() {
    let mut ordered = Ordered::new(0);
    [0, 256, 257].iter().for_each(|length| ordered.tell(Some(PeerId(1)), &vec![0; *length]));
    ordered.tell(None, b"all");
    let sent = [(Some(1), vec![]), (Some(1), vec![0; 256]), (None, b"all".to_vec())];
    assert_eq!(ordered.effects, sent.map(|(peer, message)| Effect::Tell(peer, message)));
}

#[test]
fn datagrams_are_only_counted() {
    let mut desk = Desk::new(false);
    desk.turn(1, [Input::Peer(Some(1)), Input::Peer(None), Input::Peer(None)]);
    assert_eq!((desk.counted("datagrams of peers"), desk.counted("datagrams dropped")), (1, 2));
}

/// Whatever comes, in whatever order, nothing panics, a connection ended is written nothing more, what must
/// hold does, and the same inputs have the same effects again.
#[test]
fn generated_inputs_are_survived_and_replayed() {
    fn input((what, which, how): (u8, u8, u8)) -> Input {
        let (conn, proxy, zone) = (ConnId(u64::from(which % 12)), ProxyId((how % 4).into()), ZoneId(0));
        let number = u64::from(how % 4);
        let class = ClassId(u16::from(how % 2));
        let (tries, lost, time) = (u32::from(how), u32::from(how / 2), Time(u64::from(which) * 100));
        match what % 16 {
            0 | 1 => Input::Opened(conn, peer()),
            2 => Input::Ended(conn, [Ending::Closed, Ending::Broken, Ending::Unread][usize::from(how % 3)]),
            3 | 4 => Input::Message(conn, hello(proxy.0)),
            5 => Input::Message(conn, PeerMessage::Collector { zone }),
            6 => Input::Message(conn, PeerMessage::Acknowledged { proxy, mark: how.into(), took: time }),
            7 | 8 => {
                let node = format!("s-{}", which % 10);
                Input::Message(
                    conn,
                    PeerMessage::Met { zone, node, tries, lost, mean: time, span: Time(10_000), load: None },
                )
            }
            9 => {
                Input::Message(conn, PeerMessage::Asked { proxy, class, exchanges: tries, lost, span: time })
            }
            10 => Input::Message(conn, PeerMessage::Probe),
            11 => Input::MembershipUpdate(number, list(which.into(), how % 5 == 0, &[how % 8, which % 8])),
            12 => {
                let standing = [Standing::Draining, Standing::Gone, Standing::Ready][usize::from(how % 3)];
                let entries = vec![entry(which % 8, standing)];
                Input::MembershipUpdate(
                    number,
                    MembershipUpdate { entries, ..list(100 + u64::from(which), false, &[]) },
                )
            }
            13 => Input::DiscoveryRequestEnded(number, "cause".into()),
            14 if how % 2 == 0 => Input::Peer(None),
            14 if how % 3 == 0 => Input::Renewed(Ok((address(which.into()), vec![]))),
            14 if how % 5 == 0 => Input::Watching(how.into()),
            14 => Input::Refused,
            _ => Input::TimerFired,
        }
    }

    fn play(steps: Vec<(u8, u8, u8)>) {
        let run = || {
            let mut desk = Desk::new(steps.len().is_multiple_of(2));
            let mut live = BTreeSet::new();
            for step in &steps {
                let input = input(*step);
                // A connection's number comes once, before all else of it.
                let stale = |conn: &ConnId| desk.ended.contains(conn);
                match &input {
                    Input::Opened(conn, _) if stale(conn) || !live.insert(*conn) => continue,
                    Input::Message(conn, _) | Input::Ended(conn, _) if !live.contains(conn) => continue,
                    _ => desk.turn(u64::from(step.2) + 1, [input]),
                }
            }
            assert!(!desk.memory.counters.to_string().contains("missed"));
            desk.effects
        };
        assert!(run() == run(), "the same inputs had other effects");
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(250, 11))
        .tests(200)
        .quickcheck(play as fn(Vec<(u8, u8, u8)>));
}

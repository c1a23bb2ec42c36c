//! Nodes that are listed, withdrawn, restored and forgotten.

use oatpitch::interface::*;

use super::harness::{Harness, entry, hello, list};
use crate::inbound::{MembershipEntry, MembershipUpdate, PeerMessage};
use crate::{ConnectionId, Effect, Input, LogLevel};

#[test]
fn a_proxy_is_bound_from_the_known_list_and_follows_changes() {
    let mut harness = Harness::new(false);
    assert_eq!(harness.watches(), [(1, 5)], "followed from the version known");
    harness.open(1, [hello(0)]);
    harness.pass(500);
    let table =
        |harness: &Harness, conn| harness.held(conn).tables["quote"].keys().cloned().collect::<Vec<_>>();
    assert_eq!(table(&harness, 1), ["s-0", "s-1", "s-2"]);
    harness.turn(1, [Input::MembershipUpdate(1, list(6, false, &[3]))]);
    harness.turn(
        1,
        [Input::MembershipUpdate(
            1,
            MembershipUpdate { entries: vec![entry(1, NodeStatus::Draining)], ..list(7, false, &[]) },
        )],
    );
    assert_eq!(
        table(&harness, 1),
        ["s-0", "s-2", "s-3"],
        "taken out at once, and what waited for a flush along"
    );
    harness.pass(500);
    assert_eq!(table(&harness, 1), ["s-0", "s-2", "s-3"]);
    // The acknowledgement of the latest mark is passed on once, and one of a mark that was not ordered is not,
    let mark = *harness.held(1).marks.last().expect("flushes carry marks");
    // nor one whose reported delay is longer than the time since the mark was ordered.
    for took in [Time(u64::MAX), Time::from_ms(600), Time(10), Time(10)] {
        harness.say(1, PeerMessage::Acknowledged { proxy: ProxyId(0), mark, elapsed: took });
    }
    assert_eq!((harness.counted("marks answered"), harness.counted("marks never ordered")), (1, 3));
    // Listed again without a restart: the line and the end of the withdrawal come in one message.
    harness.turn(1, [Input::MembershipUpdate(1, list(8, false, &[1]))]);
    harness.pass(500);
    assert_eq!((table(&harness, 1).len(), harness.held(1).out.len()), (4, 0));
}

/// Guards against a node staying ejected at a proxy that another conductor had told to eject it: the node was gone for
/// a while and came back, and the proxy moved here in between.
#[test]
fn a_node_ejected_by_another_conductor_is_restored() {
    let mut harness = Harness::new(false);
    let back = MembershipEntry { started: Some(Time(10_000)), ..entry(1, NodeStatus::Ready) };
    harness.turn(
        1,
        [Input::MembershipUpdate(1, MembershipUpdate { entries: vec![back], ..list(6, false, &[]) })],
    );
    harness.open(1, [hello(0)]);
    harness.pass(500);
    let first = &harness.written[&ConnectionId(1)][0].parts[0];
    assert_eq!(first.restore, ["s-1".into()]);
}

/// Guards against unbounded memory while all nodes are replaced repeatedly, and against an id that is used for two
/// nodes: a node that comes back after it was forgotten is restored at the proxies that ejected it.
#[test]
fn nodes_gone_for_long_are_forgotten() {
    let mut harness = Harness::new(false);
    harness.open(1, [hello(0)]);
    harness.pass(500);
    let (mut version, mut most) = (5, 0);
    let mut news = |harness: &mut Harness, name: String, standing| {
        version += 1;
        let entry = MembershipEntry { node: name, ..entry(0, standing) };
        harness.turn(
            1,
            [Input::MembershipUpdate(
                1,
                MembershipUpdate { entries: vec![entry], ..list(version, false, &[]) },
            )],
        );
    };
    for k in 0..1_000 {
        news(&mut harness, format!("n-{k}"), NodeStatus::Ready);
        (0..5).for_each(|_| harness.turn(1_000, []));
        for standing in [NodeStatus::Draining, NodeStatus::Gone] {
            news(&mut harness, format!("n-{k}"), standing);
            harness.turn(500, []);
        }
        most = most.max(harness.reducer.node_count());
    }
    // Nodes are kept for ten minutes, and one is replaced every 6 s.
    assert!((100..130).contains(&most), "{most} nodes were known at once");
    assert!(harness.counted("nodes forgotten") > 850);
    news(&mut harness, "n-3".into(), NodeStatus::Ready);
    harness.pass(500);
    let held = harness.held(1);
    assert_eq!(held.tables["quote"].keys().collect::<Vec<_>>(), ["n-3", "s-0", "s-1", "s-2"]);
    assert!(!held.out.contains("n-3"));
}

/// Guards against an entry that could not be parsed removing nodes: a node that such a list does not name is not known
/// to be gone.
#[test]
fn an_unreadable_entry_removes_no_node() {
    let mut harness = Harness::new(false);
    harness.turn(
        1,
        [Input::MembershipUpdate(1, MembershipUpdate { unreadable_entries: 2, ..list(6, true, &[1]) })],
    );
    harness.open(1, [hello(0)]);
    harness.pass(500);
    assert_eq!(harness.held(1).tables["quote"].len(), 3);
    assert_eq!(harness.counted("entries unreadable"), 2);
    harness.turn(1, [Input::MembershipUpdate(1, list(7, true, &[1]))]);
    harness.pass(500);
    assert_eq!(harness.held(1).tables["quote"].len(), 1);
}

/// Guards against a proxy that goes on sending by the table of another conductor, whose nodes are gone by the list of this
/// one: it started with a list without nodes and sent nothing. A conductor that holds no list at all sends nothing.
#[test]
fn a_proxy_that_joins_a_conductor_with_an_emptied_list_gets_an_empty_table() {
    let joined = PeerMessage::ProxyJoined {
        proxy: ProxyId(0),
        zone: ZoneId(0),
        exchanges_per_second: 5.0,
        only_standing_tables: false,
        clears_ejections: false,
        tags: Default::default(),
    };
    let mut harness = Harness::knowing(false, list(5, true, &[]));
    harness.open(1, [joined.clone()]);
    harness.pass(500);
    let text = "discovery: the list has no nodes; proxies are told to use none";
    let warning = Effect::Log(LogLevel::Warning, text.into());
    assert_eq!(harness.effects.iter().filter(|effect| **effect == warning).count(), 1);
    let parts = &harness.written[&ConnectionId(1)][0].parts;
    assert!(
        parts.iter().any(|part| part.full && part.classes.is_empty() && part.lines.is_empty()),
        "{parts:?}"
    );
    harness.turn(1, [Input::MembershipUpdate(1, list(6, true, &[0, 1]))]);
    harness.pass(500);
    assert_eq!(harness.held(1).tables["quote"].len(), 2);

    let mut harness = Harness::knowing(false, MembershipUpdate::default());
    harness.open(1, [joined]);
    harness.pass(5_000);
    assert_eq!(harness.written.get(&ConnectionId(1)), None);
}

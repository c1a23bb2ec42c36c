//! Nodes that another conductor had its proxies shut out are let back by the next one, whose list always had them.

use oatpitch::interface::NodeStatus;

use super::harness::{Harness, entry, hello, list};
use super::model_proxy::{CLASSES, ModelProxy};
use crate::inbound::{MembershipUpdate, PeerMessage};
use crate::{ConnectionId, Input};

/// Time by which a proxy must have a line for each class, and by which all nodes must be let back, in milliseconds.
const FIRST_LINE_MS: u64 = 500;
const ALL_LINES_MS: u64 = 3_000;

/// Greeting of a proxy that comes from another conductor.
fn hello_from_another(number: u16) -> PeerMessage {
    match hello(number) {
        PeerMessage::ProxyJoined { proxy, zone, exchanges_per_second, tags, .. } => {
            PeerMessage::ProxyJoined {
                proxy,
                zone,
                exchanges_per_second,
                only_standing_tables: false,
                clears_ejections: false,
                tags,
            }
        }
        other => other,
    }
}

/// Returns the state of a proxy that had shut out all nodes and has applied all messages written to its connection.
fn held_by_proxy_that_shut_out_all(harness: &Harness, conn: u64, nodes: u8) -> ModelProxy {
    let mut model =
        ModelProxy { out: (0..nodes).map(|k| format!("s-{k}")).collect(), ..ModelProxy::default() };
    for message in harness.written.get(&ConnectionId(conn)).into_iter().flatten() {
        model.apply(message);
    }
    model
}

/// Review case 1: the next conductor let back only nodes that it had seen drain, start anew or go itself. Proxies that
/// another one had shut out the nodes of a class stayed without a line for it.
#[test]
fn nodes_shut_out_by_another_conductors_list_are_let_back() {
    let nodes = 20;
    let all: Vec<u8> = (0..nodes).collect();
    let mut harness = Harness::knowing(false, list(5, true, &all));
    harness.pass(10_000);
    (0..6).for_each(|proxy| harness.open(u64::from(proxy) + 1, [hello_from_another(proxy)]));
    harness.pass(FIRST_LINE_MS);
    for conn in 1..=6 {
        let held = held_by_proxy_that_shut_out_all(&harness, conn, nodes);
        for class in CLASSES {
            assert!(!held.open(class).is_empty(), "connection {conn} has no line for {class}");
        }
    }
    harness.pass(ALL_LINES_MS);
    for conn in 1..=6 {
        let held = held_by_proxy_that_shut_out_all(&harness, conn, nodes);
        assert!(held.out.is_empty(), "connection {conn}: {:?}", held.out);
    }
}

/// It is paid for once on each stream, and not at proxies that were never ordered anything.
#[test]
fn nodes_are_let_back_once_on_a_stream_and_not_at_new_proxies() {
    let mut harness = Harness::knowing(false, list(5, true, &[0, 1, 2, 3]));
    harness.open(1, [hello_from_another(0)]);
    harness.open(2, [hello(1)]);
    harness.pass(30_000);
    let restored = |conn: u64| -> usize {
        let messages = harness.written[&ConnectionId(conn)].iter();
        messages.flat_map(|message| &message.parts).map(|part| part.restore.len()).sum()
    };
    assert_eq!(restored(1), 4);
    assert_eq!(restored(2), 0);
}

/// A node that this conductor has withdrawn stays shut out when the others are let back.
#[test]
fn withdrawn_nodes_stay_shut_out_when_others_are_let_back() {
    let mut harness = Harness::knowing(false, list(5, true, &[0, 1, 2, 3]));
    let draining = MembershipUpdate { entries: vec![entry(2, NodeStatus::Draining)], ..list(6, false, &[]) };
    harness.turn(1, [Input::MembershipUpdate(1, draining)]);
    harness.open(1, [hello_from_another(0)]);
    harness.pass(FIRST_LINE_MS + ALL_LINES_MS);
    let held = held_by_proxy_that_shut_out_all(&harness, 1, 4);
    for class in CLASSES {
        assert_eq!(held.open(class), ["s-0", "s-1", "s-3"], "{class}");
    }
}

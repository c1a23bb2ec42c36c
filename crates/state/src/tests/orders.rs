//! Generated orders, applied by a model proxy and compared with a model of what was ordered.

use std::collections::{BTreeMap, BTreeSet};

use oatpitch::interface::*;
use quickcheck::{Gen, QuickCheck};

use super::model_proxy::{CLASSES, ModelProxy, PROXIES};
use crate::ConnectionId;
use crate::counters::Counters;
use crate::desired_state::DesiredState;
use crate::node_names::NodeNames;

/// What was ordered, and how many lines that costs by the wire specification.
#[derive(Default)]
struct Model {
    tables: BTreeMap<u16, BTreeMap<NodeId, f32>>,
    levels: BTreeMap<(u16, u16), (f32, RetryPolicy)>,
    withdrawn: BTreeSet<NodeId>,
    bound: BTreeMap<(u16, usize), u16>,
    proxies: BTreeMap<u16, ModelProxy>,
    /// Lines of this turn, by affected proxy.
    turn: BTreeMap<u16, usize>,
}

impl Model {
    fn count(&mut self, proxy: u16, lines: usize) {
        *self.turn.entry(proxy).or_default() += lines;
    }

    fn users(&self, table: u16) -> BTreeSet<u16> {
        self.bound.iter().filter(|(_, bound)| **bound == table).map(|((proxy, _), _)| *proxy).collect()
    }
}

/// For any orders, each proxy that applies its messages ends with exactly the ordered table, levels and withdrawals. The
/// messages cost no more lines than the wire specification says, except for restored nodes that another conductor may
/// have ejected.
#[test]
fn a_model_proxy_ends_with_the_ordered_state() {
    fn play(steps: Vec<(u8, u8, u8)>) {
        let (mut names, mut counters) = (NodeNames::default(), Counters::default());
        let nodes: Vec<NodeId> = (0..6).map(|k| names.id_or_insert(&format!("s-{k}"))).collect();
        let name = |node: NodeId| format!("s-{}", node.0[3]);
        let mut ordered = DesiredState::new(CLASSES.len() as u16);
        nodes[..3].iter().for_each(|node| ordered.mark_possibly_ejected(*node));
        let mut model = Model::default();
        for (k, (what, which, how)) in steps.into_iter().enumerate() {
            let (proxy, table) = (u16::from(which) % PROXIES, u16::from(how) % 2);
            let node = nodes[usize::from(which) % nodes.len()];
            let named = (0..2).filter(|class| (how / 2) & (1 << class) != 0).map(ClassId);
            let classes = ClassSet(named.collect());
            let named = classes.0.clone();
            let meant = |class: usize| named.is_empty() || named.contains(&ClassId(class as u16));
            match what % 8 {
                0 => {
                    ordered.add_stream(ProxyId(proxy.into()), ConnectionId(k as u64), false, false);
                    // It keeps the ejections of another conductor.
                    let out = nodes[..3].iter().filter(|node| how & (1 << node.0[3]) != 0);
                    let plain =
                        ModelProxy { out: out.map(|node| name(*node)).collect(), ..ModelProxy::default() };
                    model.proxies.insert(proxy, plain);
                    model.bound.retain(|(bound, _), _| *bound != proxy);
                    model.turn.remove(&proxy);
                }
                1 => {
                    ordered.remove_stream(ProxyId(proxy.into()));
                    model.proxies.remove(&proxy);
                    model.bound.retain(|(bound, _), _| *bound != proxy);
                    model.turn.remove(&proxy);
                }
                2 => {
                    let weight = f64::from(how / 2 % 4) * 0.3;
                    ordered.set_line(TableId(table), node, weight);
                    let lines = model.tables.entry(table).or_default();
                    if weight > 0.0 {
                        lines.insert(node, weight as f32)
                    } else {
                        lines.remove(&node)
                    };
                    model.users(table).into_iter().for_each(|proxy| model.count(proxy, 1));
                }
                3 if model.proxies.contains_key(&proxy) => {
                    ordered.bind_proxy(ProxyId(proxy.into()), TableId(table), classes);
                    for class in (0..CLASSES.len()).filter(|class| meant(*class)) {
                        model.bound.insert((proxy, class), table);
                    }
                    // The cost of the full table as it is at the end of the turn.
                    model.count(proxy, 1 + nodes.len() + CLASSES.len() + nodes.len());
                }
                4 => {
                    ordered.set_withdrawn(node, how % 2 == 0);
                    if how % 2 == 0 {
                        model.withdrawn.insert(node)
                    } else {
                        model.withdrawn.remove(&node)
                    };
                    let proxies: Vec<u16> = model.proxies.keys().copied().collect();
                    proxies.into_iter().for_each(|proxy| model.count(proxy, 1));
                }
                5 => {
                    let tries = [RetryPolicy::Never, RetryPolicy::Once][usize::from(which % 2)];
                    ordered.set_level(Some(TableId(table)), classes, tries, 0.5);
                    for class in (0..CLASSES.len()).filter(|class| meant(*class)) {
                        model.levels.insert((table, class as u16), (0.5, tries));
                        model.users(table).into_iter().for_each(|proxy| model.count(proxy, 1));
                    }
                }
                6 => {
                    ordered.clear_table(TableId(table));
                    model.tables.remove(&table);
                    model.levels.retain(|(cleared, _), _| *cleared != table);
                    let whole = 1 + 2 * nodes.len() + CLASSES.len();
                    model.users(table).into_iter().for_each(|proxy| model.count(proxy, whole));
                }
                _ => {
                    ordered.request_acknowledgement(k as u16, how % 4 == 0);
                    close(&mut ordered, &names, &mut counters, &mut model, Some(how % 4 == 0));
                }
            }
        }
        close(&mut ordered, &names, &mut counters, &mut model, None);
        for (proxy, plain) in &model.proxies {
            for (class, class_name) in CLASSES.iter().enumerate() {
                let Some(table) = model.bound.get(&(*proxy, class)) else { continue };
                let lines = model.tables.get(table).cloned().unwrap_or_default();
                let held = plain.tables.get(*class_name).cloned().unwrap_or_default();
                let wanted: BTreeMap<String, f32> =
                    lines.iter().map(|(node, weight)| (name(*node), *weight)).collect();
                assert_eq!(held, wanted, "proxy {proxy}, {class_name}");
                let level = model.levels.get(&(*table, class as u16));
                assert_eq!(plain.levels.get(*class_name), level, "proxy {proxy}, {class_name}");
                for node in lines.keys() {
                    let shut = plain.out.contains(&name(*node));
                    assert_eq!(shut, model.withdrawn.contains(node), "proxy {proxy}, {}", name(*node));
                }
            }
            if !(0..CLASSES.len()).any(|class| model.bound.contains_key(&(*proxy, class))) {
                assert!(plain.tables.is_empty() && plain.levels.is_empty(), "orders for an unbound proxy");
            }
        }
    }

    fn close(
        ordered: &mut DesiredState,
        names: &NodeNames,
        counters: &mut Counters,
        model: &mut Model,
        everyone: Option<bool>,
    ) {
        let conns: BTreeMap<ConnectionId, u16> =
            ordered.streams.iter().map(|(proxy, stream)| (stream.conn, proxy.0 as u16)).collect();
        let mut written = BTreeSet::new();
        let messages = ordered.close_turn(Time(1), 0, names, counters);
        let each = messages.iter().flat_map(|(to, message)| to.iter().map(move |conn| (conn, message)));
        for (conn, message) in each {
            let proxy = conns[conn];
            assert!(written.insert(proxy), "two messages in one turn");
            let plain = model.proxies.get_mut(&proxy).expect("joined");
            let cost = plain.apply(message);
            // Nodes that may be ejected are restored once per stream, in addition to what the specification counts.
            let most = model.turn.get(&proxy).map_or(0, |lines| lines + 3) + usize::from(everyone.is_some());
            assert!(cost <= most, "{cost} lines where {most} are reckoned with");
            assert!(everyone == Some(true) || model.turn.contains_key(&proxy), "no order concerns it");
        }
        if everyone == Some(true) {
            assert_eq!(written.len(), model.proxies.len());
        }
        model.turn.clear();
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 7))
        .tests(400)
        .quickcheck(play as fn(Vec<(u8, u8, u8)>));
}

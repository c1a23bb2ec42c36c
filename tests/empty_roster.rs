//! Regression tests of conductors whose roster lists no node: proxies that join them must stop sending to the nodes of
//! other conductors' tables, which are gone by this roster.

mod helpers;

use std::collections::{BTreeMap, BTreeSet};

use helpers::scenario::*;
use helpers::*;
use oatpitch::Balance;
use oatpitch::interface::*;

/// Proxies that join, with tables of another conductor.
const PROXIES: u32 = 150;
/// Nodes that are listed later.
const NODES: u8 = 32;

/// Returns a conductor of a service whose table has four parts for [`NODES`] nodes. It has not been told of any roster.
fn conductor_without_roster() -> Scenario {
    let mut settings = service_settings();
    settings.proxy_count = 400;
    let mut host = FakeHost::default();
    host.now = ms(60_000);
    host.part_count = 4;
    host.known_nodes.extend((0..NODES).map(node));
    let balance = Balance::start(host.now, settings.clone(), 7, &mut host);
    Scenario { host, balance, settings, load_reports: BTreeMap::new() }
}

fn replace_roster(scenario: &mut Scenario, entries: &[RosterEntry], cached: bool) {
    scenario.balance.roster_replaced(scenario.host.now, entries, cached, &mut scenario.host);
    scenario.run_rules();
}

/// Runs turns for a time, and fails if more waits in the channel than the settings allow.
fn run_within_backlog(scenario: &mut Scenario, duration: Time) {
    let end = scenario.host.now + duration;
    while scenario.host.now < end {
        scenario.run_step();
        let queued = scenario.host.queued_lines;
        assert!(queued <= scenario.settings.max_queued_lines, "{queued} at {:?}", scenario.host.now);
    }
}

/// Returns the time after which an order has arrived within the time that the rules state.
fn time_to_order(settings: &ServiceSettings) -> Time {
    settings.stop_sending_within - settings.max_delivery_delay
}

/// Has proxies with tables of another conductor join, and fails if any is not bound to a table without lines in time.
fn assert_joined_proxies_are_bound_to_nothing(scenario: &mut Scenario) {
    (0..PROXIES).for_each(|proxy| scenario.join(proxy, false));
    run_within_backlog(scenario, time_to_order(&scenario.settings));
    assert_eq!(scenario.host.bound_proxies.len(), PROXIES as usize);
    let tables: BTreeSet<TableId> = scenario.host.bind_orders.iter().map(|(_, table)| *table).collect();
    assert!(tables.iter().all(|table| scenario.host.line_count(*table) == 0), "{tables:?}");
    scenario.run_seconds(20, |_| None);
    assert_eq!(scenario.host.bind_orders.len(), PROXIES as usize, "each is bound once");
}

/// Guards against proxies that go on sending to nodes which are gone by the list of their conductor: one that started with
/// an emptied list bound nobody.
#[test]
fn proxies_that_join_a_conductor_with_an_emptied_list_use_no_other_table() {
    for cached in [true, false] {
        let mut scenario = conductor_without_roster();
        replace_roster(&mut scenario, &[], cached);
        assert_joined_proxies_are_bound_to_nothing(&mut scenario);
    }
}

/// The same for an emptied list whose nodes were forgotten since.
#[test]
fn proxies_that_join_long_after_the_list_emptied_use_no_other_table() {
    let mut scenario = conductor_without_roster();
    let entries: Vec<RosterEntry> = (0..NODES).map(ready_entry).collect();
    replace_roster(&mut scenario, &entries, true);
    scenario.run_seconds(5, |_| None);
    replace_roster(&mut scenario, &[], false);
    scenario.run_seconds(11 * 60, |_| None);
    scenario.change_roster(&[]);
    assert_joined_proxies_are_bound_to_nothing(&mut scenario);
}

/// Guards against a table that is never split, or proxies that stay without a line, because they were bound before the first
/// node was listed.
#[test]
fn the_first_nodes_reach_the_proxies_that_were_bound_to_nothing() {
    let mut scenario = conductor_without_roster();
    replace_roster(&mut scenario, &[], true);
    assert_joined_proxies_are_bound_to_nothing(&mut scenario);
    let entries: Vec<RosterEntry> = (0..NODES).map(ready_entry).collect();
    let orders_before = scenario.host.bind_orders.len();
    replace_roster(&mut scenario, &entries, false);
    let span = time_to_order(&scenario.settings);
    run_within_backlog(&mut scenario, span);
    let bound: BTreeMap<ProxyId, TableId> = scenario.host.bind_orders.iter().copied().collect();
    assert!(bound.values().all(|table| scenario.host.line_count(*table) > 0), "{bound:?}");
    assert_eq!(bound.values().collect::<BTreeSet<_>>().len(), 4, "parts in use");
    assert_eq!(scenario.host.bind_orders.len() - orders_before, PROXIES as usize, "each is bound once");
}

/// A conductor that was told of no roster must leave the proxies their tables.
#[test]
fn a_conductor_without_a_roster_binds_nobody() {
    let mut scenario = conductor_without_roster();
    (0..PROXIES).for_each(|proxy| scenario.join(proxy, false));
    scenario.run_seconds(20, |_| None);
    assert_eq!(scenario.host.bind_orders, []);
}

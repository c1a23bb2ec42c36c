//! Regression tests of conductors that take over proxies which another one served: what a conductor did not hear
//! must not count as good news.

mod helpers;

use helpers::scenario::*;
use helpers::*;
use oatpitch::interface::*;

/// Nodes that have just started in all scenarios here.
const COLD: [u8; 2] = [4, 5];

/// Usual rate of the proxies that are taken over, in exchanges a second.
const RATE: f64 = 5.0;

/// Restarts two nodes, which are cold afterwards.
fn restart_two_nodes(scenario: &mut Scenario) {
    scenario.change_status(COLD, NodeStatus::Gone, None);
    scenario.run_seconds(1, |_| None);
    scenario.change_status(COLD, NodeStatus::Ready, Some(scenario.host.now));
    scenario.run_seconds(1, |_| None);
}

/// Has six proxies that hold another conductor's tables join.
fn take_over(scenario: &mut Scenario) {
    (0..6).for_each(|proxy| scenario.join_with_rate(RATE, proxy, false));
}

/// Advances the clock. Fails if a cold node has a line, or a retry is allowed, while one of the proxies taken
/// over is bound.
fn run_cautiously(scenario: &mut Scenario, seconds: u64, report: impl Fn(&mut Scenario)) {
    for step in 0..seconds * STEPS_PER_SECOND {
        if step % STEPS_PER_SECOND == 0 {
            report(scenario);
        }
        scenario.run_step();
        assert_cautious(scenario);
    }
}

fn assert_cautious(scenario: &Scenario) {
    if !(0..6).any(|proxy| scenario.host.bound_proxies.contains(&ProxyId(proxy))) {
        return;
    }
    for k in COLD {
        assert_eq!(scenario.weight(k), 0.0, "weight of cold node {k} at {:?}", scenario.host.now);
    }
    let policies = &scenario.host.retry_policies;
    assert!(policies.values().all(|policy| *policy == RetryPolicy::Never), "{policies:?}");
}

/// Reports a fleet in which all warm nodes are overloaded.
fn report_overload(scenario: &mut Scenario) {
    for k in (0..8).filter(|k| !COLD.contains(k)) {
        scenario.report_tries(k, overloaded(k).unwrap());
    }
}

/// Reports that exchanges come to the proxies, but no try.
fn report_demand_alone(scenario: &mut Scenario) {
    (0..6).for_each(|proxy| scenario.report_demand(proxy, 20, 0));
}

/// Takes proxies over, hears nothing for as long as reports take, and then of an overload. All this time, the
/// conductor must be cautious; it must not be once the overload is over.
fn assert_cautious_until_the_overload_ends(scenario: &mut Scenario) {
    run_cautiously(scenario, 2, |_| {});
    assert!((0..6).all(|proxy| scenario.host.bound_proxies.contains(&ProxyId(proxy))));
    run_cautiously(scenario, 4, report_overload);
    scenario.run_seconds(7, healthy);
    assert!(COLD.iter().all(|k| scenario.weight(*k) > 0.0), "cold nodes have a share again");
    assert_eq!(scenario.host.retry_policies[&1], RetryPolicy::Once);
}

/// Review case 2: a conductor that had never had proxies took the silence for a fleet that keeps up. When it took
/// over in an overload, proxies that avoided the overloaded nodes overloaded the cold ones.
#[test]
fn conductor_without_proxies_is_cautious_when_it_takes_over_in_an_overload() {
    let mut scenario = Scenario::without_proxies(service_settings());
    scenario.run_seconds(20, |_| None);
    restart_two_nodes(&mut scenario);
    take_over(&mut scenario);
    assert_cautious_until_the_overload_ends(&mut scenario);
}

/// The same for a conductor whose proxies were well, and left: what it heard of them says nothing about an overload
/// that came later.
#[test]
fn conductor_whose_proxies_left_is_cautious_when_it_takes_over_in_an_overload() {
    let mut scenario = Scenario::new(|_| {});
    scenario.run_seconds(10, healthy);
    assert_eq!(scenario.host.retry_policies[&1], RetryPolicy::Once);
    (0..6).for_each(|proxy| scenario.leave(proxy));
    scenario.run_seconds(60, |_| None);
    restart_two_nodes(&mut scenario);
    take_over(&mut scenario);
    assert_cautious_until_the_overload_ends(&mut scenario);
}

/// The same for a conductor with one proxy that has nothing to do, whether that stays or leaves: its silence says
/// nothing about those that join.
#[test]
fn conductor_with_an_idle_proxy_is_cautious_when_it_takes_over_in_an_overload() {
    for leaves in [false, true] {
        let mut scenario = Scenario::without_proxies(service_settings());
        scenario.join_with_rate(50.0, 20, true);
        scenario.join_with_rate(0.1, 21, true);
        scenario.run_seconds(20, |_| None);
        restart_two_nodes(&mut scenario);
        if leaves {
            scenario.leave(20);
        } else {
            scenario.join_with_rate(0.1, 20, false);
            scenario.run_seconds(5, |_| None);
        }
        take_over(&mut scenario);
        assert_cautious_until_the_overload_ends(&mut scenario);
    }
}

/// The same while so many proxies join that binding them is urgent, before changes of the table.
#[test]
fn conductor_with_an_idle_proxy_is_cautious_when_it_takes_over_a_whole_fleet() {
    let mut scenario = Scenario::without_proxies(service_settings());
    scenario.join_with_rate(0.1, 1_000, true);
    scenario.run_seconds(20, |_| None);
    restart_two_nodes(&mut scenario);
    (0..600).for_each(|proxy| scenario.join_with_rate(RATE, proxy, false));
    run_cautiously(&mut scenario, 2, |_| {});
    assert!((0..6).all(|proxy| scenario.host.bound_proxies.contains(&ProxyId(proxy))));
    run_cautiously(&mut scenario, 4, report_overload);
}

/// A conductor hears from its proxies that they have exchanges, but of no try: its collectors are silent. Nothing
/// then shows that the fleet keeps up.
#[test]
fn conductor_is_cautious_as_long_as_only_the_demand_is_reported() {
    let mut scenario = Scenario::without_proxies(service_settings());
    scenario.run_seconds(20, |_| None);
    restart_two_nodes(&mut scenario);
    take_over(&mut scenario);
    run_cautiously(&mut scenario, 8, report_demand_alone);
    scenario.run_seconds(6, healthy);
    assert_eq!(scenario.host.retry_policies[&1], RetryPolicy::Once);
}

/// An overload is not over because nothing more is heard of it while exchanges still come.
#[test]
fn overload_lasts_until_reports_show_its_end() {
    let mut scenario = Scenario::new(|settings| settings.warm_up_time = ms(60_000));
    scenario.run_seconds(8, overloaded);
    scenario.run_seconds(16, |_| None);
    assert_eq!(scenario.host.retry_policies[&1], RetryPolicy::Once, "no exchanges, so no overload");
    scenario.run_seconds(8, overloaded);
    restart_two_nodes(&mut scenario);
    run_cautiously(&mut scenario, 25, report_demand_alone);
    scenario.run_seconds(8, healthy);
    assert_eq!(scenario.host.retry_policies[&1], RetryPolicy::Once);
}

/// Collectors fall silent in a fleet that was well: after a while nothing shows any more that it still is.
#[test]
fn fleet_counts_as_strained_while_tries_are_no_longer_reported() {
    let mut scenario = Scenario::new(|settings| settings.warm_up_time = ms(60_000));
    scenario.run_seconds(10, healthy);
    restart_two_nodes(&mut scenario);
    for _ in 0..7 {
        report_demand_alone(&mut scenario);
        scenario.run_seconds(1, |_| None);
    }
    run_cautiously(&mut scenario, 20, report_demand_alone);
    scenario.run_seconds(8, healthy);
    assert!(COLD.iter().all(|k| scenario.weight(*k) > 0.0), "cold nodes have a share again");
    assert_eq!(scenario.host.retry_policies[&1], RetryPolicy::Once);
}

/// What is admitted in an overload must be neither raised nor cut because nothing more is heard of it while exchanges
/// still come.
#[test]
fn levels_stay_while_tries_are_no_longer_reported() {
    let mut scenario = Scenario::new(|_| {});
    scenario.run_seconds(20, overloaded);
    // What was heard until now still counts for a while.
    for _ in 0..12 {
        report_demand_alone(&mut scenario);
        scenario.run_seconds(1, |_| None);
    }
    let admitted = scenario.host.admitted_amounts.clone();
    assert!(admitted.values().all(|amount| *amount < ADMIT_ALL), "{admitted:?}");
    for _ in 0..40 {
        report_demand_alone(&mut scenario);
        scenario.run_seconds(1, |_| None);
        for (classes, amount) in &scenario.host.admitted_amounts {
            let change = (amount - admitted[classes]).abs();
            assert!(change < 0.01 * admitted[classes], "{amount} after {admitted:?}");
        }
    }
    scenario.run_seconds(60, healthy);
    let admitted = &scenario.host.admitted_amounts;
    assert!(admitted.values().all(|amount| *amount == ADMIT_ALL), "{admitted:?}");
}

/// A conductor with a small part of the proxies hears so few tries of each node that it can judge none. All of them
/// together show an overload.
#[test]
fn overload_shows_where_no_node_has_enough_tries_to_be_judged() {
    let mut scenario = Scenario::new(|_| {});
    scenario.run_seconds(10, |_| tries(2, 0, 100));
    assert_eq!(scenario.host.retry_policies[&1], RetryPolicy::Once);
    scenario.run_seconds(6, |_| tries(2, 1, 100));
    assert_eq!(scenario.host.retry_policies[&1], RetryPolicy::Never);
    scenario.run_seconds(10, |_| tries(2, 0, 100));
    assert_eq!(scenario.host.retry_policies[&1], RetryPolicy::Once);
}

/// A proxy that seldom has an exchange must not make its conductor cautious time and again, whether the exchange or
/// its try is reported first.
#[test]
fn rare_exchanges_do_not_count_as_unreported() {
    let mut scenario = Scenario::new(|_| {});
    scenario.run_seconds(10, healthy);
    for round in 0..8 {
        let (before, after) = if round % 2 == 0 { (1, 0) } else { (0, 1) };
        (0..before).for_each(|_| scenario.report_demand(0, 1, 0));
        scenario.run_seconds(1, |_| None);
        scenario.report_tries(0, tries(1, 0, 100).unwrap());
        (0..after).for_each(|_| scenario.report_demand(0, 1, 0));
        scenario.run_seconds(9, |_| None);
        assert_eq!(scenario.host.retry_policies[&1], RetryPolicy::Once, "round {round}");
    }
}

/// Caution must not last without a reason: proxies that join and have nothing to do are taken at their word.
#[test]
fn conductor_of_proxies_without_exchanges_allows_retries_after_a_while() {
    let mut scenario = Scenario::without_proxies(service_settings());
    take_over(&mut scenario);
    scenario.run_seconds(4, |_| None);
    assert_eq!(scenario.host.retry_policies[&1], RetryPolicy::Never);
    scenario.run_seconds(4, |_| None);
    assert_eq!(scenario.host.retry_policies[&1], RetryPolicy::Once);
}

/// A conductor that hears its own proxies well must not be made cautious by others that join: the fleet is the same.
#[test]
fn conductor_that_hears_the_fleet_keeps_its_judgement_when_it_takes_over() {
    let mut scenario = Scenario::new(|_| {});
    scenario.run_seconds(10, healthy);
    (6..30).for_each(|proxy| scenario.join_with_rate(RATE, proxy, false));
    scenario.run_seconds(3, healthy);
    assert_eq!(scenario.host.retry_policies[&1], RetryPolicy::Once);
}

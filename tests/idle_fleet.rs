//! Regression tests of fleets that have little or nothing to do for a time: what a conductor believed before, or did not hear
//! meanwhile, must not count against anybody once exchanges come again.

mod helpers;

use helpers::scenario::*;
use helpers::*;
use oatpitch::interface::*;

/// Fails if any of the eight nodes has less than its listed weight.
fn assert_listed_weights(scenario: &Scenario) {
    let weights: Vec<f64> = (0..8).map(|k| scenario.weight(k)).collect();
    assert_eq!(weights, [1.0; 8], "{:?}", scenario.host.notes);
}

/// Guards against sound nodes that are put on trial after an idle time: the first reports cover some of the nodes only, and
/// the others seemed not to have answered for as long as nothing was asked of them.
#[test]
fn nodes_that_are_reported_last_after_an_idle_time_keep_their_weight() {
    for idle_seconds in [20, 60, 3_600] {
        let mut scenario = Scenario::new(|_| {});
        scenario.run_seconds(10, healthy);
        for first_half in [true, false] {
            scenario.run_seconds(idle_seconds, |_| None);
            scenario.run_seconds(1, |k| healthy(k).filter(|_| (k < 4) == first_half));
            assert_listed_weights(&scenario);
            scenario.run_seconds(10, healthy);
            assert_listed_weights(&scenario);
        }
    }
}

/// The same at a conductor that nobody had joined for a time.
#[test]
fn nodes_that_are_reported_last_after_proxies_joined_keep_their_weight() {
    let mut scenario = Scenario::without_proxies(service_settings());
    scenario.run_seconds(600, |_| None);
    (0..6).for_each(|proxy| scenario.join(proxy, false));
    scenario.run_seconds(2, |_| None);
    scenario.run_seconds(1, |k| healthy(k).filter(|_| k < 4));
    assert_listed_weights(&scenario);
}

/// The same of a service with one try in a while, at any of the nodes.
#[test]
fn nodes_of_a_service_with_few_tries_keep_their_weight() {
    for seconds_between in [2, 4, 7, 30, 120] {
        let mut scenario = Scenario::new(|_| {});
        let mut random = fastrand::Rng::with_seed(seconds_between);
        for _ in 0..200 {
            scenario.report_tries(random.u8(0..8), tries(1, 0, 100).expect("a report"));
            scenario.run_seconds(seconds_between, |_| None);
            assert_listed_weights(&scenario);
        }
    }
}

/// A node that is silent from before an idle time is still found soon after exchanges come again.
#[test]
fn a_silent_node_is_put_on_trial_soon_after_an_idle_time() {
    let mut scenario = Scenario::new(|_| {});
    scenario.run_seconds(10, healthy);
    scenario.run_seconds(60, |_| None);
    scenario.run_seconds(4, |k| healthy(k).filter(|_| k != 5));
    assert!(scenario.weight(5) < 0.05, "{}", scenario.weight(5));
    assert!((0..8).filter(|k| *k != 5).all(|k| scenario.weight(k) == 1.0));
}

/// Trials, cuts and levels of an overload do not outlast an idle time.
#[test]
fn an_overload_leaves_nothing_behind_after_an_idle_time() {
    for leaves in [false, true] {
        let mut scenario = Scenario::new(|_| {});
        scenario.run_seconds(10, healthy);
        scenario.run_seconds(4, |k| if k == 2 { tries(20, 20, 0) } else { healthy(k) });
        assert!(scenario.weight(2) < 0.05);
        scenario.run_seconds(20, overloaded);
        assert!(scenario.host.admitted_amounts.values().any(|amount| *amount < ADMIT_ALL));
        if leaves {
            (0..6).for_each(|proxy| scenario.leave(proxy));
        }
        scenario.run_seconds(3_600, |_| None);
        if leaves {
            (0..6).for_each(|proxy| scenario.join(proxy, false));
            scenario.run_seconds(2, |_| None);
        }
        let admitted = &scenario.host.admitted_amounts;
        assert!(admitted.values().all(|amount| *amount == ADMIT_ALL), "{admitted:?}");
        assert_listed_weights(&scenario);
    }
}

/// Returns a number of tries drawn from a Poisson distribution.
fn random_tries(random: &mut fastrand::Rng, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let mut product = random.f64();
    let mut count = 0;
    while product > limit {
        product *= random.f64();
        count += 1;
    }
    count
}

/// Guards against sound nodes that are put on trial, or limits without an overload, because exchanges become few or many,
/// stop, or proxies leave and others join.
#[test]
fn a_sound_fleet_keeps_its_weights_whatever_comes_to_it() {
    const TRIES_PER_NODE: [f64; 6] = [0.05, 0.3, 1.0, 5.0, 20.0, 60.0];
    for seed in 0..60 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut scenario = Scenario::new(|_| {});
        let mut mean = 20.0;
        let mut is_joined = true;
        for _ in 0..300 {
            match random.u8(0..20) {
                0 => scenario.run_seconds(random.u64(1..120), |_| None),
                1 => mean = TRIES_PER_NODE[random.usize(0..TRIES_PER_NODE.len())],
                2 if is_joined => {
                    (0..6).for_each(|proxy| scenario.leave(proxy));
                    is_joined = false;
                }
                2 => {
                    (0..6).for_each(|proxy| scenario.join(proxy, false));
                    is_joined = true;
                }
                _ => {}
            }
            for k in (0..8).filter(|_| is_joined) {
                let count = random_tries(&mut random, mean);
                if count > 0 {
                    scenario.report_tries(k, tries(count, 0, 100).expect("a report"));
                }
            }
            scenario.run_seconds(1, |_| None);
            assert_listed_weights(&scenario);
            assert!(
                scenario.host.admitted_amounts.values().all(|amount| *amount == ADMIT_ALL),
                "seed {seed}"
            );
        }
    }
}

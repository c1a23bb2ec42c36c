//! Watches and fetches of the list of nodes, in and out of order.

use oatpitch::interface::*;

use super::harness::{Harness, address, entry, hello, list};
use crate::inbound::MembershipUpdate;
use crate::{Effect, Input, limits};

#[test]
fn a_watch_is_reopened_from_the_held_version_with_growing_delays() {
    let mut harness = Harness::new(false);
    let mut waits = Vec::new();
    for number in 1..=8 {
        let ended = harness.now;
        harness.turn(1, [Input::DiscoveryRequestEnded(number, "reset".into())]);
        while harness.watches().len() as u64 == number {
            harness.turn(10, []);
        }
        waits.push((harness.now - ended).0 / 10);
    }
    assert!((50..=170).contains(&waits[0]) && (400..=1_300).contains(&waits[7]), "{waits:?}");
    harness.turn(1, [Input::MembershipUpdate(9, list(6, false, &[3]))]);
    // The end and the updates of an earlier watch do not affect this one.
    harness.turn(
        1,
        [Input::DiscoveryRequestEnded(3, "late".into()), Input::MembershipUpdate(3, list(1, true, &[]))],
    );
    harness.turn(1, [Input::DiscoveryRequestEnded(9, "reset".into())]);
    harness.pass(300);
    assert_eq!(harness.watches().last(), Some(&(10, 6)));
}

/// Guards against updates lost while discovery moves to another address: the old watch is used until the new one is
/// answered, and no stream is affected. A configuration that is refused changes nothing.
#[test]
fn the_old_watch_is_kept_until_discovery_answers_at_its_new_address() {
    let mut harness = Harness::new(false);
    harness.open(1, [hello(0)]);
    harness.pass(500);
    let unwatched = |harness: &Harness, number| harness.effects.contains(&Effect::CancelRequest(number));
    harness.turn(
        1,
        [Input::ConfigReloaded(Err("seed: missing".into())), Input::ConfigReloaded(Ok((address(1), vec![])))],
    );
    assert_eq!(harness.watches(), [(1, 5)]);
    harness.turn(1, [Input::ConfigReloaded(Ok((address(2), vec!["listen"])))]);
    assert!(harness.effects.contains(&Effect::SetDiscoveryAddress(address(2))));
    // Moved again before the new watch was answered: the first watch is still the one that delivers updates.
    harness.turn(1, [Input::ConfigReloaded(Ok((address(3), vec![])))]);
    assert_eq!(harness.watches(), [(1, 5), (2, 5), (3, 5)]);
    assert!(unwatched(&harness, 2) && !unwatched(&harness, 1));
    harness.turn(1, [Input::MembershipUpdate(1, list(6, false, &[3])), Input::WatchOpened(2)]);
    harness.turn(1, [Input::DiscoveryRequestEnded(3, "refused".into())]);
    harness.pass(200);
    assert_eq!(harness.watches().last(), Some(&(4, 6)));
    assert!(!unwatched(&harness, 1));
    harness.turn(1, [Input::WatchOpened(4), Input::MembershipUpdate(1, list(7, false, &[4]))]);
    assert!(unwatched(&harness, 1));
    harness.turn(1, [Input::MembershipUpdate(4, list(7, false, &[5]))]);
    harness.pass(500);
    assert_eq!(
        harness.held(1).tables["quote"].keys().collect::<Vec<_>>(),
        ["s-0", "s-1", "s-2", "s-3", "s-5"]
    );
    assert!(harness.ended.is_empty());
    assert_eq!(
        (harness.counted("configurations refused"), harness.counted("configurations read anew")),
        (1, 3)
    );
    // The old address closes its watch: no reason to open the new one again.
    harness.turn(
        1,
        [Input::ConfigReloaded(Ok((address(4), vec![]))), Input::DiscoveryRequestEnded(4, "closed".into())],
    );
    harness.pass(500);
    assert_eq!(harness.watches().len(), 5);
}

/// Guards against the loss of changes between two versions: the full list is fetched before the next watch. An older
/// list is applied in full only if discovery still reports it after the propagation delay.
#[test]
fn a_change_with_an_older_version_leads_to_a_full_fetch() {
    let mut harness = Harness::new(false);
    harness.turn(1, [Input::MembershipUpdate(1, list(2, false, &[7]))]);
    assert!(harness.effects.contains(&Effect::CancelRequest(1)));
    harness.pass(300);
    assert_eq!(harness.fetches(), [2]);
    assert_eq!(harness.watches().len(), 1);
    harness.turn(1, [Input::DiscoveryRequestEnded(2, "half a document".into())]);
    harness.pass(500);
    assert_eq!(harness.fetches(), [2, 3]);
    harness.turn(1, [Input::MembershipUpdate(3, list(3, true, &[0, 4]))]);
    harness.pass(100);
    assert_eq!(harness.watches().last(), Some(&(4, 3)));
    harness.open(1, [hello(0)]);
    harness.pass(500);
    assert_eq!(harness.held(1).tables["quote"].keys().collect::<Vec<_>>(), ["s-0", "s-1", "s-2", "s-4"]);
    harness.pass(limits::MAX_PROPAGATION_DELAY.0 / 10);
    assert_eq!((harness.fetches(), harness.watches().len()), (vec![2, 3, 5], 2));
    harness.turn(1, [Input::MembershipUpdate(5, list(3, true, &[0, 4]))]);
    harness.pass(500);
    assert_eq!(harness.held(1).open("quote"), ["s-0", "s-4"]);
    harness.pass(2 * limits::MAX_PROPAGATION_DELAY.0 / 10);
    assert_eq!(harness.fetches().len(), 3);
}

/// Guards against an older list, a stale copy, undoing a drain or dropping a node that was listed since.
#[test]
fn an_older_list_neither_undoes_a_drain_nor_drops_a_node() {
    let drain = |version, standing| MembershipUpdate {
        entries: vec![entry(1, standing)],
        ..list(version, false, &[])
    };
    for watched in [true, false] {
        let mut harness = Harness::new(false);
        harness.open(1, [hello(0)]);
        harness.pass(500);
        harness.turn(
            1,
            [
                Input::MembershipUpdate(1, list(6, false, &[3])),
                Input::MembershipUpdate(1, drain(8, NodeStatus::Draining)),
            ],
        );
        harness.pass(500);
        assert_eq!(harness.held(1).open("quote"), ["s-0", "s-2", "s-3"]);
        let old = list(5, true, &[0, 1, 2, 4]);
        if watched {
            harness.turn(1, [Input::MembershipUpdate(1, old)]);
        } else {
            harness.turn(1, [Input::MembershipUpdate(1, list(7, false, &[]))]);
            harness.pass(300);
            assert_eq!(harness.fetches(), [2]);
            harness.turn(1, [Input::MembershipUpdate(2, old)]);
        }
        harness.pass(500);
        assert_eq!(harness.held(1).open("quote"), ["s-0", "s-2", "s-3", "s-4"]);
        // Later changes are delivered again, and the full list is fetched in the end.
        let number = harness.watches().last().expect("a watch").0;
        assert_eq!(number, if watched { 1 } else { 3 });
        harness.turn(1, [Input::MembershipUpdate(number, drain(8, NodeStatus::Draining))]);
        harness.pass(limits::MAX_PROPAGATION_DELAY.0 / 10);
        assert_eq!(harness.held(1).open("quote"), ["s-0", "s-2", "s-3", "s-4"]);
        let fetch = *harness.fetches().last().expect("a fetch");
        harness.turn(1, [Input::MembershipUpdate(fetch, list(9, true, &[0, 1, 2, 4]))]);
        harness.pass(500);
        assert_eq!(harness.held(1).open("quote"), ["s-0", "s-1", "s-2", "s-4"]);
        assert_eq!((harness.counted("older lists"), harness.ended.len()), (1, 0));
    }
}

/// Guards against applying a list that was fetched before a drain was received.
#[test]
fn a_fetched_list_older_than_a_received_change_is_fetched_again() {
    let mut harness = Harness::new(false);
    harness.open(1, [hello(0)]);
    harness.pass(500);
    // Discovery moves, and its new instance is behind: it sends a version older than the one held.
    harness.turn(1, [Input::ConfigReloaded(Ok((address(2), vec![])))]);
    harness.turn(1, [Input::MembershipUpdate(2, list(4, false, &[]))]);
    harness.pass(300);
    assert_eq!(harness.fetches(), [3]);
    let drain = MembershipUpdate { entries: vec![entry(1, NodeStatus::Draining)], ..list(7, false, &[]) };
    harness
        .turn(1, [Input::MembershipUpdate(1, drain), Input::MembershipUpdate(3, list(5, true, &[0, 1, 2]))]);
    harness.pass(300);
    let held = harness.held(1);
    assert!(!held.tables["quote"].contains_key("s-1") || held.out.contains("s-1"));
    assert_eq!((harness.counted("lists overtaken"), harness.fetches().len()), (1, 2));
    let fetch = *harness.fetches().last().expect("a fetch");
    harness.turn(1, [Input::MembershipUpdate(fetch, list(7, true, &[0, 2]))]);
    harness.pass(200);
    assert_eq!(harness.watches().last().map(|watch| watch.1), Some(7));
}

/// Guards against the end or the list of a cancelled fetch being taken for that of another request. It waited in the
/// inbox when discovery moved or the fetch was repeated.
#[test]
fn answers_to_cancelled_requests_are_ignored() {
    let mut harness = Harness::new(false);
    harness.turn(1, [Input::MembershipUpdate(1, list(2, false, &[]))]);
    harness.pass(300);
    assert_eq!(harness.fetches(), [2]);
    // The fetch fails at the old address, in the same turn in which discovery moves and once the watch is open.
    harness.turn(1, [Input::ConfigReloaded(Ok((address(2), vec![])))]);
    assert!(harness.effects.contains(&Effect::CancelRequest(2)));
    assert_eq!(harness.fetches(), [2, 3]);
    harness.turn(
        1,
        [Input::DiscoveryRequestEnded(2, "reset".into()), Input::MembershipUpdate(2, list(9, true, &[0]))],
    );
    assert_eq!((harness.counted("watches ended"), harness.counted("whole lists")), (1, 0));
    harness.turn(1, [Input::MembershipUpdate(3, list(6, true, &[0, 1, 2, 3]))]);
    harness.pass(50);
    assert_eq!(harness.watches().last(), Some(&(4, 6)));
    harness.turn(
        1,
        [Input::DiscoveryRequestEnded(3, "late".into()), Input::DiscoveryRequestEnded(2, "late".into())],
    );
    harness.turn(1, [Input::MembershipUpdate(4, list(7, false, &[4]))]);
    harness.pass(1_000);
    assert_eq!((harness.watches().len(), harness.counted("watches ended")), (2, 1));
    harness.open(1, [hello(0)]);
    harness.pass(500);
    assert_eq!(harness.held(1).tables["quote"].len(), 5);
}

/// Guards against updates that the new watch repeats being taken for a discovery that was set back, which cost the
/// watch and a fetch; and against the repetition undoing later changes.
#[test]
fn a_new_watch_may_repeat_updates_of_the_previous_one() {
    let mut harness = Harness::new(false);
    harness.open(1, [hello(0)]);
    harness.pass(500);
    harness.turn(1, [Input::ConfigReloaded(Ok((address(2), vec![])))]);
    assert_eq!(harness.watches(), [(1, 5), (2, 5)]);
    let drain = MembershipUpdate { entries: vec![entry(1, NodeStatus::Draining)], ..list(7, false, &[]) };
    harness.turn(1, [Input::MembershipUpdate(1, list(6, false, &[3])), Input::MembershipUpdate(1, drain)]);
    harness.turn(1, [Input::WatchOpened(2), Input::MembershipUpdate(2, list(6, false, &[1, 3]))]);
    harness.turn(1, [Input::MembershipUpdate(2, list(8, false, &[4]))]);
    harness.pass(500);
    assert_eq!(harness.held(1).open("quote"), ["s-0", "s-2", "s-3", "s-4"]);
    assert_eq!((harness.watches().len(), harness.fetches().len()), (2, 0));
    assert_eq!((harness.counted("false versions"), harness.counted("news heard before")), (0, 1));
}

/// With a roster on request the decision module requests the list, and is told of each failure.
#[test]
fn a_roster_on_request_is_requested_by_the_decision_module() {
    let mut harness = Harness::new(true);
    assert_eq!(harness.watches(), [(1, 5)]);
    harness.turn(1, [Input::DiscoveryRequestEnded(1, "refused".into())]);
    harness.pass(5_000);
    assert_eq!(harness.watches().last(), Some(&(2, 5)));
}

/// Guards against a watch that is lost for good while discovery moves: a change on the watch at the former address ended
/// the requests for the list, although the watch at the new address had failed.
#[test]
fn changes_at_the_former_address_do_not_end_the_requests_at_the_new_one() {
    let mut harness = Harness::new(true);
    harness.turn(1, [Input::WatchOpened(1), Input::MembershipUpdate(1, list(6, false, &[3]))]);
    harness.turn(1, [Input::ConfigReloaded(Ok((address(2), vec![])))]);
    assert_eq!(harness.watches(), [(1, 5), (2, 6)]);
    harness.turn(1, [Input::DiscoveryRequestEnded(2, "silent".into())]);
    harness.turn(1, [Input::MembershipUpdate(1, list(7, false, &[4]))]);
    harness.turn(1, [Input::DiscoveryRequestEnded(1, "closed".into())]);
    harness.pass(5_000);
    assert_eq!(harness.watches().last(), Some(&(3, 7)));
}

/// Guards against a watch that is lost for good because a full list, fetched to confirm an older one, arrives after the
/// watch has failed and before it is opened again.
#[test]
fn a_list_fetched_beside_a_failed_watch_does_not_end_the_requests() {
    let mut harness = Harness::new(true);
    harness.turn(1, [Input::WatchOpened(1), Input::MembershipUpdate(1, list(4, true, &[0, 1, 2]))]);
    harness.turn(limits::MAX_PROPAGATION_DELAY.0 / 10 - 1, [Input::DiscoveryRequestEnded(1, "reset".into())]);
    harness.turn(1, []);
    assert_eq!((harness.fetches(), harness.watches().len()), (vec![2], 1));
    harness.turn(1, [Input::MembershipUpdate(2, list(4, true, &[0, 1, 2]))]);
    harness.pass(5_000);
    assert_eq!(harness.watches().last(), Some(&(3, 4)));
}

/// Guards against a full list that is never taken: a fetch that took over 10 s, or over 5 s where the roster must be asked,
/// was given up and begun again, without end. Its end is told when it makes no progress.
#[test]
fn a_full_list_that_takes_long_to_arrive_is_awaited() {
    for asked in [false, true] {
        let mut harness = Harness::new(asked);
        harness.turn(1, [Input::MembershipUpdate(1, list(2, false, &[7]))]);
        harness.pass(60_000);
        assert_eq!((harness.fetches(), harness.watches()), (vec![2], vec![(1, 5)]), "asked: {asked}");
        harness.turn(1, [Input::MembershipUpdate(2, list(3, true, &[0, 4]))]);
        harness.pass(100);
        assert_eq!(harness.watches().last(), Some(&(3, 3)), "asked: {asked}");
    }
}

/// A fetch that the watch needs and that ends without a list is repeated.
#[test]
fn a_failed_fetch_that_the_watch_needs_is_repeated() {
    for asked in [false, true] {
        let mut harness = Harness::new(asked);
        harness.turn(1, [Input::MembershipUpdate(1, list(2, false, &[7]))]);
        harness.pass(20_000);
        harness.turn(1, [Input::DiscoveryRequestEnded(2, "silent for too long".into())]);
        harness.pass(2_500);
        assert_eq!(harness.fetches(), [2, 3], "asked: {asked}");
    }
}

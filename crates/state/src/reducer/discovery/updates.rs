//! Answers of discovery: full lists and changes of them, in or out of order.

use std::collections::BTreeSet;

use oatpitch::interface::*;

use super::{Reducer, Request, take_request};
use crate::inbound::{MembershipEntry, MembershipUpdate};
use crate::{Effect, limits};

impl Reducer {
    /// Handles an update of the watch, or the list of the fetch, with this request id.
    pub(in crate::reducer) fn membership_update(&mut self, request_id: u64, update: MembershipUpdate) {
        if update.unreadable_entries > 0 {
            self.counters.add("entries unreadable", update.unreadable_entries as u64);
            self.warn(format!("discovery: {} entries could not be parsed", update.unreadable_entries));
        }
        match take_request(&mut self.discovery.fetch, request_id) {
            Some(fetch) => self.fetch_completed(fetch, update),
            None => self.watch_updated(request_id, update),
        }
    }

    /// Handles the full list of a fetch.
    fn fetch_completed(&mut self, fetch: Request, update: MembershipUpdate) {
        self.effects.push(Effect::CancelRequest(fetch.id));
        let held_version = self.discovery.version;
        if update.version >= held_version {
            self.discovery.needs_full_list = false;
            self.discovery.refetch_at = None;
            self.apply_update(update);
        } else if held_version > fetch.version {
            return self.fetch_overtaken();
        } else {
            self.discovery.needs_full_list = false;
            self.apply_older_list(update);
        }
        if self.discovery.watch_wanted && self.discovery.watch.is_none() {
            self.discovery.retry_at = Some(self.now);
        }
    }

    /// Fetches again, because a watch has delivered newer changes since the fetch was sent. The next list need not be
    /// outdated.
    fn fetch_overtaken(&mut self) {
        self.counters.add("lists overtaken", 1);
        let fetch_at = Some(self.now + limits::MIN_RECONNECT_DELAY);
        if self.discovery.needs_full_list {
            self.discovery.retry_at = fetch_at;
            self.discovery.refetch_at = None;
        } else {
            self.discovery.refetch_at = fetch_at;
        }
    }

    /// Handles an update of a watch.
    fn watch_updated(&mut self, request_id: u64, update: MembershipUpdate) {
        let held_version = self.discovery.version;
        let watches = [&mut self.discovery.watch, &mut self.discovery.previous_watch];
        let Some(watch) = watches.into_iter().flatten().find(|watch| watch.id == request_id) else {
            return self.counters.add("news of ended watches", 1);
        };
        let goes_back = update.version < std::mem::replace(&mut watch.version, update.version);
        let is_previous = self.discovery.previous_watch.is_some_and(|watch| watch.id == request_id);
        match (goes_back, update.full) {
            (false, _) if update.version >= held_version => self.apply_update(update),
            // The other watch has already delivered this update and later ones.
            (false, _) => self.counters.add("news heard before", 1),
            (true, _) if is_previous => {
                self.counters.add("false versions", 1);
                self.cancel(|discovery| &mut discovery.previous_watch);
            }
            (true, true) => self.apply_older_list(update),
            (true, false) => {
                // Changes between the versions are unknown. The list held is used until the full one arrives.
                self.counters.add("false versions", 1);
                self.discovery.needs_full_list = true;
                self.watch_failed("the version is older than the one held");
            }
        }
    }

    /// Applies an update that is not older than the list held.
    fn apply_update(&mut self, update: MembershipUpdate) {
        self.counters.add(if update.full { "whole lists" } else { "changes of the list" }, 1);
        self.discovery.version = update.version;
        self.discovery.failures = 0;
        // A change from the watch does not show that a full list, fetched beside it, would fit.
        if update.full || self.discovery.refetch_at.is_none() && self.discovery.fetch.is_none() {
            self.discovery.reset_too_long();
        }
        self.list_received(&update);
        let entries = self.roster_entries(&update.entries);
        // If an entry could not be parsed, a node that is not listed is not known to be gone.
        if update.full && update.unreadable_entries == 0 {
            let listed: BTreeSet<&str> = update.entries.iter().map(|entry| entry.node.as_str()).collect();
            for node in self.names.ids_not_in(&listed) {
                self.desired_state.mark_possibly_ejected(node);
            }
            self.balance.roster_replaced(self.now, &entries, false, &mut self.desired_state);
        } else {
            self.balance.roster_changed(self.now, &entries, &mut self.desired_state);
        }
    }

    /// Applies a full list that is older than the one held. It may be a stale copy, which must not undo a drain or
    /// drop a node that was listed since. Or discovery has been set back: its list is applied in full if it still
    /// reports it after [`limits::MAX_PROPAGATION_DELAY`].
    fn apply_older_list(&mut self, update: MembershipUpdate) {
        self.counters.add("older lists", 1);
        self.warn(format!("discovery: version {} after {}", update.version, self.discovery.version));
        self.discovery.version = update.version;
        self.discovery.failures = 0;
        self.discovery.reset_too_long();
        self.list_received(&update);
        let (snapshot, _) = self.snapshot();
        let not_ready: BTreeSet<NodeId> =
            snapshot.nodes.iter().filter(|node| !node.ready).map(|node| node.node).collect();
        let undoes_drain =
            |entry: &RosterEntry| entry.status == NodeStatus::Ready && not_ready.contains(&entry.node);
        let mut entries = self.roster_entries(&update.entries);
        entries.retain(|entry| !undoes_drain(entry));
        self.balance.roster_changed(self.now, &entries, &mut self.desired_state);
        self.discovery.refetch_at = Some(self.now + limits::MAX_PROPAGATION_DELAY);
    }

    /// Returns the entries with the ids of their nodes, and marks nodes that may be ejected at some proxies.
    pub(in crate::reducer) fn roster_entries(&mut self, entries: &[MembershipEntry]) -> Vec<RosterEntry> {
        let to_roster_entry = |entry: &MembershipEntry| {
            // A name that is new after the start may be that of a node that was forgotten.
            let may_be_forgotten = self.started && self.names.id(&entry.node).is_none();
            let node = self.names.id_or_insert(&entry.node);
            if may_be_forgotten || entry.started.is_some() || entry.status != NodeStatus::Ready {
                self.desired_state.mark_possibly_ejected(node);
            }
            RosterEntry {
                node,
                zone: ZoneId(entry.zone),
                machine_kind: self.names.machine_kind(&entry.machine_kind),
                status: entry.status,
                weight: entry.weight,
                started: entry.started,
            }
        };
        entries.iter().map(to_roster_entry).collect()
    }
}

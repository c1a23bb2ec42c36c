//! The list of nodes: the requests to discovery, and when they are repeated. Answers are handled in [`updates`],
//! and lists that are too long to be held in [`too_long`].

mod too_long;
mod updates;

use std::net::SocketAddr;

use oatpitch::interface::Time;

use super::Reducer;
use crate::{Effect, limits};

/// An open request to discovery.
#[derive(Clone, Copy, Debug)]
struct Request {
    id: u64,
    /// For a watch, the version that it has reached, at first the one that it was opened with. For a fetch, the
    /// version that was held when it was sent.
    version: u64,
}

/// The requests to discovery, and the state of the list.
#[derive(Debug, Default)]
pub(super) struct DiscoveryState {
    /// Whether a watch is to be open.
    watch_wanted: bool,
    /// The watch that is open at the current address.
    watch: Option<Request>,
    /// The last id that was assigned. Watches and fetches share the ids, so that none is mistaken for another.
    last_request_id: u64,
    /// The watch at an address that discovery has left. It is kept until the new watch is answered, so that no
    /// update is missed meanwhile.
    previous_watch: Option<Request>,
    /// The fetch of the full list that is open.
    fetch: Option<Request>,
    /// The version of the list that is held.
    pub(super) version: u64,
    /// Whether the full list must be fetched before the next watch is opened.
    needs_full_list: bool,
    /// When to fetch the full list beside the watch, for example to confirm a list that was older than the one held.
    refetch_at: Option<Time>,
    /// Requests that failed since the last list or change was received.
    failures: u32,
    /// When to open the watch again, or to fetch the full list that it needs first.
    retry_at: Option<Time>,
    /// Lists that were too long, without one that fits between them.
    too_long_in_a_row: u32,
    /// No list is requested before this time, because the last one was too long.
    suspended_until: Option<Time>,
}

impl DiscoveryState {
    /// Returns the state of a conductor that holds this version of the list.
    pub(super) fn new(watch_wanted: bool, version: u64) -> DiscoveryState {
        DiscoveryState { watch_wanted, version, ..DiscoveryState::default() }
    }

    /// Returns when the next request to discovery is due, if any.
    pub(super) fn next_due(&self) -> Option<Time> {
        self.retry_at.into_iter().chain(self.refetch_at).min()
    }

    /// Returns whether the watch is to be opened now, or the full list fetched that it needs first. A fetch that is
    /// open already is awaited, however long it takes: its end is told if it makes no progress.
    fn watch_due(&self, now: Time) -> bool {
        let is_delayed = self.retry_at.is_some_and(|at| now < at);
        let awaits_fetch = self.needs_full_list && self.fetch.is_some();
        self.watch_wanted && self.watch.is_none() && !is_delayed && !awaits_fetch
    }

    /// Returns a request with the next id, from the version held.
    fn new_request(&mut self) -> Request {
        self.last_request_id += 1;
        Request { id: self.last_request_id, version: self.version }
    }
}

/// Takes the request out if it has this id.
fn take_request(request: &mut Option<Request>, request_id: u64) -> Option<Request> {
    request.take_if(|request| request.id == request_id)
}

impl Reducer {
    /// Uses another address of discovery from now on.
    pub(super) fn move_discovery(&mut self, address: SocketAddr) {
        self.warn(format!("discovery: from {} to {address}", self.discovery_address));
        self.discovery_address = address;
        self.effects.push(Effect::SetDiscoveryAddress(address));
        if let Some(open) = self.discovery.watch.take() {
            // If two watches in a row were not answered yet, only the first one has delivered updates.
            match self.discovery.previous_watch {
                Some(_) => self.effects.push(Effect::CancelRequest(open.id)),
                None => self.discovery.previous_watch = Some(open),
            }
        }
        // A list that the old address may still send would arrive after newer ones.
        self.cancel(|discovery| &mut discovery.fetch);
        self.discovery.failures = 0;
        self.discovery.retry_at = None;
        self.discovery.reset_too_long();
    }

    /// Cancels one of the open requests, if there is one.
    fn cancel(&mut self, which: impl Fn(&mut DiscoveryState) -> &mut Option<Request>) {
        if let Some(request) = which(&mut self.discovery).take() {
            self.effects.push(Effect::CancelRequest(request.id));
        }
    }

    /// Handles the answer to a watch. The watch at the previous address is not needed any more.
    pub(super) fn watch_opened(&mut self, request_id: u64) {
        if self.discovery.watch.is_some_and(|open| open.id == request_id) {
            self.cancel(|discovery| &mut discovery.previous_watch);
        }
    }

    /// Handles the end of a request that was not cancelled.
    pub(super) fn request_ended(&mut self, request_id: u64, cause: &str) {
        if take_request(&mut self.discovery.previous_watch, request_id).is_some() {
            self.counters.add("watches ended", 1);
            self.effects.push(Effect::CancelRequest(request_id));
        } else if take_request(&mut self.discovery.fetch, request_id).is_some() {
            self.effects.push(Effect::CancelRequest(request_id));
            self.fetch_failed(cause);
        } else if self.discovery.watch.is_some_and(|open| open.id == request_id) {
            self.watch_failed(cause);
        }
    }

    /// Handles a failed fetch. A watch that does not depend on it stays open.
    fn fetch_failed(&mut self, cause: &str) {
        if self.discovery.needs_full_list {
            return self.watch_failed(cause);
        }
        self.warn(format!("discovery: {cause}"));
        self.discovery.refetch_at = Some(self.now + limits::MAX_PROPAGATION_DELAY);
    }

    /// Handles the end of the watch, or of the fetch that it needs first: retries after a random delay that grows with
    /// each failure.
    fn watch_failed(&mut self, cause: &str) {
        self.warn(format!("discovery: {cause}"));
        let doublings = self.discovery.failures.min(limits::MAX_RECONNECT_DOUBLINGS);
        let mean_delay = limits::MIN_RECONNECT_DELAY.0 << doublings;
        self.discovery.failures = self.discovery.failures.saturating_add(1);
        let delay = Time((mean_delay as f64 * (0.5 + self.rng.f64())) as u64);
        self.reopen_at(self.now + delay);
        self.answer_probes();
    }

    /// Closes the watch, and opens it again at a time.
    fn reopen_at(&mut self, at: Time) {
        self.counters.add("watches ended", 1);
        self.cancel(|discovery| &mut discovery.watch);
        if self.roster_on_request {
            // The decision module requests the list itself, with its own delays.
            self.discovery.watch_wanted = false;
            self.balance.roster_failed(self.now);
        } else {
            self.discovery.retry_at = Some(at);
        }
    }

    /// Opens, closes and sends the requests that are due.
    pub(super) fn update_requests(&mut self) {
        if let Some(watch_wanted) = self.desired_state.watch_requested.take() {
            self.watch_requested(watch_wanted);
        }
        if std::mem::take(&mut self.desired_state.fetch_requested) {
            self.discovery.refetch_at =
                Some(self.discovery.suspended_until.map_or(self.now, |until| until.max(self.now)));
        }
        if self.discovery.refetch_at.is_some_and(|at| at <= self.now) {
            self.discovery.refetch_at = None;
            self.fetch();
        }
        if self.discovery.watch_due(self.now) {
            self.open_watch();
        }
    }

    /// Handles the decision module's request for a watch, or for none.
    fn watch_requested(&mut self, watch_wanted: bool) {
        if !watch_wanted {
            self.cancel(|discovery| &mut discovery.watch);
            self.cancel(|discovery| &mut discovery.previous_watch);
        }
        let suspended_until = self.discovery.suspended_until;
        self.discovery.watch_wanted = watch_wanted;
        self.discovery.retry_at = suspended_until.filter(|until| watch_wanted && self.now < *until);
    }

    /// Opens the watch, or fetches the full list if the watch needs it first.
    fn open_watch(&mut self) {
        self.discovery.retry_at = None;
        if self.discovery.needs_full_list {
            return self.fetch();
        }
        let request = self.discovery.new_request();
        self.discovery.watch = Some(request);
        self.counters.add("watches opened", 1);
        self.effects.push(Effect::OpenWatch { request_id: request.id, since_version: request.version });
    }

    /// Fetches the full list. A fetch that is still open is cancelled.
    fn fetch(&mut self) {
        self.cancel(|discovery| &mut discovery.fetch);
        let request = self.discovery.new_request();
        self.discovery.fetch = Some(request);
        self.effects.push(Effect::FetchList(request.id));
    }
}

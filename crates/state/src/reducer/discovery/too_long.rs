//! Lists that are too long to be held. The current list stays in use. Such a list takes megabytes, so it is requested
//! again with growing delays, and the failure is logged once until a list fits.

use oatpitch::interface::Time;

use super::{DiscoveryState, Reducer, take_request};
use crate::inbound::DocumentTooLong;
use crate::{Effect, limits};

impl DiscoveryState {
    /// Returns whether requests fail for another reason than the length of the list.
    pub(in crate::reducer) fn is_unreachable(&self) -> bool {
        self.failures > 0 && self.too_long_in_a_row == 0
    }

    /// Resets the delays, because a list fits or comes from another address.
    pub(super) fn reset_too_long(&mut self) {
        self.too_long_in_a_row = 0;
        self.suspended_until = None;
    }
}

impl Reducer {
    /// Handles a list that is too long, of the watch or fetch with this request id.
    pub(in crate::reducer) fn list_too_long(&mut self, request_id: u64, list: DocumentTooLong) {
        let is_previous_watch = take_request(&mut self.discovery.previous_watch, request_id).is_some();
        let is_fetch = take_request(&mut self.discovery.fetch, request_id).is_some();
        let is_watch = self.discovery.watch.is_some_and(|watch| watch.id == request_id);
        if !(is_previous_watch || is_fetch || is_watch) {
            return;
        }
        self.counters.add("lists too long", 1);
        if self.discovery.too_long_in_a_row == 0 {
            self.warn(format!("discovery: {list}; the current list stays in use"));
        }
        if is_previous_watch || is_fetch {
            self.effects.push(Effect::CancelRequest(request_id));
        }
        if is_previous_watch {
            // Only the list at discovery's new address matters.
            return self.counters.add("watches ended", 1);
        }
        let until = self.now + self.next_too_long_delay();
        self.discovery.suspended_until = Some(until);
        if is_watch || self.discovery.needs_full_list {
            self.reopen_at(until);
        } else {
            // The watch stays open.
            self.discovery.refetch_at = Some(until.max(self.now + limits::MAX_PROPAGATION_DELAY));
        }
    }

    /// Returns the next delay: it doubles each time up to the maximum, and a random part of up to half is taken off.
    fn next_too_long_delay(&mut self) -> Time {
        let doublings = self.discovery.too_long_in_a_row.min(limits::MAX_TOO_LONG_DOUBLINGS);
        self.discovery.too_long_in_a_row = self.discovery.too_long_in_a_row.saturating_add(1);
        let max_delay = (limits::MIN_TOO_LONG_DELAY.0 << doublings).min(limits::MAX_TOO_LONG_DELAY.0);
        Time((max_delay as f64 * (0.5 + self.rng.f64() / 2.0)) as u64)
    }
}

//! When the roster is requested, where it answers only when asked.

use super::*;

/// Time to wait for an answer of the roster before asking again.
const ROSTER_TIMEOUT: Time = Time::from_ms(5_000);

/// Delay before a failed roster request is repeated; it doubles with each failure, up to [`MAX_RETRY_DOUBLINGS`] times.
const RETRY_DELAY: Time = Time::from_ms(250);

/// Maximum doublings of [`RETRY_DELAY`] (count).
const MAX_RETRY_DOUBLINGS: u32 = 4;

/// The state of the requests for the roster.
#[derive(Debug)]
pub(super) struct RosterRequests {
    state: RequestState,
    /// Requests that failed since one was last answered (count).
    failures: u32,
}

#[derive(Clone, Copy, Debug)]
enum RequestState {
    /// Nothing needs to be asked: changes arrive by themselves, or the last request was answered and its subscription
    /// stands.
    Followed,
    /// A request was made, which is repeated at this time if it is not answered.
    AwaitingAnswer { repeat_at: Time },
    /// A request is due at this time. Only it can be answered: what arrives before it comes from a subscription that has
    /// been replaced, or from a list that was fetched apart, and says nothing about whether changes will go on.
    Due { at: Time },
}

impl RosterRequests {
    /// Returns the state at the start: a request is due at once where the roster answers only when asked.
    pub(super) fn new(on_request: bool, now: Time) -> RosterRequests {
        let state = if on_request { RequestState::Due { at: now } } else { RequestState::Followed };
        RosterRequests { state, failures: 0 }
    }

    /// Records entries of the roster, which answer a request that was made.
    pub(super) fn answered(&mut self) {
        if let RequestState::AwaitingAnswer { .. } = self.state {
            self.state = RequestState::Followed;
            self.failures = 0;
        }
    }

    /// Records that a request failed, or that its subscription ended. The next one is due after a delay of at most
    /// `delay_max` that doubles with each failure, times `jitter`.
    pub(super) fn failed(&mut self, now: Time, delay_max: Time, jitter: f64) {
        let doublings = self.failures.min(MAX_RETRY_DOUBLINGS);
        let delay = RETRY_DELAY.seconds() * f64::from(1u32 << doublings);
        let delay = delay.min(delay_max.seconds()) * jitter;
        self.failures = self.failures.saturating_add(1);
        self.state = RequestState::Due { at: now + Time::from_seconds(delay) };
    }

    /// Returns whether a request is due, and if so records that it is made.
    fn take_due(&mut self, now: Time) -> bool {
        let (RequestState::AwaitingAnswer { repeat_at: at } | RequestState::Due { at }) = self.state else {
            return false;
        };
        let is_due = at <= now;
        if is_due {
            self.state = RequestState::AwaitingAnswer { repeat_at: now + ROSTER_TIMEOUT };
        }
        is_due
    }
}

impl Balance {
    /// Requests the roster when that is due, and again if no answer comes in time.
    pub(super) fn request_roster(&mut self, orders: &mut dyn Orders) -> bool {
        let is_due = self.roster_requests.take_due(self.now);
        if is_due {
            orders.watch_roster(true);
        }
        is_due
    }
}

//! Streams that end, and when the next one is opened.

use oatpitch::interface::Time;

use super::{Action, State, StreamAttempt, StreamError, Subscriber};
use crate::core::order::Position;

/// The maximum number of doublings of the delay before a reconnection.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// The part of the delay that is used for the first reconnection after a stream that had caught up.
const FIRST_RETRY_DIVISOR: u64 = 8;

impl Subscriber {
    /// Closes a stream that can't be continued, and opens another one.
    pub(super) fn abandon_stream(&mut self, error: &StreamError, actions: &mut Vec<Action>) {
        if self.stream_active {
            self.stream_active = false;
            actions.push(Action::Disconnect(self.attempt));
            self.handle_stream_loss(error.to_string(), actions);
        }
    }

    /// Clears what belongs to the lost stream, and orders a reconnection after a delay.
    pub(super) fn handle_stream_loss(&mut self, cause: String, actions: &mut Vec<Action>) {
        self.counters.add("streams lost", 1);
        let before = self.state;
        let had_caught_up = self.stream.take().is_some_and(|open| open.caught_up);
        self.partial_update = None;
        self.candidate = None;
        self.pending_marks.clear();
        if had_caught_up {
            self.consecutive_failures = 0;
        } else {
            self.consecutive_failures = self.consecutive_failures.saturating_add(1);
            // Tries another host next, as this one was of no use.
            self.host_index = (self.host_index + 1) % self.host_count;
        }
        self.update_state(Some(cause), actions);
        debug_assert!(self.state != State::Current, "current without a stream, after {before:?}");
        let delay = self.retry_delay(had_caught_up);
        let action = self.connect(self.now + delay);
        actions.push(action);
    }

    /// Returns the delay before the next connection: exponential, with jitter of up to a half. It is short for
    /// the first connection after a stream that had caught up.
    fn retry_delay(&mut self, had_caught_up: bool) -> Time {
        let min_delay = self.settings.min_retry_delay.0;
        let max_delay = self.settings.max_retry_delay.0.max(min_delay);
        let backoff = min_delay << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let delay = (backoff.min(max_delay) as f64 * (0.5 + 0.5 * self.random.f64())) as u64;
        Time(if had_caught_up { delay / FIRST_RETRY_DIVISOR } else { delay })
    }

    /// Starts the next attempt at a stream.
    pub(super) fn connect(&mut self, at: Time) -> Action {
        self.attempt = StreamAttempt(self.attempt.0 + 1);
        self.stream_active = true;
        self.last_heard = at;
        self.last_alive_sent = at;
        let resume = self.history.current().map(Position::point);
        Action::Connect { attempt: self.attempt, at, host_index: self.host_index, resume }
    }
}

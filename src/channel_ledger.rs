//! Estimates how many lines wait in a conductor's channel: from what was ordered, what has entered the
//! channel, and which marks proxies have acknowledged. All counts are lines since the start, message overhead
//! included. What to send or to hold back is decided elsewhere.

use std::collections::VecDeque;

use crate::interface::{ServiceSettings, Time};

/// Number of marks that may wait for acknowledgements. A later mark's acknowledgement implies all that an
/// earlier one's would.
const MAX_PENDING_MARKS: usize = 8;

/// Share of the channel's maximum queue. Once so many lines were ordered after a mark, the next mark waits
/// for no acknowledgement.
const MARK_QUEUE_SHARE: f64 = 0.125;

/// Delay of an acknowledgement that a stalled proxy explains as well as a slow channel does.
const PROXY_STALL: Time = Time::from_ms(500);

/// How long an acknowledgement is awaited beyond the delay that queue, delivery and a stall explain.
const ACKNOWLEDGEMENT_TIMEOUT: Time = Time::from_ms(5_000);

/// The estimated rate never falls below this share of the channel's nominal rate.
const MIN_RATE_SHARE: f64 = 0.05;

/// Factor by which the first timely acknowledgement of a mark raises the estimated rate.
const RATE_INCREASE: f64 = 1.1;

/// A mark that proxies have not all acknowledged, and the state of the channel when it was requested.
#[derive(Clone, Copy, Debug)]
struct PendingMark {
    mark: u16,
    requested: Time,
    /// Lines that had entered the channel. All of them are ahead of the mark.
    entered: f64,
    /// Those of the entered lines that were estimated to wait in the channel.
    entered_waiting: f64,
    /// Lines ordered up to the end of that turn. They may be ahead of the mark.
    ordered: f64,
    /// Those of the ordered lines that were estimated to wait.
    queued: f64,
    /// Those of the ordered lines that no acknowledgement showed to have left.
    unacknowledged: f64,
    /// Number of proxies that get the mark.
    proxies: usize,
    /// Number of acknowledgements so far.
    acknowledgements: usize,
}

impl PendingMark {
    /// Returns how many lines have left according to the acknowledgements: all lines ahead of the mark, and
    /// of the lines of its turn as great a share as that of the proxies that have acknowledged it.
    fn acknowledged_lines(&self) -> f64 {
        let share = self.acknowledgements as f64 / self.proxies.max(self.acknowledgements) as f64;
        let of_its_turn = if self.acknowledgements > 0 { share * (self.ordered - self.entered) } else { 0.0 };
        self.entered + of_its_turn
    }
}

/// The line counts and the estimated rate of one channel.
#[derive(Clone, Debug, Default)]
pub struct ChannelLedger {
    /// Lines per second that the channel sends while it is healthy.
    nominal_rate: f64,
    /// Number of lines that may wait in the channel.
    max_queued_lines: f64,
    /// Longest delay of a message between the channel and a proxy.
    max_delivery_delay: Time,
    /// Lines per second that the channel is estimated to send.
    estimated_rate: f64,
    /// Lines ordered.
    ordered: f64,
    /// Lines that have entered the channel.
    entered: f64,
    /// Lines that have left the channel according to the estimated rate.
    estimated_left: f64,
    /// Lines that have left according to acknowledgements alone.
    acknowledged: f64,
    /// Lines that have left according to acknowledgements if the estimated rate is right.
    possibly_acknowledged: f64,
    /// Lines ordered before the current turn.
    ordered_before_turn: f64,
    /// Marks that wait for acknowledgements, the oldest first.
    pending_marks: VecDeque<PendingMark>,
    /// The number of the last mark.
    last_mark: u16,
}

impl ChannelLedger {
    /// Creates the ledger of an empty channel. The numbers of marks start from the seed, which differs with
    /// each start: proxies still acknowledge marks of an earlier run or of another conductor, and if all runs
    /// started from the same number, these would be taken for the ledger's own.
    pub fn new(settings: &ServiceSettings, seed: u64) -> ChannelLedger {
        ChannelLedger {
            nominal_rate: settings.channel_lines_per_second,
            max_queued_lines: settings.max_queued_lines,
            max_delivery_delay: settings.max_delivery_delay,
            estimated_rate: settings.channel_lines_per_second,
            last_mark: seed as u16,
            ..ChannelLedger::default()
        }
    }

    /// Returns the number of lines that the channel is estimated to send per second.
    pub fn lines_per_second(&self) -> f64 {
        self.estimated_rate
    }

    /// Begins a turn after time has passed since the last one.
    pub fn advance(&mut self, since: Time, now: Time) {
        self.estimated_left =
            (self.estimated_left + (now - since).seconds() * self.estimated_rate).min(self.entered);
        self.ordered_before_turn = self.ordered;
        // Lines of a mark whose acknowledgements are no longer awaited leave at the estimated rate.
        while let Some(oldest) = self.pending_marks.front().copied() {
            let due = self.acknowledgement_due(&oldest, oldest.unacknowledged, self.min_rate());
            if now <= due + ACKNOWLEDGEMENT_TIMEOUT {
                break;
            }
            self.possibly_acknowledged = self.possibly_acknowledged.max(oldest.ordered);
            self.pending_marks.pop_front();
        }
    }

    /// Returns when a mark must have been acknowledged, given the lines ahead of it and the channel's rate.
    fn acknowledgement_due(&self, pending: &PendingMark, lines_ahead: f64, rate: f64) -> Time {
        let sending = Time::from_seconds(lines_ahead / rate);
        pending.requested + self.max_delivery_delay + PROXY_STALL + sending
    }

    /// Adds lines ordered in the current turn.
    pub fn add_ordered(&mut self, lines: f64) {
        self.ordered += lines;
    }

    /// Replaces the lines counted for the current turn by the number of lines that were written for it, and
    /// sets the number of proxies that they were written to.
    pub fn set_turn_lines(&mut self, now: Time, lines: f64, proxies: usize) {
        self.ordered = self.ordered_before_turn + lines;
        if let Some(pending) = self.mark_of_turn(now) {
            pending.proxies = proxies;
        }
        self.close_turn(now);
    }

    /// Adds lines that have entered the channel, or that never will.
    pub fn add_entered(&mut self, lines: f64) {
        self.entered = (self.entered + lines.max(0.0)).min(self.ordered);
    }

    /// Returns how many lines are estimated to wait, including lines that are ordered and have not entered
    /// yet.
    pub fn queued_lines(&self) -> f64 {
        (self.ordered - self.estimated_left).max(0.0)
    }

    /// Returns how many lines no acknowledgement shows to have left. However slow the channel has become, no
    /// more can wait.
    pub fn unacknowledged_lines(&self) -> f64 {
        let left = self.acknowledged.max(self.possibly_acknowledged.min(self.estimated_left));
        (self.ordered - left).max(0.0)
    }

    /// Whether a number of further lines keeps the queue within a limit, however slow the channel has become.
    pub fn fits(&self, lines: f64, limit: f64) -> bool {
        self.unacknowledged_lines() + lines <= limit
    }

    /// Whether the messages of this turn are to carry a mark: none is pending, the last one has been
    /// acknowledged or is late, or many lines were ordered after it.
    pub fn mark_is_due(&self, now: Time) -> bool {
        let Some(last) = self.pending_marks.back() else { return true };
        let many_ordered = self.ordered - last.ordered >= self.max_queued_lines * MARK_QUEUE_SHARE;
        let is_late = now > self.acknowledgement_due(last, last.queued, self.estimated_rate);
        now > last.requested && (last.acknowledgements > 0 || many_ordered || is_late)
    }

    fn min_rate(&self) -> f64 {
        self.nominal_rate * MIN_RATE_SHARE
    }

    /// Adds a mark that is requested from a number of proxies in the current turn, and returns its number.
    pub fn add_mark(&mut self, now: Time, proxies: usize) -> u16 {
        self.last_mark = self.last_mark.wrapping_add(1);
        if self.pending_marks.len() >= MAX_PENDING_MARKS {
            self.pending_marks.pop_front();
        }
        self.pending_marks.push_back(PendingMark {
            mark: self.last_mark,
            requested: now,
            entered: self.entered,
            entered_waiting: self.entered - self.estimated_left,
            ordered: self.ordered,
            queued: self.queued_lines(),
            unacknowledged: self.unacknowledged_lines(),
            proxies,
            acknowledgements: 0,
        });
        self.last_mark
    }

    /// Ends a turn: all lines ordered in the same turn as a mark may be ahead of it.
    pub fn close_turn(&mut self, now: Time) {
        let ordered = self.ordered;
        let queued = self.queued_lines();
        let unacknowledged = self.unacknowledged_lines();
        if let Some(pending) = self.mark_of_turn(now) {
            pending.ordered = ordered;
            pending.queued = queued;
            pending.unacknowledged = unacknowledged;
        }
    }

    /// Returns the mark that was requested in the current turn, if any.
    fn mark_of_turn(&mut self, now: Time) -> Option<&mut PendingMark> {
        self.pending_marks.back_mut().filter(|pending| pending.requested == now)
    }

    /// Takes a proxy's acknowledgement of a mark, which arrived `took` after the request. The channel sends
    /// in the order of entry, so that all lines that had entered before the mark have left.
    pub fn acknowledge(&mut self, mark: u16, took: Time) {
        let Some(pending) = self.pending_marks.iter_mut().find(|pending| pending.mark == mark) else {
            return;
        };
        pending.acknowledgements += 1;
        let pending = *pending;
        let is_complete = pending.acknowledgements >= pending.proxies;
        let acknowledged = if is_complete { pending.ordered } else { pending.entered };
        self.acknowledged = self.acknowledged.max(acknowledged);
        self.estimated_left = self.estimated_left.max(self.acknowledged.min(self.entered));
        // Lines of the mark's own turn count as having left no sooner than the estimated rate allows.
        self.possibly_acknowledged = self.possibly_acknowledged.max(pending.acknowledged_lines());
        while self.pending_marks.front().is_some_and(|other| other.ordered < pending.entered) {
            self.pending_marks.pop_front();
        }
        self.update_rate(&pending, took);
    }

    /// Estimates the channel's rate from the delay of an acknowledgement. The channel is slower than
    /// estimated if neither the queued lines nor a stalled proxy explain the delay. Proxies at the head of
    /// the queue acknowledge first and early; therefore only the first acknowledgement of a mark raises the
    /// rate, besides those that prove a higher one by the lines that have left.
    fn update_rate(&mut self, pending: &PendingMark, took: Time) {
        let proven_rate = pending.entered_waiting / took.seconds().max(1e-3);
        let sending_seconds = (took - self.max_delivery_delay).seconds().max(1e-3);
        let max_rate = (pending.queued + self.nominal_rate * PROXY_STALL.seconds()) / sending_seconds;
        let is_first = pending.acknowledgements == 1;
        let raised = if is_first { self.estimated_rate * RATE_INCREASE } else { self.estimated_rate };
        self.estimated_rate = raised.max(proven_rate).min(max_rate).clamp(self.min_rate(), self.nominal_rate);
    }
}

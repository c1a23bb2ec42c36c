//! Changes of the table: gathers them in a buffer, and flushes them to the proxies.

use super::*;

/// Buffered changes that are flushed without waiting for [`FLUSH_PERIOD`] (count).
const FLUSH_CHANGES: usize = 50;

/// A change that leaves at least this share of a line's weight, in either direction, is small. Small changes
/// wait longer, as most of a message with few lines is overhead.
const SMALL_CHANGE_SHARE: f64 = 0.5;

/// Wait before small changes are flushed, as a multiple of the time that the last flush needs in the channel.
/// The wait counts from when that flush was ordered, so flushes of small changes alone use at most about a
/// quarter of the channel's capacity.
const SMALL_CHANGE_WAIT_FACTOR: f64 = 4.0;

/// Wait before the next flush while proxies wait to be bound, as a multiple of the time that the last flush
/// needs in the channel. The wait counts from when that flush was ordered: the flush uses half of it, and
/// bindings get the other half.
const FLUSH_WAIT_FACTOR: f64 = 2.0;

/// Share of the time allowed for a binding from which waiting proxies are urgent, as withdrawals may come in
/// between.
const URGENT_BIND_SHARE: f64 = 0.7;

/// Share of the lines that may wait in the channel that urgent messages may fill; the rest is for
/// withdrawals. The same share limits them to what the channel sends in the time allowed, the time within
/// which an order must take effect ([`ServiceSettings::time_allowed`]).
const URGENT_QUEUE_SHARE: f64 = 0.75;

/// Work that flushes and bindings may queue in the channel while nothing is late; whatever is ordered next
/// waits behind it.
const ROUTINE_QUEUE_TIME: Time = Time::from_ms(500);

/// Share of the time allowed for a change after which its flush is late.
const LATE_FLUSH_SHARE: f64 = 0.5;

impl Balance {
    /// Gathers the lines whose weight must change. They wait in a buffer, where a change that is undone
    /// cancels out.
    pub(super) fn gather_changes(&mut self, _orders: &mut dyn Orders) -> bool {
        if !std::mem::take(&mut self.recheck_table) {
            return false;
        }
        self.index_replaced();
        // The weight of a warm node depends on that node alone. The weight of a cold node also depends on the
        // rest of the fleet, so all of them are computed again.
        let mut due = std::mem::take(&mut self.table.nodes_to_recheck);
        due.extend(self.index.warming_up());
        self.table.visited_nodes += due.len() as u64;
        let mut changed = false;
        for id in due {
            changed |= self.gather_line(id);
        }
        let pending_since_changed = self.update_pending();
        changed || pending_since_changed
    }

    /// Puts the change of a node's line into the buffer, and returns whether that altered the buffer.
    fn gather_line(&mut self, id: NodeId) -> bool {
        let weight = self.pending_weight(id);
        let pushed = self.table.pushed_weight(&id);
        // A change of a withdrawn node is never small.
        let is_small = |weight: f64| {
            pushed.min(weight) >= SMALL_CHANGE_SHARE * pushed.max(weight) && !self.withdrawn.contains(&id)
        };
        let is_large = weight.is_some_and(|weight| !is_small(weight));
        self.table.buffer_change(id, weight, is_large)
    }

    /// Updates since when changes have been pending, and returns whether that differs from before.
    fn update_pending(&mut self) -> bool {
        let target = self.target_levels();
        let levels_differ = self.table.levels.values().any(|levels| *levels != target);
        self.table.only_small_changes = !levels_differ && self.table.large_changes.is_empty();
        let is_pending = levels_differ || !self.table.buffer.is_empty();
        self.table.flush_at_once &= is_pending;
        let since = is_pending.then(|| self.table.pending_since.unwrap_or(self.now));
        let former = std::mem::replace(&mut self.table.pending_since, since);
        since != former
    }

    /// Returns the weight at which a node's line should stand, if its line must be pushed.
    pub(super) fn pending_weight(&self, id: NodeId) -> Option<f64> {
        let node = self.nodes.get(&id)?;
        let weight = self.target_weight(&id, node, &self.surroundings(node.part, node.zone));
        if self.table.pushed_weight(&id) != weight {
            return Some(weight);
        }
        // A node that was withdrawn and came back before its line was removed must be readmitted, too.
        let own_zone_differs = self.may_serve_own_zone(node) != self.table.own_zone_nodes.contains(&id);
        let must_push = weight > 0.0 && (self.withdrawn.contains(&id) || own_zone_differs);
        must_push.then_some(weight)
    }

    /// Returns the lines that may wait in the channel while more can be ordered later as well.
    pub(super) fn routine_queue_limit(&self) -> f64 {
        self.channel.routine_lines.min(self.channel.ledger.lines_per_second() * ROUTINE_QUEUE_TIME.seconds())
    }

    /// Returns the lines that may wait with messages that can't be delayed for long: withdrawals behind them
    /// still arrive in time and find room.
    pub(super) fn urgent_queue_limit(&self) -> f64 {
        let sent =
            self.channel.ledger.lines_per_second() * self.settings.time_allowed(URGENT_QUEUE_SHARE).seconds();
        (self.settings.max_queued_lines * URGENT_QUEUE_SHARE).min(sent).max(self.channel.routine_lines)
    }

    /// Whether waiting proxies would be bound late if anything but withdrawals went first: they could be left
    /// without a usable line, or keep sending to a draining node.
    pub(super) fn binds_are_urgent(&self) -> bool {
        let Some(joined) = self.unbound.iter().map(|unbound| unbound.joined_at).min() else { return false };
        let lines = self.channel.ledger.queued_lines() + self.unbound.len() as f64 * self.bind_lines();
        let done = self.now + Time::from_seconds(lines / self.channel.ledger.lines_per_second());
        done > joined + self.settings.time_allowed(URGENT_BIND_SHARE)
    }

    /// Returns the share of the messages allowed to a proxy that flushes and bindings may use. Where no
    /// usable line is left, what is reserved for withdrawals may be used to push one, as no proxy may be
    /// without a line for long.
    pub(super) fn routine_share(&self) -> f64 {
        if self.index.has_no_usable_line() { 1.0 } else { ROUTINE_SHARE }
    }

    /// Returns when the next flush may go, if changes or proxies wait for one.
    pub(super) fn flush_due(&self) -> Option<Time> {
        let first_unbound = self.unbound.first().map(|unbound| unbound.joined_at);
        let waiting_since = self.table.pending_since.into_iter().chain(first_unbound).min()?;
        let interval = self.settings.message_interval(self.routine_share());
        let mut earliest = self.table.flushed_at.map_or(Time::default(), |at| at + interval);
        if self.table.only_small_changes && self.unbound.is_empty() {
            earliest = earliest.max(self.table.small_changes_due);
        }
        let buffer_is_full = self.table.buffer.len() >= FLUSH_CHANGES;
        Some(if buffer_is_full { earliest } else { earliest.max(waiting_since + FLUSH_PERIOD) })
    }

    /// Whether the pending changes must be flushed soon: no proxy may be without a line for long, and a
    /// restarted node, which is cold, must not be overloaded by keeping its full weight for long.
    fn flush_is_late(&self) -> bool {
        let span = self.settings.time_allowed(LATE_FLUSH_SHARE);
        self.index.has_no_usable_line()
            || self.table.pending_since.is_some_and(|since| self.now >= since + span)
    }

    /// Whether the pending changes may be flushed to all parts: the buffer's period is over or its count is
    /// reached, and little waits in the channel. Unless they are late, changes wait for proxies that must be
    /// bound soon, and then alternate with those.
    fn full_flush_is_due(&self, is_late: bool, queue_limit: f64) -> bool {
        let is_due = self.table.flush_at_once || self.flush_due().is_some_and(|due| self.now >= due);
        let binds_first = self.now < self.table.binds_first_until || self.binds_are_urgent();
        let is_held = !is_late && !self.table.flush_at_once && !self.unbound.is_empty() && binds_first;
        self.table.pending_since.is_some()
            && is_due
            && !is_held
            && self.channel.ledger.queued_lines() <= queue_limit
    }

    /// Sends the gathered changes to the bound proxies, one message each, when that is due. The proxies to
    /// which a withdrawal is written in this turn get the changes of their part in the same message in any
    /// case, as most of a message is overhead.
    pub(super) fn flush(&mut self, orders: &mut dyn Orders) -> bool {
        let withdrawal_parts = std::mem::take(&mut self.channel.withdrawal_parts);
        let is_late = self.flush_is_late();
        let queue_limit = if is_late { self.channel.routine_lines } else { self.routine_queue_limit() };
        let wants_all_parts = withdrawal_parts.is_empty() && self.full_flush_is_due(is_late, queue_limit);
        if !wants_all_parts && withdrawal_parts.is_empty() {
            if !is_late {
                self.table.flush_blocked = false;
            }
            return false;
        }
        let bound = self.proxies_with_table();
        let share = self.routine_share();
        let covers_all_parts =
            wants_all_parts && bound.iter().all(|bound| self.may_write(&bound.proxy, share));
        let room = self.flush_room(covers_all_parts, share);
        let mut flush = Flush {
            covers_all_parts,
            is_late,
            withdrawal_parts,
            queue_limit,
            levels: self.target_levels(),
            room_at_start: room,
            room,
            holders: vec![0.0; usize::from(self.table.parts)],
            lines: vec![0.0; usize::from(self.table.parts)],
            own_zone_messages: OwnZoneMessages::of(&bound, self.settings.message_overhead_lines + 1.0),
            is_blocked: false,
        };
        for bound in &bound {
            flush.holders[usize::from(bound.part)] += 1.0;
        }
        self.flush_parts(&mut flush, orders);
        for bound in &bound {
            let lines =
                flush.lines[usize::from(bound.part)] + flush.own_zone_messages.lines(bound.own_zone_table);
            self.record_ordered_lines(bound.proxy, lines);
        }
        self.finish_flush(&flush)
    }

    /// Returns the proxies that hold a table of this conductor.
    fn proxies_with_table(&self) -> Vec<BoundProxy> {
        let holders = self.proxies.iter().filter(|(_, proxy)| proxy.has_table);
        let bound = holders.map(|(id, proxy)| BoundProxy {
            proxy: *id,
            part: proxy.part,
            own_zone_table: self.table.own_zone_table(proxy.part, proxy.zone),
        });
        bound.collect()
    }

    /// Returns the lines that a flush may add to the channel.
    fn flush_room(&self, covers_all_parts: bool, share: f64) -> f64 {
        let limit =
            if covers_all_parts { self.settings.max_queued_lines * share } else { self.urgent_queue_limit() };
        limit - self.channel.ledger.unacknowledged_lines() - self.channel.unrecorded_marks()
    }

    /// Flushes the parts with the greatest changes first. What doesn't fit is gathered again: a channel that
    /// is kept full would deliver no more, only later.
    fn flush_parts(&mut self, flush: &mut Flush, orders: &mut dyn Orders) {
        let mut changes = self.changes_by_part();
        for part in self.flush_order(flush, &changes) {
            let with_withdrawal = flush.withdrawal_parts.contains(&part.part);
            let within_queue = flush.room_at_start - flush.room <= flush.queue_limit;
            let is_due = with_withdrawal || flush.covers_all_parts && within_queue;
            if !is_due {
                continue;
            }
            // The first line of a message comes with its overhead and a mark.
            let overhead_lines =
                if with_withdrawal { 0.0 } else { self.settings.message_overhead_lines + 1.0 };
            if part.levels_differ {
                self.flush_levels(part.part, overhead_lines, flush, orders);
            }
            let part_changes = std::mem::take(&mut changes[usize::from(part.part)]);
            self.flush_lines(part.part, part_changes, overhead_lines, flush, orders);
        }
    }

    /// Returns the buffered changes of each part.
    fn changes_by_part(&self) -> Vec<PartChanges> {
        let mut parts = vec![PartChanges::default(); usize::from(self.table.parts)];
        for (&node, &weight) in &self.table.buffer {
            let part = self.nodes.get(&node).map_or(0, |node| usize::from(node.part));
            let amount = (weight - self.table.pushed_weight(&node)).abs();
            parts[part].amount += amount;
            parts[part].lines.push(LineChange { amount, node, weight });
        }
        parts
    }

    /// Returns all parts, those with the greatest changes first.
    fn flush_order(&self, flush: &Flush, changes: &[PartChanges]) -> Vec<FlushPart> {
        let part = |part: u16| {
            let levels_differ = flush.covers_all_parts && self.table.levels.get(&part) != Some(&flush.levels);
            let amount = changes[usize::from(part)].amount + f64::from(u8::from(levels_differ));
            FlushPart { part, levels_differ, amount }
        };
        let mut order: Vec<FlushPart> = (0..self.table.parts).map(part).collect();
        order.sort_by(|a, b| b.amount.total_cmp(&a.amount));
        order
    }

    /// Pushes the levels of a part if they fit. A message to its proxies costs `overhead_lines` before its change_lines.
    fn flush_levels(&mut self, part: u16, overhead_lines: f64, flush: &mut Flush, orders: &mut dyn Orders) {
        let index = usize::from(part);
        let change_lines = flush.levels.len() as f64;
        let own_zone_tables = self.table.own_zone_tables_of(part);
        let own_zone_costs = own_zone_tables
            .iter()
            .map(|own_zone_table| flush.own_zone_messages.cost(*own_zone_table, change_lines));
        let cost = flush.holders[index] * (overhead_lines + change_lines) + own_zone_costs.sum::<f64>();
        if cost > flush.room {
            return;
        }
        for own_zone_table in own_zone_tables {
            flush.own_zone_messages.add(own_zone_table, change_lines);
        }
        flush.lines[index] = change_lines;
        flush.room -= cost;
        self.table.levels.insert(part, flush.levels.clone());
        for zone in &self.table.written_zones {
            self.write_levels(part, *zone, orders);
        }
    }

    /// Pushes the changed lines of a part that fit, the greatest changes first.
    fn flush_lines(
        &mut self,
        part: u16,
        mut changes: PartChanges,
        overhead_lines: f64,
        flush: &mut Flush,
        orders: &mut dyn Orders,
    ) {
        let index = usize::from(part);
        changes.lines.sort_by(|a, b| b.amount.total_cmp(&a.amount));
        for LineChange { node, weight, .. } in changes.lines {
            // A line of a withdrawn node comes with the end of its withdrawal.
            let change_lines = if weight > 0.0 && self.withdrawn.contains(&node) { 2.0 } else { 1.0 };
            let own_zone_table = self.own_zone_table_of(&node);
            let lines_per_message =
                if flush.lines[index] > 0.0 { change_lines } else { change_lines + overhead_lines };
            let cost = flush.holders[index] * lines_per_message
                + flush.own_zone_messages.cost(own_zone_table, change_lines);
            flush.is_blocked |= flush.is_late && cost > flush.room && cost <= self.channel.routine_lines;
            if cost > flush.room {
                continue;
            }
            self.push_line(node, weight, orders);
            flush.lines[index] += change_lines;
            flush.room -= cost;
            flush.own_zone_messages.add(own_zone_table, change_lines);
        }
    }

    /// Records what was flushed, and returns whether anything was.
    fn finish_flush(&mut self, flush: &Flush) -> bool {
        let fired = flush.lines.iter().any(|lines| *lines > 0.0);
        self.table.flush_blocked = flush.is_blocked && !fired;
        if !fired {
            return false;
        }
        self.recheck_table = true;
        let lines = flush.room_at_start - flush.room;
        let after = |factor: f64| {
            self.now + Time::from_seconds(factor * lines / self.channel.ledger.lines_per_second())
        };
        self.table.binds_first_until = after(FLUSH_WAIT_FACTOR);
        self.table.small_changes_due = after(SMALL_CHANGE_WAIT_FACTOR);
        if flush.covers_all_parts {
            self.table.flush_at_once = false;
            self.table.flushed_at = Some(self.now);
            self.table.pending_since = None;
        }
        true
    }

    /// Asks to be woken for the next flush, and in any case after [`FLUSH_PERIOD`].
    pub(super) fn schedule_wake(&mut self, orders: &mut dyn Orders) -> bool {
        let latest = self.now + FLUSH_PERIOD;
        let flush_due = self.flush_due().filter(|due| *due > self.now);
        let due = flush_due.map_or(latest, |due| due.min(latest));
        if self.wake_at <= self.now || self.wake_at > due {
            orders.wake_at(due, 0);
            self.wake_at = due;
        }
        false
    }
}

/// A flush in progress.
struct Flush {
    /// Whether all parts are flushed, rather than only those whose proxies a withdrawal is written to.
    covers_all_parts: bool,
    /// Whether the changes have waited for so long that they must be flushed soon.
    is_late: bool,
    /// Parts whose proxies a withdrawal is written to in this turn.
    withdrawal_parts: BTreeSet<u16>,
    /// Lines after which a full flush begins no further part.
    queue_limit: f64,
    /// Retry policies and levels that each part should have, by class.
    levels: Vec<(RetryPolicy, f64)>,
    /// Lines that the flush could add to the channel when it began.
    room_at_start: f64,
    /// Lines that it can still add.
    room: f64,
    /// Proxies that hold each part (count).
    holders: Vec<f64>,
    /// Lines pushed of each part.
    lines: Vec<f64>,
    /// Messages about own-zone tables.
    own_zone_messages: OwnZoneMessages,
    /// Whether a late change did not fit but would into an empty channel.
    is_blocked: bool,
}

/// A proxy that holds a table of this conductor.
pub(super) struct BoundProxy {
    pub(super) proxy: ProxyId,
    pub(super) part: u16,
    /// Its table for own-zone classes, if it has one.
    pub(super) own_zone_table: Option<OwnZoneTable>,
}

/// A part that may be flushed.
struct FlushPart {
    part: u16,
    levels_differ: bool,
    /// How much changes in it.
    amount: f64,
}

/// The buffered changes of a part.
#[derive(Clone, Default)]
struct PartChanges {
    /// Sum of the changes of weights.
    amount: f64,
    lines: Vec<LineChange>,
}

/// A buffered change of a line.
#[derive(Clone)]
struct LineChange {
    /// How much the weight changes.
    amount: f64,
    node: NodeId,
    weight: f64,
}

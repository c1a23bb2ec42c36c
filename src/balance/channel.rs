//! Counts what orders cost in the channel, by proxy and in all. It doesn't decide what to order or hold back.

use super::*;

/// Factor on the share of proxies not bound yet that are expected to hold a node of one part by the table of
/// another conductor; the others hold nodes of other parts.
const EXPECTED_HOLDERS_FACTOR: f64 = 2.0;

/// What is written to proxies, and how much may be.
#[derive(Default)]
pub struct Channel {
    /// Accounts for the lines that were ordered and estimates how many of them still wait in the channel.
    pub ledger: ChannelLedger,
    /// Lines that flushes and bindings may queue.
    pub routine_lines: f64,
    /// Lines up to which bindings that can't be delayed any longer may fill the queue.
    pub overdue_lines: f64,
    /// Nodes that the host may have to readmit with a whole table, each by a line of its own (count).
    pub possible_readmissions: usize,
    /// Nodes of each table that the host readmits with it (count).
    pub readmissions_with_table: usize,
    /// Proxies to which this turn writes.
    pub written: BTreeSet<ProxyId>,
    /// When a node was last withdrawn.
    pub withdrawn_at: Option<Time>,
    /// Proxies not bound yet that this turn is expected to write to (count).
    pub estimated_messages: f64,
    /// Parts whose proxies this turn's withdrawals are written to.
    pub withdrawal_parts: BTreeSet<u16>,
}

impl Channel {
    /// Returns an empty channel of a service. Marks are numbered from `seed` on.
    pub fn new(settings: &ServiceSettings, seed: u64) -> Channel {
        // A withdrawal behind all that flushes and bindings queue must still arrive within its time.
        let sent = settings.channel_lines_per_second * settings.time_allowed(1.0).seconds();
        Channel {
            ledger: ChannelLedger::new(settings, seed),
            routine_lines: (settings.max_queued_lines * ROUTINE_SHARE).min(sent),
            overdue_lines: settings.max_queued_lines.min(sent),
            ..Channel::default()
        }
    }

    /// Forgets what the last turn wrote.
    pub fn begin_turn(&mut self) {
        self.written.clear();
        self.withdrawal_parts.clear();
        self.estimated_messages = 0.0;
    }

    /// Returns the marks that this turn's messages may carry, which are not recorded before its end.
    pub fn unrecorded_marks(&self) -> f64 {
        self.written.len() as f64
    }
}

/// Proxies that may hold a node.
pub struct Holders {
    pub known: BTreeSet<ProxyId>,
    /// Further proxies that are expected to hold it (count).
    pub estimated: f64,
}

/// What a flush writes to the proxies that share an own-zone table.
#[derive(Clone, Copy, Default)]
struct OwnZoneMessage {
    proxies: f64,
    /// Lines for each of the proxies.
    lines: f64,
}

/// What a flush writes about own-zone tables, beside the lines for the proxies of a node's part.
pub struct OwnZoneMessages {
    tables: BTreeMap<OwnZoneTable, OwnZoneMessage>,
    /// Lines that a message costs before its own.
    overhead_lines: f64,
}

impl OwnZoneMessages {
    /// Returns the own-zone tables of bound proxies, with nothing written yet. A message costs `overhead_lines`
    /// before its own.
    pub fn of(bound: &[BoundProxy], overhead_lines: f64) -> OwnZoneMessages {
        let mut tables: BTreeMap<OwnZoneTable, OwnZoneMessage> = BTreeMap::new();
        for own_zone_table in bound.iter().filter_map(|bound| bound.own_zone_table) {
            tables.entry(own_zone_table).or_default().proxies += 1.0;
        }
        OwnZoneMessages { tables, overhead_lines }
    }

    /// Returns what `change_lines` further lines for each proxy of a table cost in all.
    pub fn cost(&self, own_zone_table: Option<OwnZoneTable>, change_lines: f64) -> f64 {
        let message = own_zone_table
            .and_then(|own_zone_table| self.tables.get(&own_zone_table).copied())
            .unwrap_or_default();
        let lines_per_message =
            if message.lines > 0.0 { change_lines } else { change_lines + self.overhead_lines };
        message.proxies * lines_per_message
    }

    /// Adds `change_lines` lines for each proxy of a table.
    pub fn add(&mut self, own_zone_table: Option<OwnZoneTable>, change_lines: f64) {
        if let Some(message) = own_zone_table.and_then(|own_zone_table| self.tables.get_mut(&own_zone_table))
        {
            message.lines += change_lines;
        }
    }

    /// Returns the lines added for each proxy of a table.
    pub fn lines(&self, own_zone_table: Option<OwnZoneTable>) -> f64 {
        own_zone_table
            .and_then(|own_zone_table| self.tables.get(&own_zone_table))
            .map_or(0.0, |message| message.lines)
    }
}

impl Balance {
    /// Records a proxy's acknowledgement of a mark, and the time that it took.
    pub fn mark_acknowledged(&mut self, now: Time, mark: u16, took: Time) {
        self.begin_turn(now);
        self.channel.ledger.acknowledge(mark, took);
    }

    /// Records that further lines have entered the channel. A host that can't tell reports all of them at
    /// once.
    pub fn record_entered_lines(&mut self, now: Time, lines: f64) {
        self.begin_turn(now);
        self.channel.ledger.add_entered(lines);
    }

    /// Records the lines that this turn's orders really cost, and to how many proxies they went, where the
    /// host knows.
    pub fn record_written_lines(&mut self, lines: f64, proxies: usize) {
        self.channel.ledger.set_turn_lines(self.now, lines, proxies);
    }

    /// Records lines that go to a proxy. All that goes to a proxy in one turn is one message, with one
    /// overhead.
    pub(super) fn record_ordered_lines(&mut self, proxy: ProxyId, lines: f64) {
        if lines == 0.0 {
            return;
        }
        self.channel.ledger.add_ordered(lines);
        if !self.channel.written.insert(proxy) {
            return;
        }
        self.channel.ledger.add_ordered(self.settings.message_overhead_lines);
        if self.settings.max_messages == 0 {
            return;
        }
        if let Some(proxy) = self.proxies.get_mut(&proxy) {
            proxy.messages.retain(|at| *at + self.settings.message_window >= self.now);
            proxy.messages.push_back(self.now);
        }
    }

    /// Returns the proxies never bound here that may hold a node by the table of another conductor: all of
    /// them where the table is not split, otherwise an estimated few.
    pub(super) fn holders_by_other_tables(&self) -> Holders {
        let waiting = self.unbound.iter().map(|unbound| unbound.proxy);
        let without_table = waiting.filter(|id| !self.proxies[id].has_table);
        let parts = f64::from(self.table.parts);
        if parts > 1.0 {
            let estimated = (without_table.count() as f64 * EXPECTED_HOLDERS_FACTOR / parts).ceil();
            Holders { known: BTreeSet::new(), estimated }
        } else {
            Holders { known: without_table.collect(), estimated: 0.0 }
        }
    }

    /// Records a line for each of an estimated number of proxies, and the overhead of the messages not
    /// recorded for them yet.
    pub(super) fn record_estimated_lines(&mut self, proxies: f64) {
        let messages = proxies.min(self.unbound.len() as f64 - self.channel.estimated_messages).max(0.0);
        self.channel.ledger.add_ordered(proxies + (self.settings.message_overhead_lines + 1.0) * messages);
        self.channel.estimated_messages += messages;
    }

    /// Whether a proxy may be sent one more message, within a share of what is allowed. This turn's message
    /// to it may always grow.
    pub(super) fn may_write(&self, proxy: &ProxyId, share: f64) -> bool {
        let allowed = f64::from(self.settings.max_messages) * share;
        if allowed == 0.0 || self.channel.written.contains(proxy) {
            return true;
        }
        let Some(proxy) = self.proxies.get(proxy) else { return false };
        let is_recent = |at: &&Time| **at + self.settings.message_window >= self.now;
        let recent = proxy.messages.iter().filter(is_recent).count();
        (recent as f64) < allowed.floor().max(1.0)
    }

    /// Returns the lines that a binding costs: those of the table, its levels, the nodes withdrawn from it,
    /// the binding itself, a mark and the overhead of a message.
    pub(super) fn bind_lines(&self) -> f64 {
        let (part, own_zone_table) = self.index.max_table_lines();
        // Of all nodes that may have to be readmitted, a part is assumed to have the same share as of all
        // lines, and no more than stand in it.
        let share = part as f64 / self.table.lines.len().max(1) as f64;
        let possible_readmissions =
            (self.channel.possible_readmissions as f64 * share).min(part as f64) as usize;
        let own_zone_bind = usize::from(own_zone_table > 0);
        let first_readmissions = self.channel.readmissions_with_table * (1 + own_zone_bind);
        let lines = part + possible_readmissions + first_readmissions + own_zone_table + own_zone_bind + 2;
        (lines + self.settings.class_terms.len()) as f64 + self.settings.message_overhead_lines
    }
}

#[cfg(test)]
mod tests;

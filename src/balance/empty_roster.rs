//! Binds proxies while the roster lists no node: they must not go on sending by the tables of another conductor, whose
//! nodes are gone by this roster.

use super::*;

/// A table to which no line is ever written. No view of a part and no own-zone table has this number, as
/// [`ServiceSettings::table_split`] leaves it free.
const EMPTY_TABLE: TableId = TableId(u16::MAX);

/// Lines of a binding to [`EMPTY_TABLE`], without the overhead of its message: the binding itself.
const EMPTY_TABLE_LINES: f64 = 1.0;

/// What the conductor knows of a roster without nodes.
#[derive(Default)]
pub(super) struct EmptyRoster {
    /// Whether a whole roster was received. Until then, that no node is known says nothing.
    pub(super) is_roster_held: bool,
    /// Proxies that were not sent any table since they joined.
    pub(super) proxies_without_order: BTreeSet<ProxyId>,
}

impl Balance {
    /// Whether the roster lists no node, and none is remembered that it listed before.
    fn is_roster_empty(&self) -> bool {
        self.empty_roster.is_roster_held && self.nodes.is_empty()
    }

    /// Binds the proxies that have joined to a table without lines while the roster lists no node. They go on waiting to
    /// be bound to a part of the table, which is split with the first nodes.
    pub(super) fn bind_to_empty_table(&mut self, orders: &mut dyn Orders) -> bool {
        if !self.is_roster_empty() {
            return false;
        }
        let mut fired = false;
        for id in self.empty_roster.proxies_without_order.clone() {
            if !self.has_room_for_empty_table() {
                break;
            }
            if self.may_write(&id, 1.0) {
                orders.bind_proxy(id, EMPTY_TABLE, ClassSet::default());
                self.record_ordered_lines(id, EMPTY_TABLE_LINES);
                self.record_empty_table(id);
                fired = true;
            }
        }
        fired
    }

    /// Records that a proxy holds a table without lines. It is bound before those that hold another conductor's.
    fn record_empty_table(&mut self, id: ProxyId) {
        self.empty_roster.proxies_without_order.remove(&id);
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        self.unbound.remove(&proxy.queue_entry(id));
        proxy.only_standing_tables = true;
        self.unbound.insert(proxy.queue_entry(id));
    }

    /// Whether one more binding to the empty table, and its mark, fit into the channel.
    fn has_room_for_empty_table(&self) -> bool {
        let ledger = &self.channel.ledger;
        let cost = EMPTY_TABLE_LINES + 1.0 + self.settings.message_overhead_lines;
        let queue_limit = self.urgent_queue_limit();
        ledger.fits(cost + self.channel.unrecorded_marks(), queue_limit)
            && ledger.queued_lines() <= queue_limit
    }
}

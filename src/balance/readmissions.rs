//! Readmits nodes that other conductors may have excluded at proxies which joined here since.

use super::*;

impl Balance {
    /// Readmits all nodes of their tables at bound proxies that may exclude some of them by the order of another
    /// conductor, which may have had another roster. Some nodes of each table were readmitted with it, so that
    /// withdrawals, changes and bindings go first, and it takes only what these may use of the channel.
    pub(super) fn readmit_nodes(&mut self, orders: &mut dyn Orders) -> bool {
        if self.awaiting_readmission.is_empty()
            || self.binds_are_urgent()
            || !self.index.to_withdraw().is_empty()
            || self.table.pending_since.is_some()
        {
            return false;
        }
        let mut fired = false;
        for id in self.awaiting_readmission.clone() {
            if !self.may_write(&id, self.routine_share()) {
                continue;
            }
            let lines = orders.readmission_lines(id) as f64;
            if lines > 0.0 {
                if !self.has_room_for_readmission(lines) {
                    break;
                }
                orders.readmit_all(id);
                self.record_ordered_lines(id, lines);
                fired = true;
            }
            self.awaiting_readmission.remove(&id);
        }
        fired
    }

    /// Whether the channel has room for a message that readmits so many nodes.
    fn has_room_for_readmission(&self, lines: f64) -> bool {
        let ledger = &self.channel.ledger;
        let cost = lines + self.settings.message_overhead_lines + 1.0 + self.channel.unrecorded_marks();
        ledger.fits(cost, self.channel.routine_lines) && ledger.queued_lines() <= self.routine_queue_limit()
    }
}

//! Withdraws unavailable nodes, and binds proxies to parts of the table.

use super::*;

/// Share of the time allowed for a binding after which it goes even before withdrawals.
const OVERDUE_BIND_SHARE: f64 = 0.75;

impl Balance {
    /// Withdraws a node listed as draining or gone at once, ahead of any flush, as proxies must stop sending
    /// to it within the time allowed. Withdrawals close together share a message only where messages are
    /// limited. The change of the node's line follows in the same message.
    pub(super) fn withdraw_unavailable(&mut self, orders: &mut dyn Orders) -> bool {
        let Some(node) = self.index.to_withdraw().last().copied() else { return false };
        let holders = self.holders_of(node);
        if !self.may_withdraw(&holders) {
            return false;
        }
        orders.set_withdrawn(node, true);
        for proxy in holders.known {
            self.record_ordered_lines(proxy, 1.0);
        }
        self.record_estimated_lines(holders.estimated);
        self.withdrawn.insert(node);
        self.refresh(node);
        self.channel.withdrawal_parts.extend(self.nodes.get(&node).map(|node| node.part));
        self.channel.withdrawn_at = Some(self.now);
        self.recheck_table = true;
        true
    }

    /// Returns the proxies that may hold a node. Those not bound yet get a table without it: when each of
    /// them was sent a line for each node, a mass joining filled the channel, and no binding got through.
    fn holders_of(&self, node: NodeId) -> Holders {
        let part = self.nodes.get(&node).map(|node| node.part);
        let own_zone_table = self.own_zone_table_of(&node);
        let mut holders = self.holders_by_other_tables();
        for (id, proxy) in self.proxies.iter().filter(|(_, proxy)| proxy.has_table) {
            let in_part = Some(proxy.part) == part;
            let shares_table = own_zone_table.is_some()
                && self.table.own_zone_table(proxy.part, proxy.zone) == own_zone_table;
            if in_part || shares_table {
                holders.known.insert(*id);
            }
        }
        holders
    }

    /// Whether a withdrawal may be written to a node's holders now, so that a binding still fits behind it.
    fn may_withdraw(&self, holders: &Holders) -> bool {
        let interval = self.settings.message_interval(1.0 - ROUTINE_SHARE);
        let waits = |at: Time| at < self.now && self.now < at + interval;
        if self.channel.withdrawn_at.is_some_and(waits) {
            return false;
        }
        // A message leaves as a whole: one already written in this turn costs no further overhead.
        let is_new = |proxy: &&ProxyId| !self.channel.written.contains(*proxy);
        let new = holders.known.iter().filter(is_new).count() as f64;
        let overhead = self.settings.message_overhead_lines + 1.0;
        let lines = holders.known.len() as f64 + holders.estimated + overhead * (new + holders.estimated);
        let lines = self.bind_lines() + lines + self.channel.unrecorded_marks();
        self.channel.ledger.fits(lines, self.settings.max_queued_lines)
            && holders.known.iter().all(|proxy| self.may_write(proxy, 1.0))
    }
}

/// The load of a part of the table.
pub(super) struct PartLoad {
    /// Exchanges a second of its bound proxies, by unit of weight.
    pub(super) load: f64,
    /// Weight of its usable lines.
    weight: f64,
}

impl PartLoad {
    /// Adds the load of one more proxy.
    fn add_proxy(&mut self, proxy: &Proxy) {
        self.load += proxy.rate / self.weight;
    }
}

/// Parts with a usable line.
pub(super) type PartLoads = BTreeMap<u16, PartLoad>;

/// Limits within which waiting proxies are bound.
struct BindLimits {
    /// Lines that a binding costs.
    lines: f64,
    /// Lines that may be unanswered in the channel.
    unanswered: f64,
    /// Lines that may wait in the channel before a binding.
    queue_limit: f64,
    /// Share of the messages allowed to a proxy that may be used.
    message_share: f64,
}

impl BindLimits {
    /// Whether the channel has room for one more binding.
    fn have_room(&self, channel: &Channel) -> bool {
        channel.ledger.fits(self.lines + channel.unrecorded_marks(), self.unanswered)
            && channel.ledger.queued_lines() <= self.queue_limit
    }
}

impl Balance {
    /// Binds waiting proxies after the period of a flush, only as many as let the next flush go soon. Where
    /// one has waited so long that it may be left without a line or keep sending to a draining node, bindings
    /// may fill the channel up to [`Balance::bind_queue_max`].
    pub(super) fn bind_waiting(&mut self, orders: &mut dyn Orders) -> bool {
        if self.unbound.is_empty() || self.table.flush_blocked {
            return false;
        }
        let is_empty = self.table.lines.is_empty() && self.withdrawn.is_empty();
        let is_urgent = self.binds_are_urgent() && !self.table.lines.is_empty();
        let is_due = is_urgent || self.flush_due().is_some_and(|due| self.now >= due);
        let limits = self.bind_limits(is_urgent);
        if is_empty || !is_due || !limits.have_room(&self.channel) {
            return false;
        }
        // Computed once: when it was done for each of a thousand waiting proxies, a turn took a second.
        let mut loads = self.part_loads();
        let usable_tables = self.index.usable_own_zone_tables().collect();
        let mut fired = false;
        for Unbound { proxy, .. } in self.unbound.clone() {
            if !limits.have_room(&self.channel) {
                break;
            }
            if self.may_write(&proxy, limits.message_share) {
                self.bind(proxy, limits.lines, &mut loads, &usable_tables, orders);
                fired = true;
            }
        }
        fired
    }

    /// Returns the limits of bindings now.
    fn bind_limits(&self, is_urgent: bool) -> BindLimits {
        let lines = self.bind_lines();
        let queue_max = self.bind_queue_max(is_urgent, lines);
        let queue_limit = if is_urgent { queue_max } else { self.routine_queue_limit() };
        BindLimits {
            lines,
            // Each bound proxy acknowledges a mark, which also accounts for lines that others didn't
            // acknowledge.
            unanswered: (queue_max + self.settings.max_queued_lines) / 2.0,
            queue_limit: queue_limit.min(queue_max - lines),
            message_share: if is_urgent { 1.0 } else { self.routine_share() },
        }
    }

    /// Returns the lines up to which bindings may fill the channel, each of `lines` lines.
    fn bind_queue_max(&self, is_urgent: bool, lines: f64) -> f64 {
        let span = self.settings.time_allowed(OVERDUE_BIND_SHARE);
        let is_overdue = self.unbound.iter().any(|unbound| self.now >= unbound.joined_at + span);
        if is_urgent && is_overdue {
            // It goes before withdrawals listed later, however long its table takes.
            self.channel.overdue_lines.max(lines.min(self.settings.max_queued_lines))
        } else if is_urgent && self.index.to_withdraw().is_empty() {
            self.urgent_queue_limit()
        } else {
            self.channel.routine_lines
        }
    }

    /// Returns the load of each part with a usable line. Load is counted by weight: when only rates counted,
    /// a part in which a release had left one node got as many proxies as a whole part.
    fn part_loads(&self) -> PartLoads {
        let usable = self.index.usable_parts();
        let mut loads: PartLoads =
            usable.map(|(part, weight)| (part, PartLoad { load: 0.0, weight })).collect();
        for proxy in self.proxies.values().filter(|proxy| proxy.bound) {
            if let Some(part) = loads.get_mut(&proxy.part) {
                part.add_proxy(proxy);
            }
        }
        loads
    }

    /// Binds a proxy to a part, at a cost of `lines` lines.
    fn bind(
        &mut self,
        id: ProxyId,
        lines: f64,
        loads: &mut PartLoads,
        usable_tables: &BTreeSet<OwnZoneTable>,
        orders: &mut dyn Orders,
    ) {
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        let advised = self.advice.parts.get(&id).copied();
        let part = self.table.part_for_proxy(proxy, advised, loads, usable_tables);
        proxy.bound = true;
        proxy.has_table = true;
        proxy.part = part;
        if proxy.may_exclude_nodes {
            self.awaiting_readmission.insert(id);
        }
        if let Some(load) = loads.get_mut(&part) {
            load.add_proxy(proxy);
        }
        self.unbound.remove(&proxy.queue_entry(id));
        self.empty_roster.proxies_without_order.remove(&id);
        let zone = ZoneId(proxy.zone.0 % self.table.zone_views);
        self.write_zone(zone, orders);
        self.bind_views(id, part, zone, orders);
        self.record_ordered_lines(id, lines - self.settings.message_overhead_lines);
    }

    /// Has proxies of parts without a usable line wait to be bound to another part, if any other has one.
    pub(super) fn unbind_from_empty_parts(&mut self, _orders: &mut dyn Orders) -> bool {
        if !self.recheck_table {
            return false;
        }
        let usable_parts: BTreeSet<u16> = self.index.usable_parts().map(|(part, _)| part).collect();
        let all_usable =
            usable_parts.len() == usize::from(self.table.parts) && self.table.own_zone_groups == 0;
        if usable_parts.is_empty() || all_usable {
            return false;
        }
        let usable_tables = self.index.usable_own_zone_tables().collect();
        for (id, proxy) in &mut self.proxies {
            let is_usable = usable_parts.contains(&proxy.part);
            let is_served = is_usable && self.table.serves_zone(proxy.part, proxy.zone, &usable_tables);
            if proxy.bound && !is_served {
                proxy.bound = false;
                proxy.only_standing_tables = true;
                self.unbound.insert(proxy.queue_entry(*id));
            }
        }
        false
    }

    /// Requests an acknowledgement of this turn's messages if none is outstanding or much was ordered since:
    /// acknowledgements show what has left the channel.
    pub(super) fn request_acknowledgement(&mut self, orders: &mut dyn Orders) -> bool {
        let written = self.channel.written.clone();
        let proxies = written.len() + self.channel.estimated_messages as usize;
        if proxies == 0 || !self.channel.ledger.mark_is_due(self.now) {
            return false;
        }
        orders.request_acknowledgement(self.channel.ledger.add_mark(self.now, proxies), false);
        for proxy in written {
            self.record_ordered_lines(proxy, 1.0);
        }
        false
    }
}

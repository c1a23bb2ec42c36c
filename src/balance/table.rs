//! How the one table is numbered and shown: by parts, as each zone sees them, and, for own-zone classes, by
//! groups of parts and by zones. It doesn't decide what stands in the table, nor which proxy is bound to
//! what.

use super::*;

/// A group of parts, and a zone. The proxies of a zone that are bound to parts of one group share a table for
/// own-zone classes.
pub type OwnZoneTable = (u16, ZoneId);

impl Table {
    /// Returns a table of one part that all zones share, without lines.
    pub(super) fn undivided() -> Table {
        Table { parts: 1, zone_views: 1, written_zones: BTreeSet::from([ZoneId(0)]), ..Table::default() }
    }

    /// Returns the own-zone table of a part and a zone; nothing without own-zone classes.
    pub(super) fn own_zone_table(&self, part: u16, zone: ZoneId) -> Option<OwnZoneTable> {
        (self.own_zone_groups > 0).then(|| (part % self.own_zone_groups.max(1), zone))
    }

    /// Returns the own-zone tables of a part, for each zone that is shown.
    pub(super) fn own_zone_tables_of(&self, part: u16) -> Vec<Option<OwnZoneTable>> {
        self.written_zones.iter().map(|zone| self.own_zone_table(part, *zone)).collect()
    }

    /// Returns the weight of a node's line as it was pushed, 0 for none.
    pub(super) fn pushed_weight(&self, id: &NodeId) -> f64 {
        self.lines.get(id).copied().unwrap_or(0.0)
    }

    /// Buffers the change of a line until a flush, or drops it. Returns whether that altered the buffer.
    pub(super) fn buffer_change(&mut self, id: NodeId, weight: Option<f64>, is_large: bool) -> bool {
        if is_large {
            self.large_changes.insert(id);
        } else {
            self.large_changes.remove(&id);
        }
        match weight {
            Some(weight) => self.buffer.insert(id, weight) != Some(weight),
            None => self.buffer.remove(&id).is_some(),
        }
    }

    /// Whether the proxies of a zone find nodes in a part for all classes, as far as any part has nodes for
    /// them. `usable` holds the own-zone tables with a usable line.
    pub(super) fn serves_zone(&self, part: u16, zone: ZoneId, usable: &BTreeSet<OwnZoneTable>) -> bool {
        let Some(own_zone_table) = self.own_zone_table(part, zone) else { return true };
        let zone_has_nodes = usable.iter().any(|(_, usable_zone)| *usable_zone == zone);
        !zone_has_nodes || usable.contains(&own_zone_table)
    }

    /// Returns the part to bind a proxy to: the advised one if it serves the proxy, else the least loaded
    /// that does.
    pub(super) fn part_for_proxy(
        &self,
        proxy: &Proxy,
        advised: Option<u16>,
        loads: &PartLoads,
        usable: &BTreeSet<OwnZoneTable>,
    ) -> u16 {
        let serves = |part: &u16| loads.contains_key(part) && self.serves_zone(*part, proxy.zone, usable);
        let serving = loads.iter().filter(|(part, _)| serves(part));
        let least = serving.min_by(|a, b| a.1.load.total_cmp(&b.1.load));
        let least = least.map(|(part, _)| *part);
        advised.filter(serves).or(least).unwrap_or_default()
    }
}

impl Balance {
    /// Returns the table that shows a part to a zone.
    pub(super) fn view(&self, part: u16, zone: ZoneId) -> TableId {
        TableId(part * self.table.zone_views + zone.0 % self.table.zone_views)
    }

    /// Returns the table of a group for own-zone classes; these are numbered after all views of parts.
    fn own_zone_view(&self, (group, zone): OwnZoneTable) -> TableId {
        TableId((self.table.parts + group) * self.table.zone_views + zone.0 % self.table.zone_views)
    }

    /// Returns the table in which a class of a proxy's exchanges looks for nodes, given the proxy's part and
    /// zone.
    fn class_view(&self, class: usize, part: u16, zone: ZoneId) -> TableId {
        let own_zone_table =
            self.table.own_zone_table(part, zone).filter(|_| self.settings.class_terms[class].own_zone_only);
        own_zone_table
            .map_or_else(|| self.view(part, zone), |own_zone_table| self.own_zone_view(own_zone_table))
    }

    /// Returns the own-zone table in which a node may stand.
    pub(super) fn own_zone_table_of(&self, id: &NodeId) -> Option<OwnZoneTable> {
        self.nodes.get(id).and_then(|node| self.table.own_zone_table(node.part, node.zone))
    }

    /// Binds a proxy, each class to its table.
    pub(super) fn bind_views(&self, proxy: ProxyId, part: u16, zone: ZoneId, orders: &mut dyn Orders) {
        if self.table.own_zone_groups == 0 {
            return orders.bind_proxy(proxy, self.view(part, zone), ClassSet::default());
        }
        let mut views: BTreeMap<TableId, ClassSet> = BTreeMap::new();
        for class in 0..self.settings.class_terms.len() {
            let view = self.class_view(class, part, zone);
            views.entry(view).or_default().0.insert(ClassId(class as u16));
        }
        for (view, classes) in views {
            orders.bind_proxy(proxy, view, classes);
        }
    }

    /// Sets a node's line, or removes it with a weight of 0, and readmits a withdrawn node with its line.
    pub(super) fn push_line(&mut self, id: NodeId, weight: f64, orders: &mut dyn Orders) {
        let opens = weight > 0.0;
        let is_in_own_zone_table =
            opens && self.nodes.get(&id).is_some_and(|node| self.may_serve_own_zone(node));
        let Table { lines, own_zone_nodes, .. } = &mut self.table;
        let former = if opens { lines.insert(id, weight) } else { lines.remove(&id) };
        let was_in_own_zone_table =
            if is_in_own_zone_table { !own_zone_nodes.insert(id) } else { own_zone_nodes.remove(&id) };
        if former != Some(weight) || was_in_own_zone_table != is_in_own_zone_table {
            for zone in &self.table.written_zones {
                self.write_line(*zone, id, weight, was_in_own_zone_table, orders);
            }
        }
        if opens && self.withdrawn.remove(&id) {
            self.end_withdrawal(id, orders);
        }
        self.refresh(id);
    }

    /// Readmits a withdrawn node.
    fn end_withdrawal(&mut self, id: NodeId, orders: &mut dyn Orders) {
        orders.set_withdrawn(id, false);
        let holders = self.holders_by_other_tables();
        for proxy in holders.known {
            self.record_ordered_lines(proxy, 1.0);
        }
        self.record_estimated_lines(holders.estimated);
    }

    /// Shows a line to a zone. `was_in_own_zone_table` is whether it stood in its own-zone table before.
    fn write_line(
        &self,
        zone: ZoneId,
        id: NodeId,
        weight: f64,
        was_in_own_zone_table: bool,
        orders: &mut dyn Orders,
    ) {
        let Some(node) = self.nodes.get(&id) else { return };
        orders.set_line(self.view(node.part, zone), id, weight * self.share_in_zone(node, zone));
        let is_in_own_zone_table = self.table.own_zone_nodes.contains(&id);
        if node.zone != zone || !(is_in_own_zone_table || was_in_own_zone_table) {
            return;
        }
        if let Some(own_zone_table) = self.table.own_zone_table(node.part, node.zone) {
            orders.set_line(
                self.own_zone_view(own_zone_table),
                id,
                if is_in_own_zone_table { weight } else { 0.0 },
            );
        }
    }

    /// Shows the whole table to a zone whose first proxy is bound.
    pub(super) fn write_zone(&mut self, zone: ZoneId, orders: &mut dyn Orders) {
        if !self.table.written_zones.insert(zone) {
            return;
        }
        for (id, weight) in &self.table.lines {
            self.write_line(zone, *id, *weight, false, orders);
        }
        for part in 0..self.table.parts {
            self.write_levels(part, zone, orders);
        }
    }

    /// Removes nodes that are now listed in another zone from the tables of the former; they get new lines
    /// with the next changes.
    pub(super) fn write_relocated(&mut self, orders: &mut dyn Orders) {
        for (id, own_zone_table) in std::mem::take(&mut self.table.relocated) {
            self.table.lines.remove(&id);
            if self.table.own_zone_nodes.remove(&id) {
                orders.set_line(self.own_zone_view(own_zone_table), id, 0.0);
            }
            self.refresh(id);
        }
    }

    /// Shows a part's retry policies and levels to a zone.
    pub(super) fn write_levels(&self, part: u16, zone: ZoneId, orders: &mut dyn Orders) {
        let levels = self.table.levels.get(&part).into_iter().flatten();
        for (class, (tries, amount)) in levels.enumerate() {
            let view = self.class_view(class, part, zone);
            orders.set_level(Some(view), ClassSet::only(ClassId(class as u16)), *tries, *amount);
        }
    }
}

//! The orders of the decision module, recorded in the desired state.

use super::ejections::RESTORED_WITH_TABLE;
use super::*;
use crate::LogLevel;

impl Orders for DesiredState {
    fn set_line(&mut self, table: TableId, node: NodeId, weight: f64) {
        let lines = &mut self.tables.entry(table).or_default().lines;
        if weight > 0.0 {
            lines.insert(node, weight as f32);
        } else {
            lines.remove(&node);
        }
        self.turn.lines.entry(table).or_default().insert(node);
    }

    fn clear_table(&mut self, table: TableId) {
        self.tables.insert(table, Table::default());
        self.turn.cleared.insert(table);
    }

    fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, classes: ClassSet) {
        let Some(stream) = self.streams.get(&proxy) else { return };
        let mut tables = stream.binding.to_vec();
        for class in self.matching_classes(classes) {
            tables[usize::from(class.0)] = Some(table);
            self.turn.bound.entry(proxy).or_default().insert(class);
        }
        let binding = self.intern_binding(tables);
        if let Some(stream) = self.streams.get_mut(&proxy) {
            stream.binding = binding;
        }
    }

    fn possible_readmissions(&self) -> usize {
        self.possibly_ejected.len()
    }

    fn readmissions_with_table(&self) -> usize {
        RESTORED_WITH_TABLE
    }

    fn readmission_lines(&self, proxy: ProxyId) -> usize {
        self.streams.get(&proxy).map_or(0, |stream| self.unrestored_nodes(stream).len())
    }

    fn readmit_all(&mut self, proxy: ProxyId) {
        self.turn.readmitted.insert(proxy);
    }

    fn set_withdrawn(&mut self, node: NodeId, withdrawn: bool) {
        if withdrawn {
            self.withdrawn.insert(node);
        } else {
            self.withdrawn.remove(&node);
        }
        self.turn.ejections.push(node);
    }

    fn forget_node(&mut self, node: NodeId) {
        self.set_withdrawn(node, false);
        self.forgotten.push(node);
    }

    fn set_level(&mut self, table: Option<TableId>, classes: ClassSet, tries: RetryPolicy, amount: f64) {
        for class in self.matching_classes(classes) {
            let (levels, changed) = match table {
                Some(id) => {
                    let levels = &mut self.tables.entry(id).or_default().levels;
                    (levels, self.turn.levels.entry(id).or_default())
                }
                None => (&mut self.common_levels, &mut self.turn.common_levels),
            };
            levels.insert(class, (tries, amount as f32));
            changed.insert(class);
        }
    }

    fn request_acknowledgement(&mut self, mark: u16, everyone: bool) {
        self.turn.mark = Some(RequestedMark { number: mark, everyone });
    }

    fn wake_at(&mut self, at: Time, _ring: u64) {
        self.timers.insert(at);
    }

    fn watch_roster(&mut self, on: bool) {
        self.watch_requested = Some(on);
    }

    fn fetch_roster(&mut self) {
        self.fetch_requested = true;
    }

    /// Does nothing: nodes have no address that a conductor could probe, and the settings forbid probes.
    fn probe_node(&mut self, _node: NodeId) {}

    fn send_to_peer(&mut self, peer: Option<PeerId>, message: &[u8]) {
        if message.len() <= limits::MAX_DATAGRAM_BYTES {
            self.effects.push(Effect::SendDatagram(peer.map(|peer| peer.0 as usize), message.into()));
        }
    }

    fn log_note(&mut self, node: Option<NodeId>, text: &str) {
        self.notes.push((node, text.into()));
    }

    fn report_fault(&mut self, text: &str) {
        self.effects.push(Effect::Log(LogLevel::Error, text.into()));
    }
}

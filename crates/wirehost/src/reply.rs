//! Encodes the orders of the decision module as the records of one reply.

#[cfg(test)]
mod tests;

use anyhow::{Context, Result};
use bytes::BufMut;
use oatpitch::interface::{ClassSet, NodeId, Orders, PeerId, ProxyId, RetryPolicy, TableId, Time};

use crate::MICROSECONDS_PER_TIME_UNIT;

/// The codes of the records of a reply.
mod code {
    pub const FETCH_ROSTER: u8 = 65;
    pub const PROBE_NODE: u8 = 66;
    pub const REQUEST_ACKNOWLEDGEMENT: u8 = 67;
    pub const FAULT: u8 = 68;
    pub const SET_WITHDRAWN: u8 = 69;
    pub const WATCH_ROSTER: u8 = 70;
    pub const SEND_TO_PEER: u8 = 71;
    pub const NOTE: u8 = 72;
    pub const CLEAR_TABLE: u8 = 73;
    pub const WAKE_AT: u8 = 74;
    pub const BIND_PROXY: u8 = 75;
    pub const SET_LEVEL: u8 = 76;
    pub const SET_LINE: u8 = 77;
}

/// The table number that stands for all tables.
const ALL_TABLES: u16 = u16::MAX;

/// The peer number that stands for all peers.
const ALL_PEERS: u32 = u32::MAX;

/// The records of one reply, of all instances.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Returns the bytes of the reply: the length and the number of its records, then the records.
    pub fn frame(&self) -> Result<Vec<u8>> {
        let length = u32::try_from(self.records.len()).context("the reply is too long")?;
        let mut frame = Vec::with_capacity(self.records.len() + 8);
        frame.put_u32(length);
        frame.put_u32(self.count);
        frame.put_slice(&self.records);
        Ok(frame)
    }

    /// Returns a writer that adds the orders of one instance.
    pub fn orders_of(&mut self, conductor: u32) -> OrderWriter<'_> {
        OrderWriter { reply: self, conductor }
    }
}

/// Adds the orders of one instance to a reply.
pub struct OrderWriter<'a> {
    reply: &'a mut Reply,
    conductor: u32,
}

impl OrderWriter<'_> {
    /// Adds a record: its code, its length, the instance and the fields.
    fn record(&mut self, code: u8, fields: impl FnOnce(&mut Vec<u8>)) {
        let records = &mut self.reply.records;
        records.put_u8(code);
        let length_at = records.len();
        records.put_u32(0);
        let content_at = records.len();
        records.put_u32(self.conductor);
        fields(records);
        let length = (records.len() - content_at) as u32;
        records[length_at..content_at].copy_from_slice(&length.to_be_bytes());
        self.reply.count += 1;
    }

    /// Adds a record of one text, cut to the length that 16 bits can state.
    fn text(&mut self, code: u8, text: &[u8]) {
        let text = &text[..text.len().min(u16::MAX.into())];
        self.record(code, |fields| {
            fields.put_u16(text.len() as u16);
            fields.put_slice(text);
        });
    }
}

/// Returns the set of classes as bits: bit k for class k, and no bit for all classes. An instance with more
/// classes than bits is refused at its start.
fn class_bits(classes: &ClassSet) -> u16 {
    classes.0.iter().filter_map(|class| 1u16.checked_shl(class.0.into())).sum()
}

fn put_node(fields: &mut Vec<u8>, node: NodeId) {
    let NodeId(address, port) = node;
    fields.put_slice(&address);
    fields.put_u16(port);
}

impl Orders for OrderWriter<'_> {
    fn probe_node(&mut self, node: NodeId) {
        self.record(code::PROBE_NODE, |fields| put_node(fields, node));
    }

    fn fetch_roster(&mut self) {
        self.record(code::FETCH_ROSTER, |_| {});
    }

    fn request_acknowledgement(&mut self, mark: u16, everyone: bool) {
        self.record(code::REQUEST_ACKNOWLEDGEMENT, |fields| {
            fields.put_u8(everyone.into());
            fields.put_u64(mark.into());
        });
    }

    fn report_fault(&mut self, text: &str) {
        self.text(code::FAULT, text.as_bytes());
    }

    fn set_withdrawn(&mut self, node: NodeId, withdrawn: bool) {
        self.record(code::SET_WITHDRAWN, |fields| {
            fields.put_u8(withdrawn.into());
            put_node(fields, node);
        });
    }

    fn watch_roster(&mut self, subscribe: bool) {
        self.record(code::WATCH_ROSTER, |fields| fields.put_u8(subscribe.into()));
    }

    fn send_to_peer(&mut self, peer: Option<PeerId>, message: &[u8]) {
        self.record(code::SEND_TO_PEER, |fields| {
            fields.put_u32(peer.map_or(ALL_PEERS, |peer| peer.0));
            fields.put_u16(message.len() as u16);
            fields.put_slice(message);
        });
    }

    /// Only ends the withdrawal: the simulator stores its nodes itself.
    fn forget_node(&mut self, node: NodeId) {
        self.set_withdrawn(node, false);
    }

    fn log_note(&mut self, node: Option<NodeId>, text: &str) {
        let line = match node {
            Some(node) => format!("{node} {text}"),
            None => text.to_string(),
        };
        self.text(code::NOTE, line.as_bytes());
    }

    fn clear_table(&mut self, table: TableId) {
        self.record(code::CLEAR_TABLE, |fields| fields.put_u16(table.0));
    }

    fn wake_at(&mut self, at: Time, timer: u64) {
        self.record(code::WAKE_AT, |fields| {
            fields.put_u64(at.0.saturating_mul(MICROSECONDS_PER_TIME_UNIT));
            fields.put_u64(timer);
        });
    }

    fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, classes: ClassSet) {
        // Every proxy joined by this wire, which numbers them in 16 bits.
        let Ok(number) = u16::try_from(proxy.0) else { return };
        self.record(code::BIND_PROXY, |fields| {
            fields.put_u16(number);
            fields.put_u16(table.0);
            fields.put_u16(class_bits(&classes));
        });
    }

    fn set_level(&mut self, table: Option<TableId>, classes: ClassSet, retries: RetryPolicy, amount: f64) {
        self.record(code::SET_LEVEL, |fields| {
            fields.put_u16(class_bits(&classes));
            fields.put_u16(table.map_or(ALL_TABLES, |table| table.0));
            fields.put_u8(match retries {
                RetryPolicy::Never => 0,
                RetryPolicy::IfNeverRan => 1,
                RetryPolicy::Once => 2,
                RetryPolicy::Twice => 3,
            });
            fields.put_f32(amount as f32);
        });
    }

    fn set_line(&mut self, table: TableId, node: NodeId, weight: f64) {
        self.record(code::SET_LINE, |fields| {
            fields.put_u16(table.0);
            put_node(fields, node);
            fields.put_f32(weight as f32);
        });
    }
}

//! Decodes the records of a batch and turns each into a call on the instance that it addresses.

use std::collections::{BTreeMap, BTreeSet};

use anyhow::{Context, Result, anyhow, bail};
use oatpitch::Balance;
use oatpitch::interface::{ClassId, DemandReport, NodeStatus, RosterEntry, Time, TrySummary, ZoneId};
use oatpitch_settings::{HostSettings, LoadColumn};

use crate::MICROSECONDS_PER_TIME_UNIT;
use crate::fields::Fields;
use crate::reply::{OrderWriter, Reply};

/// The lists that can be registered at one time. They are numbered from 0.
const MAX_LISTS: u16 = 16;

/// The classes that the wire can name: it has a bit for each in 16 bits.
const MAX_CLASSES: usize = u16::BITS as usize;

/// The proxies that the wire can number in 16 bits.
const MAX_PROXIES: u32 = u16::MAX as u32 + 1;

/// The codes of the records that the simulator sends.
mod code {
    /// The result of a probe that an instance ordered.
    pub const PROBE_RESULT: u8 = 1;
    /// A changed list, a whole one or a failed request for it.
    pub const ROSTER_UPDATE: u8 = 2;
    /// A proxy left.
    pub const PROXY_LEFT: u8 = 3;
    /// A list, which updates refer to by its number. The only record without an instance.
    pub const REGISTER_LIST: u8 = 4;
    /// A message of a peer.
    pub const PEER_MESSAGE: u8 = 5;
    /// A proxy acknowledged a mark.
    pub const ACKNOWLEDGEMENT: u8 = 6;
    /// A proxy joined.
    pub const PROXY_JOINED: u8 = 7;
    /// An instance ended.
    pub const INSTANCE_ENDED: u8 = 8;
    /// The exchanges of one class that arrived at a proxy.
    pub const PROXY_DEMAND: u8 = 9;
    /// An instance starts.
    pub const INSTANCE_STARTED: u8 = 10;
    /// A slice and a flag. The module doesn't read it.
    pub const SLICE_FLAG: u8 = 11;
    /// The exchanges of one class that arrived for a slice.
    pub const SLICE_DEMAND: u8 = 12;
    /// The weight of a slice at a node. The module doesn't read it.
    pub const SLICE_WEIGHT: u8 = 13;
    /// The tries at one node, summed up for a zone.
    pub const TRY_SUMMARY: u8 = 14;
    /// A time has come that an instance asked to be woken at. Its rules run at the end of the batch, as after
    /// any other record.
    pub const TIMER: u8 = 15;
}

/// The instances of this process, and the lists that records refer to.
#[derive(Default)]
pub struct Fleet {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u16, Vec<RosterEntry>>,
    /// The instances that a record of this batch addressed.
    addressed: BTreeSet<u32>,
}

/// One instance of the decision module, and what its records are checked against.
struct Instance {
    balance: Balance,
    class_count: u16,
    zone_count: u16,
    columns: Vec<LoadColumn>,
}

impl Fleet {
    /// Applies the records of a batch, runs the rules of each instance that one of them addressed, and returns
    /// the orders of all.
    pub fn batch(&mut self, body: &[u8], count: u32, now: Time) -> Result<Reply> {
        let mut rest = Fields::new(body);
        let mut reply = Reply::default();
        self.addressed.clear();
        for number in 0..count {
            let code = rest.u8().with_context(|| format!("record {number} of {count} is missing"))?;
            let place = || format!("record {number}, code {code}");
            let length = rest.u32().with_context(place)?;
            let mut fields = Fields::new(rest.bytes(length as usize).with_context(place)?);
            self.apply(code, &mut fields, now, &mut reply).with_context(place)?;
        }
        rest.end().with_context(|| format!("after {count} records"))?;
        for number in &self.addressed {
            let Some(instance) = self.instances.get_mut(number) else { continue };
            instance.balance.run_rules(now, &mut reply.orders_of(*number));
            // A reply is in the simulator's channel at once.
            instance.balance.record_entered_lines(now, f64::INFINITY);
        }
        Ok(reply)
    }

    fn apply(&mut self, code: u8, fields: &mut Fields, now: Time, reply: &mut Reply) -> Result<()> {
        if code == code::REGISTER_LIST {
            return self.register_list(fields);
        }
        if !(code::PROBE_RESULT..=code::TIMER).contains(&code) {
            bail!("unknown code {code}");
        }
        let number = fields.u32()?;
        self.addressed.insert(number);
        if code == code::INSTANCE_STARTED {
            return self.start(number, fields, now, reply);
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            bail!("conductor {number} is not running");
        };
        match code {
            code::PROBE_RESULT => instance.skip_probe_result(fields),
            code::ROSTER_UPDATE => {
                instance.update_roster(&self.lists, fields, now, &mut reply.orders_of(number))
            }
            code::PROXY_LEFT => instance.proxy_left(fields, now),
            code::PEER_MESSAGE => skip_peer_message(fields),
            code::ACKNOWLEDGEMENT => instance.acknowledge(fields, now),
            code::PROXY_JOINED => instance.proxy_joined(fields, now),
            code::INSTANCE_ENDED => {
                fields.end()?;
                self.instances.remove(&number);
                Ok(())
            }
            code::PROXY_DEMAND => instance.record_proxy_demand(fields, now),
            code::SLICE_FLAG => skip_slice_flag(fields),
            code::SLICE_DEMAND => instance.record_slice_demand(fields, now),
            code::SLICE_WEIGHT => skip_slice_weight(fields),
            code::TRY_SUMMARY => instance.record_tries(fields, now),
            code::TIMER => skip_timer(fields),
            other => bail!("unknown code {other}"),
        }
    }

    fn register_list(&mut self, fields: &mut Fields) -> Result<()> {
        let number = below("list", fields.u16()?, MAX_LISTS)?;
        let count = fields.u32()?;
        let mut entries = Vec::new();
        for index in 0..count {
            entries.push(roster_entry(fields).with_context(|| format!("entry {index} of {count}"))?);
        }
        self.lists.insert(number, entries);
        fields.end()
    }

    fn start(&mut self, number: u32, fields: &mut Fields, now: Time, reply: &mut Reply) -> Result<()> {
        if self.instances.contains_key(&number) {
            bail!("conductor {number} is already running");
        }
        let seed = fields.u64()?;
        let length = fields.u32()?;
        let HostSettings { settings, columns, .. } =
            oatpitch_settings::from_pairs(fields.bytes(length as usize)?)?;
        fields.end()?;
        if settings.class_terms.len() > MAX_CLASSES {
            bail!("settings: classes.count: the wire names at most {MAX_CLASSES} classes");
        }
        let proxy_count = settings.proxy_count;
        if proxy_count > MAX_PROXIES {
            bail!(
                "settings: specifics.data_plane_size: {proxy_count}, the wire numbers at most {MAX_PROXIES} proxies"
            );
        }
        let class_count = settings.class_terms.len() as u16;
        let zone_count = settings.zone_count;
        let balance = Balance::start(now, settings, seed, &mut reply.orders_of(number));
        self.instances.insert(number, Instance { balance, class_count, zone_count, columns });
        Ok(())
    }
}

impl Instance {
    fn zone(&self, fields: &mut Fields) -> Result<ZoneId> {
        Ok(ZoneId(below("zone", fields.u16()?, self.zone_count)?))
    }

    fn class(&self, fields: &mut Fields) -> Result<ClassId> {
        Ok(ClassId(below("class", fields.u16()?, self.class_count)?))
    }

    /// Checks a probe's result, which the module doesn't read.
    fn skip_probe_result(&self, fields: &mut Fields) -> Result<()> {
        let _result = fields.u8()?;
        let _elapsed = fields.duration()?;
        let _node = fields.node()?;
        fields.load_report(&self.columns)?;
        fields.end()
    }

    fn update_roster(
        &mut self,
        lists: &BTreeMap<u16, Vec<RosterEntry>>,
        fields: &mut Fields,
        now: Time,
        orders: &mut OrderWriter,
    ) -> Result<()> {
        let kind = fields.u8()?;
        let number = fields.u16()?;
        let _version = fields.u64()?;
        fields.end()?;
        if kind == 3 {
            self.balance.roster_failed(now);
            return Ok(());
        }
        let entries = lists.get(&number).ok_or_else(|| anyhow!("list {number} was never registered"))?;
        if let Some(entry) = entries.iter().find(|entry| entry.zone.0 >= self.zone_count) {
            bail!("list {number} has a node in zone {}, which is out of range", entry.zone.0);
        }
        match kind {
            0 => self.balance.roster_changed(now, entries, orders),
            1 => self.balance.roster_replaced(now, entries, false, orders),
            2 => self.balance.roster_replaced(now, entries, true, orders),
            other => bail!("kind {other} of a roster update is out of range"),
        }
        Ok(())
    }

    fn proxy_left(&mut self, fields: &mut Fields, now: Time) -> Result<()> {
        let proxy = fields.proxy()?;
        fields.end()?;
        self.balance.proxy_left(now, proxy);
        Ok(())
    }

    fn acknowledge(&mut self, fields: &mut Fields, now: Time) -> Result<()> {
        let _proxy = fields.proxy()?;
        let mark = fields.u64()?;
        let elapsed = fields.duration()?;
        fields.end()?;
        let mark = u16::try_from(mark).map_err(|_| anyhow!("mark {mark} is out of range"))?;
        self.balance.mark_acknowledged(now, mark, elapsed);
        Ok(())
    }

    fn proxy_joined(&mut self, fields: &mut Fields, now: Time) -> Result<()> {
        let proxy = fields.proxy()?;
        let zone = self.zone(fields)?;
        let exchanges_per_second = fields.f32()?;
        let holds_no_table = fields.flag()?;
        fields.end()?;
        self.balance.proxy_joined(now, proxy, zone, exchanges_per_second.into(), holds_no_table);
        Ok(())
    }

    fn record_proxy_demand(&mut self, fields: &mut Fields, now: Time) -> Result<()> {
        let class = self.class(fields)?;
        let unanswered = fields.u32()?;
        let proxy = Some(fields.proxy()?);
        let exchanges = fields.u32()?;
        let period = fields.duration()?;
        fields.end()?;
        self.balance.record_demand(now, &DemandReport { proxy, class, exchanges, unanswered, period });
        Ok(())
    }

    fn record_slice_demand(&mut self, fields: &mut Fields, now: Time) -> Result<()> {
        let period = fields.duration()?;
        let class = self.class(fields)?;
        let exchanges = fields.u32()?;
        let _slice = fields.u16()?;
        let unanswered = fields.u32()?;
        fields.end()?;
        let proxy = None;
        self.balance.record_demand(now, &DemandReport { proxy, class, exchanges, unanswered, period });
        Ok(())
    }

    fn record_tries(&mut self, fields: &mut Fields, now: Time) -> Result<()> {
        let period = fields.duration()?;
        let node = fields.node()?;
        let failed = fields.u32()?;
        let zone = self.zone(fields)?;
        let mean_time = fields.duration()?;
        let tries = fields.u32()?;
        let load = fields.load_report(&self.columns)?;
        fields.end()?;
        self.balance.record_tries(now, &TrySummary { node, zone, period, tries, failed, mean_time, load });
        Ok(())
    }
}

/// Checks a message of a peer, which the module doesn't read.
fn skip_peer_message(fields: &mut Fields) -> Result<()> {
    let _peer = fields.u32()?;
    let length = fields.u16()?;
    fields.bytes(length.into())?;
    fields.end()
}

fn skip_slice_flag(fields: &mut Fields) -> Result<()> {
    let _slice = fields.u16()?;
    let _given = fields.flag()?;
    fields.end()
}

fn skip_slice_weight(fields: &mut Fields) -> Result<()> {
    let _slice = fields.u16()?;
    let _node = fields.node()?;
    let _weight = fields.f32()?;
    fields.end()
}

fn skip_timer(fields: &mut Fields) -> Result<()> {
    let _timer = fields.u64()?;
    fields.end()
}

fn roster_entry(fields: &mut Fields) -> Result<RosterEntry> {
    let node = fields.node()?;
    let zone = ZoneId(fields.u16()?);
    let machine_kind = fields.u8()?;
    let _cell = fields.u16()?;
    let status = match fields.u8()? {
        0 => NodeStatus::Ready,
        1 => NodeStatus::Gone,
        2 => NodeStatus::Draining,
        other => bail!("node status {other} is out of range"),
    };
    let weight = f64::from(fields.f32()?);
    // 0 if the node started long ago.
    let started = match fields.u64()? {
        0 => None,
        microseconds => Some(Time(microseconds / MICROSECONDS_PER_TIME_UNIT)),
    };
    Ok(RosterEntry { node, zone, machine_kind, status, weight, started })
}

/// Returns the value, or an error if it is not below the limit.
fn below(name: &str, value: u16, limit: u16) -> Result<u16> {
    if value >= limit {
        bail!("{name} {value} is out of range, must be below {limit}");
    }
    Ok(value)
}

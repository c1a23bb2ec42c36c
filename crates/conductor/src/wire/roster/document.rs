//! Decodes a discovery document entry by entry, so that only the entries take memory beside the document
//! itself.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt::{self, Formatter};

use anyhow::{Context, Result};
use oatpitch::interface::NodeStatus;
use oatpitch_state::inbound::{MembershipEntry, MembershipUpdate};
use serde::Deserialize;
use serde::de::{DeserializeSeed, Deserializer, SeqAccess, Visitor};
use serde_json::value::RawValue;

use crate::wire::{from_ms, limits};

/// The document's own fields. Its entries stay unparsed.
#[derive(Deserialize)]
struct Document<'a> {
    /// Version of the list.
    rev: u64,
    /// Whether the document holds the whole list, not only changes.
    #[serde(default)]
    all: bool,
    #[serde(borrow)]
    targets: &'a RawValue,
}

/// One entry of the list.
#[derive(Deserialize)]
struct Target<'a> {
    /// Name of the node.
    uid: String,
    /// Name of its zone.
    #[serde(borrow)]
    az: Cow<'a, str>,
    /// Kind of its machine.
    #[serde(default)]
    model: String,
    #[serde(borrow)]
    state: Cow<'a, str>,
    #[serde(default = "default_weight")]
    capacity_hint: f64,
    /// Start time in milliseconds; 0 if unknown.
    boot_ms: Option<f64>,
}

fn default_weight() -> f64 {
    1.0
}

/// Decodes a document: the whole list, or its changes. An unreadable entry is skipped and counted. Fails if
/// the document itself is unreadable.
pub fn decode(document: &[u8], zones: &[String]) -> Result<MembershipUpdate> {
    let document: Document = serde_json::from_slice(document).context("no list of nodes")?;
    let zones = zones.iter().zip(0..).map(|(name, index)| (name.as_str(), index)).collect();
    let mut targets = serde_json::Deserializer::from_str(document.targets.get());
    let decoded = EntriesVisitor { zones: &zones }.deserialize(&mut targets).context("no list of nodes")?;
    let DecodedEntries { entries, unreadable } = decoded;
    Ok(MembershipUpdate {
        version: document.rev,
        full: document.all,
        entries,
        unreadable_entries: unreadable,
    })
}

/// Decodes the list of entries.
struct EntriesVisitor<'z> {
    /// Zone numbers by name.
    zones: &'z BTreeMap<&'z str, u16>,
}

/// The readable entries, and the number of unreadable ones.
#[derive(Default)]
struct DecodedEntries {
    entries: Vec<MembershipEntry>,
    unreadable: usize,
}

impl<'de> DeserializeSeed<'de> for EntriesVisitor<'_> {
    type Value = DecodedEntries;

    fn deserialize<D: Deserializer<'de>>(self, list: D) -> Result<DecodedEntries, D::Error> {
        list.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for EntriesVisitor<'_> {
    type Value = DecodedEntries;

    fn expecting(&self, to: &mut Formatter<'_>) -> fmt::Result {
        to.write_str("a list of nodes")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<DecodedEntries, A::Error> {
        let mut decoded = DecodedEntries::default();
        while let Some(target) = list.next_element::<&RawValue>()? {
            match decode_entry(target, self.zones) {
                Some(entry) => decoded.entries.push(entry),
                None => decoded.unreadable += 1,
            }
        }
        Ok(decoded)
    }
}

/// Decodes an entry. Returns `None` if it is malformed, its node's name is empty or too long, or its zone is
/// unknown.
fn decode_entry(entry: &RawValue, zones: &BTreeMap<&str, u16>) -> Option<MembershipEntry> {
    let target: Target = serde_json::from_str(entry.get()).ok()?;
    let standing = match &*target.state {
        "active" => NodeStatus::Ready,
        "leaving" => NodeStatus::Draining,
        "left" => NodeStatus::Gone,
        _ => return None,
    };
    if target.uid.is_empty() || target.uid.len() > limits::MAX_NAME_BYTES {
        return None;
    }
    let started = target.boot_ms.filter(|at| *at > 0.0).map(from_ms);
    Some(MembershipEntry {
        zone: *zones.get(&*target.az)?,
        node: target.uid,
        machine_kind: target.model,
        status: standing,
        weight: target.capacity_hint,
        started,
    })
}

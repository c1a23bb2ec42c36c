//! Encodes the messages for proxies on streams.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use oatpitch::interface::RetryPolicy;
use oatpitch_state::counters::Counters;
use oatpitch_state::invariant;
use oatpitch_state::message::{Level, Name, Part};
use serde::Serialize;

use super::limits;

/// The line that answers a probe.
pub const ALIVE: &[u8] = b"{\"t\":\"alive\"}\n";

/// Most lines of one message, as defined by the protocol.
const MAX_LINES_PER_MESSAGE: usize = 64;
/// Bytes of names and numbers in one line: the maximum line length less room for the names of classes. 64
/// lines have room for three tables of 66,000 entries with the longest names.
const MAX_LINE_CONTENT_BYTES: usize = 896 * 1024;
/// Bytes of an endpoint beside its node's name: its weight and the punctuation.
const ENDPOINT_OVERHEAD_BYTES: usize = 32;
/// Bytes of an ejected or restored node beside its name: the punctuation.
const NAME_OVERHEAD_BYTES: usize = 3;

/// One line of a message, in the order in which its fields are written.
#[derive(Serialize)]
struct Push<'a> {
    t: &'static str,
    /// Names of the classes concerned; empty for all.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    routes: Vec<&'a str>,
    /// Whether the endpoints replace the whole table.
    #[serde(skip_serializing_if = "is_false")]
    full: bool,
    /// Nodes and their weights.
    #[serde(skip_serializing_if = "Option::is_none")]
    endpoints: Option<&'a [(Name, f32)]>,
    /// Share of the exchanges to admit.
    #[serde(skip_serializing_if = "Option::is_none")]
    admit: Option<f32>,
    /// Number of the retry policy.
    #[serde(skip_serializing_if = "Option::is_none")]
    policy: Option<u8>,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    eject: &'a [Name],
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    restore: &'a [Name],
    /// Mark that the proxy is to acknowledge.
    #[serde(skip_serializing_if = "Option::is_none")]
    nonce_out: Option<u16>,
    /// Whether more lines of the same message follow.
    #[serde(skip_serializing_if = "is_false")]
    continued: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// Returns the number that stands for a retry policy on the wire.
fn policy_number(policy: RetryPolicy) -> u8 {
    match policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNeverRan => 1,
        RetryPolicy::Once => 2,
        RetryPolicy::Twice => 3,
    }
}

/// Encodes all parts of one message. A part that is too long for one line is split into several.
pub fn encode(parts: &[Part], classes: &[String], counters: &mut Counters) -> Bytes {
    let mut bytes = Vec::new();
    let mut line_count = 0;
    for (index, part) in parts.iter().enumerate() {
        let is_last_part = index + 1 == parts.len();
        let pieces = split_part(part);
        let last = pieces.len() - 1;
        for (number, piece) in pieces.into_iter().enumerate() {
            let is_first = number == 0;
            let is_last = number == last;
            let level: Option<Level> = part.level.filter(|_| is_last);
            let class_names = part.classes.iter().filter_map(|class| classes.get(usize::from(class.0)));
            let push = Push {
                t: "push",
                routes: class_names.map(String::as_str).collect(),
                full: part.full && is_first,
                endpoints: (part.full && is_first || !piece.lines.is_empty()).then_some(piece.lines),
                admit: level.map(|(_, admitted_share)| admitted_share),
                policy: level.map(|(policy, _)| policy_number(policy)),
                eject: piece.eject,
                restore: piece.restore,
                nonce_out: part.mark.filter(|_| is_last),
                continued: !is_last_part || !is_last,
            };
            // Serializing strings and numbers into memory cannot fail.
            let encoded = serde_json::to_writer(&mut bytes, &push);
            debug_assert!(encoded.is_ok());
            bytes.push(b'\n');
            line_count += 1;
        }
    }
    invariant!(counters, line_count <= MAX_LINES_PER_MESSAGE, "a message has at most 64 parts");
    let is_short = |line: &[u8]| line.len() <= limits::MAX_LINE_BYTES;
    invariant!(counters, bytes.split(|byte| *byte == b'\n').all(is_short), "a line is within the longest");
    bytes.into()
}

/// The content of a part that fits one line of the protocol.
struct Piece<'a> {
    eject: &'a [Name],
    restore: &'a [Name],
    lines: &'a [(Name, f32)],
}

/// Splits a part into pieces that fit one line each. Returns at least one piece.
fn split_part(part: &Part) -> Vec<Piece<'_>> {
    let mut eject = &part.eject[..];
    let mut restore = &part.restore[..];
    let mut lines = &part.lines[..];
    let name_bytes = |name: &Name| encoded_length(name) + NAME_OVERHEAD_BYTES;
    let endpoint_bytes = |line: &(Name, f32)| encoded_length(&line.0) + ENDPOINT_OVERHEAD_BYTES;
    let mut pieces = Vec::new();
    loop {
        let mut free_bytes = MAX_LINE_CONTENT_BYTES;
        pieces.push(Piece {
            eject: take_fitting(&mut eject, &mut free_bytes, name_bytes),
            restore: take_fitting(&mut restore, &mut free_bytes, name_bytes),
            lines: take_fitting(&mut lines, &mut free_bytes, endpoint_bytes),
        });
        if eject.is_empty() && restore.is_empty() && lines.is_empty() {
            return pieces;
        }
    }
}

/// Removes and returns as many leading items as fit the free bytes. An empty piece takes at least one.
fn take_fitting<'a, T>(
    items: &mut &'a [T],
    free_bytes: &mut usize,
    size_of: impl Fn(&T) -> usize,
) -> &'a [T] {
    let fits = |item: &&T| {
        let size = size_of(item);
        let is_empty = *free_bytes == MAX_LINE_CONTENT_BYTES;
        let fits = is_empty || size <= *free_bytes;
        if fits {
            *free_bytes = free_bytes.saturating_sub(size);
        }
        fits
    };
    let (taken, rest) = items.split_at(items.iter().take_while(fits).count());
    *items = rest;
    taken
}

/// Returns the bytes of a name in JSON, escapes included.
fn encoded_length(name: &str) -> usize {
    let byte_length = |byte: u8| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
        0..0x20 => 6,
        _ => 1,
    };
    name.bytes().map(byte_length).sum()
}

//! Pushes as a proxy reads them from its stream: each line is decoded once into a typed value.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use serde::Deserialize;

use super::fleet::parse_node_name;
use super::ids::{ClassIndex, NodeIndex};

/// One push: a part of a message, with nodes and classes by index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part {
    /// The classes that the lines and the policy apply to; `None` for all.
    pub classes: Option<Vec<ClassIndex>>,
    /// Whether the lines replace the table instead of changing it.
    pub full: bool,
    /// Nodes with their weights.
    pub lines: Vec<(NodeIndex, f32)>,
    /// The retry policy, 0 to 3, if the push sets one.
    pub policy: Option<u8>,
    /// Nodes that must not be used until they are restored.
    pub eject: Vec<NodeIndex>,
    /// Ejected nodes that may be used again.
    pub restore: Vec<NodeIndex>,
    /// The mark that the proxy has to acknowledge (`nonce_out` on the wire).
    pub mark: Option<u64>,
    /// Whether another part of the same message follows.
    pub continued: bool,
}

impl Part {
    /// Returns the lines that the part counts in the channel, without the head of its message.
    pub fn lines_counted(&self) -> usize {
        let flags = usize::from(self.full) + usize::from(self.policy.is_some());
        let nodes = self.lines.len() + self.eject.len() + self.restore.len();
        flags + nodes + usize::from(self.mark.is_some())
    }
}

/// Why a line can't be decoded. A stream with such a line is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The line is not valid JSON for a push, or has another type than `push`.
    NotAPush,
    /// A route names no class of the settings.
    UnknownClass,
    /// A name is not that of a node in the list.
    UnknownNode,
    /// A weight is negative or not finite, the admission level is negative, or no such retry policy exists.
    OutOfRange,
}

/// A push on the wire.
#[derive(Deserialize)]
struct Push<'a> {
    t: &'a str,
    #[serde(borrow)]
    routes: Option<Vec<&'a str>>,
    #[serde(default)]
    full: bool,
    #[serde(default, borrow)]
    endpoints: Vec<(&'a str, f32)>,
    admit: Option<f32>,
    policy: Option<u8>,
    #[serde(default, borrow)]
    eject: Vec<&'a str>,
    #[serde(default, borrow)]
    restore: Vec<&'a str>,
    nonce_out: Option<u64>,
    #[serde(default)]
    continued: bool,
}

/// Decodes one line. `classes` are the class names in the order of the settings, `nodes` is the size of the list.
pub fn decode(line: &[u8], classes: &[String], nodes: u32) -> Result<Part, DecodeError> {
    const MAX_POLICY: u8 = 3;
    let push: Push = serde_json::from_slice(line).map_err(|_| DecodeError::NotAPush)?;
    if push.t != "push" {
        return Err(DecodeError::NotAPush);
    }
    let parse_node = |name: &str| {
        let node = parse_node_name(name).filter(|node| node.0 < nodes);
        node.ok_or(DecodeError::UnknownNode)
    };
    let parse_nodes =
        |names: &[&str]| names.iter().map(|name| parse_node(name)).collect::<Result<Vec<_>, _>>();
    let parse_class = |name: &&str| {
        let index = classes.iter().position(|class| class == name).ok_or(DecodeError::UnknownClass);
        index.map(|index| ClassIndex(index as u8))
    };
    let mut lines = Vec::with_capacity(push.endpoints.len());
    for (name, weight) in &push.endpoints {
        if !(*weight >= 0.0 && weight.is_finite()) {
            return Err(DecodeError::OutOfRange);
        }
        lines.push((parse_node(name)?, *weight));
    }
    let negative_admission = push.admit.is_some_and(|level| level < 0.0);
    if negative_admission || push.policy.is_some_and(|policy| policy > MAX_POLICY) {
        return Err(DecodeError::OutOfRange);
    }
    Ok(Part {
        classes: push.routes.map(|routes| routes.iter().map(parse_class).collect()).transpose()?,
        full: push.full,
        lines,
        policy: push.policy,
        eject: parse_nodes(&push.eject)?,
        restore: parse_nodes(&push.restore)?,
        mark: push.nonce_out,
        continued: push.continued,
    })
}

/// Decodes lines with a cache, as all proxies with the same table are sent the same bytes.
pub struct Decoder {
    classes: Vec<String>,
    nodes: u32,
    /// Lines that were decoded last with their parts, the latest first.
    cache: VecDeque<(Bytes, Rc<Part>)>,
}

impl Decoder {
    /// Shorter lines are not cached: decoding them is as fast as finding them.
    const MIN_CACHED_BYTES: usize = 2 << 10;
    const MAX_CACHED_LINES: usize = 64;

    /// Returns a decoder with an empty cache.
    pub fn new(classes: Vec<String>, nodes: u32) -> Decoder {
        Decoder { classes, nodes, cache: VecDeque::new() }
    }

    /// Decodes one line, or returns the cached part of an identical line.
    pub fn decode(&mut self, line: Bytes) -> Result<Rc<Part>, DecodeError> {
        if let Some((_, part)) = self.cache.iter().find(|(cached, _)| *cached == line) {
            return Ok(part.clone());
        }
        let part = Rc::new(decode(&line, &self.classes, self.nodes)?);
        if line.len() >= Decoder::MIN_CACHED_BYTES {
            self.cache.truncate(Decoder::MAX_CACHED_LINES - 1);
            self.cache.push_front((line, part.clone()));
        }
        Ok(part)
    }
}

//! Encoding of lines as bytes. JSON is the only codec; another one would be chosen by the media types that a
//! subscriber accepts.

use std::fmt::{self, Display, Formatter};
use std::ops::RangeInclusive;

use bytes::Bytes;
use oatpitch::interface::{RetryPolicy, Time};
use serde::{Deserialize, Serialize};

use super::line::*;

/// Why a line can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Not a line of this codec.
    Malformed,
    UnknownKind(String),
    /// A field is missing, malformed or out of range.
    Field(&'static str),
    /// A protocol version that this crate does not speak.
    Version(u64),
}

impl Display for DecodeError {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Malformed => to.write_str("line is not a JSON object"),
            DecodeError::UnknownKind(kind) => write!(to, "line has the unknown kind {kind:?}"),
            DecodeError::Field(name) => write!(to, "field {name} is missing, malformed or out of range"),
            DecodeError::Version(version) => {
                write!(to, "protocol version {version} is not supported; this is version {VERSION}")
            }
        }
    }
}

/// The maximum length of a line in bytes: a thousand lines of a table with the longest names.
pub const MAX_LINE_BYTES: usize = 512 << 10;

/// The maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 256;

/// What an epoch's text adds to the conductor's name at most: a hyphen and 16 hexadecimal digits.
const MAX_EPOCH_SUFFIX_BYTES: usize = 17;

/// The maximum number of parts of one update.
const MAX_PARTS: u32 = 1_024;

/// The maximum number of characters of an unknown kind that an error message repeats.
const MAX_QUOTED_KIND_CHARS: usize = 40;

/// The range of heartbeat intervals and timeouts in milliseconds: up to an hour.
const TIME_RANGE_MS: RangeInclusive<f64> = 1.0..=3.6e6;

/// Turns lines into bytes and back.
pub trait Codec {
    /// Returns the media type that HTTP names the codec by.
    fn media_type(&self) -> &'static str;
    /// Encodes one line, with its terminator.
    fn encode(&self, line: &Line) -> Bytes;
    /// Decodes one line without its terminator.
    fn decode(&self, line: &[u8]) -> Result<Line, DecodeError>;
}

/// One JSON object per line.
#[derive(Clone, Copy, Debug, Default)]
pub struct Json;

/// A class in the `terms` of a welcome.
#[derive(Serialize, Deserialize)]
struct WireClass {
    name: Name,
    effect: bool,
}

/// A level: a retry policy by its code, and the share of the class that is admitted.
#[derive(Serialize, Deserialize, Clone, Copy)]
struct WireLevel {
    tries: u8,
    amount: f32,
}

/// The fields of all kinds of lines; each kind uses some of them.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
struct WireLine {
    kind: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    v: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    epoch: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    lineage: Option<Name>,
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    beat_ms: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    silent_ms: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    terms: Option<Vec<WireClass>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    feed: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    base: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    latest: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    roster: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    live: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    part: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    of: Option<u32>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    classes: Vec<Name>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    whole: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    lines: Vec<(Name, f32)>,
    #[serde(skip_serializing_if = "Option::is_none")]
    level: Option<WireLevel>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    out: Vec<Name>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    back: Vec<Name>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mark: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    why: Option<String>,
}

/// Returns the retry policy of a code on the wire.
fn retry_policy(code: u8) -> Option<RetryPolicy> {
    Some(match code {
        0 => RetryPolicy::Never,
        1 => RetryPolicy::IfNeverRan,
        2 => RetryPolicy::Once,
        3 => RetryPolicy::Twice,
        _ => return None,
    })
}

/// Returns the code of a retry policy on the wire.
fn retry_code(policy: RetryPolicy) -> u8 {
    match policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNeverRan => 1,
        RetryPolicy::Once => 2,
        RetryPolicy::Twice => 3,
    }
}

/// Returns the written form of a session: 16 hexadecimal digits.
pub fn session_text(session: u64) -> String {
    format!("{session:016x}")
}

impl Codec for Json {
    fn media_type(&self) -> &'static str {
        "application/x-ndjson"
    }

    fn encode(&self, line: &Line) -> Bytes {
        let fields = match line {
            Line::Welcome(welcome) => WireLine::from_welcome(welcome),
            Line::Fragment(fragment) => WireLine::from_fragment(fragment),
            Line::Withdrawal(withdrawal) => WireLine::from_withdrawal(withdrawal),
            Line::Heartbeat(heartbeat) => WireLine::from_heartbeat(heartbeat),
            Line::End(reason) => WireLine::from_end_reason(*reason),
        };
        // Serialization of strings and numbers into memory can't fail.
        let mut bytes = serde_json::to_vec(&fields).unwrap_or_default();
        debug_assert!(bytes.len() <= MAX_LINE_BYTES && !bytes.is_empty());
        bytes.push(b'\n');
        bytes.into()
    }

    fn decode(&self, line: &[u8]) -> Result<Line, DecodeError> {
        #[derive(Deserialize)]
        struct Kind {
            kind: Option<String>,
        }
        if line.trim_ascii_start().first() != Some(&b'{') {
            return Err(DecodeError::Malformed);
        }
        let kind: Kind = serde_json::from_slice(line).map_err(|_| DecodeError::Malformed)?;
        let kind = kind.kind.ok_or(DecodeError::Field("kind"))?;
        if !["welcome", "snapshot", "change", "withdraw", "beat", "end"].contains(&kind.as_str()) {
            return Err(DecodeError::UnknownKind(kind.chars().take(MAX_QUOTED_KIND_CHARS).collect()));
        }
        let fields: WireLine = serde_json::from_slice(line).map_err(|cause| {
            if cause.is_data() { DecodeError::Field("of another type") } else { DecodeError::Malformed }
        })?;
        fields.into_line()
    }
}

fn require<T>(value: Option<T>, field: &'static str) -> Result<T, DecodeError> {
    value.ok_or(DecodeError::Field(field))
}

fn ensure(condition: bool, field: &'static str) -> Result<(), DecodeError> {
    if condition { Ok(()) } else { Err(DecodeError::Field(field)) }
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

/// Returns a time in milliseconds, as lines carry it.
fn to_ms(time: Time) -> f64 {
    time.0 as f64 / 10.0
}

fn time_from_ms(ms: Option<f64>, field: &'static str) -> Result<Time, DecodeError> {
    let ms = require(ms, field)?;
    ensure(TIME_RANGE_MS.contains(&ms), field)?;
    Ok(Time((ms * 10.0).round() as u64))
}

// ---- From lines ----

impl WireLine {
    fn of_kind(kind: &str) -> WireLine {
        WireLine { kind: kind.to_string(), ..WireLine::default() }
    }

    fn from_welcome(welcome: &Welcome) -> WireLine {
        let class = |terms: &ClassTerms| WireClass { name: terms.name.clone(), effect: terms.non_idempotent };
        WireLine {
            v: Some(welcome.version.into()),
            epoch: Some(welcome.epoch.to_string()),
            lineage: Some(welcome.lineage.clone()),
            session: Some(session_text(welcome.session)),
            beat_ms: Some(to_ms(welcome.heartbeat_interval)),
            silent_ms: Some(to_ms(welcome.silence_timeout)),
            terms: Some(welcome.classes.iter().map(class).collect()),
            ..WireLine::of_kind("welcome")
        }
    }

    fn from_fragment(fragment: &UpdateFragment) -> WireLine {
        let level = |(policy, amount)| WireLevel { tries: retry_code(policy), amount };
        WireLine {
            epoch: Some(fragment.point.epoch.to_string()),
            feed: Some(fragment.point.feed.0),
            base: fragment.base.map(|base| base.0),
            revision: Some(fragment.point.revision.0),
            roster: Some(fragment.roster),
            part: Some(fragment.part_number),
            of: Some(fragment.part_count),
            classes: fragment.part.classes.clone(),
            whole: fragment.part.whole,
            lines: fragment.part.lines.clone(),
            level: fragment.part.level.map(level),
            out: fragment.part.withdrawn.clone(),
            back: fragment.part.restored.clone(),
            mark: fragment.mark,
            ..WireLine::of_kind(if fragment.base.is_some() { "change" } else { "snapshot" })
        }
    }

    fn from_withdrawal(withdrawal: &Withdrawal) -> WireLine {
        WireLine {
            epoch: Some(withdrawal.epoch.to_string()),
            revision: Some(withdrawal.revision.0),
            out: withdrawal.nodes.clone(),
            ..WireLine::of_kind("withdraw")
        }
    }

    fn from_heartbeat(heartbeat: &Heartbeat) -> WireLine {
        WireLine {
            epoch: Some(heartbeat.epoch.to_string()),
            feed: heartbeat.position.map(|(feed, _)| feed.0),
            revision: heartbeat.position.map(|(_, revision)| revision.0),
            latest: heartbeat.latest.map(|latest| latest.0),
            roster: Some(heartbeat.roster),
            live: Some(heartbeat.live),
            ..WireLine::of_kind("beat")
        }
    }

    fn from_end_reason(reason: EndReason) -> WireLine {
        WireLine { why: Some(reason.to_string()), ..WireLine::of_kind("end") }
    }
}

// ---- Into lines ----

impl WireLine {
    fn into_line(self) -> Result<Line, DecodeError> {
        for (field, names) in [("classes", &self.classes), ("out", &self.out), ("back", &self.back)] {
            ensure(names.iter().all(|name| is_valid_name(name)), field)?;
        }
        match self.kind.as_str() {
            "welcome" => self.into_welcome(),
            "snapshot" => self.into_fragment(false),
            "change" => self.into_fragment(true),
            "withdraw" => self.into_withdrawal(),
            "beat" => self.into_heartbeat(),
            _ => self.into_end(),
        }
    }

    fn parse_epoch(&self) -> Result<Epoch, DecodeError> {
        let max_bytes = MAX_NAME_BYTES + MAX_EPOCH_SUFFIX_BYTES;
        let text = self.epoch.as_deref().filter(|text| text.len() <= max_bytes);
        require(text.and_then(Epoch::parse), "epoch")
    }

    fn into_welcome(self) -> Result<Line, DecodeError> {
        let version = require(self.v, "v")?;
        if version != u64::from(VERSION) {
            return Err(DecodeError::Version(version));
        }
        let session = self.session.as_deref().and_then(|text| u64::from_str_radix(text, 16).ok());
        let terms = |class: &WireClass| ClassTerms { name: class.name.clone(), non_idempotent: class.effect };
        Ok(Line::Welcome(Welcome {
            version: VERSION,
            epoch: self.parse_epoch()?,
            lineage: require(self.lineage.clone(), "lineage")?,
            session: require(session, "session")?,
            classes: require(self.terms.as_ref(), "terms")?.iter().map(terms).collect(),
            heartbeat_interval: time_from_ms(self.beat_ms, "beat_ms")?,
            silence_timeout: time_from_ms(self.silent_ms, "silent_ms")?,
        }))
    }

    fn into_fragment(self, is_change: bool) -> Result<Line, DecodeError> {
        let base = if is_change { Some(Revision(require(self.base, "base")?)) } else { None };
        let revision = Revision(require(self.revision, "revision")?);
        ensure(base.is_none_or(|base| base < revision), "base")?;
        let part_number = require(self.part, "part")?;
        let part_count = require(self.of, "of")?;
        ensure(1 <= part_number && part_number <= part_count && part_count <= MAX_PARTS, "part")?;
        let is_valid_line =
            |(name, weight): &(Name, f32)| weight.is_finite() && *weight >= 0.0 && is_valid_name(name);
        ensure(self.lines.iter().all(is_valid_line), "lines")?;
        let level = match self.level {
            Some(WireLevel { tries, amount }) => {
                ensure(amount.is_finite() && amount >= 0.0, "level")?;
                Some((require(retry_policy(tries), "level")?, amount))
            }
            None => None,
        };
        let epoch = self.parse_epoch()?;
        let feed = FeedId(require(self.feed, "feed")?);
        let WireLine { classes, whole, lines, out, back, .. } = self;
        Ok(Line::Fragment(UpdateFragment {
            point: FeedPoint { epoch, feed, revision },
            base,
            roster: require(self.roster, "roster")?,
            part_number,
            part_count,
            part: Part { classes, whole, lines, level, withdrawn: out, restored: back },
            mark: self.mark,
        }))
    }

    fn into_withdrawal(self) -> Result<Line, DecodeError> {
        Ok(Line::Withdrawal(Withdrawal {
            epoch: self.parse_epoch()?,
            revision: Revision(require(self.revision, "revision")?),
            nodes: self.out,
        }))
    }

    fn into_heartbeat(self) -> Result<Line, DecodeError> {
        let position =
            self.feed.zip(self.revision).map(|(feed, revision)| (FeedId(feed), Revision(revision)));
        Ok(Line::Heartbeat(Heartbeat {
            epoch: self.parse_epoch()?,
            position,
            latest: self.latest.map(Revision),
            roster: require(self.roster, "roster")?,
            live: require(self.live, "live")?,
        }))
    }

    fn into_end(self) -> Result<Line, DecodeError> {
        let word = require(self.why.as_deref(), "why")?;
        let known = EndReason::ALL.into_iter().find(|known| known.as_str() == word);
        // A reason of a later version counts as an ordinary end.
        Ok(Line::End(known.unwrap_or(EndReason::Ended)))
    }
}

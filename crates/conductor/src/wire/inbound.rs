//! Decodes the lines that proxies, collectors and other peers send into typed messages.

#[cfg(test)]
mod tests;

use oatpitch::interface::{ClassId, LoadReport, ProxyId, Time, ZoneId};
use oatpitch_state::inbound::{MessageError, PeerMessage};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::{from_ms, limits};

/// The known names and numbers, which give the names in messages their meaning.
#[derive(Clone, Debug)]
pub struct DecodeContext {
    /// Names of the zones, by number.
    pub zones: Vec<String>,
    /// Names of the classes, by number.
    pub classes: Vec<String>,
    /// Number of proxies; their numbers are below it.
    pub proxy_count: u32,
    /// Longest plausible mean time of successful tries.
    pub max_mean_time: Time,
}

type DecodeResult<T> = Result<T, MessageError>;

/// The known fields of a message, borrowed unparsed from the line. Other fields, of any length, take no
/// memory.
#[derive(Deserialize)]
struct Fields<'a> {
    #[serde(borrow)]
    t: Option<&'a RawValue>,
    zone: Option<&'a RawValue>,
    proxy: Option<&'a RawValue>,
    weight: Option<&'a RawValue>,
    #[serde(rename = "fresh")]
    only_standing_tables: Option<&'a RawValue>,
    mark: Option<&'a RawValue>,
    took_ms: Option<&'a RawValue>,
    class: Option<&'a RawValue>,
    server: Option<&'a RawValue>,
    tries: Option<&'a RawValue>,
    failed: Option<&'a RawValue>,
    mean_ms: Option<&'a RawValue>,
    span_ms: Option<&'a RawValue>,
    load: Option<&'a RawValue>,
}

/// The known fields of a load report, under either of their names in the protocol.
#[derive(Deserialize)]
struct LoadFields<'a> {
    #[serde(borrow, alias = "util")]
    cpu: Option<&'a RawValue>,
    #[serde(borrow, alias = "queue")]
    waiting: Option<&'a RawValue>,
}

/// A field's name, and its value if the message has it.
type Field<'a> = (&'static str, Option<&'a RawValue>);

/// Parses a field that must be present.
fn decode_field<'a, T: Deserialize<'a>>((name, value): Field<'a>) -> DecodeResult<T> {
    let decoded = value.and_then(|value| serde_json::from_str(value.get()).ok());
    decoded.ok_or(MessageError::InvalidField(name))
}

/// Returns the value of a field if it is valid.
fn require<T>(value: T, name: &'static str, is_valid: impl Fn(&T) -> bool) -> DecodeResult<T> {
    if is_valid(&value) { Ok(value) } else { Err(MessageError::InvalidField(name)) }
}

fn non_negative(field: Field) -> DecodeResult<f64> {
    require(decode_field(field)?, field.0, |number: &f64| number.is_finite() && *number >= 0.0)
}

fn short_text(field: Field) -> DecodeResult<String> {
    require(decode_field(field)?, field.0, |text: &String| text.len() <= limits::MAX_NAME_BYTES)
}

/// Returns the index of the name that the field contains.
fn index_of(field: Field, names: &[String]) -> DecodeResult<u16> {
    let wanted = short_text(field)?;
    let index = names.iter().position(|name| *name == wanted);
    index.map(|index| index as u16).ok_or(MessageError::InvalidField(field.0))
}

/// Parses a value of a load report, if it is stated.
fn load_value(value: Option<&RawValue>) -> DecodeResult<Option<f64>> {
    value.map(|value| non_negative(("load", Some(value)))).transpose()
}

/// Whether a field is missing or null.
fn is_absent(value: Option<&RawValue>) -> bool {
    value.is_none_or(|value| value.get() == "null")
}

impl Fields<'_> {
    fn zone(&self, context: &DecodeContext) -> DecodeResult<ZoneId> {
        Ok(ZoneId(index_of(("zone", self.zone), &context.zones)?))
    }

    fn class(&self, context: &DecodeContext) -> DecodeResult<ClassId> {
        Ok(ClassId(index_of(("class", self.class), &context.classes)?))
    }

    fn proxy(&self, context: &DecodeContext) -> DecodeResult<ProxyId> {
        let is_known = |number: &u32| *number < context.proxy_count;
        Ok(ProxyId(require(decode_field(("proxy", self.proxy))?, "proxy", is_known)?))
    }

    /// Returns `None` if there is no load report, or it does not state the share of CPU in use.
    fn load(&self) -> DecodeResult<Option<LoadReport>> {
        if is_absent(self.load) {
            return Ok(None);
        }
        let report: LoadFields = decode_field(("load", self.load))?;
        let cpu_share = load_value(report.cpu)?;
        let queued = load_value(report.waiting)?.unwrap_or_default();
        Ok(cpu_share.map(|cpu_share| LoadReport { cpu_share, queued }))
    }

    fn period(&self) -> DecodeResult<Time> {
        let period = from_ms(non_negative(("span_ms", self.span_ms))?);
        let is_valid = |period: &Time| Time::default() < *period && *period <= limits::MAX_REPORT_PERIOD;
        require(period, "span_ms", is_valid)
    }

    /// Returns a count that is plausible for the period: an implausible one would outweigh all others.
    fn count(&self, (name, value): Field, period: Time) -> DecodeResult<u32> {
        let max_count = limits::MAX_EXCHANGES_PER_SECOND * period.seconds().max(1.0);
        require(decode_field((name, value))?, name, |count: &u32| f64::from(*count) <= max_count)
    }

    fn exchanges_per_second(&self) -> DecodeResult<f64> {
        let is_valid = |rate: &f64| *rate <= limits::MAX_EXCHANGES_PER_SECOND;
        require(non_negative(("weight", self.weight))?, "weight", is_valid)
    }

    fn proxy_joined(&self, context: &DecodeContext) -> DecodeResult<PeerMessage> {
        Ok(PeerMessage::ProxyJoined {
            proxy: self.proxy(context)?,
            zone: self.zone(context)?,
            exchanges_per_second: self.exchanges_per_second()?,
            only_standing_tables: decode_field(("fresh", self.only_standing_tables))?,
            clears_ejections: false,
            tags: Default::default(),
        })
    }

    fn acknowledged(&self, context: &DecodeContext) -> DecodeResult<PeerMessage> {
        Ok(PeerMessage::Acknowledged {
            proxy: self.proxy(context)?,
            mark: decode_field(("mark", self.mark))?,
            elapsed: from_ms(non_negative(("took_ms", self.took_ms))?),
        })
    }

    fn try_summary(&self, context: &DecodeContext) -> DecodeResult<PeerMessage> {
        let period = self.period()?;
        let tries = self.count(("tries", self.tries), period)?;
        let failed =
            require(decode_field(("failed", self.failed))?, "failed", |failed: &u32| *failed <= tries)?;
        // Without a successful try there is no mean time.
        let mean_time = if failed == tries && is_absent(self.mean_ms) {
            Time::default()
        } else {
            from_ms(non_negative(("mean_ms", self.mean_ms))?)
        };
        let mean_time = require(mean_time, "mean_ms", |mean_time| *mean_time <= context.max_mean_time)?;
        Ok(PeerMessage::TrySummary {
            zone: self.zone(context)?,
            node: short_text(("server", self.server))?,
            tries,
            failed,
            mean_time,
            period,
            load: self.load()?,
        })
    }

    /// Decodes a demand report. More exchanges may have gone unanswered than came within the period, as those
    /// came earlier.
    fn demand_report(&self, context: &DecodeContext) -> DecodeResult<PeerMessage> {
        let period = self.period()?;
        let exchanges = self.count(("tries", self.tries), period)?;
        let unanswered = self.count(("failed", self.failed), period)?;
        Ok(PeerMessage::DemandReport {
            proxy: self.proxy(context)?,
            class: self.class(context)?,
            exchanges,
            unanswered,
            period,
        })
    }
}

/// Decodes one line of a peer.
pub fn decode(line: &[u8], context: &DecodeContext) -> Result<PeerMessage, MessageError> {
    // serde would read an array as the fields in their order.
    if !may_start_object(line) {
        return Err(MessageError::NotAnObject);
    }
    let fields: Fields = serde_json::from_slice(line).map_err(|error| match error.is_data() {
        // A field occurs twice.
        true => MessageError::UnknownKind,
        false => MessageError::NotAnObject,
    })?;
    let kind = short_text(("t", fields.t)).map_err(|_| MessageError::UnknownKind)?;
    match kind.as_str() {
        "probe" => Ok(PeerMessage::Probe),
        "agent" => Ok(PeerMessage::CollectorJoined { zone: fields.zone(context)? }),
        "hello" => fields.proxy_joined(context),
        "ack" => fields.acknowledged(context),
        "outcomes" => fields.try_summary(context),
        "demand" => fields.demand_report(context),
        _ => Err(MessageError::UnknownKind),
    }
}

/// Whether a line, or the part of it received so far, can be the start of a JSON object.
pub fn may_start_object(line: &[u8]) -> bool {
    line.trim_ascii_start().first().is_none_or(|byte| *byte == b'{')
}

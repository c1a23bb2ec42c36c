//! Values before they are resolved: scalars, constraints, alternatives and records, each with its place in the
//! sources.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// A range of bytes in one of the sources.
///
/// The order of fields matters: problems are reported in the order of their spans.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// Index of the source among all that were read.
    pub source: usize,
    /// Offset of the first byte.
    pub start: usize,
    /// Offset after the last byte.
    pub end: usize,
}

/// Something wrong in a source.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    pub span: Span,
    /// Full path of the key, for example `channel.beat`. Empty if no key is concerned.
    pub key: String,
    /// What is wrong, in words.
    pub message: String,
    /// What would be accepted, in words.
    pub expected: Option<String>,
}

/// A value without parts.
#[derive(Clone, Debug, PartialEq)]
pub enum Scalar {
    Bool(bool),
    Integer(i64),
    Number(f64),
    Text(String),
    /// In tenths of a millisecond.
    Time(u64),
    /// In bytes.
    Size(u64),
}

/// Tenths of a millisecond, the unit of [`Scalar::Time`], in a millisecond.
pub const TENTHS_PER_MS: u64 = 10;
/// Tenths of a millisecond in a second.
pub const TENTHS_PER_SECOND: u64 = 10_000;
/// Tenths of a millisecond in a minute.
pub const TENTHS_PER_MINUTE: u64 = 600_000;
/// Tenths of a millisecond in an hour.
pub const TENTHS_PER_HOUR: u64 = 36_000_000;

/// Bytes in a kibibyte.
pub const KIB: u64 = 1 << 10;
/// Bytes in a mebibyte.
pub const MIB: u64 = 1 << 20;
/// Bytes in a gibibyte.
pub const GIB: u64 = 1 << 30;

/// The type of a scalar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    /// Any value, lists and records included.
    Any,
    Bool,
    Integer,
    /// Any number, integers included.
    Number,
    Text,
    /// A text that is a socket address with a port.
    Address,
    Time,
    Size,
}

/// How a bound restricts a scalar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    AtLeast,
    AtMost,
    GreaterThan,
    LessThan,
    NotEqual,
    /// The scalar is a text that matches a regular expression.
    Matches,
}

/// A limit on a scalar.
pub type Bound = (Comparison, Scalar);

/// A value, possibly not resolved to a single one yet.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Scalar(Scalar),
    /// Any scalar of a type within all the bounds.
    Constraint(Type, Vec<Bound>),
    List(Vec<Located>),
    /// A list of any length, each item of which fits the given value.
    ListOf(Box<Located>),
    Record(Record),
    /// One of several values.
    Alternatives(Vec<Alternative>),
}

/// A value, and where it was last stated.
#[derive(Clone, Debug, PartialEq)]
pub struct Located {
    pub value: Value,
    pub span: Span,
}

/// One of several values that a key may have.
#[derive(Clone, Debug, PartialEq)]
pub struct Alternative {
    /// Whether this value holds unless another is set.
    pub is_default: bool,
    pub located: Located,
}

/// Keys and their values.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    pub fields: BTreeMap<String, Field>,
    /// Whether no fields may be added.
    pub closed: bool,
}

/// The value of one key of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Whether the field is only described, and not set in any source.
    pub optional: bool,
    pub located: Located,
    /// Place of the key.
    pub span: Span,
}

impl Type {
    /// Returns the type with a given name in a source.
    pub fn from_name(name: &str) -> Option<Type> {
        Some(match name {
            "_" => Type::Any,
            "bool" => Type::Bool,
            "int" => Type::Integer,
            "number" => Type::Number,
            "string" => Type::Text,
            "address" => Type::Address,
            "time" => Type::Time,
            "size" => Type::Size,
            _ => return None,
        })
    }

    /// Returns the type of the scalars that belong to both types, if there are any.
    pub fn intersection(self, other: Type) -> Option<Type> {
        Some(match (self, other) {
            (one, two) if one == two => one,
            (Type::Any, other) | (other, Type::Any) => other,
            (Type::Integer, Type::Number) | (Type::Number, Type::Integer) => Type::Integer,
            (Type::Text, Type::Address) | (Type::Address, Type::Text) => Type::Address,
            _ => return None,
        })
    }
}

impl Display for Type {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Type::Any => "anything",
            Type::Bool => "true or false",
            Type::Integer => "a whole number",
            Type::Number => "a number",
            Type::Text => "a text in quotes",
            Type::Address => "an address with a port, for example \"127.0.0.1:7100\"",
            Type::Time => "a time with its unit, for example 200ms or 1.5s",
            Type::Size => "a size with its unit, for example 64KiB",
        })
    }
}

impl Scalar {
    /// Returns the most general type of the scalar, [`Type::Any`] aside.
    pub fn scalar_type(&self) -> Type {
        match self {
            Scalar::Bool(_) => Type::Bool,
            Scalar::Integer(_) => Type::Integer,
            Scalar::Number(_) => Type::Number,
            Scalar::Text(_) => Type::Text,
            Scalar::Time(_) => Type::Time,
            Scalar::Size(_) => Type::Size,
        }
    }

    /// Whether the scalar belongs to a type.
    pub fn has_type(&self, expected: Type) -> bool {
        match (self, expected) {
            (Scalar::Text(text), Type::Address) => text.parse::<std::net::SocketAddr>().is_ok(),
            (scalar, expected) => {
                let own = scalar.scalar_type();
                own.intersection(expected) == Some(own)
            }
        }
    }

    /// Compares two scalars. Returns `None` if their types have no common order.
    pub fn compare(&self, other: &Scalar) -> Option<Ordering> {
        match (self, other) {
            (Scalar::Time(one), Scalar::Time(two)) | (Scalar::Size(one), Scalar::Size(two)) => {
                Some(one.cmp(two))
            }
            (Scalar::Text(one), Scalar::Text(two)) => Some(one.cmp(two)),
            (Scalar::Bool(one), Scalar::Bool(two)) => Some(one.cmp(two)),
            (one, two) => one.as_number()?.partial_cmp(&two.as_number()?),
        }
    }

    fn as_number(&self) -> Option<f64> {
        match self {
            Scalar::Integer(integer) => Some(*integer as f64),
            Scalar::Number(number) => Some(*number),
            _ => None,
        }
    }
}

impl Display for Scalar {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        const TIME_UNITS: [(u64, &str); 3] =
            [(TENTHS_PER_HOUR, "h"), (TENTHS_PER_MINUTE, "m"), (TENTHS_PER_SECOND, "s")];
        const SIZE_UNITS: [(u64, &str); 3] = [(GIB, "GiB"), (MIB, "MiB"), (KIB, "KiB")];
        match self {
            Scalar::Bool(value) => write!(formatter, "{value}"),
            Scalar::Integer(integer) => write!(formatter, "{integer}"),
            Scalar::Number(number) => write!(formatter, "{number}"),
            Scalar::Text(text) => write!(formatter, "{text:?}"),
            Scalar::Time(tenths) => write_quantity(formatter, *tenths, &TIME_UNITS, (TENTHS_PER_MS, "ms")),
            Scalar::Size(bytes) => write_quantity(formatter, *bytes, &SIZE_UNITS, (1, "B")),
        }
    }
}

/// Writes a quantity in the largest of `units` that leaves no fraction, or else in `smallest_unit`.
///
/// Each unit is a count and a name, and `units` are in descending order.
fn write_quantity(
    formatter: &mut Formatter<'_>,
    count: u64,
    units: &[(u64, &str)],
    smallest_unit: (u64, &str),
) -> fmt::Result {
    match units.iter().find(|(unit, _)| count > 0 && count.is_multiple_of(*unit)) {
        Some((unit, name)) => write!(formatter, "{}{name}", count / unit),
        None => {
            let (unit, name) = smallest_unit;
            write!(formatter, "{}{name}", count as f64 / unit as f64)
        }
    }
}

impl Comparison {
    /// Returns the comparison with a given sign in a source.
    pub fn from_sign(sign: &str) -> Option<Comparison> {
        Some(match sign {
            ">=" => Comparison::AtLeast,
            "<=" => Comparison::AtMost,
            ">" => Comparison::GreaterThan,
            "<" => Comparison::LessThan,
            "!=" => Comparison::NotEqual,
            "=~" => Comparison::Matches,
            _ => return None,
        })
    }

    /// Whether a scalar is within a bound. Returns `None` if the two can't be compared.
    pub fn holds(self, scalar: &Scalar, bound: &Scalar) -> Option<bool> {
        if self == Comparison::Matches {
            let (Scalar::Text(text), Scalar::Text(pattern)) = (scalar, bound) else { return None };
            return regex_lite::Regex::new(pattern).ok().map(|pattern| pattern.is_match(text));
        }
        let ordering = scalar.compare(bound)?;
        Some(match self {
            Comparison::AtLeast => ordering.is_ge(),
            Comparison::AtMost => ordering.is_le(),
            Comparison::GreaterThan => ordering.is_gt(),
            Comparison::LessThan => ordering.is_lt(),
            Comparison::NotEqual | Comparison::Matches => ordering.is_ne(),
        })
    }
}

impl Display for Comparison {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Comparison::AtLeast => "at least",
            Comparison::AtMost => "at most",
            Comparison::GreaterThan => "over",
            Comparison::LessThan => "under",
            Comparison::NotEqual => "not",
            Comparison::Matches => "like",
        })
    }
}

/// Writes what would be accepted, in words.
impl Display for Value {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Value::Scalar(scalar) => write!(formatter, "{scalar}"),
            Value::Constraint(scalar_type, bounds) => {
                write!(formatter, "{scalar_type}")?;
                for (index, (comparison, bound)) in bounds.iter().enumerate() {
                    let separator = if index == 0 { "," } else { " and" };
                    write!(formatter, "{separator} {comparison} {bound}")?;
                }
                Ok(())
            }
            Value::List(_) | Value::ListOf(_) => formatter.write_str("a list"),
            Value::Record(record) => {
                let names: Vec<&str> = record.fields.keys().map(String::as_str).collect();
                let names = if names.is_empty() { "nothing".to_string() } else { names.join(", ") };
                write!(formatter, "a record of {names}")
            }
            Value::Alternatives(alternatives) => {
                for (index, alternative) in alternatives.iter().enumerate() {
                    let separator = if index > 0 { ", or " } else { "" };
                    let suffix = if alternative.is_default { " (the default)" } else { "" };
                    write!(formatter, "{separator}{}{suffix}", alternative.located.value)?;
                }
                Ok(())
            }
        }
    }
}

//! What a text says before it is settled: scalars, bounds, alternatives, records; and where each stands.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// Where something stands: the text by its place among those read, and bytes from and to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub text: usize,
    pub from: usize,
    pub to: usize,
}

/// What is wrong, where, and under which key.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    pub at: Place,
    /// The full path of the key, as `channel.beat`; empty where no key is meant.
    pub key: String,
    pub what: String,
    pub expected: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Scalar {
    Truth(bool),
    Whole(i64),
    Figure(f64),
    Text(String),
    /// Tenths of a millisecond.
    Time(u64),
    /// Bytes.
    Size(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Any,
    Truth,
    Whole,
    Figure,
    Text,
    /// An address with a port.
    Address,
    Time,
    Size,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operator {
    AtLeast,
    AtMost,
    Over,
    Under,
    Not,
    Like,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Scalar(Scalar),
    /// Not settled yet: any of a kind within bounds.
    Within(Kind, Vec<(Operator, Scalar)>),
    List(Vec<Held>),
    /// A list whose items are all alike.
    Each(Box<Held>),
    Record(Record),
    /// Alternatives, and whether each is preferred where nothing else is said.
    Either(Vec<(bool, Held)>),
}

/// A value, and where it was last stated.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    pub value: Value,
    pub at: Place,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    pub fields: BTreeMap<String, Field>,
    /// Takes no fields but those it names.
    pub closed: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Only described, never set.
    pub optional: bool,
    pub held: Held,
    pub at: Place,
}

impl Kind {
    pub fn named(word: &str) -> Option<Kind> {
        Some(match word {
            "_" => Kind::Any,
            "bool" => Kind::Truth,
            "int" => Kind::Whole,
            "number" => Kind::Figure,
            "string" => Kind::Text,
            "address" => Kind::Address,
            "time" => Kind::Time,
            "size" => Kind::Size,
            _ => return None,
        })
    }

    /// The kind that both allow.
    pub fn meet(self, other: Kind) -> Option<Kind> {
        Some(match (self, other) {
            (one, two) if one == two => one,
            (Kind::Any, other) | (other, Kind::Any) => other,
            (Kind::Whole, Kind::Figure) | (Kind::Figure, Kind::Whole) => Kind::Whole,
            (Kind::Text, Kind::Address) | (Kind::Address, Kind::Text) => Kind::Address,
            _ => return None,
        })
    }
}

impl Display for Kind {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            Kind::Any => "anything",
            Kind::Truth => "true or false",
            Kind::Whole => "a whole number",
            Kind::Figure => "a number",
            Kind::Text => "a text in quotes",
            Kind::Address => "an address with a port, as \"127.0.0.1:7100\"",
            Kind::Time => "a time with its unit, as 200ms or 1.5s",
            Kind::Size => "a size with its unit, as 64KiB",
        })
    }
}

impl Scalar {
    pub fn kind(&self) -> Kind {
        match self {
            Scalar::Truth(_) => Kind::Truth,
            Scalar::Whole(_) => Kind::Whole,
            Scalar::Figure(_) => Kind::Figure,
            Scalar::Text(_) => Kind::Text,
            Scalar::Time(_) => Kind::Time,
            Scalar::Size(_) => Kind::Size,
        }
    }

    pub fn fits(&self, kind: Kind) -> bool {
        match (self, kind) {
            (Scalar::Text(text), Kind::Address) => text.parse::<std::net::SocketAddr>().is_ok(),
            (own, kind) => own.kind().meet(kind) == Some(own.kind()),
        }
    }

    /// The order of two of a kind.
    pub fn compare(&self, other: &Scalar) -> Option<std::cmp::Ordering> {
        match (self, other) {
            (Scalar::Time(one), Scalar::Time(two)) | (Scalar::Size(one), Scalar::Size(two)) => {
                Some(one.cmp(two))
            }
            (Scalar::Text(one), Scalar::Text(two)) => Some(one.cmp(two)),
            (Scalar::Truth(one), Scalar::Truth(two)) => Some(one.cmp(two)),
            (one, two) => one.figure()?.partial_cmp(&two.figure()?),
        }
    }

    fn figure(&self) -> Option<f64> {
        match self {
            Scalar::Whole(whole) => Some(*whole as f64),
            Scalar::Figure(figure) => Some(*figure),
            _ => None,
        }
    }
}

impl Display for Scalar {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        /// The largest unit that leaves no fraction, or the smallest.
        fn unit(
            to: &mut Formatter<'_>,
            count: u64,
            units: &[(u64, &str)],
            least: (u64, &str),
        ) -> fmt::Result {
            match units.iter().find(|(size, _)| count > 0 && count.is_multiple_of(*size)) {
                Some((size, name)) => write!(to, "{}{name}", count / size),
                None => write!(to, "{}{}", count as f64 / least.0 as f64, least.1),
            }
        }
        match self {
            Scalar::Truth(truth) => write!(to, "{truth}"),
            Scalar::Whole(whole) => write!(to, "{whole}"),
            Scalar::Figure(figure) => write!(to, "{figure}"),
            Scalar::Text(text) => write!(to, "{text:?}"),
            Scalar::Time(tenths) => {
                unit(to, *tenths, &[(36_000_000, "h"), (600_000, "m"), (10_000, "s")], (10, "ms"))
            }
            Scalar::Size(bytes) => {
                unit(to, *bytes, &[(1 << 30, "GiB"), (1 << 20, "MiB"), (1 << 10, "KiB")], (1, "B"))
            }
        }
    }
}

impl Operator {
    pub fn named(sign: &str) -> Option<Operator> {
        Some(match sign {
            ">=" => Operator::AtLeast,
            "<=" => Operator::AtMost,
            ">" => Operator::Over,
            "<" => Operator::Under,
            "!=" => Operator::Not,
            "=~" => Operator::Like,
            _ => return None,
        })
    }

    /// Whether a scalar is within a bound; nothing where the two can't be compared.
    pub fn holds(self, scalar: &Scalar, bound: &Scalar) -> Option<bool> {
        if self == Operator::Like {
            let (Scalar::Text(text), Scalar::Text(pattern)) = (scalar, bound) else { return None };
            return regex_lite::Regex::new(pattern).ok().map(|pattern| pattern.is_match(text));
        }
        let order = scalar.compare(bound)?;
        Some(match self {
            Operator::AtLeast => order.is_ge(),
            Operator::AtMost => order.is_le(),
            Operator::Over => order.is_gt(),
            Operator::Under => order.is_lt(),
            _ => order.is_ne(),
        })
    }
}

impl Display for Operator {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            Operator::AtLeast => "at least",
            Operator::AtMost => "at most",
            Operator::Over => "over",
            Operator::Under => "under",
            Operator::Not => "not",
            Operator::Like => "like",
        })
    }
}

/// What would be accepted, in words.
impl Display for Value {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Value::Scalar(scalar) => write!(to, "{scalar}"),
            Value::Within(kind, bounds) => {
                write!(to, "{kind}")?;
                for (k, (operator, bound)) in bounds.iter().enumerate() {
                    write!(to, "{} {operator} {bound}", if k == 0 { "," } else { " and" })?;
                }
                Ok(())
            }
            Value::List(_) | Value::Each(_) => to.write_str("a list"),
            Value::Record(record) => {
                let names: Vec<&str> = record.fields.keys().map(String::as_str).collect();
                write!(
                    to,
                    "a record of {}",
                    if names.is_empty() { "nothing".into() } else { names.join(", ") }
                )
            }
            Value::Either(all) => {
                for (k, (preferred, held)) in all.iter().enumerate() {
                    let usual = if *preferred { " (the default)" } else { "" };
                    write!(to, "{}{}{usual}", if k > 0 { ", or " } else { "" }, held.value)?;
                }
                Ok(())
            }
        }
    }
}

//! The points at which hooks are called, their answers, and the rules by which answers are cut.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// A function that a hook may define.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Point {
    /// Returns the shares of their weights at which nodes are to stand.
    Shape,
    /// Returns shares for nodes that are still warming up.
    Admit,
    /// Returns the part of the table that a joining proxy is bound to.
    Place,
    /// Returns the share of a class's demand to admit.
    Level,
    /// Returns the most further tries of a class.
    Tries,
    /// Is notified of an event; its answer changes nothing.
    Notice,
}

/// Every point with the name of its function in scripts.
pub const POINT_NAMES: [(Point, &str); 6] = [
    (Point::Shape, "shape"),
    (Point::Admit, "admit"),
    (Point::Place, "place"),
    (Point::Level, "level"),
    (Point::Tries, "tries"),
    (Point::Notice, "notice"),
];

impl Point {
    /// Returns the point whose function has this name.
    pub fn from_name(name: &str) -> Option<Point> {
        POINT_NAMES.iter().find(|(_, known)| *known == name).map(|(point, _)| *point)
    }
}

impl Display for Point {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let name = POINT_NAMES.iter().find(|(known, _)| known == self).map_or("", |(_, name)| name);
        formatter.write_str(name)
    }
}

/// A hook's answer, not yet checked.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The hook returned nothing, which leaves the matter as it is.
    NoOpinion,
    /// Shares by node name.
    Shares(BTreeMap<String, f64>),
    /// One number: a share, a retry policy or a part, by the point.
    Number(f64),
}

/// A hook, by its position in the order in which hooks are called.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HookId(pub u16);

/// The rule by which an answer, or a part of it, was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A proxy must not be left without a line.
    LineRequired,
    /// A hook orders no more tries than the module allows, above all no repeat of an exchange with an effect.
    RetryLimit,
    /// A node that is draining or gone gets no share.
    Draining,
    /// A node that warms up gets no more than its age allows.
    ColdNode,
    /// A round changes a bounded number of lines, and no share that was changed a moment ago.
    ChangeRate,
    /// The answer is outside the operators' bounds.
    OutOfBounds,
    /// The answer names a node or part that does not exist, or one that the point does not apply to.
    UnknownName,
    /// The answer is not a finite, non-negative number, or not of the form that its point requires.
    InvalidNumber,
}

impl Display for Rule {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Rule::LineRequired => "no dispatcher without a line",
            Rule::RetryLimit => "no further tries than the module's",
            Rule::Draining => "a draining node gets no share",
            Rule::ColdNode => "a cold node gets no more than its ramp",
            Rule::ChangeRate => "too many or too frequent changes of lines",
            Rule::OutOfBounds => "out of bounds",
            Rule::UnknownName => "unknown",
            Rule::InvalidNumber => "not a valid number",
        })
    }
}

/// How often each hook broke each rule at each point.
pub type ViolationCounts = BTreeMap<(HookId, Point, Rule), u64>;

//! From a text to its entries. A line that can't be read is told and costs only itself.

use pest::Parser;
use pest::iterators::Pair;
use pest_derive::Parser;

use super::value::*;

/// How deep values may lie in each other, so that no text can exhaust the stack.
const DEPTH_MOST: usize = 64;

#[derive(Parser)]
#[grammar = "core/records.pest"]
struct Records;

/// One field of a record, or a definition, as it stands in a text.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub optional: bool,
    pub node: Node,
    pub at: Place,
}

#[derive(Clone, Debug)]
pub struct Node {
    pub expr: Expr,
    pub at: Place,
}

#[derive(Clone, Debug)]
pub enum Expr {
    Scalar(Scalar),
    Kind(Kind),
    Bound(Operator, Scalar),
    Definition(String),
    List(Vec<Node>),
    Each(Box<Node>),
    Record(Vec<Entry>, bool),
    All(Vec<Node>),
    Either(Vec<(bool, Node)>),
}

/// The entries of a text, and what in it can't be read.
pub fn parse(text: usize, source: &str) -> (Vec<Entry>, Vec<Problem>) {
    let mut reading = Reading { text, source, problems: Vec::new(), seen: 0 };
    if let Some(at) = too_deep(source) {
        let at = Place { text, from: at, to: at + 1 };
        let what = format!("more than {DEPTH_MOST} brackets in each other");
        return (Vec::new(), vec![Problem { at, key: String::new(), what, expected: None }]);
    }
    let mut entries = Vec::new();
    match Records::parse(Rule::file, source) {
        Ok(pairs) => {
            for pair in pairs.flat_map(Pair::into_inner) {
                entries.extend(reading.entry(pair));
            }
        }
        Err(trouble) => reading.refuse(&trouble, 0),
    }
    (entries, reading.problems)
}

fn too_deep(source: &str) -> Option<usize> {
    let (mut depth, mut quoted, mut skip) = (0usize, false, false);
    for (at, letter) in source.char_indices() {
        match letter {
            _ if std::mem::take(&mut skip) => {}
            '\\' if quoted => skip = true,
            '"' => quoted = !quoted,
            '\n' => quoted = false,
            '{' | '[' | '(' if !quoted => depth += 1,
            '}' | ']' | ')' if !quoted => depth = depth.saturating_sub(1),
            ':' | '&' | '|' if !quoted => {}
            _ => {}
        }
        if depth > DEPTH_MOST {
            return Some(at);
        }
    }
    None
}

struct Reading<'a> {
    text: usize,
    source: &'a str,
    problems: Vec<Problem>,
    /// What was told reaches up to here: lines before it are broken by the same cause.
    seen: usize,
}

impl Reading<'_> {
    fn place(&self, pair: &Pair<Rule>) -> Place {
        let span = pair.as_span();
        let length = span.as_str().trim_end().len().max(1);
        Place { text: self.text, from: span.start(), to: span.start() + length }
    }

    fn problem(&mut self, at: Place, what: impl Into<String>, expected: Option<&str>) {
        let expected = expected.map(String::from);
        self.problems.push(Problem { at, key: String::new(), what: what.into(), expected });
    }

    /// What the grammar says of a text that starts at an offset.
    fn refuse(&mut self, trouble: &pest::error::Error<Rule>, offset: usize) {
        let at = match trouble.location {
            pest::error::InputLocation::Pos(at) => offset + at,
            pest::error::InputLocation::Span((at, _)) => offset + at,
        };
        let mut wanted: Vec<&str> = match &trouble.variant {
            pest::error::ErrorVariant::ParsingError { positives, .. } => {
                positives.iter().filter_map(|rule| words(*rule)).collect()
            }
            pest::error::ErrorVariant::CustomError { .. } => Vec::new(),
        };
        wanted.sort_unstable();
        wanted.dedup();
        let found = self.source[at..].chars().next();
        let what = match found {
            Some('\n') => "the line ends too early".to_string(),
            Some(letter) => format!("can't be read from {letter:?} on"),
            None => "the text ends too early".to_string(),
        };
        let place = Place { text: self.text, from: at, to: at + found.map_or(0, char::len_utf8) };
        let expected = (!wanted.is_empty()).then(|| wanted.join(", or "));
        self.problem(place, what, expected.as_deref());
        self.seen = self.seen.max(at);
    }

    fn entry(&mut self, pair: Pair<Rule>) -> Option<Entry> {
        let at = self.place(&pair);
        match pair.as_rule() {
            Rule::field => return self.field(pair),
            Rule::bad if at.from >= self.seen => {
                let trouble = Records::parse(Rule::field, &self.source[at.from..]);
                match trouble {
                    Err(trouble) => self.refuse(&trouble, at.from),
                    // The field itself is sound: what follows it on its line is not.
                    Ok(fields) => {
                        let end = fields.last().map_or(0, |field| field.as_span().as_str().trim_end().len());
                        let at = Place { from: at.from + end, ..at };
                        self.problem(at, "more on the line than one field", Some("a new line or a comma"));
                    }
                }
            }
            Rule::stray if self.problems.is_empty() => {
                self.problem(at, "a bracket that closes nothing", None);
            }
            _ => {}
        }
        None
    }

    fn field(&mut self, pair: Pair<Rule>) -> Option<Entry> {
        let mut inner = pair.into_inner();
        let key = inner.next()?;
        let (at, key) = (self.place(&key), key.into_inner().next()?);
        let name = match key.as_rule() {
            Rule::string => self.text(&key),
            _ => key.as_str().to_string(),
        };
        let mut next = inner.next()?;
        let mut optional = false;
        if next.as_rule() == Rule::mark {
            optional = next.as_str() == "?";
            next = inner.next()?;
        }
        let node = match next.as_rule() {
            Rule::nested => {
                let at = self.place(&next);
                let entry = self.field(next.into_inner().next()?)?;
                Node { expr: Expr::Record(vec![entry], false), at }
            }
            _ => self.expr(next)?,
        };
        Some(Entry { name, optional, node, at })
    }

    fn expr(&mut self, pair: Pair<Rule>) -> Option<Node> {
        let at = self.place(&pair);
        let mut all = Vec::new();
        for conj in pair.into_inner() {
            let (at, mut preferred, mut terms) = (self.place(&conj), false, Vec::new());
            for term in conj.into_inner() {
                match term.as_rule() {
                    Rule::preferred => preferred = true,
                    _ => terms.push(self.term(term)?),
                }
            }
            let node = if terms.len() == 1 { terms.pop()? } else { Node { expr: Expr::All(terms), at } };
            all.push((preferred, node));
        }
        if all.len() == 1 {
            all.pop().map(|(_, node)| node)
        } else {
            Some(Node { expr: Expr::Either(all), at })
        }
    }

    fn term(&mut self, pair: Pair<Rule>) -> Option<Node> {
        let at = self.place(&pair);
        let expr = match pair.as_rule() {
            Rule::expr => return self.expr(pair),
            Rule::bound => {
                let mut inner = pair.into_inner();
                let operator = Operator::named(inner.next()?.as_str())?;
                let bound = self.scalar(inner.next()?)?;
                if let (Operator::Like, Scalar::Text(pattern)) = (operator, &bound)
                    && regex_lite::Regex::new(pattern).is_err()
                {
                    self.problem(at, "no pattern that can be read", None);
                    return None;
                }
                Expr::Bound(operator, bound)
            }
            Rule::list => {
                let mut items = Vec::new();
                for item in pair.into_inner() {
                    if item.as_rule() == Rule::each {
                        let each = self.expr(item.into_inner().next()?)?;
                        return Some(Node { expr: Expr::Each(Box::new(each)), at });
                    }
                    items.push(self.expr(item)?);
                }
                Expr::List(items)
            }
            Rule::record => {
                let (mut entries, mut open) = (Vec::new(), false);
                for entry in pair.into_inner() {
                    open |= entry.as_rule() == Rule::open;
                    entries.extend(self.entry(entry));
                }
                Expr::Record(entries, open)
            }
            Rule::definition => Expr::Definition(pair.as_str().to_string()),
            Rule::word => match Kind::named(pair.as_str()) {
                Some(kind) => Expr::Kind(kind),
                None => {
                    let what = format!("{:?} is no type", pair.as_str());
                    let all = "bool, int, number, string, time, size, address, or a text in quotes";
                    self.problem(at, what, Some(all));
                    return None;
                }
            },
            _ => Expr::Scalar(self.scalar(pair)?),
        };
        Some(Node { expr, at })
    }

    fn scalar(&mut self, pair: Pair<Rule>) -> Option<Scalar> {
        let at = self.place(&pair);
        let written = pair.as_str().replace('_', "");
        match pair.as_rule() {
            Rule::truth => Some(Scalar::Truth(written == "true")),
            Rule::string => Some(Scalar::Text(self.text(&pair))),
            Rule::quantity => {
                let unit = pair.into_inner().find(|part| part.as_rule() == Rule::unit)?;
                let unit = unit.as_str();
                let figure: f64 = written[..written.len() - unit.len()].parse().ok()?;
                let size = |shift: u32| Scalar::Size((figure * f64::from(1u32 << shift)).round() as u64);
                let time = |tenths: f64| Scalar::Time((figure * tenths).round() as u64);
                if figure < 0.0 {
                    self.problem(at, "a time or size below 0", None);
                    return None;
                }
                Some(match unit {
                    "ms" => time(10.0),
                    "s" => time(1e4),
                    "m" => time(6e5),
                    "h" => time(3.6e7),
                    "KiB" => size(10),
                    "MiB" => size(20),
                    "GiB" => size(30),
                    _ => size(0),
                })
            }
            _ => match (written.parse(), written.parse()) {
                (Ok(whole), _) => Some(Scalar::Whole(whole)),
                (_, Ok(figure)) => Some(Scalar::Figure(figure)),
                _ => None,
            },
        }
    }

    fn text(&mut self, pair: &Pair<Rule>) -> String {
        let written = pair.as_str();
        // The escapes are JSON's.
        match serde_json::from_str(written) {
            Ok(text) => text,
            Err(_) => {
                let at = self.place(pair);
                self.problem(at, "an escape that can't be read", Some("\\n, \\t, \\\", \\\\ or \\uXXXX"));
                String::new()
            }
        }
    }
}

fn words(rule: Rule) -> Option<&'static str> {
    Some(match rule {
        Rule::expr | Rule::conj | Rule::nested | Rule::each | Rule::bound | Rule::operator => "a value",
        Rule::quantity
        | Rule::number
        | Rule::figure
        | Rule::truth
        | Rule::string
        | Rule::list
        | Rule::record => "a value",
        Rule::definition | Rule::word | Rule::preferred => "a value",
        Rule::unit => "a unit",
        Rule::key | Rule::field | Rule::inner | Rule::entry => "a key",
        Rule::mark => "a colon",
        Rule::sep => "a new line or a comma",
        Rule::text => "a text",
        Rule::EOI => "the end of the text",
        _ => return None,
    })
}

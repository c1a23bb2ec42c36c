//! Parses a source into its entries. A line that can't be read is reported, and the other lines still count.

use pest::Parser;
use pest::error::{ErrorVariant, InputLocation};
use pest::iterators::Pair;
use pest_derive::Parser;

use super::value::*;

/// Deepest nesting of brackets accepted, so that no source can exhaust the stack.
const MAX_DEPTH: usize = 64;

/// Names of the types, as listed in messages.
const TYPE_NAMES: &str = "bool, int, number, string, time, size, address, or a text in quotes";

#[derive(Parser)]
#[grammar = "core/records.pest"]
struct RecordParser;

/// A field of a record, or a definition.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    /// Whether the key is followed by `?`.
    pub optional: bool,
    pub node: Node,
    /// Place of the key.
    pub span: Span,
}

/// An expression and its place.
#[derive(Clone, Debug)]
pub struct Node {
    pub expression: Expression,
    pub span: Span,
}

/// An expression that describes a value.
#[derive(Clone, Debug)]
pub enum Expression {
    Scalar(Scalar),
    Type(Type),
    Bound(Bound),
    /// The name of a definition, with its `#`.
    Definition(String),
    List(Vec<Node>),
    /// `[...item]`: a list whose items all fit the same expression.
    ListOf(Box<Node>),
    Record(Vec<Entry>),
    /// `a & b`: all of these hold.
    AllOf(Vec<Node>),
    /// `a | *b`: one of these holds.
    AnyOf(Vec<Choice>),
}

/// One of the expressions between `|`.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Whether it is marked as the default with `*`.
    pub is_default: bool,
    pub node: Node,
}

/// Returns the entries of a source, and problems with what can't be read in it.
pub fn parse(source: usize, text: &str) -> (Vec<Entry>, Vec<Problem>) {
    if let Some(start) = first_bracket_too_deep(text) {
        let span = Span { source, start, end: start + 1 };
        let message = format!("more than {MAX_DEPTH} nested brackets");
        return (Vec::new(), vec![Problem { span, key: String::new(), message, expected: None }]);
    }
    let mut parser = SourceParser { source, text, problems: Vec::new(), reported_up_to: 0 };
    let mut entries = Vec::new();
    match RecordParser::parse(Rule::file, text) {
        Ok(pairs) => {
            for pair in pairs.flat_map(Pair::into_inner) {
                entries.extend(parser.entry(pair));
            }
        }
        Err(error) => parser.report_syntax_error(&error, 0),
    }
    (entries, parser.problems)
}

/// Parses a time or size as [`Scalar`]'s `Display` writes it.
pub fn parse_quantity(text: &str) -> Option<Scalar> {
    let (entries, problems) = parse(0, &format!("quantity: {text}"));
    match &entries.first()?.node.expression {
        Expression::Scalar(scalar) if problems.is_empty() => Some(scalar.clone()),
        _ => None,
    }
}

/// Returns the offset of the first opening bracket that is nested too deep. Brackets in strings don't count.
fn first_bracket_too_deep(text: &str) -> Option<usize> {
    let mut depth = 0usize;
    let mut in_string = false;
    let mut escaped = false;
    for (offset, character) in text.char_indices() {
        match character {
            _ if std::mem::take(&mut escaped) => {}
            '\\' if in_string => escaped = true,
            '"' => in_string = !in_string,
            '\n' => in_string = false,
            '{' | '[' | '(' if !in_string => depth += 1,
            '}' | ']' | ')' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Some(offset);
        }
    }
    None
}

/// Turns the grammar's pairs of one source into entries, and collects problems.
struct SourceParser<'a> {
    /// Index of the source.
    source: usize,
    text: &'a str,
    problems: Vec<Problem>,
    /// Offset of the last syntax error reported. Unreadable lines before it have the same cause.
    reported_up_to: usize,
}

impl SourceParser<'_> {
    /// Returns the place of a pair, without white space at its end.
    fn span(&self, pair: &Pair<Rule>) -> Span {
        let matched = pair.as_span();
        let length = matched.as_str().trim_end().len().max(1);
        Span { source: self.source, start: matched.start(), end: matched.start() + length }
    }

    fn report(&mut self, span: Span, message: impl Into<String>, expected: Option<&str>) {
        let expected = expected.map(String::from);
        self.problems.push(Problem { span, key: String::new(), message: message.into(), expected });
    }

    /// Reports a syntax error in the text from byte `offset` on.
    fn report_syntax_error(&mut self, error: &pest::error::Error<Rule>, offset: usize) {
        let start = match error.location {
            InputLocation::Pos(position) => offset + position,
            InputLocation::Span((position, _)) => offset + position,
        };
        let mut expected: Vec<&str> = match &error.variant {
            ErrorVariant::ParsingError { positives, .. } => {
                positives.iter().filter_map(|rule| rule_in_words(*rule)).collect()
            }
            ErrorVariant::CustomError { .. } => Vec::new(),
        };
        expected.sort_unstable();
        expected.dedup();
        let found = self.text[start..].chars().next();
        let message = match found {
            Some('\n') => "unexpected end of the line".to_string(),
            Some(character) => format!("unexpected {character:?}"),
            None => "unexpected end of the file".to_string(),
        };
        let end = start + found.map_or(0, char::len_utf8);
        let span = Span { source: self.source, start, end };
        let expected = (!expected.is_empty()).then(|| expected.join(", or "));
        self.report(span, message, expected.as_deref());
        self.reported_up_to = self.reported_up_to.max(start);
    }

    /// Returns the entry of a field. Reports an unreadable line or a stray brace, unless an earlier problem explains
    /// it.
    fn entry(&mut self, pair: Pair<Rule>) -> Option<Entry> {
        let span = self.span(&pair);
        match pair.as_rule() {
            Rule::field => return self.field(pair),
            Rule::unreadable if span.start >= self.reported_up_to => self.report_unreadable_line(span),
            Rule::stray_brace if self.problems.is_empty() => {
                self.report(span, "unmatched closing brace", None);
            }
            _ => {}
        }
        None
    }

    /// Reports why a line is no field.
    fn report_unreadable_line(&mut self, span: Span) {
        match RecordParser::parse(Rule::field, &self.text[span.start..]) {
            Err(error) => self.report_syntax_error(&error, span.start),
            // The line starts with a valid field, so the error is in what follows the field.
            Ok(fields) => {
                let field_length = fields.last().map_or(0, |field| field.as_span().as_str().trim_end().len());
                let span = Span { start: span.start + field_length, ..span };
                self.report(span, "unexpected text after the field", Some("a new line or a comma"));
            }
        }
    }

    fn field(&mut self, pair: Pair<Rule>) -> Option<Entry> {
        let mut inner = pair.into_inner();
        let key = inner.next()?;
        let span = self.span(&key);
        let key = key.into_inner().next()?;
        let name = match key.as_rule() {
            Rule::string => self.string(&key),
            _ => key.as_str().to_string(),
        };
        let mut value = inner.next()?;
        let mut optional = false;
        if value.as_rule() == Rule::field_mark {
            optional = value.as_str() == "?";
            value = inner.next()?;
        }
        let node = match value.as_rule() {
            Rule::nested_field => {
                let span = self.span(&value);
                let entry = self.field(value.into_inner().next()?)?;
                Node { expression: Expression::Record(vec![entry]), span }
            }
            _ => self.expression(value)?,
        };
        Some(Entry { name, optional, node, span })
    }

    /// Parses expressions separated by `|`. A single one is returned by itself.
    fn expression(&mut self, pair: Pair<Rule>) -> Option<Node> {
        let span = self.span(&pair);
        let mut choices = Vec::new();
        for conjunction in pair.into_inner() {
            choices.push(self.conjunction(conjunction)?);
        }
        if choices.len() == 1 {
            choices.pop().map(|choice| choice.node)
        } else {
            Some(Node { expression: Expression::AnyOf(choices), span })
        }
    }

    /// Parses terms separated by `&`. A single one is returned by itself.
    fn conjunction(&mut self, pair: Pair<Rule>) -> Option<Choice> {
        let span = self.span(&pair);
        let mut is_default = false;
        let mut terms = Vec::new();
        for term in pair.into_inner() {
            match term.as_rule() {
                Rule::default_mark => is_default = true,
                _ => terms.push(self.term(term)?),
            }
        }
        let node =
            if terms.len() == 1 { terms.pop()? } else { Node { expression: Expression::AllOf(terms), span } };
        Some(Choice { is_default, node })
    }

    fn term(&mut self, pair: Pair<Rule>) -> Option<Node> {
        let span = self.span(&pair);
        let expression = match pair.as_rule() {
            Rule::expression => return self.expression(pair),
            Rule::bound => self.bound(pair)?,
            Rule::list => self.list(pair)?,
            Rule::record => self.record(pair),
            Rule::definition => Expression::Definition(pair.as_str().to_string()),
            Rule::word => self.type_name(&pair)?,
            _ => Expression::Scalar(self.scalar(pair)?),
        };
        Some(Node { expression, span })
    }

    fn bound(&mut self, pair: Pair<Rule>) -> Option<Expression> {
        let span = self.span(&pair);
        let mut inner = pair.into_inner();
        let comparison = Comparison::from_sign(inner.next()?.as_str())?;
        let limit = self.scalar(inner.next()?)?;
        if let (Comparison::Matches, Scalar::Text(pattern)) = (comparison, &limit)
            && regex_lite::Regex::new(pattern).is_err()
        {
            self.report(span, "invalid regular expression", None);
            return None;
        }
        Some(Expression::Bound((comparison, limit)))
    }

    fn list(&mut self, pair: Pair<Rule>) -> Option<Expression> {
        let mut items = Vec::new();
        for item in pair.into_inner() {
            if item.as_rule() == Rule::list_of {
                let item = self.expression(item.into_inner().next()?)?;
                return Some(Expression::ListOf(Box::new(item)));
            }
            items.push(self.expression(item)?);
        }
        Some(Expression::List(items))
    }

    /// Returns a record of the entries that could be read. A `...` has no effect, as only schemas close records.
    fn record(&mut self, pair: Pair<Rule>) -> Expression {
        let mut entries = Vec::new();
        for entry in pair.into_inner() {
            entries.extend(self.entry(entry));
        }
        Expression::Record(entries)
    }

    fn type_name(&mut self, pair: &Pair<Rule>) -> Option<Expression> {
        let name = pair.as_str();
        match Type::from_name(name) {
            Some(scalar_type) => Some(Expression::Type(scalar_type)),
            None => {
                let span = self.span(pair);
                self.report(span, format!("{name:?} is not a type"), Some(TYPE_NAMES));
                None
            }
        }
    }

    fn scalar(&mut self, pair: Pair<Rule>) -> Option<Scalar> {
        match pair.as_rule() {
            Rule::boolean => Some(Scalar::Bool(pair.as_str() == "true")),
            Rule::string => Some(Scalar::Text(self.string(&pair))),
            Rule::quantity => self.quantity(pair),
            _ => number(&without_separators(pair.as_str())),
        }
    }

    fn quantity(&mut self, pair: Pair<Rule>) -> Option<Scalar> {
        let span = self.span(&pair);
        let written = without_separators(pair.as_str());
        let unit = pair.into_inner().find(|part| part.as_rule() == Rule::unit)?;
        let unit = unit.as_str();
        let count: f64 = written[..written.len() - unit.len()].parse().ok()?;
        if count < 0.0 {
            self.report(span, "a negative time or size", None);
            return None;
        }
        let time = |tenths: u64| Scalar::Time((count * tenths as f64).round() as u64);
        let size = |bytes: u64| Scalar::Size((count * bytes as f64).round() as u64);
        Some(match unit {
            "ms" => time(TENTHS_PER_MS),
            "s" => time(TENTHS_PER_SECOND),
            "m" => time(TENTHS_PER_MINUTE),
            "h" => time(TENTHS_PER_HOUR),
            "KiB" => size(KIB),
            "MiB" => size(MIB),
            "GiB" => size(GIB),
            _ => size(1),
        })
    }

    /// Decodes a string. Its escapes are those of JSON.
    fn string(&mut self, pair: &Pair<Rule>) -> String {
        match serde_json::from_str(pair.as_str()) {
            Ok(text) => text,
            Err(_) => {
                let span = self.span(pair);
                self.report(span, "invalid escape sequence", Some("\\n, \\t, \\\", \\\\ or \\uXXXX"));
                String::new()
            }
        }
    }
}

/// Removes the underscores that group digits.
fn without_separators(written: &str) -> String {
    written.replace('_', "")
}

fn number(written: &str) -> Option<Scalar> {
    if let Ok(integer) = written.parse() {
        return Some(Scalar::Integer(integer));
    }
    written.parse().ok().map(Scalar::Number)
}

/// Returns a grammar rule in words, for messages that list what was expected.
fn rule_in_words(rule: Rule) -> Option<&'static str> {
    Some(match rule {
        Rule::expression
        | Rule::conjunction
        | Rule::nested_field
        | Rule::list_of
        | Rule::bound
        | Rule::comparison
        | Rule::quantity
        | Rule::number
        | Rule::decimal
        | Rule::boolean
        | Rule::string
        | Rule::list
        | Rule::record
        | Rule::definition
        | Rule::word
        | Rule::default_mark => "a value",
        Rule::unit => "a unit",
        Rule::key | Rule::field | Rule::record_entry | Rule::entry => "a key",
        Rule::field_mark => "a colon",
        Rule::separator => "a new line or a comma",
        Rule::string_content => "a text",
        Rule::EOI => "the end of the file",
        _ => return None,
    })
}

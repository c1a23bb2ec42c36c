//! Unifies all statements about a key to one value. Statements that conflict become a problem that names both.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use super::parse::{Entry, Expression, Node};
use super::value::*;

/// Passed as the span of the reference when a definition is evaluated without being referred to.
const NO_REFERENCE: Span = Span { source: 0, start: 0, end: 0 };

/// Evaluates expressions and unifies values. Collects the problems found meanwhile.
pub struct Evaluator<'a> {
    /// The entries of each definition, by its name.
    definitions: BTreeMap<String, Vec<&'a Entry>>,
    /// Definitions evaluated so far, each only once. `None` stands for one that has no valid value.
    evaluated: BTreeMap<String, Option<Located>>,
    /// Definitions that are being evaluated, to find those that refer to themselves.
    in_progress: BTreeSet<String>,
    /// Number of built-in sources. They come before those of operators.
    builtin_sources: usize,
    pub problems: Vec<Problem>,
}

/// Returns the full path of a key, for example `channel.beat`.
pub fn key_path(parent: &str, key: &str) -> String {
    if parent.is_empty() { key.to_string() } else { format!("{parent}.{key}") }
}

impl<'a> Evaluator<'a> {
    /// Collects the definitions of all sources. The first `builtin_sources` sources are built in, and their
    /// definitions can't be changed by others.
    pub fn new(entries: impl IntoIterator<Item = &'a Entry>, builtin_sources: usize) -> Evaluator<'a> {
        let mut evaluator = Evaluator {
            definitions: BTreeMap::new(),
            evaluated: BTreeMap::new(),
            in_progress: BTreeSet::new(),
            builtin_sources,
            problems: Vec::new(),
        };
        for entry in entries.into_iter().filter(|entry| is_definition(entry)) {
            let known = evaluator.definitions.entry(entry.name.clone()).or_default();
            let is_builtin = entry.span.source < builtin_sources;
            if !is_builtin && known.iter().any(|known| known.span.source < builtin_sources) {
                evaluator.problems.push(Problem {
                    span: entry.span,
                    key: entry.name.clone(),
                    message: "a built-in definition can't be changed".to_string(),
                    expected: Some("another name".to_string()),
                });
                continue;
            }
            known.push(entry);
        }
        evaluator
    }

    /// Evaluates every definition, so that problems in unused ones are reported as well.
    pub fn evaluate_definitions(&mut self) {
        let names: Vec<String> = self.definitions.keys().cloned().collect();
        for name in names {
            self.definition(&name, NO_REFERENCE, &name);
        }
    }

    fn report(&mut self, span: Span, key: &str, message: impl Into<String>, expected: Option<String>) {
        self.problems.push(Problem { span, key: key.to_string(), message: message.into(), expected });
    }

    /// Returns the value of a definition. `span` and `key` say where it is referred to.
    fn definition(&mut self, name: &str, span: Span, key: &str) -> Option<Located> {
        if let Some(evaluated) = self.evaluated.get(name) {
            return evaluated.clone();
        }
        let Some(entries) = self.definitions.get(name).cloned() else {
            let similar = most_similar(name, self.definitions.keys().map(String::as_str));
            let expected = similar.map(|similar| format!("{similar}, perhaps"));
            self.report(span, key, format!("{name} is not defined"), expected);
            return None;
        };
        if !self.in_progress.insert(name.to_string()) {
            self.report(span, key, format!("{name} refers to itself"), None);
            return None;
        }
        let mut unified: Option<Located> = None;
        let mut is_builtin = false;
        for entry in entries {
            is_builtin |= entry.span.source < self.builtin_sources;
            let next = self.evaluate(&entry.node, name);
            unified = match (unified, next) {
                (Some(unified), Some(next)) => self.unify(&unified, &next, name),
                (unified, next) => unified.or(next),
            };
        }
        self.in_progress.remove(name);
        // The definitions of operators stay open: they are presets, to which fields are added where they are used.
        if is_builtin && let Some(Located { value: Value::Record(record), .. }) = &mut unified {
            close_record(record);
        }
        self.evaluated.insert(name.to_string(), unified.clone());
        unified
    }

    /// Returns the record that entries describe, without the definitions among them.
    pub fn record<'b>(&mut self, entries: impl IntoIterator<Item = &'b Entry>, key: &str) -> Record {
        let mut record = Record::default();
        for entry in entries.into_iter().filter(|entry| !is_definition(entry)) {
            let key = key_path(key, &entry.name);
            let Some(located) = self.evaluate(&entry.node, &key) else { continue };
            let field = Field { optional: entry.optional, located, span: entry.span };
            let unified = match record.fields.get(&entry.name) {
                Some(earlier) => self.unify_fields(earlier, &field, &key),
                None => Some(field),
            };
            if let Some(field) = unified {
                record.fields.insert(entry.name.clone(), field);
            }
        }
        record
    }

    fn evaluate(&mut self, node: &Node, key: &str) -> Option<Located> {
        let value = match &node.expression {
            Expression::Scalar(scalar) => Value::Scalar(scalar.clone()),
            Expression::Type(scalar_type) => Value::Constraint(*scalar_type, Vec::new()),
            Expression::Bound((comparison, limit)) => {
                // A bound by an integer holds for all numbers.
                let scalar_type =
                    if matches!(limit, Scalar::Integer(_)) { Type::Number } else { limit.scalar_type() };
                Value::Constraint(scalar_type, vec![(*comparison, limit.clone())])
            }
            Expression::Definition(name) => self.definition(name, node.span, key)?.value,
            Expression::List(items) => {
                let items: Option<Vec<Located>> = items
                    .iter()
                    .enumerate()
                    .map(|(index, item)| self.evaluate(item, &format!("{key}[{index}]")))
                    .collect();
                Value::List(items?)
            }
            Expression::ListOf(item) => Value::ListOf(Box::new(self.evaluate(item, &format!("{key}[]"))?)),
            Expression::Record(entries) => Value::Record(self.record(entries, key)),
            Expression::AllOf(nodes) => self.evaluate_all(nodes, key)?.value,
            Expression::AnyOf(choices) => {
                let alternatives: Option<Vec<Alternative>> = choices
                    .iter()
                    .map(|choice| {
                        let located = self.evaluate(&choice.node, key)?;
                        Some(Alternative { is_default: choice.is_default, located })
                    })
                    .collect();
                Value::Alternatives(alternatives?)
            }
        };
        Some(Located { value, span: node.span })
    }

    /// Evaluates and unifies nodes one after another.
    fn evaluate_all(&mut self, nodes: &[Node], key: &str) -> Option<Located> {
        let mut unified: Option<Located> = None;
        for node in nodes {
            let next = self.evaluate(node, key)?;
            unified = Some(match unified {
                Some(unified) => self.unify(&unified, &next, key)?,
                None => next,
            });
        }
        unified
    }

    fn unify_fields(&mut self, one: &Field, two: &Field, key: &str) -> Option<Field> {
        let optional = one.optional && two.optional;
        let located = self.unify(&one.located, &two.located, key)?;
        Some(Field { optional, located, span: two.span })
    }

    /// Returns the value that both allow, or reports a problem. The result has the span of the later source, or that
    /// of `two` if both come from the same source.
    pub fn unify(&mut self, one: &Located, two: &Located, key: &str) -> Option<Located> {
        let span = if two.span.source >= one.span.source { two.span } else { one.span };
        let value = match (&one.value, &two.value) {
            // Defaults of the later source override those of the earlier one, so the later source must come second.
            (Value::Alternatives(_), Value::Alternatives(_)) if one.span.source > two.span.source => {
                return self.unify(two, one, key);
            }
            (Value::Alternatives(_), Value::Alternatives(later)) => {
                let alternatives = self.unify_alternatives(one, later, key);
                if alternatives.is_empty() {
                    let message = format!("{} matches none of the alternatives", two.value);
                    self.report(span, key, message, Some(one.value.to_string()));
                    return None;
                }
                Value::Alternatives(alternatives)
            }
            (Value::Alternatives(alternatives), _) => self.select(alternatives, two, span, key)?,
            (_, Value::Alternatives(alternatives)) => self.select(alternatives, one, span, key)?,
            (Value::Scalar(first), Value::Scalar(second)) => {
                if first != second && first.compare(second) != Some(Ordering::Equal) {
                    let earlier = if span == two.span { first } else { second };
                    self.report(span, key, "conflicts with another value", Some(earlier.to_string()));
                    return None;
                }
                one.value.clone()
            }
            (Value::Scalar(scalar), Value::Constraint(scalar_type, bounds))
            | (Value::Constraint(scalar_type, bounds), Value::Scalar(scalar)) => {
                self.constrain(scalar, *scalar_type, bounds, span, key)?
            }
            (Value::Constraint(first, bounds), Value::Constraint(second, more)) => {
                let Some(scalar_type) = first.intersection(*second) else {
                    self.report(span, key, format!("can't be both {first} and {second}"), None);
                    return None;
                };
                Value::Constraint(scalar_type, bounds.iter().chain(more).cloned().collect())
            }
            (Value::Constraint(Type::Any, bounds), other) | (other, Value::Constraint(Type::Any, bounds))
                if bounds.is_empty() =>
            {
                other.clone()
            }
            (Value::List(first), Value::List(second)) if first.len() == second.len() => {
                Value::List(self.unify_items(first.iter().zip(second), key)?)
            }
            (Value::List(items), Value::ListOf(item)) | (Value::ListOf(item), Value::List(items)) => {
                Value::List(self.unify_items(items.iter().map(|stated| (&**item, stated)), key)?)
            }
            (Value::ListOf(first), Value::ListOf(second)) => {
                Value::ListOf(Box::new(self.unify(first, second, &format!("{key}[]"))?))
            }
            (Value::Record(first), Value::Record(second)) => {
                Value::Record(self.unify_records(first, second, key))
            }
            (first, second) => {
                let (earlier, later) = if span == two.span { (first, second) } else { (second, first) };
                self.report(span, key, format!("{later} has the wrong type"), Some(earlier.to_string()));
                return None;
            }
        };
        Some(Located { value, span })
    }

    /// Returns a scalar if it satisfies a constraint.
    fn constrain(
        &mut self,
        scalar: &Scalar,
        scalar_type: Type,
        bounds: &[Bound],
        span: Span,
        key: &str,
    ) -> Option<Value> {
        let has_type = scalar.has_type(scalar_type);
        let within = |(comparison, limit): &Bound| comparison.holds(scalar, limit) == Some(true);
        if has_type && bounds.iter().all(within) {
            return Some(Value::Scalar(scalar.clone()));
        }
        let message = if has_type {
            format!("{scalar} is out of bounds")
        } else {
            format!("{scalar} has the wrong type")
        };
        let expected = Value::Constraint(scalar_type, bounds.to_vec());
        self.report(span, key, message, Some(expected.to_string()));
        None
    }

    /// Unifies the items of two lists pair by pair. All pairs are unified, so that the problems of each are
    /// reported.
    fn unify_items<'b>(
        &mut self,
        pairs: impl Iterator<Item = (&'b Located, &'b Located)>,
        key: &str,
    ) -> Option<Vec<Located>> {
        let items: Vec<Option<Located>> = pairs
            .enumerate()
            .map(|(index, (one, two))| self.unify(one, two, &format!("{key}[{index}]")))
            .collect();
        items.into_iter().collect()
    }

    /// Returns the alternatives of `later` as far as they fit those of `earlier`.
    ///
    /// If both have a default, that of `later` holds: a default set by operators overrides the built-in one.
    fn unify_alternatives(
        &mut self,
        earlier: &Located,
        later: &[Alternative],
        key: &str,
    ) -> Vec<Alternative> {
        let later_has_default = later.iter().any(|alternative| alternative.is_default);
        let problem_count = self.problems.len();
        let mut unified = Vec::new();
        for alternative in later {
            match self.unify(earlier, &alternative.located, key) {
                Some(Located { value: Value::Alternatives(inner), .. }) => {
                    for inner in inner {
                        let is_default =
                            if later_has_default { alternative.is_default } else { inner.is_default };
                        unified.push(Alternative { is_default, located: inner.located });
                    }
                }
                Some(located) => unified.push(Alternative { is_default: alternative.is_default, located }),
                None => {}
            }
            self.problems.truncate(problem_count);
        }
        unified
    }

    /// Unifies two records. A field in conflict is reported and keeps the value of the first record, so that all
    /// other fields are still checked.
    fn unify_records(&mut self, one: &Record, two: &Record, key: &str) -> Record {
        let mut unified = Record { fields: one.fields.clone(), closed: one.closed || two.closed };
        for (checked, reference) in [(two, one), (one, two)] {
            for name in self.report_unknown_keys(checked, reference, key) {
                unified.fields.remove(name);
            }
        }
        for (name, field) in &two.fields {
            match one.fields.get(name) {
                Some(earlier) => {
                    if let Some(field) = self.unify_fields(earlier, field, &key_path(key, name)) {
                        unified.fields.insert(name.clone(), field);
                    }
                }
                None if !one.closed => _ = unified.fields.insert(name.clone(), field.clone()),
                None => {}
            }
        }
        unified
    }

    /// Reports and returns the keys of `checked` that `reference` doesn't have, if `reference` is closed.
    fn report_unknown_keys<'b>(
        &mut self,
        checked: &'b Record,
        reference: &Record,
        key: &str,
    ) -> Vec<&'b str> {
        if !reference.closed {
            return Vec::new();
        }
        let mut unknown = Vec::new();
        for (name, field) in checked.fields.iter().filter(|(name, _)| !reference.fields.contains_key(*name)) {
            let names: Vec<&str> = reference.fields.keys().map(String::as_str).collect();
            let expected = match most_similar(name, names.iter().copied()) {
                Some(similar) => format!("{similar}, perhaps"),
                None => format!("one of {}", names.join(", ")),
            };
            self.report(field.span, &key_path(key, name), "an unknown key", Some(expected));
            unknown.push(name.as_str());
        }
        unknown
    }

    /// Unifies alternatives with a value, and drops those that don't fit. If none is left, reports the problems of
    /// the last alternative of the same form, or else that none of the alternatives matches.
    fn select(
        &mut self,
        alternatives: &[Alternative],
        other: &Located,
        span: Span,
        key: &str,
    ) -> Option<Value> {
        let problem_count = self.problems.len();
        let mut fitting: Vec<Alternative> = Vec::new();
        // Problems of the last alternative of the same form as `other`: they describe the error best.
        let mut closest_problems = Vec::new();
        for alternative in alternatives {
            let unified = self.unify(&alternative.located, other, key);
            let problems = self.problems.split_off(problem_count);
            match unified {
                Some(located) if problems.is_empty() => {
                    fitting.push(Alternative { is_default: alternative.is_default, located });
                }
                _ if have_same_form(&alternative.located.value, &other.value) => closest_problems = problems,
                _ => {}
            }
        }
        if fitting.is_empty() {
            if closest_problems.is_empty() {
                let expected = Value::Alternatives(alternatives.to_vec());
                let message = format!("{} matches none of the alternatives", other.value);
                self.report(span, key, message, Some(expected.to_string()));
            } else {
                self.problems.extend(closest_problems);
            }
            return None;
        }
        let mut distinct = without_duplicates(fitting);
        if distinct.len() == 1 || matches!(other.value, Value::Scalar(_)) {
            return distinct.pop().map(|alternative| alternative.located.value);
        }
        Some(Value::Alternatives(distinct))
    }
}

fn is_definition(entry: &Entry) -> bool {
    entry.name.starts_with('#')
}

/// Merges alternatives with the same value. The merged alternative is the default if any of them is.
fn without_duplicates(alternatives: Vec<Alternative>) -> Vec<Alternative> {
    let mut distinct: Vec<Alternative> = Vec::new();
    for alternative in alternatives {
        match distinct.iter_mut().find(|known| known.located.value == alternative.located.value) {
            Some(known) => known.is_default |= alternative.is_default,
            None => distinct.push(alternative),
        }
    }
    distinct
}

/// Whether two values are so alike that problems of unifying them concern their content.
fn have_same_form(one: &Value, two: &Value) -> bool {
    match (one, two) {
        (Value::Constraint(scalar_type, _), Value::Scalar(scalar))
        | (Value::Scalar(scalar), Value::Constraint(scalar_type, _)) => scalar.has_type(*scalar_type),
        (Value::Record(_), Value::Record(_)) => true,
        (Value::List(_) | Value::ListOf(_), Value::List(_) | Value::ListOf(_)) => true,
        _ => false,
    }
}

/// Closes a record and all records in it, so that no fields can be added.
fn close_record(record: &mut Record) {
    record.closed = true;
    for field in record.fields.values_mut() {
        close_value(&mut field.located.value);
    }
}

fn close_value(value: &mut Value) {
    match value {
        Value::Record(record) => close_record(record),
        Value::ListOf(item) => close_value(&mut item.value),
        Value::Alternatives(alternatives) => {
            for alternative in alternatives {
                close_value(&mut alternative.located.value);
            }
        }
        _ => {}
    }
}

/// Returns the name that was probably meant, if one is similar enough: one edit, and one more for every four bytes.
fn most_similar<'b>(name: &str, names: impl Iterator<Item = &'b str>) -> Option<&'b str> {
    let (distance, similar) = names.map(|known| (strsim::damerau_levenshtein(name, known), known)).min()?;
    let max_distance = 1 + name.len() / 4;
    (distance <= max_distance).then_some(similar)
}

//! Several statements of one thing become one value, or a problem that names both.

use std::collections::{BTreeMap, BTreeSet};

use super::parse::{Entry, Expr, Node};
use super::value::*;

/// Definitions by name, evaluated once each, and what went wrong on the way.
pub struct Scope<'a> {
    entries: BTreeMap<String, Vec<&'a Entry>>,
    known: BTreeMap<String, Option<Held>>,
    under_way: BTreeSet<String>,
    own: usize,
    pub problems: Vec<Problem>,
}

/// A key's path, as `channel.beat`.
pub fn path(parent: &str, key: &str) -> String {
    if parent.is_empty() { key.to_string() } else { format!("{parent}.{key}") }
}

impl<'a> Scope<'a> {
    /// All texts' definitions share one scope; the first `own` texts are the program's, and theirs stay theirs.
    pub fn new(entries: impl IntoIterator<Item = &'a Entry>, own: usize) -> Scope<'a> {
        let mut scope = Scope {
            entries: BTreeMap::new(),
            known: BTreeMap::new(),
            under_way: BTreeSet::new(),
            own,
            problems: Vec::new(),
        };
        for entry in entries.into_iter().filter(|entry| entry.name.starts_with('#')) {
            let before = scope.entries.entry(entry.name.clone()).or_default();
            if entry.at.text >= own && before.iter().any(|known| known.at.text < own) {
                let what = "a definition of the program's own can't be changed".to_string();
                let (key, expected) = (entry.name.clone(), Some("another name".to_string()));
                scope.problems.push(Problem { at: entry.at, key, what, expected });
                continue;
            }
            before.push(entry);
        }
        scope
    }

    /// Evaluates every definition, so that problems of those nobody refers to are told too.
    pub fn all(&mut self) {
        let names: Vec<String> = self.entries.keys().cloned().collect();
        for name in names {
            self.definition(&name, Place { text: 0, from: 0, to: 0 }, &name);
        }
    }

    fn problem(&mut self, at: Place, key: &str, what: impl Into<String>, expected: Option<String>) {
        self.problems.push(Problem { at, key: key.to_string(), what: what.into(), expected });
    }

    fn definition(&mut self, name: &str, at: Place, key: &str) -> Option<Held> {
        if let Some(known) = self.known.get(name) {
            return known.clone();
        }
        let Some(entries) = self.entries.get(name).cloned() else {
            let near = nearest(name, self.entries.keys().map(String::as_str));
            let expected = near.map(|near| format!("{near}, perhaps"));
            self.problem(at, key, format!("{name} is defined nowhere"), expected);
            return None;
        };
        if !self.under_way.insert(name.to_string()) {
            self.problem(at, key, format!("{name} refers to itself"), None);
            return None;
        }
        let (mut held, mut own): (Option<Held>, bool) = (None, false);
        for entry in entries {
            own |= entry.at.text < self.own;
            let next = self.evaluate(&entry.node, name);
            held = match (held, next) {
                (Some(held), Some(next)) => self.unify(&held, &next, name),
                (held, next) => held.or(next),
            };
        }
        self.under_way.remove(name);
        // Operators' own definitions are presets, to be added to.
        if let Some(Held { value: Value::Record(record), .. }) = held.as_mut().filter(|_| own) {
            close(record);
        }
        self.known.insert(name.to_string(), held.clone());
        held
    }

    /// A record of these entries, definitions left out.
    pub fn record<'b>(&mut self, entries: impl IntoIterator<Item = &'b Entry>, key: &str) -> Record {
        let mut record = Record::default();
        for entry in entries.into_iter().filter(|entry| !entry.name.starts_with('#')) {
            let key = path(key, &entry.name);
            let Some(held) = self.evaluate(&entry.node, &key) else { continue };
            let field = Field { optional: entry.optional, held, at: entry.at };
            let unified = match record.fields.get(&entry.name) {
                Some(before) => self.field(before, &field, &key),
                None => Some(field),
            };
            record.fields.extend(unified.map(|field| (entry.name.clone(), field)));
        }
        record
    }

    fn evaluate(&mut self, node: &Node, key: &str) -> Option<Held> {
        let value = match &node.expr {
            Expr::Scalar(scalar) => Value::Scalar(scalar.clone()),
            Expr::Kind(kind) => Value::Within(*kind, Vec::new()),
            Expr::Bound(operator, bound) => {
                let kind = if matches!(bound, Scalar::Whole(_)) { Kind::Figure } else { bound.kind() };
                Value::Within(kind, vec![(*operator, bound.clone())])
            }
            Expr::Definition(name) => {
                let held = self.definition(name, node.at, key)?;
                return Some(Held { at: node.at, ..held });
            }
            Expr::List(items) => {
                let items = items.iter().enumerate();
                let items: Option<Vec<Held>> =
                    items.map(|(k, item)| self.evaluate(item, &format!("{key}[{k}]"))).collect();
                Value::List(items?)
            }
            Expr::Each(item) => Value::Each(Box::new(self.evaluate(item, &format!("{key}[]"))?)),
            Expr::Record(entries, _) => Value::Record(self.record(entries, key)),
            Expr::All(all) => {
                let mut held: Option<Held> = None;
                for node in all {
                    let next = self.evaluate(node, key)?;
                    held = Some(match held {
                        Some(held) => self.unify(&held, &next, key)?,
                        None => next,
                    });
                }
                return held.map(|held| Held { at: node.at, ..held });
            }
            Expr::Either(all) => {
                let all: Option<Vec<(bool, Held)>> = all
                    .iter()
                    .map(|(preferred, node)| Some((*preferred, self.evaluate(node, key)?)))
                    .collect();
                Value::Either(all?)
            }
        };
        Some(Held { value, at: node.at })
    }

    fn field(&mut self, one: &Field, two: &Field, key: &str) -> Option<Field> {
        let optional = one.optional && two.optional;
        Some(Field { optional, held: self.unify(&one.held, &two.held, key)?, at: two.at })
    }

    /// What both allow. Of the two places the later text's is the one that is told.
    pub fn unify(&mut self, one: &Held, two: &Held, key: &str) -> Option<Held> {
        let at = if two.at.text >= one.at.text { two.at } else { one.at };
        let held = |value| Some(Held { value, at });
        match (&one.value, &two.value) {
            (Value::Either(_), Value::Either(_)) if one.at.text > two.at.text => self.unify(two, one, key),
            (Value::Either(_), Value::Either(later)) => {
                // Of two defaults the later text's holds: operators' go before the program's.
                let own = later.iter().any(|(preferred, _)| *preferred);
                let (known, mut all) = (self.problems.len(), Vec::new());
                for (preferred, held) in later {
                    match self.unify(one, held, key) {
                        Some(Held { value: Value::Either(inner), .. }) => {
                            let flag = |inner| if own { *preferred } else { inner };
                            all.extend(inner.into_iter().map(|(inner, held)| (flag(inner), held)));
                        }
                        fits => all.extend(fits.map(|held| (*preferred, held))),
                    }
                    self.problems.truncate(known);
                }
                if all.is_empty() {
                    let what = format!("{} fits no alternative", two.value);
                    self.problem(at, key, what, Some(one.value.to_string()));
                    return None;
                }
                held(Value::Either(all))
            }
            (Value::Either(all), _) => self.choose(all, two, (one, two), key),
            (_, Value::Either(all)) => self.choose(all, one, (one, two), key),
            (Value::Scalar(first), Value::Scalar(second)) => {
                if first == second || first.compare(second).is_some_and(std::cmp::Ordering::is_eq) {
                    return held(one.value.clone());
                }
                let expected = if at == two.at { first } else { second };
                self.problem(at, key, "two values that differ", Some(expected.to_string()));
                None
            }
            (Value::Scalar(scalar), Value::Within(kind, bounds))
            | (Value::Within(kind, bounds), Value::Scalar(scalar)) => {
                let within =
                    |(operator, bound): &(Operator, Scalar)| operator.holds(scalar, bound) == Some(true);
                if scalar.fits(*kind) && bounds.iter().all(within) {
                    return held(Value::Scalar(scalar.clone()));
                }
                let what = if scalar.fits(*kind) {
                    format!("{scalar} is out of bounds")
                } else {
                    format!("{scalar} is of another type")
                };
                let wanted = Value::Within(*kind, bounds.clone());
                self.problem(at, key, what, Some(wanted.to_string()));
                None
            }
            (Value::Within(first, bounds), Value::Within(second, more)) => match first.meet(*second) {
                Some(kind) => held(Value::Within(kind, bounds.iter().chain(more).cloned().collect())),
                None => {
                    self.problem(at, key, format!("can't be both {first} and {second}"), None);
                    None
                }
            },
            (Value::Within(Kind::Any, bounds), other) | (other, Value::Within(Kind::Any, bounds))
                if bounds.is_empty() =>
            {
                held(other.clone())
            }
            (Value::List(first), Value::List(second)) if first.len() == second.len() => {
                let pairs = first.iter().zip(second).enumerate();
                let items: Vec<Option<Held>> =
                    pairs.map(|(k, (one, two))| self.unify(one, two, &format!("{key}[{k}]"))).collect();
                held(Value::List(items.into_iter().collect::<Option<_>>()?))
            }
            (Value::List(items), Value::Each(each)) | (Value::Each(each), Value::List(items)) => {
                let items = items.iter().enumerate();
                let items: Vec<Option<Held>> =
                    items.map(|(k, item)| self.unify(each, item, &format!("{key}[{k}]"))).collect();
                held(Value::List(items.into_iter().collect::<Option<_>>()?))
            }
            (Value::Each(first), Value::Each(second)) => {
                let each = self.unify(first, second, &format!("{key}[]"))?;
                held(Value::Each(Box::new(each)))
            }
            (Value::Record(first), Value::Record(second)) => {
                held(Value::Record(self.merge(first, second, key)))
            }
            (first, second) => {
                let (what, expected) = if at == two.at { (second, first) } else { (first, second) };
                self.problem(at, key, format!("{what} is of another type"), Some(expected.to_string()));
                None
            }
        }
    }

    /// A field that is in conflict is told and left as the first has it, so that all others are still checked.
    fn merge(&mut self, one: &Record, two: &Record, key: &str) -> Record {
        let mut merged = Record { fields: one.fields.clone(), closed: one.closed || two.closed };
        for (from, into) in [(two, one), (one, two)] {
            for (name, field) in from.fields.iter().filter(|(name, _)| !into.fields.contains_key(*name)) {
                if into.closed {
                    let near = nearest(name, into.fields.keys().map(String::as_str));
                    let names = into.fields.keys().map(String::as_str).collect::<Vec<_>>().join(", ");
                    let expected = near.map_or(format!("one of {names}"), |near| format!("{near}, perhaps"));
                    self.problem(field.at, &path(key, name), "an unknown key", Some(expected));
                    merged.fields.remove(name);
                }
            }
        }
        for (name, field) in &two.fields {
            match one.fields.get(name) {
                Some(before) => {
                    if let Some(field) = self.field(before, field, &path(key, name)) {
                        merged.fields.insert(name.clone(), field);
                    }
                }
                None if !one.closed => _ = merged.fields.insert(name.clone(), field.clone()),
                None => {}
            }
        }
        merged
    }

    /// Alternatives that don't fit fall away; where none is left, that is one problem.
    fn choose(
        &mut self,
        all: &[(bool, Held)],
        other: &Held,
        pair: (&Held, &Held),
        key: &str,
    ) -> Option<Held> {
        let at = if pair.1.at.text >= pair.0.at.text { pair.1.at } else { pair.0.at };
        let known = self.problems.len();
        let mut left: Vec<(bool, Held)> = Vec::new();
        let mut sole = Vec::new();
        for (preferred, held) in all {
            let fits = self.unify(held, other, key);
            let told = self.problems.split_off(known);
            match fits {
                Some(held) if told.is_empty() => left.push((*preferred, held)),
                // The alternative of the same form tells best what is wrong.
                _ if same_form(&held.value, &other.value) => sole = told,
                _ => {}
            }
        }
        match left.len() {
            0 => {
                match sole.len() {
                    0 => {
                        let alternatives = Value::Either(all.to_vec());
                        let what = format!("{} fits no alternative", other.value);
                        self.problem(at, key, what, Some(alternatives.to_string()));
                    }
                    _ => self.problems.extend(sole),
                }
                None
            }
            1 => left.pop().map(|(_, held)| Held { at, ..held }),
            _ => {
                // Alternatives that have come to be the same are one.
                let mut distinct: Vec<(bool, Held)> = Vec::new();
                for (preferred, held) in left {
                    match distinct.iter_mut().find(|(_, known)| known.value == held.value) {
                        Some((known, _)) => *known |= preferred,
                        None => distinct.push((preferred, held)),
                    }
                }
                let whole = matches!(other.value, Value::Scalar(_)) || distinct.len() == 1;
                match distinct.pop() {
                    Some((_, held)) if whole => Some(Held { at, ..held }),
                    last => {
                        distinct.extend(last);
                        Some(Held { value: Value::Either(distinct), at })
                    }
                }
            }
        }
    }
}

fn same_form(one: &Value, two: &Value) -> bool {
    match (one, two) {
        (Value::Within(kind, _), Value::Scalar(scalar)) | (Value::Scalar(scalar), Value::Within(kind, _)) => {
            scalar.fits(*kind)
        }
        (Value::Record(_), Value::Record(_)) => true,
        (Value::List(_) | Value::Each(_), Value::List(_) | Value::Each(_)) => true,
        _ => false,
    }
}

/// A record and all records in it take no further fields.
fn close(record: &mut Record) {
    record.closed = true;
    for field in record.fields.values_mut() {
        close_value(&mut field.held.value);
    }
}

fn close_value(value: &mut Value) {
    match value {
        Value::Record(record) => close(record),
        Value::Each(each) => close_value(&mut each.value),
        Value::Either(all) => all.iter_mut().for_each(|(_, held)| close_value(&mut held.value)),
        _ => {}
    }
}

/// The name that was likely meant.
fn nearest<'b>(name: &str, names: impl Iterator<Item = &'b str>) -> Option<&'b str> {
    let near = names.map(|known| (strsim::damerau_levenshtein(name, known), known)).min()?;
    (near.0 <= 1 + name.len() / 4).then_some(near.1)
}

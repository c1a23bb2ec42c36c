//! Rule 1: no joined proxy is without a line while its conductor's list has a warm node.

use super::{Bare, Checker, Rule, Violation, violation};
use crate::core::ids::{ClassIndex, ConductorIndex, Micros, ProxyIndex};

impl Checker {
    pub(super) fn refresh_warm(&mut self, now: Micros, conductor: ConductorIndex) {
        let Some(known) = self.conductor_mut(conductor) else { return };
        let first = known.ready.first().map(|(warm_at, _)| *warm_at).filter(|warm_at| *warm_at <= now);
        known.warm_since = match first {
            // It was warm before this was looked at, but not before the list had it.
            Some(warm_at) => known.warm_since.or(Some(warm_at.max(known.told))),
            None => None,
        };
    }

    /// Keeps which classes of a proxy have no line, and since when.
    pub(super) fn note_bare(&mut self, now: Micros, proxy: ProxyIndex) {
        let Some(known) = self.proxy(proxy).filter(|known| known.conductor.is_some()) else { return };
        let empty: Vec<(ClassIndex, bool)> =
            known.table.classes().map(|class| (class, known.table.usable(class) == 0)).collect();
        for (class, empty) in empty {
            if empty {
                self.bare.entry((proxy, class)).or_insert(Bare { since: now, counted: false });
            } else {
                self.bare.remove(&(proxy, class));
            }
        }
    }

    pub(super) fn check_bare(&mut self, now: Micros, proxy: ProxyIndex) {
        let Some(conductor) = self.proxy(proxy).and_then(|known| known.conductor) else { return };
        let Some(known) = self.conductor(conductor) else { return };
        let (Some(begin), Some(warm)) = (known.begin, known.warm_since) else { return };
        let limit = self.terms.bare + self.terms.slack;
        let over = |bare: &Bare| !bare.counted && now > bare.since.max(begin).max(warm) + limit;
        let classes = (proxy, ClassIndex(0))..=(proxy, ClassIndex(u8::MAX));
        let found: Vec<ClassIndex> = self
            .bare
            .range_mut(classes)
            .filter_map(|((_, class), bare)| {
                let over = over(bare);
                bare.counted |= over;
                over.then_some(*class)
            })
            .collect();
        for class in found {
            let (proxy, class) = (Some(proxy), Some(class));
            self.broken(Violation { proxy, class, ..violation(Rule::WithoutLine, now, conductor) });
        }
    }
}

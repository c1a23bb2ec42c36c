//! Rule 1: no joined proxy may be without a usable line while its conductor's list has a warm node.

use super::{Checker, MissingLine, Rule, Violation, conductor_violation};
use crate::core::ids::{ClassIndex, ConductorIndex, Micros, ProxyIndex};

impl Checker {
    /// Updates since when a conductor's list has had a warm node.
    pub(super) fn update_warm_since(&mut self, now: Micros, conductor: ConductorIndex) {
        let Some(state) = self.conductor_mut(conductor) else { return };
        let first_warm_at =
            state.warm_times.first().map(|(warm_at, _)| *warm_at).filter(|warm_at| *warm_at <= now);
        state.warm_since = match first_warm_at {
            // The node may have been warm before this update, but not before it was listed.
            Some(warm_at) => state.warm_since.or(Some(warm_at.max(state.list_changed_at))),
            None => None,
        };
    }

    /// Tracks which classes of a proxy have no usable line, and since when.
    pub(super) fn track_missing_lines(&mut self, now: Micros, proxy: ProxyIndex) {
        let Some(state) = self.proxy(proxy).filter(|state| state.conductor.is_some()) else { return };
        let classes: Vec<(ClassIndex, bool)> =
            state.table.classes().map(|class| (class, state.table.usable_lines(class) == 0)).collect();
        for (class, is_empty) in classes {
            if is_empty {
                let missing = MissingLine { since: now, recorded: false };
                self.missing_lines.entry((proxy, class)).or_insert(missing);
            } else {
                self.missing_lines.remove(&(proxy, class));
            }
        }
    }

    /// Records a violation for each class of a proxy that has been without a usable line for too long.
    pub(super) fn check_missing_lines(&mut self, now: Micros, proxy: ProxyIndex) {
        let Some(conductor) = self.proxy(proxy).and_then(|state| state.conductor) else { return };
        let Some(state) = self.conductor(conductor) else { return };
        let Some(limits_apply_from) = state.limits_apply_from else { return };
        let Some(warm_since) = state.warm_since else { return };
        let limit = self.limits.without_line + self.limits.slack;
        let is_overdue = |missing: &MissingLine| {
            let start = missing.since.max(limits_apply_from).max(warm_since);
            !missing.recorded && now > start + limit
        };
        let classes = (proxy, ClassIndex(0))..=(proxy, ClassIndex(u8::MAX));
        let mut overdue = Vec::new();
        for ((_, class), missing) in self.missing_lines.range_mut(classes) {
            if is_overdue(missing) {
                missing.recorded = true;
                overdue.push(*class);
            }
        }
        for class in overdue {
            let (proxy, class) = (Some(proxy), Some(class));
            self.record(Violation { proxy, class, ..conductor_violation(Rule::WithoutLine, now, conductor) });
        }
    }
}

//! Rule 2: no retry policy may run a request twice.

use super::{Checker, Rule, Violation, conductor_violation};
use crate::core::ids::{ClassIndex, Micros, ProxyIndex};
use crate::core::message::Message;

impl Checker {
    /// Checks the retry policies that a message sets.
    pub(super) fn check_retry_policies(&mut self, now: Micros, proxy: ProxyIndex, message: &Message) {
        let Some(conductor) = self.proxy(proxy).and_then(|state| state.conductor) else { return };
        for part in message.parts.iter().filter(|part| part.policy.is_some()) {
            for (class, max_policy) in self.limits.max_policy.clone().into_iter().enumerate() {
                let class = ClassIndex(class as u8);
                let applies = part.classes.as_ref().is_none_or(|classes| classes.contains(&class));
                if applies && part.policy.is_some_and(|policy| policy > max_policy) {
                    let (proxy, class) = (Some(proxy), Some(class));
                    self.record(Violation {
                        proxy,
                        class,
                        ..conductor_violation(Rule::RunTwice, now, conductor)
                    });
                }
            }
        }
    }
}

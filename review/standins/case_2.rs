//! Case 2: a conductor that starts with an empty list, and dispatchers that join it with tables of another one.

use std::time::Duration;

use crate::deployment::Deployment;
use crate::dispatcher::Class;
use crate::settings;

/// Time for all dispatchers to be bound, before and between what happens.
const QUIET: Duration = Duration::from_millis(4_000);

/// Time for which the dispatchers are looked at at the end.
const AFTER: Duration = Duration::from_millis(12_000);

/// Runs the case. Returns how often the rule was broken.
pub fn run(deployment: &mut Deployment, has_trouble: bool) -> std::io::Result<usize> {
    deployment.start_conductors()?;
    deployment.start_dispatchers();
    deployment.start_collectors();
    deployment.watch_rules(QUIET);
    if has_trouble {
        deployment.conductors[0].agent.replace(&[]);
    }
    deployment.watch_rules(QUIET);
    // All conductors are restarted, one at a time. Dispatchers stay where they are once their stream broke.
    deployment.restart(0)?;
    deployment.watch_rules(QUIET);
    deployment.restart(1)?;
    deployment.watch_rules(AFTER);
    deployment.drain_check.tell();
    Ok(deployment.drain_check.broken)
}

pub fn classes() -> Vec<Class> {
    settings::classes([false, false])
}

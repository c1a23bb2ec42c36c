//! Case 1: a list that drops live nodes at one conductor, whose dispatchers then join another one.

use std::time::Duration;

use crate::deployment::Deployment;
use crate::discovery::Entry;
use crate::settings::{self, ZONES};

/// Time for all dispatchers to be bound, before anything happens.
const QUIET: Duration = Duration::from_millis(4_000);

/// The zone whose live nodes the list of conductor 1 drops.
const DROPPED_ZONE: &str = ZONES[1];

/// Time between the list that drops nodes and the planned restart of the conductor that heard it.
const DROPPED: Duration = Duration::from_millis(3_000);

/// Time for which the dispatchers are looked at after the restart.
const AFTER: Duration = Duration::from_millis(12_000);

/// Runs the case. Returns how often the rule was broken.
pub fn run(deployment: &mut Deployment, has_trouble: bool) -> std::io::Result<usize> {
    deployment.start_conductors()?;
    deployment.start_dispatchers();
    deployment.watch_rule(QUIET);
    // All conductors are restarted, one at a time. Dispatchers stay where they are once their stream broke.
    deployment.restart(1)?;
    deployment.watch_rule(QUIET);
    if has_trouble {
        let entries = deployment.conductors[0].agent.entries();
        let kept: Vec<Entry> = entries.into_iter().filter(|entry| entry.zone != DROPPED_ZONE).collect();
        deployment.conductors[0].agent.replace(&kept);
    }
    deployment.watch_rule(DROPPED);
    deployment.restart(0)?;
    deployment.watch_rule(AFTER);
    deployment.check.tell();
    Ok(deployment.check.broken)
}

pub fn classes() -> Vec<crate::dispatcher::Class> {
    settings::classes([false, true], 1.0)
}

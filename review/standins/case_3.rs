//! Case 3: all nodes of one zone are lost on a busy day, and come back cold.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::deployment::Deployment;
use crate::discovery::Entry;
use crate::dispatcher::Class;
use crate::settings::{self, ZONES};

/// The zone that is lost.
const LOST_ZONE: &str = ZONES[1];

/// Time before anything happens.
const QUIET: Duration = Duration::from_millis(6_000);

/// Time until discovery tells that the nodes are gone (`notice_s` of the site file: 1.9 to 4.4 s).
const NOTICE: Duration = Duration::from_millis(2_500);

/// Time for which the nodes are lost after that; the brief states 9.4 to 20 s in all.
const LOST: Duration = Duration::from_millis(10_000);

/// Time until discovery tells that the nodes are back (`add_s` of the site file: 0.28 to 2.5 s).
const BACK_NOTICE: Duration = Duration::from_millis(1_700);

/// Time for which the dispatchers are looked at after that.
const AFTER: Duration = Duration::from_millis(28_000);

/// Runs the case. Returns how often the rule was broken.
pub fn run(deployment: &mut Deployment, has_trouble: bool) -> std::io::Result<usize> {
    deployment.start_conductors()?;
    deployment.start_dispatchers();
    deployment.start_collectors();
    deployment.watch_rule(QUIET);
    if has_trouble {
        let entries = deployment.conductors[0].agent.entries();
        let lost: Vec<Entry> = entries.into_iter().filter(|entry| entry.zone == LOST_ZONE).collect();
        let names: Vec<String> = lost.iter().map(|entry| entry.name.clone()).collect();
        deployment.record.tell(&format!("{LOST_ZONE} is lost: {names:?}"));
        deployment.servers.end(&names);
        deployment.watch_rule(NOTICE);
        tell(deployment, &lost, "left", 0);
        deployment.watch_rule(LOST);
        deployment.record.tell(&format!("{LOST_ZONE} is back, cold"));
        deployment.servers.start(&names);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        deployment.watch_rule(BACK_NOTICE);
        tell(deployment, &lost, "active", now.as_millis() as u64);
    } else {
        deployment.watch_rule(NOTICE + LOST + BACK_NOTICE);
    }
    deployment.watch_rule(AFTER);
    deployment.check.tell();
    Ok(deployment.check.broken)
}

/// Has discovery tell all conductors of a change.
fn tell(deployment: &Deployment, nodes: &[Entry], state: &'static str, boot_ms: u64) {
    let changed: Vec<Entry> = nodes.iter().map(|entry| Entry { state, boot_ms, ..entry.clone() }).collect();
    deployment.conductors.iter().for_each(|conductor| conductor.agent.change(&changed));
}

pub fn classes() -> Vec<Class> {
    settings::classes([false, true], 1.0)
}

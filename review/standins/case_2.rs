//! Case 2: a zone is lost on a busy day, while a release goes on and all conductors are restarted, one at a time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::deployment::Deployment;
use crate::discovery::Entry;
use crate::dispatcher::Class;
use crate::settings::{self, ZONES};

/// The zone whose nodes are replaced, and the zone that is lost.
const RELEASED_ZONE: &str = ZONES[0];
const LOST_ZONE: &str = ZONES[1];

/// Time before anything happens, and between the first restart and the loss.
const QUIET: Duration = Duration::from_millis(5_000);

/// Time until discovery tells of new nodes (`add_s` of the site file: 0.28 to 2.5 s).
const ADD_NOTICE: Duration = Duration::from_millis(500);

/// Time until discovery tells that the lost nodes are gone (`notice_s` of the site file: 1.9 to 4.4 s).
const LOSS_NOTICE: Duration = Duration::from_millis(2_500);

/// Time from the release to the restart of the second conductor.
const BUSY: Duration = Duration::from_millis(5_500);

/// Share of the cut-off after which a try is given up; the brief states 40 to 100%.
const TRY_SHARE: f64 = 0.4;

/// Time for which the nodes are looked at after that.
const AFTER: Duration = Duration::from_millis(8_000);

/// Runs the case. Returns how many cold nodes fell over.
pub fn run(deployment: &mut Deployment, has_trouble: bool) -> std::io::Result<usize> {
    deployment.start_conductors()?;
    deployment.start_dispatchers();
    deployment.start_collectors();
    deployment.watch_rule(QUIET);
    // All conductors are restarted, one at a time. Dispatchers stay where they are once their stream broke.
    deployment.restart(0)?;
    deployment.watch_rule(QUIET);
    if has_trouble {
        let lost = of_zone(deployment, LOST_ZONE);
        let names: Vec<String> = lost.iter().map(|entry| entry.name.clone()).collect();
        deployment.record.tell(&format!("{LOST_ZONE} is lost: {names:?}"));
        deployment.servers.end(&names);
        deployment.watch_rule(LOSS_NOTICE);
        tell(deployment, &lost, "left");
    } else {
        deployment.watch_rule(LOSS_NOTICE);
    }
    release(deployment);
    deployment.watch_rule(BUSY);
    deployment.restart(1)?;
    deployment.watch_rule(AFTER);
    let mut fallen = 0;
    for (name, multiple, has_fallen) in deployment.servers.cold_nodes() {
        fallen += usize::from(has_fallen);
        let verdict = if has_fallen { "BROKEN: it fell over" } else { "it stands" };
        deployment.record.tell(&format!("{name} was sent {multiple:.2} times what it could do: {verdict}"));
    }
    deployment
        .record
        .tell(&format!("rule 4: {fallen} cold nodes fell over; the limit is 3 times, with a tenth of slack"));
    Ok(fallen)
}

/// Replaces the nodes of a zone: new ones start, cold, and the old ones drain.
fn release(deployment: &mut Deployment) {
    let old = of_zone(deployment, RELEASED_ZONE);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let new: Vec<Entry> = old
        .iter()
        .map(|entry| Entry {
            name: entry.name.replace('s', "t"),
            boot_ms: now.as_millis() as u64,
            ..entry.clone()
        })
        .collect();
    let names: Vec<String> = new.iter().map(|entry| entry.name.clone()).collect();
    deployment
        .record
        .tell(&format!("a release: {names:?} start, and the old nodes of {RELEASED_ZONE} drain"));
    deployment.servers.start(&names);
    deployment.watch_rule(ADD_NOTICE);
    tell(deployment, &new, "active");
    tell(deployment, &old, "leaving");
}

fn of_zone(deployment: &Deployment, zone: &str) -> Vec<Entry> {
    deployment.conductors[0].agent.entries().into_iter().filter(|entry| entry.zone == zone).collect()
}

/// Has discovery tell all conductors of a change.
fn tell(deployment: &Deployment, nodes: &[Entry], state: &'static str) {
    let changed: Vec<Entry> = nodes.iter().map(|entry| Entry { state, ..entry.clone() }).collect();
    deployment.conductors.iter().for_each(|conductor| conductor.agent.change(&changed));
}

pub fn classes() -> Vec<Class> {
    settings::classes([false, false], TRY_SHARE)
}

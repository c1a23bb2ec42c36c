//! A small deployment: conductors, each with an agent of discovery, dispatchers, and collectors.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::collector::Collector;
use crate::conductor::Conductor;
use crate::discovery::{Agent, Entry};
use crate::dispatcher::{Class, Dispatcher};
use crate::record::Record;
use crate::rule_no_node::NoNodeCheck;
use crate::servers::Servers;
use crate::settings::{self, Day, ZONES};

/// Interval at which the first rule is checked.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which a conductor is away at a planned restart.
const RESTART_TIME: Duration = Duration::from_millis(1_500);

/// Most nodes of a standing table (`specifics.bootstrap`).
const STANDING_NODES: usize = 6;

/// Version of the list at the start.
const FIRST_REV: u64 = 41;

/// The whole deployment.
pub struct Deployment {
    pub record: Record,
    day: Day,
    pub classes: Arc<Vec<Class>>,
    pub conductors: Vec<Conductor>,
    pub dispatchers: Vec<Dispatcher>,
    pub check: NoNodeCheck,
    pub servers: Servers,
    stop: Arc<AtomicBool>,
    /// A folder of the run's own, removed at its end.
    folder: PathBuf,
}

/// Returns the nodes at the start, spread over the zones and started long ago.
pub fn nodes(count: usize) -> Vec<Entry> {
    let node = |index: usize| Entry {
        name: format!("s-{:02}", index + 1),
        zone: ZONES[index % ZONES.len()],
        state: "active",
        boot_ms: 0,
    };
    (0..count).map(node).collect()
}

impl Deployment {
    /// Prepares conductors, which are not started yet.
    pub fn new(root: &Path, case: &Path, day: Day, classes: Vec<Class>) -> std::io::Result<Deployment> {
        let record = Record::create(case)?;
        let folder = std::env::temp_dir().join(format!("oatpitch-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut conductors = Vec::new();
        for place in 0..day.conductors {
            let agent =
                Agent::start(&format!("discovery {}", place + 1), FIRST_REV, &nodes(day.nodes), &record)?;
            let settings = settings::settings(place, &day, &classes);
            let name = format!("n{}", place + 1);
            conductors.push(Conductor::new(&name, &agent, &settings, root, &folder, &record)?);
        }
        let check = NoNodeCheck::new(day.dispatchers, classes.len(), &record);
        Ok(Deployment {
            record,
            day,
            classes: Arc::new(classes),
            conductors,
            dispatchers: Vec::new(),
            check,
            servers: Servers::new(&nodes(day.nodes)),
            stop: Arc::default(),
            folder,
        })
    }

    /// Starts all conductors, each with the list that its agent has.
    pub fn start_conductors(&mut self) -> std::io::Result<()> {
        for conductor in &mut self.conductors {
            let known = conductor.agent.whole_list();
            conductor.start(&known)?;
        }
        Ok(())
    }

    /// Restarts a conductor as planned: SIGTERM, then a new start with the list that it last had.
    pub fn restart(&mut self, place: usize) -> std::io::Result<()> {
        self.record.tell(&format!("planned restart of conductor {}", place + 1));
        let known = self.conductors[place].agent.whole_list();
        self.conductors[place].stop();
        self.watch_rule(RESTART_TIME);
        self.conductors[place].start(&known)
    }

    /// Starts the dispatchers, spread over the zones. Each dials the conductor of its own zone first if there is one,
    /// and starts with the nodes of its zone.
    pub fn start_dispatchers(&mut self) {
        for number in 0..self.day.dispatchers {
            let zone = ZONES[number % ZONES.len()];
            let own = number % ZONES.len() % self.conductors.len();
            let mut places: Vec<usize> = (0..self.conductors.len()).collect();
            places.sort_by_key(|place| (*place != own, *place));
            let conductors = places.iter().map(|place| (*place, self.conductors[*place].listen)).collect();
            let of_zone = nodes(self.day.nodes).into_iter().filter(|node| node.zone == zone);
            let standing: Vec<String> = of_zone.map(|node| node.name).take(STANDING_NODES).collect();
            self.dispatchers.push(Dispatcher::start(
                number,
                zone,
                &self.classes,
                &standing,
                conductors,
                &self.servers,
                &self.record,
                &self.stop,
            ));
        }
    }

    /// Starts a collector for each zone at each conductor.
    pub fn start_collectors(&self) {
        for (place, conductor) in self.conductors.iter().enumerate() {
            for zone in ZONES {
                let of_zone = self.dispatchers.iter().filter(|dispatcher| dispatcher.zone == zone);
                let collector = Collector {
                    place,
                    address: conductor.listen,
                    zone,
                    dispatchers: of_zone.cloned().collect(),
                    servers: self.servers.clone(),
                    record: self.record.clone(),
                    stop: self.stop.clone(),
                };
                collector.start();
            }
        }
    }

    /// Checks the first rule for a time.
    pub fn watch_rule(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.check.look(&self.dispatchers, &self.classes, &self.conductors);
            thread::sleep(LOOK_INTERVAL);
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for conductor in &mut self.conductors {
            conductor.end();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

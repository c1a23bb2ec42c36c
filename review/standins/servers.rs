//! Stand-ins of the nodes, as a plain model of queues: each has two cores and works through what it was sent, in
//! order. Work whose time-out has passed when its turn comes is not begun, as the briefs say.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::discovery::Entry;

/// Cores of a node, and the speed of a core: so many that the fleet has 0.88 of its capacity asked for.
const CORES: f64 = 2.0;
const CORE_SPEED: f64 = 0.68;

/// Share of its capacity with which a node starts, and the time until it is warm.
const COLD_FROM: f64 = 0.31;
const WARM_AFTER: Duration = Duration::from_millis(18_000);

/// The fourth rule: a cold node that is sent more than this multiple of its present capacity within this time falls
/// over (`guarantees.fall_multiple`, `guarantees.overload_for_us`).
const FALL_MULTIPLE: f64 = 3.0;
const OVERLOAD_TIME: Duration = Duration::from_millis(1_500);

/// The slack for chance that this check adds to the multiple.
const FALL_SLACK: f64 = 1.1;

/// How a try ended.
pub enum Answer {
    /// Answered, with the time from the sending to the answer.
    Done(Duration),
    Failed,
}

struct Node {
    is_up: bool,
    started: Option<Instant>,
    /// When all work that it has taken will be done.
    busy_until: Instant,
    /// Work that it was sent lately, on a core of speed 1, while it was cold.
    sent: VecDeque<(Instant, Duration)>,
    /// The greatest multiple of its present capacity that it was sent within the rule's time.
    greatest_multiple: f64,
}

impl Node {
    fn new(started: Option<Instant>) -> Node {
        let busy_until = Instant::now();
        Node { is_up: true, started, busy_until, sent: VecDeque::new(), greatest_multiple: 0.0 }
    }

    /// Counts work that a cold node is sent. A node that is sent too much falls over and stays down.
    fn count_sent(&mut self, work: Duration) {
        if self.started.is_none_or(|at| at.elapsed() >= WARM_AFTER) {
            return;
        }
        self.sent.push_back((Instant::now(), work));
        while self.sent.front().is_some_and(|(at, _)| at.elapsed() > OVERLOAD_TIME) {
            self.sent.pop_front();
        }
        let work: Duration = self.sent.iter().map(|(_, work)| *work).sum();
        let multiple = work.as_secs_f64() / (self.speed() * OVERLOAD_TIME.as_secs_f64());
        self.greatest_multiple = self.greatest_multiple.max(multiple);
        self.is_up &= !self.has_fallen();
    }

    fn has_fallen(&self) -> bool {
        self.greatest_multiple > FALL_MULTIPLE * FALL_SLACK
    }

    fn speed(&self) -> f64 {
        let warm = WARM_AFTER.as_secs_f64();
        let age = self.started.map_or(warm, |at| at.elapsed().as_secs_f64());
        CORES * CORE_SPEED * (COLD_FROM + (1.0 - COLD_FROM) * (age / warm).min(1.0))
    }
}

/// All nodes of the deployment.
#[derive(Clone)]
pub struct Servers(Arc<Mutex<BTreeMap<String, Node>>>);

impl Servers {
    pub fn new(entries: &[Entry]) -> Servers {
        let node = |entry: &Entry| (entry.name.clone(), Node::new(None));
        Servers(Arc::new(Mutex::new(entries.iter().map(node).collect())))
    }

    /// Ends nodes: they answer nothing from now on.
    pub fn end(&self, names: &[String]) {
        let mut nodes = self.0.lock().unwrap();
        for name in names {
            if let Some(node) = nodes.get_mut(name) {
                node.is_up = false;
            }
        }
    }

    /// Starts nodes anew: they are cold, and have no work.
    pub fn start(&self, names: &[String]) {
        let mut nodes = self.0.lock().unwrap();
        for name in names {
            nodes.insert(name.clone(), Node::new(Some(Instant::now())));
        }
    }

    /// Sends an exchange of so much work to a node.
    pub fn send(&self, name: &str, work: Duration, time_out: Duration) -> Answer {
        let mut nodes = self.0.lock().unwrap();
        let Some(node) = nodes.get_mut(name).filter(|node| node.is_up) else { return Answer::Failed };
        node.count_sent(work);
        let now = Instant::now();
        let begins = node.busy_until.max(now);
        if begins - now > time_out {
            return Answer::Failed;
        }
        node.busy_until = begins + work.div_f64(node.speed());
        // Each core takes one exchange at a time, so that an exchange takes a core's time although the node does two.
        let time = begins - now + work.div_f64(node.speed() / CORES);
        if time > time_out { Answer::Failed } else { Answer::Done(time) }
    }

    /// Returns the cold nodes that were sent anything, with the greatest multiple of their capacity, and whether they
    /// fell over.
    pub fn cold_nodes(&self) -> Vec<(String, f64, bool)> {
        let nodes = self.0.lock().unwrap();
        let cold = nodes.iter().filter(|(_, node)| node.greatest_multiple > 0.0);
        cold.map(|(name, node)| (name.clone(), node.greatest_multiple, node.has_fallen())).collect()
    }

    /// Returns the load that a node reports: the share of its cores in use, and how many exchanges wait.
    pub fn load(&self, name: &str) -> (f64, f64) {
        let nodes = self.0.lock().unwrap();
        let waits = nodes
            .get(name)
            .map_or(Duration::ZERO, |node| node.busy_until.saturating_duration_since(Instant::now()));
        if waits.is_zero() { (0.5, 0.0) } else { (1.0, waits.as_secs_f64() * 10.0) }
    }
}

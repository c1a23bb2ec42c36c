//! The state that the tasks of one point share: the fleet, the observer and the clock. All tasks run on one thread.

use std::cell::{Cell, RefCell};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::watch;
use tokio::time::Instant;

use crate::core::checker::StreamEnd;
use crate::core::fleet::{Change, Fleet, NodeStatus};
use crate::core::ids::{ConductorIndex, Micros, ProxyIndex};
use crate::core::observer::Observer;
use crate::core::plan::Plan;
use crate::core::proxy::{Behaviour, Proxy, REQUESTS_PER_SECOND};
use crate::core::push::Decoder;
use crate::core::rule_limits::RuleLimits;
use crate::core::settings::CLASSES;

/// The shared state of one point.
pub struct PointState {
    pub plan: Plan,
    /// The start of the test's clock.
    start: Instant,
    pub fleet: RefCell<Fleet>,
    /// The version of the list; the watches subscribe to it.
    pub version: watch::Sender<u64>,
    pub observer: RefCell<Observer>,
    pub decoder: RefCell<Decoder>,
    /// Whether the test is killing the conductors. Streams that end meanwhile are not counted against a conductor.
    pub killing_conductors: Cell<bool>,
}

impl PointState {
    /// Returns the state of a point, whose clock starts now. `limits` are those of the conductors' settings.
    pub fn new(plan: &Plan, limits: RuleLimits) -> PointState {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let fleet = Fleet::new(plan, epoch.as_millis() as u64);
        let classes = CLASSES.map(String::from).to_vec();
        PointState {
            plan: plan.clone(),
            start: Instant::now(),
            version: watch::Sender::new(fleet.version()),
            fleet: RefCell::new(fleet),
            observer: RefCell::new(Observer::new(limits, plan.conductors, plan.proxies)),
            decoder: RefCell::new(Decoder::new(classes, plan.nodes)),
            killing_conductors: Cell::new(false),
        }
    }

    /// Returns the current time on the test's clock.
    pub fn now(&self) -> Micros {
        Micros(self.start.elapsed().as_micros() as u64)
    }

    /// Converts a time of the test's clock to the runtime's clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.0)
    }

    /// Changes the list, and wakes the watches, which send the change.
    pub fn change_list(&self, change: Change) {
        self.fleet.borrow_mut().apply(change);
        self.observer.borrow_mut().list_changed(self.now(), change);
        self.version.send_replace(self.fleet.borrow().version());
    }
}

impl PointState {
    /// Handles the first answer of a conductor after its start.
    pub fn conductor_answered(&self, conductor: ConductorIndex) {
        self.observer.borrow_mut().checker.conductor_answered(self.now(), conductor);
    }

    /// Handles the kill of a conductor.
    pub fn conductor_died(&self, conductor: ConductorIndex) {
        self.observer.borrow_mut().checker.conductor_died(self.now(), conductor);
    }

    /// Handles one change that discovery has sent to a conductor.
    pub fn change_sent(&self, conductor: ConductorIndex, change: Change) {
        let checker = &mut self.observer.borrow_mut().checker;
        checker.node_changed(self.now(), conductor, change.node, change.status);
    }

    /// Handles the whole list that discovery has sent to a conductor.
    pub fn list_sent(&self, conductor: ConductorIndex, list: &[NodeStatus]) {
        self.observer.borrow_mut().checker.list_received(self.now(), conductor, list);
    }

    /// Treats the whole list as sent to a conductor, except for the nodes that it was sent already.
    pub fn list_assumed_sent(&self, conductor: ConductorIndex) {
        let statuses = self.fleet.borrow().snapshot().statuses.clone();
        self.observer.borrow_mut().checker.list_assumed_received(self.now(), conductor, &statuses);
    }

    /// Handles the start of a proxy, which samples its initial table from the list.
    pub fn proxy_started(&self, proxy: Proxy) {
        let mut rng = fastrand::Rng::with_seed(self.plan.seed ^ u64::from(proxy.index.0));
        let zone = u32::from(proxy.index.0) % self.plan.zones.max(1);
        let nodes = self.fleet.borrow().sample_active(zone, self.plan.initial_table_nodes, &mut rng);
        self.observer.borrow_mut().checker.proxy_started(self.now(), proxy.index, &nodes);
    }

    /// Handles the joining of a proxy at its conductor.
    pub fn proxy_joined(&self, proxy: Proxy) {
        let mut observer = self.observer.borrow_mut();
        match proxy.behaviour {
            Behaviour::Hangs => observer.hanging_proxy_joined(proxy.index),
            Behaviour::Answers | Behaviour::Mute => {
                observer.proxy_joined(self.now(), proxy.index, proxy.conductor, REQUESTS_PER_SECOND);
            }
        }
    }

    /// Handles the end of a proxy's stream.
    pub fn proxy_left(&self, proxy: ProxyIndex) {
        let end = if self.killing_conductors.get() { StreamEnd::Broken } else { StreamEnd::ByConductor };
        self.observer.borrow_mut().proxy_left(self.now(), proxy, end);
    }
}

//! What the tasks of one point share: the fleet, what was observed, and the clock. All of them run on one thread.

use std::cell::{Cell, RefCell};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::watch;
use tokio::time::Instant;

use super::proxy::{Behaviour, Proxy, REQUESTS_PER_SECOND};
use crate::core::checker::StreamEnd;
use crate::core::fleet::{Change, Fleet, Listed};
use crate::core::ids::{ConductorIndex, Micros, ProxyIndex};
use crate::core::observer::Observer;
use crate::core::order::Decoder;
use crate::core::plan::Plan;
use crate::core::settings::CLASSES;
use crate::core::terms::Terms;

pub struct World {
    pub plan: Plan,
    start: Instant,
    pub fleet: RefCell<Fleet>,
    /// The version of the list, for the watches.
    pub version: watch::Sender<u64>,
    pub observer: RefCell<Observer>,
    pub decoder: RefCell<Decoder>,
    /// Streams end because the run kills their conductors, which is none of their doing.
    pub killing: Cell<bool>,
}

impl World {
    /// The clock starts now. `terms` are those of the settings that the conductors are given.
    pub fn new(plan: &Plan, terms: Terms) -> World {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let fleet = Fleet::new(plan, epoch.as_millis() as u64);
        let classes = CLASSES.map(String::from).to_vec();
        World {
            plan: plan.clone(),
            start: Instant::now(),
            version: watch::Sender::new(fleet.version()),
            fleet: RefCell::new(fleet),
            observer: RefCell::new(Observer::new(terms, plan.conductors, plan.proxies)),
            decoder: RefCell::new(Decoder::new(classes, plan.nodes)),
            killing: Cell::new(false),
        }
    }

    pub fn now(&self) -> Micros {
        Micros(self.start.elapsed().as_micros() as u64)
    }

    /// When a time of the run is, on the runtime's clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.0)
    }

    /// Changes the list; the watches tell it.
    pub fn change(&self, change: Change) {
        self.fleet.borrow_mut().apply(change);
        self.observer.borrow_mut().changed(self.now(), change);
        self.version.send_replace(self.fleet.borrow().version());
    }
}

impl World {
    /// A conductor has first answered after its start.
    pub fn answered(&self, conductor: ConductorIndex) {
        self.observer.borrow_mut().checker.answered(self.now(), conductor);
    }

    /// A conductor has been killed.
    pub fn died(&self, conductor: ConductorIndex) {
        self.observer.borrow_mut().checker.died(self.now(), conductor);
    }

    /// Discovery has written one change to a conductor.
    pub fn told(&self, conductor: ConductorIndex, change: Change) {
        let checker = &mut self.observer.borrow_mut().checker;
        checker.told(self.now(), conductor, change.node, change.listed);
    }

    /// Discovery has written its whole list to a conductor.
    pub fn told_all(&self, conductor: ConductorIndex, list: &[Listed]) {
        self.observer.borrow_mut().checker.told_all(self.now(), conductor, list);
    }

    /// The whole list counts as told to a conductor, as far as it was not told yet.
    pub fn told_rest(&self, conductor: ConductorIndex) {
        let listed = self.fleet.borrow().snapshot().listed.clone();
        self.observer.borrow_mut().checker.told_rest(self.now(), conductor, &listed);
    }

    /// A proxy has started: it draws its standing table from the list.
    pub fn started(&self, proxy: Proxy) {
        let mut chance = fastrand::Rng::with_seed(self.plan.seed ^ u64::from(proxy.index.0));
        let zone = u32::from(proxy.index.0) % self.plan.zones.max(1);
        let nodes = self.fleet.borrow().draw(zone, self.plan.standing, &mut chance);
        self.observer.borrow_mut().checker.stands(self.now(), proxy.index, &nodes);
    }

    pub fn joined(&self, proxy: Proxy) {
        let mut observer = self.observer.borrow_mut();
        match proxy.behaviour {
            Behaviour::Hangs => observer.hangs(proxy.index),
            Behaviour::Answers | Behaviour::Mute => {
                observer.joined(self.now(), proxy.index, proxy.conductor, REQUESTS_PER_SECOND);
            }
        }
    }

    /// A proxy's stream has ended.
    pub fn left(&self, proxy: ProxyIndex) {
        let end = if self.killing.get() { StreamEnd::Broken } else { StreamEnd::ByConductor };
        self.observer.borrow_mut().left(self.now(), proxy, end);
    }
}

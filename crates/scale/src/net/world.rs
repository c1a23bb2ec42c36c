//! What the tasks of one point share: the fleet, what was observed, and the clock. All of them run on one thread.

use std::cell::{Cell, RefCell};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::watch;
use tokio::time::Instant;

use super::proxy::{Behaviour, Proxy};
use crate::core::channel::Channel;
use crate::core::fleet::{Change, Fleet};
use crate::core::ids::{Micros, ProxyIndex};
use crate::core::observer::Observer;
use crate::core::order::Decoder;
use crate::core::plan::Plan;

/// Names of the classes in the settings of every run.
pub const CLASSES: [&str; 2] = ["quote", "advance"];
/// Lines a second of a channel that holds up nobody, and lines that may wait in it.
pub const CHANNEL_LINES_PER_SECOND: f64 = 1e9;
pub const CHANNEL_LINES_MOST: f64 = 1e10;
/// Lines that each message costs beside its own.
pub const MESSAGE_HEAD: f64 = 6.0;
/// A message's way from the channel to its proxy.
pub const WAY: Duration = Duration::from_millis(200);

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
    pub fn new(plan: &Plan) -> World {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let fleet = Fleet::new(plan, epoch.as_millis() as u64);
        let channels = vec![Channel::new(CHANNEL_LINES_PER_SECOND); usize::from(plan.conductors)];
        let classes = CLASSES.map(String::from).to_vec();
        World {
            plan: plan.clone(),
            start: Instant::now(),
            version: watch::Sender::new(fleet.version()),
            fleet: RefCell::new(fleet),
            observer: RefCell::new(Observer::new(plan.proxies, classes.len(), channels, MESSAGE_HEAD)),
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
    pub fn joined(&self, proxy: Proxy) {
        let hangs = proxy.behaviour == Behaviour::Hangs;
        self.observer.borrow_mut().joined(self.now(), proxy.index, proxy.conductor, hangs);
    }

    /// A proxy's stream has ended.
    pub fn left(&self, proxy: ProxyIndex) {
        self.observer.borrow_mut().left(self.now(), proxy, self.killing.get());
    }
}

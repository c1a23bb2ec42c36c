//! Hooks beside the conductor's turns: a thread of its own takes the latest view, asks, and gives what is settled
//! back. A turn hands in a view and goes on; what comes back is heard as any input.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

use oatpitch::interface::Time;

use crate::core::guard::{Bounds, Settled};
use crate::core::standing::Terms;
use crate::core::view::View;
use crate::engine::Shown;
use crate::set::{Named, Report, Set};

/// What the conductor asks of its hooks.
pub enum Ask {
    /// A round over this view.
    Round(Time, Box<View>),
    /// Other hooks, or the same anew, tried on this view before they take part.
    Renew(Bounds, Terms, Vec<Named>, Box<View>),
    /// A line for each hook.
    List(Time),
}

/// What they say.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Settled(Settled, Vec<Report>),
    Renewed(Vec<Report>),
    Listed(Vec<String>),
}

/// Asks that may wait: a round and what operators ask for.
const WAITING: usize = 4;

/// The conductor's end of the thread.
pub struct Worker(SyncSender<Ask>);

impl Worker {
    /// Starts the thread; `tell` is called in it, and false ends it.
    pub fn start(bounds: Bounds, terms: Terms, tell: impl Fn(Told) -> bool + Send + 'static) -> Worker {
        let (asks, heard) = sync_channel(WAITING);
        thread::spawn(move || work(Set::new(bounds, terms), &heard, &tell));
        Worker(asks)
    }

    /// Hands in an ask; false where hooks are still at an earlier one. Nobody waits.
    pub fn ask(&self, ask: Ask) -> bool {
        match self.0.try_send(ask) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}

fn work(mut set: Set, asks: &Receiver<Ask>, tell: &impl Fn(Told) -> bool) {
    for ask in asks {
        let told = match ask {
            Ask::Round(now, view) => {
                let (settled, reports) = set.round(now, &Shown::from(*view));
                Told::Settled(settled, reports)
            }
            Ask::Renew(bounds, terms, named, view) => {
                Told::Renewed(set.renew(bounds, terms, named, &Shown::from(*view)))
            }
            Ask::List(now) => {
                let mut lines = set.list(now);
                let cuts = set.cuts.iter().map(|((hook, point, rule), count)| {
                    format!("cut of hook {} at {point}, {rule}: {count}", hook.0)
                });
                lines.extend(cuts);
                Told::Listed(lines)
            }
        };
        if !tell(told) {
            return;
        }
    }
}

//! Which hooks are asked: one that fails too often is put out, tried again after a growing wait, and taken back
//! once it has done well. A breaker over all of them keeps rounds short.

use std::collections::VecDeque;

use oatpitch::interface::Time;

/// When hooks are put out, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// So many failures within the span put a hook out.
    pub failures: usize,
    pub span: Time,
    /// For so long at first, doubled by each relapse, up to the most.
    pub wait: Time,
    pub wait_most: Time,
    /// So many good calls after a trial are forgiven.
    pub good: u32,
    /// Time that all hooks may take in one round.
    pub round: Time,
}

/// Failures remembered at most.
const FAILURES_MOST: usize = 1_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    In,
    /// One more failure puts it out again; so many good calls are wanted first.
    Trial(u32),
    /// Until then.
    Out(Time),
}

/// What became of a hook, to be told by name.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Put out after so many failures, for so long; the last one's cause.
    PutOut {
        failures: usize,
        wait: Time,
        cause: String,
    },
    /// Its wait is over: it is tried again.
    Tried,
    TakenBack,
}

#[derive(Clone, Debug)]
pub struct Standing {
    place: Place,
    failures: VecDeque<Time>,
    relapses: u32,
}

impl Default for Standing {
    fn default() -> Standing {
        Standing { place: Place::In, failures: VecDeque::new(), relapses: 0 }
    }
}

impl Standing {
    pub fn place(&self) -> Place {
        self.place
    }

    /// Whether it is asked now; its wait may be over.
    pub fn asked(&mut self, now: Time, terms: &Terms) -> (bool, Option<Step>) {
        match self.place {
            Place::Out(until) if now < until => (false, None),
            Place::Out(_) => {
                self.place = Place::Trial(terms.good);
                (true, Some(Step::Tried))
            }
            _ => (true, None),
        }
    }

    pub fn did_well(&mut self) -> Option<Step> {
        match self.place {
            Place::Trial(left) if left > 1 => self.place = Place::Trial(left - 1),
            Place::Trial(_) => {
                (self.place, self.relapses) = (Place::In, 0);
                self.failures.clear();
                return Some(Step::TakenBack);
            }
            _ => {}
        }
        None
    }

    pub fn failed(&mut self, now: Time, cause: &str, terms: &Terms) -> Option<Step> {
        self.failures.push_back(now);
        while self.failures.len() > FAILURES_MOST
            || self.failures.front().is_some_and(|at| now > *at + terms.span)
        {
            self.failures.pop_front();
        }
        let trial = matches!(self.place, Place::Trial(_));
        if !trial && self.failures.len() < terms.failures {
            return None;
        }
        let wait = Time(terms.wait.0.saturating_mul(1 << self.relapses.min(30))).min(terms.wait_most);
        self.relapses = self.relapses.saturating_add(1);
        self.place = Place::Out(now + wait);
        let failures = self.failures.len();
        self.failures.clear();
        Some(Step::PutOut { failures, wait, cause: cause.into() })
    }
}

/// Keeps a round within its time: what is not asked by then is not asked in it, and where that comes again and
/// again the one that took most is put out.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    used: Time,
    tripped: u32,
}

/// Rounds in a row over their time that put the dearest hook out.
const TRIPS_MOST: u32 = 3;

impl Breaker {
    pub fn begin(&mut self) {
        self.used = Time::default();
    }

    pub fn spend(&mut self, time: Time) {
        self.used = self.used + time;
    }

    /// What is left of the round.
    pub fn left(&self, terms: &Terms) -> Time {
        terms.round - self.used
    }

    /// The round is over; true where the dearest hook must go.
    pub fn end(&mut self, skipped: bool) -> bool {
        self.tripped = if skipped { self.tripped + 1 } else { 0 };
        let over = self.tripped >= TRIPS_MOST;
        if over {
            self.tripped = 0;
        }
        over
    }
}

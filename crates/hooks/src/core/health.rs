//! Suspension of hooks: one that fails too often is suspended, called again on trial after a growing delay, and
//! reinstated after enough rounds without a failure. A time budget over all hooks keeps rounds short.

use std::collections::VecDeque;

use oatpitch::interface::Time;

/// When hooks are suspended, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct SuspensionPolicy {
    /// Failures within `failure_window` that suspend a hook.
    pub failure_threshold: usize,
    /// Age beyond which a failure no longer counts.
    pub failure_window: Time,
    /// The first suspension; each further one before the hook is reinstated is twice as long.
    pub initial_suspension: Time,
    /// The longest suspension.
    pub max_suspension: Time,
    /// Rounds on trial, without a failed call, after which a hook is reinstated.
    pub trial_calls: u32,
    /// Time that all hooks together may take in one round.
    pub round_time_limit: Time,
}

/// Most failures remembered of one hook.
const MAX_REMEMBERED_FAILURES: usize = 1_000;
/// Most doublings of the suspension, so that the shift cannot overflow.
const MAX_SUSPENSION_DOUBLINGS: u32 = 30;

/// Whether a hook is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HookState {
    /// The hook is called in every round.
    Active,
    /// The hook is called, and one failure suspends it again. Holds the rounds still required without one.
    Trial(u32),
    /// The hook is not called before this time.
    Suspended(Time),
}

/// A change of a hook's state, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Transition {
    /// The hook was suspended.
    Suspended {
        /// Failures that led to it.
        failures: usize,
        /// How long the hook is suspended.
        wait: Time,
        /// The cause of the last failure.
        cause: String,
    },
    /// The suspension is over, and the hook is called on trial.
    TrialStarted,
    /// The hook passed its trial.
    Reinstated,
}

/// A hook's state, and the failures that it follows from.
#[derive(Clone, Debug)]
pub struct HookHealth {
    state: HookState,
    /// Times of the failures within the window.
    failures: VecDeque<Time>,
    /// Suspensions since the hook was last active.
    suspensions: u32,
}

impl Default for HookHealth {
    fn default() -> HookHealth {
        HookHealth { state: HookState::Active, failures: VecDeque::new(), suspensions: 0 }
    }
}

impl HookHealth {
    /// Returns the hook's state.
    pub fn state(&self) -> HookState {
        self.state
    }

    /// Returns whether the hook is called in this round. A suspension that is over becomes a trial, which is
    /// returned as a transition.
    pub fn begin_round(&mut self, now: Time, policy: &SuspensionPolicy) -> (bool, Option<Transition>) {
        match self.state {
            HookState::Suspended(until) if now < until => (false, None),
            HookState::Suspended(_) => {
                self.state = HookState::Trial(policy.trial_calls);
                (true, Some(Transition::TrialStarted))
            }
            _ => (true, None),
        }
    }

    /// Records a round in which no call of the hook failed.
    pub fn record_success(&mut self) -> Option<Transition> {
        match self.state {
            HookState::Trial(rounds_left) if rounds_left > 1 => {
                self.state = HookState::Trial(rounds_left - 1);
                None
            }
            HookState::Trial(_) => {
                self.state = HookState::Active;
                self.suspensions = 0;
                self.failures.clear();
                Some(Transition::Reinstated)
            }
            _ => None,
        }
    }

    /// Records a failed call, and suspends the hook if it is on trial or has reached the threshold.
    pub fn record_failure(
        &mut self,
        now: Time,
        cause: &str,
        policy: &SuspensionPolicy,
    ) -> Option<Transition> {
        self.failures.push_back(now);
        self.forget_old_failures(now, policy);
        let on_trial = matches!(self.state, HookState::Trial(_));
        if !on_trial && self.failures.len() < policy.failure_threshold {
            return None;
        }
        let doublings = self.suspensions.min(MAX_SUSPENSION_DOUBLINGS);
        let wait =
            Time(policy.initial_suspension.0.saturating_mul(1 << doublings)).min(policy.max_suspension);
        self.suspensions = self.suspensions.saturating_add(1);
        self.state = HookState::Suspended(now + wait);
        let failures = self.failures.len();
        self.failures.clear();
        Some(Transition::Suspended { failures, wait, cause: cause.into() })
    }

    fn forget_old_failures(&mut self, now: Time, policy: &SuspensionPolicy) {
        while self.failures.len() > MAX_REMEMBERED_FAILURES
            || self.failures.front().is_some_and(|at| now > *at + policy.failure_window)
        {
            self.failures.pop_front();
        }
    }
}

/// Consecutive rounds over their time limit after which the most expensive hook is suspended.
const MAX_CONSECUTIVE_OVERRUNS: u32 = 3;

/// Keeps a round within its time: hooks whose turn comes after the limit are not called in that round, and where
/// that happens in several rounds in a row the most expensive hook is to be suspended.
#[derive(Clone, Debug, Default)]
pub struct RoundBudget {
    used: Time,
    consecutive_overruns: u32,
}

impl RoundBudget {
    /// Starts a round with nothing used.
    pub fn start(&mut self) {
        self.used = Time::default();
    }

    /// Adds the time that a call took.
    pub fn spend(&mut self, time: Time) {
        self.used = self.used + time;
    }

    /// Returns the time left in the round.
    pub fn remaining(&self, policy: &SuspensionPolicy) -> Time {
        policy.round_time_limit - self.used
    }

    /// Ends a round, in which calls may have been skipped. Returns whether the most expensive hook must be
    /// suspended.
    pub fn finish(&mut self, skipped: bool) -> bool {
        self.consecutive_overruns = if skipped { self.consecutive_overruns + 1 } else { 0 };
        let exhausted = self.consecutive_overruns >= MAX_CONSECUTIVE_OVERRUNS;
        if exhausted {
            self.consecutive_overruns = 0;
        }
        exhausted
    }
}

//! Strain of the fleet: how far it falls short of its work, by what the joined proxies reported.

use super::*;

/// Share of failed tries above which the fleet is moderately strained.
const MODERATE_FAILED_SHARE: f64 = 0.03;

/// Mean time, as a share of the mean target time, above which the fleet is moderately strained.
const MODERATE_TIME_SHARE: f64 = 0.22;

/// Mean time, as a share of the mean target time, above which the fleet is severely strained.
const SEVERE_TIME_SHARE: f64 = 0.8;

/// Reported tries that are enough to judge the strain by (count).
const STRAIN_TRIES_MIN: u64 = 8;

/// How far the fleet as a whole falls short of its work. Further tries would feed an overload.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Strain {
    /// The fleet keeps up.
    #[default]
    Low,
    /// Only tries that never ran are repeated.
    Moderate,
    /// No try is repeated.
    Severe,
}

impl Strain {
    /// Returns the strain that a share of failed tries and a mean time, as a share of the target, amount to.
    fn measured(failed_share: f64, time_share: f64) -> Strain {
        if failed_share > SEVERE_FAILED_SHARE || time_share > SEVERE_TIME_SHARE {
            Strain::Severe
        } else if failed_share > MODERATE_FAILED_SHARE || time_share > MODERATE_TIME_SHARE {
            Strain::Moderate
        } else {
            Strain::Low
        }
    }
}

impl Display for Strain {
    /// Writes the name that the log has for it. These names are older than the variants' and must stay, as
    /// they travel on the simulator's wire.
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            Strain::Low => "Calm",
            Strain::Moderate => "Tense",
            Strain::Severe => "Short",
        })
    }
}

/// What was reported that shows the strain.
#[derive(Clone, Copy, Default)]
pub(super) struct StrainEvidence {
    /// Tries reported since the strain was last confirmed (count).
    tries: u64,
    /// When exchanges of joined proxies were last reported.
    exchanges_reported_at: Time,
    /// Since when exchanges have been reported, one report soon after the other, with no try in between.
    exchanges_without_tries_since: Option<Time>,
}

impl StrainEvidence {
    /// Records that tries ended.
    pub(super) fn record_tries(&mut self, tries: u32) {
        self.tries = self.tries.saturating_add(tries.into());
        if tries > 0 {
            self.exchanges_without_tries_since = None;
        }
    }

    /// Records that exchanges came to a joined proxy. Reports come at the interval `period`.
    pub(super) fn record_exchanges(&mut self, now: Time, exchanges: u32, period: Time) {
        if exchanges == 0 {
            return;
        }
        if !self.has_exchanges(now, period) {
            self.exchanges_without_tries_since = None;
        }
        self.exchanges_without_tries_since.get_or_insert(now);
        self.exchanges_reported_at = now;
    }

    /// Whether it can show that a strain is over. The absence of reports shows that only where the proxies have
    /// no exchanges: reports of tries may be lost, or late.
    fn is_sufficient(&self, now: Time, period: Time) -> bool {
        self.tries >= STRAIN_TRIES_MIN || !self.has_exchanges(now, period)
    }

    /// Whether exchanges come to the joined proxies.
    fn has_exchanges(&self, now: Time, period: Time) -> bool {
        now < self.exchanges_reported_at + period + HOLD_TIME
    }

    /// Whether exchanges come to the joined proxies, but none of their tries was reported although reports have
    /// had a time of `delay` to show them, and [`HOLD_TIME`] more: reports are missing, or all tries still run.
    fn lacks_tries(&self, now: Time, period: Time, delay: Time) -> bool {
        let is_overdue = |since: Time| now >= since + delay + HOLD_TIME;
        self.has_exchanges(now, period) && self.exchanges_without_tries_since.is_some_and(is_overdue)
    }
}

/// Usual rates of the joined proxies, in exchanges a second.
#[derive(Default)]
pub(super) struct JoinedRates {
    /// Sum over the proxies that joined within [`HOLD_TIME`]: reports may not cover them yet.
    newcomers: f64,
    /// Sum over all others.
    settled: f64,
}

impl Balance {
    /// Counts a proxy that joins. Where that leaves the strain unknown, the fleet counts as severely strained, and
    /// its proxies as quick to avoid failing nodes, before this one is sent a table.
    pub(super) fn count_newcomer(&mut self, rate: f64) {
        self.fleet.joined_rates.newcomers += rate;
        if self.strain_is_unknown() {
            self.fleet.strain_unknown_at = self.now;
            self.fleet.proxies_shift_load = true;
            self.assume_severe_strain();
        }
    }

    /// Counts a proxy that leaves.
    pub(super) fn count_leaver(&mut self, joined_at: Time, rate: f64) {
        let was_settled = joined_at <= self.fleet.checked_at - HOLD_TIME;
        let JoinedRates { newcomers, settled } = &mut self.fleet.joined_rates;
        let sum = if was_settled { settled } else { newcomers };
        *sum = (*sum - rate).max(0.0);
    }

    /// Counts the joined proxies anew.
    pub(super) fn update_joined_rates(&mut self) {
        let settled_before = self.now - HOLD_TIME;
        let mut rates = JoinedRates::default();
        for proxy in self.proxies.values() {
            if proxy.joined_at <= settled_before {
                rates.settled += proxy.rate;
            } else {
                rates.newcomers += proxy.rate;
            }
        }
        self.fleet.joined_rates = rates;
    }

    /// Whether nothing that was reported tells how the fleet copes with what the joined proxies bring: there are
    /// none, their tries are no longer reported, or most of their exchanges are those of newcomers and hardly a
    /// try was reported lately.
    pub(super) fn strain_is_unknown(&self) -> bool {
        let JoinedRates { newcomers, settled } = self.fleet.joined_rates;
        let is_unheard = newcomers > settled && !self.has_enough_tries();
        self.proxies.is_empty() || is_unheard || self.tries_are_unreported()
    }

    /// Whether exchanges come to the joined proxies, but reports of their tries are missing.
    fn tries_are_unreported(&self) -> bool {
        let settings = &self.settings;
        self.fleet.strain_evidence.lacks_tries(self.now, settings.summary_period, settings.feedback_delay())
    }

    /// Updates the strain where nothing was reported that tells it.
    pub(super) fn update_unknown_strain(&mut self) {
        self.assume_severe_strain();
        if self.proxies.is_empty() {
            self.confirm_strain();
        }
    }

    /// Takes the fleet to be severely strained, as at a start, until reports show otherwise. What follows for the
    /// table goes out before any proxy is bound to it.
    fn assume_severe_strain(&mut self) {
        if self.fleet.strain == Strain::Severe {
            return;
        }
        self.fleet.strain = Strain::Severe;
        self.confirm_strain();
        self.fleet.assumed_strain_unlogged = true;
        self.recheck_table = true;
        self.table.flush_at_once = true;
    }

    /// Logs that the fleet was taken to be severely strained, once each time.
    pub(super) fn log_assumed_strain(&mut self, orders: &mut dyn Orders) {
        if std::mem::take(&mut self.fleet.assumed_strain_unlogged) {
            let tries = self.recent_tries();
            let proxies = self.proxies.len();
            let strain = Strain::Severe;
            orders.log_note(
                None,
                &format!("fleet {strain}: {tries:.0} tries reported, {proxies} proxies joined"),
            );
        }
    }

    /// Has the current strain last for at least [`HOLD_TIME`] from now on.
    fn confirm_strain(&mut self) {
        self.fleet.strain_last_confirmed_at = self.now;
        self.fleet.strain_evidence.tries = 0;
    }

    /// Whether a smaller strain than the current one has lasted for [`HOLD_TIME`], was reported by enough tries,
    /// and reports had the time to cover the proxies that joined while it was unknown.
    fn strain_is_over(&self) -> bool {
        let fleet = &self.fleet;
        self.now >= fleet.strain_last_confirmed_at + HOLD_TIME
            && self.now >= fleet.strain_unknown_at + self.settings.feedback_delay()
            && fleet.strain_evidence.is_sufficient(self.now, self.settings.summary_period)
    }

    /// Updates the strain of the fleet by the share of failed tries and the mean time as a share of the
    /// target. A greater strain applies at once, a smaller one only once the current one is over.
    pub(super) fn update_strain(&mut self, failed_share: f64, time_share: f64, orders: &mut dyn Orders) {
        let strain = Strain::measured(failed_share, time_share);
        let former = self.fleet.strain;
        if strain >= former {
            self.confirm_strain();
        }
        if strain > former {
            orders.log_note(
                None,
                &format!("fleet {strain}: {failed_share:.2} of tries lost, {time_share:.2} of target"),
            );
            self.fleet.strain = strain;
        } else if strain < former && self.strain_is_over() {
            let tries = self.recent_tries();
            orders.log_note(
                None,
                &format!(
                    "fleet eased to {strain}: {failed_share:.2} of {tries:.0} tries failed, {time_share:.2} of \
                     target, {} proxies joined",
                    self.proxies.len()
                ),
            );
            self.fleet.strain = strain;
        }
    }

    /// Whether enough tries were reported lately to judge the fleet as a whole by.
    pub(super) fn has_enough_tries(&self) -> bool {
        self.recent_tries() >= STRAIN_TRIES_MIN as f64
    }

    /// Returns the tries reported lately, over about the time constant of a node's sums (count).
    pub(super) fn recent_tries(&self) -> f64 {
        self.fleet.tries.count.rate(self.now, self.settings.summary_period) * NODE_DECAY_MS as f64 / 1e3
    }
}

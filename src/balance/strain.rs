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

/// What was reported since the strain was last confirmed.
#[derive(Clone, Copy, Default)]
pub(super) struct StrainEvidence {
    /// Tries that ended (count).
    tries: u64,
    /// Exchanges that came to the joined proxies (count).
    exchanges: u64,
}

impl StrainEvidence {
    /// Whether it can show that a strain is over. The absence of reports shows that only where the proxies have
    /// no exchanges: reports of tries may be lost, or late.
    fn is_sufficient(&self) -> bool {
        self.tries >= STRAIN_TRIES_MIN || self.exchanges == 0
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
    /// Records that tries were reported, for the strain of the fleet.
    pub(super) fn record_strain_tries(&mut self, tries: u32) {
        let evidence = &mut self.fleet.strain_evidence;
        evidence.tries = evidence.tries.saturating_add(tries.into());
    }

    /// Records that exchanges of joined proxies were reported, for the strain of the fleet.
    pub(super) fn record_strain_exchanges(&mut self, exchanges: u32) {
        let evidence = &mut self.fleet.strain_evidence;
        evidence.exchanges = evidence.exchanges.saturating_add(exchanges.into());
    }

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
    /// none, or most of their exchanges are those of newcomers and hardly a try was reported lately.
    pub(super) fn strain_is_unknown(&self) -> bool {
        let JoinedRates { newcomers, settled } = self.fleet.joined_rates;
        self.proxies.is_empty() || newcomers > settled && self.recent_tries() < STRAIN_TRIES_MIN as f64
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
        self.recheck_table = true;
        self.table.flush_at_once = true;
    }

    /// Has the current strain last for at least [`HOLD_TIME`] from now on.
    fn confirm_strain(&mut self) {
        self.fleet.strain_last_confirmed_at = self.now;
        self.fleet.strain_evidence = StrainEvidence::default();
    }

    /// Whether a smaller strain than the current one has lasted for [`HOLD_TIME`], was reported by enough tries,
    /// and reports had the time to cover the proxies that joined while it was unknown.
    fn strain_is_over(&self) -> bool {
        let fleet = &self.fleet;
        self.now >= fleet.strain_last_confirmed_at + HOLD_TIME
            && self.now >= fleet.strain_unknown_at + self.settings.feedback_delay()
            && fleet.strain_evidence.is_sufficient()
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

    /// Returns the tries reported lately, over about the time constant of a node's sums (count).
    pub(super) fn recent_tries(&self) -> f64 {
        self.fleet.tries.count.rate(self.now, self.settings.summary_period) * NODE_DECAY_MS as f64 / 1e3
    }
}

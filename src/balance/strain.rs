//! Strain of the fleet: how far it falls short of its work, by what the joined proxies reported.

use super::*;

/// Share of failed tries above which the fleet is moderately strained.
const MODERATE_FAILED_SHARE: f64 = 0.03;

/// Mean time, as a share of the mean target time, above which the fleet is moderately strained.
const MODERATE_TIME_SHARE: f64 = 0.22;

/// Mean time, as a share of the mean target time, above which the fleet is severely strained.
const SEVERE_TIME_SHARE: f64 = 0.8;

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

impl Balance {
    /// Updates the strain of the fleet by the share of failed tries and the mean time as a share of the
    /// target. A greater strain applies at once, a smaller one only after [`HOLD_TIME`].
    pub(super) fn update_strain(&mut self, failed_share: f64, time_share: f64, orders: &mut dyn Orders) {
        let strain = Strain::measured(failed_share, time_share);
        let former = self.fleet.strain;
        if strain >= former {
            self.fleet.strain_last_confirmed_at = self.now;
        }
        if strain > former {
            orders.log_note(
                None,
                &format!("fleet {strain}: {failed_share:.2} of tries lost, {time_share:.2} of target"),
            );
            self.fleet.strain = strain;
        } else if strain < former && self.now >= self.fleet.strain_last_confirmed_at + HOLD_TIME {
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

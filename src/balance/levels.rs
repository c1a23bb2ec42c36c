//! Levels, which limit what is admitted while the fleet falls short of its work.

use super::*;

/// Smallest factor by which one cut reduces the admitted work.
const LEVEL_CUT_FACTOR_MIN: f64 = 0.5;

/// Greatest factor by which one cut reduces the admitted work.
const LEVEL_CUT_FACTOR_MAX: f64 = 0.9;

/// Factor by which one raise increases the admitted work once the fleet keeps up.
const LEVEL_RAISE_FACTOR: f64 = 1.25;

impl Balance {
    /// Sets how much of each class is admitted while the fleet falls short. Levels follow from the reported
    /// demand and the estimated capacity, which goes to the classes with the highest gain for their work
    /// first. The target time of a class stands for its work. What is not admitted is refused at once.
    pub(super) fn set_levels(&mut self, orders: &mut dyn Orders) -> bool {
        if self.settings.level_kind == LevelKind::Ignored || self.now < self.fleet.levels_due {
            return false;
        }
        self.fleet.levels_due = self.now + self.settings.feedback_delay();
        self.recheck_table = true;
        let classes = 0..self.fleet.levels.len();
        let rates: Vec<f64> = classes.map(|class| self.demand(class).sum()).collect();
        let work: Vec<f64> =
            self.settings.class_terms.iter().map(|terms| terms.target_time.seconds()).collect();
        let wanted: f64 = rates.iter().zip(&work).map(|(rate, work)| rate * work).sum();
        self.update_capacity(wanted);
        if let Some(capacity) = self.fleet.capacity {
            orders.log_note(
                None,
                &format!("levels: {wanted:.0} s of work a second asked, {capacity:.0} let in"),
            );
        }
        self.share_out_capacity(&rates, &work);
        true
    }

    /// Updates the capacity of the fleet, given the work a second that is wanted: raises it until the demand
    /// fits, and cuts it while the fleet falls short. It stays as it is while nothing is heard of the fleet.
    fn update_capacity(&mut self, wanted: f64) {
        if self.strain_is_unknown() && !self.proxies.is_empty() {
            return;
        }
        let (failed_share, mean_time) = self.fleet.tries.failure_share_and_mean_time(self.now);
        let keeps_up =
            failed_share <= SEVERE_FAILED_SHARE / 2.0 && mean_time <= SPARE_TIME_SHARE * self.mean_target();
        let capacity = self.fleet.capacity;
        if keeps_up {
            let raised = capacity.map(|capacity| capacity * LEVEL_RAISE_FACTOR);
            self.fleet.capacity = raised.filter(|capacity| *capacity < wanted);
        } else if self.fleet.strain == Strain::Severe {
            // What was admitted before runs on until its deadline.
            let deadlines = self.settings.class_terms.iter().map(|terms| terms.deadline);
            self.fleet.levels_due = self.fleet.levels_due + deadlines.max().unwrap_or_default();
            let admitted = capacity.unwrap_or(wanted).min(wanted);
            let factor = (1.0 - failed_share).clamp(LEVEL_CUT_FACTOR_MIN, LEVEL_CUT_FACTOR_MAX);
            self.fleet.capacity = Some(admitted * factor);
        }
    }

    /// Shares the capacity out to the classes, given the rate and the work of each.
    fn share_out_capacity(&mut self, rates: &[f64], work: &[f64]) {
        let mut left = self.fleet.capacity.unwrap_or(f64::MAX);
        let gain_for_work =
            |class: usize| self.settings.class_terms[class].gain / work[class].max(DIVISOR_MIN);
        let mut classes: Vec<usize> = (0..rates.len()).collect();
        classes.sort_by(|a, b| gain_for_work(*b).total_cmp(&gain_for_work(*a)));
        for class in classes {
            let wanted = rates[class] * work[class];
            let share = (left / wanted.max(DIVISOR_MIN)).clamp(LEVEL_SHARE_MIN, 1.0);
            left = (left - wanted).max(0.0);
            self.fleet.levels[class] = self.level_for(class, share);
        }
    }

    /// Returns the level that admits a share of a class.
    fn level_for(&self, class: usize, share: f64) -> f64 {
        if share >= 1.0 {
            return ADMIT_ALL;
        }
        match self.settings.level_kind {
            LevelKind::Share => share,
            LevelKind::Rate | LevelKind::Ignored => rate_limit(self.demand(class).collect(), share),
        }
    }

    /// Returns the retry policy and the level that each class should have.
    pub(super) fn target_levels(&self) -> Vec<(RetryPolicy, f64)> {
        let unlimited = std::iter::repeat((RetryPolicy::Twice, ADMIT_ALL));
        let limits = self.advice.max_levels.iter().copied().chain(unlimited);
        let classes = self.settings.class_terms.iter().zip(&self.fleet.levels);
        let own =
            classes.map(|(terms, level)| (self.settings.retry_policy(terms, self.fleet.strain), *level));
        // Advice can only admit less and allow fewer tries, never more.
        own.zip(limits).map(|(own, limit)| (own.0.min(limit.0), own.1.min(limit.1))).collect()
    }
}

/// Returns the limit on the rate at each proxy that admits a share of the rates of all proxies.
fn rate_limit(mut rates: Vec<f64>, share: f64) -> f64 {
    rates.sort_by(f64::total_cmp);
    let mut left = share * rates.iter().sum::<f64>();
    for (k, rate) in rates.iter().enumerate() {
        let limit = left / (rates.len() - k) as f64;
        if *rate >= limit {
            return limit.max(LEVEL_RATE_MIN);
        }
        left -= rate;
    }
    ADMIT_ALL
}

//! Exponentially decaying sums, statistics of tries, quantiles, and a seeded random generator.

use crate::interface::{Time, TrySummary};

/// An exponentially decaying sum with a time constant of `MS` milliseconds.
#[derive(Clone, Copy, Default)]
pub struct DecayingSum<const MS: u64> {
    sum: f64,
    /// When an amount was last added.
    updated: Time,
}

impl<const MS: u64> DecayingSum<MS> {
    /// Returns the decayed sum.
    pub fn value(&self, now: Time) -> f64 {
        self.sum * (-(now - self.updated).seconds() * 1e3 / MS as f64).exp()
    }

    /// Returns the amount added per second, where amounts are added once per period.
    pub fn rate(&self, now: Time, period: Time) -> f64 {
        let after_last_period = self.value((now - period).max(self.updated));
        let period = period.seconds().max(1e-3);
        after_last_period * (1.0 - (-period * 1e3 / MS as f64).exp()) / period
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Time, amount: f64) {
        *self = DecayingSum { sum: self.value(now) + amount, updated: now };
    }
}

/// Decaying statistics of finished tries.
#[derive(Clone, Copy, Default)]
pub struct TryStats<const MS: u64> {
    /// Number of tries.
    pub count: DecayingSum<MS>,
    /// Number of failed tries.
    failed: DecayingSum<MS>,
    /// Total time of the successful tries, in seconds.
    seconds: DecayingSum<MS>,
}

impl<const MS: u64> TryStats<MS> {
    /// Adds the tries of a summary, of which `failed` count as failed.
    pub fn add(&mut self, now: Time, summary: &TrySummary, failed: u32) {
        self.count.add(now, summary.tries.into());
        self.failed.add(now, failed.into());
        self.seconds.add(now, f64::from(summary.tries - failed) * summary.mean_time.seconds());
    }

    /// Returns the number of tries, the number of failed ones, and the total time of the successful ones in
    /// seconds.
    pub fn totals(&self, now: Time) -> [f64; 3] {
        [self.count.value(now), self.failed.value(now), self.seconds.value(now)]
    }

    /// Returns the share of failed tries, and the mean time of the successful ones in seconds.
    pub fn failure_share_and_mean_time(&self, now: Time) -> (f64, f64) {
        let [count, failed, seconds] = self.totals(now);
        let failure_share = failed / count.max(1.0);
        let mean_time = seconds / (count - failed).max(1e-3);
        (failure_share, mean_time)
    }
}

/// Returns the value below which a share of all values lies, or 0 if there are none. Each value comes with
/// the number of times that it counts.
pub fn quantile(values: impl Iterator<Item = (f64, usize)>, share: f64) -> f64 {
    let mut values: Vec<(f64, usize)> = values.collect();
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let total: usize = values.iter().map(|(_, count)| count).sum();
    let mut remaining = (total as f64 * share) as usize;
    for (value, count) in values {
        if remaining < count {
            return value;
        }
        remaining -= count;
    }
    0.0
}

/// A multiply-with-carry random generator: its state holds the carry in the high word and the last output in
/// the low.
pub struct RandomGenerator(u64);

impl RandomGenerator {
    const MULTIPLIER: u64 = 4_294_957_665;
    const LOW_WORD: u64 = 0xffff_ffff;

    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> RandomGenerator {
        // The low word must not be 0, and the carry must stay below the multiplier.
        RandomGenerator((seed >> 33 << 32) | (seed & Self::LOW_WORD) | 1)
    }

    /// Returns a number from 0 to below 1.
    pub fn next_f64(&mut self) -> f64 {
        let low = self.0 & Self::LOW_WORD;
        let carry = self.0 >> 32;
        self.0 = Self::MULTIPLIER.wrapping_mul(low).wrapping_add(carry);
        (self.0 & Self::LOW_WORD) as f64 / 4_294_967_296.0
    }
}

//! How a node stands among the others of its part, as the proxies of its zone see them, and the load that
//! these proxies would bring to cold nodes if they shifted all of it to those. It decides nothing.

use super::*;
use crate::index::PartZone;

/// Share of the warm weight that a zone sees above which nodes with queued exchanges make the part saturated.
const SATURATED_SHARE: f64 = 0.5;

/// Tolerance, in tenths of a share, for rounding errors when a share is rounded up to whole tenths.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Rates of the proxies, gathered when the health of nodes is checked. Empty where the table is not split:
/// all proxies then share all nodes, and the failures of the whole fleet are evidence enough.
#[derive(Default)]
pub(super) struct LoadShift {
    /// Exchanges a second of the bound proxies that are quick to avoid failing nodes, by part and zone of the
    /// proxy.
    rates: BTreeMap<PartZone, f64>,
    /// Exchanges a second that all proxies, whichever conductor they have joined, bring to a unit of listed
    /// weight on average, if the proxies joined here are like the rest.
    usual_load: f64,
}

/// The listed weight of a part as a zone sees it.
pub(super) struct Surroundings {
    /// Share of it that is warm.
    pub warm_share: f64,
    /// Share of it that stands in the table, in whole tenths.
    pub standing_share: f64,
    /// Whether most of the warm nodes report exchanges that wait, so that proxies may avoid all of them.
    pub saturated: bool,
    /// Load that the zone's proxies in [`LoadShift`] bring to the cold nodes if they send only to those, as a
    /// multiple of the fleet's usual load.
    pub shifted_load: f64,
}

impl Balance {
    /// Returns the rates of the proxies that shift their load.
    pub(super) fn load_shift(&self) -> LoadShift {
        if self.table.parts == 1 || self.proxies.is_empty() {
            return LoadShift::default();
        }
        let mut rates: BTreeMap<PartZone, f64> = BTreeMap::new();
        for proxy in self.proxies.values().filter(|proxy| proxy.bound && self.avoids_quickly(proxy)) {
            *rates.entry((proxy.part, proxy.zone)).or_default() += proxy.rate;
        }
        let joined = self.proxies.len() as f64;
        let mean_rate = self.proxies.values().map(|proxy| proxy.rate).sum::<f64>() / joined;
        let weight_of = |part| self.index.weights_seen_from((part, ZoneId::default()), 1.0).normal();
        let weight: f64 = (0..self.table.parts).map(weight_of).sum();
        let usual_load = mean_rate * joined.max(self.settings.proxy_count.into()) / weight;
        LoadShift { rates, usual_load }
    }

    /// Whether a proxy avoids the failing nodes of its part before they show in the reports.
    fn avoids_quickly(&self, proxy: &Proxy) -> bool {
        let lines = self.index.ready_count() as f64 / f64::from(self.table.parts);
        f64::from(self.settings.avoid_after_failures) * lines / proxy.rate
            < self.settings.feedback_delay().seconds()
    }

    /// Returns a part as a zone sees it.
    pub(super) fn surroundings(&self, part: u16, zone: ZoneId) -> Surroundings {
        let seen = self.index.weights_seen_from((part, zone), self.remote_share());
        let load_shift = &self.fleet.load_shift;
        let standing_tenths = (10.0 * seen.usable / seen.normal() - ROUNDING_TOLERANCE).ceil();
        let rate = load_shift.rates.get(&(part, zone)).copied().unwrap_or(0.0);
        Surroundings {
            warm_share: seen.warm / seen.normal(),
            standing_share: standing_tenths.max(1.0) / 10.0,
            saturated: seen.queueing > SATURATED_SHARE * seen.warm,
            shifted_load: if rate > 0.0 { rate / seen.cold / load_shift.usual_load } else { 0.0 },
        }
    }
}

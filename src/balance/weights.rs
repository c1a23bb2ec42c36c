//! Weights at which nodes should stand in the table.

use super::*;

/// Greatest share of its weight at which a node stands in the tables of other zones, so that a hot zone can
/// spill.
const REMOTE_SHARE_MAX: f64 = 0.2;

/// Product of a node's share of weight in the tables of other zones and the fee for a try across zones (in
/// parts of an exchange's gain): the higher the fee, the smaller the share.
const REMOTE_SHARE_TIMES_FEE: f64 = 0.008;

/// Smallest share of a node's listed weight at which its line stands.
const LINE_SHARE_MIN: f64 = 0.01;

/// Share of its weight with which a starting node begins.
const WARM_UP_START_SHARE: f64 = 0.1;

/// Share of the load that overloads a cold node up to which a warming node is used, by strain: listed weights
/// are inaccurate, and overloads multiply.
const COLD_LOAD_SHARE: [f64; 3] = [0.4, 0.24, 0.1];

/// The same share where a node's load reports show headroom, as these would reveal an overload, too.
const COLD_LOAD_SHARE_WITH_HEADROOM: f64 = 0.6;

/// Cold nodes get all the load that they can take where this factor times the share of cold nodes reaches 1.
const MASS_RESTART_FACTOR: f64 = 2.0;

impl Balance {
    /// Whether own-zone classes may use a node. Only warm nodes qualify: a cold one might get all exchanges
    /// of its zone, and the guarantee that no proxy is without a line counts warm nodes only.
    pub(super) fn may_serve_own_zone(&self, node: &Node) -> bool {
        self.table.own_zone_groups > 0
            && node.unavailable_since.is_none()
            && node.is_warm_by_age(self.now, &self.settings)
    }

    /// Returns the share of its weight at which a node stands in the views of other zones.
    pub(super) fn remote_share(&self) -> f64 {
        if self.table.parts == 1 {
            return 1.0;
        }
        (REMOTE_SHARE_TIMES_FEE / self.settings.cross_zone_fee).min(REMOTE_SHARE_MAX)
    }

    /// Returns the share of its weight at which a node stands in the view of a zone.
    pub(super) fn share_in_zone(&self, node: &Node, zone: ZoneId) -> f64 {
        if node.zone == zone { 1.0 } else { self.remote_share() }
    }

    /// Returns the weight at which a node should stand in the shared table; 0 for no line.
    pub(super) fn target_weight(&self, id: &NodeId, node: &Node, around: &Surroundings) -> f64 {
        if node.unavailable_since.is_some() {
            return 0.0;
        }
        let advised = self.advice.weight_shares.get(id).copied().unwrap_or(1.0);
        let share = if node.is_warmed_up() {
            node.warm_up_share() * advised
        } else {
            // Advice can't give a cold node more.
            let Some(share) = self.cold_share(node, around) else { return 0.0 };
            share * advised.min(1.0)
        };
        node.listed_weight * (share * node.health_share).max(LINE_SHARE_MIN)
    }

    /// Returns the share of its weight that a cold node may have; nothing where it must not have a line.
    fn cold_share(&self, node: &Node, around: &Surroundings) -> Option<f64> {
        let capacity_share = self.settings.cold_capacity_share
            + (1.0 - self.settings.cold_capacity_share) * node.warm_up_progress();
        // A node that is warm by the settings must have a line, even while its ramp still has steps left.
        let is_warm_by_age = node.is_warm_by_age(self.now, &self.settings);
        if !is_warm_by_age && self.shifted_load_may_overload_cold(capacity_share, around) {
            return None;
        }
        let mut share = node.warm_up_share();
        let mut strain = self.fleet.strain;
        if !self.fleet.proxies_shift_load {
            // Where much of the fleet restarts, the remaining warm nodes can't take all of the load
            // meanwhile.
            share = share.max(capacity_share * (MASS_RESTART_FACTOR * (1.0 - around.warm_share)).min(1.0));
            strain = strain.min(Strain::Moderate);
        }
        // Cold nodes must not be overloaded: where few nodes are warm, the load that the missing ones leave
        // must not fall on the cold ones.
        let overload = capacity_share * self.settings.cold_overload_factor * around.standing_share;
        let usual_limit = overload * COLD_LOAD_SHARE[strain as usize];
        let limit_with_headroom = node.headroom.min(overload * COLD_LOAD_SHARE_WITH_HEADROOM);
        Some(share.min(usual_limit.max(limit_with_headroom)))
    }

    /// Whether proxies that shift their load could overload a cold node that does a share of its usual work.
    /// Proxies that avoid failing nodes shift their load to the remaining nodes, however small the weights of
    /// those are. When the fleet or what the proxies see of it is overloaded, cold nodes get no line beside
    /// warm ones.
    fn shifted_load_may_overload_cold(&self, capacity_share: f64, around: &Surroundings) -> bool {
        let shifted_load_overloads =
            around.saturated && around.shifted_load > capacity_share * self.settings.cold_overload_factor;
        let mass_failure = self.now < self.fleet.mass_failure_at + HOLD_TIME;
        let overloaded = self.fleet.strain == Strain::Severe || mass_failure || shifted_load_overloads;
        self.fleet.proxies_shift_load
            && overloaded
            && around.warm_share > 0.0
            && self.settings.avoid_after_failures > 0
    }
}

impl Node {
    /// Whether it started so long ago that it is warm by the settings. Its ramp may lag behind that.
    fn is_warm_by_age(&self, now: Time, settings: &ServiceSettings) -> bool {
        self.started.is_none_or(|at| now >= at + settings.warm_up_time)
    }

    /// Returns how much of its warm-up is done, from 0 to 1.
    pub(super) fn warm_up_progress(&self) -> f64 {
        f64::from(self.warm_up_step) / f64::from(WARM_UP_STEPS)
    }

    /// Returns the share of its weight that its warm-up has reached.
    fn warm_up_share(&self) -> f64 {
        WARM_UP_START_SHARE + (1.0 - WARM_UP_START_SHARE) * self.warm_up_progress()
    }
}

//! Health of nodes: judges each node by what was reported about it, relative to the whole fleet, and sets the
//! share of its weight that it keeps.

use super::*;

/// Share of a cold node's cores in use up to which its load reports show headroom.
const HEADROOM_LOAD: f64 = 0.7;

/// Smallest load from which headroom is derived, as share of the cores in use: load reports are rough.
const REPORTED_LOAD_MIN: f64 = 0.1;

/// Factor by which a node's headroom must change before the new one is used.
const HEADROOM_STEP_FACTOR: f64 = 1.25;

/// Proxies that need longer than this to avoid a failing node don't shift their load to the remaining nodes.
const AVOIDANCE_TIME_MAX: Time = Time::from_ms(25_000);

/// Interval at which the health of nodes is checked: twice per usual interval of reports.
const HEALTH_PERIOD: Time = Time::from_ms(500);

/// Tries needed to judge a node (count); a node with a reduced share needs proportionally fewer.
const EVIDENCE_TRIES: f64 = 8.0;

/// At least this share of [`EVIDENCE_TRIES`] is always needed, however small a node's share is.
const EVIDENCE_SHARE_MIN: f64 = 0.25;

/// Share of failed tries, above the fleet's median, from which a node's share is cut.
const FAILED_SHARE_ABOVE_MEDIAN: f64 = 0.1;

/// Part of the nodes that must do well for others to be put on trial.
const HEALTHY_QUANTILE: f64 = 0.2;

/// Mean time, as a share of the mean target time, from which a slow node does harm.
const HARMFUL_TIME_SHARE: f64 = 0.36;

/// Multiple of the median's mean time from which a node that does harm is cut.
const SLOW_FACTOR: f64 = 1.4;

/// A node is raised again while its mean time is at most this multiple of the median's mean time, or at most
/// this multiple of the harmful time divided by [`HARMFUL_TIME_DIVISOR`].
const RECOVERED_FACTOR: f64 = 1.15;

/// Divisor of the harmful time in the limit up to which a node is raised again.
const HARMFUL_TIME_DIVISOR: f64 = 2.0;

/// Share of its weight that a node on trial keeps. A node that no longer responds is put on trial: it still
/// gets a few tries, which show whether it has recovered.
const TRIAL_SHARE: f64 = 0.02;

/// Smallest share of its weight that a node keeps when it is not on trial.
const HEALTH_SHARE_MIN: f64 = 0.1;

/// Smallest factor of one cut, as exchanges queued before it count against the node again.
const CUT_FACTOR_MIN: f64 = 0.45;

/// Factor on the share that a node had before its trial, with which it leaves the trial.
const TRIAL_EXIT_FACTOR: f64 = 0.4;

/// Factor by which one raise increases a node's share.
const RAISE_FACTOR: f64 = 1.5;

/// Time beyond [`Node::hold_until`] that a node with too few reported tries waits before it is raised: three
/// times [`HOLD_TIME`].
const NO_EVIDENCE_HOLD_TIME: Time = Time(3 * HOLD_TIME.0);

/// Maximum doublings of [`HOLD_TIME`] (count).
const HOLD_DOUBLINGS: u32 = 4;

/// Figures of the whole fleet against which each node is judged.
struct FleetHealth {
    now: Time,
    /// Share of failed tries that the better nodes stay under. It is a low quantile: where a conductor is cut
    /// off together with only a few nodes, most nodes really are unreachable from there.
    better_failed_share: f64,
    /// Share of failed tries of the median node or of all tries, whichever is less.
    median_failed_share: f64,
    /// Mean time of the median node, in seconds.
    median_time: f64,
    /// Mean time of the nodes that a cut would move load to, in seconds.
    others_mean_time: f64,
    /// Mean target time, in seconds.
    target_time: f64,
    /// When a success was last reported of any node.
    fleet_last_success: Time,
    /// Tries a second that come to a unit of weight.
    tries_per_weight: f64,
    /// Weight of all lines.
    line_weight: f64,
    /// Tries reported since the start (count).
    reported_tries: u64,
    /// Interval of the reports.
    report_interval: Time,
    /// Time until an order shows in the reports.
    feedback_delay: Time,
    /// When tries were first reported after a time without any.
    tries_resumed_at: Time,
    /// Whether the silence of a node is evidence. It is not where the table is split, nor while hardly any try is
    /// reported: most nodes are silent then.
    silence_counts: bool,
}

impl FleetHealth {
    /// Returns the mean time from which a slow node does harm, in seconds.
    fn harmful_time(&self) -> f64 {
        HARMFUL_TIME_SHARE * self.target_time
    }

    /// Whether a node with these symptoms must have its share cut.
    fn is_unhealthy(&self, symptoms: Symptoms) -> bool {
        let Symptoms { failed_share, mean_time } = symptoms;
        let fails = failed_share > self.median_failed_share + FAILED_SHARE_ABOVE_MEDIAN;
        let is_slow = mean_time > self.harmful_time() && mean_time > self.median_time * SLOW_FACTOR;
        fails || is_slow
    }

    /// Whether the other nodes have capacity left for what a cut would move to them.
    fn has_spare_capacity(&self) -> bool {
        self.others_mean_time <= SPARE_TIME_SHARE * self.target_time
    }

    /// Whether a node with these symptoms is still too slow to be raised. A node with less capacity than its
    /// weight says is raised only until its mean time exceeds both limits, and settles below the harmful time.
    fn is_too_slow_to_raise(&self, symptoms: Symptoms) -> bool {
        symptoms.mean_time > self.median_time * RECOVERED_FACTOR
            && symptoms.mean_time > self.harmful_time() * RECOVERED_FACTOR / HARMFUL_TIME_DIVISOR
    }

    /// Estimates the tries sent to a node of this weight between its last success and the fleet's, by the present rate
    /// and the time in which tries came. Returns 0 where silence is no evidence.
    fn unanswered_tries(&self, last_success: Time, weight: f64) -> f64 {
        if !self.silence_counts {
            return 0.0;
        }
        let silent_since = last_success.max(self.tries_resumed_at);
        let silence = self.fleet_last_success - silent_since - self.report_interval;
        silence.seconds() * self.tries_per_weight * weight
    }

    /// Estimates the tries sent to a node of this weight while it was silent, by how many were reported of all nodes since
    /// then. This is less than by the present rate where that is high only for a moment, or lags behind a fall.
    fn tries_reported_in_silence(&self, node: &Node, weight: f64) -> f64 {
        let reported = self.reported_tries.saturating_sub(node.fleet_tries_before_silence);
        reported as f64 / self.line_weight * weight
    }

    /// Whether a node is not silent yet: its next report may still come within the usual interval.
    fn may_be_reported_in_time(&self, node: &Node) -> bool {
        self.now < node.last_success + self.report_interval
    }

    /// Whether a node has failed so many tries in a row that it counts as silent, hung, cut off or dead.
    fn is_unresponsive(&self, node: &Node, weight: f64) -> bool {
        // A node that fails many tries anyway, as an overloaded one does, may fail a few in a row by chance.
        let streak_min = FAILURE_STREAK * (1.0 + 2.0 * node.tries.failure_share_and_mean_time(self.now).0);
        let by_rate = self.unanswered_tries(node.last_success, weight);
        let unanswered = by_rate.min(self.tries_reported_in_silence(node, weight));
        f64::from(node.failure_streak).max(unanswered) >= streak_min
            && self.better_failed_share < FAILED_SHARE_ABOVE_MEDIAN
    }
}

impl Balance {
    /// Judges nodes by their symptoms, relative to the fleet's median, which heavy exchanges, a faulty proxy
    /// or an overload shift for all alike. Tries failed in a row reveal silent, hung, cut-off and dead nodes;
    /// shares of failed tries reveal failing and full ones; harmful times reveal slow, paused, shared and
    /// overloaded ones. A cut needs spare capacity elsewhere: where most nodes look bad, it is the judgement
    /// that is doubtful.
    pub(super) fn check_health(&mut self, orders: &mut dyn Orders) -> bool {
        if self.now < self.fleet.checked_at + HEALTH_PERIOD {
            return false;
        }
        self.fleet.checked_at = self.now;
        self.recheck_table = true;
        self.fleet.load_shift = self.load_shift();
        let evidence = self.evidence(self.has_evidence_per_node());
        let fleet = self.fleet_health(&evidence);
        let (all_failed_share, all_time) = self.fleet.tries.failure_share_and_mean_time(self.now);
        self.update_load_shift(all_failed_share);
        self.update_joined_rates();
        self.log_assumed_strain(orders);
        if self.strain_is_unknown() {
            self.update_unknown_strain();
        } else {
            self.update_strain(fleet.median_failed_share, all_time / fleet.target_time, orders);
        }
        for id in self.nodes_to_check(&evidence, &fleet) {
            self.check_node(id, &evidence, &fleet, orders);
        }
        true
    }

    /// Whether enough is reported of most nodes to judge each by itself. Only a split table may have too
    /// little for that; there, nodes of the same kind supplement each other.
    fn has_evidence_per_node(&self) -> bool {
        self.table.parts == 1 || self.recent_tries() >= EVIDENCE_TRIES * self.index.ready_count() as f64
    }

    /// Returns the figures of the whole fleet by which nodes are judged now.
    fn fleet_health(&self, evidence: &Evidence) -> FleetHealth {
        let median_time = evidence.time_quantile(0.5);
        let (all_failed_share, all_time) = self.fleet.tries.failure_share_and_mean_time(self.now);
        let most_reported = evidence.nodes() * 2 >= self.index.ready_count();
        let report_interval = self.settings.summary_period;
        let line_weight = self.index.total_line_weight();
        FleetHealth {
            now: self.now,
            better_failed_share: evidence.failed_share_quantile(HEALTHY_QUANTILE),
            median_failed_share: self.median_failed_share(evidence, all_failed_share),
            median_time,
            // The median keeps a few overloaded nodes from preventing their own cut. It counts only where
            // most nodes are reported, as a few say nothing about the rest.
            others_mean_time: if most_reported { median_time.min(all_time) } else { all_time },
            target_time: self.mean_target(),
            fleet_last_success: self.fleet.last_success,
            tries_per_weight: self.fleet.tries.count.rate(self.now, report_interval) / line_weight,
            line_weight,
            reported_tries: self.fleet.reported_tries,
            report_interval,
            feedback_delay: self.settings.feedback_delay(),
            tries_resumed_at: self.fleet.tries_resumed_at,
            silence_counts: self.table.parts == 1 && self.has_enough_tries(),
        }
    }

    /// Returns the share of failed tries of the median node or of all tries, whichever is less: the median is not
    /// raised by a few bad nodes with many tries, the share of all tries not where only a few nodes are reported.
    /// Where no node has enough tries to be judged by, all together may have.
    fn median_failed_share(&self, evidence: &Evidence, all_failed_share: f64) -> f64 {
        if evidence.nodes() == 0 && self.has_enough_tries() {
            return all_failed_share;
        }
        evidence.failed_share_quantile(0.5).min(all_failed_share)
    }

    /// Updates whether proxies shift their load to the remaining nodes: each avoids a node after a number of
    /// its own tries there failed in a row, and these tries take time.
    fn update_load_shift(&mut self, all_failed_share: f64) {
        let sum_of_powers = |power| self.proxies.values().map(|proxy| proxy.rate.powi(power)).sum::<f64>();
        // The first sum divided by the second is the reciprocal of the mean rate of proxies, weighted by
        // their rates: the time between two exchanges at the proxy of a typical exchange.
        let rate_sum = sum_of_powers(1);
        let squared_rate_sum = sum_of_powers(2);
        let lines = self.index.ready_count() as f64 / f64::from(self.table.parts);
        let failures = f64::from(self.settings.avoid_after_failures);
        let avoidance_time = failures * lines * rate_sum / squared_rate_sum.max(DIVISOR_MIN);
        self.fleet.proxies_shift_load = avoidance_time < AVOIDANCE_TIME_MAX.seconds();
        if all_failed_share > SEVERE_FAILED_SHARE {
            self.fleet.mass_failure_at = self.now;
        }
    }

    /// Returns the nodes whose judgement may have changed: those with news of their own, those silent for
    /// long, and those without reports whose whole cohort is unhealthy.
    fn nodes_to_check(&self, evidence: &Evidence, fleet: &FleetHealth) -> BTreeSet<NodeId> {
        let mut due = self.index.judged_individually().clone();
        let heaviest = self.index.max_line_weight();
        let may_be_unresponsive =
            |last_success| fleet.unanswered_tries(last_success, heaviest) >= FAILURE_STREAK;
        let silent =
            self.index.by_last_success().take_while(|(last_success, _)| may_be_unresponsive(*last_success));
        due.extend(silent.map(|(_, id)| id));
        if fleet.has_spare_capacity() {
            for unreported in evidence.unreported.iter().filter(|nodes| fleet.is_unhealthy(nodes.symptoms)) {
                due.extend(self.index.cohort_members(unreported.cohort));
            }
        }
        due
    }

    /// Advances a node's warm-up, and changes its share by its health.
    fn check_node(&mut self, id: NodeId, evidence: &Evidence, fleet: &FleetHealth, orders: &mut dyn Orders) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        self.table.visited_nodes += 1;
        if node.advance_warm_up(self.now, &self.settings) {
            self.table.nodes_to_recheck.insert(id);
        }
        if fleet.may_be_reported_in_time(node) {
            node.fleet_tries_before_silence = fleet.reported_tries;
        }
        let symptoms = node.symptoms(self.now, evidence.cohort_totals(node));
        let weight = self.table.pushed_weight(&id);
        node.update_headroom(weight, fleet);
        let unresponsive = fleet.is_unresponsive(node, weight);
        let share = node.next_health_share(symptoms, unresponsive, fleet);
        let is_cut = share < node.health_share;
        if share == node.health_share || is_cut && !fleet.has_spare_capacity() {
            if node.tries.count.value(self.now) <= TRIES_NEGLIGIBLE {
                node.tries = TryStats::default();
            }
            self.index_node(id);
            return;
        }
        if is_cut || share == 1.0 {
            let Symptoms { failed_share, mean_time } = symptoms.unwrap_or_default();
            let percent = 100.0 * share;
            orders.log_note(
                Some(id),
                &format!("to {percent:.0}% of its weight: {failed_share:.2} lost, {mean_time:.2} s"),
            );
        }
        node.set_health_share(share, unresponsive, fleet);
        self.refresh(id);
    }
}

impl Node {
    /// Takes the next step of the warm-up if the node's age allows it, and returns whether it did. It takes
    /// one step at a time, so that a stalled conductor doesn't cause a jump.
    fn advance_warm_up(&mut self, now: Time, settings: &ServiceSettings) -> bool {
        let allowed = self.warm_up_step < settings.warm_up_steps(self.started, now);
        if !allowed || now < self.warm_up_stepped_at + settings.warm_up_interval() {
            return false;
        }
        self.warm_up_step += 1;
        self.warm_up_stepped_at = now;
        true
    }

    /// Returns what proxies met there lately. Where too little was reported of the node, the tries of its
    /// cohort (tries, failed tries, and the time of the successful ones in seconds) fill the gap.
    pub(super) fn symptoms(&self, now: Time, cohort: [f64; 3]) -> Option<Symptoms> {
        let own = self.tries.totals(now);
        let needed = EVIDENCE_TRIES * self.health_share.max(EVIDENCE_SHARE_MIN);
        let enough = own[0].max(cohort[0]) >= needed;
        let borrowed_share = (needed - own[0]).max(0.0) / cohort[0].max(needed);
        let [tries, failed, time] = std::array::from_fn(|k| own[k] + borrowed_share * cohort[k]);
        enough.then(|| Symptoms {
            failed_share: failed / tries,
            mean_time: time / (tries - failed).max(DIVISOR_MIN),
        })
    }

    /// Updates the headroom of a cold node by its load reports.
    fn update_headroom(&mut self, weight: f64, fleet: &FleetHealth) {
        let Some(load) = self.load else { return };
        if self.is_warmed_up() || fleet.now < self.headroom_at + fleet.feedback_delay {
            return;
        }
        let headroom = weight / self.listed_weight * (HEADROOM_LOAD / load.max(REPORTED_LOAD_MIN));
        let grown = headroom > self.headroom * HEADROOM_STEP_FACTOR;
        let shrunk = headroom * HEADROOM_STEP_FACTOR < self.headroom;
        if grown || shrunk {
            self.headroom = headroom;
            self.headroom_at = fleet.now;
        }
    }

    /// Returns the share of its weight that its health should leave a node.
    fn next_health_share(&self, symptoms: Option<Symptoms>, unresponsive: bool, fleet: &FleetHealth) -> f64 {
        let now = fleet.now;
        if unresponsive {
            return TRIAL_SHARE;
        }
        if let Some(symptoms) = symptoms.filter(|symptoms| fleet.is_unhealthy(*symptoms)) {
            return self.cut_share(symptoms, fleet);
        }
        if now < self.hold_until {
            return self.health_share;
        }
        let keeps_share = match symptoms {
            // Too little is reported to judge it: it waits longer, and is then raised without evidence.
            None => !self.is_on_trial() && now < self.hold_until + NO_EVIDENCE_HOLD_TIME,
            Some(symptoms) => fleet.is_too_slow_to_raise(symptoms),
        };
        if keeps_share {
            return self.health_share;
        }
        if self.is_on_trial() {
            return (self.share_before_cut * TRIAL_EXIT_FACTOR).max(HEALTH_SHARE_MIN);
        }
        (self.health_share * RAISE_FACTOR).clamp(HEALTH_SHARE_MIN, 1.0)
    }

    pub(super) fn is_on_trial(&self) -> bool {
        self.health_share <= TRIAL_SHARE
    }

    /// Returns the share of an unhealthy node after a cut: it keeps what it still does well.
    fn cut_share(&self, symptoms: Symptoms, fleet: &FleetHealth) -> f64 {
        let Symptoms { failed_share, mean_time } = symptoms;
        let factor = (1.0 - failed_share + fleet.median_failed_share)
            * (fleet.median_time / mean_time.max(fleet.median_time)).sqrt();
        (self.health_share * factor.clamp(CUT_FACTOR_MIN, 1.0)).max(HEALTH_SHARE_MIN)
    }

    /// Sets its share after a cut or a raise; what was reported before says nothing about the new share.
    fn set_health_share(&mut self, share: f64, unresponsive: bool, fleet: &FleetHealth) {
        let (now, delay) = (fleet.now, fleet.feedback_delay);
        let is_cut = share < self.health_share;
        if is_cut {
            self.share_before_cut = self.health_share.max(HEALTH_SHARE_MIN);
            self.relapses += u32::from(self.was_raised);
            // A cut that is not a trial doubles the wait once more.
            let doublings = (self.relapses + u32::from(!unresponsive)).min(HOLD_DOUBLINGS);
            self.hold_until = now + Time(HOLD_TIME.0 << doublings);
            // Exchanges that began before the cut end later.
            self.ignore_reports_until = now + delay + Time::from_seconds(fleet.target_time * 2.0);
        } else {
            self.hold_until = now + HOLD_TIME + HOLD_TIME;
            self.ignore_reports_until = now + delay;
        }
        self.health_share = share;
        self.was_raised = !is_cut;
        self.failure_streak = 0;
        self.tries = TryStats::default();
        self.last_success = now + delay;
        self.fleet_tries_before_silence = fleet.reported_tries;
    }
}

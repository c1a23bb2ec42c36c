//! Recent reports about the ready nodes, gathered to judge them: of each node by itself, and of its cohort
//! (the nodes of the same zone and kind) for nodes without reports; and the demand that proxies reported. It
//! decides nothing.

use super::*;
use crate::statistics::quantile;

/// Exchanges a second added to the reported demand, so that the mean target time is defined without any
/// demand.
const DEMAND_MIN: f64 = 1e-3;

/// What proxies met at a node.
#[derive(Clone, Copy, Default)]
pub(super) struct Symptoms {
    /// Share of failed tries.
    pub failed_share: f64,
    /// Mean time of the successful tries, in seconds.
    pub mean_time: f64,
}

/// Nodes of one cohort without recent reports of their own: they all look like their cohort.
pub(super) struct UnreportedNodes {
    pub cohort: CohortId,
    pub symptoms: Symptoms,
    nodes: usize,
}

/// Symptoms, and how many nodes show them.
struct CountedSymptoms {
    symptoms: Symptoms,
    nodes: usize,
}

/// The symptoms of all nodes of which enough is known.
pub(super) struct Evidence {
    /// Tries, failed tries, and the time of the successful ones in seconds, by cohort; empty where each node
    /// is judged by itself.
    cohorts: BTreeMap<CohortId, [f64; 3]>,
    pub unreported: Vec<UnreportedNodes>,
    symptoms: Vec<CountedSymptoms>,
}

impl Evidence {
    /// Returns the sums of a node's cohort.
    pub fn cohort_totals(&self, node: &Node) -> [f64; 3] {
        self.cohorts.get(&(node.zone, node.machine_kind)).copied().unwrap_or_default()
    }

    /// Returns the share of failed tries that a part of the nodes stays under.
    pub fn failed_share_quantile(&self, part: f64) -> f64 {
        quantile(self.symptoms.iter().map(|counted| (counted.symptoms.failed_share, counted.nodes)), part)
    }

    /// Returns the mean time that a part of the nodes stays under, in seconds.
    pub fn time_quantile(&self, part: f64) -> f64 {
        quantile(self.symptoms.iter().map(|counted| (counted.symptoms.mean_time, counted.nodes)), part)
    }

    /// Returns the number of nodes of which enough is known.
    pub fn nodes(&self) -> usize {
        self.symptoms.iter().map(|counted| counted.nodes).sum()
    }
}

impl Balance {
    /// Returns the reported exchanges of a class a second, at each proxy.
    pub(super) fn demand(&self, class: usize) -> impl Iterator<Item = f64> {
        let now = self.now;
        let interval = self.settings.summary_period;
        self.proxies.values().map(move |proxy| proxy.demand[class].rate(now, interval))
    }

    /// Returns the mean target time by the reported demand, in seconds.
    pub(super) fn mean_target(&self) -> f64 {
        let mut weights = DEMAND_MIN;
        let mut targets = DEMAND_MIN;
        for (class, terms) in self.settings.class_terms.iter().enumerate() {
            let weight = self.demand(class).sum::<f64>() + DEMAND_MIN;
            weights += weight;
            targets += weight * terms.target_time.seconds();
        }
        targets / weights
    }

    /// Gathers the evidence from the nodes that must be judged individually. Unless `per_node` has each node
    /// judged by its own reports alone, all others are counted with their cohort.
    pub(super) fn evidence(&self, per_node: bool) -> Evidence {
        let individual = || self.index.judged_individually().iter().filter_map(|id| self.nodes.get(id));
        let mut cohorts: BTreeMap<CohortId, [f64; 3]> = BTreeMap::new();
        let mut reported: BTreeMap<CohortId, usize> = BTreeMap::new();
        for node in individual().filter(|_| !per_node) {
            let id = (node.zone, node.machine_kind);
            let sums = cohorts.entry(id).or_default();
            for (sum, own) in sums.iter_mut().zip(node.tries.totals(self.now)) {
                *sum += own;
            }
            *reported.entry(id).or_default() += 1;
        }
        let unreported = self.unreported_nodes(&cohorts, &reported);
        let mut evidence = Evidence { cohorts, unreported, symptoms: Vec::new() };
        for node in individual() {
            if let Some(symptoms) = node.symptoms(self.now, evidence.cohort_totals(node)) {
                evidence.symptoms.push(CountedSymptoms { symptoms, nodes: 1 });
            }
        }
        for unreported in &evidence.unreported {
            evidence
                .symptoms
                .push(CountedSymptoms { symptoms: unreported.symptoms, nodes: unreported.nodes });
        }
        evidence
    }

    /// Returns the nodes of each cohort without reports, where the sums of the cohort are enough to judge by.
    /// `reported` counts the nodes with reports of their own.
    fn unreported_nodes(
        &self,
        cohorts: &BTreeMap<CohortId, [f64; 3]>,
        reported: &BTreeMap<CohortId, usize>,
    ) -> Vec<UnreportedNodes> {
        let unreported = Node { health_share: 1.0, ..Node::default() };
        let of_cohort = |(id, sums): (&CohortId, &[f64; 3])| {
            let nodes = self.index.cohort_members(*id).len() - reported.get(id).copied().unwrap_or(0);
            let symptoms = unreported.symptoms(self.now, *sums)?;
            (nodes > 0).then_some(UnreportedNodes { cohort: *id, symptoms, nodes })
        };
        cohorts.iter().filter_map(of_cohort).collect()
    }
}

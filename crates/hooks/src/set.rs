//! All hooks of a conductor: loaded, called in their order once a round, suspended and tried again by their health.
//! No hook is called twice for the same view, and the same views give the same outcome.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use oatpitch::interface::Time;

use crate::core::answer::{HookId, Point, Rule, ViolationCounts};
use crate::core::events::{Event, events_between};
use crate::core::guard::{Adjustments, AnswerCheck, Bounds, Guard, Proposal, Subject};
use crate::core::health::{HookHealth, HookState, RoundBudget, SuspensionPolicy, Transition};
use crate::core::view::{NodeView, View};
use crate::engine::{CallArgument, Limits, Program, ScriptError, SharedView};

/// One hook as operators configure it.
#[derive(Clone, Debug, PartialEq)]
pub struct HookConfig {
    /// Its name in the log.
    pub name: String,
    /// Path of the script's file, for messages.
    pub path: String,
    /// The script.
    pub source: String,
    /// Its position among the hooks: lower ones are called first, equal ones by name.
    pub order: u32,
    /// What one call may take.
    pub limits: Limits,
    /// The operators' values for the settings that the script declares.
    pub settings: serde_json::Value,
}

/// A message about one hook, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The hook's name.
    pub hook: String,
    /// The text.
    pub message: String,
    /// Whether something is wrong.
    pub is_fault: bool,
    /// Whether the hook was loaded, dropped, suspended or reinstated. Such reports are rare and always logged; any
    /// others may repeat.
    pub is_transition: bool,
}

struct Hook {
    config: HookConfig,
    program: Program,
    health: HookHealth,
    calls: u64,
    failures: u64,
    /// Time that its calls took in the current round.
    time_in_round: Duration,
}

/// Least time between two reports of the same kind of violation.
const VIOLATION_REPORT_INTERVAL: Time = Time::from_ms(60_000);
/// Most proxies whose part hooks choose in one round. The module places any others.
const MAX_PLACEMENTS_PER_ROUND: usize = 64;
/// [`Time`] counts tenths of a millisecond.
const MICROSECONDS_PER_TICK: u128 = 100;

/// The hooks of a conductor.
pub struct HookSet {
    hooks: Vec<Hook>,
    guard: Guard,
    policy: SuspensionPolicy,
    budget: RoundBudget,
    /// The view of the round before, from which events are derived.
    previous_view: Option<SharedView>,
    /// What was cut since the hooks were last reloaded.
    pub violations: ViolationCounts,
    /// When each kind of violation was last reported.
    violations_reported: BTreeMap<(HookId, Point, Rule), Time>,
    /// Rounds since the start.
    pub round_count: u64,
}

/// A call that a round is to make.
struct PendingCall<'a> {
    point: Point,
    argument: CallArgument<'a>,
    subject: Subject,
}

/// What all hooks of a round are called with.
struct RoundInput<'a> {
    view: &'a SharedView,
    events: &'a [Event],
    policy: &'a SuspensionPolicy,
}

/// How a hook's calls of one round ended.
#[derive(Default)]
struct CallsOutcome {
    /// The point and the error of a failed call, after which no other is made.
    failure: Option<String>,
    /// Whether the round's time ran out.
    out_of_time: bool,
}

impl HookSet {
    /// Returns a set without hooks.
    pub fn new(bounds: Bounds, policy: SuspensionPolicy) -> HookSet {
        HookSet {
            hooks: Vec::new(),
            guard: Guard::new(bounds),
            policy,
            budget: RoundBudget::default(),
            previous_view: None,
            violations: ViolationCounts::new(),
            violations_reported: BTreeMap::new(),
            round_count: 0,
        }
    }

    /// Replaces the hooks by those configured. An unchanged one keeps its health and its store, and a changed one
    /// its store. One that cannot be loaded leaves the earlier hook of its name in place, if there is one. Stores
    /// of hooks that are no longer configured are dropped.
    pub fn reload(
        &mut self,
        bounds: Bounds,
        policy: SuspensionPolicy,
        configs: Vec<HookConfig>,
        sample: &SharedView,
    ) -> Vec<Report> {
        self.guard.set_bounds(bounds);
        self.policy = policy;
        let mut reports = Vec::new();
        let mut old_hooks: BTreeMap<String, Hook> = std::mem::take(&mut self.hooks)
            .into_iter()
            .map(|hook| (hook.config.name.clone(), hook))
            .collect();
        for config in configs {
            let old_hook = old_hooks.remove(&config.name);
            match old_hook {
                Some(old_hook) if old_hook.config == config => self.hooks.push(old_hook),
                old_hook => self.load(config, old_hook, sample, &mut reports),
            }
        }
        for name in old_hooks.into_keys() {
            reports.push(Report {
                hook: name,
                message: "dropped, and its store with it".into(),
                is_fault: false,
                is_transition: true,
            });
        }
        // Counts are kept by position, and positions may belong to other hooks now.
        self.violations.clear();
        self.violations_reported.clear();
        self.hooks.sort_by(|one, other| {
            (one.config.order, &one.config.name).cmp(&(other.config.order, &other.config.name))
        });
        reports
    }

    /// Loads a hook in place of the earlier one of its name, or keeps that one if the script cannot be loaded.
    fn load(
        &mut self,
        config: HookConfig,
        old_hook: Option<Hook>,
        sample: &SharedView,
        reports: &mut Vec<Report>,
    ) {
        let loaded = Program::load(&config.source, config.limits.clone(), &config.settings, sample);
        let mut program = match loaded {
            Ok(program) => program,
            Err(error) => {
                reports.push(load_failure(&config, &error, old_hook.is_some()));
                self.hooks.extend(old_hook);
                return;
            }
        };
        let verb = if old_hook.is_some() { "replaced" } else { "taken" };
        if let Some(old_hook) = old_hook {
            program.inherit_store(&old_hook.program);
        }
        reports.push(Report {
            hook: config.name.clone(),
            message: format!("{verb}, at {}", point_names(&program, ", ")),
            is_fault: false,
            is_transition: true,
        });
        self.hooks.push(Hook {
            config,
            program,
            health: HookHealth::default(),
            calls: 0,
            failures: 0,
            time_in_round: Duration::ZERO,
        });
    }

    /// Returns one line about each hook, in their order.
    pub fn status_lines(&self, now: Time) -> Vec<String> {
        let line = |(index, hook): (usize, &Hook)| {
            let state = match hook.health.state() {
                HookState::Active => "in".to_string(),
                HookState::Trial(rounds_left) => format!("on trial for {rounds_left} calls"),
                HookState::Suspended(until) => format!("out for {:.1} s", (until - now).seconds()),
            };
            format!(
                "{} {state} at {} order={} calls={} failures={} cuts={}",
                hook.config.name,
                point_names(&hook.program, ","),
                hook.config.order,
                hook.calls,
                hook.failures,
                self.violation_count(hook_id(index)),
            )
        };
        self.hooks.iter().enumerate().map(line).collect()
    }

    fn violation_count(&self, hook: HookId) -> u64 {
        self.violations.iter().filter(|((id, ..), _)| *id == hook).map(|(_, count)| count).sum()
    }

    /// Calls every hook that is not suspended, in their order, and resolves what they propose.
    pub fn run_round(&mut self, now: Time, shared_view: &SharedView) -> (Adjustments, Vec<Report>) {
        self.round_count += 1;
        self.budget.start();
        let view: &View = &shared_view.view;
        let nodes: BTreeMap<&str, &NodeView> =
            view.nodes.iter().map(|node| (node.name.as_str(), node)).collect();
        let events = match &self.previous_view {
            Some(previous) => events_between(&previous.view, view),
            None => Vec::new(),
        };
        let input = RoundInput { view: shared_view, events: &events, policy: &self.policy };
        let mut proposal = Proposal::default();
        let mut reports = Vec::new();
        let mut skipped = false;
        for (index, hook) in self.hooks.iter_mut().enumerate() {
            hook.time_in_round = Duration::ZERO;
            if self.budget.remaining(&self.policy) == Time::default() {
                skipped = true;
                continue;
            }
            let (called, transition) = hook.health.begin_round(now, &self.policy);
            reports.extend(transition.map(|transition| hook.transition_report(&transition)));
            if !called {
                continue;
            }
            let mut check = AnswerCheck {
                bounds: self.guard.bounds(),
                view,
                nodes: &nodes,
                violations: &mut self.violations,
            };
            // The answers of a hook that fails in this round do not count, so they go to a copy first.
            let mut with_answers = proposal.clone();
            let outcome =
                hook.call_points(hook_id(index), &input, &mut check, &mut with_answers, &mut self.budget);
            skipped |= outcome.out_of_time;
            let transition = match outcome.failure {
                Some(cause) => {
                    hook.failures += 1;
                    reports.push(hook.failure_report(&cause));
                    hook.health.record_failure(now, &cause, &self.policy)
                }
                None => {
                    proposal = with_answers;
                    hook.health.record_success()
                }
            };
            reports.extend(transition.map(|transition| hook.transition_report(&transition)));
        }
        if self.budget.finish(skipped) {
            reports.extend(self.suspend_slowest(now));
        }
        self.previous_view = Some(shared_view.clone());
        let adjustments = self.guard.resolve(now, view, &proposal, &mut self.violations);
        reports.extend(self.violation_reports(now));
        (adjustments, reports)
    }

    /// Suspends the hook that took the most time in the round.
    fn suspend_slowest(&mut self, now: Time) -> Option<Report> {
        let slowest = self.hooks.iter_mut().max_by_key(|hook| hook.time_in_round)?;
        let cause = "the slowest hook of rounds that exceeded their time limit";
        slowest.health = HookHealth::default();
        let policy = SuspensionPolicy { failure_threshold: 1, ..self.policy.clone() };
        let transition = slowest.health.record_failure(now, cause, &policy)?;
        Some(slowest.transition_report(&transition))
    }

    /// Reports each kind of violation when it first occurs, and from then on at intervals with its count.
    fn violation_reports(&mut self, now: Time) -> Vec<Report> {
        let mut reports = Vec::new();
        for (kind, count) in &self.violations {
            let (HookId(index), point, rule) = *kind;
            let last_report = self.violations_reported.get(kind);
            let due = last_report.is_none_or(|at| now >= *at + VIOLATION_REPORT_INTERVAL);
            let Some(hook) = self.hooks.get(usize::from(index)) else { continue };
            if !due {
                continue;
            }
            self.violations_reported.insert(*kind, now);
            reports.push(Report {
                hook: hook.config.name.clone(),
                message: format!("cut at {point}, {rule}: {count} so far"),
                is_fault: true,
                is_transition: false,
            });
        }
        reports
    }
}

impl Hook {
    /// Makes the hook's calls of one round and merges its answers into the proposal, until one fails or the time
    /// of the round is used up.
    fn call_points(
        &mut self,
        id: HookId,
        input: &RoundInput,
        check: &mut AnswerCheck,
        proposal: &mut Proposal,
        budget: &mut RoundBudget,
    ) -> CallsOutcome {
        let mut outcome = CallsOutcome::default();
        for PendingCall { point, argument, subject } in self.pending_calls(input) {
            let start = Instant::now();
            let answer = self.program.call(point, &argument, input.view);
            let elapsed = start.elapsed();
            self.time_in_round += elapsed;
            self.calls += 1;
            budget.spend(time_from(elapsed));
            match answer {
                Ok(answer) => check.apply(id, point, subject, &answer, proposal),
                Err(error) => {
                    outcome.failure = Some(format!("{point}: {error}"));
                    break;
                }
            }
            if budget.remaining(input.policy) == Time::default() {
                outcome.out_of_time = true;
                break;
            }
        }
        outcome
    }

    /// Returns the calls that a round makes of the hook's points, in the order of points.
    fn pending_calls<'a>(&self, input: &RoundInput<'a>) -> Vec<PendingCall<'a>> {
        let view: &View = &input.view.view;
        let mut calls = Vec::new();
        for &point in self.program.points() {
            let mut add = |argument, subject| calls.push(PendingCall { point, argument, subject });
            match point {
                Point::Shape | Point::Admit => add(CallArgument::ViewOnly, Subject::Nodes),
                Point::Level | Point::Tries => {
                    for class in 0..view.classes.len() {
                        add(CallArgument::Class(class), Subject::Class(class));
                    }
                }
                Point::Place => {
                    let proxies = view.proxies.iter().enumerate();
                    let unbound = proxies.filter(|(_, proxy)| proxy.part.is_none());
                    for (index, _) in unbound.take(MAX_PLACEMENTS_PER_ROUND) {
                        add(CallArgument::Proxy(index), Subject::Proxy(index));
                    }
                }
                Point::Notice => {
                    for event in input.events {
                        add(CallArgument::Event(event), Subject::Nodes);
                    }
                }
            }
        }
        calls
    }

    fn failure_report(&self, cause: &str) -> Report {
        Report {
            hook: self.config.name.clone(),
            message: format!("failed at {}:{cause}", self.config.path),
            is_fault: true,
            is_transition: false,
        }
    }

    fn transition_report(&self, transition: &Transition) -> Report {
        let (message, is_fault) = match transition {
            Transition::Suspended { failures, wait, cause } => {
                let wait = wait.seconds();
                (format!("put out for {wait:.1} s after {failures} failures, the last: {cause}"), true)
            }
            Transition::TrialStarted => ("tried again".into(), false),
            Transition::Reinstated => ("taken back".into(), false),
        };
        Report { hook: self.config.name.clone(), message, is_fault, is_transition: true }
    }
}

fn load_failure(config: &HookConfig, error: &ScriptError, has_old_hook: bool) -> Report {
    let consequence = if has_old_hook { "; the previous version stays in use" } else { "; not taken" };
    Report {
        hook: config.name.clone(),
        message: format!("{}{}: {}{consequence}", config.path, error.position_suffix(), error.message),
        is_fault: true,
        is_transition: true,
    }
}

fn hook_id(index: usize) -> HookId {
    HookId(index as u16)
}

fn point_names(program: &Program, separator: &str) -> String {
    let names: Vec<String> = program.points().iter().map(Point::to_string).collect();
    names.join(separator)
}

fn time_from(duration: Duration) -> Time {
    Time(u64::try_from(duration.as_micros() / MICROSECONDS_PER_TICK).unwrap_or(u64::MAX))
}

//! Runs the operator's hooks in a thread of their own: each round sends them a view, and their adjustments come back
//! as an input of the reducer.

use std::path::{Path, PathBuf};
use std::time::Duration;

use oatpitch::interface::{Advice, ServiceSettings, Time};
use oatpitch_hooks::core::guard::Bounds;
use oatpitch_hooks::core::health::SuspensionPolicy;
use oatpitch_hooks::core::view::{View, ViewContext};
use oatpitch_hooks::engine::Limits;
use oatpitch_hooks::set::{HookConfig, Report};
use oatpitch_hooks::worker::{HookRequest, HookResponse, Worker};
use oatpitch_operator::records::hooks::{HookSettings, HooksSettings};
use oatpitch_state::Input;
use oatpitch_state::reducer::Reducer;
use tokio::sync::mpsc;

use super::clock::MICROSECONDS_PER_UNIT;

/// Responses that may wait to be read; the hooks' thread blocks beyond that.
const MAX_QUEUED_RESPONSES: usize = 16;

/// A line for the log.
pub struct LogLine {
    /// Whether the line is a warning.
    pub is_fault: bool,
    pub text: String,
}

/// The hooks of a conductor.
pub struct Hooks {
    worker: Worker,
    responses: mpsc::Receiver<HookResponse>,
    hooks_settings: HooksSettings,
    service_settings: ServiceSettings,
    /// Names and clock offset that views are made with.
    view_context: ViewContext,
    /// Time at which the next round is due.
    next_round_at: Time,
    /// Time of the last completed round; zero before the first round.
    last_answer_at: Time,
    /// Advice in force.
    advice: Advice,
    /// View that was last sent to the hooks, by which their adjustments are read.
    advice_view: View,
    /// Rounds and status requests dropped because the hooks were still busy.
    pub skipped_rounds: u64,
}

/// Returns the bounds of what hooks may change.
pub fn bounds(hooks_settings: &HooksSettings) -> Bounds {
    Bounds {
        min_share: hooks_settings.min_share,
        max_share: hooks_settings.max_share,
        min_admitted_share: hooks_settings.min_admitted_share,
        max_lines_per_round: hooks_settings.max_lines_per_round,
        share_hold_time: hooks_settings.share_hold_time,
    }
}

/// Returns the rules by which failing hooks are suspended.
pub fn suspension_policy(hooks_settings: &HooksSettings) -> SuspensionPolicy {
    SuspensionPolicy {
        failure_threshold: hooks_settings.failure_threshold,
        failure_window: hooks_settings.failure_window,
        initial_suspension: hooks_settings.initial_suspension,
        max_suspension: hooks_settings.max_suspension,
        trial_calls: hooks_settings.trial_calls,
        round_time_limit: hooks_settings.round_time_limit,
    }
}

/// Returns the limits of one hook's calls.
pub fn limits(hook: &HookSettings) -> Limits {
    let time_limit = Duration::from_micros(hook.time_limit.0.saturating_mul(MICROSECONDS_PER_UNIT));
    Limits { max_operations: hook.max_operations, time_limit, max_memory_bytes: hook.max_memory_bytes }
}

/// Reads the scripts. Returns the hooks, and a report for each script that can't be read.
fn read_scripts(hooks_settings: &HooksSettings, folder: &Path) -> (Vec<HookConfig>, Vec<Report>) {
    let mut scripts = Vec::new();
    let mut unreadable = Vec::new();
    for hook in &hooks_settings.hooks {
        let path = folder.join(&hook.script);
        match std::fs::read_to_string(&path) {
            Ok(source) => scripts.push(HookConfig {
                name: hook.name.clone(),
                path: path.display().to_string(),
                source,
                order: hook.order,
                limits: limits(hook),
                settings: hook.settings.clone(),
            }),
            Err(error) => {
                let message = format!("{}: {error}; not taken", path.display());
                unreadable.push(Report {
                    hook: hook.name.clone(),
                    message,
                    is_fault: true,
                    is_transition: true,
                });
            }
        }
    }
    (scripts, unreadable)
}

/// Returns the log line of a report.
pub fn report_line(report: &Report) -> String {
    format!("hook {}: {}", report.hook, report.message)
}

/// Returns the folder that script paths are relative to: that of the operator's first file.
pub fn script_folder(files: &[PathBuf]) -> PathBuf {
    let variable = std::env::var_os("NODE_OPERATOR").map(PathBuf::from);
    let file = files.first().cloned().or(variable).unwrap_or_default();
    file.parent().map(Path::to_path_buf).unwrap_or_default()
}

impl Hooks {
    /// Starts the thread and loads the hooks. Returns a log line for each script that can't be read; the others run.
    pub fn start(
        hooks_settings: &HooksSettings,
        folder: &Path,
        service_settings: ServiceSettings,
        view_context: ViewContext,
    ) -> (Hooks, Vec<String>) {
        let (sender, responses) = mpsc::channel(MAX_QUEUED_RESPONSES);
        let worker =
            Worker::start(bounds(hooks_settings), suspension_policy(hooks_settings), move |response| {
                sender.blocking_send(response).is_ok()
            });
        let mut hooks = Hooks {
            worker,
            responses,
            hooks_settings: hooks_settings.clone(),
            service_settings,
            view_context: ViewContext {
                clock_offset_minutes: hooks_settings.clock_offset_minutes,
                ..view_context
            },
            next_round_at: Time::default(),
            last_answer_at: Time::default(),
            advice: Advice::default(),
            advice_view: View::default(),
            skipped_rounds: 0,
        };
        let lines = hooks.reload(hooks_settings, folder);
        (hooks, lines)
    }

    /// Loads new settings, and the scripts again. Returns log lines about what could not be loaded.
    pub fn reload(&mut self, hooks_settings: &HooksSettings, folder: &Path) -> Vec<String> {
        let (scripts, unreadable) = read_scripts(hooks_settings, folder);
        self.hooks_settings = hooks_settings.clone();
        self.view_context.clock_offset_minutes = hooks_settings.clock_offset_minutes;
        let request = HookRequest::Reload(
            bounds(hooks_settings),
            suspension_policy(hooks_settings),
            scripts,
            Box::new(View::sample()),
        );
        let mut lines: Vec<String> = unreadable.iter().map(report_line).collect();
        if !self.worker.try_send(request) {
            lines.push("hooks: still at a round, so that they are not taken over; ask again".into());
        }
        lines
    }

    /// Requests a status line for each hook, which arrives as a response.
    pub fn request_status(&mut self, now: Time) {
        if !self.worker.try_send(HookRequest::Status(now)) {
            self.skipped_rounds += 1;
        }
    }

    /// Waits for the next response.
    pub async fn next(&mut self) -> Option<HookResponse> {
        self.responses.recv().await
    }

    /// Returns the time at which the next round is due.
    pub fn next_round_at(&self) -> Time {
        self.next_round_at
    }

    /// Starts a round if one is due. Advice is dropped if the hooks have not answered within its time limit.
    pub fn start_round_if_due(&mut self, now: Time, reducer: &Reducer) -> Vec<Input> {
        if now < self.next_round_at {
            return Vec::new();
        }
        self.next_round_at = now + self.hooks_settings.round_interval;
        if self.last_answer_at == Time::default() {
            self.last_answer_at = now;
        }
        let (snapshot, names) = reducer.snapshot();
        let view = View::from_snapshot(
            &snapshot,
            &self.service_settings,
            &self.view_context,
            &names,
            &reducer.proxy_tags(),
        );
        if self.worker.try_send(HookRequest::Round(now, Box::new(view.clone()))) {
            self.advice_view = view;
        } else {
            self.skipped_rounds += 1;
        }
        if now < self.last_answer_at + self.hooks_settings.advice_timeout || self.advice == Advice::default()
        {
            return Vec::new();
        }
        self.advice = Advice::default();
        let timeout_seconds = self.hooks_settings.advice_timeout.seconds();
        let text = format!("hooks: no answer for {timeout_seconds} s; what they said last is dropped");
        vec![Input::AdviceReceived(Advice::default()), Input::LogWarnings(vec![text])]
    }

    /// Turns a response into inputs of the reducer and log lines.
    pub fn handle_response(
        &mut self,
        now: Time,
        response: HookResponse,
        reducer: &Reducer,
    ) -> (Vec<Input>, Vec<LogLine>) {
        let (adjustments, reports) = match response {
            HookResponse::RoundDone(adjustments, reports) => (Some(adjustments), reports),
            HookResponse::Reloaded(reports) => (None, reports),
            HookResponse::Status(mut lines) => {
                lines.push(format!("rounds skipped: {}", self.skipped_rounds));
                let lines =
                    lines.into_iter().map(|line| LogLine { is_fault: false, text: format!("hooks: {line}") });
                return (Vec::new(), lines.collect());
            }
        };
        let mut inputs = Vec::new();
        if let Some(adjustments) = adjustments {
            self.last_answer_at = now;
            let advice = adjustments
                .to_advice(&self.service_settings, &self.advice_view, |name| reducer.node_id(name));
            if advice != self.advice {
                self.advice = advice.clone();
                inputs.push(Input::AdviceReceived(advice));
            }
        }
        let (transitions, faults): (Vec<Report>, Vec<Report>) =
            reports.into_iter().partition(|report| report.is_transition);
        if !faults.is_empty() {
            inputs.push(Input::LogWarnings(faults.iter().map(report_line).collect()));
        }
        let lines = transitions
            .iter()
            .map(|report| LogLine { is_fault: report.is_fault, text: report_line(report) })
            .collect();
        (inputs, lines)
    }
}

//! The conductor's main loop: it runs turns until a signal stops it. [`start`] sets it up.

mod start;

use std::path::PathBuf;

use anyhow::Result;
use oatpitch::interface::Time;
use oatpitch_channel::net::server::FollowerEvent;
use oatpitch_hooks::worker::HookResponse;
use oatpitch_operator::OperatorSettings;
use oatpitch_state::Input;
use oatpitch_state::reducer::Reducer;
use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::clock::Clock;
use super::config::Configuration;
use super::effects::EffectRunner;
use super::hooks::Hooks;
use super::reload::{self, ReloadRetry};
use super::signals::Signals;
use super::{channel, log};
use crate::wire::limits;

/// Runs a conductor until a signal stops it.
pub async fn serve(
    mut signals: Signals,
    configuration: Configuration,
    files: Vec<PathBuf>,
    operator: OperatorSettings,
) -> Result<()> {
    let log = log::start(&configuration.name);
    let Some(sockets) = start::Sockets::open(&log, &mut signals, &configuration).await? else {
        info!(log, "stopped before listening");
        return Ok(());
    };
    let mut conductor = Conductor::start(log, sockets, configuration, files, operator).await?;
    conductor.run(&mut signals).await;
    conductor.stop().await;
    Ok(())
}

/// An event that the main loop waits for.
enum Event {
    /// The signal to reload configuration and operator's files.
    Reload,
    /// A rejected configuration is due to be read again.
    RetryReload,
    /// The signal to log the counters.
    LogCounters,
    /// An input from the inbox; `None` if the inbox is closed.
    Input(Option<Input>),
    /// A response of the hooks' thread.
    HookResponse(HookResponse),
    /// An event of a follower of the snapshot channel.
    Follower(FollowerEvent),
    /// A turn or a round of hooks is due.
    Timer,
}

/// A running conductor: the reducer, the sources of its inputs, and the runner of its effects.
struct Conductor {
    log: Logger,
    clock: Clock,
    reducer: Reducer,
    effect_runner: EffectRunner,
    /// Inputs from connections, datagrams and discovery.
    inputs: mpsc::Receiver<Input>,
    /// Events of followers of the snapshot channel, if one is published.
    follower_events: Option<mpsc::Receiver<FollowerEvent>>,
    hooks: Option<Hooks>,
    /// Operator's settings in force.
    operator: OperatorSettings,
    /// Operator's files given on the command line.
    files: Vec<PathBuf>,
    /// Configuration at startup, which a reloaded one is compared with.
    configuration: Configuration,
    /// Next attempt to read a configuration that was rejected.
    reload_retry: Option<ReloadRetry>,
    /// Time of the last turn.
    last_turn: Time,
    /// Inputs for the next turn, which close the connections whose send queues the last turn found full.
    close_inputs: Vec<Input>,
}

impl Conductor {
    /// Runs turns until a stop signal arrives.
    async fn run(&mut self, signals: &mut Signals) {
        loop {
            let mut inputs = std::mem::take(&mut self.close_inputs);
            if inputs.is_empty() {
                let Some(event) = self.next_event(signals).await else { return };
                let Some(first) = self.respond(event) else { continue };
                inputs = first;
            }
            // At most one turn per tick, so that changes that arrive together go out as one message.
            if self.clock.now() <= self.last_turn {
                tokio::select! {
                    biased;
                    () = signals.stop.recv() => return,
                    () = tokio::time::sleep_until(self.clock.next_tick()) => {}
                }
            }
            self.last_turn = self.clock.turn_time(self.last_turn, self.effect_runner.wake_at);
            self.gather_inputs(&mut inputs);
            self.run_turn(inputs);
        }
    }

    /// Waits for the next event. Returns `None` if the conductor is to stop.
    async fn next_event(&mut self, signals: &mut Signals) -> Option<Event> {
        let retry_due = self.reload_retry.as_ref().map(|reload_retry| reload_retry.due);
        let round_due = self.hooks.as_ref().map(|hooks| self.clock.instant_of(hooks.next_round_at()));
        let timer_due = self.effect_runner.wake_at.map(|at| self.clock.instant_of(at));
        Some(tokio::select! {
            // Signals are rare, and must not wait behind a steady stream of inputs.
            biased;
            () = signals.stop.recv() => return None,
            _ = signals.reload.recv() => Event::Reload,
            () = sleep_until_deadline(retry_due) => Event::RetryReload,
            _ = signals.log_counters.recv() => Event::LogCounters,
            input = self.inputs.recv() => Event::Input(input),
            Some(response) = next_hook_response(&mut self.hooks) => Event::HookResponse(response),
            () = sleep_until_deadline(round_due) => Event::Timer,
            Some(event) = next_follower_event(&mut self.follower_events) => Event::Follower(event),
            () = sleep_until_deadline(timer_due) => Event::Timer,
        })
    }

    /// Handles an event and returns the first inputs of a turn, or `None` if no turn is needed.
    fn respond(&mut self, event: Event) -> Option<Vec<Input>> {
        match event {
            Event::Reload => Some(self.reload()),
            Event::RetryReload => Some(self.retry_reload()),
            Event::LogCounters => {
                self.log_counters();
                None
            }
            Event::Input(input) => Some(input.into_iter().collect()),
            Event::HookResponse(response) => {
                Some(self.handle_hook_response(response)).filter(|inputs| !inputs.is_empty())
            }
            Event::Follower(event) => Some(channel::inputs(event)),
            Event::Timer => Some(Vec::new()),
        }
    }

    /// Reloads the configuration and the operator's files.
    fn reload(&mut self) -> Vec<Input> {
        let changes = reload::read_changes(&self.configuration);
        self.reload_retry = changes.is_err().then(ReloadRetry::first);
        let server = self.effect_runner.channel.as_ref();
        let warnings =
            reload::reload_operator_settings(server, &mut self.operator, &mut self.hooks, &self.files);
        vec![Input::ConfigReloaded(changes), Input::LogWarnings(warnings)]
    }

    /// Reads a rejected configuration again.
    fn retry_reload(&mut self) -> Vec<Input> {
        match reload::read_changes(&self.configuration) {
            Ok(changes) => {
                self.reload_retry = None;
                vec![Input::ConfigReloaded(Ok(changes))]
            }
            // The error was logged at the first attempt.
            Err(_) => {
                self.reload_retry = self.reload_retry.take().and_then(ReloadRetry::next);
                Vec::new()
            }
        }
    }

    /// Logs the counters and requests a status line for each hook.
    fn log_counters(&mut self) {
        info!(self.log, "counters: {}", self.reducer.counters);
        if let Some(server) = &self.effect_runner.channel {
            info!(self.log, "channel: {}", server.summary());
        }
        self.hooks.iter_mut().for_each(|hooks| hooks.request_status(self.last_turn));
    }

    /// Logs what hooks report, and returns their response as inputs.
    fn handle_hook_response(&mut self, response: HookResponse) -> Vec<Input> {
        let Some(hooks) = &mut self.hooks else { return Vec::new() };
        let (inputs, lines) = hooks.handle_response(self.last_turn, response, &self.reducer);
        for line in lines {
            if line.is_fault {
                warn!(self.log, "{}", line.text);
            } else {
                info!(self.log, "{}", line.text);
            }
        }
        inputs
    }

    /// Adds the inputs that are ready, up to the limit of one turn.
    fn gather_inputs(&mut self, inputs: &mut Vec<Input>) {
        while inputs.len() < limits::MAX_INPUTS_PER_TURN {
            let Ok(input) = self.inputs.try_recv() else { break };
            inputs.push(input);
        }
        let hooks = self.hooks.iter_mut();
        inputs.extend(hooks.flat_map(|hooks| hooks.start_round_if_due(self.last_turn, &self.reducer)));
        while let Some(events) =
            self.follower_events.as_mut().filter(|_| inputs.len() < limits::MAX_INPUTS_PER_TURN)
        {
            let Ok(event) = events.try_recv() else { break };
            inputs.extend(channel::inputs(event));
        }
        inputs.push(Input::LinesEntered(self.effect_runner.entered.take()));
        inputs.push(Input::TimerFired);
    }

    /// Runs one turn of the reducer and carries out its effects.
    fn run_turn(&mut self, inputs: Vec<Input>) {
        let effects = self.reducer.turn(self.last_turn, inputs);
        self.close_inputs = self.effect_runner.run(effects, &mut self.reducer.counters);
        self.effect_runner.publish(self.last_turn, self.reducer.applied_list_version());
    }

    /// Stops the channel and logs the final counters.
    async fn stop(self) {
        if let Some(server) = &self.effect_runner.channel {
            server.stop().await;
            info!(self.log, "channel: {}", server.summary());
        }
        info!(self.log, "stopped; counters: {}", self.reducer.counters);
    }
}

/// Waits for the next response of the hooks; forever if there are none.
async fn next_hook_response(hooks: &mut Option<Hooks>) -> Option<HookResponse> {
    match hooks {
        Some(hooks) => hooks.next().await,
        None => std::future::pending().await,
    }
}

/// Waits for the next event of a follower; forever if no channel is published.
async fn next_follower_event(events: &mut Option<mpsc::Receiver<FollowerEvent>>) -> Option<FollowerEvent> {
    match events {
        Some(events) => events.recv().await,
        None => std::future::pending().await,
    }
}

/// Sleeps until the deadline; forever if there is none.
async fn sleep_until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

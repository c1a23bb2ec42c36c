//! Runs hooks beside the conductor's turns: a thread takes the latest view, calls the hooks, and sends back the
//! adjustments. A turn hands a view over and goes on; what comes back is an input like any other.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

use oatpitch::interface::Time;

use crate::core::guard::{Adjustments, Bounds};
use crate::core::health::SuspensionPolicy;
use crate::core::view::View;
use crate::engine::SharedView;
use crate::engine::call_stack::with_call_stack;
use crate::set::{HookConfig, HookSet, Report};

/// What the conductor asks of the thread.
pub enum HookRequest {
    /// Runs a round at this time, over this view.
    Round(Time, Box<View>),
    /// Replaces the hooks. Each script is called once on the view before it takes part.
    Reload(Bounds, SuspensionPolicy, Vec<HookConfig>, Box<View>),
    /// Asks for a line about each hook, at this time.
    Status(Time),
}

/// What the thread answers.
#[derive(Clone, Debug, PartialEq)]
pub enum HookResponse {
    /// A round is over.
    RoundDone(Adjustments, Vec<Report>),
    /// The hooks are replaced.
    Reloaded(Vec<Report>),
    /// A line about each hook, then one for each kind of violation.
    Status(Vec<String>),
}

/// Most requests that wait: a round, and what operators ask for.
const MAX_WAITING_REQUESTS: usize = 4;

/// The conductor's handle of the thread. The thread ends when it is dropped.
pub struct Worker(SyncSender<HookRequest>);

impl Worker {
    /// Starts the thread. It calls `respond` with each response, and ends when that returns false.
    pub fn start(
        bounds: Bounds,
        policy: SuspensionPolicy,
        respond: impl Fn(HookResponse) -> bool + Send + 'static,
    ) -> Worker {
        let (sender, receiver) = sync_channel(MAX_WAITING_REQUESTS);
        thread::spawn(move || serve(HookSet::new(bounds, policy), &receiver, &respond));
        Worker(sender)
    }

    /// Sends a request without waiting. Returns false if it was dropped, because too many wait already or the
    /// thread has ended.
    pub fn try_send(&self, request: HookRequest) -> bool {
        match self.0.try_send(request) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}

fn serve(mut hooks: HookSet, requests: &Receiver<HookRequest>, respond: &impl Fn(HookResponse) -> bool) {
    for request in requests {
        // One stack serves all calls of a round.
        let response = with_call_stack(|| handle(&mut hooks, request));
        if !respond(response) {
            return;
        }
    }
}

fn handle(hooks: &mut HookSet, request: HookRequest) -> HookResponse {
    match request {
        HookRequest::Round(now, view) => {
            let (adjustments, reports) = hooks.run_round(now, &SharedView::from(*view));
            HookResponse::RoundDone(adjustments, reports)
        }
        HookRequest::Reload(bounds, policy, configs, sample) => {
            HookResponse::Reloaded(hooks.reload(bounds, policy, configs, &SharedView::from(*sample)))
        }
        HookRequest::Status(now) => {
            let mut lines = hooks.status_lines(now);
            let violations = hooks.violations.iter().map(|((hook, point, rule), count)| {
                format!("cut of hook {} at {point}, {rule}: {count}", hook.0)
            });
            lines.extend(violations);
            HookResponse::Status(lines)
        }
    }
}

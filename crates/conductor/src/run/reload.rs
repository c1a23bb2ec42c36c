//! Reloads the configuration and the operator's files while the conductor runs.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Result;
use oatpitch_channel::net::server::Server;
use oatpitch_operator::OperatorSettings;
use oatpitch_operator::records::channel::ChannelSettings;
use tokio::time::Instant;

use super::config::{self, Configuration, LoadPhase};
use super::hooks::{self, Hooks};
use super::{channel, operator};
use crate::wire::limits;

/// Schedule for reading a rejected configuration again, with a doubling delay and a limited number of attempts: the
/// file may have been half written.
pub struct ReloadRetry {
    /// Time of the next attempt.
    pub due: Instant,
    /// Delay before that attempt.
    delay: Duration,
}

impl ReloadRetry {
    /// Returns the first retry after a rejected configuration.
    pub fn first() -> ReloadRetry {
        ReloadRetry {
            due: Instant::now() + limits::MIN_RELOAD_RETRY_DELAY,
            delay: limits::MIN_RELOAD_RETRY_DELAY,
        }
    }

    /// Returns the retry after this one, or `None` after the last.
    pub fn next(self) -> Option<ReloadRetry> {
        let delay = self.delay * 2;
        (delay <= limits::MAX_RELOAD_RETRY_DELAY).then(|| ReloadRetry { due: Instant::now() + delay, delay })
    }
}

/// Reads the configuration again. Returns its discovery address and the keys that need a restart, or the error.
pub fn read_changes(current: &Configuration) -> Result<(SocketAddr, Vec<&'static str>), String> {
    let configuration = read(LoadPhase::Reload).map_err(|error| format!("{error:#}"))?;
    let restart_required_keys = current.restart_required_keys(&configuration);
    Ok((configuration.discovery, restart_required_keys))
}

/// Reads the configuration with the process's environment variables.
pub fn read(phase: LoadPhase) -> Result<Configuration> {
    config::read(phase, |name| std::env::var(name).ok())
}

/// Reloads the operator's files and applies what can change at run time. Returns log lines; keys that need a restart
/// are named in them. If the files can't be read, nothing changes.
pub fn reload_operator_settings(
    server: Option<&Server>,
    current: &mut OperatorSettings,
    hooks: &mut Option<Hooks>,
    files: &[PathBuf],
) -> Vec<String> {
    let new_settings = match operator::load_settings(files) {
        Ok(checked) => checked.settings,
        Err(error) => return vec![format!("operator's file not taken over: {error:#}")],
    };
    let restart_required_keys = current.restart_required_keys(&new_settings);
    let mut messages: Vec<String> = restart_required_keys
        .iter()
        .map(|key| format!("operator's file: {key} has changed, which takes a new start"))
        .collect();
    messages.extend(reload_channel_limits(server, current, &new_settings));
    messages.extend(reload_hooks(hooks, current, &new_settings, files));
    messages
}

/// Applies the channel's limits; its other settings need a restart.
fn reload_channel_limits(
    server: Option<&Server>,
    current: &mut OperatorSettings,
    new_settings: &OperatorSettings,
) -> Option<String> {
    let server = server?;
    let old = current.channel.as_mut()?;
    let new = new_settings.channel.as_ref()?;
    if channel::limits(old) == channel::limits(new) {
        return None;
    }
    server.set_limits(channel::limits(new));
    *old = ChannelSettings {
        listen: old.listen,
        lineage: old.lineage.clone(),
        max_subscribers: old.max_subscribers,
        ..new.clone()
    };
    Some("operator's file: the channel's limits are taken over".into())
}

/// Reloads hooks, if they are configured both before and after.
fn reload_hooks(
    hooks: &mut Option<Hooks>,
    current: &mut OperatorSettings,
    new_settings: &OperatorSettings,
    files: &[PathBuf],
) -> Vec<String> {
    match (hooks, &new_settings.hooks) {
        (Some(hooks), Some(settings)) => {
            let messages = hooks.reload(settings, &hooks::script_folder(files));
            current.hooks = Some(settings.clone());
            messages
        }
        (None, None) => Vec::new(),
        _ => vec!["operator's file: hooks has changed, which takes a new start".into()],
    }
}

//! The program: its sub-commands, and the conductor from start to stop.

mod accept;
mod channel;
mod clock;
mod command;
mod config;
mod connection;
mod effects;
mod follow;
mod hook_commands;
mod hooks;
mod log;
mod open_address;
mod operator;
mod peers;
mod reload;
mod serve;
mod signals;

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use clap::Parser;
use oatpitch_channel::net::client::Identity;
use tokio::task::LocalSet;

use command::{Command, CommandLine};
use config::LoadPhase;
use signals::Signals;

/// Runs the sub-command of the command line. An error is printed in one line on standard error.
pub fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let files = command_line.operator.files;
    let result = match command_line.command {
        None | Some(Command::Serve) => block_on(serve(files)),
        Some(Command::Check { files, json }) => return operator::check(&files, json),
        Some(Command::Follow { hosts, proxy, zone, rate, tags, count }) => operator::load_settings(&files)
            .and_then(|checked| {
                let identity = Identity { proxy, zone, rate, tags };
                block_on(async move {
                    follow::print_tables(&hosts, &identity, &checked.settings.follow.hold, count).await
                })
            }),
        Some(Command::Hooks { command }) => return hook_commands::execute(command),
        Some(Command::Relay) => operator::load_settings(&files).and_then(|checked| {
            block_on(async move { follow::run_relay(checked.settings.relay.as_ref()).await })
        }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // If standard error can't be written, the exit code still reports the failure.
            let _ = writeln!(std::io::stderr(), "oatpitch: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a task to its end on a single-threaded runtime.
fn block_on(task: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, task)
}

/// Reads the configuration and runs the conductor.
async fn serve(files: Vec<PathBuf>) -> Result<()> {
    // Signal handlers come first: a signal that arrives while files are read is neither lost nor fatal.
    let signals = Signals::start()?;
    let checked = operator::load_settings(&files)?;
    let configuration = reload::read(LoadPhase::Startup)?;
    serve::serve(signals, configuration, files, checked.settings).await
}

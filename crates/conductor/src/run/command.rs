//! The command line and its exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// A control plane for a service's proxies.
///
/// Without a sub-command it serves: NODE_CONFIG names the configuration file, and NODE_NAME, NODE_LISTEN and
/// NODE_DISCOVERY take precedence over its values.
#[derive(Debug, Parser)]
#[command(name = "oatpitch", version, after_help = EXIT_CODES_HELP)]
pub struct CommandLine {
    #[command(subcommand)]
    pub command: Option<Command>,
    #[command(flatten)]
    pub operator: OperatorFiles,
}

const EXIT_CODES_HELP: &str = "Exit codes: 0 all went well; 1 it could not start or go on, with one line that \
says why; 2 the command line can't be understood; 3 a file was checked and something in it is wrong.";

/// Exit code of a check that has found an error in a file.
pub const EXIT_INVALID_FILE: u8 = 3;

/// Files that the operator's settings are read from.
#[derive(Args, Clone, Debug, Default)]
pub struct OperatorFiles {
    /// An operator's file; several are unified into one. Without it, NODE_OPERATOR names the file.
    #[arg(long = "operator", value_name = "FILE", global = true)]
    pub files: Vec<PathBuf>,
}

/// The sub-commands of `oatpitch`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs the conductor; the default without a sub-command.
    Serve,
    /// Checks operator's files, and prints the resulting settings or every error.
    #[command(after_help = EXIT_CODES_HELP)]
    Check {
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// Prints the settings as one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Follows the snapshot channel of conductors or relays, and prints a JSON object for every table applied.
    #[command(after_help = EXIT_CODES_HELP)]
    Follow {
        /// Addresses at which the channel is published; if one fails, the next is tried.
        #[arg(required = true, value_name = "ADDRESS")]
        hosts: Vec<SocketAddr>,
        /// The proxy's number.
        #[arg(long, value_name = "N")]
        proxy: u32,
        /// Name of the proxy's zone.
        #[arg(long)]
        zone: String,
        /// The proxy's usual number of exchanges per second.
        #[arg(long, default_value_t = 1.0)]
        rate: f64,
        /// A tag of the proxy; can be given several times.
        #[arg(long = "tag", value_name = "NAME:VALUE", value_parser = parse_tag)]
        tags: Vec<(String, String)>,
        /// Ends after this number of tables.
        #[arg(long, value_name = "TABLES")]
        count: Option<u64>,
    },
    /// Checks and runs hooks' scripts without a conductor.
    #[command(after_help = EXIT_CODES_HELP)]
    Hooks {
        #[command(subcommand)]
        command: HooksCommand,
    },
    /// Follows one conductor's snapshot channel and publishes it to many, as `relay` in the operator's file configures.
    #[command(after_help = EXIT_CODES_HELP)]
    Relay,
}

/// Parses a tag of the form `NAME:VALUE`.
fn parse_tag(text: &str) -> Result<(String, String), String> {
    let (name, value) = text.split_once(':').ok_or("NAME:VALUE is meant")?;
    Ok((name.into(), value.into()))
}

/// The sub-commands of `oatpitch hooks`.
#[derive(Debug, Subcommand)]
pub enum HooksCommand {
    /// Loads a script, checks it and the settings, and calls each of its points.
    Check {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// A setting that the script declares; can be given several times.
        #[arg(long = "set", value_name = "KEY=VALUE")]
        settings: Vec<String>,
    },
    /// Runs a script on a view, and prints the input, the adjustments and what the guards cut.
    Run {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[arg(long = "set", value_name = "KEY=VALUE")]
        settings: Vec<String>,
        /// A recorded view as JSON; the default is the view of `sample`.
        #[arg(long, value_name = "RECORDED")]
        input: Option<PathBuf>,
    },
    /// Prints the view that scripts are checked with.
    Sample,
}

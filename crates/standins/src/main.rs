//! `oatpitch-standin`: runs what a conductor needs around it, to try one out on a single machine.

use std::io::BufRead;
use std::net::SocketAddr;

use clap::{Parser, Subcommand};
use oatpitch_standins::conductor;
use oatpitch_standins::discovery::Discovery;

/// Zones of the nodes at the start, in turns.
const ZONES: [&str; 2] = ["a", "b"];

#[derive(Parser)]
#[command(name = "oatpitch-standin", version, about = "Stand-ins for what a conductor needs, on loopback")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serves discovery until standard input ends. Commands on standard input: `active NODE ZONE`,
    /// `leaving NODE ZONE`, `left NODE ZONE`, `cut` (ends the watches), `stall` (withholds changes), `go`.
    Discovery {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:8500")]
        listen: SocketAddr,
        /// Number of nodes at the start: s-1, s-2 and so on, in zones a and b in turns.
        #[arg(long, default_value_t = 4)]
        nodes: usize,
    },
    /// Prints a configuration for a conductor.
    Config {
        /// Name of the conductor.
        #[arg(long, default_value = "n1")]
        name: String,
        /// Address that the conductor listens on.
        #[arg(long, default_value = "127.0.0.1:7070")]
        listen: SocketAddr,
        /// Address of discovery.
        #[arg(long, default_value = "127.0.0.1:8500")]
        discovery: SocketAddr,
        /// Number of proxies to be served.
        #[arg(long, default_value_t = 100)]
        proxies: u32,
    },
}

fn main() {
    match Arguments::parse().command {
        Command::Config { name, listen, discovery, proxies } => {
            println!("{:#}", conductor::config(&name, listen, discovery, proxies));
        }
        Command::Discovery { listen, nodes } => serve_discovery(listen, nodes),
    }
}

/// Serves discovery, and executes the commands on standard input until it ends.
fn serve_discovery(listen: SocketAddr, node_count: usize) {
    let names: Vec<String> = (1..=node_count).map(|number| format!("s-{number}")).collect();
    let nodes: Vec<(&str, &str)> = names.iter().map(String::as_str).zip(ZONES.into_iter().cycle()).collect();
    let discovery = Discovery::start_at(listen, &nodes);
    eprintln!("discovery on {}", discovery.address);
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["active", node, zone] => discovery.set_node(node, zone, "active"),
            ["leaving", node, zone] => discovery.set_node(node, zone, "leaving"),
            ["left", node, zone] => discovery.set_node(node, zone, "left"),
            ["cut"] => discovery.end_watches(),
            ["stall"] => discovery.set_stalled(true),
            ["go"] => discovery.set_stalled(false),
            [] => continue,
            _ => {
                eprintln!("unknown command: {line}");
                continue;
            }
        }
        eprintln!("version {}", discovery.version());
    }
}

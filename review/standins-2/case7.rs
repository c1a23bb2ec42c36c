//! Case 7: an operator replaces a hook's script by one that loops forever, and the platform watches the memory.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use common::*;

/// Memory limit by the configuration. The platform kills a conductor above it (deployment page).
const MEMORY_MB: u32 = 192;
/// How often the platform looks at the memory.
const WATCH_MS: u64 = 10;
/// How long the case watches after the new script.
const WATCHED_SECONDS: u64 = 45;

/// A harmless hook: it takes a little from nodes that lose many tries.
const GOOD_HOOK: &str = "fn shape(view, settings) {
    let shares = #{};
    for node in view.nodes {
        if node.tries > 0.0 && node.lost / node.tries > 0.1 { shares[node.name] = 0.5; }
    }
    shares
}
";

/// A bad hook: it never ends.
const BAD_HOOK: &str = "fn shape(view, settings) {
    let price = Fn(\"shape\");
    loop { price = price.curry(price); }
}
";

/// Joins as a proxy, and records the first order that comes.
fn join(address: std::net::SocketAddr, proxy: u32, record: &Record) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    let hello = format!(
        "{{\"t\":\"hello\",\"proxy\":{proxy},\"zone\":\"{}\",\"weight\":5.0,\"fresh\":true}}\n",
        ZONES[0]
    );
    stream.write_all(hello.as_bytes()).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    record.line(format!("dispatcher {proxy} joined and was sent: {}", line.trim_end()));
    Some(stream)
}

/// Whether the conductor answers a probe within a second.
fn is_alive(address: std::net::SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = stream.write_all(b"{\"t\":\"probe\"}\n");
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).is_ok() && line.contains("alive")
}

fn main() -> ExitCode {
    let record = Record::create();
    let trouble = has_trouble();
    let folder = Folder::create("review-7");
    let nodes: Vec<(String, String, u64)> =
        (0..12).map(|index| (format!("s-{index:02}"), ZONES[index % 3].to_string(), 0)).collect();
    let discovery = Discovery::start(&nodes);
    let listen = free_address();
    let config = folder.write("config.json", &configuration("n1", listen, discovery.address, 12, MEMORY_MB));
    folder.write("price.rhai", GOOD_HOOK);
    // The limits of a call are at their defaults: 200000 operations, 256 KiB, 20 ms.
    let operator =
        folder.write("operator.cue", "hooks: each: [\n\t{name: \"price\", script: \"price.rhai\"},\n]\n");
    let variables = [("NODE_CONFIG", config), ("NODE_OPERATOR", operator)];
    let mut conductor = Process::start("conductor", "exec target/release/oatpitch", &variables, &folder.0);
    if !wait_until_alive(listen) {
        return record.finish(COULD_NOT_RUN, "the conductor was not ready within 30 s");
    }
    let streams: Vec<TcpStream> = (0..6).filter_map(|proxy| join(listen, proxy, &record)).collect();
    if streams.len() < 6 {
        return record.finish(COULD_NOT_RUN, "not every dispatcher could join");
    }
    sleep_ms(5_000);
    record.line(format!("memory: {:?} KiB", conductor.memory_kib("VmRSS")));
    let script = if trouble { BAD_HOOK } else { GOOD_HOOK };
    folder.write("price.rhai", script);
    record.line(format!("the operator replaces the script by this one, and sends SIGHUP:\n{script}"));
    conductor.signal("HUP");

    let start = Instant::now();
    let mut next_line = Duration::ZERO;
    let mut killed = None;
    while start.elapsed() < Duration::from_secs(WATCHED_SECONDS) {
        if let Some(status) = conductor.ended() {
            killed = Some(format!("the conductor ended by itself: {status}"));
            break;
        }
        let kib = conductor.memory_kib("VmRSS").unwrap_or(0);
        if kib > u64::from(MEMORY_MB) * 1024 {
            conductor.signal("KILL");
            killed = Some(format!(
                "the conductor took {kib} KiB of the {MEMORY_MB} MiB allowed, {} ms after the new script, and was killed",
                start.elapsed().as_millis()
            ));
            break;
        }
        if start.elapsed() >= next_line {
            next_line += Duration::from_secs(5);
            record.line(format!("memory: {kib} KiB; alive: {}", is_alive(listen)));
        }
        sleep_ms(WATCH_MS);
    }
    sleep_ms(300);
    let log = std::fs::read_to_string(folder.0.join("conductor.log")).unwrap_or_default();
    let about_hooks: Vec<&str> = log.lines().filter(|line| line.contains("hook")).collect();
    record.line(format!("the conductor's log about hooks:\n{}", about_hooks.join("\n")));
    match killed {
        Some(text) => record.finish(BROKEN, &text),
        None if !is_alive(listen) => record.finish(BROKEN, "the conductor no longer answers"),
        None => record.finish(HELD, "the conductor served on within its memory"),
    }
}

//! Case 10: two relays of the snapshot channel die and come back, and then a node drains.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};

use common::*;

const NODES: usize = 30;
/// Proxies by the settings: those of two conductors.
const PROXIES: u32 = 150;
/// Dispatchers that follow the conductor itself, all of one zone.
const DIRECT: usize = 6;
/// Dispatchers behind each of the two relays.
const BEHIND: usize = 2;
/// Exchanges a second of a dispatcher. A relay states the sum of those behind it.
const RATE: usize = 5;
/// The relays, proxies to the conductor, come back so long after they died (the brief: 1.6 to 4.9 s).
const BACK_MS: [u64; 2] = [4_500, 3_000];
/// The grace of a drain by the settings, and the slack that the protocol adds on sockets.
const GRACE_MS: u64 = 3_000 + 300;

/// The nodes that each dispatcher may pick for `quote`, by the last table that it printed.
type Tables = Arc<Mutex<BTreeMap<usize, BTreeSet<String>>>>;

/// Returns the nodes of the class `quote` in a line printed by `oatpitch follow`.
fn quote_nodes(line: &str) -> BTreeSet<String> {
    let Some((_, rest)) = line.split_once("\"quote\":{") else { return BTreeSet::new() };
    let inner = rest.split('}').next().unwrap_or_default();
    inner.split(',').filter_map(|pair| Some(pair.split('"').nth(1)?.to_string())).collect()
}

/// Returns a field of a line, as it stands there.
fn field(line: &str, key: &str) -> String {
    let Some((_, rest)) = line.split_once(&format!("\"{key}\":")) else { return String::new() };
    rest.split([',', '}']).next().unwrap_or_default().to_string()
}

fn dispatcher(
    index: usize,
    publisher: SocketAddr,
    tables: &Tables,
    record: &Record,
    folder: &Path,
) -> Process {
    let command = format!(
        "exec target/release/oatpitch follow {publisher} --proxy {index} --zone {} --rate {RATE}",
        ZONES[0]
    );
    let mut process = Process::start(&format!("dispatcher-{index}"), &command, &[], folder);
    let (tables, record) = (tables.clone(), record.clone());
    process.on_line(move |line| {
        let nodes = quote_nodes(&line);
        let place = format!("feed {} revision {}", field(&line, "feed"), field(&line, "revision"));
        record.line(format!("dispatcher {index}: {place}, quote goes to {nodes:?}"));
        tables.lock().unwrap().insert(index, nodes);
    });
    process
}

fn relay(index: usize, file: &str, record: &Record, folder: &Path) -> Process {
    record.line(format!("relay {index} starts"));
    let variables = [("NODE_OPERATOR", file.to_string())];
    Process::start(&format!("relay-{index}"), "exec target/release/oatpitch relay", &variables, folder)
}

/// Returns the dispatchers whose tables have a node.
fn holders(tables: &Tables, node: &str) -> Vec<usize> {
    let tables = tables.lock().unwrap();
    tables.iter().filter(|(_, nodes)| nodes.contains(node)).map(|(index, _)| *index).collect()
}

fn main() -> ExitCode {
    let record = Record::create();
    let trouble = has_trouble();
    let folder = Folder::create("review-10");
    let nodes: Vec<(String, String, u64)> =
        (0..NODES).map(|index| (format!("s-{index:02}"), ZONES[index % 3].to_string(), 0)).collect();
    let discovery = Discovery::start(&nodes);
    let listen = free_address();
    let channel = free_address();
    let config = folder.write("config.json", &configuration("n1", listen, discovery.address, PROXIES, 192));
    let operator = folder.write(
        "operator.cue",
        &format!("channel: {{\n\tlisten: \"{channel}\"\n\tlineage: \"santiago\"\n}}\n"),
    );
    let variables = [("NODE_CONFIG", config), ("NODE_OPERATOR", operator)];
    let mut conductor = Process::start("conductor", "exec target/release/oatpitch", &variables, &folder.0);
    if !wait_until_alive(listen) {
        return record.finish(COULD_NOT_RUN, "the conductor was not ready within 30 s");
    }
    let tables: Tables = Arc::default();
    let mut dispatchers: Vec<Process> =
        (0..DIRECT).map(|index| dispatcher(index, channel, &tables, &record, &folder.0)).collect();
    sleep_ms(2_000);
    let publish = [free_address(), free_address()];
    let files: Vec<String> = (0..2)
        .map(|index| {
            let text = format!(
                "relay: {{\n\torigins: [\"{channel}\"]\n\tpublish: {{\n\t\tlisten: \"{}\"\n\t\tlineage: \"santiago\"\n\t}}\n\
                 \tproxy: {}\n\tzone: \"{}\"\n\trate: {}\n}}\n",
                publish[index],
                100 + index,
                ZONES[0],
                BEHIND * RATE
            );
            folder.write(&format!("relay-{index}.cue"), &text)
        })
        .collect();
    let mut relays = Vec::new();
    for index in 0..2 {
        relays.push(Some(relay(index, &files[index], &record, &folder.0)));
        sleep_ms(1_500);
    }
    for index in 0..2 * BEHIND {
        let number = DIRECT + index;
        dispatchers.push(dispatcher(number, publish[index / BEHIND], &tables, &record, &folder.0));
    }
    // Until all have a table, and the first caution of the conductor is over.
    sleep_ms(10_000);
    let held = tables.lock().unwrap().clone();
    if held.len() < dispatchers.len() || held.values().any(BTreeSet::is_empty) {
        return record.finish(COULD_NOT_RUN, "not every dispatcher has a table");
    }
    let behind_last = DIRECT + BEHIND;
    if held[&DIRECT] == held[&behind_last] {
        return record.finish(COULD_NOT_RUN, "both relays have the same part of the table");
    }

    // A release: one node after another drains, of the table behind the second relay.
    let draining: Vec<String> = held[&behind_last].iter().take(2).cloned().collect();
    record.line(format!("discovery: {} is leaving", draining[0]));
    discovery.set(&draining[..1], "leaving", None);
    sleep_ms(4_000);

    if trouble {
        record.line("both relays are killed");
        relays.iter_mut().for_each(|relay| drop(relay.take()));
        sleep_ms(BACK_MS[1]);
        relays[1] = Some(relay(1, &files[1], &record, &folder.0));
        sleep_ms(BACK_MS[0] - BACK_MS[1]);
        relays[0] = Some(relay(0, &files[0], &record, &folder.0));
    }
    sleep_ms(10_000);

    // The release goes on.
    record.line(format!("discovery: {} is leaving", draining[1]));
    discovery.set(&draining[1..], "leaving", None);
    let told = record.ms();
    sleep_ms(GRACE_MS);
    let sending = holders(&tables, &draining[1]);
    record.line(format!(
        "{} ms after the news, dispatchers that still send to it: {sending:?}",
        record.ms() - told
    ));
    // How long it goes on is not part of the rule.
    sleep_ms(15_000);
    let later = holders(&tables, &draining[1]);
    record.line(format!("{} ms after the news: {later:?}", record.ms() - told));
    for index in &sending {
        let log =
            std::fs::read_to_string(folder.0.join(format!("dispatcher-{index}.log"))).unwrap_or_default();
        for line in log.lines().rev().take(4) {
            record.line(format!("log of dispatcher {index}, last lines first: {line}"));
        }
    }
    if let Some(status) = conductor.ended() {
        return record.finish(BROKEN, &format!("the conductor ended: {status}"));
    }
    for relay in relays.iter_mut().flatten() {
        if let Some(status) = relay.ended() {
            return record.finish(COULD_NOT_RUN, &format!("{} ended: {status}", relay.name));
        }
    }
    if sending.is_empty() {
        return record.finish(HELD, "all dispatchers stopped sending to the draining node within the grace");
    }
    let text = format!(
        "{} of {} dispatchers behind a relay still send to {} after the grace; {} of them 15 s later",
        sending.len(),
        2 * BEHIND,
        draining[1],
        later.len()
    );
    record.finish(BROKEN, &text)
}

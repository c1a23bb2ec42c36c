//! Case 6: dispatchers follow the snapshot channel; some of their streams break and come back, and then a node drains.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::*;

const NODES: usize = 30;
/// Proxies by the settings: those of two conductors.
const PROXIES: u32 = 150;
/// Dispatchers that follow the channel here, all of one zone.
const DISPATCHERS: usize = 18;
/// Streams that break at once: 8 of 18, which is 44% (the brief: 22 to 88%).
const BROKEN_STREAMS: usize = 8;
/// A dispatcher notices a broken stream after this time (the brief: 220 to 2,200 ms).
const NOTICE_MS: u64 = 2_200;
/// Its new stream comes up after this further time (the brief: it dials again within 97 to 400 ms).
const REDIAL_MS: u64 = 350;
/// The grace of a drain by the settings, and the slack that the protocol adds on sockets.
const GRACE_MS: u64 = 3_000 + 300;

/// The nodes that a dispatcher may pick for a class, by the last table that it printed.
type Tables = Arc<Mutex<BTreeMap<usize, (BTreeSet<String>, String)>>>;

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

fn main() -> ExitCode {
    let record = Record::create();
    let trouble = has_trouble();
    let folder = Folder::create("review-6");
    let nodes: Vec<(String, String, u64)> =
        (0..NODES).map(|index| (format!("s-{index:02}"), ZONES[index % 3].to_string(), 0)).collect();
    let discovery = Discovery::start(&nodes);
    let listen = free_address();
    let channel = free_address();
    let config = folder.write("config.json", &configuration("n1", listen, discovery.address, PROXIES, 192));
    // Everything but the two addresses is at its default.
    let operator = folder.write(
        "operator.cue",
        &format!("channel: {{\n\tlisten: \"{channel}\"\n\tlineage: \"santiago\"\n}}\n"),
    );
    let variables = [("NODE_CONFIG", config), ("NODE_OPERATOR", operator)];
    let mut conductor = Process::start("conductor", "exec target/release/oatpitch", &variables, &folder.0);
    if !wait_until_alive(listen) {
        return record.finish(COULD_NOT_RUN, "the conductor was not ready within 30 s");
    }
    record.line("the conductor answered a probe");

    let tables: Tables = Arc::default();
    let mut links = Vec::new();
    let mut dispatchers = Vec::new();
    for index in 0..DISPATCHERS {
        let link = Link::start(channel);
        let command = format!(
            "exec target/release/oatpitch follow {} --proxy {index} --zone {} --rate 5",
            link.address, ZONES[0]
        );
        let mut process = Process::start(&format!("dispatcher-{index}"), &command, &[], &folder.0);
        let (tables, record) = (tables.clone(), record.clone());
        process.on_line(move |line| {
            let nodes = quote_nodes(&line);
            let place = format!("feed {} revision {}", field(&line, "feed"), field(&line, "revision"));
            record.line(format!("dispatcher {index}: {place}, quote goes to {nodes:?}"));
            tables.lock().unwrap().insert(index, (nodes, place));
        });
        links.push(link);
        dispatchers.push(process);
    }
    // Until all have a table, and the first caution of the conductor is over.
    sleep_ms(12_000);
    let held = tables.lock().unwrap().clone();
    if held.len() < DISPATCHERS || held.values().any(|(nodes, _)| nodes.is_empty()) {
        return record.finish(COULD_NOT_RUN, "not every dispatcher has a table");
    }

    // A release: one node after another drains, of two tables.
    let of_table = |index: usize, which: usize| held[&index].0.iter().nth(which).cloned().unwrap_or_default();
    let Some(other) = (1..DISPATCHERS).find(|index| held[index].0 != held[&0].0) else {
        return record.finish(COULD_NOT_RUN, "all dispatchers have the same part of the table");
    };
    let before = [of_table(0, 0), of_table(other, 0)];
    let after = [of_table(other, 1), of_table(0, 1)];
    for node in &before {
        record.line(format!("discovery: {node} is leaving"));
        discovery.set(std::slice::from_ref(node), "leaving", None);
        sleep_ms(4_000);
    }

    // Streams break at once. Of each table, less than half of the dispatchers are concerned.
    let mut by_table: BTreeMap<BTreeSet<String>, Vec<usize>> = BTreeMap::new();
    for (index, (nodes, _)) in tables.lock().unwrap().iter() {
        by_table.entry(nodes.clone()).or_default().push(*index);
    }
    record.line(format!(
        "{} tables, of {:?} dispatchers",
        by_table.len(),
        by_table.values().map(Vec::len).collect::<Vec<_>>()
    ));
    let mut groups: Vec<Vec<usize>> = by_table.into_values().collect();
    // Those that hold the nodes that drain next come first.
    groups.sort_by_key(|group| {
        after.iter().position(|node| tables.lock().unwrap()[&group[0]].0.contains(node)).unwrap_or(2)
    });
    let mut broken = Vec::new();
    while broken.len() < BROKEN_STREAMS {
        for group in &mut groups {
            if broken.len() < BROKEN_STREAMS && !group.is_empty() {
                broken.push(group.remove(0));
            }
        }
    }
    if trouble {
        record.line(format!("the streams of dispatchers {broken:?} break"));
        broken.iter().for_each(|index| links[*index].break_silently());
        sleep_ms(NOTICE_MS);
        record.line("they notice it");
        broken.iter().for_each(|index| links[*index].mend(Duration::from_millis(REDIAL_MS)));
        sleep_ms(REDIAL_MS);
    }
    sleep_ms(8_000);

    // The release goes on.
    let holders = |node: &String| -> Vec<usize> {
        let tables = tables.lock().unwrap();
        tables.iter().filter(|(_, (nodes, _))| nodes.contains(node)).map(|(index, _)| *index).collect()
    };
    let mut sending = Vec::new();
    for node in &after {
        record.line(format!("discovery: {node} is leaving"));
        discovery.set(std::slice::from_ref(node), "leaving", None);
        sleep_ms(GRACE_MS);
        let late = holders(node);
        record.line(format!("{GRACE_MS} ms after the news, dispatchers that still send to {node}: {late:?}"));
        sending.extend(late);
    }
    // How long it goes on is not part of the rule.
    sleep_ms(15_000);
    let later: Vec<usize> = after.iter().flat_map(holders).collect();
    record.line(format!("15 s later: {later:?}"));
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
    if sending.is_empty() {
        return record.finish(HELD, "all dispatchers stopped sending to the draining node within the grace");
    }
    let text = format!(
        "{} of {DISPATCHERS} dispatchers still send to a draining node after the grace; {} of them 15 s later",
        sending.len(),
        later.len()
    );
    record.finish(BROKEN, &text)
}

//! Case 9: the list of one conductor empties, that conductor is restarted, and then dispatchers of another one join it.

mod common;
mod json;
mod proxy;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use common::*;
use proxy::{collect, Proxy};

const CLASSES: [&str; 2] = ["quote", "advance"];
/// The first size of the brief.
const NODES: usize = 12;
const DISPATCHERS: u32 = 12;
/// A planned restart: the conductor is away for so long.
const AWAY_MS: u64 = 1_500;
/// A dispatcher whose stream has ended dials another conductor after this time (the brief: 97 to 400 ms).
const REDIAL_MS: u64 = 250;
/// The grace by the settings, and the slack on sockets.
const GRACE_MS: u64 = 3_000 + 300;

/// Starts a conductor with the list that it last had.
fn start(index: usize, listen: SocketAddr, discovery: &Discovery, known: &str, folder: &Folder) -> Process {
    let text = configuration(&format!("n{index}"), listen, discovery.address, DISPATCHERS, 192);
    let text = text.replacen("\"settings\":", &format!("\"known\":{known},\"settings\":"), 1);
    let path = folder.write(&format!("config-{index}.json"), &text);
    Process::start(
        &format!("conductor-{index}"),
        "exec target/release/oatpitch",
        &[("NODE_CONFIG", path)],
        &folder.0,
    )
}

/// Stops a conductor as a planned restart does: SIGTERM, and its dispatchers go to the other one.
fn stop(conductor: &mut Process, dispatchers: &[Proxy], other: SocketAddr, record: &Record) -> bool {
    record.line(format!("{} is stopped with SIGTERM", conductor.name));
    conductor.signal("TERM");
    sleep_ms(REDIAL_MS);
    let left = dispatchers.iter().filter(|dispatcher| !dispatcher.held.lock().unwrap().joined);
    left.map(|dispatcher| dispatcher.join(other, 8.0, false)).all(|joined| joined)
}

fn main() -> ExitCode {
    let record = Record::create();
    let trouble = has_trouble();
    let folder = Folder::create("review-9");
    let nodes: Vec<(String, String, u64)> =
        (0..NODES).map(|index| (format!("s-{index:02}"), ZONES[index % 3].to_string(), 0)).collect();
    let names: Vec<String> = nodes.iter().map(|(name, ..)| name.clone()).collect();
    // The agents of the two conductors.
    let lists = [Discovery::start(&nodes), Discovery::start(&nodes)];
    let listen = [free_address(), free_address()];
    let mut conductors: Vec<Process> = (0..2)
        .map(|index| start(index, listen[index], &lists[index], &lists[index].document(None).1, &folder))
        .collect();
    if !listen.iter().all(|address| wait_until_alive(*address)) {
        return record.finish(COULD_NOT_RUN, "a conductor was not ready within 30 s");
    }
    let dispatchers: Vec<Proxy> = (0..DISPATCHERS)
        .map(|number| Proxy::new(number, ZONES[number as usize % 3], &CLASSES, &names[..6], &record))
        .collect();
    let joined = dispatchers
        .iter()
        .enumerate()
        .map(|(index, dispatcher)| dispatcher.join(listen[index % 2], 8.0, true));
    if !joined.collect::<Vec<bool>>().iter().all(|joined| *joined) {
        return record.finish(COULD_NOT_RUN, "not every dispatcher could join");
    }
    let ended = Arc::new(AtomicBool::new(false));
    for address in listen {
        for zone in ZONES {
            collect(address, zone, &dispatchers, "{\"util\":0.4,\"queue\":0.0}", ended.clone());
        }
    }
    sleep_ms(8_000);

    if trouble {
        record.line("the list of conductor 0 empties");
        lists[0].empty();
    }
    sleep_ms(3_000);
    // Planned restarts, one at a time.
    if !stop(&mut conductors[0], &dispatchers, listen[1], &record) {
        return record.finish(COULD_NOT_RUN, "not every dispatcher could join conductor 1");
    }
    sleep_ms(AWAY_MS - REDIAL_MS);
    let known = lists[0].document(None).1;
    record.line(format!("conductor 0 is started again with the list that it last had: {known}"));
    conductors[0] = start(0, listen[0], &lists[0], &known, &folder);
    if !wait_until_alive(listen[0]) {
        return record.finish(COULD_NOT_RUN, "conductor 0 was not ready within 30 s");
    }
    sleep_ms(6_000);
    if !stop(&mut conductors[1], &dispatchers, listen[0], &record) {
        return record.finish(COULD_NOT_RUN, "not every dispatcher could join conductor 0");
    }
    let moved = record.ms();
    sleep_ms(AWAY_MS - REDIAL_MS);
    record.line("conductor 1 is started again");
    conductors[1] = start(1, listen[1], &lists[1], &lists[1].document(None).1, &folder);
    sleep_ms(GRACE_MS + 200 - (AWAY_MS - REDIAL_MS));

    let sending = |when: &str| -> usize {
        let gone = |dispatcher: &&Proxy| {
            let held = dispatcher.held.lock().unwrap();
            let pickable = CLASSES.iter().flat_map(|class| held.pickable(class));
            // By the list of conductor 0, whose stream it is on.
            held.joined && trouble && pickable.count() > 0
        };
        let numbers: Vec<u32> = dispatchers.iter().filter(gone).map(|dispatcher| dispatcher.number).collect();
        record.line(format!(
            "{} ms after they joined, {when}: {numbers:?} pick nodes that are gone",
            record.ms() - moved
        ));
        numbers.len()
    };
    let after_grace = sending("after the grace");
    sleep_ms(10_000);
    let later = sending("10 s later");
    let joined = dispatchers.iter().filter(|dispatcher| dispatcher.held.lock().unwrap().joined).count();
    ended.store(true, Ordering::SeqCst);
    if let Some(status) = conductors[0].ended() {
        return record.finish(BROKEN, &format!("conductor 0 ended: {status}"));
    }
    if joined < DISPATCHERS as usize {
        return record.finish(COULD_NOT_RUN, "a dispatcher lost its stream, which has no part in this case");
    }
    if after_grace == 0 {
        // Without the disruption, each dispatcher must have its table.
        let bare =
            dispatchers.iter().any(|dispatcher| dispatcher.held.lock().unwrap().pickable("quote").is_empty());
        if !trouble && bare {
            return record.finish(BROKEN, "a dispatcher has no node to pick");
        }
        return record.finish(HELD, "no joined dispatcher picks a node that is gone by its conductor's list");
    }
    let text = format!("{after_grace} of {DISPATCHERS} joined dispatchers pick nodes that are gone after the grace; {later} do 10 s later");
    record.finish(BROKEN, &text)
}

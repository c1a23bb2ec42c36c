//! Case 8: where the roster answers only when asked, a new configuration moves discovery during a release. The new
//! address is silent for a moment, while the old one goes on telling changes until it closes.

mod common;
mod json;
mod proxy;

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::*;
use proxy::{collect, Proxy};

/// The sites of `sur-concepcion`.
const SITES: [&str; 4] = ["talcahuano", "chiguayante", "hualpen", "penco"];
const CLASSES: [&str; 3] = ["consulta-deudor", "aviso-cesion", "registro-cesion"];
/// Nodes and front ends (the brief: 16 to 20, and 8 to 12).
const NODES: usize = 20;
const FRONT_ENDS: u32 = 8;
/// Nodes that a release replaces, six in ten, and the time that it takes (fleet page, `join+mass`).
const REPLACED: usize = 12;
const RELEASE_MS: u64 = 7_000;
/// The release begins so long before the new configuration.
const RELEASE_BEFORE_MS: u64 = 2_000;
/// So long the new address is silent (protocol page: while discovery is down it is silent).
const SILENT_MS: u64 = 1_250;
/// The old address closes its open connections after this time (service page).
const OLD_CLOSES_MS: u64 = 1_500;
/// Time limits wait so long after SIGHUP (service page).
const RELOAD_SLACK_MS: u64 = 4_000;
/// `guarantees.ask_within_us`; after a failed call it is four times as long.
const ASK_WITHIN_MS: u64 = 10_000;
/// `guarantees.stop_sending_within_us`, and the slack on sockets.
const GRACE_MS: u64 = 3_000 + 300;

fn sur_configuration(listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"1c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
"settings":{{"azs":["talcahuano","chiguayante","hualpen","penco"],
"classes":[
{{"name":"consulta-deudor","semantics":"safe","promise_us":1500000,"deadline_us":5000000,"late_share":0.1,"worth":3.0,
"dedup_scope":"all","window_us":5000000}},
{{"name":"aviso-cesion","semantics":"keyed","promise_us":2000000,"deadline_us":5000000,"late_share":0.1,"worth":2.0,
"dedup_scope":"all","window_us":5000000}},
{{"name":"registro-cesion","semantics":"unsafe","promise_us":3000000,"deadline_us":7500000,"late_share":0.1,"worth":2.0,
"dedup_scope":"all","window_us":5000000}}],
"counted_by":"request","discovery":"ask","family":"control","fees":{{"cross_zone":0.04}},
"guarantees":{{"ask_within_us":10000000,"cold_from":0.16,"fall_multiple":4.0,"overload_for_us":2000000,
"stop_sending_within_us":3000000,"warm_up_us":18000000}},
"instances":1,"kinds":["grande","mediana","chica"],
"report":{{"columns":["cpu","active","avg_ms"],"how":"piggyback"}},
"specifics":{{"admit":"silent","blackhole_us":3600000,"bootstrap":10,"class_writes":[false,true,true],
"cycle_us":1000000,"data_plane_size":{FRONT_ENDS},"egress_per_s":15000.0,"head":6.0,"hears_per_s":500.0,
"home_only":[false,false,false],"local_first":true,"min_conn_cap":140.0,"pending_max":30000.0,"pick":"weighted",
"push_delay_max_us":1000000,"push_delay_us":300000,"reloads_max":20,"slices":0,"strikes":3,"try_factor":0.8,
"update_window_us":10000000,"usual_how":0}},
"tick_us":4000,"weight_kind":"rough","zone":0}}}}"#
    )
}

/// An address of discovery in front of a list: silent, open or closed.
struct Address {
    address: SocketAddr,
    silent: Arc<AtomicBool>,
    closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Address {
    fn start(list: &Discovery, silent: bool, record: &Record, name: &'static str) -> Address {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = Address {
            address: listener.local_addr().expect("an address"),
            silent: Arc::new(AtomicBool::new(silent)),
            closed: Arc::default(),
            open: Arc::default(),
        };
        let (silent, closed, open) = (address.silent.clone(), address.closed.clone(), address.open.clone());
        let (list, record) = (list.clone(), record.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if closed.load(Ordering::SeqCst) {
                    // It takes no new connection.
                    continue;
                }
                let is_silent = silent.load(Ordering::SeqCst);
                record.line(format!(
                    "discovery at the {name} address: a connection{}",
                    if is_silent { ", which stays silent" } else { "" }
                ));
                open.lock().unwrap().push(client.try_clone().expect("a second handle"));
                if !is_silent {
                    let list = list.clone();
                    thread::spawn(move || list.serve(client));
                }
            }
        });
        address
    }

    fn close_open(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn main() -> ExitCode {
    let record = Record::create();
    let trouble = has_trouble();
    let folder = Folder::create("review-8");
    let names: Vec<String> = (0..NODES + REPLACED).map(|index| format!("s-{index:02}")).collect();
    let nodes: Vec<(String, String, u64)> = names[..NODES]
        .iter()
        .enumerate()
        .map(|(index, name)| (name.clone(), SITES[index % 4].to_string(), 0))
        .collect();
    let list = Discovery::start(&nodes);
    let old = Address::start(&list, false, &record, "old");
    let new = Address::start(&list, trouble, &record, "new");
    let listen = free_address();
    let known = list.document(None).1;
    let path = folder.write("config.json", &sur_configuration(listen, old.address, &known));
    let variables = [("NODE_CONFIG", path)];
    let mut conductor = Process::start("conductor", "exec target/release/oatpitch", &variables, &folder.0);
    if !wait_until_alive(listen) {
        return record.finish(COULD_NOT_RUN, "the conductor was not ready within 30 s");
    }
    let proxies: Vec<Proxy> = (0..FRONT_ENDS)
        .map(|number| Proxy::new(number, SITES[number as usize % 4], &CLASSES, &names[..10], &record))
        .collect();
    if !proxies.iter().all(|proxy| proxy.join(listen, 8.0, true)) {
        return record.finish(COULD_NOT_RUN, "not every front end could join");
    }
    let stop = Arc::new(AtomicBool::new(false));
    for site in SITES {
        collect(listen, site, &proxies, "{\"util\":0.4,\"inflight\":1.0,\"latency_ms\":200.0}", stop.clone());
    }
    sleep_ms(12_000);

    // A release: nodes drain, are gone, and others start cold in their place, one step after another.
    let release = {
        let (list, record, names) = (list.clone(), record.clone(), names.clone());
        thread::spawn(move || {
            let step = Duration::from_millis(RELEASE_MS / (3 * REPLACED as u64));
            for index in 0..REPLACED {
                record.line(format!("discovery: {} is leaving", names[index]));
                list.set(&names[index..=index], "leaving", None);
                thread::sleep(step);
                record.line(format!("discovery: {} has left", names[index]));
                list.set(&names[index..=index], "left", None);
                thread::sleep(step);
                let started = &names[NODES + index];
                record.line(format!("discovery: {started} has started"));
                list.add(started, SITES[index % 4], unix_ms());
                thread::sleep(step);
            }
        })
    };
    sleep_ms(RELEASE_BEFORE_MS);
    record.line("the operator writes a configuration that moves discovery, and sends SIGHUP");
    old.closed.store(true, Ordering::SeqCst);
    folder.write("config.json", &sur_configuration(listen, new.address, &known));
    conductor.signal("HUP");
    sleep_ms(SILENT_MS);
    if trouble {
        record.line("discovery at the new address answers from now on");
        new.silent.store(false, Ordering::SeqCst);
        new.close_open();
    }
    sleep_ms(OLD_CLOSES_MS - SILENT_MS);
    record.line("discovery at the old address closes its connections");
    old.close_open();
    let _ = release.join();
    let told = record.ms();

    // All that the release did counts as told by then, even after a failed call.
    let limit = RELOAD_SLACK_MS + 4 * ASK_WITHIN_MS + GRACE_MS;
    record.line(format!(
        "the release is over; all that it did counts as told {limit} ms later, the grace included"
    ));
    sleep_ms(limit);
    if let Some(status) = conductor.ended() {
        return record.finish(BROKEN, &format!("the conductor ended: {status}"));
    }
    let mut sending = Vec::new();
    for proxy in &proxies {
        let held = proxy.held.lock().unwrap();
        let pickable: Vec<String> = CLASSES.iter().flat_map(|class| held.pickable(class)).collect();
        let mut left: Vec<String> =
            names[..REPLACED].iter().filter(|name| pickable.contains(name)).cloned().collect();
        left.dedup();
        if held.joined && !left.is_empty() {
            record.line(format!(
                "proxy {}, which is joined, still picks among nodes that have left: {left:?}",
                proxy.number
            ));
            sending.push((proxy.number, left.len()));
        }
    }
    conductor.signal("USR1");
    sleep_ms(300);
    let log = std::fs::read_to_string(folder.0.join("conductor.log")).unwrap_or_default();
    for line in log.lines().filter(|line| line.contains("discovery") || line.contains("counters")) {
        record.line(format!("log: {line}"));
    }
    stop.store(true, Ordering::SeqCst);
    let _ = std::io::stdout().flush();
    if sending.is_empty() {
        return record.finish(HELD, "no joined front end picks a node that has left");
    }
    let text = format!(
        "{} of {FRONT_ENDS} joined front ends still pick nodes that left at least {} ms before; the first: {} nodes",
        sending.len(),
        record.ms() - told,
        sending[0].1
    );
    record.finish(BROKEN, &text)
}

//! Races between two events, each forced in a fixed order on a whole conductor over loopback. Either one side
//! waits until the other has been observed, or the conductor is paused (SIGSTOP) while all events that it is
//! to handle at once are prepared. Where a time limit must expire, it does so while nothing else can happen.
//! `docs/crossings.md` lists them.

use std::io::{BufRead, Write};
use std::net::{Shutdown, TcpListener, TcpStream, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

mod common;

use common::*;

/// Longer than a connection may stay open without joining.
const LONGER_THAN_JOIN_TIMEOUT: Duration = Duration::from_millis(1_700);

impl Conductor {
    /// Pauses the process, and waits until it is paused.
    fn pause(&self) {
        self.signal("STOP");
        let start = Instant::now();
        let stat = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("its state");
        while !stat().rsplit(") ").next().is_some_and(|rest| rest.starts_with('T')) {
            assert!(start.elapsed() < TIMEOUT, "it is never paused");
            thread::yield_now();
        }
    }

    fn resume(&self) {
        self.signal("CONT");
    }
}

/// Starts a conductor and waits for its watch. Returns it with the sender of the watch's lines and the sender
/// of further answers of discovery.
fn watched(name: &str) -> (Conductor, std::sync::mpsc::Sender<String>, std::sync::mpsc::Sender<Answer>) {
    let (address, answers, paths) = start_discovery();
    let (lines, watch) = channel();
    answers.send(Answer::Watch(watch)).expect("running");
    let conductor = Conductor::start(name, &config(address));
    paths.recv_timeout(TIMEOUT).expect("a watch");
    (conductor, lines, answers)
}

/// Guards against a delayed greeting on an older connection replacing the newer stream.
#[test]
fn a_late_greeting_leaves_the_newer_stream() {
    let (conductor, lines, _answers) = watched("late-greeting");
    let mut old = conductor.connect();
    let greeting = json!({"t": "hello", "proxy": 17, "zone": "a", "weight": 5.0, "fresh": false}).to_string();
    old.write(&greeting.as_bytes()[..20]).expect("taken");
    let mut new = conductor.connect();
    let mut table = Table::default();
    new.hello(17);
    new.apply_until(&mut table, |table| table.lines.len() == 2);
    old.write(&greeting.as_bytes()[20..]).and_then(|()| old.write(b"\n")).expect("taken");
    assert!(old.is_closed());
    lines.send(roster_document(6, false, &[roster_entry("s-3", "active")])).expect("watched");
    new.apply_until(&mut table, |table| table.lines.len() == 3);
    let log = conductor.stop();
    assert!(log.contains("streams overtaken=1") && !log.contains("streams replaced"), "{log}");
}

/// Guards against closing a proxy that has not joined while its greeting waits in the socket, after a stall
/// longer than the time allowed for joining. A silent connection is still closed.
#[test]
fn a_greeting_that_came_during_a_stall_is_heard() {
    let (conductor, _lines, _answers) = watched("stall");
    let mut proxy = conductor.connect();
    let mut silent = conductor.connect();
    let mut asking = conductor.connect();
    // An answer shows that each is accepted.
    [&mut proxy, &mut silent, &mut asking].into_iter().for_each(Connection::probe);
    conductor.pause();
    proxy.hello(17);
    asking.send(json!({"t": "probe"}));
    thread::sleep(LONGER_THAN_JOIN_TIMEOUT);
    conductor.resume();
    proxy.apply_until(&mut Table::default(), |table| table.lines.len() == 2);
    // A probe is answered before its connection is closed.
    assert_eq!(asking.receive(), json!({"t": "alive"}));
    assert!(asking.is_closed() && silent.is_closed());
    proxy.probe();
    let log = conductor.stop();
    assert!(log.contains("strangers ended=2") && log.contains("streams opened=1"), "{log}");
}

/// Guards against losing the answer to a probe whose sender then closes its write half.
#[test]
fn a_probe_and_the_end_of_its_connection() {
    let (conductor, _lines, _answers) = watched("half-closed");
    for held in [false, true] {
        let mut connection = conductor.connect();
        if held {
            conductor.pause();
        }
        connection.send(json!({"t": "probe"}));
        connection.reader.get_mut().shutdown(Shutdown::Write).expect("open");
        if held {
            conductor.resume();
        }
        assert_eq!(connection.receive(), json!({"t": "alive"}), "held: {held}");
        assert!(connection.is_closed());
    }
    conductor.stop();
}

/// Returns a conductor command whose configuration file is a named pipe.
fn fifo(name: &str) -> (Command, std::path::PathBuf) {
    let (command, folder) = conductor_command(name, b"");
    std::fs::remove_file(folder.join("config.json")).expect("it was written");
    let made = Command::new("mkfifo").arg(folder.join("config.json")).status();
    assert!(made.expect("mkfifo").success());
    (command, folder)
}

/// Guards against signals during the read of the configuration: SIGHUP and SIGUSR1 once ended the conductor,
/// and a configuration changed by then was missed. The configuration is a pipe, so opening it to write waits
/// for the reader.
#[test]
fn signals_while_the_configuration_is_read() {
    let (old, ..) = start_discovery();
    let (new, new_answers, new_paths) = start_discovery();
    let (_new_lines, watch) = channel();
    new_answers.send(Answer::Watch(watch)).expect("running");
    let (command, folder) = fifo("early-signals");
    let mut config = config(old);
    let mut conductor = Conductor::spawn(command, folder, &config);
    let at = conductor.folder.join("config.json");
    let open = || std::fs::OpenOptions::new().write(true).open(&at).expect("it is read");
    let mut first = open();
    conductor.signal("HUP");
    conductor.signal("USR1");
    first.write_all(config.to_string().as_bytes()).expect("it is read");
    drop(first);
    conductor.wait_for_log("listening on");
    // It reads the new configuration without another signal.
    config["discovery"] = json!(new.to_string());
    open().write_all(config.to_string().as_bytes()).expect("it is read");
    new_paths.recv_timeout(TIMEOUT).expect("a watch at the new address");
    conductor.connect().probe();
    let log = conductor.stop();
    assert!(log.contains("configurations read anew=1"), "{log}");
}

/// Guards against a failed exit after SIGTERM before any address is bound.
#[test]
fn a_stop_while_the_configuration_is_read() {
    let (address, ..) = start_discovery();
    let (command, folder) = fifo("early-stop");
    let config = config(address);
    let conductor = Conductor::spawn(command, folder, &config);
    let path = conductor.folder.join("config.json");
    let mut open = std::fs::OpenOptions::new().write(true).open(path).expect("it is read");
    conductor.signal("TERM");
    open.write_all(config.to_string().as_bytes()).expect("it is read");
    drop(open);
    conductor.wait_for_exit();
}

/// Guards against rejecting a configuration permanently because SIGHUP came before it was completely written.
#[test]
fn a_configuration_half_written_when_it_is_told_of() {
    let (old, old_answers, old_paths) = start_discovery();
    let (new, new_answers, new_paths) = start_discovery();
    let (_old_lines, old_watch) = channel();
    let (_new_lines, new_watch) = channel();
    old_answers.send(Answer::Watch(old_watch)).expect("running");
    new_answers.send(Answer::Watch(new_watch)).expect("running");
    let mut config = config(old);
    let mut conductor = Conductor::start("half-written", &config);
    old_paths.recv_timeout(TIMEOUT).expect("a watch");
    config["discovery"] = json!(new.to_string());
    let whole = config.to_string();
    let path = conductor.folder.join("config.json");
    std::fs::write(&path, &whole[..whole.len() / 2]).expect("written");
    conductor.signal("HUP");
    conductor.wait_for_log("configuration not taken over");
    std::fs::write(&path, &whole).expect("written");
    new_paths.recv_timeout(TIMEOUT).expect("a watch at the new address");
    conductor.connect().probe();
    let log = conductor.stop();
    assert!(log.contains("configurations read anew=1") && log.contains("configurations refused=1"), "{log}");
}

/// Guards against a failed start while a predecessor still holds the address, and against missing a stop
/// meanwhile.
#[test]
fn an_address_still_held_by_a_predecessor() {
    let (address, answers, _paths) = start_discovery();
    let (_lines, watch) = channel();
    answers.send(Answer::Watch(watch)).expect("running");
    for stopped in [false, true] {
        let config = config(address);
        let predecessor = TcpListener::bind(config["listen"].as_str().expect("an address")).expect("free");
        let mut conductor = Conductor::start(&format!("held-{stopped}"), &config);
        conductor.wait_for_log("is in use by another process");
        if stopped {
            conductor.stop();
            continue;
        }
        drop(predecessor);
        // A child process that another test is starting may hold the listener for a moment and accept the
        // connection.
        let start = Instant::now();
        let mut answer = String::new();
        while answer != "{\"t\":\"alive\"}\n" {
            assert!(start.elapsed() < TIMEOUT, "it never answers");
            let mut connection = conductor.connect();
            answer.clear();
            let _ = connection
                .write(b"{\"t\":\"probe\"}\n")
                .and_then(|()| connection.reader.read_line(&mut answer));
        }
        conductor.stop();
    }
}

/// A stop signal that came while `peer_listen` waited for a predecessor was taken for the end of that wait alone: the
/// conductor went on to start, and a second signal was needed.
#[test]
fn a_stop_while_a_predecessor_holds_the_peer_address() {
    let (address, _answers, _paths) = start_discovery();
    let predecessor = UdpSocket::bind("127.0.0.1:0").expect("a free address");
    let mut config = config(address);
    config["peer_listen"] = predecessor.local_addr().expect("bound").to_string().into();
    let mut conductor = Conductor::start("peer-address-held", &config);
    conductor.wait_for_log("is in use by another process");
    conductor.stop();
}

/// Guards against a start or exit delayed by one thread that waits for another.
#[test]
fn a_conductor_is_one_thread() {
    let (conductor, _lines, _answers) = watched("one-thread");
    let mut proxy = conductor.connect();
    proxy.hello(1);
    proxy.receive_until(is_full);
    ["HUP", "USR1"].iter().for_each(|name| conductor.signal(name));
    proxy.probe();
    let tasks = format!("/proc/{}/task", conductor.child.id());
    assert_eq!(std::fs::read_dir(tasks).expect("its threads").count(), 1);
    conductor.stop();
}

/// Guards against a late or failed exit when several signals of each kind come at once, while thousands of
/// streams have unread data in both directions.
#[test]
fn stops_and_renewals_at_once_with_streams_full() {
    let (address, answers, _paths) = start_discovery();
    let (lines, watch) = channel();
    answers.send(Answer::Watch(watch)).expect("running");
    let mut config = config(address);
    raise_limits(&mut config, 3_000, 2_000);
    let conductor = Conductor::start("stop", &config);
    let join = |k| {
        let mut proxy = conductor.connect();
        proxy.hello(k);
        proxy
    };
    let mut proxies: Vec<Connection> = (0..2_000).map(join).collect();
    proxies.iter_mut().for_each(|proxy| _ = proxy.receive_until(is_full));
    conductor.pause();
    lines
        .send(roster_document(6, false, &[roster_entry("s-1", "leaving"), roster_entry("s-3", "active")]))
        .expect("watched");
    let demand =
        json!({"t": "demand", "proxy": 1, "class": "lookup", "tries": 1, "failed": 0, "span_ms": 1000.0});
    for proxy in &mut proxies {
        proxy.send(demand.clone());
        proxy.write(b"{\"t\":\"demand\",").expect("taken");
    }
    ["HUP", "TERM", "USR1", "INT", "TERM", "HUP"].iter().for_each(|name| conductor.signal(name));
    let start = Instant::now();
    conductor.resume();
    conductor.signal("TERM");
    let log = conductor.wait_for_exit();
    let took = start.elapsed();
    assert!(took < Duration::from_millis(600), "it took {took:?}");
    assert!(log.contains("stopped; counters: "), "{log}");
    assert!(proxies.iter_mut().all(Connection::is_closed));
}

/// Guards against keeping a watch whose bytes never complete a line while a drain waits to be reported.
#[test]
fn a_watch_that_trickles_is_taken_for_silent() {
    let (address, answers, paths) = start_discovery();
    let (bytes, trickle) = channel();
    let (lines, watch) = channel();
    answers.send(Answer::Trickle(trickle)).expect("running");
    answers.send(Answer::Watch(watch)).expect("running");
    let conductor = Conductor::start("trickle", &config(address));
    paths.recv_timeout(TIMEOUT).expect("a watch");
    let start = Instant::now();
    bytes.send(b"c\r\n{\"rev\":6,\"al\r\n".to_vec()).expect("watched");
    let mut again = None;
    // Each piece comes well within the silence timeout.
    while again.is_none() {
        let _ = bytes.send(b"1\r\n \r\n".to_vec());
        again = paths.recv_timeout(Duration::from_millis(100)).ok();
        assert!(start.elapsed() < TIMEOUT, "the watch is never given up");
    }
    assert!(start.elapsed() < Duration::from_millis(5_500), "after {:?}", start.elapsed());
    assert_eq!(again.as_deref(), Some("/catalog/members?follow=1&since=5"));
    lines.send(roster_document(6, false, &[roster_entry("s-1", "leaving")])).expect("watched");
    let mut proxy = conductor.connect();
    let mut table = Table::default();
    proxy.hello(1);
    proxy.apply_until(&mut table, |table| table.routable() == ["s-2"]);
    conductor.stop();
}

/// Guards against giving up a watch after a stall of the conductor itself: the updates sent meanwhile wait in
/// the socket and are read from the same watch.
#[test]
fn a_watch_outlasts_the_conductors_own_stall() {
    let (conductor, lines, answers) = watched("own-stall");
    let mut proxy = conductor.connect();
    let mut table = Table::default();
    proxy.hello(1);
    proxy.apply_until(&mut table, |table| table.lines.len() == 2);
    conductor.pause();
    lines.send(roster_document(6, false, &[roster_entry("s-1", "leaving")])).expect("watched");
    // Longer than the silence timeout of a watch.
    thread::sleep(Duration::from_millis(3_800));
    conductor.resume();
    proxy.apply_until(&mut table, |table| table.routable() == ["s-2"]);
    drop(answers);
    let log = conductor.stop();
    assert!(log.contains("watches opened=1") && !log.contains("watches ended"), "{log}");
}

/// Guards against a new discovery address repeating updates that the former watch has sent meanwhile: the
/// repeat once ended the watch, caused a fetch and reported a drained node as active.
#[test]
fn a_new_watch_answered_after_the_former_told_a_drain() {
    let (mut conductor, old_lines, _old_answers) = watched("repeat");
    let (new, new_answers, new_paths) = start_discovery();
    let (answer, held) = channel();
    new_answers.send(Answer::Deferred(held)).expect("running");
    let mut proxy = conductor.connect();
    let mut table = Table::default();
    proxy.hello(17);
    proxy.apply_until(&mut table, |table| table.lines.len() == 2);
    let path = conductor.folder.join("config.json");
    let mut config: Value = serde_json::from_slice(&std::fs::read(&path).expect("there")).expect("JSON");
    config["discovery"] = json!(new.to_string());
    std::fs::write(&path, config.to_string()).expect("written");
    conductor.signal("HUP");
    assert_eq!(new_paths.recv_timeout(TIMEOUT).expect("a watch"), "/catalog/members?follow=1&since=5");
    // The new watch is requested but not answered. Within the response timeout of a second, the former stays
    // in use.
    old_lines.send(roster_document(6, false, &[roster_entry("s-3", "active")])).expect("watched");
    old_lines.send(roster_document(7, false, &[roster_entry("s-1", "leaving")])).expect("watched");
    let (new_lines, new_watch) = channel();
    new_lines
        .send(roster_document(6, false, &[roster_entry("s-1", "active"), roster_entry("s-3", "active")]))
        .expect("kept");
    new_lines.send(roster_document(8, false, &[roster_entry("s-4", "active")])).expect("kept");
    proxy.apply_until(&mut table, |table| table.routable() == ["s-2", "s-3"]);
    answer.send(Answer::Watch(new_watch)).expect("waits");
    proxy.apply_until(&mut table, |table| table.lines.contains_key("s-4"));
    assert_eq!(table.routable(), ["s-2", "s-3", "s-4"]);
    proxy.probe();
    conductor.wait_for_log("discovery: from");
    let log = conductor.stop();
    assert!(log.contains("news heard before=1") && log.contains("watches opened=2"), "{log}");
    assert!(!log.contains("false versions") && new_paths.try_recv().is_err(), "{log}");
}

/// Guards against a delayed older list undoing a later drain, whether it is fetched or sent on the watch.
#[test]
fn an_older_list_after_a_drain() {
    for fetched in [true, false] {
        let (address, answers, paths) = start_discovery();
        let (lines, watch) = channel();
        let (again_lines, again) = channel();
        let old =
            [roster_entry("s-1", "active"), roster_entry("s-2", "active"), roster_entry("s-4", "active")];
        answers.send(Answer::Watch(watch)).expect("running");
        if fetched {
            let body = roster_document(5, true, &old);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            answers.send(Answer::Bytes(head + &body)).expect("running");
            answers.send(Answer::Watch(again)).expect("running");
        }
        let conductor = Conductor::start(&format!("older-{fetched}"), &config(address));
        let mut proxy = conductor.connect();
        let mut table = Table::default();
        proxy.hello(17);
        lines
            .send(roster_document(7, false, &[roster_entry("s-1", "leaving"), roster_entry("s-3", "active")]))
            .expect("watched");
        proxy.apply_until(&mut table, |table| table.routable() == ["s-2", "s-3"]);
        let on = if fetched {
            lines.send(roster_document(6, false, &[])).expect("watched");
            let asked: Vec<String> = (0..3).map(|_| paths.recv_timeout(TIMEOUT).expect("asked")).collect();
            assert_eq!(asked[1..], ["/catalog/members", "/catalog/members?follow=1&since=5"]);
            &again_lines
        } else {
            lines.send(roster_document(5, true, &old)).expect("watched");
            &lines
        };
        on.send(roster_document(8, false, &[roster_entry("s-6", "active")])).expect("watched");
        proxy.apply_until(&mut table, |table| table.lines.contains_key("s-6"));
        assert_eq!(table.routable(), ["s-2", "s-3", "s-4", "s-6"], "fetched: {fetched}");
        let log = conductor.stop();
        assert!(log.contains("older lists=1"), "{log}");
    }
}

/// Guards against accepting a list fetched from a former address, or mistaking the end of that fetch for the
/// watch's.
#[test]
fn a_fetch_answered_after_discovery_has_moved() {
    let (old, old_answers, old_paths) = start_discovery();
    let (new, new_answers, new_paths) = start_discovery();
    let (lines, watch) = channel();
    let (answer, held) = channel();
    let (new_lines, new_watch) = channel();
    old_answers.send(Answer::Watch(watch)).expect("running");
    old_answers.send(Answer::Deferred(held)).expect("running");
    let body = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let whole = roster_document(
        9,
        true,
        &[roster_entry("s-1", "active"), roster_entry("s-2", "active"), roster_entry("s-3", "active")],
    );
    new_answers.send(Answer::Bytes(body(&whole))).expect("running");
    new_answers.send(Answer::Watch(new_watch)).expect("running");
    let mut config = config(old);
    let conductor = Conductor::start("moved-fetch", &config);
    old_paths.recv_timeout(TIMEOUT).expect("a watch");
    lines.send(roster_document(4, false, &[])).expect("watched");
    assert_eq!(old_paths.recv_timeout(TIMEOUT).expect("a fetch"), "/catalog/members");
    conductor.pause();
    config["discovery"] = json!(new.to_string());
    std::fs::write(conductor.folder.join("config.json"), config.to_string()).expect("written");
    conductor.signal("HUP");
    answer
        .send(Answer::Bytes(body(&roster_document(8, true, &[roster_entry("s-9", "active")]))))
        .expect("waits");
    conductor.resume();
    assert_eq!(new_paths.recv_timeout(TIMEOUT).expect("a fetch"), "/catalog/members");
    assert_eq!(new_paths.recv_timeout(TIMEOUT).expect("a watch"), "/catalog/members?follow=1&since=9");
    let mut proxy = conductor.connect();
    let mut table = Table::default();
    proxy.hello(17);
    new_lines.send(roster_document(10, false, &[roster_entry("s-4", "active")])).expect("watched");
    proxy.apply_until(&mut table, |table| table.lines.contains_key("s-4"));
    let wanted = ["s-1", "s-2", "s-3", "s-4"];
    proxy.apply_until(&mut table, |table| table.routable() == wanted);
    conductor.stop();
}

/// Guards against failed connection attempts because the listener's queue is full: a fleet connects during a
/// stall.
#[test]
fn a_fleet_that_dials_during_a_stall_is_queued() {
    let (address, answers, _paths) = start_discovery();
    let (_lines, watch) = channel();
    answers.send(Answer::Watch(watch)).expect("running");
    let mut config = config(address);
    raise_limits(&mut config, 3_000, 1_500);
    let conductor = Conductor::start("queue", &config);
    conductor.connect().probe();
    let most = std::fs::read_to_string("/proc/sys/net/core/somaxconn").expect("the system's limit");
    let fleet = 1_500.min(most.trim().parse::<u16>().unwrap_or(u16::MAX));
    conductor.pause();
    let dial = |k| {
        let taken = TcpStream::connect_timeout(&conductor.address, Duration::from_millis(900));
        Connection::new(taken.unwrap_or_else(|error| panic!("dial {k} of {fleet}: {error}")))
    };
    let mut proxies: Vec<Connection> = (0..fleet).map(dial).collect();
    proxies.iter_mut().enumerate().for_each(|(k, proxy)| proxy.hello(k as u16));
    conductor.resume();
    proxies.iter_mut().for_each(|proxy| _ = proxy.receive_until(|message| node_names(message).len() == 2));
    let log = conductor.stop();
    assert!(log.contains(&format!("streams opened={fleet}")), "{log}");
}

/// A proxy that joins, leaves, joins again and is replaced within one turn receives its table on the last
/// stream.
#[test]
fn joined_left_and_joined_again_within_one_turn() {
    let (conductor, lines, _answers) = watched("rejoin");
    let mut first = conductor.connect();
    let mut table = Table::default();
    first.hello(17);
    first.receive_until(is_full);
    conductor.pause();
    drop(first);
    let mut second = conductor.connect();
    let mut third = conductor.connect();
    let mut last = conductor.connect();
    second.hello(17);
    second.reader.get_mut().shutdown(Shutdown::Both).expect("open");
    third.hello(17);
    last.hello(17);
    conductor.resume();
    last.apply_until(&mut table, |table| table.lines.len() == 2);
    assert!(third.is_closed());
    lines.send(roster_document(6, false, &[roster_entry("s-3", "active")])).expect("watched");
    last.apply_until(&mut table, |table| table.lines.len() == 3);
    let log = conductor.stop();
    assert!(!log.contains("missed"), "{log}");
}

/// A node is drained and active again, another is removed and listed in another zone, and a proxy joins, all
/// within one turn: each proxy ends with the table of the latest list.
#[test]
fn a_drain_its_end_and_a_joining_within_one_turn() {
    let (conductor, lines, _answers) = watched("within");
    let mut old = conductor.connect();
    let mut old_table = Table::default();
    old.hello(1);
    old.apply_until(&mut old_table, |table| table.lines.len() == 2);
    conductor.pause();
    let mut moved = roster_entry("s-2", "active");
    moved["az"] = json!("b");
    for (rev, entry) in [
        (6, roster_entry("s-1", "leaving")),
        (7, roster_entry("s-2", "left")),
        (8, roster_entry("s-1", "active")),
    ] {
        lines.send(roster_document(rev, false, &[entry])).expect("watched");
    }
    lines
        .send(roster_document(
            9,
            false,
            &[moved, roster_entry("s-3", "leaving"), roster_entry("s-4", "active")],
        ))
        .expect("watched");
    let mut new = conductor.connect();
    let mut new_table = Table::default();
    new.hello(2);
    conductor.resume();
    new.apply_until(&mut new_table, |table| table.routable() == ["s-1", "s-2", "s-4"]);
    old.apply_until(&mut old_table, |table| table.routable() == ["s-1", "s-2", "s-4"]);
    let log = conductor.stop();
    assert!(!log.contains("missed"), "{log}");
}

/// An acknowledgement of a mark from an earlier stream, or of another conductor, is ignored.
#[test]
fn a_mark_of_an_earlier_stream() {
    let (conductor, lines, _answers) = watched("marks");
    let mark = |connection: &mut Connection| {
        connection.receive_until(|message| !message["nonce_out"].is_null())["nonce_out"].clone()
    };
    let mut first = conductor.connect();
    first.hello(17);
    let old = mark(&mut first);
    let mut second = conductor.connect();
    second.hello(17);
    let new = mark(&mut second);
    assert!(
        old != new && old.as_u64() > Some(64),
        "marks start apart from those of earlier runs: {old}, {new}"
    );
    second.send(json!({"t": "ack", "proxy": 17, "mark": old, "took_ms": 0.0}));
    second.send(json!({"t": "ack", "proxy": 17, "mark": new, "took_ms": 0.0}));
    lines.send(roster_document(6, false, &[roster_entry("s-3", "active")])).expect("watched");
    second.receive_until(|message| node_names(message) == ["s-3"]);
    let log = conductor.stop();
    assert!(log.contains("marks answered=1") && log.contains("marks never ordered=1"), "{log}");
}

/// Guards against a drain waiting behind messages of other peers while the inbox is full and readers wait.
#[test]
fn a_drain_told_while_the_inbox_is_full() {
    let (conductor, lines, _answers) = watched("flood");
    let mut proxy = conductor.connect();
    let mut table = Table::default();
    proxy.hello(1);
    proxy.apply_until(&mut table, |table| table.lines.len() == 2);
    let outcomes = json!({"t": "outcomes", "zone": "a", "server": "s-2", "tries": 9, "failed": 0, "mean_ms": 20.5,
        "span_ms": 1000.0});
    let outcomes = format!("{outcomes}\n").repeat(1_000);
    // One read of each connection is more than the inbox holds.
    let mut flood: Vec<Connection> = (0..240).map(|_| conductor.connect()).collect();
    flood.iter_mut().for_each(|connection| connection.send(json!({"t": "agent", "zone": "a"})));
    conductor.pause();
    // Fill their sockets. The last line may be cut off.
    for connection in &mut flood {
        let stream = connection.reader.get_mut();
        stream.set_nonblocking(true).expect("open");
        let _ = stream.write_all(outcomes.as_bytes());
    }
    lines.send(roster_document(6, false, &[roster_entry("s-1", "leaving")])).expect("watched");
    let start = Instant::now();
    conductor.resume();
    proxy.apply_until(&mut table, |table| table.routable() == ["s-2"]);
    let took = start.elapsed();
    assert!(took < Duration::from_millis(1_500), "the drain took {took:?}");
    conductor.stop();
}

/// Connections reset before they are accepted do not affect others.
#[test]
fn resets_before_they_are_taken() {
    let (conductor, _lines, _answers) = watched("resets");
    conductor.connect().probe();
    conductor.pause();
    for _ in 0..200 {
        let mut connection = conductor.connect();
        connection.write(b"{\"t\":\"probe\"}\n").expect("taken");
        // Unread bytes are left at the peer, so its next write causes a reset.
        drop(connection);
    }
    let mut proxy = conductor.connect();
    proxy.hello(1);
    conductor.resume();
    proxy.receive_until(is_full);
    proxy.probe();
    let log = conductor.stop();
    assert!(!log.contains("connections refused") && !log.contains("missed"), "{log}");
}

/// A conductor that restarts with an older list than its proxies hold, while discovery is silent, binds them
/// to the known list and applies discovery's list once it comes. Nodes that other conductors ejected are
/// restored if they are usable.
#[test]
fn a_new_start_with_an_old_list_and_discovery_silent() {
    let (address, answers, paths) = start_discovery();
    let (answer, held) = channel();
    let (lines, watch) = channel();
    answers.send(Answer::Deferred(held)).expect("running");
    let mut config = config(address);
    let mut back = roster_entry("s-2", "active");
    back["boot_ms"] = json!(1_000.0);
    config["known"] = json!({"rev": 3, "all": true, "targets": [roster_entry("s-1", "active"), back]});
    let conductor = Conductor::start("anew", &config);
    paths.recv_timeout(TIMEOUT).expect("a watch");
    let mut proxy = conductor.connect();
    let mut table = Table::default();
    table.ejected.insert("s-2".into());
    proxy.send(json!({"t": "hello", "proxy": 4, "zone": "b", "weight": 5.0, "fresh": false}));
    proxy.apply_until(&mut table, |table| table.routable() == ["s-1", "s-2"]);
    lines
        .send(roster_document(9, true, &[roster_entry("s-3", "active"), roster_entry("s-2", "leaving")]))
        .expect("kept");
    let _ = answer.send(Answer::Watch(watch));
    proxy.apply_until(&mut table, |table| table.routable() == ["s-3"]);
    conductor.stop();
}

/// Guards against two conductors at one address: the second gives up in time, and the first keeps running.
#[test]
fn a_second_conductor_at_the_same_address_never_starts() {
    let (conductor, _lines, _answers) = watched("twice");
    conductor.connect().probe();
    let path = conductor.folder.join("config.json");
    let mut second = Command::new(env!("CARGO_BIN_EXE_oatpitch"));
    second.env_clear().env("NODE_CONFIG", path).stderr(Stdio::piped());
    let mut child = second.spawn().expect("started");
    let mut log = std::io::BufReader::new(child.stderr.take().expect("its log"));
    let mut stderr = String::new();
    while log.read_line(&mut stderr).expect("text") > 0 {}
    assert_eq!(child.wait().expect("a child").code(), Some(1));
    assert!(stderr.contains("oatpitch: listen: "), "{stderr}");
    conductor.connect().probe();
    conductor.stop();
}

//! Tests of a whole conductor with hooks on loopback: faulty hooks are reported by name, and hooks are
//! replaced while the conductor runs.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use oatpitch_standins::conductor::{ConductorProcess, config, free_port};
use oatpitch_standins::discovery::Discovery;
use serde_json::Value;

/// Longest wait for anything in these tests, with a wide margin for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);
/// `limits.memory_mb` where the configuration does not set it, in KiB. The platform kills a conductor beyond it.
const PLATFORM_LIMIT_KIB: u64 = 192 << 10;
/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_oatpitch");

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("oatpitch-hooks-{}-{name}", std::process::id()))
}

/// A proxy on a stream, and its state.
struct Proxy {
    lines: std::io::Lines<BufReader<TcpStream>>,
    table: BTreeMap<String, f64>,
    ejected: Vec<String>,
    /// Number of the retry policy, by class.
    tries: BTreeMap<String, u64>,
}

impl Proxy {
    fn join(address: SocketAddr, number: u16) -> Proxy {
        let start = Instant::now();
        let mut stream = loop {
            match TcpStream::connect(address) {
                Ok(stream) => break stream,
                Err(_) if start.elapsed() < TIMEOUT => thread::sleep(Duration::from_millis(5)),
                Err(error) => panic!("no connection: {error}"),
            }
        };
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        let hello =
            format!("{{\"t\":\"hello\",\"proxy\":{number},\"zone\":\"a\",\"weight\":1.0,\"fresh\":true}}\n");
        stream.write_all(hello.as_bytes()).expect("written");
        Proxy {
            lines: BufReader::new(stream).lines(),
            table: BTreeMap::new(),
            ejected: Vec::new(),
            tries: BTreeMap::new(),
        }
    }

    /// Receives and applies one line.
    fn apply_next(&mut self) {
        let line = self.lines.next().expect("an open stream").expect("a line in time");
        let push: Value = serde_json::from_str(&line).expect("JSON");
        if push["full"] == true {
            self.table.clear();
        }
        for line in push["endpoints"].as_array().into_iter().flatten() {
            let name = line[0].as_str().expect("a name");
            let weight = line[1].as_f64().expect("a weight");
            match weight > 0.0 {
                true => _ = self.table.insert(name.into(), weight),
                false => _ = self.table.remove(name),
            }
        }
        let names = |key: &str| {
            push[key]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(Value::as_str)
                .map(String::from)
                .collect::<Vec<_>>()
        };
        self.ejected.extend(names("eject"));
        self.ejected.retain(|node| !names("restore").contains(node));
        if let Some(tries) = push["policy"].as_u64() {
            let classes = names("routes");
            let all = ["quote", "advance"].map(String::from).to_vec();
            self.tries.extend(
                if classes.is_empty() { all } else { classes }.into_iter().map(|class| (class, tries)),
            );
        }
    }

    fn wait_until(&mut self, what: &str, wanted: impl Fn(&Proxy) -> bool) {
        let start = Instant::now();
        while !wanted(self) {
            assert!(start.elapsed() < TIMEOUT, "not seen: {what}; {:?}", self.table);
            self.apply_next();
            // No answer of a hook may empty a table while nodes are listed.
            assert!(self.table.keys().any(|node| !self.ejected.contains(node)), "no line: {:?}", self.table);
        }
    }
}

/// A conductor with hooks, and its stand-in for discovery.
struct Deployment {
    discovery: Discovery,
    listen: SocketAddr,
    folder: PathBuf,
    running: Option<ConductorProcess>,
}

impl Deployment {
    /// Starts a conductor with these scripts, by name, and further hook settings.
    fn start(name: &str, scripts: &[(&str, &str)], more: &str) -> Deployment {
        let nodes: Vec<(String, &str)> = (1..=10).map(|k| (format!("s-{k}"), ["a", "b"][k % 2])).collect();
        let nodes: Vec<(&str, &str)> = nodes.iter().map(|(node, zone)| (node.as_str(), *zone)).collect();
        let discovery = Discovery::start(&nodes);
        let listen = free_port();
        let folder = folder(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        for (script, source) in scripts {
            std::fs::write(folder.join(format!("{script}.rhai")), source).expect("written");
        }
        let operator = operator(&scripts.iter().map(|(script, _)| *script).collect::<Vec<_>>(), more);
        let config = config(name, listen, discovery.address, 100);
        let running = ConductorProcess::start(Path::new(PROGRAM), &folder, &config, &operator);
        Deployment { discovery, listen, folder, running: Some(running) }
    }

    fn stop(&mut self) -> String {
        self.running.take().expect("running").stop()
    }
}

/// Returns the operator's file with these hooks.
fn operator(scripts: &[&str], more: &str) -> String {
    let each: Vec<String> = scripts
        .iter()
        .map(|name| format!("{{name: \"{name}\", script: \"{name}.rhai\", operations: 20_000}}"))
        .collect();
    format!(
        "hooks: {{\n\tperiod: 100ms\n\tround: 100ms\n\tstand: 200ms\n\twait: 300ms\n\t{more}\n\teach: [{}]\n}}\n",
        each.join(", ")
    )
}

/// Routing continues within all limits beside faulty hooks. Each of them is named in the log, and the valid
/// hook among them takes effect.
#[test]
fn faulty_hooks_are_named_and_routing_continues() {
    let scripts = [
        ("loops", "fn shape(view, settings) { loop { } }"),
        ("loops-later", "fn shape(view, settings) { if view.now_ms > 1700000000000 { loop { } } }"),
        ("does-not-parse", "fn shape(view, settings) {\n  let x = ;\n}"),
        ("throws", "fn shape(view, settings) { if view.now_ms > 1700000000000 { throw \"no\"; } }"),
        ("closes", "fn shape(view, settings) { let s = #{}; for n in view.nodes { s[n.name] = 0; } s }"),
        ("repeats", "fn tries(class, view, settings) { 3 }"),
        (
            "good",
            "fn shape(view, settings) { let s = #{}; for n in view.nodes { s[n.name] = 1.0; } s[\"s-1\"] = 0.5; s }\nfn tries(c, v, s) { if c.name == \"quote\" { 0 } else { 3 } }",
        ),
    ];
    let mut deployment = Deployment::start("bad", &scripts, "");
    let mut proxy = Proxy::join(deployment.listen, 1);
    proxy.wait_until("ten nodes", |proxy| proxy.table.len() == 10);
    proxy.wait_until("half of s-1", |proxy| proxy.table["s-1"] == 0.5);
    // The class that must not run twice is never retried more than the decision module allows.
    assert!(proxy.tries["advance"] <= 1, "{:?}", proxy.tries);
    // A drained node is removed even if a hook returns a share for it.
    deployment.discovery.set_node("s-2", "a", "leaving");
    proxy.wait_until("without s-2", |proxy| !proxy.table.contains_key("s-2"));
    assert!(proxy.table.values().all(|weight| (0.25..=2.0).contains(weight)), "{:?}", proxy.table);
    thread::sleep(Duration::from_millis(1_500));
    deployment.running.as_ref().expect("running").signal("USR1");
    thread::sleep(Duration::from_millis(500));
    let log = deployment.stop();
    for words in [
        "hook loops: ",
        "loops.rhai: shape, trial call: exceeded its limit of operations; not taken",
        "hook loops-later: put out for 0.3 s after 3 failures",
        "hook loops-later: tried again",
        "does-not-parse.rhai:2:11: ",
        "hook throws: put out for",
        "hooks: throws out for",
        "hooks: good in at shape,tries order=100 ",
        "no dispatcher without a line: ",
        "no further tries than the module's: ",
    ] {
        assert!(log.contains(words), "{words}: {log}");
    }
}

/// A hook that sets every share to 0 leaves every node its line.
#[test]
fn a_hook_cannot_close_every_node() {
    let closes = "fn shape(view, settings) { let s = #{}; for n in view.nodes { s[n.name] = 0; } s }";
    let mut deployment = Deployment::start("closes", &[("closes", closes)], "least: 0.01\n\tlines: 100");
    let mut proxy = Proxy::join(deployment.listen, 1);
    // `wait_until` asserts after every line that the table has a usable node, so there is never a time
    // without one.
    proxy.wait_until("all at the least", |proxy| {
        proxy.table.len() == 10 && proxy.table.values().all(|weight| *weight < 0.02)
    });
    assert!(deployment.stop().contains("listening"));
}

/// Hooks see the tags that subscribers of the channel state.
#[test]
fn hooks_see_the_tags_of_subscribers() {
    let tagged = "fn shape(view, settings) { for p in view.proxies { if \"tier\" in p.tags && p.tags.tier == \"gold\" { return #{ \"s-1\": 0.5 }; } } }";
    let publish = free_port();
    let more = format!("}}\nchannel: {{\n\tlisten: \"{publish}\"\n}}\nhooks: {{");
    let mut deployment = Deployment::start("tagged", &[("tagged", tagged)], &more);
    let mut proxy = Proxy::join(deployment.listen, 1);
    proxy.wait_until("ten nodes", |proxy| proxy.table.len() == 10);
    let follow = |tag: &str| {
        let mut stream = TcpStream::connect(publish).expect("open");
        let ask = format!("GET /v1/follow?proxy=2&zone=a&tag={tag} HTTP/1.1\r\nHost: x\r\n\r\n");
        stream.write_all(ask.as_bytes()).expect("written");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        stream
    };
    let mut refused = String::new();
    BufReader::new(follow("gold")).read_line(&mut refused).expect("an answer");
    assert!(refused.starts_with("HTTP/1.1 400"), "{refused}");
    let held = follow("tier:gold");
    proxy.wait_until("half of s-1", |proxy| proxy.table["s-1"] == 0.5);
    drop(held);
    // Its feed is released after a while, and its tags with it.
    proxy.wait_until("all of s-1", |proxy| proxy.table["s-1"] == 1.0);
    deployment.stop();
}

/// SIGHUP replaces a hook between calls. A new version that cannot be loaded leaves the old one in force.
#[test]
fn hooks_are_replaced_while_they_are_called() {
    let share = |share: &str| format!("fn shape(view, settings) {{ #{{ \"s-1\": {share} }} }}");
    let mut deployment = Deployment::start("replaced", &[("one", &share("0.5"))], "");
    let mut proxy = Proxy::join(deployment.listen, 1);
    proxy.wait_until("half", |proxy| proxy.table.get("s-1") == Some(&0.5));
    let write = |source: &str| std::fs::write(deployment.folder.join("one.rhai"), source).expect("written");
    let running = deployment.running.as_ref().expect("running");
    write("fn shape(view, settings) { let = }");
    running.signal("HUP");
    thread::sleep(Duration::from_millis(500));
    write(&share("0.75"));
    running.signal("HUP");
    proxy.wait_until("three quarters", |proxy| proxy.table.get("s-1") == Some(&0.75));
    std::fs::write(deployment.folder.join("operator.cue"), operator(&[], "")).expect("written");
    running.signal("HUP");
    proxy.wait_until("its own", |proxy| proxy.table.get("s-1") == Some(&1.0));
    let log = deployment.stop();
    for words in [
        "one.rhai:1:32: ",
        "; the previous version stays in use",
        "hook one: replaced, at shape",
        "hook one: dropped",
    ] {
        assert!(log.contains(words), "{words}: {log}");
    }
}

/// Returns the largest resident size of a process so far, in KiB.
fn peak_kib(process: &ConductorProcess) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.child.id())).expect("running");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Guards against a conductor that is killed for its memory when a script is replaced by one that doubles what the
/// engine does not count. The hook is named, its previous version stays, and routing continues.
#[test]
fn a_replacement_that_takes_memory_without_end_is_refused() {
    let share = |share: &str| format!("fn shape(view, settings) {{ #{{ \"s-1\": {share} }} }}");
    let mut deployment = Deployment::start("greedy", &[("one", &share("0.5"))], "");
    let mut proxy = Proxy::join(deployment.listen, 1);
    proxy.wait_until("half", |proxy| proxy.table.get("s-1") == Some(&0.5));
    let write = |source: &str| std::fs::write(deployment.folder.join("one.rhai"), source).expect("written");
    let running = deployment.running.as_ref().expect("running");
    for greedy in [
        "fn shape(v, s) { let f = Fn(\"shape\"); loop { f = f.curry(f); } }",
        "fn shape(v, s) { let k = \"key\"; while k.len < 100000 { k += k; } let m = #{}; m[k] = 1; let a = [m]; loop { a += a; } }",
        "fn shape(v, s) { let t = \"aaaa\"; while t.len < 100000 { t += t; } t.replace(\"a\", t); }",
    ] {
        write(greedy);
        running.signal("HUP");
        thread::sleep(Duration::from_millis(1_000));
        let peak = peak_kib(running);
        assert!(peak < PLATFORM_LIMIT_KIB, "{peak} KiB after {greedy}");
    }
    write(&share("0.75"));
    running.signal("HUP");
    proxy.wait_until("three quarters", |proxy| proxy.table.get("s-1") == Some(&0.75));
    let log = deployment.stop();
    for words in [
        "one.rhai:1:52: curry is disabled; the previous version stays in use",
        "one.rhai: shape, trial call: exceeded its memory limit; the previous version stays in use",
        "one.rhai: shape, trial call: Length of string exceeds its size limit; the previous version",
    ] {
        assert!(log.contains(words), "{words}: {log}");
    }
}

/// Guards against a conductor that ends with an overflow of its stack when a script writes a value as text that it has
/// nested deeply, within the default limits of a call.
#[test]
fn a_replacement_that_nests_values_deeply_leaves_the_conductor_running() {
    let share = |share: &str| format!("fn shape(view, settings) {{ #{{ \"s-1\": {share} }} }}");
    let mut deployment = Deployment::start("deep", &[("one", &share("0.5"))], "");
    let mut proxy = Proxy::join(deployment.listen, 1);
    proxy.wait_until("half", |proxy| proxy.table.get("s-1") == Some(&0.5));
    let write = |source: &str| std::fs::write(deployment.folder.join("one.rhai"), source).expect("written");
    let running = deployment.running.as_ref().expect("running");
    for levels in [1_200, 1_600, 2_400, 3_200] {
        write(&format!(
            "fn shape(v, s) {{ let a = [[]]; let n = 0; \
             while n < {levels} {{ a.push([[[[a.pop()]]]]); n += 4; }} a.to_string(); #{{}} }}"
        ));
        running.signal("HUP");
        thread::sleep(Duration::from_millis(300));
    }
    write(&share("0.75"));
    running.signal("HUP");
    proxy.wait_until("three quarters", |proxy| proxy.table.get("s-1") == Some(&0.75));
    deployment.stop();
}

/// Output and exit codes of the sub-commands for hooks.
#[test]
fn scripts_are_checked_and_run_without_a_conductor() {
    let run = |arguments: &[&str]| {
        let output = Command::new(PROGRAM).env_clear().args(arguments).output().expect("ran");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (output.status.code(), text(&output.stdout), text(&output.stderr))
    };
    let hooks = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/hooks/");
    let night = format!("{hooks}night.rhai");
    let (code, out, _) = run(&["hooks", "check", &night, "--set", "zone=b"]);
    assert!(
        code == Some(0) && out.contains("sound, at shape") && out.contains("zone: string, must be set"),
        "{out}"
    );
    let (code, _, err) = run(&["hooks", "check", &night]);
    assert!(code == Some(3) && err.contains("settings.zone: is not set; expected string"), "{err}");
    let (code, out, _) = run(&["hooks", "run", &night, "--set", "zone=b"]);
    assert!(code == Some(0) && out.contains("shares: {\"s-0\": 0.5"), "{out}");
    let folder = folder("recorded");
    std::fs::create_dir_all(&folder).expect("a folder");
    let (_, sample, _) = run(&["hooks", "sample"]);
    let recorded = folder.join("day.json");
    std::fs::write(&recorded, sample.replace("\"minute\": 1410", "\"minute\": 720")).expect("written");
    let recorded = recorded.to_str().expect("a path");
    let (code, out, _) = run(&["hooks", "run", &night, "--set", "zone=b", "--input", recorded]);
    assert!(code == Some(0) && out.contains("\"minute\":720") && out.contains("shares: {}"), "{out}");
    let (code, _, err) = run(&["hooks", "run", &night, "--set", "zone=b", "--input", &night]);
    assert!(code == Some(3) && err.contains("night.rhai"), "{err}");
    let _ = std::fs::remove_dir_all(folder);
}

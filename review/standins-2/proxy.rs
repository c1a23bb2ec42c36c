//! A proxy on a stream of its own, and the collectors, by the protocol page.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::{sleep_ms, Record};
use crate::json::Json;

/// What a proxy holds.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// Weights by node, for each class.
    pub tables: BTreeMap<String, BTreeMap<String, f64>>,
    /// Nodes shut out.
    pub ejected: BTreeSet<String>,
    /// Whether its stream stands.
    pub joined: bool,
    /// Messages received on the present stream.
    pub messages: u64,
}

impl Held {
    /// Returns the nodes that it may pick for a class.
    pub fn pickable(&self, class: &str) -> BTreeSet<String> {
        let lines = self.tables.get(class).into_iter().flatten();
        lines.map(|(node, _)| node.clone()).filter(|node| !self.ejected.contains(node)).collect()
    }
}

/// A proxy. It keeps what it holds over a change of streams.
#[derive(Clone)]
pub struct Proxy {
    pub number: u32,
    pub zone: String,
    pub held: Arc<Mutex<Held>>,
    classes: Vec<String>,
    stream: Arc<Mutex<Option<TcpStream>>>,
    record: Record,
}

impl Proxy {
    /// Returns a proxy that holds standing tables of these nodes.
    pub fn new(number: u32, zone: &str, classes: &[&str], standing: &[String], record: &Record) -> Proxy {
        let table: BTreeMap<String, f64> = standing.iter().map(|node| (node.clone(), 1.0)).collect();
        let tables = classes.iter().map(|class| (class.to_string(), table.clone())).collect();
        Proxy {
            number,
            zone: zone.into(),
            held: Arc::new(Mutex::new(Held { tables, ..Held::default() })),
            classes: classes.iter().map(|class| class.to_string()).collect(),
            stream: Arc::default(),
            record: record.clone(),
        }
    }

    /// Joins a conductor. Orders are applied, marks answered and demand told until the stream ends.
    pub fn join(&self, conductor: SocketAddr, weight: f64, fresh: bool) -> bool {
        let Ok(mut stream) = TcpStream::connect(conductor) else { return false };
        let _ = stream.set_nodelay(true);
        let hello = format!(
            "{{\"t\":\"hello\",\"proxy\":{},\"zone\":\"{}\",\"weight\":{weight},\"fresh\":{fresh}}}\n",
            self.number, self.zone
        );
        if stream.write_all(hello.as_bytes()).is_err() {
            return false;
        }
        self.record.line(format!("proxy {} joins: {}", self.number, hello.trim_end()));
        {
            let mut held = self.held.lock().unwrap();
            held.joined = true;
            held.messages = 0;
        }
        *self.stream.lock().unwrap() = stream.try_clone().ok();
        let own = self.clone();
        let reading = stream.try_clone().expect("a second handle");
        thread::spawn(move || own.read(reading));
        let own = self.clone();
        thread::spawn(move || own.tell_demand(stream, weight));
        true
    }

    /// Ends the stream.
    pub fn leave(&self) {
        if let Some(stream) = self.stream.lock().unwrap().take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.held.lock().unwrap().joined = false;
    }

    fn tell_demand(&self, mut stream: TcpStream, weight: f64) {
        loop {
            sleep_ms(1_000);
            for class in &self.classes {
                let tries = (weight / self.classes.len() as f64).round().max(1.0) as u32;
                let line = format!(
                    "{{\"t\":\"demand\",\"proxy\":{},\"class\":\"{class}\",\"tries\":{tries},\"failed\":0,\"span_ms\":1000.0}}\n",
                    self.number
                );
                if stream.write_all(line.as_bytes()).is_err() {
                    return;
                }
            }
        }
    }

    fn read(&self, stream: TcpStream) {
        let mut answers = stream.try_clone().expect("a second handle");
        for line in BufReader::new(stream).lines() {
            let Ok(line) = line else { break };
            let Some(push) = Json::read(&line) else {
                self.record.line(format!("proxy {} was sent what is not JSON: {line}", self.number));
                break;
            };
            self.record.line(format!("proxy {} was sent {line}", self.number));
            self.apply(&push);
            if let Some(mark) = push.get("nonce_out").and_then(Json::number) {
                let ack =
                    format!("{{\"t\":\"ack\",\"proxy\":{},\"mark\":{mark},\"took_ms\":1.0}}\n", self.number);
                let _ = answers.write_all(ack.as_bytes());
            }
        }
        self.held.lock().unwrap().joined = false;
        self.record.line(format!("the stream of proxy {} ended", self.number));
    }

    fn apply(&self, push: &Json) {
        let mut held = self.held.lock().unwrap();
        if !push.get("continued").is_some_and(Json::is_true) {
            held.messages += 1;
        }
        let named = push.texts("routes");
        let classes = if named.is_empty() { self.classes.clone() } else { named };
        let is_full = push.get("full").is_some_and(Json::is_true);
        for class in classes {
            let table = held.tables.entry(class).or_default();
            if is_full {
                table.clear();
            }
            for line in push.get("endpoints").map(Json::list).unwrap_or_default() {
                let (Some(node), Some(weight)) =
                    (line.list().first().and_then(Json::text), line.list().get(1).and_then(Json::number))
                else {
                    continue;
                };
                if weight > 0.0 {
                    table.insert(node.into(), weight);
                } else {
                    table.remove(node);
                }
            }
        }
        held.ejected.extend(push.texts("eject"));
        for node in push.texts("restore") {
            held.ejected.remove(&node);
        }
    }
}

/// A collector of a zone: each second it tells of some good tries at each node that the proxies hold.
pub fn collect(conductor: SocketAddr, zone: &str, proxies: &[Proxy], load: &str, stop: Arc<AtomicBool>) {
    let (zone, load, proxies) = (zone.to_string(), load.to_string(), proxies.to_vec());
    thread::spawn(move || {
        let Ok(mut stream) = TcpStream::connect(conductor) else { return };
        let _ = stream.write_all(format!("{{\"t\":\"agent\",\"zone\":\"{zone}\"}}\n").as_bytes());
        while !stop.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1_000));
            let mut nodes: BTreeSet<String> = BTreeSet::new();
            for proxy in proxies.iter().filter(|proxy| proxy.zone == zone) {
                let held = proxy.held.lock().unwrap();
                held.tables.keys().for_each(|class| nodes.extend(held.pickable(class)));
            }
            for node in nodes {
                let line = format!(
                    "{{\"t\":\"outcomes\",\"zone\":\"{zone}\",\"server\":\"{node}\",\"tries\":4,\"failed\":0,\
                     \"mean_ms\":200.0,\"span_ms\":1000.0,\"load\":{load}}}\n"
                );
                if stream.write_all(line.as_bytes()).is_err() {
                    return;
                }
            }
        }
    });
}

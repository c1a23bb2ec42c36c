//! A stand-in of discovery's agent on one conductor's machine: the whole list, and watches of its changes.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// Time between two looks for news in a watch.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which a watch without news gets an empty line, as the protocol says.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_millis(2_000);

/// A node as it is listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    pub zone: &'static str,
    /// `active`, `leaving` or `left`.
    pub state: &'static str,
    /// When it last started, in Unix time in milliseconds; 0 for long ago.
    pub boot_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"10.1.0.18:7070","az":"{}","model":"std-2c","pod_group":1,"state":"{}","capacity_hint":1.0,"boot_ms":{}}}"#,
            self.name, self.zone, self.state, self.boot_ms
        )
    }
}

/// Returns a document of discovery.
pub fn document(rev: u64, all: bool, entries: &[Entry]) -> String {
    let targets: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.join(","))
}

/// One version of the list, with what changed in it.
struct Published {
    rev: u64,
    all: bool,
    entries: Vec<Entry>,
}

struct State {
    rev: u64,
    nodes: BTreeMap<String, Entry>,
    published: Vec<Published>,
}

/// The agent of one conductor.
#[derive(Clone)]
pub struct Agent {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Agent {
    /// Starts an agent on a free port of a loopback address.
    pub fn start(name: &str, rev: u64, entries: &[Entry], record: &Record) -> std::io::Result<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let nodes = entries.iter().map(|entry| (entry.name.clone(), entry.clone())).collect();
        let state = State { rev, nodes, published: Vec::new() };
        let agent = Agent {
            name: name.into(),
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        Ok(agent)
    }

    /// Returns the whole list as a document.
    pub fn whole_list(&self) -> String {
        let state = self.state.lock().unwrap();
        let entries: Vec<Entry> = state.nodes.values().cloned().collect();
        document(state.rev, true, &entries)
    }

    /// Returns the listed nodes.
    pub fn entries(&self) -> Vec<Entry> {
        self.state.lock().unwrap().nodes.values().cloned().collect()
    }

    /// Publishes changed entries, as one line of each watch.
    pub fn change(&self, entries: &[Entry]) {
        let mut state = self.state.lock().unwrap();
        for entry in entries {
            if entry.state == "left" {
                state.nodes.remove(&entry.name);
            } else {
                state.nodes.insert(entry.name.clone(), entry.clone());
            }
        }
        self.publish(&mut state, false, entries);
    }

    /// Publishes a whole list, as one line of each watch. A node that is not in it has been removed.
    pub fn replace(&self, entries: &[Entry]) {
        let mut state = self.state.lock().unwrap();
        state.nodes = entries.iter().map(|entry| (entry.name.clone(), entry.clone())).collect();
        self.publish(&mut state, true, entries);
    }

    fn publish(&self, state: &mut State, all: bool, entries: &[Entry]) {
        state.rev += 1;
        let rev = state.rev;
        state.published.push(Published { rev, all, entries: entries.to_vec() });
        self.record.line(&format!("{}: publishes {}", self.name, document(rev, all, entries)));
    }

    /// Serves one connection until it ends.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut lines = BufReader::new(reading).lines();
        let Some(Ok(request)) = lines.next() else { return };
        while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
        self.record.line(&format!("{}: asked {request}", self.name));
        let path = request.split(' ').nth(1).unwrap_or_default();
        let since = path.split("since=").nth(1).and_then(|text| text.split('&').next()?.parse().ok());
        // An error means that the conductor has ended the connection.
        let _ = match since {
            Some(since) if path.contains("follow=1") => self.watch(stream, since),
            _ => self.answer_whole(stream),
        };
    }

    fn answer_whole(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let list = self.whole_list();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        )
    }

    fn watch(&self, mut stream: TcpStream, since: u64) -> std::io::Result<()> {
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        let mut sent = since;
        let mut last_line = Instant::now();
        loop {
            let news = news_after(&self.state.lock().unwrap(), &mut sent);
            if let Some(line) = news {
                self.record.line(&format!("{}: tells {line}", self.name));
                write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
                last_line = Instant::now();
            } else if last_line.elapsed() >= EMPTY_LINE_INTERVAL {
                write!(stream, "1\r\n\n\r\n")?;
                last_line = Instant::now();
            }
            thread::sleep(WATCH_INTERVAL);
        }
    }
}

/// Returns the news after a version as one line, and moves the version on. `None` if nothing has changed.
fn news_after(state: &State, sent: &mut u64) -> Option<String> {
    if state.rev <= *sent {
        return None;
    }
    let news: Vec<&Published> = state.published.iter().filter(|change| change.rev > *sent).collect();
    let reaches_back = news.first().is_some_and(|first| first.rev == *sent + 1);
    *sent = state.rev;
    if !reaches_back || news.iter().any(|change| change.all) {
        let entries: Vec<Entry> = state.nodes.values().cloned().collect();
        return Some(document(state.rev, true, &entries));
    }
    let mut changed: BTreeMap<&str, &Entry> = BTreeMap::new();
    for entry in news.iter().flat_map(|change| &change.entries) {
        changed.insert(&entry.name, entry);
    }
    let entries: Vec<Entry> = changed.into_values().cloned().collect();
    Some(document(state.rev, false, &entries))
}

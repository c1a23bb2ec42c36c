//! A discovery server that serves the node list and watches on it, with failures on command.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

/// Interval between the empty lines that keep an idle watch alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Longest line that ends the head of a request, in bytes: an empty one with `\r\n`.
const EMPTY_LINE_BYTES: usize = 2;

/// A node in the list.
struct Node {
    zone: String,
    /// `active`, `leaving` or `left`.
    state: &'static str,
    /// Version of the list that last changed the node.
    version: u64,
}

/// The list served, and how the server behaves.
#[derive(Default)]
struct State {
    /// Version of the list, raised by each change.
    version: u64,
    nodes: BTreeMap<String, Node>,
    /// Raised to end the open watches: each ends once this differs from its value at the watch's start.
    generation: u64,
    /// Whether changes are withheld from watches.
    stalled: bool,
    /// Number of watches opened so far.
    watch_count: u64,
}

/// The state shared by all connections, and the signal that it has changed.
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A discovery server. It runs until the process ends.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Discovery {
    /// Serves `nodes`, pairs of a name and a zone, as version 1 of the list, on a free port.
    pub fn start(nodes: &[(&str, &str)]) -> Discovery {
        Discovery::start_at(([127, 0, 0, 1], 0).into(), nodes)
    }

    /// Serves `nodes`, pairs of a name and a zone, as version 1 of the list, on `address`.
    pub fn start_at(address: SocketAddr, nodes: &[(&str, &str)]) -> Discovery {
        let listener = TcpListener::bind(address).unwrap_or_else(|error| panic!("{address}: {error}"));
        let address = listener.local_addr().unwrap_or(address);
        let nodes = nodes.iter().map(|(name, zone)| {
            let node = Node { zone: zone.to_string(), state: "active", version: 1 };
            (name.to_string(), node)
        });
        let state = State { version: 1, nodes: nodes.collect(), ..State::default() };
        let shared = Shared { state: Mutex::new(state), changed: Condvar::new() };
        let discovery = Discovery { address, shared: Arc::new(shared) };
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        discovery
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state and wakes all watches.
    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.shared.changed.notify_all();
    }

    /// Sets a node's zone and its state (`active`, `leaving` or `left`), and adds the node if it is new.
    pub fn set_node(&self, name: &str, zone: &str, state: &'static str) {
        self.change(|list| {
            list.version += 1;
            let node = Node { zone: zone.into(), state, version: list.version };
            list.nodes.insert(name.into(), node);
        });
    }

    /// Ends all open watches. Later changes reach those that are opened again.
    pub fn end_watches(&self) {
        self.change(|list| list.generation += 1);
    }

    /// Sets whether changes are withheld from watches. The watches stay open meanwhile.
    pub fn set_stalled(&self, stalled: bool) {
        self.change(|list| list.stalled = stalled);
    }

    /// Returns the version of the list.
    pub fn version(&self) -> u64 {
        self.lock().version
    }

    /// Returns the number of watches opened so far.
    pub fn watch_count(&self) -> u64 {
        self.lock().watch_count
    }

    /// Answers one request. `None` means that the client closed the connection or sent an invalid request.
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let path = read_request_path(&mut reader)?;
        let Some((_, query)) = path.split_once("follow=1") else {
            return self.serve_list(&mut stream);
        };
        let since = query.split('&').find_map(|field| field.strip_prefix("since=")?.parse().ok());
        self.serve_watch(&mut stream, since.unwrap_or(0))
    }

    /// Sends the whole list.
    fn serve_list(&self, stream: &mut TcpStream) -> Option<()> {
        let body = document(&self.lock(), None);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).ok()
    }

    /// Sends changes after version `since` as chunks of one line each, until the watch is ended.
    fn serve_watch(&self, stream: &mut TcpStream, mut since: u64) -> Option<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let generation = {
            let mut state = self.lock();
            state.watch_count += 1;
            state.generation
        };
        loop {
            let line = {
                let mut state = self.lock();
                if state.generation != generation {
                    return stream.write_all(b"0\r\n\r\n").ok();
                }
                if state.stalled || state.version <= since {
                    let (woken, _) = self
                        .shared
                        .changed
                        .wait_timeout(state, HEARTBEAT_INTERVAL)
                        .unwrap_or_else(PoisonError::into_inner);
                    state = woken;
                }
                if state.generation != generation || state.stalled || state.version <= since {
                    String::new()
                } else {
                    let line = document(&state, Some(since));
                    since = state.version;
                    line
                }
            };
            stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).ok()?;
        }
    }
}

/// Reads the head of a request, and returns the path in its first line.
fn read_request_path(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let path = line.split(' ').nth(1)?.to_string();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? <= EMPTY_LINE_BYTES {
            return Some(path);
        }
    }
}

/// Returns the document for the whole list, or for the nodes changed after version `since`.
fn document(state: &State, since: Option<u64>) -> String {
    let changed = |node: &Node| since.is_none_or(|since| node.version > since);
    let targets: Vec<Value> =
        state.nodes.iter().filter(|(_, node)| changed(node)).map(|(name, node)| entry(name, node)).collect();
    json!({"rev": state.version, "all": since.is_none(), "targets": targets}).to_string()
}

/// Returns a node's entry in a document.
fn entry(name: &str, node: &Node) -> Value {
    json!({"uid": name, "endpoint": "10.0.0.1:80", "az": node.zone, "model": "m", "pod_group": 0,
        "state": node.state, "capacity_hint": 1.0, "boot_ms": 0})
}

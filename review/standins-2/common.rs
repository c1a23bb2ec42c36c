//! What the cases of the second review share: processes, ports, the record, discovery and links.
//! It uses the standard library alone.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: u8 = 0;
pub const BROKEN: u8 = 1;
pub const COULD_NOT_RUN: u8 = 2;

/// Returns the current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Sleeps for some milliseconds.
pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the case is to run with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns a loopback address whose port was free a moment ago.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The record of a run: what was sent, answered and run, each line with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the record at the path that `RECORD` names.
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Returns the milliseconds since the start.
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes one line.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {}", self.ms(), text.as_ref());
    }

    /// Writes the result as the last line, and returns the exit code.
    pub fn finish(&self, code: u8, text: &str) -> ExitCode {
        let word = match code {
            HELD => "HELD",
            BROKEN => "BROKEN",
            _ => "COULD NOT RUN",
        };
        self.line(format!("{word}: {text}"));
        println!("{word}: {text}");
        ExitCode::from(code)
    }
}

/// A process of the project, killed when it is dropped.
pub struct Process {
    pub child: Child,
    pub name: String,
}

impl Process {
    /// Starts a command line with `/bin/sh -c`, as the platform does. Standard error goes to a file in `folder`.
    pub fn start(name: &str, command: &str, variables: &[(&str, String)], folder: &Path) -> Process {
        let log = File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(command).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log);
        for (key, value) in variables {
            shell.env(key, value);
        }
        let child = shell.spawn().unwrap_or_else(|error| panic!("{command}: {error}"));
        Process { child, name: name.into() }
    }

    /// Sends a signal, named without its `SIG` prefix.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Calls a function with each line of the standard output, in a thread of its own.
    pub fn on_line(&mut self, mut act: impl FnMut(String) + Send + 'static) {
        let Some(output) = self.child.stdout.take() else { return };
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                act(line);
            }
        });
    }

    /// Returns a figure of `/proc/PID/status` in KiB, for example `VmHWM`.
    pub fn memory_kib(&self, figure: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with(figure))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A temporary folder, removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        Folder(path)
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        path.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Waits until a conductor answers `probe` with `alive`. Returns false after 30 s.
pub fn wait_until_alive(address: SocketAddr) -> bool {
    let end = Instant::now() + Duration::from_secs(30);
    while Instant::now() < end {
        if let Ok(mut stream) = TcpStream::connect(address) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let _ = stream.write_all(b"{\"t\":\"probe\"}\n");
            let mut line = String::new();
            if BufReader::new(stream).read_line(&mut line).is_ok() && line.contains("alive") {
                return true;
            }
        }
        sleep_ms(50);
    }
    false
}

// ---- Discovery ----

/// A node as discovery lists it.
#[derive(Clone)]
pub struct Node {
    pub zone: String,
    /// `active`, `leaving` or `left`.
    pub state: &'static str,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub boot_ms: u64,
    /// Version of the list that last changed it.
    version: u64,
}

#[derive(Default)]
struct List {
    version: u64,
    nodes: BTreeMap<String, Node>,
    /// Watches that are behind this version are sent the whole list.
    whole_from: u64,
}

/// A discovery server by the protocol page: the whole list, and watches with an empty line every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<(Mutex<List>, Condvar)>,
}

impl Discovery {
    /// Serves nodes, each with its name, its zone and its start, as version 1.
    pub fn start(nodes: &[(String, String, u64)]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mut list = List { version: 1, ..List::default() };
        for (name, zone, boot_ms) in nodes {
            let node = Node { zone: zone.clone(), state: "active", boot_ms: *boot_ms, version: 1 };
            list.nodes.insert(name.clone(), node);
        }
        let discovery = Discovery { address, shared: Arc::new((Mutex::new(list), Condvar::new())) };
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        discovery
    }

    /// Sets the state of nodes, all in one version of the list.
    pub fn set(&self, names: &[String], state: &'static str, boot_ms: Option<u64>) {
        let mut list = self.shared.0.lock().unwrap();
        list.version += 1;
        let version = list.version;
        for name in names {
            if let Some(node) = list.nodes.get_mut(name) {
                node.state = state;
                node.version = version;
                node.boot_ms = boot_ms.unwrap_or(node.boot_ms);
            }
        }
        self.shared.1.notify_all();
    }

    /// Empties the list: watches are told by a whole list without nodes.
    pub fn empty(&self) {
        let mut list = self.shared.0.lock().unwrap();
        list.version += 1;
        list.whole_from = list.version;
        list.nodes.clear();
        self.shared.1.notify_all();
    }

    /// Adds a node that has just started.
    pub fn add(&self, name: &str, zone: &str, boot_ms: u64) {
        let mut list = self.shared.0.lock().unwrap();
        list.version += 1;
        let node = Node { zone: zone.into(), state: "active", boot_ms, version: list.version };
        list.nodes.insert(name.into(), node);
        self.shared.1.notify_all();
    }

    /// Returns the document of the whole list, or of what changed after a version.
    pub fn document(&self, since: Option<u64>) -> (u64, String) {
        let list = self.shared.0.lock().unwrap();
        (list.version, document(&list, since))
    }

    /// Answers one request.
    pub fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let path = line.split(' ').nth(1)?.to_string();
        while line.trim_end().len() > 0 {
            line.clear();
            reader.read_line(&mut line).ok()?;
        }
        let Some((_, query)) = path.split_once("follow=1") else {
            let (_, body) = self.document(None);
            let head =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
            return stream.write_all((head + &body).as_bytes()).ok();
        };
        let since = query.split('&').find_map(|field| field.strip_prefix("since=")?.parse::<u64>().ok());
        let mut since = since.unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut whole = since == 0;
        loop {
            let (lock, changed) = &*self.shared;
            let mut list = lock.lock().unwrap();
            if list.version <= since {
                list = changed.wait_timeout(list, Duration::from_secs(2)).unwrap().0;
            }
            let text = if list.version > since {
                let is_whole = whole || since < list.whole_from;
                let text = document(&list, (!is_whole).then_some(since));
                since = list.version;
                whole = false;
                text
            } else {
                String::new()
            };
            drop(list);
            stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).ok()?;
        }
    }
}

fn document(list: &List, since: Option<u64>) -> String {
    let entry = |(name, node): (&String, &Node)| {
        format!(
            "{{\"uid\":\"{name}\",\"endpoint\":\"127.0.0.1:1\",\"az\":\"{}\",\"model\":\"std-2c\",\"pod_group\":0,\
             \"state\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":{}}}",
            node.zone, node.state, node.boot_ms
        )
    };
    let listed = |node: &Node| match since {
        // Nodes that have left stand among changes only.
        None => node.state != "left",
        Some(since) => node.version > since,
    };
    let entries: Vec<String> = list.nodes.iter().filter(|(_, node)| listed(node)).map(entry).collect();
    format!("{{\"rev\":{},\"all\":{},\"targets\":[{}]}}", list.version, since.is_none(), entries.join(","))
}

// ---- Links ----

const OPEN: u8 = 0;
const SILENT: u8 = 1;

/// A TCP relay in front of an address, which can break its connections.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    state: Arc<AtomicU8>,
    /// The client's and the server's end of each connection.
    connections: Arc<Mutex<Vec<(TcpStream, TcpStream)>>>,
}

impl Link {
    pub fn start(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let link = Link { address, state: Arc::default(), connections: Arc::default() };
        let own = link.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.carry(client, target));
            }
        });
        link
    }

    fn is_silent(&self) -> bool {
        self.state.load(Ordering::SeqCst) == SILENT
    }

    /// Carries one connection. While the link is silent, a new one waits.
    fn carry(&self, client: TcpStream, target: SocketAddr) -> Option<()> {
        while self.is_silent() {
            sleep_ms(5);
        }
        let server = TcpStream::connect(target).ok()?;
        client.set_nodelay(true).ok()?;
        server.set_nodelay(true).ok()?;
        self.connections.lock().unwrap().push((client.try_clone().ok()?, server.try_clone().ok()?));
        let (back_from, back_to) = (server.try_clone().ok()?, client.try_clone().ok()?);
        let other = self.clone();
        thread::spawn(move || other.copy(back_from, back_to));
        self.copy(client, server);
        Some(())
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 << 10];
        while let Ok(count) = from.read(&mut buffer) {
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        // While the link is silent, an end is not told to the other side.
        while self.is_silent() {
            sleep_ms(5);
        }
        let _ = to.shutdown(Shutdown::Both);
    }

    /// Breaks all connections: the server's side learns of it at once, the client's side when the link is mended.
    pub fn break_silently(&self) {
        self.state.store(SILENT, Ordering::SeqCst);
        for (_, server) in self.connections.lock().unwrap().iter() {
            let _ = server.shutdown(Shutdown::Both);
        }
    }

    /// Tells the clients of the broken connections, and lets new ones come up after a while.
    pub fn mend(&self, new_connections_after: Duration) {
        for (client, _) in self.connections.lock().unwrap().drain(..) {
            let _ = client.shutdown(Shutdown::Both);
        }
        let state = self.state.clone();
        thread::spawn(move || {
            thread::sleep(new_connections_after);
            state.store(OPEN, Ordering::SeqCst);
        });
    }
}

// ---- Configuration ----

/// The zones of `santiago-new`.
pub const ZONES: [&str; 3] = ["santiago-centro", "quilicura", "san-bernardo"];

/// Returns a conductor's configuration with settings like those of `santiago-new` in the wire page, for a number of
/// proxies.
pub fn configuration(
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    proxies: u32,
    memory_mb: u32,
) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},
"settings":{{"azs":["santiago-centro","quilicura","san-bernardo"],
"classes":[
{{"name":"quote","semantics":"safe","promise_us":1200000,"deadline_us":4000000,"late_share":0.1,"worth":2.0,
"dedup_scope":"all","window_us":5000000}},
{{"name":"advance","semantics":"keyed","promise_us":400000,"deadline_us":1000000,"late_share":0.2,"worth":3.0,
"dedup_scope":"zone","window_us":600000}}],
"counted_by":"request","discovery":"push","family":"control","fees":{{"cross_zone":0.08}},
"guarantees":{{"ask_within_us":10000000,"cold_from":0.31,"fall_multiple":3.0,"overload_for_us":1500000,
"stop_sending_within_us":3000000,"warm_up_us":18000000}},
"instances":2,"kinds":["std-2c","wide-3c"],
"report":{{"columns":["cpu","waiting"],"how":"piggyback"}},
"specifics":{{"admit":"silent","blackhole_us":3100000,"bootstrap":6,"class_writes":[false,true],"cycle_us":1000000,
"data_plane_size":{proxies},"egress_per_s":5900.0,"head":6.0,"hears_per_s":300.0,"home_only":[false,false],
"local_first":true,"min_conn_cap":121.0,"pending_max":8900.0,"pick":"round","push_delay_max_us":1195000,
"push_delay_us":478000,"reloads_max":0,"slices":0,"strikes":5,"try_factor":1.0,"update_window_us":10000000,
"usual_how":1}},
"tick_us":5000,"weight_kind":"rough","zone":0}}}}"#
    )
}

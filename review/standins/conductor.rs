//! Starts conductors with the `run` command of the deploy file, and signals them.

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::discovery::Agent;
use crate::record::Record;

/// Time in which a conductor has to answer a probe after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that a conductor has after SIGTERM before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_millis(700);

pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Returns an address on loopback with a port that is free now.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Returns the `run` command of the deploy file.
fn run_command(root: &Path) -> io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find(|line| line.starts_with("run = "));
    let command = line.and_then(|line| line.split('"').nth(1));
    command.map(String::from).ok_or_else(|| io::Error::other("the deploy file has no run command"))
}

/// A conductor of the tier, running or not.
pub struct Conductor {
    pub name: String,
    pub listen: SocketAddr,
    pub agent: Agent,
    /// The `settings` object of its configuration.
    pub settings: String,
    root: PathBuf,
    folder: PathBuf,
    record: Record,
    starts: u64,
    child: Option<Child>,
    /// When it first answered a probe after its last start.
    pub ready_at: Instant,
}

impl Conductor {
    /// Prepares a conductor. `folder` is a temporary folder for its configuration and its log.
    pub fn new(
        name: &str,
        agent: &Agent,
        settings: &str,
        root: &Path,
        folder: &Path,
        record: &Record,
    ) -> io::Result<Conductor> {
        Ok(Conductor {
            name: name.into(),
            listen: free_address()?,
            agent: agent.clone(),
            settings: settings.into(),
            root: root.into(),
            folder: folder.into(),
            record: record.clone(),
            starts: 0,
            child: None,
            ready_at: Instant::now(),
        })
    }

    fn configuration_path(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    /// Writes the configuration with the list that the conductor knows at its start.
    pub fn write_configuration(&self, known: &str) -> io::Result<()> {
        let seed = 0x8c1f_30d2_7a5b_e964_u64.wrapping_add(self.starts * 0x1_0003);
        let text = format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{}}}"#,
            self.name, self.listen, self.agent.address, self.settings
        );
        fs::write(self.configuration_path(), text)
    }

    /// Starts the process and waits until it answers a probe.
    pub fn start(&mut self, known: &str) -> io::Result<()> {
        self.starts += 1;
        self.write_configuration(known)?;
        let log =
            File::options().create(true).append(true).open(self.folder.join(format!("{}.log", self.name)))?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(&self.root)?)
            .current_dir(&self.root)
            .env("NODE_NAME", &self.name)
            .env("NODE_LISTEN", self.listen.to_string())
            .env("NODE_DISCOVERY", self.agent.address.to_string())
            .env("NODE_CONFIG", self.configuration_path())
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("{}: started, process {}, knows {known}", self.name, child.id()));
        self.child = Some(child);
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.answers_probe() {
            if Instant::now() > deadline || !self.is_running() {
                return Err(io::Error::other(format!("{} does not answer", self.name)));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.ready_at = Instant::now();
        self.record.line(&format!("{}: alive", self.name));
        Ok(())
    }

    fn answers_probe(&self) -> bool {
        let probe = || -> io::Result<String> {
            let mut stream = TcpStream::connect(self.listen)?;
            stream.set_read_timeout(Some(Duration::from_millis(1_000)))?;
            stream.write_all(b"{\"t\":\"probe\"}\n")?;
            let mut answer = String::new();
            BufReader::new(stream).read_line(&mut answer)?;
            Ok(answer)
        };
        probe().is_ok_and(|answer| answer.contains("alive"))
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        let Some(child) = &self.child else { return };
        self.record.line(&format!("{}: signal {signal}", self.name));
        // SAFETY: `kill` takes no pointers; the process is a child that has not been waited for.
        unsafe { kill(child.id() as i32, signal) };
    }

    /// Stops the process as at a planned restart: SIGTERM, then SIGKILL where it has not ended by itself.
    pub fn stop(&mut self) {
        self.signal(SIGTERM);
        let deadline = Instant::now() + STOP_TIMEOUT;
        while self.is_running() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.end();
    }

    /// Kills the process outright.
    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{}: ended", self.name));
        }
    }
}

impl Drop for Conductor {
    fn drop(&mut self) {
        self.end();
    }
}

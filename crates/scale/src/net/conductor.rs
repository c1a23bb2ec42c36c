//! Real conductors as child processes: started with a generated configuration, probed, measured and stopped.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use oatpitch_standins::conductor::config;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::proc_fs::{self, ProcessMemory};
use super::state::PointState;
use crate::core::settings::settings;

/// Multiplier of the hash from a conductor's name to its seed: odd, with evenly spread bits.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Sockets in a conductor's limit beside those of its proxies.
const EXTRA_SOCKETS: u32 = 128;
/// The smallest socket limit of a conductor.
const MIN_SOCKETS: u32 = 1_024;
/// Pause between two probes, and between two checks whether a conductor has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long the answer to one probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a conductor may take to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Marks the log line with the counters.
const COUNTERS_PREFIX: &str = "counters: ";
/// The last lines of a log that a report keeps.
const MAX_LOG_LINES: usize = 5;

/// A conductor process. It is killed when this value is dropped.
pub struct Conductor {
    child: Child,
    /// The temporary directory of its configuration and its log.
    directory: PathBuf,
    started_at: Instant,
}

/// Returns the configuration of one conductor of a point.
pub fn configuration(state: &PointState, name: &str, listen: SocketAddr, discovery: SocketAddr) -> Value {
    let plan = &state.plan;
    let mut config = config(name, listen, discovery, plan.proxies.into());
    let sockets = (u32::from(plan.proxies) + EXTRA_SOCKETS).max(MIN_SOCKETS);
    // Differs between the conductors of a test, and between tests with different seeds.
    let seed =
        name.bytes().fold(plan.seed, |hash, byte| hash.wrapping_mul(SEED_MULTIPLIER) ^ u64::from(byte));
    config["seed"] = json!(format!("{seed:016x}"));
    config["limits"] = json!({"memory_mb": plan.memory_mb, "sockets": sockets});
    config["settings"] = settings(plan);
    config
}

impl Conductor {
    /// Starts a program as a conductor. `known` is the list for the key `known` of its configuration, if any.
    pub fn start(program: &Path, config: &Value, known: Option<Bytes>) -> Result<Conductor> {
        let name = config["name"].as_str().unwrap_or_default();
        let directory = std::env::temp_dir().join(format!("oatpitch-scale-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory).with_context(|| directory.display().to_string())?;
        let mut text = config.to_string();
        if let Some(known) = known {
            // The list is long and already serialized, so it is inserted before the closing brace as text.
            text.pop();
            text = format!(r#"{text},"known":{}}}"#, String::from_utf8_lossy(&known));
        }
        std::fs::write(directory.join("config.json"), text)?;
        let log = File::create(directory.join("log"))?;
        let child = Command::new(program)
            .env_clear()
            .env("NODE_CONFIG", directory.join("config.json"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|| program.display().to_string())?;
        Ok(Conductor { child, directory, started_at: Instant::now() })
    }

    /// Returns when the process was started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns the CPU time since the start of the process.
    pub fn cpu_seconds(&self) -> f64 {
        proc_fs::cpu_time(self.child.id()).unwrap_or_default().as_secs_f64()
    }

    /// Returns the resident memory of the process; zeros if it can't be read.
    pub fn memory(&self) -> ProcessMemory {
        proc_fs::memory(self.child.id()).unwrap_or_default()
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Stops the process with SIGTERM, and returns the log line with its counters.
    pub fn stop(&mut self) -> Option<String> {
        if !self.has_ended() {
            let signalled = Command::new("kill").arg("-TERM").arg(self.child.id().to_string()).status();
            let deadline = Instant::now() + STOP_TIMEOUT;
            while signalled.is_ok() && !self.has_ended() && Instant::now() < deadline {
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        let log = std::fs::read_to_string(self.directory.join("log")).unwrap_or_default();
        log.lines().rfind(|line| line.contains(COUNTERS_PREFIX)).map(String::from)
    }

    /// Returns the last lines of the log.
    pub fn last_log_lines(&self) -> Vec<String> {
        let log = std::fs::read_to_string(self.directory.join("log")).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(MAX_LOG_LINES)..].iter().map(|line| line.to_string()).collect()
    }
}

impl Drop for Conductor {
    fn drop(&mut self) {
        // Errors are ignored: the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Probes a conductor until it answers, and returns the time since its start.
pub async fn wait_until_alive(conductor: &mut Conductor, address: SocketAddr) -> Result<Duration> {
    loop {
        if let Ok(Ok(true)) = tokio::time::timeout(PROBE_TIMEOUT, probe(address)).await {
            return Ok(conductor.started_at().elapsed());
        }
        if conductor.has_ended() {
            bail!("it ended before it gave a sign of life");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends one probe, and returns whether the conductor answered it.
async fn probe(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = BufReader::new(TcpStream::connect(address).await?);
    stream.write_all(b"{\"t\":\"probe\"}\n").await?;
    let mut line = String::new();
    stream.read_line(&mut line).await?;
    Ok(line.contains("alive"))
}

//! Reads and checks the configuration and applies its defaults. Error messages name the key or the environment
//! variable.

use std::net::SocketAddr;

use anyhow::{Context, Result, anyhow, bail};
use oatpitch_settings::HostSettings;
use oatpitch_state::inbound::MembershipUpdate;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use crate::wire::inbound::may_start_object;
use crate::wire::{limits, roster};

/// When the configuration is read.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum LoadPhase {
    Startup,
    /// While the conductor runs.
    Reload,
}

/// The configuration of one conductor.
#[derive(Clone)]
pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Memory limit, in MiB.
    pub memory_mb: usize,
    /// Limit of open descriptors.
    pub sockets: usize,
    pub peers: Peers,
    /// List of nodes known before discovery answers.
    pub known: MembershipUpdate,
    /// Settings of the service with the names of its zones and classes.
    pub host_settings: HostSettings,
}

/// Addresses for datagrams between conductors.
#[derive(Clone, PartialEq)]
pub struct Peers {
    /// Own address.
    pub listen: Option<SocketAddr>,
    /// Address of each peer.
    pub addresses: Vec<SocketAddr>,
    /// Address that reaches all peers.
    pub broadcast: Option<SocketAddr>,
}

impl Configuration {
    /// Returns the keys whose values differ in `other` and take effect only after a restart. The known list and the
    /// seed are not compared: only a start uses them, and they differ each time.
    pub fn restart_required_keys(&self, other: &Configuration) -> Vec<&'static str> {
        let keys = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("limits.memory_mb", self.memory_mb == other.memory_mb),
            ("limits.sockets", self.sockets == other.sockets),
            ("peers", self.peers == other.peers),
            ("settings", self.host_settings == other.host_settings),
        ];
        keys.into_iter().filter(|(_, same)| !same).map(|(key, _)| key).collect()
    }
}

/// The file before its values are checked. Unknown keys take no memory, and the known list is kept as raw text, so
/// that only its entries take any.
#[derive(Deserialize)]
struct ConfigFile<'a> {
    #[serde(default)]
    name: Value,
    #[serde(default)]
    listen: Value,
    #[serde(default)]
    discovery: Value,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: Value,
    #[serde(default)]
    peer_listen: Value,
    #[serde(default)]
    peers: Value,
    #[serde(default)]
    peers_all: Value,
    #[serde(default)]
    settings: Value,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
}

/// Reads the file that `NODE_CONFIG` names. `NODE_NAME`, `NODE_LISTEN` and `NODE_DISCOVERY` take precedence over it,
/// except that a reload prefers the file's discovery address: the variable still has its value from the start.
pub fn read(phase: LoadPhase, environment: impl Fn(&str) -> Option<String>) -> Result<Configuration> {
    let path = environment("NODE_CONFIG").ok_or_else(|| anyhow!("NODE_CONFIG is not set"))?;
    let text = std::fs::read(&path).with_context(|| format!("NODE_CONFIG: {path}"))?;
    // Serde would accept an array as the values of the keys in order.
    if !may_start_object(&text) {
        bail!("NODE_CONFIG: {path}: not a JSON object");
    }
    let config: ConfigFile = serde_json::from_slice(&text).with_context(|| format!("NODE_CONFIG: {path}"))?;
    check(phase, &config, environment)
}

/// Checks the file's values and applies defaults and environment variables.
fn check(
    phase: LoadPhase,
    config: &ConfigFile,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Configuration> {
    let text_value = |variable_name: &str, key: &'static str, configured: &Value| {
        let configured = configured.as_str().map(String::from);
        let value = match phase {
            LoadPhase::Reload if key == "discovery" => configured.or_else(|| environment(variable_name)),
            _ => environment(variable_name).or(configured),
        };
        value
            .filter(|value| !value.is_empty())
            .ok_or_else(|| anyhow!("{key}: missing, and {variable_name} is not set"))
    };
    let listen = text_value("NODE_LISTEN", "listen", &config.listen)?;
    let discovery = text_value("NODE_DISCOVERY", "discovery", &config.discovery)?;
    let seed = config.seed.as_str().ok_or_else(|| anyhow!("seed: missing, or not a string"))?;
    let limit = |key: &'static str, default: usize, minimum: usize| {
        let value = &config.limits[key];
        let configured = if value.is_null() { Some(default as u64) } else { value.as_u64() };
        match configured.ok_or_else(|| anyhow!("limits.{key}: not a whole number: {value}"))? as usize {
            configured if configured < minimum => {
                bail!("limits.{key}: {configured} is too little, {minimum} are needed")
            }
            configured => Ok(configured),
        }
    };
    let memory_mb = limit("memory_mb", limits::DEFAULT_MEMORY_MIB, limits::MIN_MEMORY_MIB)?;
    let sockets =
        limit("sockets", limits::DEFAULT_DESCRIPTORS, limits::MIN_DESCRIPTORS)?.min(limits::MAX_DESCRIPTORS);
    let host_settings = oatpitch_settings::from_json(&config.settings)?;
    if host_settings.settings.slice_count > 0 {
        bail!(
            "settings: specifics.slices: {}, but keys in slices are not supported",
            host_settings.settings.slice_count
        );
    }
    let known = match config.known {
        None => MembershipUpdate::default(),
        Some(list) => roster::decode(list.get().as_bytes(), &host_settings.zones).context("known")?,
    };
    Ok(Configuration {
        name: text_value("NODE_NAME", "name", &config.name)?,
        listen: parse_address(&listen).context("listen")?,
        discovery: parse_address(&discovery).context("discovery")?,
        seed: u64::from_str_radix(seed, 16).map_err(|_| anyhow!("seed: no hexadecimal number: {seed:?}"))?,
        memory_mb,
        sockets,
        peers: check_peers(config)?,
        known,
        host_settings,
    })
}

fn parse_address(text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| anyhow!("not an address with a port: {text:?}"))
}

/// Checks the addresses for datagrams between conductors.
fn check_peers(config: &ConfigFile) -> Result<Peers> {
    let optional_address = |key: &'static str, value: &Value| match value {
        Value::Null => Ok(None),
        value => parse_address(value.as_str().unwrap_or_default()).map(Some).context(key),
    };
    let addresses = match &config.peers {
        Value::Null => Vec::new(),
        Value::Array(peers) => peers
            .iter()
            .map(|peer| parse_address(peer.as_str().unwrap_or_default()).context("peers"))
            .collect::<Result<_>>()?,
        other => bail!("peers: not a list: {other}"),
    };
    let listen = optional_address("peer_listen", &config.peer_listen)?;
    let broadcast = optional_address("peers_all", &config.peers_all)?;
    Ok(Peers { listen, addresses, broadcast })
}

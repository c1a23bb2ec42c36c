//! `oatpitch follow` and `oatpitch relay`: subscribers of the snapshot channel.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;

use anyhow::{Context, Result, anyhow};
use oatpitch_channel::core::subscriber::{Action, State, Subscriber, SubscriberSettings};
use oatpitch_channel::net::client::{Identity, follow};
use oatpitch_channel::net::server::listen;
use oatpitch_channel::net::{relay, system_clock};
use oatpitch_operator::records::channel::{ChannelSettings, HoldSettings, RelaySettings};
use serde_json::{Map, json};
use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};

use super::{channel, log};

/// Returns the settings of a subscriber.
pub fn subscriber_settings(
    hold: &HoldSettings,
    silence_timeout: oatpitch::interface::Time,
) -> SubscriberSettings {
    SubscriberSettings {
        effects_timeout: hold.effects_timeout,
        unordered_timeout: hold.unordered_timeout,
        min_retry_delay: hold.min_retry_delay,
        max_retry_delay: hold.max_retry_delay,
        silence_timeout,
    }
}

/// A connection is given up after this time without data, unless the server states another.
const DEFAULT_SILENCE_TIMEOUT: oatpitch::interface::Time = oatpitch::interface::Time::from_ms(5_000);

/// Prints every table applied, until `count` have been printed or a signal arrives.
pub async fn print_tables(
    hosts: &[SocketAddr],
    identity: &Identity,
    hold: &HoldSettings,
    count: Option<u64>,
) -> Result<()> {
    let logger = log::start("follow");
    let mut stop = signal(SignalKind::terminate())?;
    let mut remaining = count.unwrap_or(u64::MAX);
    let seed = fastrand::u64(..);
    let observer = |subscriber: &Subscriber, actions: &[Action]| {
        for action in actions {
            match action {
                Action::Applied | Action::Withdrawn(_) => {
                    let table = table_json(subscriber).to_string();
                    // The reader has closed standard output.
                    if writeln!(std::io::stdout().lock(), "{table}").is_err() {
                        return false;
                    }
                    remaining = remaining.saturating_sub(1);
                    if remaining == 0 {
                        return false;
                    }
                }
                Action::StateChanged { from, to, reason } if *to == State::Current => {
                    info!(logger, "{from} to {to}: {reason}");
                }
                Action::StateChanged { from, to, reason } => warn!(logger, "{from} to {to}: {reason}"),
                Action::Connect { .. } | Action::Disconnect(_) | Action::SendAlive { .. } => {}
            }
        }
        true
    };
    let following = follow(
        hosts,
        identity,
        subscriber_settings(hold, DEFAULT_SILENCE_TIMEOUT),
        system_clock(),
        seed,
        observer,
    );
    tokio::select! {
        () = following => {}
        _ = stop.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}

/// Returns a table as one JSON object: its position, and for each class the nodes with their weights.
fn table_json(subscriber: &Subscriber) -> serde_json::Value {
    let mut classes = Map::new();
    for terms in subscriber.classes() {
        let nodes: BTreeMap<&str, f32> =
            subscriber.routable_lines(&terms.name).map(|(node, weight)| (&**node, weight)).collect();
        classes.insert(terms.name.to_string(), json!(nodes));
    }
    let position = subscriber.position();
    json!({
        "epoch": position.map(|position| position.epoch.to_string()),
        "feed": position.map(|position| position.feed.0),
        "revision": position.map(|position| position.revision.0),
        "lineage": position.map(|position| position.lineage.to_string()),
        "roster": position.map(|position| position.roster),
        "state": subscriber.state().to_string(),
        "out": subscriber.table().withdrawn.iter().map(|node| node.to_string()).collect::<Vec<_>>(),
        "nodes": classes,
    })
}

/// Relays the channel until a signal arrives.
pub async fn run_relay(settings: Option<&RelaySettings>) -> Result<()> {
    let settings = settings.ok_or_else(|| anyhow!("relay: not set in the operator's file"))?;
    if settings.origins.is_empty() {
        return Err(anyhow!("relay.origins: lists no addresses"));
    }
    let logger = log::start("relay");
    let mut stop = signal(SignalKind::terminate())?;
    let publish: &ChannelSettings = &settings.publish;
    let listener =
        listen(publish.listen).with_context(|| format!("relay.publish.listen: {}", publish.listen))?;
    info!(logger, "relaying to {} from {:?}", publish.listen, settings.origins);
    let config = relay::RelayConfig {
        origins: settings.origins.clone(),
        identity: Identity {
            proxy: settings.proxy,
            zone: settings.zone.clone(),
            rate: settings.rate,
            tags: Vec::new(),
        },
        subscriber: subscriber_settings(&settings.hold, DEFAULT_SILENCE_TIMEOUT),
        limits: channel::limits(publish),
        max_streams: publish.max_subscribers,
        seed: fastrand::u64(..),
    };
    let log_line = |text: String| info!(logger, "{text}");
    tokio::select! {
        () = relay::relay(config, listener, system_clock(), log_line) => {}
        _ = stop.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}

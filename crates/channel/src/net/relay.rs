//! The relay: follows one publisher and publishes its tables to many followers, under the origin's epoch and
//! revisions.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use oatpitch_state::ConnectionId;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::Clock;
use super::client::{self, Identity};
use super::server::{FollowerEvent, Server, ServerSettings, serve};
use crate::core::codec::Json;
use crate::core::line::{Epoch, name};
use crate::core::publisher::{Limits, Publisher};
use crate::core::subscriber::{Action, State, Subscriber, SubscriberSettings};

/// The configuration of a relay.
pub struct RelayConfig {
    /// The publishers to follow, tried in turn.
    pub origins: Vec<SocketAddr>,
    /// How the relay identifies itself to its origin.
    pub identity: Identity,
    pub subscriber: SubscriberSettings,
    pub limits: Limits,
    /// The maximum number of streams to followers at once.
    pub max_streams: usize,
    pub seed: u64,
}

/// The maximum number of queued follower events. A relay has no use for them and discards them.
const MAX_QUEUED_EVENTS: usize = 256;

/// Relays until the future is dropped. Calls `report` with each change of state.
pub async fn relay(config: RelayConfig, listener: TcpListener, clock: Clock, mut report: impl FnMut(String)) {
    let (events, mut discarded) = mpsc::channel::<FollowerEvent>(MAX_QUEUED_EVENTS);
    let next = Cell::new(0u64);
    let next_conn_id = Rc::new(move || ConnectionId(next.replace(next.get() + 1)));
    // Nothing is published before the origin's first table. Followers that come before have to reconnect then.
    let none = Epoch { conductor: name("none"), started_at: 0 };
    let publisher = Publisher::new(Json, config.limits, none, name("none"), Vec::new(), config.seed);
    let settings = ServerSettings {
        zones: None,
        proxy_count: u32::MAX,
        max_streams: config.max_streams,
        single_feed: true,
    };
    let server = Server::new(publisher, settings, clock.clone(), next_conn_id, events);
    server.update(|publisher, _| ((), publisher.set_live(false)));
    spawn_local(serve(server.clone(), listener));
    spawn_local(async move { while discarded.recv().await.is_some() {} });
    let observer = move |subscriber: &Subscriber, actions: &[Action]| {
        for action in actions {
            match action {
                Action::Applied => publish_current(&server, subscriber),
                Action::Withdrawn(nodes) => {
                    let revision = subscriber.withdrawn_ahead_revision();
                    server.update(|publisher, _| ((), publisher.withdraw_ahead(revision, nodes)));
                }
                Action::StateChanged { from, to, reason } => report(format!("{from} to {to}: {reason}")),
                Action::Connect { .. } | Action::Disconnect(_) | Action::SendAlive { .. } => {}
            }
        }
        let live = subscriber.state() == State::Current;
        let roster = subscriber.position().map_or(0, |position| position.roster);
        let latest = subscriber.latest_revision();
        server.update(|publisher, _| {
            publisher.set_roster(roster);
            publisher.set_latest_revision(latest);
            ((), publisher.set_live(live))
        });
        true
    };
    client::follow(&config.origins, &config.identity, config.subscriber, clock, config.seed, observer).await;
}

/// Publishes the subscriber's current table, under the epoch of its origin.
fn publish_current(server: &Server, subscriber: &Subscriber) {
    let Some(position) = subscriber.position() else { return };
    server.update(|publisher, _| {
        let mut actions = Vec::new();
        if *publisher.epoch() != position.epoch {
            let epoch = position.epoch.clone();
            let lineage = position.lineage.clone();
            actions.extend(publisher.change_epoch(epoch, lineage, subscriber.classes()));
        }
        actions.extend(publisher.publish_relayed(
            &position.point(),
            position.roster,
            None,
            subscriber.table(),
        ));
        ((), actions)
    });
}

//! Publishes the snapshot channel. The reducer sees its followers as connections of proxies, and messages for them
//! go to the publisher.

use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::{Context, Result};
use oatpitch::interface::{Idempotency, ServiceSettings, Time};
use oatpitch_channel::core::codec::Json;
use oatpitch_channel::core::line::{ClassTerms, Epoch, name};
use oatpitch_channel::core::publisher::{Limits, Publisher};
use oatpitch_channel::net::Clock;
use oatpitch_channel::net::server::{FollowerEvent, Server, ServerSettings, listen, serve};
use oatpitch_operator::records::channel::ChannelSettings;
use oatpitch_state::inbound::PeerMessage;
use oatpitch_state::{CloseReason, ConnectionId, Input};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::wire::limits;

/// Returns the publisher's limits.
pub fn limits(channel_settings: &ChannelSettings) -> Limits {
    Limits {
        max_waiting_lines: channel_settings.max_waiting_lines,
        max_revisions: channel_settings.max_revisions,
        max_history_bytes: channel_settings.max_history_bytes,
        catch_up_lines_per_second: channel_settings.catch_up_lines_per_second,
        heartbeat_interval: channel_settings.heartbeat_interval,
        silence_timeout: channel_settings.silence_timeout,
        linger: channel_settings.linger,
    }
}

/// The conductor that publishes the channel, and its service.
pub struct ChannelOrigin<'a> {
    /// Name of the conductor.
    pub conductor: &'a str,
    pub started_at: Time,
    pub settings: &'a ServiceSettings,
    pub class_names: &'a [String],
    pub zone_names: &'a [String],
    pub seed: u64,
}

/// Opens the channel's address and starts its server. `allocate_id` numbers its followers among the connections.
pub async fn open(
    channel_settings: &ChannelSettings,
    origin: &ChannelOrigin<'_>,
    clock: Clock,
    allocate_id: Rc<dyn Fn() -> ConnectionId>,
) -> Result<(Server, mpsc::Receiver<FollowerEvent>)> {
    let listener = listen(channel_settings.listen)
        .with_context(|| format!("channel.listen: {}", channel_settings.listen))?;
    let terms = origin.settings.class_terms.iter().zip(origin.class_names);
    let class = |(terms, class): (&oatpitch::interface::ExchangeTerms, &String)| ClassTerms {
        name: name(class),
        non_idempotent: terms.idempotency != Idempotency::Safe,
    };
    let epoch = Epoch { conductor: name(origin.conductor), started_at: origin.started_at.0 };
    let lineage = name(&channel_settings.lineage);
    let publisher = Publisher::new(
        Json,
        limits(channel_settings),
        epoch,
        lineage,
        terms.map(class).collect(),
        origin.seed,
    );
    let (events, receiver) = mpsc::channel(limits::INBOX_CAPACITY);
    let settings = ServerSettings {
        zones: Some(origin.zone_names.to_vec()),
        proxy_count: origin.settings.proxy_count,
        max_streams: channel_settings.max_subscribers,
        single_feed: false,
    };
    let server = Server::new(publisher, settings, clock, allocate_id, events);
    spawn_local(serve(server.clone(), listener));
    Ok((server, receiver))
}

/// Returns a follower's event as inputs of the reducer, as if it came from a proxy's connection.
pub fn inputs(event: FollowerEvent) -> Vec<Input> {
    let joined = |peer: SocketAddr, connection, request: oatpitch_channel::core::publisher::FollowRequest| {
        let message = PeerMessage::ProxyJoined {
            proxy: request.proxy,
            zone: request.zone,
            exchanges_per_second: request.rate,
            only_standing_tables: request.fresh,
            clears_ejections: true,
            tags: request.tags,
        };
        vec![Input::ConnectionOpened(connection, peer), Input::MessageReceived(connection, message)]
    };
    match event {
        FollowerEvent::Joined(connection, peer, request) => joined(peer, connection, request),
        FollowerEvent::Left(connection) => {
            vec![Input::ConnectionClosed(connection, CloseReason::ClosedByPeer)]
        }
        FollowerEvent::Acknowledged(connection, proxy, mark, elapsed) => {
            vec![Input::MessageReceived(
                connection,
                PeerMessage::Acknowledged { proxy, mark: mark.into(), elapsed },
            )]
        }
    }
}

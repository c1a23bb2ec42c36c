//! Bytes allocated for a change: a fleet ten times as large must not make a change more expensive. This is the only test
//! of its process, because the allocator counts all threads together.

use std::alloc::System;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use oatpitch::interface::*;
use oatpitch_state::inbound::{MembershipEntry, MembershipUpdate, PeerMessage};
use oatpitch_state::reducer::{Reducer, ReducerConfig};
use oatpitch_state::{ConnectionId, Effect, Input};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const PROXIES: u16 = 7;
const DRAINS: usize = 10;

/// Messages to each proxy before the drains: its table, and the retries allowed once the caution is over (count).
const MESSAGES_BEFORE: usize = 2;

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

fn entry(k: usize, standing: NodeStatus) -> MembershipEntry {
    let (node, kind) = (format!("s-{k}"), "m".to_string());
    MembershipEntry {
        node,
        zone: (k % 2) as u16,
        machine_kind: kind,
        status: standing,
        weight: 1.0,
        started: None,
    }
}

struct Conductor {
    reducer: Reducer,
    now: Time,
    watch: u64,
    version: u64,
}

impl Conductor {
    /// Returns a conductor whose proxies hold a table of this many nodes, each of which was restored when they joined.
    fn joined(nodes: usize) -> Conductor {
        let now = Time::from_ms(1_000_000);
        let start = ReducerConfig {
            settings: ServiceSettings {
                channel_lines_per_second: 1e9,
                max_queued_lines: 1e9,
                ..oatpitch_standins::service_settings::service_settings(PROXIES.into(), 100_000.0)
            },
            class_count: 2,
            seed: 7,
            known_list: MembershipUpdate::default(),
            discovery_address: address(),
            max_connections: 100,
        };
        let (reducer, effects) = Reducer::start(now, start);
        let watched = |effect: &Effect| match effect {
            Effect::OpenWatch { request_id, .. } => Some(*request_id),
            _ => None,
        };
        let watch = effects.iter().find_map(watched).expect("a watch is opened");
        let mut conductor = Conductor { reducer, now, watch, version: 0 };
        conductor.tell((0..nodes).map(|k| entry(k, NodeStatus::Ready)).collect(), true);
        let joins = (0..PROXIES).flat_map(|proxy| {
            let (conn, zone, tags) = (ConnectionId(proxy.into()), ZoneId(proxy % 2), BTreeMap::new());
            let proxy = ProxyId(proxy.into());
            let hello = PeerMessage::ProxyJoined {
                proxy,
                zone,
                exchanges_per_second: 20.0,
                only_standing_tables: false,
                clears_ejections: false,
                tags,
            };
            [Input::ConnectionOpened(conn, address()), Input::MessageReceived(conn, hello)]
        });
        conductor.turn(joins.collect());
        // Long enough for the caution after the joining to be over, which costs each proxy a message.
        (0..60).for_each(|_| conductor.turn(Vec::new()));
        conductor
    }

    fn turn(&mut self, mut inputs: Vec<Input>) {
        self.now = self.now + Time::from_ms(100);
        inputs.push(Input::LinesEntered(f64::INFINITY));
        inputs.push(Input::TimerFired);
        self.reducer.turn(self.now, inputs);
    }

    fn tell(&mut self, entries: Vec<MembershipEntry>, whole: bool) {
        self.version += 1;
        let update = MembershipUpdate { version: self.version, full: whole, entries, unreadable_entries: 0 };
        self.turn(vec![Input::MembershipUpdate(self.watch, update)]);
    }

    /// Returns the bytes allocated for some drains, one after another.
    fn drained(&mut self) -> usize {
        let region = Region::new(ALLOCATOR);
        for k in 0..DRAINS {
            self.tell(vec![entry(k, NodeStatus::Draining)], false);
            (0..5).for_each(|_| self.turn(Vec::new()));
        }
        let bytes = region.change().bytes_allocated;
        // Guards against a low result because nothing was written.
        let written = format!("messages to proxies={},", usize::from(PROXIES) * (MESSAGES_BEFORE + DRAINS));
        let counters = self.reducer.counters.to_string();
        assert!(counters.contains(&written) && counters.contains("whole tables=7"), "{counters}");
        bytes
    }
}

/// Guards against a change that copies an entry for each node of the fleet, or for each node that a stream was told of.
#[test]
fn allocations_of_a_change_do_not_grow_with_the_fleet() {
    let [small, large] = [600, 6_000].map(|nodes| Conductor::joined(nodes).drained());
    // The trees of the larger fleet are a little deeper.
    assert!(large * 2 < small * 3, "{small} bytes at 600 nodes, {large} at 6,000");
}

//! Random faults of discovery, after which it is sound: from whatever state they leave, a conductor follows it again
//! within the time that the pages state.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oatpitch::interface::*;

use super::harness::{Harness, address, entry, list, service_settings};
use crate::inbound::{DocumentTooLong, MembershipUpdate};
use crate::{Effect, Input, limits};

/// Courses of faults for each kind of discovery.
const COURSES: u64 = 400;
/// Events of a course.
const EVENTS: u64 = 40;
/// Longest time between two events, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_500;
/// Time after which discovery closes the connections at an address that it has left, in milliseconds.
const FORMER_ADDRESS_CLOSES_MS: u64 = 1_500;
/// Nodes of the list.
const NODES: u8 = 4;

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Watch,
    Fetch,
}

/// A request that is open at discovery.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    kind: Kind,
    address: SocketAddr,
    /// Whether discovery has answered it.
    answered: bool,
}

/// A conductor's reducer, and discovery as it sees it: its addresses, its list and the requests that are open there.
struct Course {
    harness: Harness,
    random: fastrand::Rng,
    /// Effects that were applied to this model.
    effects_seen: usize,
    address: SocketAddr,
    moves: u16,
    version: u64,
    open: BTreeMap<u64, OpenRequest>,
    had_too_long_list: bool,
}

impl Course {
    fn start(asked: bool, seed: u64) -> Course {
        let mut course = Course {
            harness: Harness::new(asked),
            random: fastrand::Rng::with_seed(seed),
            effects_seen: 0,
            address: address(1),
            moves: 1,
            version: 5,
            open: BTreeMap::new(),
            had_too_long_list: false,
        };
        course.see_effects();
        course
    }

    fn turn(&mut self, pause_ms: u64, inputs: Vec<Input>) {
        self.harness.turn(pause_ms, inputs);
        self.see_effects();
    }

    /// Applies the requests that were opened and cancelled since the last call.
    fn see_effects(&mut self) {
        for effect in &self.harness.effects[self.effects_seen..] {
            let (id, kind) = match effect {
                Effect::SetDiscoveryAddress(address) => {
                    self.address = *address;
                    continue;
                }
                Effect::CancelRequest(id) => {
                    self.open.remove(id);
                    continue;
                }
                Effect::OpenWatch { request_id, .. } => (*request_id, Kind::Watch),
                Effect::FetchList(id) => (*id, Kind::Fetch),
                _ => continue,
            };
            self.open.insert(id, OpenRequest { kind, address: self.address, answered: false });
        }
        self.effects_seen = self.harness.effects.len();
    }

    /// Plays a fault or an answer.
    fn play_event(&mut self) {
        let pause_ms = self.random.u64(1..=MAX_PAUSE_MS);
        let requests: Vec<u64> = self.open.keys().copied().collect();
        let request = self.random.choice(requests);
        let inputs = match (self.random.u8(0..9), request) {
            (0, _) => {
                self.moves += 1;
                vec![Input::ConfigReloaded(Ok((address(self.moves), vec![])))]
            }
            (1 | 2, Some(id)) => self.end(id, "a fault"),
            (3, Some(id)) => {
                self.had_too_long_list = true;
                vec![Input::ListTooLong(id, DocumentTooLong { allowed: 1, seen: 2 })]
            }
            (4, Some(id)) => {
                let older = self.version.saturating_sub(self.random.u64(1..=3));
                self.answer(id, older)
            }
            (5..=7, Some(id)) => {
                self.version += self.random.u64(0..=2);
                self.answer(id, self.version)
            }
            _ => Vec::new(),
        };
        self.turn(pause_ms, inputs);
    }

    fn end(&mut self, id: u64, cause: &str) -> Vec<Input> {
        self.open.remove(&id);
        vec![Input::DiscoveryRequestEnded(id, cause.into())]
    }

    /// Answers a request with the list at a version, or a watch with a change up to it.
    fn answer(&mut self, id: u64, version: u64) -> Vec<Input> {
        let Some(request) = self.open.get_mut(&id) else { return Vec::new() };
        request.answered = true;
        let nodes: Vec<u8> = (0..NODES).collect();
        match request.kind {
            Kind::Watch => vec![
                Input::WatchOpened(id),
                Input::MembershipUpdate(id, list(version, self.random.bool(), &nodes)),
            ],
            Kind::Fetch => vec![Input::MembershipUpdate(id, list(version, true, &nodes))],
        }
    }

    /// Lets time pass with a discovery that answers every request at once.
    fn pass_soundly(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(50) {
            let unanswered: Vec<u64> =
                self.open.iter().filter(|(_, request)| !request.answered).map(|(id, _)| *id).collect();
            let inputs = unanswered.into_iter().flat_map(|id| self.answer(id, self.version)).collect();
            self.turn(50, inputs);
        }
    }

    /// Ends what the faults have left silent, and what is open at former addresses once these have closed.
    fn end_faults(&mut self) {
        let silent: Vec<u64> =
            self.open.iter().filter(|(_, request)| !request.answered).map(|(id, _)| *id).collect();
        let inputs = silent.into_iter().flat_map(|id| self.end(id, "silent")).collect();
        self.turn(1, inputs);
        self.pass_soundly(FORMER_ADDRESS_CLOSES_MS);
        let current = self.address;
        let former: Vec<u64> =
            self.open.iter().filter(|(_, request)| request.address != current).map(|(id, _)| *id).collect();
        let inputs = former.into_iter().flat_map(|id| self.end(id, "closed")).collect();
        self.turn(1, inputs);
    }

    /// Returns whether a change that discovery tells on all watches at its address now is applied.
    fn hears_of_a_drain(&mut self) -> bool {
        self.version += 1;
        let drain = MembershipUpdate {
            entries: vec![entry(0, NodeStatus::Draining)],
            ..list(self.version, false, &[])
        };
        let watches = self.open.iter().filter(|(_, request)| request.kind == Kind::Watch);
        let current = watches.filter(|(_, request)| request.address == self.address);
        let inputs: Vec<Input> = current.map(|(id, _)| Input::MembershipUpdate(*id, drain.clone())).collect();
        self.turn(50, inputs);
        let node = self.harness.reducer.node_id("s-0");
        let (snapshot, _) = self.harness.reducer.snapshot();
        snapshot.nodes.iter().any(|listed| Some(listed.node) == node && !listed.ready)
    }
}

/// Guards against a conductor that has lost its watch and never asks discovery again: no watch is open, none is wanted,
/// and no request is due.
#[test]
fn a_sound_discovery_is_followed_again_whatever_came_before() {
    for asked in [false, true] {
        for seed in 0..COURSES {
            let mut course = Course::start(asked, seed);
            for _ in 0..EVENTS {
                course.play_event();
            }
            course.end_faults();
            // Where the roster must be asked for, this is `guarantees.ask_within_us`; else discovery passes every change
            // on in the time that the protocol states.
            let stated =
                if asked { service_settings(asked).max_roster_age } else { limits::MAX_PROPAGATION_DELAY };
            // A list that was too long is asked for again after up to a minute (`docs/on-call.md`).
            let delayed = if course.had_too_long_list { limits::MAX_TOO_LONG_DELAY } else { Time::default() };
            course.pass_soundly((stated + delayed).0 / 10);
            assert!(
                course.hears_of_a_drain(),
                "asked: {asked}, seed {seed}: open at {}: {:?}",
                course.address,
                course.open
            );
        }
    }
}

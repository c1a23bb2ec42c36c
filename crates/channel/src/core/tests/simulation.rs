//! Publishers and subscribers over faulty links with random seeds, compared with a simple model.

use super::*;

/// One stream.
struct Connection {
    attempt: StreamAttempt,
    /// The epoch of the conductor at the other end.
    epoch: Epoch,
    stream: StreamId,
    /// The bytes on their way.
    bytes: VecDeque<u8>,
    lines: LineBuffer,
    stalled: bool,
    open: bool,
}

struct Follower {
    core: Subscriber,
    pending_connect: Option<PendingConnect>,
    connections: Vec<Connection>,
    /// The positions of all applied tables, in order.
    applied: Vec<Position>,
    last_heard: Time,
}

/// A connection that the subscriber has ordered.
struct PendingConnect {
    attempt: StreamAttempt,
    at: Time,
    host_index: usize,
    resume: Option<FeedPoint>,
}

struct Simulation {
    now: Time,
    random: fastrand::Rng,
    conductors: Vec<Conductor>,
    /// The models of the runs that are over.
    past: BTreeMap<Epoch, ExpectedTables>,
    /// Runs that were replaced, which can still be reached for a while instead of their successors.
    replaced: Vec<(usize, Conductor)>,
    followers: Vec<Follower>,
    last_stream: u64,
    roster: u64,
    /// How many of a thousand lines are lost, and how many are duplicated.
    faults: u32,
    /// How many of a thousand lines are swapped with the one before.
    shuffled: u32,
    /// The tables that the conductors change. All nodes are withdrawn and restored only while these are all tables.
    changing_tables: std::ops::Range<u16>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let now = Time(1_000_000);
        // Where there is only one, a subscriber can't turn to another if it refuses its tables.
        let conductor_count = 1 + seed as usize / 8 % 2;
        let conductors =
            (0..conductor_count).map(|k| Conductor::new(k, now + Time(k as u64), 5, "list")).collect();
        let follower = |k: u64| {
            let (core, actions) = Subscriber::new(now, SUBSCRIBER_SETTINGS, conductor_count, seed ^ k);
            let mut follower = Follower {
                core,
                pending_connect: None,
                connections: Vec::new(),
                applied: Vec::new(),
                last_heard: now,
            };
            follower.take_connect(&actions);
            follower
        };
        let followers = (0..3).map(follower).collect();
        Simulation {
            now,
            random: fastrand::Rng::with_seed(seed),
            conductors,
            past: BTreeMap::new(),
            replaced: Vec::new(),
            followers,
            last_stream: 0,
            roster: 5,
            faults: 0,
            shuffled: 0,
            changing_tables: 0..TABLES,
        }
    }

    /// Lets time pass, and everything happen that is due. `faulty` adds random faults.
    fn step(&mut self, faulty: bool) {
        self.now = self.now + Time(self.random.u64(50..800));
        if faulty {
            self.cause_fault();
        }
        let replaced = self.replaced.iter_mut().map(|(_, conductor)| conductor);
        for conductor in self.conductors.iter_mut().chain(replaced) {
            let lags = faulty && self.random.u8(..) < 200;
            if !lags && conductor.roster < self.roster {
                conductor.roster += 1 + self.random.u64(0..=self.roster - conductor.roster - 1);
            }
            if !self.changing_tables.is_empty() && self.random.u8(..) < 120 {
                for _ in 0..self.random.usize(1..6) {
                    let table = self.random.u16(self.changing_tables.clone());
                    let node = self.random.usize(0..NODES);
                    let change = self.random.u8(0..8);
                    // Withdrawals and their ends change all tables.
                    if self.changing_tables.len() < usize::from(TABLES)
                        && (change < 2 || conductor.is_withdrawn(node))
                    {
                        continue;
                    }
                    match change {
                        0 | 1 => conductor.withdraw(node),
                        2 => conductor.set_line(table, node, 0.0),
                        _ => conductor.set_line(table, node, f32::from(self.random.u8(1..9)) * 0.25),
                    }
                }
            }
            if self.random.bool() {
                conductor.bind(&mut self.random);
            }
            let actions = conductor.publisher.tick(self.now);
            conductor.perform(actions);
            conductor.finish_turn(self.now);
        }
        for k in 0..self.followers.len() {
            self.attach(k);
            self.deliver(k, faulty);
            self.handle(k, StreamAttempt::default(), StreamEvent::Tick);
        }
    }

    fn cause_fault(&mut self) {
        let which = self.random.usize(0..self.followers.len());
        match self.random.u8(0..40) {
            0 => {
                // The conductor restarts, with a list that may be older than before.
                let number = self.random.usize(0..self.conductors.len());
                let roster = self.roster - self.random.u64(0..=2.min(self.roster - 1));
                let restarted = Conductor::new(number, self.now, roster, "list");
                let old = std::mem::replace(&mut self.conductors[number], restarted);
                self.replaced.push((number, old));
            }
            13 => {
                let all = std::mem::take(&mut self.replaced);
                self.past.extend(all.into_iter().map(|(_, old)| (old.epoch, old.expected)));
            }
            1 | 2 => self.roster += 1,
            3..=6 => {
                for connection in &mut self.followers[which].connections {
                    // The bytes on their way may still arrive, or a part of them.
                    let left = self.random.usize(0..=connection.bytes.len());
                    connection.bytes.truncate(left);
                    connection.open = false;
                }
            }
            7 | 8 => {
                self.followers[which].connections.iter_mut().for_each(|connection| connection.stalled = true)
            }
            9..=12 => {
                self.followers[which].connections.iter_mut().for_each(|connection| connection.stalled = false)
            }
            _ => {}
        }
    }

    fn attach(&mut self, k: usize) {
        let follower = &mut self.followers[k];
        let is_due = |pending: &mut PendingConnect| pending.at <= self.now;
        let Some(pending) = follower.pending_connect.take_if(is_due) else { return };
        let PendingConnect { attempt, host_index, resume, .. } = pending;
        self.last_stream += 1;
        let stream = StreamId(self.last_stream);
        let conn = ConnectionId(self.last_stream);
        let mut runs: Vec<&mut Conductor> = vec![&mut self.conductors[host_index]];
        let replaced = self.replaced.iter_mut().filter(|(number, _)| *number == host_index);
        runs.extend(replaced.map(|(_, conductor)| conductor));
        let run = self.random.usize(0..runs.len());
        let conductor = &mut *runs[run];
        let request = FollowRequest {
            proxy: ProxyId(k as u32),
            zone: ZoneId(0),
            rate: 1.0,
            fresh: resume.is_none(),
            resume,
            tags: BTreeMap::new(),
        };
        let actions = conductor.publisher.attach(self.now, stream, conn, request);
        conductor.perform(actions);
        follower.connections.push(Connection {
            attempt,
            epoch: conductor.epoch.clone(),
            stream,
            bytes: VecDeque::new(),
            lines: LineBuffer::new(MAX_LINE_BYTES),
            stalled: false,
            open: true,
        });
    }

    /// Takes the output of publishers, and delivers some of the bytes on their way.
    fn deliver(&mut self, k: usize, faulty: bool) {
        let mut events = Vec::new();
        let mut connections = std::mem::take(&mut self.followers[k].connections);
        for connection in &mut connections {
            let replaced = self.replaced.iter_mut().map(|(_, conductor)| conductor);
            let mut lives = self.conductors.iter_mut().chain(replaced);
            let mut conductor = lives.find(|conductor| conductor.epoch == connection.epoch);
            connection.open &= conductor.is_some();
            // A stalled reader leaves up to 2,000 bytes in the system's buffers.
            while let Some(conductor) =
                conductor.as_mut().filter(|_| connection.open && connection.bytes.len() < 2_000)
            {
                match conductor.publisher.next_output(self.now, connection.stream) {
                    StreamOutput::Send(bytes) => {
                        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
                            let roll = self.random.u32(0..1000);
                            let copies =
                                if roll < self.faults { 0 } else { 1 + usize::from(roll < 2 * self.faults) };
                            (0..copies).for_each(|_| connection.bytes.extend(line));
                            if roll >= 1000 - self.shuffled {
                                // Swaps this line with the one before.
                                let all: Vec<u8> = connection.bytes.iter().copied().collect();
                                let mut lines: Vec<&[u8]> =
                                    all.split_inclusive(|byte| *byte == b'\n').collect();
                                let last = lines.len().saturating_sub(1);
                                if last >= 2 {
                                    lines.swap(last - 1, last);
                                    connection.bytes = lines.concat().into();
                                }
                            }
                        }
                    }
                    StreamOutput::Wait => break,
                    StreamOutput::Last(bytes) => {
                        connection.bytes.extend(&bytes);
                        connection.open = false;
                    }
                    StreamOutput::End => connection.open = false,
                }
            }
            if connection.stalled {
                continue;
            }
            let max_count = if faulty { self.random.usize(0..3_000) } else { usize::MAX };
            let count = connection.bytes.len().min(max_count);
            let arrived: Vec<u8> = connection.bytes.drain(..count).collect();
            for chunk in arrived.chunks(self.random.usize(1..200)) {
                connection.lines.buffer_mut().extend_from_slice(chunk);
                while let Ok(Some(line)) = connection.lines.next_line() {
                    events.push((
                        connection.attempt,
                        Json.decode(&line).map_or_else(StreamEvent::Undecodable, StreamEvent::Line),
                    ));
                }
            }
            if !connection.open && connection.bytes.is_empty() {
                events.push((connection.attempt, StreamEvent::Closed("cut".into())));
                conductor
                    .into_iter()
                    .for_each(|conductor| conductor.publisher.detach(self.now, connection.stream));
            }
        }
        connections.retain(|connection| connection.open || !connection.bytes.is_empty());
        self.followers[k].connections = connections;
        for (attempt, event) in events {
            if matches!(event, StreamEvent::Line(_)) {
                self.followers[k].last_heard = self.now;
            }
            self.handle(k, attempt, event);
        }
    }

    fn handle(&mut self, k: usize, attempt: StreamAttempt, event: StreamEvent) {
        let actions = self.followers[k].core.handle(self.now, attempt, event);
        for action in &actions {
            match action {
                Action::Disconnect(attempt) => {
                    for connection in self.followers[k]
                        .connections
                        .iter_mut()
                        .filter(|connection| connection.attempt == *attempt)
                    {
                        let replaced = self.replaced.iter_mut().map(|(_, conductor)| conductor);
                        let mut lives = self.conductors.iter_mut().chain(replaced);
                        let own = lives.find(|conductor| conductor.epoch == connection.epoch);
                        own.into_iter().for_each(|own| own.publisher.detach(self.now, connection.stream));
                        // The bytes on their way still arrive, as late lines of an earlier stream.
                        connection.open = false;
                    }
                }
                Action::SendAlive { session, marks, .. } => {
                    let replaced = self.replaced.iter_mut().map(|(_, conductor)| conductor);
                    for conductor in self.conductors.iter_mut().chain(replaced) {
                        let alive = AliveReport { session: *session, marks: marks.clone() };
                        let actions = conductor.publisher.record_alive(self.now, &alive).unwrap_or_default();
                        conductor.perform(actions);
                    }
                }
                _ => {}
            }
        }
        self.followers[k].take_connect(&actions);
        if actions.contains(&Action::Applied) {
            self.check_applied_table(k);
        }
        let follower = &self.followers[k];
        if follower.core.state() == State::Current {
            assert!(
                self.now < follower.last_heard + limits().silence_timeout + Time(1),
                "current, and nothing heard"
            );
        }
        self.check_routing(k);
    }

    /// Checks an applied table: it equals the model's table at that revision, and no table applied before is newer.
    fn check_applied_table(&mut self, k: usize) {
        let follower = &mut self.followers[k];
        let position = follower.core.position().expect("a table").clone();
        if let Some(before) = follower.applied.last() {
            if before.epoch == position.epoch {
                assert!(goes_forward(before, &position), "{before:?}, then {position:?}");
            } else {
                assert!(before.roster <= position.roster, "{before:?}, then {position:?}");
            }
        }
        // A subscriber that comes back to an epoch may find there the very table that it had of it: by the order of
        // docs/channel.md that one is not older, as no higher revision of the epoch was held.
        let comes_back = follower.applied.last().is_some_and(|last| last.epoch != position.epoch);
        for earlier in &follower.applied {
            let is_same_epoch = earlier.epoch == position.epoch;
            let is_had_before = comes_back && earlier.point() == position.point();
            assert!(
                !is_same_epoch || is_had_before || goes_forward(earlier, &position),
                "{earlier:?}, then {position:?}"
            );
            let is_not_an_earlier_run = earlier.epoch.conductor != position.epoch.conductor
                || earlier.epoch.started_at <= position.epoch.started_at;
            assert!(is_not_an_earlier_run, "an earlier run of {earlier:?} came after: {position:?}");
        }
        follower.applied.push(position.clone());
        let replaced = self.replaced.iter().map(|(_, conductor)| conductor);
        let live = self.conductors.iter().chain(replaced).find(|conductor| conductor.epoch == position.epoch);
        let expected = live.map_or_else(|| &self.past[&position.epoch], |conductor| &conductor.expected);
        let table = follower.core.table();
        let held: Vec<ExpectedLines> = CLASSES
            .iter()
            .map(|class| {
                table.lines[*class].iter().map(|(node, weight)| (node.to_string(), *weight)).collect()
            })
            .collect();
        let at = |table: u16| {
            let mut all = expected.by_revision.range((table, 0)..=(table, position.revision.0));
            all.next_back().map(|(_, state)| state)
        };
        let matches = (0..TABLES).filter_map(at).any(|(lines, withdrawn)| {
            let held_withdrawn = lines.keys().filter(|node| table.withdrawn.contains(node.as_str())).cloned();
            held.iter().all(|held| held == lines) && held_withdrawn.collect::<BTreeSet<_>>() == *withdrawn
        });
        let ordered: Vec<_> = (0..TABLES).filter_map(at).collect();
        assert!(matches, "{position:?} holds {held:?}, out {:?}, of {ordered:?}", table.withdrawn);
    }

    /// Checks that non-idempotent exchanges are not routed by a table that is not current, nor held back beyond the
    /// timeout, and that other exchanges are routed by the current table.
    fn check_routing(&mut self, k: usize) {
        let core = &self.followers[k].core;
        let now = self.now;
        let random = self.random.f64();
        let idempotent = core.route(now, "quote", random);
        let non_idempotent = core.route(now, "advance", random);
        if core.state() != State::Current {
            assert!(!matches!(non_idempotent, Route::Node(_)), "{non_idempotent:?} while {}", core.state());
            let later = core.route(now + SUBSCRIBER_SETTINGS.effects_timeout, "advance", random);
            assert_eq!(later, Route::Refused);
        }
        if core.routable_lines("quote").next().is_some() {
            assert!(matches!(idempotent, Route::Node(_)), "{idempotent:?}");
        }
    }
}

/// Returns whether a table of an epoch may follow another: it stands for a later revision, or for the same one in another
/// feed.
fn goes_forward(before: &Position, after: &Position) -> bool {
    before.revision < after.revision || before.revision == after.revision && before.feed != after.feed
}

impl Follower {
    fn take_connect(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Connect { attempt, at, host_index, resume } = action {
                self.pending_connect = Some(PendingConnect {
                    attempt: *attempt,
                    at: *at,
                    host_index: *host_index,
                    resume: resume.clone(),
                });
            }
        }
    }
}

/// Guards against applying a table that is older than an applied one, or only a part of an update. Streams break
/// and stall, conductors restart with older lists, and lines are lost, duplicated, swapped and split at random. Once
/// the faults stop, every subscriber must have its conductor's latest table, whether or not that goes on changing: a
/// subscriber that was bound to another feed refused its table until that changed.
#[test]
fn subscribers_never_apply_older_or_partial_tables() {
    let names = [
        "older tables refused",
        "tables behind",
        "steps had before",
        "steps never ended",
        "moves to another epoch",
        "withdrawals taken",
        "lines of earlier streams",
    ];
    let simulate = |seed: u64| {
        let mut simulation = Simulation::new(seed);
        (simulation.faults, simulation.shuffled) = if seed.is_multiple_of(2) { (0, 0) } else { (15, 15) };
        (0..100).for_each(|_| simulation.step(true));
        // One table, or none, may be silent for long while streams break and conductors restart.
        simulation.changing_tables = [0..TABLES, 0..1, 1..2, 0..0][seed as usize / 2 % 4].clone();
        (0..50).for_each(|_| simulation.step(true));
        (simulation.faults, simulation.shuffled) = (0, 0);
        let replaced = std::mem::take(&mut simulation.replaced);
        simulation.past.extend(replaced.into_iter().map(|(_, old)| (old.epoch, old.expected)));
        simulation
            .followers
            .iter_mut()
            .flat_map(|follower| &mut follower.connections)
            .for_each(|connection| connection.stalled = false);
        (0..150).for_each(|_| simulation.step(false));
        let mut counted = vec![0; names.len()];
        for follower in &simulation.followers {
            let core = &follower.core;
            let position = core.position().expect("a table");
            assert_eq!(core.state(), State::Current, "seed {seed}: {position:?}");
            let conductor = simulation.conductors.iter().find(|conductor| conductor.epoch == position.epoch);
            assert!(conductor.is_some(), "seed {seed}: current by a run that is over");
            assert_eq!(position.roster, simulation.roster, "seed {seed}");
            let all = format!(", {},", core.counters);
            for (name, counted) in names.iter().zip(&mut counted) {
                let count =
                    all.split_once(&format!(", {name}=")).and_then(|(_, rest)| rest.split(',').next());
                *counted += count.map_or(0u64, |count| count.parse().expect("a count"));
            }
        }
        (simulation.followers.iter().map(|follower| follower.applied.len()).sum::<usize>(), counted)
    };
    if let Ok(seeds) = std::env::var("CHANNEL_SEEDS") {
        return seeds.split(',').for_each(|seed| _ = simulate(seed.parse().expect("a seed")));
    }
    let (mut applied, mut counted) = (0, vec![0; names.len()]);
    std::thread::scope(|scope| {
        let simulate = &simulate;
        let run = |part| move || (0..2_000).filter(|seed| seed % 4 == part).map(simulate).collect::<Vec<_>>();
        let all: Vec<_> = (0..4).map(|part| scope.spawn(run(part))).collect();
        for (tables, counts) in all.into_iter().flat_map(|part| part.join().expect("no panic")) {
            applied += tables;
            counted.iter_mut().zip(counts).for_each(|(counted, count)| *counted += count);
        }
    });
    // Each kind of fault must have occurred often.
    let counted: Vec<_> = names.iter().zip(counted).collect();
    assert!(applied > 100_000, "{applied}");
    assert!(counted.iter().all(|(_, count)| *count > 100), "{counted:?}");
}

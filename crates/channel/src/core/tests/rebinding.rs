//! Followers that come back to a publisher and are bound to another feed than before, directly and behind relays.

use super::*;

/// A subscriber and the stream that it has open.
struct Dispatcher {
    proxy: u32,
    core: Subscriber,
    attempt: StreamAttempt,
    stream: StreamId,
    /// Everything that its core has asked for.
    sent: Vec<Action>,
}

impl Dispatcher {
    fn new(proxy: u32, now: Time) -> Dispatcher {
        let (core, actions) = Subscriber::new(now, SUBSCRIBER_SETTINGS, 1, proxy.into());
        let mut dispatcher =
            Dispatcher { proxy, core, attempt: StreamAttempt(0), stream: StreamId(0), sent: Vec::new() };
        dispatcher.see(&actions);
        dispatcher
    }

    fn see(&mut self, actions: &[Action]) {
        self.sent.extend_from_slice(actions);
        for action in actions {
            if let Action::Connect { attempt, .. } = action {
                self.attempt = *attempt;
            }
        }
    }

    fn request(&self) -> FollowRequest {
        let resume = self.core.position().map(Position::point);
        FollowRequest {
            proxy: ProxyId(self.proxy),
            zone: ZoneId(0),
            rate: 1.0,
            fresh: resume.is_none(),
            resume,
            tags: BTreeMap::new(),
        }
    }

    /// Reads all that the publisher has for its stream, and returns the lines.
    fn read(&mut self, now: Time, publisher: &mut Publisher<Json>) -> Vec<Line> {
        let mut all = Vec::new();
        while let StreamOutput::Send(bytes) = publisher.next_output(now, self.stream) {
            for line in bytes.split_inclusive(|byte| *byte == b'\n') {
                let line = Json.decode(line).expect("a valid line");
                all.push(line.clone());
                let actions = self.core.handle(now, self.attempt, StreamEvent::Line(line));
                self.see(&actions);
            }
        }
        all
    }

    /// Its stream breaks.
    fn lose_stream(&mut self, now: Time) {
        let actions = self.core.handle(now, self.attempt, StreamEvent::Closed("reset".into()));
        self.see(&actions);
    }

    fn held(&self) -> (FeedId, Revision) {
        let position = self.core.position().expect("a table");
        (position.feed, position.revision)
    }
}

/// A conductor, the time, and the last stream that was opened.
struct Deployment {
    conductor: Conductor,
    now: Time,
    last_stream: u64,
}

impl Deployment {
    fn new() -> Deployment {
        let now = Time(1_000_000);
        Deployment { conductor: Conductor::new(1, now, 5, "list"), now, last_stream: 0 }
    }

    /// Opens a stream of the dispatcher's at the conductor, which binds it to a table.
    fn follow(&mut self, dispatcher: &mut Dispatcher, table: u16) {
        self.last_stream += 1;
        dispatcher.stream = StreamId(self.last_stream);
        let conn = ConnectionId(self.last_stream);
        let request = dispatcher.request();
        let actions = self.conductor.publisher.attach(self.now, dispatcher.stream, conn, request);
        self.conductor.perform(actions);
        self.conductor.ordered.bind_proxy(ProxyId(dispatcher.proxy), TableId(table), ClassSet::default());
        self.conductor.finish_turn(self.now);
        dispatcher.read(self.now, &mut self.conductor.publisher);
    }

    /// Changes a line of a table in a turn of its own, and lets the dispatchers read.
    fn change(&mut self, table: u16, weight: f32, dispatchers: &mut [&mut Dispatcher]) {
        self.now = self.now + Time::from_ms(10);
        self.conductor.set_line(table, 0, weight);
        self.conductor.finish_turn(self.now);
        for dispatcher in dispatchers {
            dispatcher.read(self.now, &mut self.conductor.publisher);
        }
    }

    /// The dispatcher's stream breaks, and its place is given up.
    fn give_up(&mut self, dispatcher: &mut Dispatcher) {
        self.conductor.publisher.detach(self.now, dispatcher.stream);
        dispatcher.lose_stream(self.now);
        self.now = self.now + limits().linger;
        let actions = self.conductor.publisher.tick(self.now);
        self.conductor.perform(actions);
    }
}

/// Returns a deployment with a dispatcher that follows the table 1, which then stays as it is.
fn with_silent_feed() -> (Deployment, Dispatcher) {
    let mut deployment = Deployment::new();
    let mut settled = Dispatcher::new(9, deployment.now);
    deployment.follow(&mut settled, 1);
    (deployment, settled)
}

/// Guards against a dispatcher that is bound to another part of the table and refuses its snapshot as older for as long
/// as that part stays as it is. Later changes reach it and those that were bound before alike.
#[test]
fn a_follower_bound_to_a_silent_feed_becomes_current_and_takes_its_changes() {
    let (mut deployment, mut settled) = with_silent_feed();
    let mut moved = Dispatcher::new(1, deployment.now);
    deployment.follow(&mut moved, 0);
    for weight in [0.25, 0.5, 0.75] {
        deployment.change(0, weight, &mut [&mut moved, &mut settled]);
    }
    let (feed_before, revision_before) = moved.held();
    let held_by_settled = settled.held();
    deployment.give_up(&mut moved);
    deployment.follow(&mut moved, 1);
    let (feed, revision) = moved.held();
    assert_eq!(moved.core.state(), State::Current);
    assert!(feed != feed_before && revision >= revision_before, "{feed:?} {revision:?}");
    assert_eq!(settled.held(), held_by_settled, "those bound before are sent nothing");
    deployment.change(1, 0.5, &mut [&mut moved, &mut settled]);
    assert_eq!(moved.held(), settled.held());
    assert_eq!(moved.core.table(), settled.core.table());
    // A broken stream goes on from a revision at which the feed itself did not change.
    deployment.give_up(&mut moved);
    deployment.follow(&mut moved, 0);
    deployment.change(1, 0.75, &mut [&mut settled]);
    deployment.conductor.publisher.detach(deployment.now, moved.stream);
    moved.lose_stream(deployment.now);
    deployment.follow(&mut moved, 0);
    assert_eq!(moved.core.state(), State::Current);
}

/// A relay: it follows the conductor, and publishes what it holds as its origin's.
struct Relay {
    dispatcher: Dispatcher,
    publisher: Publisher<Json>,
    last_stream: u64,
}

impl Relay {
    fn new(proxy: u32, now: Time) -> Relay {
        let none = Epoch { conductor: name("none"), started_at: 0 };
        Relay {
            dispatcher: Dispatcher::new(proxy, now),
            publisher: Publisher::new(Json, limits(), none, name("none"), Vec::new(), proxy.into()),
            last_stream: 0,
        }
    }

    /// Publishes the table held and how far it stands, as the relay of the program does after each event.
    fn publish(&mut self) {
        let core = &self.dispatcher.core;
        let position = core.position().expect("a table");
        if *self.publisher.epoch() != position.epoch {
            self.publisher.change_epoch(position.epoch.clone(), position.lineage.clone(), core.classes());
        }
        self.publisher.publish_relayed(&position.point(), position.roster, None, core.table());
        self.publisher.set_latest_revision(core.latest_revision());
    }

    /// Opens a stream of a dispatcher's at the relay.
    fn serve(&mut self, dispatcher: &mut Dispatcher, now: Time) {
        self.last_stream += 1;
        dispatcher.stream = StreamId(self.last_stream);
        let conn = ConnectionId(self.last_stream);
        self.publisher.attach(now, dispatcher.stream, conn, dispatcher.request());
        self.publisher.bind_to_single_feed(conn);
        dispatcher.read(now, &mut self.publisher);
    }
}

/// Guards against a relay that starts anew, is bound to another part of the table, and publishes what its dispatchers
/// refuse as older: neither it nor the conductor knows what they hold.
#[test]
fn the_dispatchers_of_a_relay_that_starts_anew_become_current() {
    let (mut deployment, _settled) = with_silent_feed();
    let mut relay = Relay::new(1, deployment.now);
    deployment.follow(&mut relay.dispatcher, 0);
    for weight in [0.25, 0.5, 0.75] {
        deployment.change(0, weight, &mut [&mut relay.dispatcher]);
    }
    relay.publish();
    let mut dispatcher = Dispatcher::new(5, deployment.now);
    relay.serve(&mut dispatcher, deployment.now);
    assert_eq!(dispatcher.core.state(), State::Current);
    let (feed_before, _) = dispatcher.held();
    deployment.give_up(&mut relay.dispatcher);
    dispatcher.lose_stream(deployment.now);
    let mut restarted = Relay::new(1, deployment.now);
    deployment.follow(&mut restarted.dispatcher, 1);
    restarted.publish();
    restarted.serve(&mut dispatcher, deployment.now);
    assert_eq!(dispatcher.core.state(), State::Current);
    assert_ne!(dispatcher.held().0, feed_before);
}

/// Guards against a dispatcher that comes from a relay bound to another part of the table and refuses what this relay
/// publishes, because its own part has been silent since before: the relay knows from heartbeats how far its table stands.
#[test]
fn a_dispatcher_that_moves_to_a_relay_of_a_silent_feed_becomes_current() {
    let (mut deployment, _settled) = with_silent_feed();
    let mut silent = Relay::new(1, deployment.now);
    deployment.follow(&mut silent.dispatcher, 1);
    let mut changing = Relay::new(2, deployment.now);
    deployment.follow(&mut changing.dispatcher, 0);
    for weight in [0.25, 0.5, 0.75] {
        deployment.change(0, weight, &mut [&mut silent.dispatcher, &mut changing.dispatcher]);
    }
    changing.publish();
    let mut dispatcher = Dispatcher::new(5, deployment.now);
    changing.serve(&mut dispatcher, deployment.now);
    let (feed_before, revision_before) = dispatcher.held();
    dispatcher.lose_stream(deployment.now);
    deployment.now = deployment.now + limits().heartbeat_interval;
    silent.dispatcher.read(deployment.now, &mut deployment.conductor.publisher);
    silent.publish();
    silent.serve(&mut dispatcher, deployment.now);
    assert_eq!(dispatcher.core.state(), State::Current);
    assert!(dispatcher.held().0 != feed_before && dispatcher.held().1 >= revision_before);
}

/// Guards against lines that count as waiting in the channel for seconds: a follower that was bound to a feed with
/// followers already was never sent the mark of its binding, so that it could not acknowledge it.
#[test]
fn a_follower_bound_to_a_standing_feed_is_sent_the_mark_of_its_binding() {
    let (mut deployment, mut settled) = with_silent_feed();
    let mut joining = Dispatcher::new(1, deployment.now);
    deployment.follow(&mut joining, 1);
    let marks = |actions: &[Action]| -> Vec<u16> {
        let sent = actions.iter().filter_map(|action| match action {
            Action::SendAlive { marks, .. } => Some(marks.clone()),
            _ => None,
        });
        sent.flatten().collect()
    };
    assert_eq!(marks(&joining.sent), [deployment.conductor.marks]);
    let before = settled.sent.len();
    settled.read(deployment.now, &mut deployment.conductor.publisher);
    assert_eq!(settled.sent.len(), before, "those bound before are asked for nothing");
}

/// Guards against a table that no publisher ever had: a relay that was behind publishes several changes as one, which must
/// not be applied to a table from between them.
#[test]
fn a_dispatcher_with_a_table_that_a_relay_has_skipped_is_sent_a_snapshot() {
    let mut deployment = Deployment::new();
    let mut relay = Relay::new(1, deployment.now);
    deployment.follow(&mut relay.dispatcher, 0);
    relay.publish();
    let mut waiting = Dispatcher::new(6, deployment.now);
    relay.serve(&mut waiting, deployment.now);
    let mut dispatcher = Dispatcher::new(5, deployment.now);
    deployment.follow(&mut dispatcher, 0);
    deployment.change(0, 0.5, &mut [&mut dispatcher]);
    // The relay takes both this change and the one that undoes it before it publishes.
    deployment.change(0, 1.0, &mut [&mut relay.dispatcher]);
    relay.publish();
    dispatcher.lose_stream(deployment.now);
    relay.serve(&mut dispatcher, deployment.now);
    waiting.read(deployment.now, &mut relay.publisher);
    for served in [&dispatcher, &waiting] {
        assert_eq!(served.core.state(), State::Current);
        assert_eq!(served.core.table(), relay.dispatcher.core.table());
    }
}

//! The cost of publishing to many proxies: flushes on proxies' streams with each message encoded per proxy and encoded
//! once, and on the snapshot channel, in one run; then the memory of a conductor with thousands of followers, and the
//! time in which a follower catches up after its connection broke.
//! `cargo bench -p oatpitch-conductor --bench fanout`.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use oatpitch::interface::*;
use oatpitch_channel::core::codec::Json;
use oatpitch_channel::core::line::{ClassTerms, Epoch, name};
use oatpitch_channel::core::publisher::{Action, FollowRequest, Limits, Publisher, StreamId, StreamOutput};
use oatpitch_channel::core::subscriber::{self, State, Subscriber, SubscriberSettings};
use oatpitch_channel::net::client::{Identity, follow};
use oatpitch_channel::net::system_clock;
use oatpitch_conductor::wire::push;
use oatpitch_standins::conductor::{ConductorProcess, config, free_port};
use oatpitch_standins::discovery::Discovery;
use oatpitch_standins::link::FaultyLink;
use oatpitch_state::ConnectionId;
use oatpitch_state::counters::Counters;
use oatpitch_state::desired_state::DesiredState;
use oatpitch_state::node_names::NodeNames;

/// Nodes of the table.
const NODES: usize = 700;
/// Lines changed by one flush.
const CHANGED: usize = 200;
/// Names of the service's classes.
const CLASSES: [&str; 2] = ["quote", "advance"];

/// Returns the limits of the channel.
fn limits() -> Limits {
    Limits {
        max_waiting_lines: 4_096,
        max_revisions: 1_024,
        max_history_bytes: 4 << 20,
        catch_up_lines_per_second: 1_000_000_000,
        heartbeat_interval: Time::from_ms(1_000),
        silence_timeout: Time::from_ms(60_000),
        linger: Time::from_ms(2_000),
    }
}

/// Returns the median, or 0 of nothing.
fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied().unwrap_or_default()
}

/// Returns the state of a table of [`NODES`] nodes that is bound by this number of followers.
fn ordered_state(followers: u16, clears_ejections: bool) -> (DesiredState, NodeNames) {
    let mut ordered = DesiredState::new(CLASSES.len() as u16);
    let mut names = NodeNames::default();
    for k in 0..NODES {
        let node = names.id_or_insert(&format!("s-{k:08x}"));
        ordered.set_line(TableId(0), node, 1.0);
    }
    for k in 0..followers {
        ordered.add_stream(ProxyId(k.into()), ConnectionId(k.into()), true, clears_ejections);
        ordered.bind_proxy(ProxyId(k.into()), TableId(0), ClassSet::default());
    }
    (ordered, names)
}

/// Changes the lines of one flush.
fn change_lines(ordered: &mut DesiredState, names: &mut NodeNames, round: usize) {
    for k in 0..CHANGED {
        let node = names.id_or_insert(&format!("s-{:08x}", (round * 31 + k * 3) % NODES));
        ordered.set_line(TableId(0), node, 0.1 + (round % 7) as f64 * 0.1);
    }
}

/// Measures flushes on streams. Returns the median time of a flush in milliseconds, and the bytes encoded by one.
/// If `each`, a message is encoded separately for each of its recipients.
fn measure_streams(followers: u16, each: bool) -> (f64, usize) {
    let (mut ordered, mut names) = ordered_state(followers, false);
    let mut counters = Counters::default();
    let classes = CLASSES.map(String::from);
    ordered.close_turn(Time(1), 1, &names, &mut counters);
    let mut times = Vec::new();
    let mut bytes = 0;
    for round in 1..=20 {
        change_lines(&mut ordered, &mut names, round);
        let start = Instant::now();
        bytes = 0;
        let mut queued_messages = Vec::new();
        for (to, message) in ordered.close_turn(Time(round as u64), 1, &names, &mut counters) {
            if each {
                // The earlier implementation encoded a message for each proxy separately.
                for _ in &to {
                    let encoded = push::encode(&message.parts, &classes, &mut counters);
                    bytes += encoded.len();
                    queued_messages.push(encoded);
                }
            } else {
                let encoded = push::encode(&message.parts, &classes, &mut counters);
                bytes += encoded.len();
                queued_messages.extend(to.iter().map(|_| encoded.clone()));
            }
        }
        times.push(start.elapsed().as_secs_f64() * 1e3);
        assert_eq!(queued_messages.len(), usize::from(followers));
    }
    (median(times), bytes)
}

/// Measures flushes on the snapshot channel. Returns the median time of a flush and of its part until it is encoded, in
/// milliseconds, and the bytes encoded by one.
fn measure_channel(followers: u16) -> (f64, f64, usize) {
    let (mut ordered, mut names) = ordered_state(followers, true);
    let epoch = Epoch { conductor: name("n1"), started_at: 1 };
    let terms = CLASSES.map(|class| ClassTerms { name: name(class), non_idempotent: class == "advance" });
    let mut publisher = Publisher::new(Json, limits(), epoch, name("l"), terms.to_vec(), 1);
    for k in 0..followers {
        let request = FollowRequest {
            proxy: ProxyId(k.into()),
            zone: ZoneId(0),
            rate: 1.0,
            fresh: true,
            resume: None,
            tags: Default::default(),
        };
        publisher.attach(Time(1), StreamId(k.into()), ConnectionId(k.into()), request);
    }
    let mut counters = Counters::default();
    let mut flush = |ordered: &mut DesiredState, names: &NodeNames, publisher: &mut Publisher<Json>, now| {
        let messages = ordered.close_turn(now, 1, names, &mut counters);
        messages.iter().for_each(|(to, message)| publisher.add_message(to, message));
        publisher.finish_turn(now, 1)
    };
    let sent = |publisher: &mut Publisher<Json>, now| {
        let mut all = 0;
        let mut queued_messages = Vec::new();
        for k in 0..followers {
            while let StreamOutput::Send(bytes) = publisher.next_output(now, StreamId(k.into())) {
                all += 1;
                queued_messages.push(bytes);
            }
        }
        all
    };
    flush(&mut ordered, &names, &mut publisher, Time(2));
    assert_eq!(sent(&mut publisher, Time(2)), 2 * u32::from(followers));
    let mut times = Vec::new();
    let mut encoding = Vec::new();
    let mut bytes = 0;
    for round in 1..=20 {
        change_lines(&mut ordered, &mut names, round);
        let now = Time(2 + round as u64);
        let start = Instant::now();
        let actions = flush(&mut ordered, &names, &mut publisher, now);
        encoding.push(start.elapsed().as_secs_f64() * 1e3);
        assert_eq!(
            actions.iter().filter(|action| matches!(action, Action::Wake(_))).count(),
            usize::from(followers)
        );
        assert_eq!(sent(&mut publisher, now), u32::from(followers));
        times.push(start.elapsed().as_secs_f64() * 1e3);
        bytes = counter_value(&publisher.counters, "bytes encoded") / (round + 1);
    }
    (median(times), median(encoding), bytes)
}

/// Returns the value of a counter, or 0 if it isn't set.
fn counter_value(counters: &Counters, name: &str) -> usize {
    let all = format!(", {counters},");
    let count = all.split_once(&format!(", {name}=")).and_then(|(_, rest)| rest.split(',').next());
    count.and_then(|count| count.parse().ok()).unwrap_or_default()
}

/// Returns the resident memory of a process, in MiB.
fn resident_mib(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse::<f64>().ok()).unwrap_or_default() / 1024.0
}

/// A running conductor with its discovery.
struct Site {
    conductor: ConductorProcess,
    discovery: Discovery,
    /// Address of the snapshot channel.
    publish: SocketAddr,
}

/// Starts a conductor that publishes this number of nodes.
fn start_site(nodes: usize) -> Site {
    let names: Vec<String> = (0..nodes).map(|k| format!("s-{k:08x}")).collect();
    let nodes: Vec<(&str, &str)> = names.iter().map(|node| (node.as_str(), "a")).collect();
    let discovery = Discovery::start(&nodes);
    let publish = free_port();
    let config = config("bench", free_port(), discovery.address, 6_000);
    let operator =
        format!("channel: {{\n\tlisten: \"{publish}\"\n\tsubscribers: 6000\n\tsilent: 10m\n\tbeat: 1s\n}}\n");
    let folder = std::env::temp_dir().join(format!("oatpitch-fanout-{}", std::process::id()));
    let conductor =
        ConductorProcess::start(Path::new(env!("CARGO_BIN_EXE_oatpitch")), &folder, &config, &operator);
    while TcpStream::connect(publish).is_err() {
        std::thread::sleep(Duration::from_millis(5));
    }
    Site { conductor, discovery, publish }
}

/// Prints the conductor's memory while its subscribers read nothing, and the time in which a subscriber that reads is
/// served meanwhile.
fn measure_stalled(followers: usize) {
    let site = start_site(NODES);
    let pid = site.conductor.child.id();
    std::thread::sleep(Duration::from_millis(800));
    let idle = resident_mib(pid);
    let mut held = Vec::new();
    for k in 0..followers {
        let mut stream = TcpStream::connect(site.publish).expect("open");
        let request = format!("GET /v1/follow?proxy={k}&zone=a HTTP/1.1\r\nHost: x\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("written");
        held.push(stream);
    }
    std::thread::sleep(Duration::from_secs(3));
    let joined = resident_mib(pid);
    let mut most = joined;
    let start = Instant::now();
    for round in 0..60 {
        for k in 0..CHANGED {
            let state = if (round + k) % 2 == 0 { "leaving" } else { "active" };
            site.discovery.set_node(&format!("s-{:08x}", (round * 31 + k * 3) % NODES), "a", state);
        }
        std::thread::sleep(Duration::from_millis(150));
        most = most.max(resident_mib(pid));
    }
    // A subscriber that reads is still served.
    let mut stream = TcpStream::connect(site.publish).expect("open");
    stream.write_all(b"GET /v1/follow?proxy=5999&zone=a HTTP/1.1\r\nHost: x\r\n\r\n").expect("written");
    let requested_at = Instant::now();
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    let served = lines.any(|line| line.contains("\"kind\":\"snapshot\""));
    assert!(served, "one that reads is served");
    println!(
        "{followers} stalled: idle {idle:.1} MiB, all joined {joined:.1} MiB, at most {most:.1} MiB while {} s of \
         flushes go on ({:+.1} MiB above idle); one that reads is served in {:.0} ms",
        start.elapsed().as_secs(),
        most - idle,
        requested_at.elapsed().as_secs_f64() * 1e3,
    );
}

/// Prints the time in which a subscriber catches up after its connection broke, in milliseconds.
fn measure_catch_up(nodes: usize, rounds: usize) {
    let site = start_site(nodes);
    let link = FaultyLink::start(site.publish, 1);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let settings = SubscriberSettings {
        effects_timeout: Time::from_ms(1_000),
        unordered_timeout: Time::from_ms(10_000),
        min_retry_delay: Time::from_ms(100),
        max_retry_delay: Time::from_ms(2_000),
        silence_timeout: Time::from_ms(5_000),
    };
    let identity = Identity { proxy: 1, zone: "a".into(), rate: 1.0, tags: Vec::new() };
    let mut times: Vec<f64> = Vec::new();
    let mut broken: Option<Instant> = None;
    let observer = |subscriber: &Subscriber, actions: &[subscriber::Action]| {
        for action in actions {
            match action {
                subscriber::Action::StateChanged { to: State::Current, .. } => {
                    times.extend(broken.take().map(|since| since.elapsed().as_secs_f64() * 1e3));
                    if times.len() == rounds {
                        return false;
                    }
                    broken = Some(Instant::now());
                    // A node changes meanwhile, so that there is something to catch up on.
                    site.discovery.set_node(
                        "s-00000001",
                        "a",
                        if times.len().is_multiple_of(2) { "leaving" } else { "active" },
                    );
                    link.break_connections(false);
                }
                subscriber::Action::StateChanged { from: State::Current, .. } => {
                    broken = Some(Instant::now())
                }
                _ => {}
            }
        }
        let _ = subscriber;
        true
    };
    let hosts = [link.address];
    let following = follow(&hosts, &identity, settings, system_clock(), 1, observer);
    tokio::task::LocalSet::new().block_on(&runtime, following);
    let most = times.iter().copied().fold(0.0, f64::max);
    println!(
        "catch-up after {rounds} breaks at {nodes} nodes: median {:.1} ms, longest {most:.1} ms",
        median(times)
    );
}

fn main() {
    println!("{NODES} nodes, {CHANGED} changed lines; one flush in one thread that waits for nothing");
    println!(
        "followers  streams, each encoded  streams, encoded once  channel (of it until encoded)   ratio"
    );
    for followers in [100, 1_000, 5_000] {
        let (each, bytes_each) = measure_streams(followers, true);
        let (once, bytes_once) = measure_streams(followers, false);
        let (published, encoding, bytes) = measure_channel(followers);
        println!(
            "{followers:9}  {each:9.2} ms {:6} KiB  {once:9.2} ms {:6.1} KiB  {published:7.2} ms ({encoding:5.2} ms) {:6.1} KiB  \
             {:5.1}x",
            bytes_each >> 10,
            bytes_once as f64 / 1024.0,
            bytes as f64 / 1024.0,
            each / published,
        );
    }
    if std::env::args().any(|argument| argument == "stalled") {
        [50, 5_000].into_iter().for_each(measure_stalled);
        return;
    }
    measure_catch_up(30, 200);
    measure_catch_up(NODES, 200);
    [50, 5_000].into_iter().for_each(measure_stalled);
}

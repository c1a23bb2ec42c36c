//! A dispatcher that embeds the subscriber: it follows the publishers on its command line and routes synthetic
//! exchanges of every class. Run it with `cargo run -p oatpitch-channel --example dispatcher -- ADDRESS...`

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use oatpitch::interface::Time;
use oatpitch_channel::core::subscriber::{Action, Route, Subscriber, SubscriberSettings};
use oatpitch_channel::net::client::{Identity, follow};
use oatpitch_channel::net::system_clock;

/// The number of exchanges of each class, after which the program ends.
const EXCHANGES: u32 = 200;

/// The interval between two exchanges of a class.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    let hosts: Result<Vec<SocketAddr>, _> = std::env::args().skip(1).map(|host| host.parse()).collect();
    let hosts = match hosts {
        Ok(hosts) if !hosts.is_empty() => hosts,
        _ => {
            eprintln!("dispatcher: expected addresses of publishers, such as 127.0.0.1:7100");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("dispatcher: {error}");
            return ExitCode::FAILURE;
        }
    };
    tokio::task::LocalSet::new().block_on(&runtime, dispatch(hosts));
    ExitCode::SUCCESS
}

async fn dispatch(hosts: Vec<SocketAddr>) {
    let settings = SubscriberSettings {
        effects_timeout: Time::from_ms(1_000),
        unordered_timeout: Time::from_ms(10_000),
        min_retry_delay: Time::from_ms(100),
        max_retry_delay: Time::from_ms(2_000),
        silence_timeout: Time::from_ms(5_000),
    };
    let identity =
        Identity { proxy: 1, zone: "a".into(), rate: 20.0, tags: vec![("role".into(), "example".into())] };
    // The latest copy of the subscriber, which the dispatcher routes by.
    let latest: Rc<RefCell<Option<Subscriber>>> = Rc::default();
    let latest_writer = latest.clone();
    let observer = move |subscriber: &Subscriber, actions: &[Action]| {
        for action in actions {
            if let Action::StateChanged { from, to, reason } = action {
                println!("{from} to {to}: {reason}");
            }
        }
        *latest_writer.borrow_mut() = Some(subscriber.clone());
        true
    };
    let clock = system_clock();
    let following = follow(&hosts, &identity, settings, clock.clone(), 1, observer);
    let routing = async {
        let mut routed: BTreeMap<String, u32> = BTreeMap::new();
        for number in 0..EXCHANGES {
            tokio::time::sleep(EXCHANGE_INTERVAL).await;
            let latest = latest.borrow();
            let Some(subscriber) = latest.as_ref() else { continue };
            for terms in subscriber.classes() {
                // Stands in for a random number below 1.
                let random = f64::from(number * 37 % 101) / 101.0;
                let outcome = match subscriber.route(clock(), &terms.name, random) {
                    Route::Node(node) => format!("{} to {node}", terms.name),
                    Route::Held(_) => format!("{} held back", terms.name),
                    Route::Refused => format!("{} refused at once", terms.name),
                };
                *routed.entry(outcome).or_default() += 1;
            }
        }
        routed
    };
    tokio::select! {
        () = following => {}
        routed = routing => routed.iter().for_each(|(outcome, count)| println!("{count:4} {outcome}")),
    }
}

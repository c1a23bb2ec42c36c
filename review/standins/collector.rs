//! A stand-in of a zone's collector: it passes on, once a second, what the zone's dispatchers met at each node.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::dispatcher::{Dispatcher, Met};
use crate::record::Record;
use crate::servers::Servers;

/// Interval of the sums.
const PERIOD: Duration = Duration::from_millis(1_000);

/// The collector of a zone at one conductor.
pub struct Collector {
    /// The conductor's place among those of the tier, and its address.
    pub place: usize,
    pub address: SocketAddr,
    pub zone: &'static str,
    /// The dispatchers of the zone.
    pub dispatchers: Vec<Dispatcher>,
    pub servers: Servers,
    pub record: Record,
    pub stop: Arc<AtomicBool>,
}

impl Collector {
    /// Starts to pass on sums, until the end of the case. It connects again where its connection breaks.
    pub fn start(self) {
        thread::spawn(move || {
            let mut connection: Option<TcpStream> = None;
            while !self.stop.load(Ordering::Relaxed) {
                thread::sleep(PERIOD);
                let open = connection.take().or_else(|| self.connect().ok());
                connection = open.and_then(|open| self.pass_on(open).ok());
            }
        });
    }

    fn connect(&self) -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        writeln!(stream, r#"{{"t":"agent","zone":"{}"}}"#, self.zone)?;
        Ok(stream)
    }

    fn pass_on(&self, mut stream: TcpStream) -> std::io::Result<TcpStream> {
        for (node, met) in self.gather() {
            let answered = f64::from((met.tries - met.failed).max(1));
            let mean_ms = met.time.as_secs_f64() * 1_000.0 / answered;
            let (util, queue) = self.servers.load(&node);
            let line = format!(
                r#"{{"t":"outcomes","zone":"{}","server":"{node}","tries":{},"failed":{},"mean_ms":{mean_ms:.1},"span_ms":1000.0,"load":{{"util":{util:.2},"queue":{queue:.1}}}}}"#,
                self.zone, met.tries, met.failed
            );
            self.record.line(&format!("collector {} to conductor {}: {line}", self.zone, self.place + 1));
            writeln!(stream, "{line}")?;
        }
        Ok(stream)
    }

    /// Takes what the dispatchers that have joined this conductor met, by node.
    fn gather(&self) -> BTreeMap<String, Met> {
        let mut sums: BTreeMap<String, Met> = BTreeMap::new();
        for dispatcher in &self.dispatchers {
            let mut state = dispatcher.state.lock().unwrap();
            if state.joined.is_some_and(|joined| joined.conductor == self.place) {
                for (node, met) in std::mem::take(&mut state.met) {
                    sums.entry(node).or_default().add(&met);
                }
            }
        }
        sums
    }
}

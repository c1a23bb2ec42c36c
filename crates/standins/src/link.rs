//! A TCP forwarder between two peers that fails on command. What comes from the far end can be held back, split
//! into single bytes, or lose, repeat and swap lines by chance from a seed; connections can be broken.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Size in bytes of the buffer for reads from the far end.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Interval at which a stalled connection checks whether it may go on.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Faults applied to the bytes that come from the far end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Each byte is written by itself.
    pub split_bytes: bool,
    /// Nothing is passed on, while both ends stay open.
    pub stalled: bool,
    /// Lines dropped, of a thousand.
    pub dropped_per_mille: u32,
    /// Lines sent twice, of a thousand.
    pub doubled_per_mille: u32,
    /// Lines swapped with the next, of a thousand.
    pub swapped_per_mille: u32,
}

impl Faults {
    /// Whether lines may be dropped, doubled or swapped.
    fn change_lines(&self) -> bool {
        self.dropped_per_mille + self.doubled_per_mille + self.swapped_per_mille > 0
    }
}

/// The two sides of a connection through the link.
struct Connection {
    /// To the peer that dialled the link.
    near: TcpStream,
    /// To the target.
    far: TcpStream,
}

#[derive(Default)]
struct State {
    faults: Faults,
    /// Address dialled for each new connection.
    target: Option<SocketAddr>,
    open: Vec<Connection>,
    /// Whether new connections are closed at once.
    refuse_new: bool,
    /// Bytes passed on from the far end.
    bytes_passed: u64,
}

/// A link that can fail. It runs until the process ends.
#[derive(Clone)]
pub struct FaultyLink {
    /// Where peers connect to the link.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl FaultyLink {
    /// Starts a link to `target`. `seed` decides which lines the faults hit.
    pub fn start(target: SocketAddr, seed: u64) -> FaultyLink {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| panic!("no port: {error}"));
        let address = listener.local_addr().unwrap_or(target);
        let link = FaultyLink { address, state: Arc::default() };
        link.lock().target = Some(target);
        let server = link.clone();
        thread::spawn(move || {
            for (number, near) in listener.incoming().flatten().enumerate() {
                let server = server.clone();
                let rng = fastrand::Rng::with_seed(seed.wrapping_add(number as u64));
                thread::spawn(move || server.forward(near, rng));
            }
        });
        link
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults of all connections, open ones included.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Sets the address to which new connections are forwarded.
    pub fn set_target(&self, target: SocketAddr) {
        self.lock().target = Some(target);
    }

    /// Breaks all open connections, and sets whether new ones are refused.
    pub fn break_connections(&self, refuse_new: bool) {
        let mut state = self.lock();
        state.refuse_new = refuse_new;
        for connection in state.open.drain(..) {
            let _ = connection.near.shutdown(Shutdown::Both);
            let _ = connection.far.shutdown(Shutdown::Both);
        }
    }

    /// Returns the number of bytes passed on from the far end.
    pub fn bytes_passed(&self) -> u64 {
        self.lock().bytes_passed
    }

    /// Forwards one connection until either end closes it.
    fn forward(&self, near: TcpStream, rng: fastrand::Rng) -> Option<()> {
        let target = {
            let state = self.lock();
            if state.refuse_new {
                return None;
            }
            state.target?
        };
        let far = TcpStream::connect(target).ok()?;
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        {
            let mut state = self.lock();
            let connection = Connection { near: near.try_clone().ok()?, far: far.try_clone().ok()? };
            state.open.push(connection);
        }
        let mut from_near = near.try_clone().ok()?;
        let mut to_far = far.try_clone().ok()?;
        thread::spawn(move || {
            let _ = std::io::copy(&mut from_near, &mut to_far);
            let _ = to_far.shutdown(Shutdown::Both);
        });
        self.forward_from_far(far, &near, rng);
        let _ = near.shutdown(Shutdown::Both);
        Some(())
    }

    /// Forwards what comes from the far end, with the faults set at that time.
    fn forward_from_far(
        &self,
        mut far: TcpStream,
        mut near: &TcpStream,
        mut rng: fastrand::Rng,
    ) -> Option<()> {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut held_back = Vec::new();
        loop {
            let count = far.read(&mut buffer).ok().filter(|count| *count > 0)?;
            let received = &buffer[..count];
            let faults = self.faults_once_not_stalled();
            self.lock().bytes_passed += count as u64;
            let output = if faults.change_lines() {
                change_lines(received, &faults, &mut held_back, &mut rng)
            } else {
                received.to_vec()
            };
            if faults.split_bytes {
                for byte in output {
                    near.write_all(&[byte]).ok()?;
                }
            } else {
                near.write_all(&output).ok()?;
            }
        }
    }

    /// Waits while the link is stalled, and returns the faults set after that.
    fn faults_once_not_stalled(&self) -> Faults {
        loop {
            let faults = self.lock().faults.clone();
            if !faults.stalled {
                return faults;
            }
            thread::sleep(STALL_POLL_INTERVAL);
        }
    }
}

/// Drops, doubles or swaps received bytes that are one HTTP/1.1 chunk of whole lines, and returns the bytes to
/// send. All else passes unchanged. Chunks are treated as a whole, so that the chunked encoding stays valid.
///
/// `held_back` keeps a chunk that is to be sent after the next one.
fn change_lines(
    received: &[u8],
    faults: &Faults,
    held_back: &mut Vec<u8>,
    rng: &mut fastrand::Rng,
) -> Vec<u8> {
    if !is_chunk_of_lines(received) {
        return [std::mem::take(held_back), received.to_vec()].concat();
    }
    let dropped_below = faults.dropped_per_mille;
    let doubled_below = dropped_below + faults.doubled_per_mille;
    let swapped_below = doubled_below + faults.swapped_per_mille;
    let roll = rng.u32(0..1000);
    if roll < dropped_below {
        return std::mem::take(held_back);
    }
    if roll < doubled_below {
        return [std::mem::take(held_back), received.to_vec(), received.to_vec()].concat();
    }
    if roll < swapped_below && held_back.is_empty() {
        held_back.extend_from_slice(received);
        return Vec::new();
    }
    [received.to_vec(), std::mem::take(held_back)].concat()
}

/// Whether bytes look like an HTTP/1.1 chunk that ends with a JSON line: a hexadecimal size comes first.
fn is_chunk_of_lines(bytes: &[u8]) -> bool {
    bytes.ends_with(b"}\n\r\n")
        && bytes.iter().take(8).any(|byte| *byte == b'\r')
        && bytes.first().is_some_and(u8::is_ascii_hexdigit)
}

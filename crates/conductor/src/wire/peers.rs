//! Datagrams between conductors.

use std::io;
use std::net::SocketAddr;

use oatpitch_state::limits::MAX_DATAGRAM_BYTES;
use tokio::net::UdpSocket;

/// Receives the next datagram and returns its sender, and its bytes unless it is longer than
/// [`MAX_DATAGRAM_BYTES`]. A conductor never sends a longer one.
pub async fn receive_datagram(socket: &UdpSocket) -> io::Result<(SocketAddr, Option<Vec<u8>>)> {
    // One byte more than allowed, so that a longer datagram is recognized.
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    let (length, sender) = socket.recv_from(&mut bytes).await?;
    Ok((sender, (length <= MAX_DATAGRAM_BYTES).then(|| bytes[..length].to_vec())))
}

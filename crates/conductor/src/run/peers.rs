//! Receives datagrams of peers for the reducer.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use oatpitch_state::Input;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::wire::{limits, peers};

/// Passes the sender of each datagram to the reducer, until the conductor has stopped.
pub async fn receive(socket: Rc<UdpSocket>, addresses: Vec<SocketAddr>, inbox: mpsc::Sender<Input>) {
    let indexes = indexes(&addresses);
    loop {
        let Ok((from, bytes)) = peers::receive_datagram(&socket).await else {
            tokio::time::sleep(limits::ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let index = bytes.and_then(|_| indexes.get(&from).copied());
        if inbox.send(Input::PeerDatagram(index)).await.is_err() {
            return;
        }
    }
}

/// Returns the index of each peer in the list, the first one if an address is listed twice.
fn indexes(addresses: &[SocketAddr]) -> BTreeMap<SocketAddr, usize> {
    let mut indexes = BTreeMap::new();
    for (index, peer) in addresses.iter().enumerate() {
        indexes.entry(*peer).or_insert(index);
    }
    indexes
}

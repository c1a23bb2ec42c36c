//! Datagrams of peers, handed to the reducer.

use std::net::SocketAddr;
use std::rc::Rc;

use oatpitch_memory::Input;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::wire::{limits, peers};

/// Hands on who sent each datagram, until the conductor is gone.
pub async fn receive(socket: Rc<UdpSocket>, each: Vec<SocketAddr>, inbox: mpsc::Sender<Input>) {
    loop {
        let Ok((from, bytes)) = peers::next(&socket).await else {
            tokio::time::sleep(limits::ACCEPT_PAUSE).await;
            continue;
        };
        let place = bytes.and_then(|_| each.iter().position(|peer| *peer == from));
        if inbox.send(Input::Peer(place)).await.is_err() {
            return;
        }
    }
}

//! Discovery on HTTP/1.1: the whole list, and watches over it. Each conductor has an address of its own, as if it were
//! the agent on its machine.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::world::World;
use crate::core::ids::ConductorIndex;

/// How often a watch shows that it lives while nothing changes.
const BEAT: Duration = Duration::from_secs(2);
const PATH: &str = "/catalog/members";

/// Answers who asks, until it is dropped.
pub async fn serve(world: Rc<World>, conductor: ConductorIndex, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let world = world.clone();
        // Who has gone away needs no answer.
        spawn_local(async move { _ = answer(&world, conductor, stream).await });
    }
}

async fn answer(world: &World, conductor: ConductorIndex, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    let path = request_path(&mut stream).await?;
    match path.strip_prefix(PATH) {
        Some("") => whole(world, conductor, &mut stream).await,
        Some(query) => follow(world, conductor, &mut stream, since(query)).await,
        None => stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await,
    }
}

/// The path of a request; its headers are passed over.
async fn request_path(stream: &mut BufReader<TcpStream>) -> std::io::Result<String> {
    const EMPTY_LINE: usize = 2;
    let mut line = String::new();
    stream.read_line(&mut line).await?;
    let path = line.split(' ').nth(1).unwrap_or_default().to_string();
    loop {
        line.clear();
        if stream.read_line(&mut line).await? <= EMPTY_LINE {
            return Ok(path);
        }
    }
}

fn since(query: &str) -> u64 {
    let fields = query.trim_start_matches('?').split('&');
    fields.filter_map(|field| field.strip_prefix("since=")?.parse().ok()).next().unwrap_or_default()
}

async fn whole(
    world: &World,
    conductor: ConductorIndex,
    stream: &mut BufReader<TcpStream>,
) -> std::io::Result<()> {
    let snapshot = world.fleet.borrow_mut().current().clone();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", snapshot.document.len());
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&snapshot.document).await?;
    count(world, snapshot.document.len());
    world.told_all(conductor, &snapshot.listed);
    Ok(())
}

async fn follow(
    world: &World,
    conductor: ConductorIndex,
    stream: &mut BufReader<TcpStream>,
    since: u64,
) -> std::io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut version = since;
    if since == 0 || !world.fleet.borrow().knows(since) {
        let snapshot = world.fleet.borrow().snapshot().clone();
        version = snapshot.version;
        write_line(world, stream, snapshot.document).await?;
        world.told_all(conductor, &snapshot.listed);
    }
    let mut revised = world.version.subscribe();
    loop {
        let news = world.fleet.borrow().changes_after(version).to_vec();
        for told in news {
            write_line(world, stream, told.line).await?;
            version = told.version;
            world.told(conductor, told.change);
        }
        match tokio::time::timeout(BEAT, revised.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Ok(()),
            Err(_) => stream.write_all(b"1\r\n\n\r\n").await?,
        }
    }
}

/// One line of a watch, as a chunk.
async fn write_line(world: &World, stream: &mut BufReader<TcpStream>, line: Bytes) -> std::io::Result<()> {
    let head = format!("{:x}\r\n", line.len() + 1);
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&line).await?;
    stream.write_all(b"\n\r\n").await?;
    count(world, line.len());
    Ok(())
}

/// One document has been written.
fn count(world: &World, bytes: usize) {
    let traffic = &mut world.observer.borrow_mut().traffic;
    traffic.bytes_from_discovery += bytes as u64;
    traffic.documents_from_discovery += 1;
}

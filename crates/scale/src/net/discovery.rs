//! A discovery server on HTTP/1.1: the whole list, and watches of its changes. Each conductor has an address of its own,
//! as with a discovery agent on each machine.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::state::PointState;
use crate::core::ids::ConductorIndex;

/// A watch sends an empty line as a heartbeat after this time without a change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Path of the list; a watch has a query behind it.
const PATH: &str = "/catalog/members";

/// Answers the requests of one conductor until the task is dropped.
pub async fn serve(state: Rc<PointState>, conductor: ConductorIndex, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = state.clone();
        // Errors are ignored: the client has closed the connection.
        spawn_local(async move { _ = answer(&state, conductor, stream).await });
    }
}

async fn answer(state: &PointState, conductor: ConductorIndex, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    let path = request_path(&mut stream).await?;
    match path.strip_prefix(PATH) {
        Some("") => send_list(state, conductor, &mut stream).await,
        Some(query) => send_watch(state, conductor, &mut stream, since_version(query)).await,
        None => stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await,
    }
}

/// Reads a request and returns its path. The headers are ignored.
async fn request_path(stream: &mut BufReader<TcpStream>) -> std::io::Result<String> {
    /// Length of the line that ends the headers.
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

/// Returns the version from which a watch resumes; 0 if the query names none.
fn since_version(query: &str) -> u64 {
    let fields = query.trim_start_matches('?').split('&');
    fields.filter_map(|field| field.strip_prefix("since=")?.parse().ok()).next().unwrap_or_default()
}

/// Sends the whole list.
async fn send_list(
    state: &PointState,
    conductor: ConductorIndex,
    stream: &mut BufReader<TcpStream>,
) -> std::io::Result<()> {
    let snapshot = state.fleet.borrow_mut().current().clone();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", snapshot.document.len());
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&snapshot.document).await?;
    count_document(state, snapshot.document.len());
    state.list_sent(conductor, &snapshot.statuses);
    Ok(())
}

/// Sends the changes since a version as they come, after the whole list if not all of these changes are kept.
async fn send_watch(
    state: &PointState,
    conductor: ConductorIndex,
    stream: &mut BufReader<TcpStream>,
    since: u64,
) -> std::io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut version = since;
    if since == 0 || !state.fleet.borrow().has_changes_since(since) {
        let snapshot = state.fleet.borrow().snapshot().clone();
        version = snapshot.version;
        write_line(state, stream, snapshot.document).await?;
        state.list_sent(conductor, &snapshot.statuses);
    }
    let mut version_changes = state.version.subscribe();
    loop {
        let changes = state.fleet.borrow().changes_after(version).to_vec();
        for change in changes {
            write_line(state, stream, change.line).await?;
            version = change.version;
            state.change_sent(conductor, change.change);
        }
        match tokio::time::timeout(HEARTBEAT_INTERVAL, version_changes.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Ok(()),
            Err(_) => stream.write_all(b"1\r\n\n\r\n").await?,
        }
    }
}

/// Writes one line of a watch as an HTTP chunk.
async fn write_line(
    state: &PointState,
    stream: &mut BufReader<TcpStream>,
    line: Bytes,
) -> std::io::Result<()> {
    let head = format!("{:x}\r\n", line.len() + 1);
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&line).await?;
    stream.write_all(b"\n\r\n").await?;
    count_document(state, line.len());
    Ok(())
}

/// Counts a document that was sent.
fn count_document(state: &PointState, bytes: usize) {
    let traffic = &mut state.observer.borrow_mut().traffic;
    traffic.bytes_from_discovery += bytes as u64;
    traffic.documents_from_discovery += 1;
}

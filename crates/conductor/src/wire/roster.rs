//! The client of discovery: fetches the list of nodes, or watches it for changes. It is a hyper client as a
//! tower service.
//!
//! The list is the set of nodes that discovery holds, in numbered versions; the balancing rules call it the
//! roster, and discovery's path calls it the members. A document is one JSON text about it: the whole list as the
//! body of a fetch, or the changes as one line of a watch.

mod document;
mod progress;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, anyhow, bail};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use oatpitch_frame::LineBuffer;
use oatpitch_state::inbound::{DocumentTooLong, MembershipUpdate};
use tokio::net::TcpStream;
use tower::{Service, ServiceExt, service_fn};

use super::limits;
pub use document::decode;
use progress::Progress;

/// Error text for a response that made no progress in time.
const SILENCE_MESSAGE: &str = "silent for too long";

/// Returns the service that opens a new connection for each request, sends the request on it and waits for the
/// head of the response.
fn discovery_service(
    address: SocketAddr,
) -> impl Service<Request<Empty<Bytes>>, Response = Response<Incoming>, Error = tower::BoxError> {
    let call = service_fn(move |request: Request<Empty<Bytes>>| async move {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::task::spawn_local(connection);
        let response = sender.send_request(request).await?;
        Ok::<_, tower::BoxError>(response)
    });
    tower::timeout::Timeout::new(call, limits::DISCOVERY_RESPONSE_TIMEOUT)
}

/// Sends a request to discovery and returns the body of a successful response.
async fn request(address: SocketAddr, path: &str) -> Result<Incoming> {
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::new())?;
    let response = discovery_service(address).oneshot(request).await.map_err(|error| anyhow!(error))?;
    if response.status() != StatusCode::OK {
        bail!("status {}", response.status());
    }
    Ok(response.into_body())
}

/// Fetches the whole list once. Fails with [`DocumentTooLong`] if it is longer than `max_bytes`.
pub async fn fetch_list(address: SocketAddr, zones: &[String], max_bytes: usize) -> Result<MembershipUpdate> {
    let mut body = request(address, "/catalog/members").await?;
    let stated_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated_bytes > max_bytes {
        bail!(DocumentTooLong { allowed: max_bytes, seen: stated_bytes });
    }
    let mut document = BytesMut::with_capacity(stated_bytes);
    let mut progress = Progress::start();
    while let Some(data) = next_chunk(&mut body, &mut progress).await.context("the list did not end")? {
        document.extend_from_slice(&data);
        if document.len() > max_bytes {
            bail!(DocumentTooLong { allowed: max_bytes, seen: document.len() });
        }
    }
    decode(&document, zones)
}

/// Opens a watch for the changes after a version of the list.
pub async fn open_watch(address: SocketAddr, since: u64) -> Result<Incoming> {
    request(address, &format!("/catalog/members?follow=1&since={since}")).await
}

/// Reads the updates of a watch until it ends or makes no progress. Fails with [`DocumentTooLong`] if a line
/// is longer than `max_bytes`.
pub async fn read_watch(
    mut body: Incoming,
    zones: &[String],
    max_bytes: usize,
    mut on_update: impl AsyncFnMut(MembershipUpdate),
) -> Result<()> {
    let mut lines = LineBuffer::new(max_bytes);
    let mut progress = Progress::start();
    while let Some(data) = next_chunk(&mut body, &mut progress).await? {
        lines.buffer_mut().extend_from_slice(&data);
        loop {
            let line = match lines.next_line() {
                Ok(Some(line)) => line,
                Ok(None) => break,
                Err(_) => bail!(DocumentTooLong { allowed: max_bytes, seen: lines.partial_line().len() }),
            };
            if !line.trim_ascii().is_empty() {
                let update = decode(&line, zones)?;
                // Release the bytes of a long line while its update waits for the reducer.
                drop(line);
                on_update(update).await;
            }
            // Blank lines count as well: discovery sends them to show that a watch without changes is alive.
            progress.line_ended();
        }
    }
    Ok(())
}

/// Returns the next bytes of a response, or `None` at its end. Fails if the response makes no progress.
async fn next_chunk(body: &mut Incoming, progress: &mut Progress) -> Result<Option<Bytes>> {
    loop {
        let frame = match tokio::time::timeout_at(progress.deadline(), body.frame()).await {
            Ok(frame) => frame,
            // If the conductor itself was stalled, the deadline passes before data that has arrived is read.
            Err(_) if progress.take_late_read() => {
                frame_or_timeout(limits::DISCOVERY_LATE_READ_TIMEOUT, body.frame()).await?
            }
            Err(_) => bail!(SILENCE_MESSAGE),
        };
        let Some(frame) = frame else { return Ok(None) };
        if let Ok(data) = frame.context("the connection broke")?.into_data() {
            progress.received(data.len());
            return Ok(Some(data));
        }
    }
}

/// Returns the next frame. Fails with [`SILENCE_MESSAGE`] if none arrives within the timeout.
async fn frame_or_timeout<T>(timeout: Duration, next: impl Future<Output = T>) -> Result<T> {
    tokio::time::timeout(timeout, next).await.context(SILENCE_MESSAGE)
}

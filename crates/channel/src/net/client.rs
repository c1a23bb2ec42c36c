//! The subscriber on sockets: connects, reads lines, and reports that it is alive.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use oatpitch_frame::LineBuffer;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

use super::{Clock, to_duration};
use crate::core::codec::{self, Codec, Json, MAX_LINE_BYTES};
use crate::core::line::FeedPoint;
use crate::core::subscriber::{Action, StreamAttempt, StreamEvent, Subscriber, SubscriberSettings};

/// The maximum number of queued events; reading pauses beyond it.
const MAX_QUEUED_EVENTS: usize = 256;

/// Why a stream ended, for the log.
type Cause = String;

/// The maximum length in bytes of a refusal that is repeated in the log.
const MAX_REFUSAL_BYTES: usize = 4 << 10;

/// The minimum wait for an event, so that a due timer does not turn into a busy loop.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// How a subscriber identifies itself.
#[derive(Clone, Debug)]
pub struct Identity {
    pub proxy: u32,
    pub zone: String,
    /// The proxy's exchanges per second.
    pub rate: f64,
    /// What the subscriber states about itself, as names and values.
    pub tags: Vec<(String, String)>,
}

/// Observes a subscriber after each event, with the actions that resulted.
pub trait Observer {
    /// Returns false to stop following.
    fn observe(&mut self, subscriber: &Subscriber, actions: &[Action]) -> bool;
}

impl<F: FnMut(&Subscriber, &[Action]) -> bool> Observer for F {
    fn observe(&mut self, subscriber: &Subscriber, actions: &[Action]) -> bool {
        self(subscriber, actions)
    }
}

/// A task that is aborted when this value is dropped.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Follows one of the hosts until the observer stops it.
pub async fn follow(
    hosts: &[SocketAddr],
    identity: &Identity,
    settings: SubscriberSettings,
    clock: Clock,
    seed: u64,
    mut observer: impl Observer,
) {
    let (inbox, mut events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let (mut subscriber, mut actions) = Subscriber::new(clock(), settings, hosts.len(), seed);
    let mut stream: Option<AbortOnDrop> = None;
    let mut reports = AliveSender::default();
    let mut host = hosts.first().copied();
    loop {
        for action in &actions {
            match action {
                Action::Connect { attempt, at, host_index, resume } => {
                    host = hosts.get(*host_index).copied();
                    let Some(host) = host else { continue };
                    let wait = to_duration(*at - clock());
                    let path = follow_path(identity, resume.as_ref());
                    let connecting = connect(wait, host, path, *attempt, inbox.clone());
                    stream = Some(AbortOnDrop(spawn_local(connecting).abort_handle()));
                }
                Action::Disconnect(_) => drop(stream.take()),
                Action::SendAlive { session, point, marks } => {
                    if let Some(host) = host {
                        reports.send(host, alive_report(*session, point.as_ref(), marks));
                    }
                }
                Action::Applied | Action::Withdrawn(_) | Action::StateChanged { .. } => {}
            }
        }
        if !observer.observe(&subscriber, &actions) {
            return;
        }
        let wait = to_duration(subscriber.next_deadline() - clock()).max(MIN_WAIT);
        let (attempt, event) = match tokio::time::timeout(wait, events.recv()).await {
            Ok(Some(received)) => received,
            Ok(None) => return,
            Err(_) => (StreamAttempt::default(), StreamEvent::Tick),
        };
        actions = subscriber.handle(clock(), attempt, event);
    }
}

/// Returns the body of a report that the subscriber is alive.
fn alive_report(session: u64, point: Option<&FeedPoint>, marks: &[u16]) -> String {
    let report = serde_json::json!({
        "session": codec::session_text(session),
        "marks": marks,
        "epoch": point.map(|point| point.epoch.to_string()),
        "revision": point.map(|point| point.revision.0),
    });
    report.to_string()
}

/// Returns the path and query of a request to follow. The query is escaped, as names of zones are free text.
fn follow_path(identity: &Identity, resume: Option<&FeedPoint>) -> String {
    let mut query = form_urlencoded::Serializer::new(String::new());
    query.append_pair("proxy", &identity.proxy.to_string());
    query.append_pair("zone", &identity.zone);
    query.append_pair("rate", &identity.rate.to_string());
    for (name, value) in &identity.tags {
        query.append_pair("tag", &format!("{name}:{value}"));
    }
    query.append_pair("fresh", if resume.is_some() { "false" } else { "true" });
    if let Some(point) = resume {
        query.append_pair("epoch", &point.epoch.to_string());
        query.append_pair("feed", &point.feed.0.to_string());
        query.append_pair("revision", &point.revision.0.to_string());
    }
    format!("/v1/follow?{}", query.finish())
}

/// Opens a stream after a wait, and passes on its lines and its end.
async fn connect(
    wait: Duration,
    host: SocketAddr,
    path: String,
    attempt: StreamAttempt,
    inbox: mpsc::Sender<(StreamAttempt, StreamEvent)>,
) {
    tokio::time::sleep(wait).await;
    let cause = match read_stream(host, path, attempt, &inbox).await {
        Ok(()) => "the stream ended".to_string(),
        Err(cause) => cause,
    };
    // The receiver is gone only when following has stopped.
    let _ = inbox.send((attempt, StreamEvent::Closed(cause))).await;
}

fn describe(error: impl Display) -> Cause {
    error.to_string()
}

/// Requests a stream, and passes on its lines until it ends.
async fn read_stream(
    host: SocketAddr,
    path: String,
    attempt: StreamAttempt,
    inbox: &mpsc::Sender<(StreamAttempt, StreamEvent)>,
) -> Result<(), Cause> {
    let socket = TcpStream::connect(host).await.map_err(describe)?;
    socket.set_nodelay(true).map_err(describe)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await.map_err(describe)?;
    let _connection = AbortOnDrop(spawn_local(connection).abort_handle());
    let request =
        Request::get(path).header(HOST, host.to_string()).body(Empty::<Bytes>::new()).map_err(describe)?;
    let response = sender.send_request(request).await.map_err(describe)?;
    let status = response.status();
    let mut body = response.into_body();
    if status != StatusCode::OK {
        let refusal = http_body_util::Limited::new(body, MAX_REFUSAL_BYTES).collect().await;
        let refusal = refusal.map(|refusal| refusal.to_bytes()).unwrap_or_default();
        let text = String::from_utf8_lossy(&refusal);
        return Err(format!("status {}: {}", status.as_u16(), text.trim()));
    }
    let mut lines = LineBuffer::new(MAX_LINE_BYTES);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(describe)?.into_data() else { continue };
        lines.buffer_mut().extend_from_slice(&data);
        while let Some(line) =
            lines.next_line().map_err(|_| "received a line over the maximum length".to_string())?
        {
            if line.trim_ascii().is_empty() {
                continue;
            }
            let event = Json.decode(&line).map_or_else(StreamEvent::Undecodable, StreamEvent::Line);
            if inbox.send((attempt, event)).await.is_err() {
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Sends reports that the subscriber is alive, one after another on a connection of their own. A report that
/// can't be delivered is dropped: the next one replaces it.
#[derive(Default)]
struct AliveSender(Option<HostReports>);

/// The reports to one host.
struct HostReports {
    host: SocketAddr,
    queue: mpsc::Sender<String>,
    _task: AbortOnDrop,
}

/// The maximum number of reports queued for a host that does not answer.
const MAX_QUEUED_REPORTS: usize = 8;

/// The maximum time for the delivery of one report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

impl AliveSender {
    fn send(&mut self, host: SocketAddr, report: String) {
        if self.0.as_ref().is_none_or(|current| current.host != host) {
            let (queue, reports) = mpsc::channel(MAX_QUEUED_REPORTS);
            let task = spawn_local(deliver_reports(host, reports)).abort_handle();
            self.0 = Some(HostReports { host, queue, _task: AbortOnDrop(task) });
        }
        if let Some(current) = &self.0 {
            // A full queue drops the report.
            let _ = current.queue.try_send(report);
        }
    }
}

/// An open connection for reports.
struct ReportConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    _task: AbortOnDrop,
}

async fn deliver_reports(host: SocketAddr, mut reports: mpsc::Receiver<String>) {
    let mut connection: Option<ReportConnection> = None;
    while let Some(report) = reports.recv().await {
        let delivery = deliver_report(host, report, &mut connection);
        if tokio::time::timeout(REPORT_TIMEOUT, delivery).await.ok().flatten().is_none() {
            connection = None;
        }
    }
}

/// Delivers one report, over the open connection if there is one. Returns `None` on failure.
async fn deliver_report(
    host: SocketAddr,
    report: String,
    connection: &mut Option<ReportConnection>,
) -> Option<()> {
    if connection.as_ref().is_none_or(|connection| connection.sender.is_closed()) {
        let socket = TcpStream::connect(host).await.ok()?;
        socket.set_nodelay(true).ok()?;
        let (sender, driver) = http1::handshake(TokioIo::new(socket)).await.ok()?;
        let _task = AbortOnDrop(spawn_local(driver).abort_handle());
        *connection = Some(ReportConnection { sender, _task });
    }
    let sender = &mut connection.as_mut()?.sender;
    let request = Request::post("/v1/alive")
        .header(HOST, host.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(report)))
        .ok()?;
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    response.into_body().collect().await.ok().map(drop)
}

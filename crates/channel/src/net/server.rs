//! The publisher's HTTP server: streams of lines, reports of followers that are alive, and the publisher's state,
//! as a tower service over hyper.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use oatpitch::interface::{ProxyId, Time};
use oatpitch_state::ConnectionId;
use oatpitch_state::message::Message;
use serde::Deserialize;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tower::Service;

use super::follow_query::{FieldError, parse_follow_request};
use super::{Clock, to_duration};
use crate::core::codec::{Codec, Json};
use crate::core::line::*;
use crate::core::publisher::{
    Action, AliveReport, FollowRequest, FollowerCounts, Limits, Publisher, StreamId, StreamOutput,
};
use crate::core::table::Table;

/// What happens to followers, for the host. A follower is named by a connection that stands for it.
#[derive(Clone, Debug)]
pub enum FollowerEvent {
    /// A proxy became a follower, from an address.
    Joined(ConnectionId, SocketAddr, FollowRequest),
    Left(ConnectionId),
    /// A mark was acknowledged. The time is how long that took.
    Acknowledged(ConnectionId, ProxyId, u16, Time),
}

/// The maximum time for the head of a request, from the opening of the connection or the previous exchange.
const HEAD_READ_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The maximum length of a request's body in bytes; a report of a follower has a few hundred.
const MAX_BODY_BYTES: usize = 16 << 10;

/// The size in bytes of a connection's own buffers. Heads are short, and the bytes of lines are shared.
const CONNECTION_BUFFER_BYTES: usize = 8 << 10;

/// The maximum number of connections that have not made a valid request yet.
const MAX_UNIDENTIFIED: usize = 64;

/// How long a new connection is safe from being closed for others: after a restart thousands connect at once.
const MIN_UNIDENTIFIED_AGE: Duration = Duration::from_millis(500);

/// The delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The size in bytes of the system's send buffer of a connection: a few whole tables, as a withdrawal can't overtake
/// what is in it.
const SOCKET_SEND_BUFFER_BYTES: u32 = 32 << 10;

/// The maximum number of connections that wait to be accepted: after a restart thousands connect at once.
const ACCEPT_BACKLOG: u32 = 4_096;

/// How long streams have to deliver their last line when the publisher stops.
const STOP_DELAY: Duration = Duration::from_millis(100);

/// The minimum interval between two ticks of the publisher.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(5);

/// The maximum interval between two ticks of the publisher.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(250);

/// How many ticks fit into the shorter of the heartbeat interval and the silence timeout.
const TICKS_PER_TIMEOUT: u64 = 4;

/// The address reported for a follower whose own is unknown.
const UNKNOWN_PEER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Who may follow, and how.
pub struct ServerSettings {
    /// The names of the zones; `None` to accept any zone.
    pub zones: Option<Vec<String>>,
    /// The number of proxies; their own numbers are below it.
    pub proxy_count: u32,
    /// The maximum number of streams at once.
    pub max_streams: usize,
    /// Whether there is only one feed, to which the server binds followers itself.
    pub single_feed: bool,
}

struct ServerState {
    publisher: Publisher<Json>,
    /// The wakers of streams that wait for output.
    wakers: BTreeMap<StreamId, Option<Waker>>,
    /// The addresses of followers.
    peers: BTreeMap<ConnectionId, SocketAddr>,
    last_stream: u64,
    settings: ServerSettings,
    clock: Clock,
    /// Returns the connection that stands for the next follower.
    next_conn_id: Rc<dyn Fn() -> ConnectionId>,
    events: mpsc::Sender<FollowerEvent>,
}

/// A handle on the publisher, shared by all connections.
#[derive(Clone)]
pub struct Server(Rc<RefCell<ServerState>>);

impl Server {
    /// Returns a server for a publisher. `next_conn_id` returns the connection that stands for the next follower;
    /// `events` gets what happens to followers.
    pub fn new(
        publisher: Publisher<Json>,
        settings: ServerSettings,
        clock: Clock,
        next_conn_id: Rc<dyn Fn() -> ConnectionId>,
        events: mpsc::Sender<FollowerEvent>,
    ) -> Server {
        Server(Rc::new(RefCell::new(ServerState {
            publisher,
            wakers: BTreeMap::new(),
            peers: BTreeMap::new(),
            last_stream: 0,
            settings,
            clock,
            next_conn_id,
            events,
        })))
    }

    /// Changes the publisher and wakes the streams concerned. Other actions are discarded, so that this is for
    /// changes without events for the host.
    pub fn update<T>(&self, change: impl FnOnce(&mut Publisher<Json>, Time) -> (T, Vec<Action>)) -> T {
        let mut state = self.0.borrow_mut();
        let now = (state.clock)();
        let (output, actions) = change(&mut state.publisher, now);
        for action in actions {
            if let Action::Wake(stream) = action {
                state.wake(stream);
            }
        }
        output
    }

    /// Adds a message of the turn; see [`Publisher::add_message`].
    pub fn add_message(&self, to: &[ConnectionId], message: &Message) {
        self.0.borrow_mut().publisher.add_message(to, message);
    }

    /// Publishes the changes of the turn; see [`Publisher::finish_turn`].
    pub fn finish_turn(&self, now: Time, roster_version: u64) {
        self.update(|publisher, _| ((), publisher.finish_turn(now, roster_version)));
    }

    /// Replaces the publisher's limits.
    pub fn set_limits(&self, limits: Limits) {
        self.update(|publisher, _| (publisher.set_limits(limits), Vec::new()));
    }

    /// Returns the numbers of followers and feeds and the counters, for the log.
    pub fn summary(&self) -> String {
        let state = self.0.borrow();
        let FollowerCounts { followers, without_stream, feeds } = state.publisher.follower_counts();
        format!(
            "followers={followers}, without stream={without_stream}, feeds={feeds}, {}",
            state.publisher.counters
        )
    }

    /// Returns whether a connection stands for a follower.
    pub fn is_follower(&self, conn: ConnectionId) -> bool {
        self.0.borrow().publisher.is_follower(conn)
    }

    /// Removes the follower of a connection that the host has ended.
    pub fn remove_follower(&self, conn: ConnectionId) {
        self.update(|publisher, _| ((), publisher.remove_follower(conn)));
    }

    /// Publishes the origin's table at a relay; see [`Publisher::publish_relayed`].
    pub fn publish_relayed(&self, point: &FeedPoint, roster_version: u64, mark: Option<u16>, table: &Table) {
        self.update(|publisher, _| ((), publisher.publish_relayed(point, roster_version, mark, table)));
    }

    /// Ends all streams and gives them a moment to deliver their last line.
    pub async fn stop(&self) {
        self.update(|publisher, _| ((), publisher.stop()));
        tokio::time::sleep(STOP_DELAY).await;
    }

    /// Performs actions, and passes events on to the host in order. Waits while the host's queue is full.
    async fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            let (event, events) = {
                let mut state = self.0.borrow_mut();
                let event = match action {
                    Action::Wake(stream) => {
                        state.wake(stream);
                        continue;
                    }
                    Action::Join(conn, request) => {
                        let peer = state.peers.get(&conn).copied();
                        FollowerEvent::Joined(conn, peer.unwrap_or(UNKNOWN_PEER), request)
                    }
                    Action::Leave(conn) => {
                        state.peers.remove(&conn);
                        FollowerEvent::Left(conn)
                    }
                    Action::Acknowledged(conn, proxy, mark, took) => {
                        FollowerEvent::Acknowledged(conn, proxy, mark, took)
                    }
                };
                (event, state.events.clone())
            };
            // The receiver is gone only when the whole process stops.
            let _ = events.send(event).await;
        }
    }

    /// Ticks the publisher forever.
    async fn run_ticks(self) {
        loop {
            let interval = {
                let state = self.0.borrow();
                let limits = state.publisher.limits();
                let shorter = limits.heartbeat_interval.0.min(limits.silence_timeout.0);
                to_duration(Time(shorter / TICKS_PER_TIMEOUT)).clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL)
            };
            tokio::time::sleep(interval).await;
            let actions = {
                let mut state = self.0.borrow_mut();
                let now = (state.clock)();
                state.publisher.tick(now)
            };
            self.perform(actions).await;
        }
    }
}

impl ServerState {
    fn wake(&mut self, stream: StreamId) {
        if let Some(waker) = self.wakers.get_mut(&stream).and_then(Option::take) {
            waker.wake();
        }
    }
}

/// The body of one stream. Each frame is the publisher's next output, requested only once there is room for it.
pub struct FollowStream {
    server: Server,
    id: StreamId,
    /// Whether the last frame has been returned.
    finished: bool,
}

impl Body for FollowStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.finished {
            return Poll::Ready(None);
        }
        let output = {
            let mut state = self.server.0.borrow_mut();
            let now = (state.clock)();
            let output = state.publisher.next_output(now, self.id);
            if output == StreamOutput::Wait {
                state.wakers.insert(self.id, Some(context.waker().clone()));
            }
            output
        };
        match output {
            StreamOutput::Send(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            StreamOutput::Wait => Poll::Pending,
            StreamOutput::Last(bytes) => {
                self.finished = true;
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            StreamOutput::End => Poll::Ready(None),
        }
    }
}

impl Drop for FollowStream {
    fn drop(&mut self) {
        let mut state = self.server.0.borrow_mut();
        let now = (state.clock)();
        state.wakers.remove(&self.id);
        state.publisher.detach(now, self.id);
    }
}

type HttpResponse = Response<Either<Full<Bytes>, FollowStream>>;

/// Serves the requests of one connection.
#[derive(Clone)]
struct ConnectionService {
    server: Server,
    peer: SocketAddr,
    /// Whether the connection has made a valid request.
    identified: Rc<Cell<bool>>,
}

impl Service<Request<Incoming>> for ConnectionService {
    type Response = HttpResponse;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let service = self.clone();
        Box::pin(async move {
            let response = match (request.uri().path(), request.method()) {
                ("/v1/follow", &Method::GET) => {
                    service.follow(request.uri().query().unwrap_or_default()).await
                }
                ("/v1/alive", &Method::POST) => service.alive(request).await,
                ("/v1/state", &Method::GET) => Ok(service.state_response()),
                ("/v1/follow" | "/v1/state", _) => Err(method_not_allowed("GET")),
                ("/v1/alive", _) => Err(method_not_allowed("POST")),
                _ => Err(error_response(
                    StatusCode::NOT_FOUND,
                    "nothing here; this speaks /v1/follow, /v1/alive, /v1/state",
                    None,
                )),
            };
            Ok(response.unwrap_or_else(|refusal| refusal))
        })
    }
}

/// Returns a response with one line of JSON.
fn json_response(status: StatusCode, body: &serde_json::Value) -> HttpResponse {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(body.to_string() + "\n"))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns a response that names the error, and the field of the request that it concerns.
fn error_response(status: StatusCode, error: &str, key: Option<&str>) -> HttpResponse {
    json_response(status, &serde_json::json!({"error": error, "key": key}))
}

fn method_not_allowed(allowed: &'static str) -> HttpResponse {
    let mut response = error_response(StatusCode::METHOD_NOT_ALLOWED, &format!("{allowed} is meant"), None);
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

/// Why a request to follow is refused.
enum FollowRefusal {
    /// A field of the query is wrong.
    Field(FieldError),
    /// The maximum number of streams is open.
    Full,
}

impl FollowRefusal {
    fn into_response(self) -> HttpResponse {
        match self {
            FollowRefusal::Field(FieldError { key, problem }) => {
                error_response(StatusCode::BAD_REQUEST, &format!("{key} {problem}"), Some(key))
            }
            FollowRefusal::Full => {
                let mut response =
                    error_response(StatusCode::SERVICE_UNAVAILABLE, "all places are taken", None);
                response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
                response
            }
        }
    }
}

/// The body of a follower's report that it is alive.
#[derive(Deserialize)]
struct AliveBody {
    session: String,
    #[serde(default)]
    marks: Vec<u16>,
}

impl ConnectionService {
    /// Opens a stream.
    async fn follow(&self, query: &str) -> Result<HttpResponse, HttpResponse> {
        let (stream, actions) = self.attach(query).map_err(FollowRefusal::into_response)?;
        // Created before anything is awaited: if the connection is dropped, so is the body, which detaches the stream.
        let body = FollowStream { server: self.server.clone(), id: stream, finished: false };
        self.server.perform(actions).await;
        let mut response = Response::new(Either::Right(body));
        let media_type = self.server.0.borrow().publisher.codec().media_type();
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
        response.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        Ok(response)
    }

    /// Attaches a stream to the publisher, if the request is valid and there is room for it.
    fn attach(&self, query: &str) -> Result<(StreamId, Vec<Action>), FollowRefusal> {
        let mut state = self.server.0.borrow_mut();
        let request = parse_follow_request(query, &state.settings).map_err(FollowRefusal::Field)?;
        if state.wakers.len() >= state.settings.max_streams {
            return Err(FollowRefusal::Full);
        }
        self.identified.set(true);
        state.last_stream += 1;
        let stream = StreamId(state.last_stream);
        let conn = (state.next_conn_id)();
        let now = (state.clock)();
        state.wakers.insert(stream, None);
        state.peers.insert(conn, self.peer);
        let actions = state.publisher.attach(now, stream, conn, request);
        if !state.publisher.is_follower(conn) {
            // The proxy was a follower before and keeps its earlier connection number.
            state.peers.remove(&conn);
        } else if state.settings.single_feed {
            state.publisher.bind_to_single_feed(conn);
        }
        Ok((stream, actions))
    }

    /// Records a follower's report that it is alive.
    async fn alive(&self, request: Request<Incoming>) -> Result<HttpResponse, HttpResponse> {
        let bad_request = |error: &str| error_response(StatusCode::BAD_REQUEST, error, None);
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|_| bad_request("a body that can't be read, or is too long"))?.to_bytes();
        let report: AliveBody =
            serde_json::from_slice(&body).map_err(|error| bad_request(&error.to_string()))?;
        let session = u64::from_str_radix(&report.session, 16).map_err(|_| {
            error_response(StatusCode::BAD_REQUEST, "session is no hexadecimal number", Some("session"))
        })?;
        let actions = {
            let mut state = self.server.0.borrow_mut();
            let now = (state.clock)();
            state.publisher.record_alive(now, &AliveReport { session, marks: report.marks })
        };
        let gone = || error_response(StatusCode::GONE, "no such session: follow again", Some("session"));
        let actions = actions.ok_or_else(gone)?;
        self.identified.set(true);
        self.server.perform(actions).await;
        let mut response = Response::new(Either::Left(Full::default()));
        *response.status_mut() = StatusCode::NO_CONTENT;
        Ok(response)
    }

    /// Returns the publisher's state.
    fn state_response(&self) -> HttpResponse {
        let state = self.server.0.borrow();
        let FollowerCounts { followers, without_stream, feeds } = state.publisher.follower_counts();
        self.identified.set(true);
        json_response(
            StatusCode::OK,
            &serde_json::json!({
                "v": VERSION,
                "epoch": state.publisher.epoch().to_string(),
                "followers": followers,
                "without_stream": without_stream,
                "feeds": feeds,
                "counters": state.publisher.counters.to_string(),
            }),
        )
    }
}

/// Opens a socket to publish at an address.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SOCKET_SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// A connection that had not made a valid request when it was last examined.
struct UnidentifiedConnection {
    task: AbortHandle,
    /// Set by the connection's service with its first valid request.
    identified: Rc<Cell<bool>>,
    opened_at: Instant,
}

/// Accepts connections forever. If there are too many, those that never made a valid request are closed, the oldest
/// first.
pub async fn serve(server: Server, listener: TcpListener) {
    spawn_local(server.clone().run_ticks());
    let mut unidentified: VecDeque<UnidentifiedConnection> = VecDeque::new();
    let open_count = Rc::new(Cell::new(0usize));
    loop {
        let Ok((socket, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Each stream has a second connection for the follower's reports.
        let max_connections =
            server.0.borrow().settings.max_streams.saturating_mul(2).saturating_add(MAX_UNIDENTIFIED);
        unidentified.retain(|connection| !connection.identified.get() && !connection.task.is_finished());
        // A connection whose first request may be on its way is kept, however many come at once.
        let oldest_may_be_closed = |unidentified: &VecDeque<UnidentifiedConnection>| {
            unidentified.front().is_some_and(|oldest| oldest.opened_at.elapsed() >= MIN_UNIDENTIFIED_AGE)
        };
        while (unidentified.len() >= MAX_UNIDENTIFIED && oldest_may_be_closed(&unidentified))
            || open_count.get() >= max_connections
        {
            let Some(oldest) = unidentified.pop_front() else { break };
            oldest.task.abort();
            server.0.borrow_mut().publisher.counters.add("strangers ended for room", 1);
            tokio::task::yield_now().await;
        }
        if open_count.get() >= max_connections {
            // All connections belong to followers, so that another one would not be served either.
            server.0.borrow_mut().publisher.counters.add("connections refused", 1);
            continue;
        }
        let identified = Rc::new(Cell::new(false));
        let service = ConnectionService { server: server.clone(), peer, identified: identified.clone() };
        let task = spawn_local(ConnectionTask {
            connection: serve_connection(service, socket),
            _count: ConnectionCount::new(&open_count),
        });
        let task = task.abort_handle();
        unidentified.push_back(UnidentifiedConnection { task, identified, opened_at: Instant::now() });
    }
}

/// Counts an open connection for as long as it lives.
struct ConnectionCount(Rc<Cell<usize>>);

impl ConnectionCount {
    fn new(open_count: &Rc<Cell<usize>>) -> ConnectionCount {
        open_count.set(open_count.get() + 1);
        ConnectionCount(open_count.clone())
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

type HttpConnection = http1::Connection<TokioIo<TcpStream>, TowerToHyperService<ConnectionService>>;

fn serve_connection(service: ConnectionService, socket: TcpStream) -> HttpConnection {
    // A broken connection is noticed when it is read.
    let _ = socket.set_nodelay(true);
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_READ_TIMEOUT)
        .max_buf_size(CONNECTION_BUFFER_BYTES)
        .serve_connection(TokioIo::new(socket), TowerToHyperService::new(service))
}

/// Serves one connection until its end. A future of its own: an async block would hold the awaited connection twice,
/// for each of thousands of connections.
struct ConnectionTask {
    connection: HttpConnection,
    _count: ConnectionCount,
}

impl Future for ConnectionTask {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        // An error of a connection that breaks off concerns nobody.
        Pin::new(&mut self.connection).poll(context).map(drop)
    }
}

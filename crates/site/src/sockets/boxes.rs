//! Emulated servers: the server model behind an HTTP listener.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, JoinSet};

use super::list;
use super::stage::Harness;
use super::SocketError;
use crate::model::app_box::{AppBox, FinishedJob, Job, JobId, ServerResponse};
use crate::model::referee::AttemptNo;
use crate::model::time::{micros, Micros, SECOND};

/// How long a server stays down after it crashed from overload.
const OVERLOAD_DOWNTIME: Duration = Duration::from_secs(5);
/// Listen backlog: connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1024;
/// Limit on the size of a request body.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// First job id of requests sent directly to a server; ids below it are the referee's attempt numbers.
const FIRST_DIRECT_JOB_ID: u64 = 1 << 40;

/// Opens the listeners of all servers and starts their event loops.
pub(super) async fn open_all(harness: &Rc<Harness>) -> Result<(), SocketError> {
    for box_index in 0..harness.box_names.len() {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| SocketError::Io("box", e))?;
        let at = listener.local_addr().map_err(|e| SocketError::Io("box", e))?;
        harness.state.borrow_mut().box_addresses[box_index] = Some(at);
        listen(harness, box_index, listener);
        spawn_local(run_events(harness.clone(), box_index));
    }
    Ok(())
}

/// Accepts connections for one incarnation of a server.
fn listen(harness: &Rc<Harness>, box_index: usize, listener: TcpListener) {
    let shared = harness.clone();
    let task = spawn_local(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let kind = shared.state.borrow().box_kind[box_index];
            let max_connections = shared.site.boxes[kind].connections;
            let state = &mut *shared.state.borrow_mut();
            // Draw the random number in any case, so that a share of 0 does not shift later draws.
            let breaks = state.active.breaks_before();
            if state.fault_random.chance(breaks) || state.open_connections[box_index] >= max_connections {
                set_reset_on_close(&stream);
                continue;
            }
            state.open_connections[box_index] += 1;
            connections.spawn_local(serve_connection(shared.clone(), box_index, stream));
            while connections.try_join_next().is_some() {}
        }
    });
    harness.state.borrow_mut().listener_tasks[box_index] = Some(task.abort_handle());
}

/// Makes closing this connection send a reset.
fn set_reset_on_close(stream: &TcpStream) {
    // If the option cannot be set, the connection closes in the ordinary way, which breaks it as well.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Counts a server's connection as open until dropped: harness, server index, incarnation of the server.
struct OpenConnection(Rc<Harness>, usize, u32);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let state = &mut *self.0.state.borrow_mut();
        if state.boxes[self.1].incarnation() == self.2 {
            state.open_connections[self.1] = state.open_connections[self.1].saturating_sub(1);
        }
    }
}

async fn serve_connection(harness: Rc<Harness>, box_index: usize, stream: TcpStream) {
    let incarnation = harness.state.borrow().boxes[box_index].incarnation();
    let _open_connection = OpenConnection(harness.clone(), box_index, incarnation);
    // Nagle's algorithm would add delays that look like the server's.
    let _ = stream.set_nodelay(true);
    let first_request = std::cell::Cell::new(true);
    let service = service_fn(|request| {
        let (harness, first_request) = (harness.clone(), first_request.replace(false));
        async move { handle_request(harness, box_index, request, first_request).await }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.auto_date_header(false);
    // An error means that the connection was broken by this server or by the node.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

/// Error that makes hyper close the connection without a response.
#[derive(Debug)]
struct ConnectionAborted;

impl std::fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken off")
    }
}

impl std::error::Error for ConnectionAborted {}

fn plain_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Where a request comes from: a try sent through a node, or a request sent directly by a client; with its
/// number.
enum RequestSource {
    Try(usize),
    Direct(usize),
}

fn request_source(harness: &Harness, request: &Request<Incoming>) -> Option<RequestSource> {
    let id = request.headers().get("x-txn")?.to_str().ok()?;
    let state = harness.state.borrow();
    match id.strip_prefix('s') {
        Some(number) => {
            let number =
                usize::from_str_radix(number, 16).ok().filter(|n| *n < state.direct_requests.len())?;
            Some(RequestSource::Direct(number))
        }
        None => {
            let number = usize::from_str_radix(id, 16).ok().filter(|n| *n < state.tries.len())?;
            Some(RequestSource::Try(number))
        }
    }
}

/// Guards an attempt that a server holds: cancels its job if dropped before the response, for example because
/// the connection closed, and records the end of the attempt at the referee.
struct AttemptGuard {
    harness: Rc<Harness>,
    box_index: usize,
    job: JobId,
    attempt: Option<AttemptNo>,
    finished: bool,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.harness.now();
        if !self.finished {
            let mut done = Vec::new();
            {
                let state = &mut *self.harness.state.borrow_mut();
                state.response_senders.remove(&self.job);
                state.recorded_attempts.remove(&self.job);
                state.boxes[self.box_index].cancel(now, self.job, &mut done);
            }
            complete_jobs(&self.harness, done);
            self.harness.box_wakeups[self.box_index].notify_one();
        }
        if let Some(attempt) = self.attempt {
            self.harness.state.borrow_mut().referee.attempt_ended(now, attempt);
        }
    }
}

async fn handle_request(
    harness: Rc<Harness>,
    box_index: usize,
    request: Request<Incoming>,
    first_request: bool,
) -> Result<Response<Full<Bytes>>, ConnectionAborted> {
    if request.uri().path() == "/health" {
        return Ok(plain_response(StatusCode::OK, Bytes::new()));
    }
    let Some(source) = request_source(&harness, &request) else {
        return Ok(plain_response(StatusCode::NOT_FOUND, Bytes::new()));
    };
    Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await.map_err(|_| ConnectionAborted)?;
    let (number, node, arrival) = {
        let state = harness.state.borrow();
        match source {
            RequestSource::Try(number) => {
                let request = state.tries[number].request;
                (request, Some(state.tries[number].node), state.requests[request])
            }
            RequestSource::Direct(number) => (number, None, state.direct_requests[number]),
        }
    };
    let received_at = harness.now();
    let attempt = match source {
        RequestSource::Try(number) => {
            let referee = &mut harness.state.borrow_mut().referee;
            let attempt = referee.attempt_started(received_at, number, box_index);
            referee.attempt_written(received_at, attempt);
            Some(attempt)
        }
        RequestSource::Direct(_) => None,
    };
    let id = JobId(attempt.map_or(FIRST_DIRECT_JOB_ID + number as u64, |a| a as u64));
    // The attempt counts as open until its connection closes. There is no job to cancel yet, hence `finished:
    // true`.
    let mut guard = AttemptGuard { harness: harness.clone(), box_index, job: id, attempt, finished: true };
    if node.is_some_and(|node_index| harness.is_unreachable(node_index, box_index)) {
        return std::future::pending().await;
    }
    let delay = node.map_or(0, |node_index| zone_delay(&harness, node_index, box_index));
    if delay > 0 {
        tokio::time::sleep(Duration::from_micros(delay)).await;
    }
    let now = harness.now();
    let (job, breaks) = {
        let state = &mut *harness.state.borrow_mut();
        let kind = &harness.site.boxes[state.box_kind[box_index]];
        let work = arrival.work + if first_request { AppBox::handshake_work(kind) } else { 0.0 };
        let share = state.active.breaks_after();
        let breaks = state.fault_random.chance(share);
        if let Some(attempt) = attempt {
            let warmth = state.boxes[box_index].warmth(now);
            let capacity = state.boxes[box_index].capacity() * warmth;
            if state.referee.attempt_reached_box(now, attempt, work, capacity, warmth >= 1.0) {
                state.overload_crashes += 1;
                spawn_local(crash_from_overload(harness.clone(), box_index));
                return Err(ConnectionAborted);
            }
        }
        let (key, class, deadline) = (arrival.key, arrival.class, arrival.deadline);
        (Job { id, key, class, work, deadline }, breaks)
    };
    let (response_sender, response_receiver) = oneshot::channel();
    guard.finished = false;
    let mut done = Vec::new();
    {
        let state = &mut *harness.state.borrow_mut();
        state.response_senders.insert(job.id, response_sender);
        if let (RequestSource::Try(number), true) = (&source, harness.ledger.is_some()) {
            state.recorded_attempts.insert(job.id, (*number, box_index));
        }
        state.boxes[box_index].offer(now, job, &mut done);
    }
    complete_jobs(&harness, done);
    harness.box_wakeups[box_index].notify_one();
    if breaks {
        // The server goes on with the request, but its response is never delivered.
        guard.finished = true;
        return Err(ConnectionAborted);
    }
    let Ok((word, work)) = response_receiver.await else { return Err(ConnectionAborted) };
    guard.finished = true;
    let lost = {
        let state = &mut *harness.state.borrow_mut();
        let share = state.active.lost();
        let lost = state.fault_random.chance(share);
        let useful = match source {
            RequestSource::Try(number) if word == ServerResponse::Served && !lost => {
                !std::mem::replace(&mut state.tries[number].served, true)
            }
            _ => false,
        };
        if attempt.is_some() {
            state.referee.add_work(work, useful);
        }
        lost
    };
    if lost || node.is_some_and(|node_index| harness.is_unreachable(node_index, box_index)) {
        return std::future::pending().await;
    }
    if delay > 0 {
        tokio::time::sleep(Duration::from_micros(delay)).await;
    }
    Ok(match word {
        ServerResponse::Served => plain_response(StatusCode::OK, Bytes::from(format!("{number:x}"))),
        ServerResponse::Error => plain_response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        ServerResponse::Rejected => {
            let mut rejected = plain_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            rejected.headers_mut().insert("x-turned-away", hyper::header::HeaderValue::from_static("1"));
            rejected
        }
    })
}

/// The emulated delay between zones; within a zone, loopback's own delay is enough.
fn zone_delay(harness: &Harness, node_index: usize, box_index: usize) -> Micros {
    if harness.node_zone(node_index) == harness.box_zone(box_index) {
        0
    } else {
        micros(harness.site.network.cross_zone_ms)
    }
}

/// Event loop of a server: advances its model when the next event is due or when it is woken.
async fn run_events(harness: Rc<Harness>, box_index: usize) {
    loop {
        let next = harness.state.borrow().boxes[box_index].next(harness.now());
        let at = next.unwrap_or(harness.now() + 3600 * SECOND);
        tokio::select! {
            () = harness.sleep_until(at) => {}
            () = harness.box_wakeups[box_index].notified() => {}
        }
        let mut done = Vec::new();
        let now = harness.now();
        harness.state.borrow_mut().boxes[box_index].advance(now, &mut done);
        complete_jobs(&harness, done);
    }
}

/// Delivers the results of finished jobs to the waiting handlers and records them at the referee.
fn complete_jobs(harness: &Harness, done: Vec<FinishedJob>) {
    let now = harness.now();
    for job in done {
        let state = &mut *harness.state.borrow_mut();
        let recorded = state.recorded_attempts.remove(&job.id).filter(|_| job.ran);
        if let Some(ran) = recorded.and_then(|recorded| harness.execution_record(state, recorded)) {
            state.ran.push(ran);
        }
        let delivered = state
            .response_senders
            .remove(&job.id)
            .is_some_and(|to| to.send((job.response, job.work)).is_ok());
        if job.id.0 < FIRST_DIRECT_JOB_ID {
            let attempt = job.id.0 as AttemptNo;
            match job.response {
                ServerResponse::Rejected => state.referee.attempt_rejected(attempt),
                _ if job.ran => state.referee.attempt_ran(now, attempt),
                _ => {}
            }
            if !delivered {
                state.referee.add_work(job.work, false);
            }
        }
    }
}

/// Applies the active faults to a server.
pub(super) fn set_faults(harness: &Rc<Harness>, box_index: usize) {
    let now = harness.now();
    let mut done = Vec::new();
    {
        let state = &mut *harness.state.borrow_mut();
        let faults = state.active.of_box(box_index);
        state.boxes[box_index].set_faults(now, faults, &mut done);
    }
    complete_jobs(harness, done);
    harness.box_wakeups[box_index].notify_one();
}

/// Stops a server process: its connections break and new ones are refused.
pub(super) fn stop(harness: &Rc<Harness>, box_index: usize) {
    let now = harness.now();
    let task = {
        let state = &mut *harness.state.borrow_mut();
        if !state.boxes[box_index].is_running() {
            return;
        }
        state.boxes[box_index].stop(now);
        state.open_connections[box_index] = 0;
        state.listener_tasks[box_index].take()
    };
    if let Some(task) = task {
        task.abort();
    }
    list::update_later(harness, box_index);
}

async fn crash_from_overload(harness: Rc<Harness>, box_index: usize) {
    harness.state.borrow_mut().crashed[box_index] = true;
    stop(&harness, box_index);
    tokio::time::sleep(OVERLOAD_DOWNTIME).await;
    harness.state.borrow_mut().crashed[box_index] = false;
    start(&harness, box_index);
}

/// Restarts a server process, cold, at the same address.
pub(super) fn start(harness: &Rc<Harness>, box_index: usize) {
    let harness = harness.clone();
    spawn_local(async move {
        let at = {
            let state = harness.state.borrow();
            let down = state.active.contains(crate::model::faults::Effect::Down(box_index));
            if state.boxes[box_index].is_running() || state.crashed[box_index] || down {
                return;
            }
            state.box_addresses[box_index]
        };
        let Some(at) = at else { return };
        let listener = loop {
            let bound = TcpSocket::new_v4().and_then(|socket| {
                socket.set_reuseaddr(true)?;
                socket.bind(at)?;
                socket.listen(BACKLOG)
            });
            match bound {
                Ok(listener) => break listener,
                // The old listener may not be closed yet.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        };
        let now = harness.now();
        {
            let state = &mut *harness.state.borrow_mut();
            state.boxes[box_index].start(now);
            state.referee.box_started(now, box_index);
        }
        listen(&harness, box_index, listener);
        harness.box_wakeups[box_index].notify_one();
        list::update_later(&harness, box_index);
    });
}

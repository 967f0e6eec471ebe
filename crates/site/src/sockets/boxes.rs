//! Stand-in app boxes: the model behind a listener.

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
use super::stage::Stage;
use super::SocketError;
use crate::model::app_box::{AppBox, FinishedJob, Job, JobId, ServerResponse};
use crate::model::referee::AttemptNo;
use crate::model::time::{micros, Micros, SECOND};

/// How long a box that fell over stays down.
const FALLEN: Duration = Duration::from_secs(5);
/// Connections that the kernel may hold until they are accepted.
const BACKLOG: u32 = 1024;
/// The largest body that is taken.
const BODY_MOST: usize = 64 * 1024;
/// Attempts that go past the nodes are numbered from here.
const STRAIGHT: u64 = 1 << 40;

/// Opens all boxes.
pub(super) async fn begin(stage: &Rc<Stage>) -> Result<(), SocketError> {
    for b in 0..stage.box_names.len() {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| SocketError::Io("box", e))?;
        let at = listener.local_addr().map_err(|e| SocketError::Io("box", e))?;
        stage.state.borrow_mut().box_at[b] = Some(at);
        listen(stage, b, listener);
        spawn_local(run(stage.clone(), b));
    }
    Ok(())
}

/// Takes connections for one life of a box.
fn listen(stage: &Rc<Stage>, b: usize, listener: TcpListener) {
    let own = stage.clone();
    let task = spawn_local(async move {
        let mut conns = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let kind = own.state.borrow().box_kind[b];
            let most = own.site.boxes[kind].connections;
            let state = &mut *own.state.borrow_mut();
            // The roll is drawn in any case, so that a share of 0 moves no other draw.
            let breaks = state.active.breaks_before();
            if state.rolls.chance(breaks) || state.box_conns[b] >= most {
                reset(&stream);
                continue;
            }
            state.box_conns[b] += 1;
            conns.spawn_local(converse(own.clone(), b, stream));
            while conns.try_join_next().is_some() {}
        }
    });
    stage.state.borrow_mut().box_task[b] = Some(task.abort_handle());
}

/// Makes the end of a connection a reset.
fn reset(stream: &TcpStream) {
    // Without it the connection ends in order, which breaks it just as well.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// One of a box's connections, for as long as it is open.
struct Conn(Rc<Stage>, usize, u32);

impl Drop for Conn {
    fn drop(&mut self) {
        let state = &mut *self.0.state.borrow_mut();
        if state.boxes[self.1].incarnation() == self.2 {
            state.box_conns[self.1] = state.box_conns[self.1].saturating_sub(1);
        }
    }
}

async fn converse(stage: Rc<Stage>, b: usize, stream: TcpStream) {
    let life = stage.state.borrow().boxes[b].incarnation();
    let _conn = Conn(stage.clone(), b, life);
    // Nagle's delay would pass for the box's.
    let _ = stream.set_nodelay(true);
    let fresh = std::cell::Cell::new(true);
    let service = service_fn(|request| {
        let (stage, fresh) = (stage.clone(), fresh.replace(false));
        async move { answer(stage, b, request, fresh).await }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.auto_date_header(false);
    // An error is a connection that was broken, by us or by the node.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

/// Why a connection is broken off in place of an answer.
#[derive(Debug)]
struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken off")
    }
}

impl std::error::Error for Broken {}

fn plain(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}

/// Which request this is: a try by way of a node, or a request that came straight.
enum Which {
    Try(usize),
    Straight(usize),
}

fn which(stage: &Stage, request: &Request<Incoming>) -> Option<Which> {
    let id = request.headers().get("x-txn")?.to_str().ok()?;
    let state = stage.state.borrow();
    match id.strip_prefix('s') {
        Some(number) => {
            let number =
                usize::from_str_radix(number, 16).ok().filter(|n| *n < state.straight_requests.len())?;
            Some(Which::Straight(number))
        }
        None => {
            let number = usize::from_str_radix(id, 16).ok().filter(|n| *n < state.tries.len())?;
            Some(Which::Try(number))
        }
    }
}

/// An attempt that its box holds; called off when it is dropped before its answer.
struct Held {
    stage: Rc<Stage>,
    b: usize,
    job: JobId,
    attempt: Option<AttemptNo>,
    over: bool,
}

impl Drop for Held {
    fn drop(&mut self) {
        let now = self.stage.now();
        if !self.over {
            let mut done = Vec::new();
            {
                let state = &mut *self.stage.state.borrow_mut();
                state.waiting.remove(&self.job);
                state.noted.remove(&self.job);
                state.boxes[self.b].cancel(now, self.job, &mut done);
            }
            settle(&self.stage, done);
            self.stage.box_wakes[self.b].notify_one();
        }
        if let Some(attempt) = self.attempt {
            self.stage.state.borrow_mut().referee.attempt_ended(now, attempt);
        }
    }
}

async fn answer(
    stage: Rc<Stage>,
    b: usize,
    request: Request<Incoming>,
    fresh: bool,
) -> Result<Response<Full<Bytes>>, Broken> {
    if request.uri().path() == "/health" {
        return Ok(plain(StatusCode::OK, Bytes::new()));
    }
    let Some(which) = which(&stage, &request) else {
        return Ok(plain(StatusCode::NOT_FOUND, Bytes::new()));
    };
    Limited::new(request.into_body(), BODY_MOST).collect().await.map_err(|_| Broken)?;
    let (number, node, arrival) = {
        let state = stage.state.borrow();
        match which {
            Which::Try(number) => {
                let request = state.tries[number].request;
                (request, Some(state.tries[number].node), state.requests[request])
            }
            Which::Straight(number) => (number, None, state.straight_requests[number]),
        }
    };
    let begun = stage.now();
    let attempt = match which {
        Which::Try(number) => {
            let referee = &mut stage.state.borrow_mut().referee;
            let attempt = referee.attempt_started(begun, number, b);
            referee.attempt_written(begun, attempt);
            Some(attempt)
        }
        Which::Straight(_) => None,
    };
    let id = JobId(attempt.map_or(STRAIGHT + number as u64, |a| a as u64));
    // Out for as long as its connection stands.
    let mut held = Held { stage: stage.clone(), b, job: id, attempt, over: true };
    if node.is_some_and(|n| stage.is_dead(n, b)) {
        return std::future::pending().await;
    }
    let way = node.map_or(0, |n| cross(&stage, n, b));
    if way > 0 {
        tokio::time::sleep(Duration::from_micros(way)).await;
    }
    let now = stage.now();
    let (job, breaks) = {
        let state = &mut *stage.state.borrow_mut();
        let kind = &stage.site.boxes[state.box_kind[b]];
        let work = arrival.work + if fresh { AppBox::handshake_work(kind) } else { 0.0 };
        let share = state.active.breaks_after();
        let breaks = state.rolls.chance(share);
        if let Some(attempt) = attempt {
            let warmth = state.boxes[b].warmth(now);
            let capacity = state.boxes[b].capacity() * warmth;
            if state.referee.attempt_reached_box(now, attempt, work, capacity, warmth >= 1.0) {
                state.falls += 1;
                spawn_local(fall(stage.clone(), b));
                return Err(Broken);
            }
        }
        let (key, class, deadline) = (arrival.key, arrival.class, arrival.deadline);
        (Job { id, key, class, work, deadline }, breaks)
    };
    let (answered, answer) = oneshot::channel();
    held.over = false;
    let mut done = Vec::new();
    {
        let state = &mut *stage.state.borrow_mut();
        state.waiting.insert(job.id, answered);
        if let (Which::Try(number), true) = (&which, stage.ledger.is_some()) {
            state.noted.insert(job.id, (*number, b));
        }
        state.boxes[b].offer(now, job, &mut done);
    }
    settle(&stage, done);
    stage.box_wakes[b].notify_one();
    if breaks {
        // The request is here and runs; nobody will hear of it.
        held.over = true;
        return Err(Broken);
    }
    let Ok((word, work)) = answer.await else { return Err(Broken) };
    held.over = true;
    let lost = {
        let state = &mut *stage.state.borrow_mut();
        let share = state.active.lost();
        let lost = state.rolls.chance(share);
        let useful = match which {
            Which::Try(number) if word == ServerResponse::Served && !lost => {
                !std::mem::replace(&mut state.tries[number].served, true)
            }
            _ => false,
        };
        if attempt.is_some() {
            state.referee.add_work(work, useful);
        }
        lost
    };
    if lost || node.is_some_and(|n| stage.is_dead(n, b)) {
        return std::future::pending().await;
    }
    if way > 0 {
        tokio::time::sleep(Duration::from_micros(way)).await;
    }
    Ok(match word {
        ServerResponse::Served => plain(StatusCode::OK, Bytes::from(format!("{number:x}"))),
        ServerResponse::Error => plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        ServerResponse::Rejected => {
            let mut away = plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            away.headers_mut().insert("x-turned-away", hyper::header::HeaderValue::from_static("1"));
            away
        }
    })
}

/// The delay between zones that loopback does not have; within one it has enough of its own.
fn cross(stage: &Stage, n: usize, b: usize) -> Micros {
    if stage.node_zone(n) == stage.box_zone(b) {
        0
    } else {
        micros(stage.site.network.cross_zone_ms)
    }
}

/// Wakes a box for its own events.
async fn run(stage: Rc<Stage>, b: usize) {
    loop {
        let next = stage.state.borrow().boxes[b].next(stage.now());
        let at = next.unwrap_or(stage.now() + 3600 * SECOND);
        tokio::select! {
            () = stage.until(at) => {}
            () = stage.box_wakes[b].notified() => {}
        }
        let mut done = Vec::new();
        let now = stage.now();
        stage.state.borrow_mut().boxes[b].advance(now, &mut done);
        settle(&stage, done);
    }
}

/// Hands on what a box is done with.
fn settle(stage: &Stage, done: Vec<FinishedJob>) {
    let now = stage.now();
    for f in done {
        let state = &mut *stage.state.borrow_mut();
        let noted = state.noted.remove(&f.id).filter(|_| f.ran);
        if let Some(ran) = noted.and_then(|noted| stage.record_of(state, noted)) {
            state.ran.push(ran);
        }
        let heard = state.waiting.remove(&f.id).is_some_and(|to| to.send((f.response, f.work)).is_ok());
        if f.id.0 < STRAIGHT {
            let attempt = f.id.0 as AttemptNo;
            match f.response {
                ServerResponse::Rejected => state.referee.attempt_rejected(attempt),
                _ if f.ran => state.referee.attempt_ran(now, attempt),
                _ => {}
            }
            if !heard {
                state.referee.add_work(f.work, false);
            }
        }
    }
}

/// What faults make of a box.
pub(super) fn set_faults(stage: &Rc<Stage>, b: usize) {
    let now = stage.now();
    let mut done = Vec::new();
    {
        let state = &mut *stage.state.borrow_mut();
        let faults = state.active.of_box(b);
        state.boxes[b].set_faults(now, faults, &mut done);
    }
    settle(stage, done);
    stage.box_wakes[b].notify_one();
}

/// A box's process ends: its connections break, and new ones are refused.
pub(super) fn stop(stage: &Rc<Stage>, b: usize) {
    let now = stage.now();
    let task = {
        let state = &mut *stage.state.borrow_mut();
        if !state.boxes[b].is_running() {
            return;
        }
        state.boxes[b].stop(now);
        state.box_conns[b] = 0;
        state.box_task[b].take()
    };
    if let Some(task) = task {
        task.abort();
    }
    list::tell_later(stage, b);
}

async fn fall(stage: Rc<Stage>, b: usize) {
    stage.state.borrow_mut().fallen[b] = true;
    stop(&stage, b);
    tokio::time::sleep(FALLEN).await;
    stage.state.borrow_mut().fallen[b] = false;
    start(&stage, b);
}

/// Its process starts again, cold, at the same address.
pub(super) fn start(stage: &Rc<Stage>, b: usize) {
    let stage = stage.clone();
    spawn_local(async move {
        let at = {
            let state = stage.state.borrow();
            let down = state.active.contains(crate::model::faults::Effect::Down(b));
            if state.boxes[b].is_running() || state.fallen[b] || down {
                return;
            }
            state.box_at[b]
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
                // The old listener is not quite gone yet.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        };
        let now = stage.now();
        {
            let state = &mut *stage.state.borrow_mut();
            state.boxes[b].start(now);
            state.referee.box_started(now, b);
        }
        listen(&stage, b, listener);
        stage.box_wakes[b].notify_one();
        list::tell_later(&stage, b);
    });
}

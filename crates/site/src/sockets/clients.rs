//! Open-loop clients: each request goes out when it is meant to, whatever became of those before it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::RETRY_AFTER;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout_at;

use super::stage::{Stage, TryState};
use crate::model::clients::{length, remaining_ms, Answer, Arrival, Arrivals, RetryPolicy};
use crate::model::faults::{schedule, Rates};
use crate::model::random::{Purpose, Stream};
use crate::model::referee::{Final, RequestNo, TryNo};
use crate::model::spec::Effect;
use crate::model::time::{micros, Micros};

/// The body of a request that has one.
const BODY: &[u8] = &[b'.'; 200];
/// The largest answer that is read.
const ANSWER_MOST: usize = 256 * 1024;

type Sender = SendRequest<Full<Bytes>>;

/// Kept connections, by where they lead and which life of it.
#[derive(Default)]
struct Pool(RefCell<HashMap<(SocketAddr, u32), Vec<Sender>>>);

impl Pool {
    fn take(&self, to: (SocketAddr, u32)) -> Option<Sender> {
        let mut pool = self.0.borrow_mut();
        let kept = pool.get_mut(&to)?;
        while let Some(sender) = kept.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn put(&self, to: (SocketAddr, u32), sender: Sender) {
        if !sender.is_closed() {
            self.0.borrow_mut().entry(to).or_default().push(sender);
        }
    }
}

/// All clients of a run.
struct Clients {
    stage: Rc<Stage>,
    pool: Pool,
    retries: RefCell<RetryPolicy>,
    front: RefCell<Stream>,
    next_box: std::cell::Cell<usize>,
}

/// Asks all that the site's clients ask; ends with the last request sent.
pub(super) async fn ask_all(stage: Rc<Stage>, direct: f64) {
    let site = &stage.site;
    let rates = Rates::of(&schedule(site, stage.seed));
    let mut arrivals = Arrivals::new(site, stage.seed);
    let mut straight = Stream::new(stage.seed ^ 0xD1, Purpose::Front);
    let clients = Rc::new(Clients {
        pool: Pool::default(),
        retries: RefCell::new(RetryPolicy::new(site, stage.seed)),
        front: RefCell::new(Stream::new(stage.seed, Purpose::Front)),
        next_box: std::cell::Cell::new(0),
        stage: stage.clone(),
    });
    loop {
        let arrival = arrivals.next(&rates);
        if arrival.at > length(site) {
            return;
        }
        if arrival.at > stage.now() {
            stage.until(arrival.at).await;
        }
        let late = stage.now().saturating_sub(arrival.at);
        record(&mut stage.state.borrow_mut().lateness, late);
        let clients = clients.clone();
        if straight.chance(direct) {
            spawn_local(async move { clients.ask_straight(arrival).await });
        } else {
            spawn_local(async move { clients.ask(arrival).await });
        }
    }
}

fn record(h: &mut hdrhistogram::Histogram<u64>, span: Micros) {
    // What is longer than the longest counts as that.
    h.saturating_record(span.max(1));
}

/// How one exchange went.
enum Heard {
    Answer(StatusCode, Option<Micros>, Bytes),
    /// No connection: it never reached anyone.
    Unsent,
    /// The connection ended after the request was out.
    Broken,
    /// The client's time was up.
    TimeUp,
}

impl Clients {
    /// The front deals a try to a node that it takes for alive, of the client's zone where there is one.
    fn deal(&self, zone: usize) -> Option<usize> {
        let state = self.stage.state.borrow();
        let dealt = |own: bool| {
            let of = |n: &usize| state.nodes[*n].dealt && (!own || self.stage.node_zone(*n) == zone);
            (0..state.nodes.len()).filter(of).collect::<Vec<_>>()
        };
        let own = dealt(true);
        let all = if own.is_empty() { dealt(false) } else { own };
        let roll = self.front.borrow_mut().number() as usize;
        (!all.is_empty()).then(|| all[roll % all.len()])
    }

    async fn ask(&self, arrival: Arrival) {
        let (stage, mut tries) = (&self.stage, 0);
        let request = {
            let state = &mut *stage.state.borrow_mut();
            // Numbered as the referee does, which sees all of them.
            state.requests.push(arrival);
            // In time counts from when the client meant to ask.
            state.referee.request_started(arrival.at, arrival.class, arrival.tenant, arrival.in_quota)
        };
        loop {
            tries += 1;
            let (answer, unsent) = self.one_try(request, &arrival).await;
            let now = stage.now();
            if answer == Answer::Served {
                record(&mut stage.state.borrow_mut().latency, now.saturating_sub(arrival.at));
                return;
            }
            let again = self.retries.borrow_mut().after(now, &arrival, tries, answer, unsent);
            let Some(at) = again else {
                let refused = matches!(answer, Answer::Refused(_)) || unsent;
                return stage.state.borrow_mut().referee.request_finished(request, refused);
            };
            stage.until(at).await;
        }
    }

    async fn one_try(&self, request: RequestNo, arrival: &Arrival) -> (Answer, bool) {
        let stage = &self.stage;
        let Some(n) = self.deal(arrival.zone) else { return (Answer::Unreachable, true) };
        let now = stage.now();
        let (number, at, life) = {
            let state = &mut *stage.state.borrow_mut();
            let number = state.referee.try_started(now, request, n, arrival.deadline);
            state.tries.push(TryState { request, node: n, served: false });
            state.nodes[n].cost.tries += 1;
            (number, state.nodes[n].at, state.nodes[n].life)
        };
        let Some(at) = at else {
            stage.state.borrow_mut().referee.client_left(now, number, false);
            return (Answer::Unreachable, true);
        };
        let txn = format!("{number:x}");
        let heard = self.exchange((at, life), arrival, request, &txn, Some(number)).await;
        let now = stage.now();
        let state = &mut *stage.state.borrow_mut();
        let (answer, of_client, unsent) = match heard {
            Heard::Answer(status, away, body) => match status {
                StatusCode::OK if body == format!("{request:x}").as_bytes() => {
                    (Some(Final::Served), Answer::Served, false)
                }
                // Served with what no box made for it: as good as lost.
                StatusCode::OK => {
                    state.referee.client_left(now, number, true);
                    return (Answer::Failed, false);
                }
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    (Some(Final::Refused), Answer::Refused(away.unwrap_or(0)), false)
                }
                _ => (Some(Final::Failed), Answer::Failed, false),
            },
            Heard::Unsent => (None, Answer::Unreachable, true),
            Heard::TimeUp => (None, Answer::Failed, false),
            Heard::Broken => {
                // A node that was killed has lost nothing that counts; the referee knows which.
                let killed = state.nodes[n].life != life;
                state.referee.client_left(now, number, !killed);
                return (Answer::Unreachable, false);
            }
        };
        match answer {
            Some(answer) => state.referee.answer_received(now, now, number, answer),
            None => state.referee.client_left(now, number, false),
        }
        (of_client, unsent)
    }

    /// Straight to the next box, as someone would without a node.
    async fn ask_straight(&self, arrival: Arrival) {
        let stage = &self.stage;
        let (number, at, life) = {
            let state = &mut *stage.state.borrow_mut();
            let count = state.boxes.len();
            let up = |b: &usize| state.boxes[*b].is_running();
            let from = self.next_box.get();
            let Some(b) = (0..count).map(|n| (from + n) % count).find(up) else { return };
            self.next_box.set(b + 1);
            state.straight_requests.push(arrival);
            (state.straight_requests.len() - 1, state.box_at[b], state.boxes[b].incarnation())
        };
        let Some(at) = at else { return };
        let heard = self.exchange((at, life), &arrival, number, &format!("s{number:x}"), None).await;
        if let Heard::Answer(StatusCode::OK, ..) = heard {
            record(&mut stage.state.borrow_mut().straight, stage.now().saturating_sub(arrival.at));
        }
    }

    /// One request on a connection that is kept or new. One that its node closed while it was idle is tried once more on a
    /// new one where nothing was written, or where it may run again: a signup in the hands of a node that was killed may
    /// have run.
    async fn exchange(
        &self,
        to: (SocketAddr, u32),
        arrival: &Arrival,
        number: RequestNo,
        txn: &str,
        of: Option<TryNo>,
    ) -> Heard {
        let end = self.stage.instant(arrival.deadline);
        let safe = self.stage.site.clients.classes[arrival.class].effect == Effect::Safe;
        let mut kept = self.pool.take(to);
        loop {
            let reused = kept.is_some();
            let sender = match kept.take() {
                Some(sender) => sender,
                None => match timeout_at(end, connect(to.0)).await {
                    Ok(Some(sender)) => sender,
                    Ok(None) => return Heard::Unsent,
                    Err(_) => return Heard::TimeUp,
                },
            };
            let mut sender = sender;
            let Some(request) = self.request(arrival, number, txn) else { return Heard::Unsent };
            if let Some(number) = of {
                let now = self.stage.now();
                let state = &mut *self.stage.state.borrow_mut();
                state.referee.try_accepted(now, number);
                if !state.nodes[state.tries[number].node].up {
                    state.referee.try_sent_to_killed_node(number);
                }
            }
            let talk = async {
                let answer = sender.send_request(request).await?;
                let (parts, body) = answer.into_parts();
                let body = Limited::new(body, ANSWER_MOST).collect().await;
                Ok::<_, hyper::Error>((parts, body.map(|b| b.to_bytes())))
            };
            match timeout_at(end, talk).await {
                Err(_) => return Heard::TimeUp,
                Ok(Ok((parts, Ok(body)))) => {
                    let away =
                        parts.headers.get(RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
                    self.pool.put(to, sender);
                    return Heard::Answer(parts.status, away.map(|s| micros(1000.0 * s)), body);
                }
                Ok(Ok((_, Err(_)))) => return Heard::Broken,
                Ok(Err(error)) if reused && (error.is_canceled() || safe) => {}
                Ok(Err(_)) => return Heard::Broken,
            }
        }
    }

    fn request(&self, arrival: &Arrival, number: RequestNo, txn: &str) -> Option<Request<Full<Bytes>>> {
        let w = &self.stage.site.clients;
        let class = &w.classes[arrival.class];
        let method = if class.effect == Effect::Safe { Method::GET } else { Method::POST };
        let body = if method == Method::POST { Bytes::from_static(BODY) } else { Bytes::new() };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/{}/{}", class.name, arrival.key))
            .header("host", "service.internal")
            .header("x-txn", txn)
            .header("x-remaining-ms", remaining_ms(arrival, self.stage.now()))
            .header("cookie", format!("user={:016x}", arrival.key));
        if let Some(tenant) = arrival.tenant.and_then(|t| w.tenants.get(t)) {
            request = request.header("x-org", &tenant.name);
        }
        if class.effect == Effect::Keyed {
            request = request.header("idempotency-key", format!("{number:032x}"));
        }
        // The site's names have been checked for what a header takes, or the request is none.
        request.body(Full::new(body)).ok()
    }
}

async fn connect(to: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(to).await.ok()?;
    // Nagle's delay would pass for the node's.
    let _ = stream.set_nodelay(true);
    let (sender, conn) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        // What breaks it is seen by the request.
        let _ = conn.await;
    });
    Some(sender)
}

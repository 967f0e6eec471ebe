//! Open-loop clients: each request is sent at its scheduled time, whatever the state of earlier requests.

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

use super::stage::{Harness, TryState};
use crate::model::clients::{length, remaining_ms, Answer, Arrival, Arrivals, RetryPolicy};
use crate::model::faults::{schedule, Rates};
use crate::model::random::{Purpose, Stream};
use crate::model::referee::{Final, RequestNo, TryNo};
use crate::model::spec::Effect;
use crate::model::time::{micros, Micros};

/// Body of a POST request.
const REQUEST_BODY: &[u8] = &[b'.'; 200];
/// Limit on the size of a response body.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

type Sender = SendRequest<Full<Bytes>>;

/// Idle connections, by address and incarnation of the peer.
#[derive(Default)]
struct Pool(RefCell<HashMap<(SocketAddr, u32), Vec<Sender>>>);

impl Pool {
    fn take(&self, to: (SocketAddr, u32)) -> Option<Sender> {
        let mut pool = self.0.borrow_mut();
        let idle = pool.get_mut(&to)?;
        while let Some(sender) = idle.pop() {
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
    harness: Rc<Harness>,
    pool: Pool,
    retries: RefCell<RetryPolicy>,
    front_random: RefCell<Stream>,
    next_box: std::cell::Cell<usize>,
}

/// Sends all requests of the site's clients; returns after the last one has been started.
pub(super) async fn send_all(harness: Rc<Harness>, direct: f64) {
    let site = &harness.site;
    let rates = Rates::of(&schedule(site, harness.seed));
    let mut arrivals = Arrivals::new(site, harness.seed);
    let mut direct_random = Stream::new(harness.seed ^ 0xD1, Purpose::Front);
    let clients = Rc::new(Clients {
        pool: Pool::default(),
        retries: RefCell::new(RetryPolicy::new(site, harness.seed)),
        front_random: RefCell::new(Stream::new(harness.seed, Purpose::Front)),
        next_box: std::cell::Cell::new(0),
        harness: harness.clone(),
    });
    loop {
        let arrival = arrivals.next(&rates);
        if arrival.at > length(site) {
            return;
        }
        if arrival.at > harness.now() {
            harness.sleep_until(arrival.at).await;
        }
        let lateness = harness.now().saturating_sub(arrival.at);
        record(&mut harness.state.borrow_mut().lateness, lateness);
        let clients = clients.clone();
        if direct_random.chance(direct) {
            spawn_local(async move { clients.run_direct_request(arrival).await });
        } else {
            spawn_local(async move { clients.run_request(arrival).await });
        }
    }
}

fn record(histogram: &mut hdrhistogram::Histogram<u64>, latency: Micros) {
    // Values above the histogram's bound are recorded as the bound.
    histogram.saturating_record(latency.max(1));
}

/// Result of one HTTP exchange.
enum ExchangeOutcome {
    Response(StatusCode, Option<Micros>, Bytes),
    /// The request was not sent: no connection could be opened or the request could not be built.
    Unsent,
    /// The connection ended after the request was sent.
    Broken,
    /// The client's deadline passed.
    TimedOut,
}

impl Clients {
    /// Chooses, like the front load balancer, a random node that is believed to be alive, in the client's
    /// zone if possible.
    fn pick_node(&self, zone: usize) -> Option<usize> {
        let state = self.harness.state.borrow();
        let candidates = |same_zone: bool| {
            let is_candidate = |node_index: &usize| {
                state.nodes[*node_index].in_rotation
                    && (!same_zone || self.harness.node_zone(*node_index) == zone)
            };
            (0..state.nodes.len()).filter(is_candidate).collect::<Vec<_>>()
        };
        let same_zone = candidates(true);
        let all = if same_zone.is_empty() { candidates(false) } else { same_zone };
        let roll = self.front_random.borrow_mut().number() as usize;
        (!all.is_empty()).then(|| all[roll % all.len()])
    }

    async fn run_request(&self, arrival: Arrival) {
        let (harness, mut tries) = (&self.harness, 0);
        let request = {
            let state = &mut *harness.state.borrow_mut();
            // The index equals the referee's request number, as every request is reported to it.
            state.requests.push(arrival);
            // The deadline counts from the intended send time.
            state.referee.request_started(arrival.at, arrival.class, arrival.tenant, arrival.in_quota)
        };
        loop {
            tries += 1;
            let (answer, unsent) = self.send_try(request, &arrival).await;
            let now = harness.now();
            if answer == Answer::Served {
                record(&mut harness.state.borrow_mut().latency, now.saturating_sub(arrival.at));
                return;
            }
            let retry_at = self.retries.borrow_mut().after(now, &arrival, tries, answer, unsent);
            let Some(at) = retry_at else {
                let refused = matches!(answer, Answer::Refused(_)) || unsent;
                return harness.state.borrow_mut().referee.request_finished(request, refused);
            };
            harness.sleep_until(at).await;
        }
    }

    async fn send_try(&self, request: RequestNo, arrival: &Arrival) -> (Answer, bool) {
        let harness = &self.harness;
        let Some(node_index) = self.pick_node(arrival.zone) else { return (Answer::Unreachable, true) };
        let now = harness.now();
        let (number, at, incarnation) = {
            let state = &mut *harness.state.borrow_mut();
            let number = state.referee.try_started(now, request, node_index, arrival.deadline);
            state.tries.push(TryState { request, node: node_index, served: false });
            state.nodes[node_index].cost.tries += 1;
            (number, state.nodes[node_index].address, state.nodes[node_index].incarnation)
        };
        let Some(at) = at else {
            harness.state.borrow_mut().referee.client_left(now, number, false);
            return (Answer::Unreachable, true);
        };
        let txn = format!("{number:x}");
        let outcome = self.exchange((at, incarnation), arrival, request, &txn, Some(number)).await;
        let now = harness.now();
        let state = &mut *harness.state.borrow_mut();
        let (answer, client_answer, unsent) = match outcome {
            ExchangeOutcome::Response(status, retry_after, body) => match status {
                StatusCode::OK if body == format!("{request:x}").as_bytes() => {
                    (Some(Final::Served), Answer::Served, false)
                }
                // A body that no server produced for this request counts as a lost response.
                StatusCode::OK => {
                    state.referee.client_left(now, number, true);
                    return (Answer::Failed, false);
                }
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    (Some(Final::Refused), Answer::Refused(retry_after.unwrap_or(0)), false)
                }
                _ => (Some(Final::Failed), Answer::Failed, false),
            },
            ExchangeOutcome::Unsent => (None, Answer::Unreachable, true),
            ExchangeOutcome::TimedOut => (None, Answer::Failed, false),
            ExchangeOutcome::Broken => {
                // A request lost by a node that was killed is no violation; the referee knows which nodes
                // were.
                let killed = state.nodes[node_index].incarnation != incarnation;
                state.referee.client_left(now, number, !killed);
                return (Answer::Unreachable, false);
            }
        };
        match answer {
            Some(answer) => state.referee.answer_received(now, now, number, answer),
            None => state.referee.client_left(now, number, false),
        }
        (client_answer, unsent)
    }

    /// Sends a request directly to the next server that is up, round-robin, as a client without a load
    /// balancer would.
    async fn run_direct_request(&self, arrival: Arrival) {
        let harness = &self.harness;
        let (number, at, incarnation) = {
            let state = &mut *harness.state.borrow_mut();
            let count = state.boxes.len();
            let up = |box_index: &usize| state.boxes[*box_index].is_running();
            let from = self.next_box.get();
            let Some(box_index) = (0..count).map(|n| (from + n) % count).find(up) else { return };
            self.next_box.set(box_index + 1);
            state.direct_requests.push(arrival);
            (
                state.direct_requests.len() - 1,
                state.box_addresses[box_index],
                state.boxes[box_index].incarnation(),
            )
        };
        let Some(at) = at else { return };
        let outcome = self.exchange((at, incarnation), &arrival, number, &format!("s{number:x}"), None).await;
        if let ExchangeOutcome::Response(StatusCode::OK, ..) = outcome {
            record(&mut harness.state.borrow_mut().direct_latency, harness.now().saturating_sub(arrival.at));
        }
    }

    /// Sends one request on an idle or a new connection. If an idle connection turns out to be closed, the
    /// request is sent once more on a new connection, but only if nothing was written or the request is safe
    /// to repeat: a signup sent to a node that was killed may already have been executed.
    async fn exchange(
        &self,
        to: (SocketAddr, u32),
        arrival: &Arrival,
        number: RequestNo,
        txn: &str,
        try_number: Option<TryNo>,
    ) -> ExchangeOutcome {
        let end = self.harness.instant(arrival.deadline);
        let safe = self.harness.site.clients.classes[arrival.class].effect == Effect::Safe;
        let mut idle = self.pool.take(to);
        loop {
            let reused = idle.is_some();
            let sender = match idle.take() {
                Some(sender) => sender,
                None => match timeout_at(end, connect(to.0)).await {
                    Ok(Some(sender)) => sender,
                    Ok(None) => return ExchangeOutcome::Unsent,
                    Err(_) => return ExchangeOutcome::TimedOut,
                },
            };
            let mut sender = sender;
            let Some(request) = self.request(arrival, number, txn) else { return ExchangeOutcome::Unsent };
            if let Some(number) = try_number {
                let now = self.harness.now();
                let state = &mut *self.harness.state.borrow_mut();
                state.referee.try_accepted(now, number);
                if !state.nodes[state.tries[number].node].up {
                    state.referee.try_sent_to_killed_node(number);
                }
            }
            let exchange = async {
                let response = sender.send_request(request).await?;
                let (parts, body) = response.into_parts();
                let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
                Ok::<_, hyper::Error>((parts, body.map(|b| b.to_bytes())))
            };
            match timeout_at(end, exchange).await {
                Err(_) => return ExchangeOutcome::TimedOut,
                Ok(Ok((parts, Ok(body)))) => {
                    let retry_after =
                        parts.headers.get(RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
                    self.pool.put(to, sender);
                    return ExchangeOutcome::Response(
                        parts.status,
                        retry_after.map(|s| micros(1000.0 * s)),
                        body,
                    );
                }
                Ok(Ok((_, Err(_)))) => return ExchangeOutcome::Broken,
                Ok(Err(error)) if reused && (error.is_canceled() || safe) => {}
                Ok(Err(_)) => return ExchangeOutcome::Broken,
            }
        }
    }

    fn request(&self, arrival: &Arrival, number: RequestNo, txn: &str) -> Option<Request<Full<Bytes>>> {
        let site_clients = &self.harness.site.clients;
        let class = &site_clients.classes[arrival.class];
        let method = if class.effect == Effect::Safe { Method::GET } else { Method::POST };
        let body = if method == Method::POST { Bytes::from_static(REQUEST_BODY) } else { Bytes::new() };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/{}/{}", class.name, arrival.key))
            .header("host", "service.internal")
            .header("x-txn", txn)
            .header("x-remaining-ms", remaining_ms(arrival, self.harness.now()))
            .header("cookie", format!("user={:016x}", arrival.key));
        if let Some(tenant) = arrival.tenant.and_then(|t| site_clients.tenants.get(t)) {
            request = request.header("x-org", &tenant.name);
        }
        if class.effect == Effect::Keyed {
            request = request.header("idempotency-key", format!("{number:032x}"));
        }
        // The site's names have been validated as header values; otherwise no request is built.
        request.body(Full::new(body)).ok()
    }
}

async fn connect(to: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(to).await.ok()?;
    // Nagle's algorithm would add delays that look like the node's.
    let _ = stream.set_nodelay(true);
    let (sender, conn) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        // The request sees any error of the connection.
        let _ = conn.await;
    });
    Some(sender)
}

//! The second address: how the node fares, its figures, and the calls that send its clients away and take them back. It
//! reads from the core and hands it commands; what they mean is the core's.
//!
//! Whoever calls waits for nothing but this thread: no client, server, list, ledger or log is asked. Calls have a small
//! table of their own, with descriptors that the clients' and servers' shares leave free.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONNECTION, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use magpietally_core::{AdmissionControl, Core, Phase, ProposalError};
use magpietally_net::{listen, Listener, Stream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};

use crate::http_transport::HttpTransport;
use crate::watched_stream::{hyper_io, WatchedStream};

type Node = Core<HttpTransport>;

/// Calls that may be open at once; one more makes the oldest give way.
const CALLS_MOST: usize = 12;
/// The descriptors that all this takes: the listener, the calls, and one that comes while another goes.
pub(crate) const MAX_DESCRIPTORS: usize = CALLS_MOST + 2;
/// How long a call may take in all.
const CALL_WITHIN: Duration = Duration::from_millis(2000);
/// How long what the caller still sends is read after the answer, so that a reset does not overtake it.
const LINGER: Duration = Duration::from_millis(200);
/// The largest head of a call.
const HEAD_MOST: usize = 8 * 1024;
/// Where a document is proposed to the fleet.
const POLICY: &str = "/v1/fleet/policy";
/// The largest document that is read, in bytes: what one entry of the log holds.
const DOCUMENT_MOST: usize = 64 * 1024;
/// How long accepting rests when it fails.
const REST: Duration = Duration::from_millis(20);

/// The listener of the second address.
///
/// # Errors
/// One line that names the address.
pub(crate) fn open_listener(at: SocketAddr) -> Result<std::net::TcpListener, String> {
    listen(at, false).map_err(|e| format!("management: {at}: {e}"))
}

/// Answers calls; never ends.
pub(crate) async fn serve(node: Rc<Node>, listener: Listener) {
    let calls: Rc<RefCell<VecDeque<(u64, AbortHandle)>>> = Rc::default();
    for number in 0.. {
        let stream = match listener.accept().await {
            Ok(accepted) => accepted.socket,
            Err(shortage) => {
                node.transport()
                    .pool
                    .sample
                    .log(|| tracing::warn!(target: "management", "{}", shortage.error));
                sleep(REST).await;
                continue;
            }
        };
        if calls.borrow().len() >= CALLS_MOST {
            // Who has been here for longest without finishing is the least likely to finish.
            if let Some((_, oldest)) = calls.borrow_mut().pop_front() {
                oldest.abort();
            }
        }
        let (node, table) = (node.clone(), calls.clone());
        let call = spawn_local(async move {
            let _ = timeout(CALL_WITHIN, converse(&node, stream)).await;
            table.borrow_mut().retain(|(n, _)| *n != number);
        });
        calls.borrow_mut().push_back((number, call.abort_handle()));
    }
}

async fn converse(node: &Rc<Node>, socket: TcpStream) {
    let stream = match Stream::register(socket).await {
        Ok(stream) => stream,
        Err(error) => return tracing::warn!(target: "management", "a call is closed unread: {error}"),
    };
    let sock = WatchedStream::new(stream);
    let service = service_fn(|request| async move {
        let proposes = request.uri().path() == POLICY && *request.method() == Method::PUT;
        Ok::<_, Infallible>(if proposes { propose(node, request).await } else { answer(node, &request) })
    });
    let conn = http1::Builder::new()
        .max_buf_size(HEAD_MOST)
        .auto_date_header(false)
        .keep_alive(false)
        .serve_connection(hyper_io(sock.clone()), service);
    // What breaks a call is the caller's to see.
    let _ = conn.await;
    let _ = timeout(LINGER, sock.linger()).await;
}

fn answer(node: &Rc<Node>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (path, method) = (request.uri().path(), request.method());
    let wanted = match path {
        "/v1/readyz" | "/v1/metrics" => Method::GET,
        "/v1/node/drain" | "/v1/node/activate" => Method::PUT,
        "/v1/fleet" if node.admission().is_some() => Method::GET,
        POLICY if node.admission().is_some() => Method::PUT,
        _ => return say(StatusCode::NOT_FOUND, "no such call\n".to_string()),
    };
    if *method != wanted {
        let mut no = say(StatusCode::METHOD_NOT_ALLOWED, format!("{path} takes {wanted}\n"));
        if let Ok(value) = HeaderValue::from_str(wanted.as_str()) {
            no.headers_mut().insert(ALLOW, value);
        }
        return no;
    }
    let process = node.process();
    match path {
        "/v1/readyz" if process.lifecycle().is_serving() && node.has_list() && node.fleet_is_ready() => {
            say(StatusCode::OK, doing(node))
        }
        "/v1/readyz" => say(StatusCode::SERVICE_UNAVAILABLE, doing(node)),
        "/v1/metrics" => {
            let (known, skipped) = node.server_counts();
            say(
                StatusCode::OK,
                process.metrics.render(&node.transport().config.received.classes, known, skipped),
            )
        }
        "/v1/fleet" => {
            say(StatusCode::OK, node.admission().map_or(String::new(), AdmissionControl::describe))
        }
        "/v1/node/drain" => told(node, "drain", process.update(|life| life.drain(Instant::now()))),
        _ => told(node, "activate", process.update(|life| life.activate())),
    }
}

/// Hands a document to the fleet. That it was proposed says nothing yet of whether it is taken: `/v1/fleet` does.
async fn propose(node: &Rc<Node>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let Some(gate) = node.admission() else {
        return say(StatusCode::NOT_FOUND, "no such call\n".to_string());
    };
    let Ok(document) = Limited::new(request.into_body(), DOCUMENT_MOST).collect().await else {
        return say(StatusCode::PAYLOAD_TOO_LARGE, format!("more than {DOCUMENT_MOST} bytes, or cut off\n"));
    };
    match gate.propose(&document.to_bytes()) {
        Ok(words) => say(StatusCode::ACCEPTED, format!("{words}\n")),
        Err(ProposalError::Invalid(words)) => say(StatusCode::BAD_REQUEST, format!("{words}\n")),
        Err(ProposalError::Unavailable(words)) => say(StatusCode::CONFLICT, format!("{words}\n")),
    }
}

/// Whether a command was taken.
fn told(node: &Rc<Node>, command: &str, taken: bool) -> Response<Full<Bytes>> {
    tracing::info!(target: "management", "{command}: {}", doing(node).trim_end());
    say(if taken { StatusCode::OK } else { StatusCode::CONFLICT }, doing(node))
}

/// What the node is doing, in a word.
fn doing(node: &Rc<Node>) -> String {
    let word = match node.process().lifecycle().phase() {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Draining(_) => "draining",
        Phase::Stopping(_) => "stopping",
    };
    format!("{word}\n")
}

fn say(status: StatusCode, words: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::from(words));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

//! The management address: the node's state, its metrics, and the calls that drain and activate it. It reads
//! from the core and passes commands to it; their effect is the core's concern.
//!
//! A call waits for nothing but this thread: it asks no client, server, list, ledger or log. Calls have a
//! small table of their own, with descriptors set aside from the shares of clients and servers.

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

/// Number of calls that may be open at once; one more aborts the oldest.
const MAX_CALLS: usize = 12;
/// Descriptors in use at most: the listener, the calls, and a new call while an old one is closing.
pub(crate) const MAX_DESCRIPTORS: usize = MAX_CALLS + 2;
/// Time limit of a whole call.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long the caller's data is read after the response, so that a reset does not overtake it.
const LINGER: Duration = Duration::from_millis(200);
/// Size limit of a request's head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Path at which a policy document is proposed to the fleet.
const POLICY_PATH: &str = "/v1/fleet/policy";
/// Size limit of a document: what one entry of the log holds.
const MAX_DOCUMENT_BYTES: usize = 64 * 1024;
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens the listener of the management address.
///
/// # Errors
/// One line that names the address.
pub(crate) fn open_listener(at: SocketAddr) -> Result<std::net::TcpListener, String> {
    listen(at, false).map_err(|e| format!("management: {at}: {e}"))
}

/// Answers calls; never returns.
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
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if calls.borrow().len() >= MAX_CALLS {
            // The call that has been open longest is the least likely to finish.
            if let Some((_, oldest)) = calls.borrow_mut().pop_front() {
                oldest.abort();
            }
        }
        let (node, table) = (node.clone(), calls.clone());
        let call = spawn_local(async move {
            let _ = timeout(CALL_TIMEOUT, handle_call(&node, stream)).await;
            table.borrow_mut().retain(|(n, _)| *n != number);
        });
        calls.borrow_mut().push_back((number, call.abort_handle()));
    }
}

async fn handle_call(node: &Rc<Node>, socket: TcpStream) {
    let stream = match Stream::register(socket).await {
        Ok(stream) => stream,
        Err(error) => return tracing::warn!(target: "management", "call closed unread: {error}"),
    };
    let watched = WatchedStream::new(stream);
    let service = service_fn(|request| async move {
        let is_proposal = request.uri().path() == POLICY_PATH && *request.method() == Method::PUT;
        Ok::<_, Infallible>(if is_proposal {
            propose(node, request).await
        } else {
            respond_to(node, &request)
        })
    });
    let conn = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .auto_date_header(false)
        .keep_alive(false)
        .serve_connection(hyper_io(watched.clone()), service);
    // Errors of the connection are for the caller to handle.
    let _ = conn.await;
    let _ = timeout(LINGER, watched.linger()).await;
}

fn respond_to(node: &Rc<Node>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (path, method) = (request.uri().path(), request.method());
    let expected_method = match path {
        "/v1/readyz" | "/v1/metrics" => Method::GET,
        "/v1/node/drain" | "/v1/node/activate" => Method::PUT,
        "/v1/fleet" if node.admission().is_some() => Method::GET,
        POLICY_PATH if node.admission().is_some() => Method::PUT,
        _ => return respond(StatusCode::NOT_FOUND, "no such call\n".to_string()),
    };
    if *method != expected_method {
        let mut rejection =
            respond(StatusCode::METHOD_NOT_ALLOWED, format!("{path} takes {expected_method}\n"));
        if let Ok(value) = HeaderValue::from_str(expected_method.as_str()) {
            rejection.headers_mut().insert(ALLOW, value);
        }
        return rejection;
    }
    let process = node.process();
    match path {
        "/v1/readyz" if process.lifecycle().is_serving() && node.has_list() && node.fleet_is_ready() => {
            respond(StatusCode::OK, phase_word(node))
        }
        "/v1/readyz" => respond(StatusCode::SERVICE_UNAVAILABLE, phase_word(node)),
        "/v1/metrics" => {
            let (known, skipped) = node.server_counts();
            respond(
                StatusCode::OK,
                process.metrics.render(&node.transport().config.received.classes, known, skipped),
            )
        }
        "/v1/fleet" => {
            respond(StatusCode::OK, node.admission().map_or(String::new(), AdmissionControl::describe))
        }
        "/v1/node/drain" => {
            respond_to_command(node, "drain", process.update(|lifecycle| lifecycle.drain(Instant::now())))
        }
        _ => respond_to_command(node, "activate", process.update(|lifecycle| lifecycle.activate())),
    }
}

/// Proposes a document to the fleet. Whether the proposal is adopted is reported by `/v1/fleet`, not here.
async fn propose(node: &Rc<Node>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let Some(gate) = node.admission() else {
        return respond(StatusCode::NOT_FOUND, "no such call\n".to_string());
    };
    let Ok(document) = Limited::new(request.into_body(), MAX_DOCUMENT_BYTES).collect().await else {
        return respond(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("more than {MAX_DOCUMENT_BYTES} bytes, or cut off\n"),
        );
    };
    match gate.propose(&document.to_bytes()) {
        Ok(text) => respond(StatusCode::ACCEPTED, format!("{text}\n")),
        Err(ProposalError::Invalid(text)) => respond(StatusCode::BAD_REQUEST, format!("{text}\n")),
        Err(ProposalError::Unavailable(text)) => respond(StatusCode::CONFLICT, format!("{text}\n")),
    }
}

/// Reports whether a command was accepted.
fn respond_to_command(node: &Rc<Node>, command: &str, accepted: bool) -> Response<Full<Bytes>> {
    tracing::info!(target: "management", "{command}: {}", phase_word(node).trim_end());
    respond(if accepted { StatusCode::OK } else { StatusCode::CONFLICT }, phase_word(node))
}

/// The node's phase in one word.
fn phase_word(node: &Rc<Node>) -> String {
    let word = match node.process().lifecycle().phase() {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Draining(_) => "draining",
        Phase::Stopping(_) => "stopping",
    };
    format!("{word}\n")
}

fn respond(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

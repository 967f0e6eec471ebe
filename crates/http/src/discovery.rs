//! Calls to discovery: one for the whole list, and a watch for its changes.

use std::fmt::Display;
use std::future::{pending, Future};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{rt, Request, Response, StatusCode};
use magpietally_core::{Core, ListStreamEnd, ServerListing, UpstreamTransport};
use magpietally_policy::{ListFailure, WATCH_SILENCE_TIMEOUT};
use tokio::time::{sleep, timeout_at, Instant};

use crate::server_list;
use crate::watched_stream::{hyper_io, HyperIo, WatchedStream};

/// Size limit of a line.
const MAX_LINE_BYTES: usize = 4 << 20;

// Time budget: a change that a call has missed counts as received by the node 6 s after discovery is
// reachable, or 4 s after the reload that started the call, whatever went wrong. All limits except
// MAX_SILENCE therefore count from the moment the call's connection is open: steps that each take just under
// their limit do not add up to more, and a slow connect takes nothing from the time that the call may wait in
// the service's queue. A failed call is followed by the policy's pause, at most 0.1 s after a call that took
// long and else 0.4 s, and by the next call, which has the rest: 3 s in the queue, if nothing but the
// response had to be waited for.

/// How long a connect may take before another one is started beside it. The kernel would retransmit the SYN
/// after 1 s, then after 2 s and 4 s, and would notice too late that a link is back.
const PARALLEL_CONNECT_AFTER: Duration = Duration::from_millis(500);
/// A refusal arrives within this time. A connect that took longer and is then reset was waiting on a link
/// that has come back.
const REFUSAL_WITHIN: Duration = Duration::from_millis(100);
/// Time for the whole list, beyond the time for the response to begin (`ListConsumer::response_timeout`);
/// with the pause after it, within the 4 s after a reload.
const LIST_TRANSFER_TIME: Duration = Duration::from_millis(500);
/// Time for the first line of a watch, beyond the time for the response to begin: it may be the first of the
/// empty lines sent every 2 s while nothing changes. With the pause after it, within the 6 s.
const FIRST_LINE_WITHIN: Duration = Duration::from_millis(2000);
/// A watch sends a line every 2 s, so a longer silence means a dead link, which TCP alone would not notice.
const MAX_SILENCE: Duration = Duration::from_millis(WATCH_SILENCE_TIMEOUT as u64);

/// A response that arrives sooner has not waited in the service's queue.
const IMMEDIATE: Duration = Duration::from_millis(300);

/// Why a call ended.
enum CallError {
    /// The service rejected it at once.
    Rejected(String),
    /// It failed or was cut off.
    Broken(String),
    /// No response, or no further data, arrived in time.
    Silent(String),
    /// The data was malformed; the whole list is needed.
    Malformed(String),
}

/// Receives the list that is read from discovery.
trait ListConsumer {
    /// How long the response to a call may take to begin.
    fn response_timeout(&self) -> Duration;
    /// The version to watch from; `None` if the whole list is needed first.
    fn version(&self) -> Option<u64>;
    /// Discards the version, as later changes can't be applied to what was read so far.
    fn forget_version(&self);
    /// Discovery has answered a call and reports no change.
    fn list_alive(&self);
    /// Discovery has sent a list, or changes.
    fn listed(&self, listing: ServerListing);
}

impl<C: UpstreamTransport> ListConsumer for Rc<Core<C>> {
    fn response_timeout(&self) -> Duration {
        Core::list_timeout(self)
    }

    fn version(&self) -> Option<u64> {
        Core::list_version(self)
    }

    fn forget_version(&self) {
        Core::reset_list_version(self);
    }

    fn list_alive(&self) {
        Core::list_unchanged(self);
    }

    fn listed(&self, listing: ServerListing) {
        Core::list_received(self, listing);
    }
}

/// A destination of calls.
trait Dial: Display {
    /// A connection.
    type Io: rt::Read + rt::Write + Unpin + 'static;

    /// Makes one connection attempt, without a time limit.
    fn dial(&self) -> impl Future<Output = std::io::Result<Self::Io>>;
}

impl Dial for SocketAddr {
    type Io = HyperIo;

    async fn dial(&self) -> std::io::Result<HyperIo> {
        Ok(hyper_io(WatchedStream::new(magpietally_net::connect(*self).await?)))
    }
}

impl From<hyper::Error> for CallError {
    fn from(error: hyper::Error) -> Self {
        Self::Broken(error.to_string())
    }
}

/// Watches from the version that the core has, after fetching the whole list if it has none. Returns when the
/// watch ends.
pub async fn follow<C: UpstreamTransport>(core: Rc<Core<C>>, to: SocketAddr) -> ListStreamEnd {
    follow_with(&core, &to).await
}

async fn follow_with(consumer: &impl ListConsumer, to: &impl Dial) -> ListStreamEnd {
    let (failure, words) = match watch(consumer, to).await {
        Ok(()) => (ListFailure::Broken, "the watch ended".to_string()),
        Err(CallError::Rejected(message)) => (ListFailure::Rejected, message),
        Err(CallError::Broken(message)) => (ListFailure::Broken, message),
        Err(CallError::Silent(message)) => (ListFailure::Silent, message),
        Err(CallError::Malformed(message)) => {
            consumer.forget_version();
            (ListFailure::Broken, format!("unreadable line dropped: {message}"))
        }
    };
    ListStreamEnd { failure, message: words }
}

async fn watch(consumer: &impl ListConsumer, to: &impl Dial) -> Result<(), CallError> {
    let version = match consumer.version() {
        Some(version) => version,
        None => fetch_list(consumer, to).await?,
    };
    let mut call = call(consumer, to, &format!("/v1/endpoints?watch=1&from={version}")).await?;
    let mut objects = ObjectSplitter::default();
    let ended = read_watch(consumer, &mut call, &mut objects).await;
    if let (Ok(()) | Err(CallError::Broken(_) | CallError::Silent(_)), Some(listing)) =
        (&ended, objects.into_unterminated())
    {
        // Data that discovery has written counts as received, however the watch ended.
        apply_update(consumer, listing)?;
    }
    ended
}

/// Reads a watch until it ends.
async fn read_watch(
    consumer: &impl ListConsumer,
    call: &mut Call,
    objects: &mut ObjectSplitter,
) -> Result<(), CallError> {
    let mut due =
        (Instant::now() + MAX_SILENCE).min(call.connected_at + call.response_timeout + FIRST_LINE_WITHIN);
    let mut received_any = false;
    loop {
        let frame = timeout_at(due, call.body.frame()).await;
        let Some(frame) = frame.map_err(|_| CallError::Silent("silent watch".into()))? else { return Ok(()) };
        let Ok(data) = frame?.into_data() else { continue };
        objects.lines.push(&data)?;
        while let Some(item) = objects.next()? {
            // An unfinished line, or a line that completes no object, does not extend the deadline: changes
            // would wait behind it.
            due = Instant::now() + MAX_SILENCE;
            match item {
                WatchItem::Update(listing) => apply_update(consumer, listing)?,
                WatchItem::EmptyLine if !received_any => consumer.list_alive(),
                WatchItem::EmptyLine => {}
            }
            if !std::mem::replace(&mut received_any, true) {
                tracing::info!(
                    target: "list",
                    "first line of the watch after {:.1} ms",
                    call.connected_at.elapsed().as_secs_f64() * 1e3
                );
            }
        }
    }
}

/// Applies a line of a watch. Changes of an older version than the node has would restore a state that is
/// over.
fn apply_update(consumer: &impl ListConsumer, listing: ServerListing) -> Result<(), CallError> {
    match consumer.version() {
        Some(current) if !listing.complete && listing.version < current => {
            Err(CallError::Malformed(format!("seq: {} after {current}", listing.version)))
        }
        _ => {
            consumer.listed(listing);
            Ok(())
        }
    }
}

/// Fetches the whole list once and returns its version.
async fn fetch_list(consumer: &impl ListConsumer, to: &impl Dial) -> Result<u64, CallError> {
    let mut call = call(consumer, to, "/v1/endpoints").await?;
    let mut lines = LineSplitter::default();
    let due = call.connected_at + call.response_timeout + LIST_TRANSFER_TIME;
    loop {
        let frame = timeout_at(due, call.body.frame()).await;
        let Some(frame) = frame.map_err(|_| CallError::Silent("silent list".into()))? else { break };
        if let Ok(data) = frame?.into_data() {
            lines.push(&data)?;
        }
    }
    let listing = parse(&lines.buffer)?;
    let version = listing.version;
    consumer.listed(listing);
    Ok(version)
}

fn parse(line: &[u8]) -> Result<ServerListing, CallError> {
    server_list::parse_line(line).map_err(|e| CallError::Malformed(e.message()))
}

/// The task that drives a call's connection; dropping it closes the connection.
struct ConnectionTask(tokio::task::JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The response to a call.
struct Call {
    body: Incoming,
    /// When its connection was open.
    connected_at: Instant,
    /// How long its response was allowed to take to begin.
    response_timeout: Duration,
    _task: ConnectionTask,
}

async fn call(consumer: &impl ListConsumer, to: &impl Dial, path: &str) -> Result<Call, CallError> {
    let broken = |message: &str| CallError::Broken(message.to_string());
    let io = connect(to).await?;
    let connected_at = Instant::now();
    let (mut send, conn) = http1::handshake(io).await?;
    let task = ConnectionTask(tokio::task::spawn_local(async move {
        // An error of the connection also fails the call, which reports it.
        let _ = conn.await;
    }));
    let request = Request::get(path).header("host", to.to_string()).body(Empty::<Bytes>::new());
    let request = request.map_err(|e| broken(&e.to_string()))?;
    let response_timeout = consumer.response_timeout();
    let response = timeout_at(connected_at + response_timeout, send.send_request(request)).await;
    let response: Response<Incoming> = response.map_err(|_| CallError::Silent("no response".into()))??;
    if response.status() != StatusCode::OK {
        let message = format!("status {}", response.status());
        return Err(if connected_at.elapsed() < IMMEDIATE {
            CallError::Rejected(message)
        } else {
            CallError::Broken(message)
        });
    }
    Ok(Call { body: response.into_body(), connected_at, response_timeout, _task: task })
}

/// Opens a connection. On a dead link a connect neither succeeds nor is refused. These attempts cost the
/// service nothing, so they need no pause: a new one starts every PARALLEL_CONNECT_AFTER beside the previous
/// one, which may only be late. A refusal ends the call.
async fn connect<D: Dial>(to: &D) -> Result<D::Io, CallError> {
    let mut earlier = None;
    let mut link_down = false;
    loop {
        let started = Instant::now();
        let mut newest = Box::pin(to.dial());
        let late = async {
            match &mut earlier {
                Some((dial, started)) => (std::pin::Pin::as_mut(dial).await, *started),
                None => pending().await,
            }
        };
        let ended = tokio::select! {
            io = &mut newest => Some((io, started)),
            late = late => Some(late),
            () = sleep(PARALLEL_CONNECT_AFTER) => None,
        };
        match ended {
            Some((Ok(io), _)) => return Ok(io),
            Some((Err(error), started)) if !link_down && started.elapsed() < REFUSAL_WITHIN => {
                return Err(CallError::Broken(error.to_string()));
            }
            // The link is back, and the connects that waited on it are lost. A refusal from now on ends the
            // call.
            Some((Err(_), _)) => (earlier, link_down) = (None, false),
            None => {
                if !std::mem::replace(&mut link_down, true) {
                    tracing::info!(
                        target: "list",
                        "{to}: connecting takes long; trying another connection beside it"
                    );
                }
                earlier = Some((newest, started));
            }
        }
    }
}

/// Splits a stream into lines.
#[derive(Default)]
struct LineSplitter {
    buffer: Vec<u8>,
    /// Number of leading bytes known to contain no end of line.
    scanned: usize,
}

impl LineSplitter {
    fn push(&mut self, data: &[u8]) -> Result<(), CallError> {
        if self.buffer.len() + data.len() > MAX_LINE_BYTES {
            return Err(CallError::Malformed("line exceeds the size limit".into()));
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    fn next(&mut self) -> Option<Vec<u8>> {
        // A long line arrives in many pieces; bytes that were searched before are not searched again for each
        // of them.
        let Some(end) = self.buffer[self.scanned..].iter().position(|b| *b == b'\n') else {
            self.scanned = self.buffer.len();
            return None;
        };
        let rest = self.buffer.split_off(self.scanned + end + 1);
        let mut line = std::mem::replace(&mut self.buffer, rest);
        self.scanned = 0;
        while line.last().is_some_and(u8::is_ascii_whitespace) {
            line.pop();
        }
        Some(line)
    }
}

/// One item of a watch.
enum WatchItem {
    /// An empty line, sent while nothing changes.
    EmptyLine,
    /// A list, or changes.
    Update(ServerListing),
}

/// Splits a watch into JSON objects. Each has a line of its own, or several if it is indented.
#[derive(Default)]
struct ObjectSplitter {
    lines: LineSplitter,
    /// The lines received of an unfinished object.
    partial: Vec<u8>,
}

impl ObjectSplitter {
    fn next(&mut self) -> Result<Option<WatchItem>, CallError> {
        while let Some(line) = self.lines.next() {
            if line.is_empty() && self.partial.is_empty() {
                return Ok(Some(WatchItem::EmptyLine));
            }
            // An indented object contains no empty line, so the rest of this one will not come.
            let cut_off = line.is_empty();
            if self.partial.len() + line.len() > MAX_LINE_BYTES {
                return Err(CallError::Malformed("object exceeds the size limit".into()));
            }
            let first = self.partial.is_empty();
            self.partial.extend_from_slice(&line);
            self.partial.push(b'\n');
            // Parses a long object only after lines that could be its last.
            if !(first || cut_off || line.ends_with(b"}")) {
                continue;
            }
            match server_list::parse_line(&self.partial) {
                Ok(listing) => {
                    self.partial.clear();
                    return Ok(Some(WatchItem::Update(listing)));
                }
                Err(server_list::ListError::Truncated(_)) if !cut_off => {}
                Err(error) => return Err(CallError::Malformed(error.message())),
            }
        }
        Ok(None)
    }

    /// Returns the object that is complete except for the end of its line.
    fn into_unterminated(mut self) -> Option<ServerListing> {
        self.partial.extend_from_slice(&self.lines.buffer);
        server_list::parse_line(&self.partial).ok()
    }
}

#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod timing_tests;

#[cfg(test)]
mod tests;

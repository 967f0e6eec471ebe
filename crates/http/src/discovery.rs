//! Calls to discovery: the whole list, and the watch that brings its changes.

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

/// The longest line that is taken.
const LINE_MOST: usize = 4 << 20;

// Whatever befell a call, what it has missed counts as told 6 s after discovery could be reached, and 4 s after a reload that
// began it. All times but SILENCE run from the moment in which a call's connection was there, so that parts that are each just
// in time do not add up to more, and a connection that came up late takes nothing from the wait in the service's queue.
// Behind each comes the policy's pause, 0.1 s at most where the call took its time and 0.4 s else, and the next call, which
// has the rest: 3 s in the queue, where there was nothing but the answer to wait for.

/// How long a connection is waited for before another is tried beside it. The kernel would say its first word again after
/// 1 s, then after 2 s and 4 s: a link that is back would be found too late.
const TRY: Duration = Duration::from_millis(500);
/// Who refuses a connection does it sooner. One that hung so long and is reset then was on a link that is back.
const REFUSED: Duration = Duration::from_millis(100);
/// When the whole list must be there: half a second more than its answer may wait (`Reader::patience`), and with the pause behind
/// it within the 4 s of a reload.
const WHOLE: Duration = Duration::from_millis(500);
/// When the first line of a watch must be there: 2 s later than the latest answer, as it may be the first of those that come
/// while nothing changes; with the pause behind it within 6 s.
const FIRST_LINE: Duration = Duration::from_millis(2000);
/// A watch brings a line every 2 s: a longer silence is a dead link, which TCP alone would not notice.
const SILENCE: Duration = Duration::from_millis(WATCH_SILENCE_TIMEOUT as u64);

/// What comes sooner has not waited in the service's queue.
const AT_ONCE: Duration = Duration::from_millis(300);

/// Why a call ended.
enum Ended {
    /// The service has rejected it at once.
    Rejected(String),
    /// It failed or broke.
    Broken(String),
    /// It said nothing, or nothing more, and was given up.
    Silent(String),
    /// It brought what can't be read; the whole list is needed.
    Unreadable(String),
}

/// Who the list is read for.
trait Reader {
    /// How long the answer to a call may take to begin.
    fn patience(&self) -> Duration;
    /// The version to follow from; `None` where the whole list is needed first.
    fn version(&self) -> Option<u64>;
    /// What was read last can't be trusted to follow on what it has.
    fn forget_version(&self);
    /// The source has answered a call, with no news.
    fn list_alive(&self);
    /// The source has brought a list, or changes.
    fn listed(&self, listing: ServerListing);
}

impl<C: UpstreamTransport> Reader for Rc<Core<C>> {
    fn patience(&self) -> Duration {
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

/// Where calls go.
trait Dial: Display {
    /// A connection.
    type Io: rt::Read + rt::Write + Unpin + 'static;

    /// Connects once, for as long as it takes.
    fn dial(&self) -> impl Future<Output = std::io::Result<Self::Io>>;
}

impl Dial for SocketAddr {
    type Io = HyperIo;

    async fn dial(&self) -> std::io::Result<HyperIo> {
        Ok(hyper_io(WatchedStream::new(magpietally_net::connect(*self).await?)))
    }
}

impl From<hyper::Error> for Ended {
    fn from(error: hyper::Error) -> Self {
        Self::Broken(error.to_string())
    }
}

/// Watches from the version that the core has, or asks for the whole list first where it has none. Ends when the watch ends.
pub async fn follow<C: UpstreamTransport>(core: Rc<Core<C>>, to: SocketAddr) -> ListStreamEnd {
    follow_by(&core, &to).await
}

async fn follow_by(reader: &impl Reader, to: &impl Dial) -> ListStreamEnd {
    let (failure, words) = match watch(reader, to).await {
        Ok(()) => (ListFailure::Broken, "the watch ended".to_string()),
        Err(Ended::Rejected(words)) => (ListFailure::Rejected, words),
        Err(Ended::Broken(words)) => (ListFailure::Broken, words),
        Err(Ended::Silent(words)) => (ListFailure::Silent, words),
        Err(Ended::Unreadable(words)) => {
            reader.forget_version();
            (ListFailure::Broken, format!("unreadable line dropped: {words}"))
        }
    };
    ListStreamEnd { failure, message: words }
}

async fn watch(reader: &impl Reader, to: &impl Dial) -> Result<(), Ended> {
    let version = match reader.version() {
        Some(version) => version,
        None => whole(reader, to).await?,
    };
    let mut body = call(reader, to, &format!("/v1/endpoints?watch=1&from={version}")).await?;
    let mut text = Objects::default();
    let ended = attend(reader, &mut body, &mut text).await;
    if let (Ok(()) | Err(Ended::Broken(_) | Ended::Silent(_)), Some(listing)) = (&ended, text.rest()) {
        // What has been written has been told, however it ended.
        follow_on(reader, listing)?;
    }
    ended
}

/// Takes what a watch brings, until it ends.
async fn attend(reader: &impl Reader, body: &mut Call, text: &mut Objects) -> Result<(), Ended> {
    let mut due = (Instant::now() + SILENCE).min(body.began + body.patience + FIRST_LINE);
    let mut heard = false;
    loop {
        let frame = timeout_at(due, body.answer.frame()).await;
        let Some(frame) = frame.map_err(|_| Ended::Silent("silent watch".into()))? else { return Ok(()) };
        let Ok(data) = frame?.into_data() else { continue };
        text.lines.push(&data)?;
        while let Some(said) = text.next()? {
            // Bytes that make no line, and lines that make no object, are no sign of life: news waits behind them.
            due = Instant::now() + SILENCE;
            match said {
                Said::News(listing) => follow_on(reader, listing)?,
                Said::Nothing if !heard => reader.list_alive(),
                Said::Nothing => {}
            }
            if !std::mem::replace(&mut heard, true) {
                tracing::info!(target: "list", "watched, {:.1} ms after the call", body.began.elapsed().as_secs_f64() * 1e3);
            }
        }
    }
}

/// Takes a line of a watch. Changes of an older version than the node has would bring back what has been told to be over.
fn follow_on(reader: &impl Reader, listing: ServerListing) -> Result<(), Ended> {
    match reader.version() {
        Some(had) if !listing.complete && listing.version < had => {
            Err(Ended::Unreadable(format!("seq: {} after {had}", listing.version)))
        }
        _ => {
            reader.listed(listing);
            Ok(())
        }
    }
}

/// Asks for the whole list once.
async fn whole(reader: &impl Reader, to: &impl Dial) -> Result<u64, Ended> {
    let mut body = call(reader, to, "/v1/endpoints").await?;
    let mut text = Lines::default();
    let due = body.began + body.patience + WHOLE;
    loop {
        let frame = timeout_at(due, body.answer.frame()).await;
        let Some(frame) = frame.map_err(|_| Ended::Silent("silent list".into()))? else { break };
        if let Ok(data) = frame?.into_data() {
            text.push(&data)?;
        }
    }
    let listing = read(&text.held)?;
    let version = listing.version;
    reader.listed(listing);
    Ok(version)
}

fn read(line: &[u8]) -> Result<ServerListing, Ended> {
    server_list::parse_line(line).map_err(|e| Ended::Unreadable(e.message()))
}

/// What moves a call's bytes; the connection ends with it.
struct Driver(tokio::task::JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A call's answer.
struct Call {
    answer: Incoming,
    /// When its connection was there.
    began: Instant,
    /// How long its answer might have taken to begin.
    patience: Duration,
    _driver: Driver,
}

async fn call(reader: &impl Reader, to: &impl Dial, path: &str) -> Result<Call, Ended> {
    let broken = |words: &str| Ended::Broken(words.to_string());
    let io = connect(to).await?;
    let began = Instant::now();
    let (mut send, conn) = http1::handshake(io).await?;
    let driver = Driver(tokio::task::spawn_local(async move {
        // What breaks the connection breaks the call too, and is seen there.
        let _ = conn.await;
    }));
    let request = Request::get(path).header("host", to.to_string()).body(Empty::<Bytes>::new());
    let request = request.map_err(|e| broken(&e.to_string()))?;
    let patience = reader.patience();
    let answer = timeout_at(began + patience, send.send_request(request)).await;
    let answer: Response<Incoming> = answer.map_err(|_| Ended::Silent("no answer".into()))??;
    if answer.status() != StatusCode::OK {
        let words = format!("status {}", answer.status());
        return Err(if began.elapsed() < AT_ONCE { Ended::Rejected(words) } else { Ended::Broken(words) });
    }
    Ok(Call { answer: answer.into_body(), began, patience, _driver: driver })
}

/// A connection. On a dead link none comes up and none is refused. As the service never hears of these, they need no pause:
/// another is tried all the time, beside the one before, which may only be late. What is refused has failed.
async fn connect<D: Dial>(to: &D) -> Result<D::Io, Ended> {
    let mut before = None;
    let mut hung = false;
    loop {
        let began = Instant::now();
        let mut newest = Box::pin(to.dial());
        let late = async {
            match &mut before {
                Some((dial, began)) => (std::pin::Pin::as_mut(dial).await, *began),
                None => pending().await,
            }
        };
        let ended = tokio::select! {
            io = &mut newest => Some((io, began)),
            late = late => Some(late),
            () = sleep(TRY) => None,
        };
        match ended {
            Some((Ok(io), _)) => return Ok(io),
            Some((Err(error), began)) if !hung && began.elapsed() < REFUSED => {
                return Err(Ended::Broken(error.to_string()));
            }
            // The link is back, and says that what hung on it is lost. What is refused from now on has failed.
            Some((Err(_), _)) => (before, hung) = (None, false),
            None => {
                if !std::mem::replace(&mut hung, true) {
                    tracing::info!(target: "list", "{to}: no connection comes up, tried on");
                }
                before = Some((newest, began));
            }
        }
    }
}

/// Cuts a stream into lines.
#[derive(Default)]
struct Lines {
    held: Vec<u8>,
    /// How much of it has no line's end.
    looked: usize,
}

impl Lines {
    fn push(&mut self, data: &[u8]) -> Result<(), Ended> {
        if self.held.len() + data.len() > LINE_MOST {
            return Err(Ended::Unreadable("longer than a line may be".into()));
        }
        self.held.extend_from_slice(data);
        Ok(())
    }

    fn next(&mut self) -> Option<Vec<u8>> {
        // A long line comes in many pieces: what was looked through is not looked through again with each.
        let Some(end) = self.held[self.looked..].iter().position(|b| *b == b'\n') else {
            self.looked = self.held.len();
            return None;
        };
        let rest = self.held.split_off(self.looked + end + 1);
        let mut line = std::mem::replace(&mut self.held, rest);
        self.looked = 0;
        while line.last().is_some_and(u8::is_ascii_whitespace) {
            line.pop();
        }
        Some(line)
    }
}

/// What a watch says.
enum Said {
    /// An empty line.
    Nothing,
    /// An object.
    News(ServerListing),
}

/// Cuts a watch into its objects. Each has a line of its own; one that is indented has several.
#[derive(Default)]
struct Objects {
    lines: Lines,
    /// The lines so far of one that is not over.
    begun: Vec<u8>,
}

impl Objects {
    fn next(&mut self) -> Result<Option<Said>, Ended> {
        while let Some(line) = self.lines.next() {
            if line.is_empty() && self.begun.is_empty() {
                return Ok(Some(Said::Nothing));
            }
            // No indented object has an empty line: the rest of this one will not come.
            let cut_off = line.is_empty();
            if self.begun.len() + line.len() > LINE_MOST {
                return Err(Ended::Unreadable("longer than an object may be".into()));
            }
            let first = self.begun.is_empty();
            self.begun.extend_from_slice(&line);
            self.begun.push(b'\n');
            // Of a long one not every line is tried, but each that could be its last.
            if !(first || cut_off || line.ends_with(b"}")) {
                continue;
            }
            match server_list::parse_line(&self.begun) {
                Ok(listing) => {
                    self.begun.clear();
                    return Ok(Some(Said::News(listing)));
                }
                Err(server_list::ListError::Truncated(_)) if !cut_off => {}
                Err(error) => return Err(Ended::Unreadable(error.message())),
            }
        }
        Ok(None)
    }

    /// The object that only lacks its line's end.
    fn rest(mut self) -> Option<ServerListing> {
        self.begun.extend_from_slice(&self.lines.held);
        server_list::parse_line(&self.begun).ok()
    }
}

#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod timing_tests;

#[cfg(test)]
mod tests;

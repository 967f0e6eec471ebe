//! Uploads by scripted clients to servers that read by a script. Both sides set the sizes of their socket buffers,
//! so that the same bytes are held by the same kernel buffers on every machine.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::long_responses::{Framing, Pace};
use super::{bytes, read_message, request, response, Message};

/// Receive buffer of a server, so that the node's own send buffer holds most of what a server leaves unread.
pub const SERVER_RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Segment size of an Ethernet path. The default of loopback, 64 KiB, gives a sender a buffer of megabytes from the start.
pub const SEGMENT_BYTES: u32 = 1460;
/// Backlog of a listener.
const BACKLOG: i32 = 128;
/// How long a server that holds its connection keeps it; longer than any test waits.
const HOLD_TIME: Duration = Duration::from_secs(60);

// ---- Servers ----

/// A step of a server's script for each connection. After the last step, a server reads on as fast as it can.
#[derive(Clone, Copy, Debug)]
pub enum ReadStep {
    /// Reads this number of bytes as fast as it can.
    Read(usize),
    /// Reads this number of bytes, a piece in each interval.
    ReadPaced { bytes: usize, piece: usize, interval: Duration },
    /// Reads nothing for a while.
    Pause(Duration),
    /// Reads nothing more and keeps the connection.
    Hold,
    /// Answers with this status, whatever has been read.
    Answer(u16),
    /// Closes the connection; unread bytes make that a reset.
    Close,
}

/// A connection that is read by a script.
struct ScriptedReader {
    stream: TcpStream,
    steps: Vec<ReadStep>,
}

impl ScriptedReader {
    fn new(stream: TcpStream, script: &[ReadStep]) -> Self {
        Self { stream, steps: script.iter().rev().copied().collect() }
    }

    /// Reads at most `limit` bytes in this step, and returns what the step has left.
    fn read_up_to(&mut self, to: &mut [u8], limit: usize, left: usize) -> std::io::Result<(usize, usize)> {
        let length = to.len().min(limit).min(left);
        let count = self.stream.read(&mut to[..length])?;
        Ok((count, left - count))
    }
}

impl Read for ScriptedReader {
    fn read(&mut self, to: &mut [u8]) -> std::io::Result<usize> {
        loop {
            match self.steps.pop() {
                None => return self.stream.read(to),
                Some(ReadStep::Read(0) | ReadStep::ReadPaced { bytes: 0, .. }) => {}
                Some(ReadStep::Read(bytes)) => {
                    let (count, left) = self.read_up_to(to, usize::MAX, bytes)?;
                    self.steps.push(ReadStep::Read(left));
                    return Ok(count);
                }
                Some(ReadStep::ReadPaced { bytes, piece, interval }) => {
                    std::thread::sleep(interval);
                    let (count, left) = self.read_up_to(to, piece, bytes)?;
                    self.steps.push(ReadStep::ReadPaced { bytes: left, piece, interval });
                    return Ok(count);
                }
                Some(ReadStep::Pause(span)) => std::thread::sleep(span),
                Some(ReadStep::Hold) => {
                    std::thread::sleep(HOLD_TIME);
                    return Ok(0);
                }
                Some(ReadStep::Answer(status)) => self.stream.write_all(&response(status, "", "early"))?,
                Some(ReadStep::Close) => return Ok(0),
            }
        }
    }
}

/// How a server treats its connections.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// How it reads each connection.
    pub script: Vec<ReadStep>,
    /// How it writes the long responses that requests name by their path.
    pub pace: Pace,
    /// Until when new connections stay pending, from its start.
    pub opens_after: Duration,
    /// Its segment size; `None` for that of loopback.
    pub segment_bytes: Option<u32>,
}

impl ServerPlan {
    /// A plan with these steps of reading.
    pub fn reading(script: &[ReadStep]) -> Self {
        let pace = Pace {
            before_body: Duration::ZERO,
            piece_bytes: 10_000,
            between_pieces: Duration::from_millis(5),
        };
        let segment_bytes = Some(SEGMENT_BYTES);
        Self { script: script.to_vec(), pace, opens_after: Duration::ZERO, segment_bytes }
    }
}

/// A server that reads each connection by a plan, answers each whole request, and records it.
pub struct ReadingServer {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Message>>>,
}

impl ReadingServer {
    /// Starts a server with a receive buffer of [`SERVER_RECEIVE_BUFFER_BYTES`] and segments of [`SEGMENT_BYTES`].
    pub fn new(script: &[ReadStep]) -> Self {
        Self::with_plan(ServerPlan::reading(script))
    }

    /// Starts a server with this plan and a receive buffer of [`SERVER_RECEIVE_BUFFER_BYTES`].
    pub fn with_plan(plan: ServerPlan) -> Self {
        let backlog = if plan.opens_after.is_zero() { BACKLOG } else { 0 };
        let listener = listener_with(SERVER_RECEIVE_BUFFER_BYTES, plan.segment_bytes, backlog);
        let address = listener.local_addr().expect("bound");
        let received: Arc<Mutex<Vec<Message>>> = Arc::default();
        let seen = received.clone();
        std::thread::spawn(move || {
            keep_pending(&listener, plan.opens_after);
            for stream in listener.incoming().flatten() {
                let (seen, plan) = (seen.clone(), plan.clone());
                std::thread::spawn(move || serve(stream, &plan, &seen));
            }
        });
        Self { address, received }
    }

    /// The whole requests received so far.
    pub fn received(&self) -> Vec<Message> {
        self.received.lock().expect("no panic").clone()
    }
}

/// Fills the backlog of a listener for a while, so that new connections stay pending.
fn keep_pending(listener: &TcpListener, span: Duration) {
    const FILLERS: usize = 2;
    if span.is_zero() {
        return;
    }
    let address = listener.local_addr().expect("bound");
    let _fillers: Vec<_> = (0..FILLERS).map(|_| TcpStream::connect_timeout(&address, span)).collect();
    std::thread::sleep(span);
}

fn serve(stream: TcpStream, plan: &ServerPlan, seen: &Mutex<Vec<Message>>) -> Option<()> {
    let mut out = stream.try_clone().ok()?;
    let mut from = BufReader::new(ScriptedReader::new(stream, &plan.script));
    while let Some(message) = read_message(&mut from, 0) {
        let framing = Framing::named_by(&message);
        seen.lock().expect("no panic").push(message);
        match framing {
            Some(framing) => plan.pace.respond(framing, &mut out).ok()?,
            None => out.write_all(&response(200, "", "read")).ok()?,
        }
    }
    Some(())
}

/// Listens with a receive buffer of this size and the segments of [`SEGMENT_BYTES`], which accepted connections inherit.
pub fn listener_with_buffer(receive_buffer_bytes: usize) -> TcpListener {
    listener_with(receive_buffer_bytes, Some(SEGMENT_BYTES), BACKLOG)
}

fn listener_with(receive_buffer_bytes: usize, segment_bytes: Option<u32>, backlog: i32) -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(receive_buffer_bytes).expect("an open socket");
    if let Some(size) = segment_bytes {
        socket.set_tcp_mss(size).expect("an open socket");
    }
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
    socket.listen(backlog).expect("a bound socket");
    socket.into()
}

// ---- Clients ----

/// How an upload marks its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadFraming {
    Length,
    /// Chunks of this size.
    Chunks(usize),
    OneChunk,
}

/// An upload of a class.
#[derive(Clone, Debug)]
pub struct Upload {
    pub class: &'static str,
    pub id: String,
    pub remaining: Duration,
    pub framing: UploadFraming,
    pub length: usize,
    /// The framing of a long response, if it is to be answered by one.
    pub answered_in: Option<Framing>,
}

impl Upload {
    /// The head and the body.
    pub fn encode(&self) -> Vec<u8> {
        let framing = match self.framing {
            UploadFraming::Length => format!("Content-Length: {}", self.length),
            UploadFraming::Chunks(_) | UploadFraming::OneChunk => "Transfer-Encoding: chunked".to_string(),
        };
        let head = request(self.class, &self.id, self.remaining.as_millis() as u64);
        let head = self.answered_in.map_or(head.clone(), |framing| framing.name_in(&head));
        let mut all =
            head.replace("Content-Length: 4\r\n\r\nwork", &format!("{framing}\r\n\r\n")).into_bytes();
        let body = bytes(self.length);
        let chunk_bytes = match self.framing {
            UploadFraming::Length => {
                all.extend(body);
                return all;
            }
            UploadFraming::Chunks(size) => size,
            UploadFraming::OneChunk => self.length,
        };
        for piece in body.chunks(chunk_bytes) {
            all.extend([format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat());
        }
        all.extend(b"0\r\n\r\n");
        all
    }
}

/// A step of a client's script. After the last step, a client writes the rest in one go.
#[derive(Clone, Copy, Debug)]
pub enum WriteStep {
    /// Writes this number of bytes in one go.
    Write(usize),
    /// Writes everything but this number of bytes in one go.
    WriteAllBut(usize),
    /// Writes this number of bytes, a piece in each interval.
    WritePaced { bytes: usize, piece: usize, interval: Duration },
    /// Writes nothing for a while.
    Pause(Duration),
    /// Closes the writing direction.
    HalfClose,
    /// Closes the connection.
    Leave,
}

/// How a request ended for its client.
#[derive(Debug)]
pub struct UploadEnd {
    /// When the kernel had accepted the last byte, if it did.
    pub written_at: Option<Instant>,
    /// The response, and when it had come; `None` if there was none.
    pub answer: Option<(Message, Instant)>,
    /// When the connection ended, where it did before a response.
    pub ended_at: Option<Instant>,
}

impl UploadEnd {
    /// The time from the last byte to the response.
    pub fn waited(&self) -> Option<Duration> {
        Some(self.answer.as_ref()?.1.saturating_duration_since(self.written_at?))
    }

    /// The status of the response.
    pub fn status(&self) -> Option<u16> {
        Some(self.answer.as_ref()?.0.status())
    }
}

/// Connects to a node, with a send buffer of this size.
///
/// # Errors
/// The error of the connect.
pub fn connect(node: SocketAddr, send_buffer_bytes: Option<usize>) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    if let Some(size) = send_buffer_bytes {
        socket.set_send_buffer_size(size)?;
    }
    socket.connect(&node.into())?;
    let stream: TcpStream = socket.into();
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends an upload by a script on a connection of its own, and waits for its response, for `patience` at most after the
/// end of its time.
pub fn send_upload(
    node: SocketAddr,
    upload: &Upload,
    script: &[WriteStep],
    send_buffer_bytes: Option<usize>,
    patience: Duration,
) -> UploadEnd {
    let stream = connect(node, send_buffer_bytes).expect("the node listens");
    send_on(&stream, &upload.encode(), script, upload.remaining + patience)
}

/// Sends a request by a script, and waits for its response until `limit` after its last byte at most. Closes the connection
/// where the request could not be written whole.
pub fn send_on(stream: &TcpStream, request: &[u8], script: &[WriteStep], limit: Duration) -> UploadEnd {
    let written_at = Mutex::new(None);
    let (answer, ended_at) = std::thread::scope(|scope| {
        let writer = scope.spawn(|| {
            if write_by_script(stream, request, script).is_ok() {
                *written_at.lock().expect("no panic") = Some(Instant::now());
            }
        });
        let received = receive(stream, &written_at, limit);
        if !writer.is_finished() {
            // Ends a write that is still blocked.
            let _ = stream.shutdown(Shutdown::Both);
        }
        received
    });
    UploadEnd { written_at: written_at.into_inner().expect("no panic"), answer, ended_at }
}

/// Waits for the response until `limit` after the last byte was written. Returns it, or when the connection ended
/// without one.
fn receive(
    mut stream: &TcpStream,
    written_at: &Mutex<Option<Instant>>,
    limit: Duration,
) -> (Option<(Message, Instant)>, Option<Instant>) {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    stream.set_read_timeout(Some(POLL_INTERVAL)).expect("a socket");
    let (start, mut first) = (Instant::now(), [0; 1]);
    let waits = |error: std::io::Error| {
        matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
    };
    while stream.peek(&mut first).is_err_and(waits) {
        let written = *written_at.lock().expect("no panic");
        if written.is_some_and(|at| at.elapsed() > limit) || start.elapsed() > HOLD_TIME {
            return (None, None);
        }
    }
    stream.set_read_timeout(Some(HOLD_TIME)).expect("a socket");
    match read_message(&mut BufReader::new(&mut stream), 0) {
        Some(message) => (Some((message, Instant::now())), None),
        None => (None, Some(Instant::now())),
    }
}

fn write_by_script(mut stream: &TcpStream, all: &[u8], script: &[WriteStep]) -> std::io::Result<()> {
    let mut left = all;
    let mut take = |count: usize| {
        let (piece, rest) = left.split_at(count.min(left.len()));
        left = rest;
        piece
    };
    for step in script {
        match *step {
            WriteStep::Write(count) => stream.write_all(take(count))?,
            WriteStep::WriteAllBut(count) => stream.write_all(take(all.len().saturating_sub(count)))?,
            WriteStep::WritePaced { bytes, piece, interval } => {
                for part in take(bytes).chunks(piece) {
                    stream.write_all(part)?;
                    std::thread::sleep(interval);
                }
            }
            WriteStep::Pause(span) => std::thread::sleep(span),
            WriteStep::HalfClose => return stream.shutdown(Shutdown::Write),
            WriteStep::Leave => return stream.shutdown(Shutdown::Both),
        }
    }
    stream.write_all(take(usize::MAX))
}

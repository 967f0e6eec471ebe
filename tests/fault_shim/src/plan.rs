//! The plan: which calls fail, how, how often and when.
//!
//! A rule is `CALL:FAULT:PROBABILITY`, followed by options that are separated by `:` too:
//!
//! - CALL is the name of a [`Call`], such as `recv` or `accept4`.
//! - FAULT is the name of an error, such as `EINTR`; `broken=ERROR`: the call fails with that error and its
//!   connection is aborted; `short=N`: at most N bytes are transferred; or, for `clock` only, `step=MS`: the
//!   wall clock is ahead by this number of milliseconds (behind if negative).
//! - PROBABILITY is from 0 to 1. The first call that a rule applies to always fails, so that every run
//!   injects each rule at least once. If two rules apply to a call, the earlier one takes precedence.
//! - `from_ms=N` and `for_ms=N`: the rule applies from N milliseconds after the start of the process, for N
//!   milliseconds.
//! - `first=N`: the rule applies to the first N calls only.
//! - `on=socket`, `on=file`, `on=event`, `on=dialled`, `on=accepted`, `on=local`: the rule
//!   applies to descriptors of that kind only.

use libc::c_int;

/// A function that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Call {
    Recv,
    Peek,
    Read,
    Send,
    Write,
    Writev,
    Accept,
    Connect,
    Socket,
    Bind,
    Listen,
    EpollCreate,
    EpollAdd,
    EpollWait,
    Eventfd,
    Socketpair,
    Setsockopt,
    Getsockopt,
    Shutdown,
    Close,
    Open,
    Sync,
    Rename,
    Truncate,
    Thread,
    Clock,
}

const CALLS: [(&str, Call); 26] = [
    ("recv", Call::Recv),
    ("peek", Call::Peek),
    ("read", Call::Read),
    ("send", Call::Send),
    ("write", Call::Write),
    ("writev", Call::Writev),
    ("accept4", Call::Accept),
    ("connect", Call::Connect),
    ("socket", Call::Socket),
    ("bind", Call::Bind),
    ("listen", Call::Listen),
    ("epoll_create1", Call::EpollCreate),
    ("epoll_add", Call::EpollAdd),
    ("epoll_wait", Call::EpollWait),
    ("eventfd", Call::Eventfd),
    ("socketpair", Call::Socketpair),
    ("setsockopt", Call::Setsockopt),
    ("getsockopt", Call::Getsockopt),
    ("shutdown", Call::Shutdown),
    ("close", Call::Close),
    ("open", Call::Open),
    ("sync", Call::Sync),
    ("rename", Call::Rename),
    ("truncate", Call::Truncate),
    ("pthread_create", Call::Thread),
    ("clock", Call::Clock),
];

const ERRORS: [(&str, c_int); 25] = [
    ("EINTR", libc::EINTR),
    ("EAGAIN", libc::EAGAIN),
    ("EIO", libc::EIO),
    ("ENOSPC", libc::ENOSPC),
    ("EDQUOT", libc::EDQUOT),
    ("ENOMEM", libc::ENOMEM),
    ("ENOBUFS", libc::ENOBUFS),
    ("EMFILE", libc::EMFILE),
    ("ENFILE", libc::ENFILE),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNRESET", libc::ECONNRESET),
    ("ECONNREFUSED", libc::ECONNREFUSED),
    ("EPIPE", libc::EPIPE),
    ("ETIMEDOUT", libc::ETIMEDOUT),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENETDOWN", libc::ENETDOWN),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("EPROTO", libc::EPROTO),
    ("EPERM", libc::EPERM),
    ("ENOTCONN", libc::ENOTCONN),
    ("EINVAL", libc::EINVAL),
    ("EADDRINUSE", libc::EADDRINUSE),
    ("EHOSTDOWN", libc::EHOSTDOWN),
    ("EACCES", libc::EACCES),
];

/// What a rule does to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this error number.
    Error(c_int),
    /// The connection is aborted, and the call fails with this error number.
    Broken(c_int),
    /// The call transfers at most this number of bytes.
    Short(usize),
    /// The wall clock is ahead by this number of milliseconds.
    Step(i64),
}

/// The kind of a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A socket.
    Socket,
    /// A socket on which this process called `connect`.
    Dialled,
    /// A socket that this process accepted.
    Accepted,
    /// A Unix socket, for example of a pair.
    Local,
    /// A regular file.
    File,
    /// An anonymous inode, such as an eventfd: no socket, file, pipe, directory or device.
    Event,
}

/// One rule of the plan.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// The function.
    pub call: Call,
    /// The fault that it injects.
    pub fault: Fault,
    /// The probability that a call other than the first fails.
    pub probability: f64,
    /// When the rule begins to apply, in milliseconds since the start of the process.
    pub from_ms: u64,
    /// For how long it applies, in milliseconds.
    pub for_ms: u64,
    /// The number of calls that it applies to.
    pub first: u64,
    /// The kind of descriptors that it applies to; `None`: all.
    pub on: Option<Kind>,
}

/// Parses a plan.
///
/// # Errors
/// The text of the first invalid rule.
pub fn parse(plan: &str) -> Result<Vec<Rule>, String> {
    let rules = plan.split(';').map(str::trim).filter(|rule| !rule.is_empty());
    rules.map(|text| parse_rule(text).ok_or_else(|| text.to_string())).collect()
}

fn parse_rule(text: &str) -> Option<Rule> {
    let mut parts = text.split(':');
    let call = find_by_name(&CALLS, parts.next()?)?;
    let fault = parse_fault(parts.next()?)?;
    let probability = parts.next()?.parse().ok()?;
    let mut rule = Rule { call, fault, probability, from_ms: 0, for_ms: u64::MAX, first: u64::MAX, on: None };
    for option in parts {
        let (name, value) = option.split_once('=')?;
        match name {
            "from_ms" => rule.from_ms = value.parse().ok()?,
            "for_ms" => rule.for_ms = value.parse().ok()?,
            "first" => rule.first = value.parse().ok()?,
            "on" => rule.on = Some(parse_kind(value)?),
            _ => return None,
        }
    }
    Some(rule)
}

fn parse_fault(text: &str) -> Option<Fault> {
    match text.split_once('=') {
        Some(("broken", error)) => find_by_name(&ERRORS, error).map(Fault::Broken),
        Some(("short", max_bytes)) => max_bytes.parse().ok().map(Fault::Short),
        Some(("step", ms)) => ms.parse().ok().map(Fault::Step),
        Some(_) => None,
        None => find_by_name(&ERRORS, text).map(Fault::Error),
    }
}

fn parse_kind(text: &str) -> Option<Kind> {
    match text {
        "socket" => Some(Kind::Socket),
        "dialled" => Some(Kind::Dialled),
        "accepted" => Some(Kind::Accepted),
        "local" => Some(Kind::Local),
        "file" => Some(Kind::File),
        "event" => Some(Kind::Event),
        _ => None,
    }
}

fn find_by_name<T: Copy>(all: &[(&str, T)], name: &str) -> Option<T> {
    all.iter().find(|(known, _)| *known == name).map(|(_, value)| *value)
}

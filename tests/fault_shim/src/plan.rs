//! The plan: which calls fail, how, how often and when.
//!
//! A rule is `CALL:FAULT:PROBABILITY`, with options behind it that are separated by `:` as well:
//!
//! - CALL is a name of [`Call`], as `recv` or `accept4`.
//! - FAULT is the name of an error, as `EINTR`; `broken=ERROR`: the same, of a connection that is over from then on, as after
//!   that error of a real one; `short=N`: at most N bytes are moved; or, for `clock` alone, `step=MS`: the
//!   wall clock is ahead by so many milliseconds (behind, where negative).
//! - PROBABILITY is from 0 to 1. The first call that a rule applies to fails whatever it is, so that no run of a plan goes
//!   without a fault of each rule by chance; of two rules for one call the earlier one comes first.
//! - `from_ms=N` and `for_ms=N`: the rule holds from so long after the process began, for so long.
//! - `first=N`: the rule holds for the first N calls only.
//! - `on=socket`, `on=file`, `on=event`, `on=dialled`, `on=accepted`, `on=local`: the rule holds for descriptors of that kind only.

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
    /// It fails with this error number.
    Error(c_int),
    /// Its connection breaks, and it fails with this error number.
    Broken(c_int),
    /// It moves so many bytes at most.
    Short(usize),
    /// The wall clock is ahead by so many milliseconds.
    Step(i64),
}

/// What a descriptor is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A socket.
    Socket,
    /// A socket that was connected from here.
    Dialled,
    /// A socket that was accepted here.
    Accepted,
    /// A Unix socket, as of a pair.
    Local,
    /// A regular file.
    File,
    /// Neither, nor a pipe, folder or device: an eventfd, for one.
    Event,
}

/// One rule of the plan.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// The function.
    pub call: Call,
    /// What it does.
    pub fault: Fault,
    /// How likely each call but the first fails.
    pub probability: f64,
    /// From when on, in milliseconds since the process began.
    pub from_ms: u64,
    /// For how long.
    pub for_ms: u64,
    /// For how many calls.
    pub first: u64,
    /// For which descriptors; `None`: for all.
    pub on: Option<Kind>,
}

/// Reads a plan.
///
/// # Errors
/// The rule that can't be read.
pub fn parse(plan: &str) -> Result<Vec<Rule>, String> {
    let rules = plan.split(';').map(str::trim).filter(|rule| !rule.is_empty());
    rules.map(|text| rule(text).ok_or_else(|| text.to_string())).collect()
}

fn rule(text: &str) -> Option<Rule> {
    let mut parts = text.split(':');
    let call = named(&CALLS, parts.next()?)?;
    let fault = fault(parts.next()?)?;
    let probability = parts.next()?.parse().ok()?;
    let mut rule = Rule { call, fault, probability, from_ms: 0, for_ms: u64::MAX, first: u64::MAX, on: None };
    for option in parts {
        let (name, value) = option.split_once('=')?;
        match name {
            "from_ms" => rule.from_ms = value.parse().ok()?,
            "for_ms" => rule.for_ms = value.parse().ok()?,
            "first" => rule.first = value.parse().ok()?,
            "on" => rule.on = Some(kind(value)?),
            _ => return None,
        }
    }
    Some(rule)
}

fn fault(text: &str) -> Option<Fault> {
    match text.split_once('=') {
        Some(("broken", error)) => named(&ERRORS, error).map(Fault::Broken),
        Some(("short", most)) => most.parse().ok().map(Fault::Short),
        Some(("step", ms)) => ms.parse().ok().map(Fault::Step),
        Some(_) => None,
        None => named(&ERRORS, text).map(Fault::Error),
    }
}

fn kind(text: &str) -> Option<Kind> {
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

fn named<T: Copy>(all: &[(&str, T)], name: &str) -> Option<T> {
    all.iter().find(|(known, _)| *known == name).map(|(_, value)| *value)
}

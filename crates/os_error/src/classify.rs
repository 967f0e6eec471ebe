//! The classification: a call and an error number give a [`Class`].

use std::io::{self, ErrorKind};

/// The calls whose errors differ in meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept4(2)`: also reports what befell the new connection, or one that is gone already.
    Accept,
    /// `connect(2)`, and the error that a socket holds once its connection attempt is over.
    Connect,
    /// `recv(2)`, `send(2)`, `writev(2)` and peeking, on a connected stream.
    Stream,
    /// `recvfrom(2)` and `sendto(2)` on a datagram socket.
    Datagram,
    /// `socket(2)`, `bind(2)`, `listen(2)`, `setsockopt(2)`, `socketpair(2)`, `epoll_create1(2)`, `eventfd(2)`,
    /// `epoll_ctl(2)` to add a descriptor, `pthread_create(3)`: what makes something that was not there.
    Create,
    /// `open(2)`, `read(2)`, `write(2)`, `fsync(2)`, `rename(2)` and the like, on files and folders.
    File,
}

/// What to do after a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Nothing happened, or it concerns something else than what was asked for: call again now.
    TryAgain,
    /// There is nothing to do at present: wait until the descriptor is ready.
    WaitForReadiness,
    /// Something is short on this machine (descriptors, memory, buffers, ports, space, a route, a working disk), as a rule
    /// for a moment: make room where possible, pause, and call again.
    OutOfResources,
    /// The connection, or the attempt to make one, is over; everything else goes on.
    ConnectionOver,
    /// The call can't succeed, whoever repeats it: the program or its configuration is wrong.
    Permanent,
}

impl Class {
    /// May the same call succeed a moment later, with nothing changed by its caller?
    pub fn is_transient(self) -> bool {
        matches!(self, Self::TryAgain | Self::OutOfResources)
    }
}

/// `ERESTARTSYS`, which `accept(2)` says may be seen during a trace.
const ERESTARTSYS: i32 = 512;

/// What a failed call means. Errors without a number, as those of a codec, are judged by their kind.
pub fn classify(call: Call, error: &io::Error) -> Class {
    match error.raw_os_error() {
        Some(number) => by_number(call, number),
        None => by_kind(call, error.kind()),
    }
}

fn by_kind(call: Call, kind: ErrorKind) -> Class {
    match kind {
        ErrorKind::Interrupted => Class::TryAgain,
        ErrorKind::WouldBlock => Class::WaitForReadiness,
        ErrorKind::OutOfMemory => Class::OutOfResources,
        _ if matches!(call, Call::Stream | Call::Connect | Call::Accept) => Class::ConnectionOver,
        _ => Class::Permanent,
    }
}

fn by_number(call: Call, number: i32) -> Class {
    match number {
        libc::EINTR => Class::TryAgain,
        libc::ENOMEM | libc::ENOBUFS | libc::EMFILE | libc::ENFILE => Class::OutOfResources,
        _ => match call {
            Call::Accept => accept(number),
            Call::Connect => connect(number),
            Call::Stream => stream(number),
            Call::Datagram => datagram(number),
            Call::Create => create(number),
            Call::File => file(number),
        },
    }
}

/// accept(2): "Linux accept() passes already-pending network errors on the new socket as an error code from accept() ...
/// the application should detect the network errors defined for the protocol after accept() and treat them like EAGAIN by
/// retrying."
fn accept(number: i32) -> Class {
    match number {
        libc::EAGAIN => Class::WaitForReadiness,
        libc::EBADF | libc::EFAULT | libc::EINVAL | libc::ENOTSOCK => Class::Permanent,
        // ECONNABORTED, EPERM, EPROTO, ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH,
        // ENOSR, ESOCKTNOSUPPORT, EPROTONOSUPPORT, ETIMEDOUT, ERESTARTSYS: all of one connection.
        _ => Class::TryAgain,
    }
}

fn connect(number: i32) -> Class {
    match number {
        libc::EINPROGRESS | libc::EALREADY => Class::WaitForReadiness,
        // No free port, no route or no device at this end; EAGAIN: no entry left in the routing cache.
        libc::EADDRNOTAVAIL | libc::EADDRINUSE | libc::EAGAIN | libc::ENETUNREACH | libc::ENETDOWN => {
            Class::OutOfResources
        }
        libc::EBADF | libc::EFAULT | libc::ENOTSOCK | libc::EAFNOSUPPORT | libc::EPROTOTYPE => {
            Class::Permanent
        }
        // ECONNREFUSED, ECONNRESET, ETIMEDOUT, EHOSTUNREACH, EHOSTDOWN, EACCES, EPERM: the other side's, or on the way.
        _ => Class::ConnectionOver,
    }
}

fn stream(number: i32) -> Class {
    match number {
        libc::EAGAIN => Class::WaitForReadiness,
        ERESTARTSYS => Class::TryAgain,
        libc::EBADF | libc::EFAULT | libc::EINVAL | libc::ENOTSOCK => Class::Permanent,
        // ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ENETDOWN, ENOTCONN, ECONNABORTED and what else TCP tells.
        _ => Class::ConnectionOver,
    }
}

fn datagram(number: i32) -> Class {
    match number {
        libc::EAGAIN => Class::WaitForReadiness,
        // An earlier datagram was turned away, or this one can't go at present: the next is another.
        libc::ECONNREFUSED
        | libc::ECONNRESET
        | libc::EHOSTUNREACH
        | libc::EHOSTDOWN
        | libc::ENETUNREACH
        | libc::ENETDOWN
        | libc::ETIMEDOUT
        | libc::EPERM
        | libc::EACCES
        | libc::EMSGSIZE
        | libc::EADDRNOTAVAIL => Class::ConnectionOver,
        _ => Class::Permanent,
    }
}

fn create(number: i32) -> Class {
    match number {
        // EAGAIN: no thread for now; ENOSPC: no room for another watch of epoll(7); EADDRNOTAVAIL and ENODEV: the address or
        // the device is not there yet.
        libc::EAGAIN | libc::ENOSPC | libc::EADDRNOTAVAIL | libc::ENODEV | libc::ENETDOWN => {
            Class::OutOfResources
        }
        _ => Class::Permanent,
    }
}

fn file(number: i32) -> Class {
    match number {
        libc::ENOSPC
        | libc::EDQUOT
        | libc::EIO
        | libc::EAGAIN
        | libc::EBUSY
        | libc::ESTALE
        | libc::ETIMEDOUT
        | libc::EREMOTEIO
        | libc::ENOLCK => Class::OutOfResources,
        _ => Class::Permanent,
    }
}

#[cfg(test)]
mod tests;

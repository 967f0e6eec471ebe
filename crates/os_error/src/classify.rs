//! The classification of errors: the call and the error number determine the [`Class`].

use std::io::{self, ErrorKind};

/// Groups of system calls. The same error number can have different meanings in different groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept4(2)`, which also reports errors of the new connection, or of one that is already gone.
    Accept,
    /// `connect(2)`, and the pending error of a socket after its connection attempt.
    Connect,
    /// `recv(2)`, `send(2)`, `writev(2)` and peeking, on a connected stream.
    Stream,
    /// `recvfrom(2)` and `sendto(2)` on a datagram socket.
    Datagram,
    /// `socket(2)`, `bind(2)`, `listen(2)`, `setsockopt(2)`, `socketpair(2)`, `epoll_create1(2)`,
    /// `eventfd(2)`, `epoll_ctl(2)` to add a descriptor, `pthread_create(3)`: calls that create or set up a
    /// resource.
    Create,
    /// `open(2)`, `read(2)`, `write(2)`, `fsync(2)`, `rename(2)` and the like, on files and directories.
    File,
}

/// What to do after a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// The call had no effect, or the error concerns something else than the request: repeat the call now.
    TryAgain,
    /// The descriptor is not ready: wait until it is.
    WaitForReadiness,
    /// This machine lacks a resource (descriptors, memory, buffers, ports, disk space, a route, a working
    /// disk), usually for a short time: release resources where possible, pause, and repeat the call.
    OutOfResources,
    /// The connection, or the attempt to open it, has ended; nothing else is affected.
    ConnectionOver,
    /// The call can't succeed when repeated: the program or its configuration is wrong.
    Permanent,
}

impl Class {
    /// Returns whether the same call may succeed a short time later without any change by its caller.
    pub fn is_transient(self) -> bool {
        matches!(self, Self::TryAgain | Self::OutOfResources)
    }
}

/// `ERESTARTSYS`, which may be seen during a trace according to `accept(2)`.
const ERESTARTSYS: i32 = 512;

/// Classifies the error of a call. Errors without a number, such as those of a codec, are classified by their
/// kind.
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

/// accept(2): "Linux accept() passes already-pending network errors on the new socket as an error code from
/// accept() ... the application should detect the network errors defined for the protocol after accept() and
/// treat them like EAGAIN by retrying."
fn accept(number: i32) -> Class {
    match number {
        libc::EAGAIN => Class::WaitForReadiness,
        libc::EBADF | libc::EFAULT | libc::EINVAL | libc::ENOTSOCK => Class::Permanent,
        // ECONNABORTED, EPERM, EPROTO, ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH, EOPNOTSUPP,
        // ENETUNREACH, ENOSR, ESOCKTNOSUPPORT, EPROTONOSUPPORT, ETIMEDOUT, ERESTARTSYS: errors of a single
        // connection.
        _ => Class::TryAgain,
    }
}

fn connect(number: i32) -> Class {
    match number {
        libc::EINPROGRESS | libc::EALREADY => Class::WaitForReadiness,
        // No free port, no route or no device on this side; EAGAIN: the routing cache has no free entry.
        libc::EADDRNOTAVAIL | libc::EADDRINUSE | libc::EAGAIN | libc::ENETUNREACH | libc::ENETDOWN => {
            Class::OutOfResources
        }
        libc::EBADF | libc::EFAULT | libc::ENOTSOCK | libc::EAFNOSUPPORT | libc::EPROTOTYPE => {
            Class::Permanent
        }
        // ECONNREFUSED, ECONNRESET, ETIMEDOUT, EHOSTUNREACH, EHOSTDOWN, EACCES, EPERM: an error of the peer
        // or of the network path to it.
        _ => Class::ConnectionOver,
    }
}

fn stream(number: i32) -> Class {
    match number {
        libc::EAGAIN => Class::WaitForReadiness,
        ERESTARTSYS => Class::TryAgain,
        libc::EBADF | libc::EFAULT | libc::EINVAL | libc::ENOTSOCK => Class::Permanent,
        // ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ENETDOWN, ENOTCONN, ECONNABORTED and
        // further errors that TCP reports.
        _ => Class::ConnectionOver,
    }
}

fn datagram(number: i32) -> Class {
    match number {
        libc::EAGAIN => Class::WaitForReadiness,
        // An earlier datagram was rejected, or this one can't be sent now; later datagrams are independent of
        // it.
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
        // EAGAIN: no thread available now; ENOSPC: the limit of epoll(7) watches is reached; EADDRNOTAVAIL
        // and ENODEV: the address or the device does not exist yet.
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

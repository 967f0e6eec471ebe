use std::io;

use super::{classify, Call, Class};

fn of(call: Call, number: i32) -> Class {
    classify(call, &io::Error::from_raw_os_error(number))
}

#[test]
fn every_call_is_repeated_when_interrupted_and_waits_for_resources() {
    for call in [Call::Accept, Call::Connect, Call::Stream, Call::Datagram, Call::Create, Call::File] {
        assert_eq!(of(call, libc::EINTR), Class::TryAgain, "{call:?}");
        for number in [libc::ENOMEM, libc::ENOBUFS, libc::EMFILE, libc::ENFILE] {
            assert_eq!(of(call, number), Class::OutOfResources, "{call:?} {number}");
        }
    }
}

/// The same number means one thing where a connection is accepted and another where one is made or used.
#[test]
fn the_meaning_of_a_number_depends_on_the_call() {
    use Class::{ConnectionOver, OutOfResources, Permanent, TryAgain, WaitForReadiness};
    for (number, accept, connect, stream) in [
        (libc::EAGAIN, WaitForReadiness, OutOfResources, WaitForReadiness),
        (libc::ECONNABORTED, TryAgain, ConnectionOver, ConnectionOver),
        (libc::EPERM, TryAgain, ConnectionOver, ConnectionOver),
        (libc::EPROTO, TryAgain, ConnectionOver, ConnectionOver),
        (libc::ENETUNREACH, TryAgain, OutOfResources, ConnectionOver),
        (libc::EHOSTUNREACH, TryAgain, ConnectionOver, ConnectionOver),
        (libc::ETIMEDOUT, TryAgain, ConnectionOver, ConnectionOver),
        (libc::EADDRNOTAVAIL, TryAgain, OutOfResources, ConnectionOver),
        (libc::EPIPE, TryAgain, ConnectionOver, ConnectionOver),
        (libc::EBADF, Permanent, Permanent, Permanent),
    ] {
        assert_eq!(of(Call::Accept, number), accept, "accept {number}");
        assert_eq!(of(Call::Connect, number), connect, "connect {number}");
        assert_eq!(of(Call::Stream, number), stream, "stream {number}");
    }
    assert_eq!(of(Call::Connect, libc::EINPROGRESS), WaitForReadiness);
    for number in [libc::ENOSPC, libc::EIO, libc::EDQUOT] {
        assert_eq!(of(Call::File, number), OutOfResources, "file {number}");
    }
    for number in [libc::ENOENT, libc::EACCES, libc::EROFS] {
        assert_eq!(of(Call::File, number), Permanent, "file {number}");
    }
    for number in [libc::EADDRINUSE, libc::EACCES] {
        assert_eq!(of(Call::Create, number), Permanent, "create {number}");
    }
    for number in [libc::ECONNREFUSED, libc::ENETUNREACH] {
        assert_eq!(of(Call::Datagram, number), ConnectionOver, "datagram {number}");
    }
}

#[test]
fn errors_without_a_number_go_by_their_kind() {
    let of = |call, kind: io::ErrorKind| classify(call, &kind.into());
    assert_eq!(of(Call::File, io::ErrorKind::Interrupted), Class::TryAgain);
    assert_eq!(of(Call::Stream, io::ErrorKind::UnexpectedEof), Class::ConnectionOver);
    assert_eq!(of(Call::File, io::ErrorKind::InvalidData), Class::Permanent);
}

use std::io;

use super::{classify, Call, Class};

fn class_of(call: Call, number: i32) -> Class {
    classify(call, &io::Error::from_raw_os_error(number))
}

#[test]
fn interruptions_and_shortages_have_the_same_class_for_every_call() {
    for call in [Call::Accept, Call::Connect, Call::Stream, Call::Datagram, Call::Create, Call::File] {
        assert_eq!(class_of(call, libc::EINTR), Class::TryAgain, "{call:?}");
        for number in [libc::ENOMEM, libc::ENOBUFS, libc::EMFILE, libc::ENFILE] {
            assert_eq!(class_of(call, number), Class::OutOfResources, "{call:?} {number}");
        }
    }
}

/// The same error number has different meanings for accepting, opening and using a connection.
#[test]
fn the_class_of_an_error_number_depends_on_the_call() {
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
        assert_eq!(class_of(Call::Accept, number), accept, "accept {number}");
        assert_eq!(class_of(Call::Connect, number), connect, "connect {number}");
        assert_eq!(class_of(Call::Stream, number), stream, "stream {number}");
    }
    assert_eq!(class_of(Call::Connect, libc::EINPROGRESS), WaitForReadiness);
    for number in [libc::ENOSPC, libc::EIO, libc::EDQUOT] {
        assert_eq!(class_of(Call::File, number), OutOfResources, "file {number}");
    }
    for number in [libc::ENOENT, libc::EACCES, libc::EROFS] {
        assert_eq!(class_of(Call::File, number), Permanent, "file {number}");
    }
    for number in [libc::EADDRINUSE, libc::EACCES] {
        assert_eq!(class_of(Call::Create, number), Permanent, "create {number}");
    }
    for number in [libc::ECONNREFUSED, libc::ENETUNREACH] {
        assert_eq!(class_of(Call::Datagram, number), ConnectionOver, "datagram {number}");
    }
}

#[test]
fn errors_without_a_number_are_classified_by_their_kind() {
    let class_of = |call, kind: io::ErrorKind| classify(call, &kind.into());
    assert_eq!(class_of(Call::File, io::ErrorKind::Interrupted), Class::TryAgain);
    assert_eq!(class_of(Call::Stream, io::ErrorKind::UnexpectedEof), Class::ConnectionOver);
    assert_eq!(class_of(Call::File, io::ErrorKind::InvalidData), Class::Permanent);
}

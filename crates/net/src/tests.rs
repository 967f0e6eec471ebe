use std::future::{poll_fn, Future};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use crate::{connect, listen, register, ConnectError, Listener, Stream};

/// Runs a future on a new runtime; it must complete within 30 s.
fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async { timeout(Duration::from_secs(30), future).await.expect("the future completes") })
}

/// Opens a connection and returns its two ends.
async fn connected_pair() -> (Stream, Stream) {
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::new(listen(any_port, false).expect("a port")).expect("a runtime");
    let near = connect(listener.get_ref().local_addr().expect("bound")).await.expect("the listener accepts");
    assert!(near.peer_address().is_ok());
    let far = listener.accept().await.expect("a connection is pending").socket;
    let another = timeout(Duration::from_millis(20), listener.accept());
    assert!(another.await.is_err(), "no other connection is pending");
    (near, Stream::new(far).expect("the connection can be registered"))
}

/// Writes some bytes.
async fn send(stream: &Stream, bytes: &[u8]) -> std::io::Result<usize> {
    poll_fn(|cx| stream.poll_send(cx, bytes)).await
}

#[test]
fn bytes_pass_in_both_directions_until_the_end() {
    run(async {
        let (mut near, mut far) = connected_pair().await;
        assert!(near.is_quiet() && near.is_quiet_cached());
        let sent = vec![7; 100_000];
        let write = async {
            far.write_all(&sent).await.expect("the connection is open");
            far.shutdown().await.expect("the connection is open");
        };
        let mut received = Vec::new();
        let (read, ()) = tokio::join!(near.read_to_end(&mut received), write);
        assert_eq!((read.ok(), received == sent), (Some(sent.len()), true));
        near.closed_by_peer().await;
        near.write_all(b"half closed").await.expect("the other direction is open");
        let mut rest = [0; 11];
        far.read_exact(&mut rest).await.expect("the bytes arrive");
        assert_eq!(&rest, b"half closed");
    });
}

/// Guards against a peer that reads slowly being taken for one that reads nothing: the poller reports nothing
/// until a third of the send buffer is free.
#[test]
fn a_blocked_write_continues_while_most_of_the_send_buffer_is_full() {
    const READ_BYTES: usize = 300_000;
    run(async {
        let (near, mut far) = connected_pair().await;
        let piece = vec![7; 64 * 1024];
        let mut queued = 0;
        while let Ok(written) = timeout(Duration::from_millis(200), send(&near, &piece)).await {
            queued += written.expect("the connection is open");
        }
        assert!(queued > 6 * READ_BYTES, "{queued} bytes");
        for _ in 0..3 {
            far.read_exact(&mut vec![0; READ_BYTES]).await.expect("the bytes have arrived");
            let written = timeout(Duration::from_secs(5), send(&near, &piece)).await;
            assert!(written.expect("the write continues").is_ok_and(|count| count > 0));
        }
        let blocked = timeout(Duration::from_secs(3), async { while send(&near, &piece).await.is_ok() {} });
        assert!(blocked.await.is_err(), "a peer that reads nothing blocks the write");
    });
}

#[test]
fn a_reset_ends_the_connection() {
    run(async {
        let (mut near, far) = connected_pair().await;
        assert!(far.reset_on_close());
        drop(far);
        near.closed_by_peer().await;
        assert!(near.read(&mut [0; 8]).await.is_err());
    });
}

#[test]
fn a_refused_connection_is_a_remote_error() {
    run(async {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any_port: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any_port.into()).expect("a port");
        let refusing = socket.local_addr().expect("bound").as_socket().expect("an address");
        assert!(matches!(connect(refusing).await, Err(ConnectError::Remote(_))));
    });
}

/// The poller refuses regular files, which serves here as a failed registration.
#[test]
fn a_descriptor_that_cannot_be_registered_stays_open() {
    run(async {
        let program = std::env::current_exe().expect("the test's own path");
        let file = std::fs::File::open(program).expect("the file exists");
        let failed = register(file).expect_err("regular files are refused");
        assert!(failed.inner.metadata().is_ok());
        assert!(failed.retry().await.is_err(), "regular files are always refused");
    });
}

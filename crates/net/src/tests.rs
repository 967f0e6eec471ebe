use std::future::Future;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use crate::{connect, listen, register, ConnectError, Listener, Stream};

/// Runs to its end, which must come.
fn play<T>(story: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async { timeout(Duration::from_secs(30), story).await.expect("it ends") })
}

/// Both ends of a connection.
async fn pair() -> (Stream, Stream) {
    let nowhere_else = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::new(listen(nowhere_else, false).expect("a port")).expect("a runtime");
    let near = connect(listener.get_ref().local_addr().expect("bound")).await.expect("it listens");
    assert!(near.peer_address().is_ok());
    let far = listener.accept().await.expect("one has come").socket;
    let another = timeout(Duration::from_millis(20), listener.accept());
    assert!(another.await.is_err(), "no other waits");
    (near, Stream::new(far).expect("it is registered"))
}

#[test]
fn bytes_go_both_ways_up_to_the_end() {
    play(async {
        let (mut near, mut far) = pair().await;
        assert!(near.is_quiet() && near.is_quiet_cached());
        let sent = vec![7; 100_000];
        let write = async {
            far.write_all(&sent).await.expect("it is open");
            far.shutdown().await.expect("it is open");
        };
        let mut came = Vec::new();
        let (read, ()) = tokio::join!(near.read_to_end(&mut came), write);
        assert_eq!((read.ok(), came == sent), (Some(sent.len()), true));
        near.closed_by_peer().await;
        near.write_all(b"half closed").await.expect("the other way is open");
        let mut heard = [0; 11];
        far.read_exact(&mut heard).await.expect("it comes");
        assert_eq!(&heard, b"half closed");
    });
}

#[test]
fn a_reset_is_the_connections_end() {
    play(async {
        let (mut near, far) = pair().await;
        assert!(far.reset_on_close());
        drop(far);
        near.closed_by_peer().await;
        assert!(near.read(&mut [0; 8]).await.is_err());
    });
}

#[test]
fn a_refused_connection_is_the_other_ends_failure() {
    play(async {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let nowhere_else: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&nowhere_else.into()).expect("a port");
        let refusing = socket.local_addr().expect("bound").as_socket().expect("an address");
        assert!(matches!(connect(refusing).await, Err(ConnectError::Remote(_))));
    });
}

/// The poll takes no plain file, which is what a failed registration is like.
#[test]
fn what_can_not_be_registered_stays_open() {
    play(async {
        let program = std::env::current_exe().expect("it runs");
        let file = std::fs::File::open(program).expect("it is there");
        let failed = register(file).expect_err("a plain file");
        assert!(failed.inner.metadata().is_ok());
        assert!(failed.retry().await.is_err(), "it never can be");
    });
}

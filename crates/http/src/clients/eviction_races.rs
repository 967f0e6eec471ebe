//! Races between evictions or other closes and bytes that arrive at the same time: on real sockets, written
//! between the decision to close and the poll in which the connection's task learns of it.

use std::future::{poll_fn, Future};
use std::pin::pin;

use tokio::net::TcpStream;

use super::test_node::*;
use super::*;

/// The status of the next response; `None` if the connection ends instead.
async fn next_status(peer: &TcpStream) -> Option<u16> {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        peer.readable().await.expect("a socket");
        let mut buffer = [0; 512];
        match peer.try_read(&mut buffer) {
            Ok(0) => return None,
            Ok(n) => received.extend_from_slice(&buffer[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
    String::from_utf8_lossy(&received).split(' ').nth(1).and_then(|s| s.parse().ok())
}

/// Writes without yielding, so that nothing else runs meanwhile.
fn write(peer: &TcpStream, bytes: &[u8]) {
    assert_eq!(peer.try_write(bytes).expect("buffer space"), bytes.len());
}

fn only_connection(clients: &ClientConnections) -> Rc<ClientConnection> {
    clients.open.borrow().values().next().cloned().expect("one is open")
}

#[test]
fn a_request_that_crosses_the_close_of_its_connection_is_answered() {
    // A connection closed by eviction, and one closed for any other reason, as an idle timeout or shutdown.
    let evict = |clients: &ClientConnections| clients.evict();
    let request_close = |clients: &ClientConnections| only_connection(clients).close_notify.notify_one();
    for decide in [&evict as &dyn Fn(&ClientConnections), &request_close] {
        for (used, crosses) in [(true, true), (false, true), (true, false), (false, false)] {
            run_test(async {
                let (clients, listener) = (new_clients(64, 1000.0), new_listener().await);
                let peer = connected(&clients, &listener).await;
                if used {
                    write(&peer, READY);
                    assert_eq!(next_status(&peer).await, Some(503));
                    until("it is idle", || {
                        only_connection(&clients).stream.phase().0 == ConnectionPhase::Idle
                    })
                    .await;
                }
                decide(&clients);
                if crosses {
                    write(&peer, READY);
                    assert_eq!(next_status(&peer).await, Some(503), "used {used}");
                    assert!(!only_connection(&clients).evicted.get(), "it may be evicted another time");
                    // The other order: the bytes have arrived before the decision.
                    write(&peer, READY);
                    clients.evict();
                    assert_eq!(next_status(&peer).await, Some(503), "used {used}");
                    until("it is idle", || {
                        only_connection(&clients).stream.phase().0 == ConnectionPhase::Idle
                    })
                    .await;
                    decide(&clients);
                }
                assert_eq!(next_status(&peer).await, None, "used {used}");
                until("it is closed", || clients.count() == 0).await;
            });
        }
    }
}

/// The rest of a slow request arrives just when its connection is chosen for eviction.
#[test]
fn a_partial_request_chosen_for_eviction_is_answered_if_its_rest_crosses_the_decision() {
    for crosses in [true, false] {
        run_test(async {
            let (clients, listener) = (new_clients(64, 1000.0), new_listener().await);
            let peer = connected(&clients, &listener).await;
            write(&peer, &READY[..20]);
            until("the connection is chosen", || {
                clients.evict();
                only_connection(&clients).evicted.get()
            })
            .await;
            if crosses {
                write(&peer, &READY[20..]);
            }
            assert_eq!(next_status(&peer).await, crosses.then_some(503));
        });
    }
}

/// A burst of connections waits in the backlog: a new one is accepted only when another has been closed.
#[test]
fn a_burst_is_accepted_within_the_limit() {
    run_test(async {
        let (clients, listener) = (new_clients(64, 1000.0), new_listener().await);
        let max = clients.max;
        let mut burst = Vec::new();
        for _ in 0..4 * max {
            burst.push(TcpStream::connect(address(&listener)).await.expect("it listens"));
        }
        // The count is observed after each poll of the accept loop, so that no maximum is missed. It includes
        // connections that have not closed yet, as they hold their descriptors.
        let max_count = Rc::new(Cell::new(0));
        let (accepting_clients, observed) = (clients.clone(), max_count.clone());
        tokio::task::spawn_local(async move {
            let mut accepting = pin!(accepting_clients.accept(&listener));
            poll_fn(|cx| {
                let polled = accepting.as_mut().poll(cx);
                observed.set(observed.get().max(accepting_clients.count()));
                polled
            })
            .await;
        });
        until("the last connection is accepted", || clients.last_id.get() == 4 * max as u64).await;
        assert_eq!(max_count.get(), max);
    });
}

/// All permitted connections are busy; one that becomes idle without closing must make room for a new one.
#[test]
fn a_connection_that_becomes_idle_makes_room_for_a_waiting_one() {
    run_test(async {
        let (clients, listener) = (new_clients(64, 1000.0), new_listener().await);
        let listener_address = address(&listener);
        let mut open_streams = Vec::new();
        for _ in 0..clients.max {
            open_streams.push(connected(&clients, &listener).await);
        }
        let all: Vec<Rc<ClientConnection>> = clients.open.borrow().values().cloned().collect();
        all.iter().for_each(|c| c.stream.enter_phase(ConnectionPhase::Busy));
        let accepting_clients = clients.clone();
        tokio::task::spawn_local(async move { accepting_clients.accept(&listener).await });
        let newcomer = TcpStream::connect(listener_address).await.expect("it listens");
        write(&newcomer, READY);
        // The accept loop has run and found no connection to evict.
        for _ in 0..3 {
            tokio::task::yield_now().await;
        }
        assert_eq!(clients.last_id.get(), all.len() as u64);
        all[0].stream.enter_phase(ConnectionPhase::Idle);
        assert_eq!(next_status(&newcomer).await, Some(503));
    });
}

//! A connection is to be closed, and bytes come in that very moment: on real sockets, written between the decision and the
//! turn in which the connection's task hears of it.

use std::future::{poll_fn, Future};
use std::pin::pin;

use tokio::net::TcpStream;

use super::harness::*;
use super::*;

/// The status of what is answered next; `None` where the connection ends instead.
async fn heard(far: &TcpStream) -> Option<u16> {
    let mut came = Vec::new();
    while !came.ends_with(b"\r\n\r\n") {
        far.readable().await.expect("a socket");
        let mut some = [0; 512];
        match far.try_read(&mut some) {
            Ok(0) => return None,
            Ok(n) => came.extend_from_slice(&some[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
    String::from_utf8_lossy(&came).split(' ').nth(1).and_then(|s| s.parse().ok())
}

/// Written in this turn: nothing else runs meanwhile.
fn write(far: &TcpStream, bytes: &[u8]) {
    assert_eq!(far.try_write(bytes).expect("room for it"), bytes.len());
}

fn only(clients: &ClientConnections) -> Rc<Client> {
    clients.open.borrow().values().next().cloned().expect("one is open")
}

#[test]
fn a_request_that_crosses_the_closing_of_its_connection_is_answered() {
    // What makes room, what has been idle for too long, and what a node that ends closes.
    let evict = |clients: &ClientConnections| clients.evict();
    let notify = |clients: &ClientConnections| only(clients).close.notify_one();
    for decide in [&evict as &dyn Fn(&ClientConnections), &notify] {
        for (spoke, crossing) in [(true, true), (false, true), (true, false), (false, false)] {
            play(async {
                let (clients, listener) = (clients(64, 1000.0), listener().await);
                let far = connected(&clients, &listener).await;
                if spoke {
                    write(&far, READY);
                    assert_eq!(heard(&far).await, Some(503));
                    until("it is idle", || only(&clients).sock.phase().0 == ConnectionPhase::Idle).await;
                }
                decide(&clients);
                if crossing {
                    write(&far, READY);
                    assert_eq!(heard(&far).await, Some(503), "spoke {spoke}");
                    assert!(!only(&clients).evicted.get(), "it may be evicted another time");
                    // The other order: what has come is seen when it is decided.
                    write(&far, READY);
                    clients.evict();
                    assert_eq!(heard(&far).await, Some(503), "spoke {spoke}");
                    until("it is idle", || only(&clients).sock.phase().0 == ConnectionPhase::Idle).await;
                    decide(&clients);
                }
                assert_eq!(heard(&far).await, None, "spoke {spoke}");
                until("it is closed", || clients.count() == 0).await;
            });
        }
    }
}

/// The rest of a request that was coming for too long comes as it has to make room.
#[test]
fn half_a_request_that_makes_room_is_answered_if_the_rest_crosses_that() {
    for crossing in [true, false] {
        play(async {
            let (clients, listener) = (clients(64, 1000.0), listener().await);
            let far = connected(&clients, &listener).await;
            write(&far, &READY[..20]);
            until("it is chosen", || {
                clients.evict();
                only(&clients).evicted.get()
            })
            .await;
            if crossing {
                write(&far, &READY[20..]);
            }
            assert_eq!(heard(&far).await, crossing.then_some(503));
        });
    }
}

/// A crowd waits in the backlog: as many are let in as have been closed, and not one more.
#[test]
fn a_crowd_is_let_in_one_by_one() {
    play(async {
        let (clients, listener) = (clients(64, 1000.0), listener().await);
        let most = clients.most;
        let mut crowd = Vec::new();
        for _ in 0..4 * most {
            crowd.push(TcpStream::connect(address(&listener)).await.expect("it listens"));
        }
        // Looked at whenever those that accept have come to rest, so that no moment is missed. Those that have not closed yet
        // hold their descriptors.
        let held = Rc::new(Cell::new(0));
        let (watched, seen) = (clients.clone(), held.clone());
        tokio::task::spawn_local(async move {
            let mut accepting = pin!(watched.accept(&listener));
            poll_fn(|cx| {
                let polled = accepting.as_mut().poll(cx);
                seen.set(seen.get().max(watched.count()));
                polled
            })
            .await;
        });
        until("the last has come", || clients.last.get() == 4 * most as u64).await;
        assert_eq!(held.get(), most);
    });
}

/// All that may be held are busy or have just spoken; one that becomes idle makes room, though it does not close.
#[test]
fn one_that_becomes_idle_makes_room_for_who_waits() {
    play(async {
        let (clients, listener) = (clients(64, 1000.0), listener().await);
        let at = address(&listener);
        let mut held = Vec::new();
        for _ in 0..clients.most {
            held.push(connected(&clients, &listener).await);
        }
        let all: Vec<Rc<Client>> = clients.open.borrow().values().cloned().collect();
        all.iter().for_each(|c| c.sock.enter_phase(ConnectionPhase::Busy));
        let watched = clients.clone();
        tokio::task::spawn_local(async move { watched.accept(&listener).await });
        let newcomer = TcpStream::connect(at).await.expect("it listens");
        write(&newcomer, READY);
        // A turn of those that accept has found nobody who could go.
        for _ in 0..3 {
            tokio::task::yield_now().await;
        }
        assert_eq!(clients.last.get(), all.len() as u64);
        all[0].sock.enter_phase(ConnectionPhase::Idle);
        assert_eq!(heard(&newcomer).await, Some(503));
    });
}

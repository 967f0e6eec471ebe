//! A connection that is chosen to be closed while its next request comes, in one turn of the loop.

use std::io::Write;
use std::net::SocketAddr;

use magpietally_core::{Figures, Life, Process, Setup};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{yield_now, LocalSet};

use super::*;
use crate::config::Config;

const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
const ASKS: &[u8] = b"GET /look HTTP/1.1\r\nHost: x\r\nX-Txn: t\r\nX-Remaining-Ms: 20000\r\n\r\n";

fn node() -> Rc<Node> {
    let settings = json!({
        "Classes": [{"Name": "look", "Slo": 20000.0, "Deadline": 20000.0, "Idempotency": "pure", "Value": 1.0, "LateValue": 0.0}],
        "Contract": {"AskWithin": 10000.0, "ColdShare": 0.2, "WarmWithin": 20000.0, "FallMultiple": 3.0, "Fall": 1000.0},
        "Goal": {"Whole": 1.0, "WorstWindow": 0.0, "WorstClass": 0.0, "WorstTenant": 0.0}, "OverShareWorth": 1.0,
        "Discovery": "subscribe", "Weights": "nominal", "Me": 0, "PeersTotal": 1, "Tick": 1.0,
        "Limits": {"AttemptsCap": 1, "MayDuplicate": false, "Cancel": false, "Probes": false, "RetryAfter": false,
            "ConnectTimeout": 1000.0, "Keepalive": 15000.0, "OpenCap": 20000},
    });
    let nowhere: SocketAddr = ([127, 0, 0, 1], 1).into();
    let config = Config {
        name: "node-0".into(),
        listen: nowhere,
        discovery: nowhere,
        management: None,
        inherited: None,
        seed: 1,
        sockets: 512,
        memory_mb: 64,
        known: None,
        told: magpietally_settings::told(&settings).expect("good settings"),
        lasting: Default::default(),
    };
    let told = &config.told;
    let setup = Setup {
        settings: told.settings.clone(),
        seed: 1,
        classes: told.classes.clone(),
        tenants: Vec::new(),
        open_cap: 100,
        known: None,
        process: Process::new(1, Life::new(20_000.0, false)),
        label: String::new(),
        ledger: None,
        gate: None,
    };
    Core::new(setup, Http::new(config, None, Figures::new(1))).expect("good settings")
}

fn run(what: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let ended = LocalSet::new().block_on(&runtime, async { timeout(Duration::from_secs(30), what).await });
    assert!(ended.is_ok(), "it does not end");
}

/// A client that has asked once and rests, and the node's side of its connection.
async fn resting(clients: &Rc<Clients>, listener: &TcpListener) -> (TcpStream, Rc<Client>) {
    let at = listener.local_addr().expect("bound");
    let mut stream = TcpStream::connect(at).await.expect("it listens");
    let (accepted, _) = listener.accept().await.expect("it comes");
    clients.serve(accepted);
    let client = clients.open.borrow().get(&clients.last.get()).cloned().expect("it is open");
    stream.write_all(READY).await.expect("it is open");
    assert!(stream.read(&mut [0; 512]).await.expect("an answer") > 0);
    (stream, client)
}

/// The other order: one that has been read is not idle any more, whoever wants to close what is.
#[test]
fn a_request_that_was_read_is_not_closed_as_idle() {
    run(async {
        let node = node();
        let clients = Clients::new(node.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (stream, client) = resting(&clients, &listener).await;
        let (_rests, idle) = resting(&clients, &listener).await;
        node.process().change(|life| life.stop(Instant::now() - Duration::from_secs(3)));
        let mut stream = stream.into_std().expect("a socket");
        stream.write_all(ASKS).expect("it is open");
        // The kernel has it, and nobody has read it yet.
        clients.close_idle();
        assert_eq!(client.sock.phase().0, Phase::Idle);
        while client.sock.phase().0 != Phase::Busy {
            yield_now().await;
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
        clients.close_idle();
        clients.sweep();
        while clients.count() > 1 {
            yield_now().await;
        }
        assert_eq!((client.sock.phase().0, idle.sock.phase().0), (Phase::Busy, Phase::Idle));
    });
}

/// Answers are not held back for more to come: a close behind them would take them along.
#[test]
fn nothing_small_is_held_back_on_either_side() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        for open in [Sock::of_client, Sock::new] {
            let stream = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("it listens");
            let (accepted, _) = listener.accept().await.expect("it comes");
            for side in [stream, accepted] {
                let same = socket2::SockRef::from(&side).try_clone().expect("a descriptor");
                let _open = open(side).expect("a socket");
                assert!(same.tcp_nodelay().expect("it tells"));
            }
        }
    });
}

/// The last answer says that its connection closes. What comes behind it all the same, here a whole request, is read so that no
/// reset takes the answer along, and goes no further: it would be lost.
#[test]
fn what_comes_behind_the_last_answer_is_not_taken_and_resets_nothing() {
    run(async {
        let node = node();
        let clients = Clients::new(node.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut stream = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("it listens");
        let (accepted, _) = listener.accept().await.expect("it comes");
        node.process().change(|life| life.stop(Instant::now() - Duration::from_secs(3)));
        clients.serve(accepted);
        // More than whoever reads the head takes with it: the rest is unread in the socket when the answer is out.
        let behind = b"x".repeat(100_000);
        stream.write_all(&[READY, ASKS, &behind].concat()).await.expect("it is open");
        let mut heard = Vec::new();
        // One answer and the way out's end, while this side could still send; nothing is cut off.
        stream.read_to_end(&mut heard).await.expect("an end in order");
        stream.write_all(ASKS).await.expect("the node still reads");
        drop(stream);
        while clients.count() > 0 {
            yield_now().await;
        }
        let heard = String::from_utf8(heard).expect("a head");
        assert_eq!(heard.matches("HTTP/1.1 503").count(), 1, "{heard}");
        assert!(heard.to_ascii_lowercase().contains("connection: close"), "{heard}");
        assert_eq!(node.open_requests(), 0);
    });
}

/// Both orders of an answer and the end of its client's time, in one turn: one that is there is given, one that comes next finds
/// nobody and can't be given twice.
#[test]
fn an_answer_in_the_turn_in_which_its_time_ends_is_given_once() {
    run(async {
        let over = Instant::now();
        let (module, answered) = oneshot::channel();
        assert!(module.send(Answer::Refused(1.0)).is_ok());
        assert!(matches!(in_time(over, answered).await, Some(Answer::Refused(_))));
        let (module, answered) = oneshot::channel();
        assert!(in_time(over, answered).await.is_none());
        assert!(module.send(Answer::Refused(1.0)).is_err());
    });
}

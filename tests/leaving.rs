//! Clients that leave while more of what they sent is unread, and attempts that are not written yet when nobody waits for
//! them any more.

mod peers;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

use peers::*;
use serde_json::{json, Value};
use socket2::SockRef;

/// For how long a fault may show itself; what is right shows at once.
const FAULT_SHOWS: Duration = Duration::from_secs(3);

/// Waits for the condition, but goes on without it: what follows tells of the harm.
fn give_time(holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() && start.elapsed() < FAULT_SHOWS {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A configuration by which a request is held for a minute where there is no server.
fn patient(registry: &Registry) -> Value {
    let mut told = config(registry.address);
    for class in 0..3 {
        told["settings"]["Classes"][class]["Slo"] = json!(60_000.0);
    }
    told["settings"]["Limits"]["Probes"] = json!(false);
    told
}

fn connect(node: &Node) -> TcpStream {
    TcpStream::connect(node.address).expect("it listens")
}

/// The ids of the requests that came, but for those by which the test asks whether the moment has passed.
fn ids(servers: &[&ScriptedServer]) -> Vec<String> {
    let seen = servers.iter().flat_map(|s| s.requests());
    let ids = seen.filter_map(|m| m.header("x-txn").map(str::to_string));
    ids.filter(|t| !t.starts_with("later")).collect()
}

/// Asks until a server answers.
fn served(node: &Node) {
    wait_until("a server serves", || {
        Client::to(node).exchange(&request("look", "later", 15_000)).status() == 200
    });
}

/// A request is held; behind it stand a line's end, another request, junk, or half of one, and its client closes, ends its way
/// out, or resets. Nothing of it is sent when a server comes. Whoever reads the requests stops at what stands behind the first
/// until that is answered, and the end stands behind that.
#[test]
fn an_end_behind_unread_bytes_is_seen_while_the_request_is_held() {
    let registry = Registry::new(&[]);
    let node = Node::ready(&patient(&registry));
    let before = node.descriptors();
    let junk = "x".repeat(100_000);
    let behind = ["", "\r\n", "POST /sl", "{next}", junk.as_str()];
    let mut clients = Vec::new();
    for (n, behind) in behind.iter().enumerate() {
        for way in 0..3 {
            let mut client = connect(&node);
            client
                .write_all(request("slip", &format!("left{n}-{way}"), 60_000).as_bytes())
                .expect("it is taken");
            let next = request("slip", &format!("next{n}-{way}"), 60_000);
            client.write_all(behind.replace("{next}", &next).as_bytes()).expect("it is taken");
            clients.push((way, client));
        }
    }
    wait_until("all are held", || node.logged("held 15 "));
    let mut open = Vec::new();
    for (way, client) in clients {
        match way {
            0 => {}
            1 => {
                client.shutdown(Shutdown::Write).expect("it is open");
                open.push(client);
            }
            _ => SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("a socket"),
        }
    }
    give_time(|| node.descriptors() <= before);
    let server = ScriptedServer::healthy("a");
    let hosts = [host("s0", server.address, "active", 1)];
    registry.publish(2, &hosts, &hosts);
    served(&node);
    assert_eq!(ids(&[&server]), Vec::<String>::new(), "nobody waits for any of them");
    drop(open);
}

/// An attempt is out; its client leaves with a line's end unread behind its request, then the server breaks off. The attempt is
/// called off, and there is no further one.
#[test]
fn an_end_behind_unread_bytes_is_seen_while_an_attempt_is_out() {
    let breaks = Arc::new(AtomicBool::new(false));
    let servers = [(); 2].map(|()| {
        let breaks = breaks.clone();
        ScriptedServer::new(move |m| {
            if m.header("x-txn").is_some_and(|t| t.starts_with("later")) {
                return Reply::Respond(response(200, "", "served"));
            }
            let breaks = breaks.clone();
            Reply::WriteWith(Box::new(move |_| {
                wait_until("it is to break", || breaks.load(Ordering::SeqCst));
                Err(std::io::ErrorKind::Other.into())
            }))
        })
    });
    let hosts = [0, 1].map(|n| host(&format!("s{n}"), servers[n].address, "active", 1));
    let registry = Registry::new(&hosts);
    let node = Node::ready(&patient(&registry));
    let before = node.descriptors();
    let mut client = connect(&node);
    client.write_all(format!("{}\r\n", request("look", "left", 60_000)).as_bytes()).expect("it is taken");
    wait_until("the attempt is out", || ids(&[&servers[0], &servers[1]]).len() == 1);
    drop(client);
    give_time(|| node.descriptors() <= before);
    breaks.store(true, Ordering::SeqCst);
    wait_until("the server has broken off", || {
        servers.iter().map(ScriptedServer::open_connections).sum::<usize>() == 0
    });
    (0..4).for_each(|_| served(&node));
    assert_eq!(ids(&[&servers[0], &servers[1]]), ["left"], "once, while its client was there");
}

/// A listener that lets nobody in, and what comes on its connections once it does: how many have ended, and all their bytes.
struct Late {
    at: SocketAddr,
    full: TcpListener,
    fillers: Vec<TcpStream>,
}

impl Late {
    fn new() -> Self {
        let (full, fillers) = full_listener();
        Self { at: full.local_addr().expect("bound"), full, fillers }
    }

    /// Lets them in, and waits until one more than those that were there has ended, or said anything; gives what was said.
    fn said(self) -> String {
        let Self { full, fillers, .. } = self;
        let wanted = fillers.len() + 1;
        drop(fillers);
        let (tell, told) = mpsc::channel();
        std::thread::spawn(move || {
            for mut stream in full.incoming().flatten() {
                let tell = tell.clone();
                std::thread::spawn(move || {
                    let mut bytes = vec![0; 64];
                    // One that is reset has said nothing either.
                    let came = stream.read(&mut bytes).unwrap_or(0);
                    // Nobody listens any more where all is known.
                    let _ = tell.send(text(&bytes[..came]));
                });
            }
        });
        let mut said = String::new();
        for _ in 0..wanted {
            said += &told.recv_timeout(WAIT_TIMEOUT).expect("its connection comes up and ends");
        }
        said
    }
}

/// Waits until an attempt of the one open request waits for its connection.
fn connecting(node: &Node) {
    wait_until("it waits for its connection", || node.logged("open 1 ") && node.logged("connections 1;"));
}

/// A body that is passed on while it comes waits for a connection to a server; all of it is sent, some of it still unread, when
/// its client leaves.
#[test]
fn an_end_behind_an_unread_body_is_seen() {
    let late = Late::new();
    let registry = Registry::new(&[host("s0", late.at, "active", 1)]);
    let mut told = patient(&registry);
    told["settings"]["Limits"]["ConnectTimeout"] = json!(20_000.0);
    let node = Node::ready(&told);
    // A little more than is held: all that is unread finds room at the node's end, or the end would not come.
    let body = "x".repeat(512 * 1024 + 60_000);
    let head = request("slip", "left", 60_000).replace("Content-Length: 4\r\n\r\nwork", "");
    let mut client = connect(&node);
    let words = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    client.write_all(words.as_bytes()).expect("it is taken");
    connecting(&node);
    let during = node.descriptors();
    drop(client);
    give_time(|| node.descriptors() + 2 <= during);
    assert!(node.descriptors() + 2 <= during, "its connection and the one to the server are given up");
}

/// Where attempts may not be called off, one whose connection comes up late is still not written when its client has gone:
/// nothing was sent that could be called off.
#[test]
fn what_its_client_left_unwritten_needs_no_leave_to_be_called_off() {
    let late = Late::new();
    let registry = Registry::new(&[host("s0", late.at, "active", 1)]);
    let mut told = patient(&registry);
    told["settings"]["Limits"]["ConnectTimeout"] = json!(20_000.0);
    told["settings"]["Limits"]["Cancel"] = json!(false);
    let node = Node::ready(&told);
    let mut client = connect(&node);
    client.write_all(request("slip", "late", 60_000).as_bytes()).expect("it is taken");
    connecting(&node);
    drop(client);
    wait_until("it is known", || node.logged("gone 1;"));
    assert_eq!(late.said(), "", "nothing is written for nobody");
}

/// One that rests is closed without a reset, and the new address of a SIGHUP right behind SIGTERM counts for what is held.
#[test]
fn a_new_configuration_right_behind_sigterm_counts() {
    let registry = Registry::new(&[]);
    let server = ScriptedServer::healthy("a");
    let next = Registry::new(&[host("s0", server.address, "active", 1)]);
    let told = patient(&registry);
    let mut node = Node::ready(&told);
    let (mut rests, mut held) = (Client::to(&node), Client::to(&node));
    assert_eq!(rests.exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    held.send(&request("slip", "held", 60_000));
    wait_until("it is held", || node.logged("held 1 "));
    node.terminate();
    let mut moved = told.clone();
    moved["discovery"] = json!(next.address.to_string());
    node.reload(&moved.to_string());
    node.terminate();
    assert_eq!(held.receive().expect("an answer").status(), 200);
    assert!(rests.closed(), "it ends in order");
    assert_eq!(node.exit_code(), Some(0));
}

/// An answer whose end only the connection's end tells is cut off by the node's own end: its client must not take it for whole.
#[test]
fn an_answer_of_unknown_length_that_the_nodes_end_cuts_off_is_reset() {
    let server = ScriptedServer::new(|_| {
        Reply::WriteWith(Box::new(|out| {
            // So much, and so steadily, that it is passed on and not given up before the node ends.
            let chunk = format!("800\r\n{}\r\n", "x".repeat(0x800));
            out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            wait_until("the node is gone", || out.write_all(chunk.as_bytes()).is_err());
            Err(std::io::ErrorKind::Other.into())
        }))
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut told = config(registry.address);
    for class in 0..3 {
        told["settings"]["Classes"][class]["Deadline"] = json!(1500.0);
    }
    let mut node = Node::ready(&told);
    let address: SocketAddr = node.address;
    let mut client = TcpStream::connect(address).expect("it listens");
    let words = request("look", "t1", 1400).replace("HTTP/1.1", "HTTP/1.0");
    client.write_all(words.as_bytes()).expect("it is taken");
    assert!(client.read(&mut [0; 1]).expect("it begins") > 0);
    node.terminate();
    let ended = client.read_to_end(&mut Vec::new());
    assert_eq!(ended.map_err(|e| e.kind()), Err(std::io::ErrorKind::ConnectionReset));
    assert_eq!(node.exit_code(), Some(0));
}

/// More is on its way than the sockets' buffers take, and the client's end stands behind it: nobody can see that. All that the
/// node holds for it is given back all the same, whether it waits for a server or writes to one that reads nothing.
#[test]
fn an_end_that_no_buffer_can_take_is_not_waited_for() {
    for stalls in [false, true] {
        let stalled = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = stalled.local_addr().expect("bound");
        let hosts = if stalls { vec![host("s0", at, "active", 1)] } else { Vec::new() };
        let registry = Registry::new(&hosts);
        let mut told = patient(&registry);
        told["settings"]["Classes"][2]["Slo"] = json!(4000.0);
        let node = Node::ready(&told);
        let before = node.descriptors();
        let head = request("slip", "left", 4000).replace("Content-Length: 4\r\n\r\nwork", "");
        let mut client = connect(&node);
        client.write_all(format!("{head}Content-Length: 90000000\r\n\r\n").as_bytes()).expect("it is taken");
        // Until nobody takes any more.
        client.set_write_timeout(Some(Duration::from_millis(300))).expect("a socket");
        while client.write_all(&[0; 65_536]).is_ok() {}
        wait_until("an attempt is out, if there may be one", || !stalls || node.logged("open 1 "));
        drop(client);
        wait_until("all is given back", || node.descriptors() <= before);
    }
}

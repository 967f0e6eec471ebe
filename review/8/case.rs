//! A thousand half-written connections arrive at a node at once, while requests come on new connections.

#[path = "../standins-2/rig.rs"]
mod rig;

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rig::*;

/// Connections that begin a request and stop.
const CROWD: usize = 1000;
/// Requests that come on new connections meanwhile, one every 20 ms.
const NEW: usize = 150;
/// A final answer may come so long after the request's time; 50 ms more for a rule on sockets.
const LATE_MS: f64 = 500.0 + 50.0;

fn main() {
    let case = begin();
    let work: Script = Arc::new(|_| Treatment { work_ms: 30.0, ..Treatment::default() });
    let servers: Vec<Server> = (1..=6).map(|n| Server::start(&format!("app-{n}"), work.clone())).collect();
    let discovery = Discovery::new(&servers);
    let address = discovery.listen();
    let mut nodes: Vec<Node> = (0..2)
        .map(|number| {
            Node::start(
                &case,
                NodeSetup {
                    name: format!("n{number}"),
                    number,
                    nodes: 2,
                    listen: free_port(),
                    management: None,
                    discovery: address,
                    known: discovery.known(),
                    limits: (32, 256),
                    arguments: String::new(),
                },
            )
        })
        .collect();
    nodes.iter().for_each(|n| n.wait_ready(30_000));
    let (name, at) = (nodes[0].setup.name.clone(), nodes[0].setup.listen);
    // Clients that keep their connections.
    let load = Load::start(&[(name.clone(), at)], 20, 200.0, &["lookup", "signup", "fee-payment"]);
    sleep_ms(2000);
    let crowd: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let began_ms = now_ms();
    let arriving: Vec<_> = (0..if case.trouble { 8 } else { 0 })
        .map(|_| {
            let crowd = crowd.clone();
            thread::spawn(move || {
                for _ in 0..CROWD / 8 {
                    if let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_secs(3)) {
                        let _ = stream.write_all(b"POST /signup/member HTTP/1.1\r\nHost: service.internal\r\nX-Txn: ");
                        crowd.lock().unwrap().push(stream);
                    }
                }
                record("a part of the crowd has connected");
            })
        })
        .collect();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let new: Vec<_> = (0..NEW)
        .map(|number| {
            let (outcomes, name) = (outcomes.clone(), name.clone());
            sleep_until(began_ms + 20.0 * number as f64);
            thread::spawn(move || {
                let class = ["lookup", "signup", "fee-payment"][number % 3];
                let outcome = send_one(&mut None, &name, at, class);
                record(&format!(
                    "request {} {} on a new connection: {:?} after {:.1} ms",
                    outcome.id,
                    class,
                    outcome.status,
                    outcome.ended_ms - outcome.sent_ms
                ));
                outcomes.lock().unwrap().push(outcome);
            })
        })
        .collect();
    new.into_iter().chain(arriving).for_each(|t| t.join().expect("no panic"));
    let mut all = load.finish();
    all.extend(outcomes.lock().unwrap().clone());
    need(nodes.iter_mut().all(Node::runs), "a node has ended");
    say(&format!("{} connections of the crowd; {}", crowd.lock().unwrap().len(), summary(&all)));
    // A connection that is shut without an answer before that is no concern of this case.
    let overdue = |o: &Outcome| o.ended_ms - o.sent_ms - deadline_ms(&o.class) as f64 - LATE_MS;
    let late: Vec<&Outcome> = all.iter().filter(|o| o.written && overdue(o) > 0.0).collect();
    if let Some(worst) = late.iter().max_by(|a, b| overdue(a).total_cmp(&overdue(b))) {
        say(&format!(
            "broken: {} of {} requests had no answer {LATE_MS} ms after their time; {} {} ended {:?} after {:.0} ms, with {} ms given",
            late.len(),
            all.len(),
            worst.class,
            worst.id,
            worst.status,
            worst.ended_ms - worst.sent_ms,
            deadline_ms(&worst.class)
        ));
        end(1);
    }
    say("held");
    end(0);
}

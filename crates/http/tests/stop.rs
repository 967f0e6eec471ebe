//! A process with several workers receives SIGTERM while one of them is down.

mod common;

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use common::PATIENCE;

/// A worker that is restarted after a panic registers for signals anew and misses those that arrived before.
/// It must end with the process all the same.
#[test]
fn a_worker_restarted_during_shutdown_ends_with_the_process() {
    common::note_panics();
    // Discovery accepts connections and sends nothing; the shutdown does not wait for it.
    let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
    let config = common::config(discovery.local_addr().expect("bound"), 500.0);
    // The first worker queries the number of lost log lines once a second, and panics at the second query.
    let calls = Arc::new(AtomicUsize::new(0));
    let (panicking, panicked) = mpsc::channel();
    let count = calls.clone();
    let lost_lines = move || {
        if count.fetch_add(1, Ordering::SeqCst) == 1 {
            panicking.send(()).expect("the test waits");
            panic!("the panic that this test injects");
        }
        0
    };
    let (end, ended) = mpsc::channel();
    std::thread::spawn(move || {
        let result = magpietally_http::run_workers(
            config,
            2,
            magpietally_http::OperatorOptions::default(),
            lost_lines,
        );
        end.send(result).expect("the test waits");
    });
    panicked.recv_timeout(PATIENCE).expect("the worker dies");
    // The worker is down for 100 ms. If the signal comes later than that on a busy machine, both workers
    // receive it.
    std::thread::sleep(Duration::from_millis(30));
    let pid = std::process::id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill runs").success());
    assert_eq!(ended.recv_timeout(PATIENCE).expect("the process's work ends"), Ok(()));
    drop(discovery);
}

//! A process of several workers that is told to end while one of them is down.

mod common;

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use common::PATIENCE;

/// A worker that is started again after a panic registers for signals anew, and one that came before is lost on it.
#[test]
fn a_worker_that_is_started_again_while_the_process_ends_ends_with_it() {
    common::note_panics();
    // Discovery that takes connections and says nothing: the end does not wait for it.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let config = common::config(silent.local_addr().expect("bound"), 500.0);
    // The first worker asks for the lines once a second; the second time it dies of it.
    let asked = Arc::new(AtomicUsize::new(0));
    let (died, dead) = mpsc::channel();
    let count = asked.clone();
    let lost_lines = move || {
        if count.fetch_add(1, Ordering::SeqCst) == 1 {
            died.send(()).expect("the test waits");
            panic!("the fault that this test causes");
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
    dead.recv_timeout(PATIENCE).expect("the worker dies");
    // It is down for 100 ms. Should this come later on a busy machine, both workers hear it for themselves.
    std::thread::sleep(Duration::from_millis(30));
    let pid = std::process::id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill runs").success());
    assert_eq!(ended.recv_timeout(PATIENCE).expect("the process's work ends"), Ok(()));
    drop(silent);
}

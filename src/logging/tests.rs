use super::*;

/// A pipe that blocks each write until the test permits it, and reports what was written.
struct Pipe(mpsc::Receiver<()>, mpsc::Sender<Vec<u8>>);

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // The wait ends when the test drops its sender.
        let _ = self.0.recv();
        let _ = self.1.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a caller that blocks on a full pipe: the test would then never finish.
#[test]
fn a_full_pipe_blocks_no_caller_and_dropped_lines_are_counted() {
    const LINES: usize = 1000;
    let ((permit, permits), (accept, accepted)) = (mpsc::channel(), mpsc::channel());
    let log = start(Pipe(permits, accept)).expect("a thread");
    let mut writer = log.queue.clone();
    for n in 0..LINES {
        writer.write_all(format!("line {n}\n").as_bytes()).expect("it queues or drops");
    }
    let dropped = log.dropped_lines()() as usize;
    // The writing thread may already have taken one line from the queue.
    assert!((LINES - QUEUE_CAPACITY - 1..=LINES - QUEUE_CAPACITY).contains(&dropped), "{dropped} dropped");
    for _ in 0..LINES - dropped {
        permit.send(()).expect("the pipe exists");
    }
    let written: Vec<Vec<u8>> = accepted.iter().take(LINES - dropped).collect();
    assert_eq!(written[0], b"line 0\n", "the first ones are kept");
    drop(permit);
}

/// A writer that returns these results call by call, and stores what it accepted.
struct Failing(Vec<io::Result<usize>>, Vec<u8>);

impl Write for Failing {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let count = if self.0.is_empty() { bytes.len() } else { self.0.remove(0)? };
        self.1.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn an_interrupted_or_short_write_is_continued_and_a_failed_one_terminates_its_line() {
    let error = |kind: io::ErrorKind| Err(kind.into());
    let mut to = Failing(vec![error(io::ErrorKind::Interrupted), Ok(3)], Vec::new());
    write_line(&mut to, b"a line\n").expect("it is written");
    to.0 = vec![Ok(2), error(io::ErrorKind::StorageFull)];
    assert!(write_line(&mut to, b"lost\n").is_err());
    write_line(&mut to, b"next\n").expect("it is written");
    assert_eq!(to.1, b"a line\nlo\nnext\n");
}

use super::*;

/// A pipe that takes nothing until it is told to, and says what it took.
struct Pipe(mpsc::Receiver<()>, mpsc::Sender<Vec<u8>>);

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // An end of the test ends the wait.
        let _ = self.0.recv();
        let _ = self.1.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Were a line to wait for the full pipe, this test would never end.
#[test]
fn a_full_pipe_holds_up_nothing_and_what_is_dropped_is_counted() {
    const LINES: usize = 1000;
    let ((go, gone), (took, taken)) = (mpsc::channel(), mpsc::channel());
    let log = start(Pipe(gone, took)).expect("a thread");
    let mut writer = log.queue.clone();
    for n in 0..LINES {
        writer.write_all(format!("line {n}\n").as_bytes()).expect("it takes or drops");
    }
    let lost = log.lost_lines()() as usize;
    // One may be in the writing thread's hands already.
    assert!((LINES - WAITING - 1..=LINES - WAITING).contains(&lost), "{lost} lost");
    for _ in 0..LINES - lost {
        go.send(()).expect("the pipe is there");
    }
    let written: Vec<Vec<u8>> = taken.iter().take(LINES - lost).collect();
    assert_eq!(written[0], b"line 0\n", "the first ones are kept");
    drop(go);
}

/// A writer that fails as this says, call by call, and says what it took.
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
fn an_interrupted_or_short_write_is_continued_and_a_failed_one_ends_its_line() {
    let error = |kind: io::ErrorKind| Err(kind.into());
    let mut to = Failing(vec![error(io::ErrorKind::Interrupted), Ok(3)], Vec::new());
    write_line(&mut to, b"a line\n").expect("it is written");
    to.0 = vec![Ok(2), error(io::ErrorKind::StorageFull)];
    assert!(write_line(&mut to, b"lost\n").is_err());
    write_line(&mut to, b"next\n").expect("it is written");
    assert_eq!(to.1, b"a line\nlo\nnext\n");
}

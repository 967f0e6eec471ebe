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
    let (mut writer, guard) = writer(Pipe(gone, took));
    let log = Log { dropped: writer.error_counter(), guard };
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

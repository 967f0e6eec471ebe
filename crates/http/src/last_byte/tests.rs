use super::*;

/// Bytes that the buffers hold in these tests.
const BUFFERED_BYTES_MAX: u64 = 1 << 20;
/// Length of a read.
const READ_BYTES: usize = 8192;

/// A clock that is driven by a script.
struct Script {
    clock: LastByteClock,
    start: Instant,
    now: Instant,
}

impl Script {
    /// A request whose first bytes were read at the start, on a connection that had waited for them.
    fn new() -> Self {
        let start = Instant::now();
        let mut script = Self { clock: LastByteClock::default(), start, now: start };
        script.clock.found_nothing(start);
        script.clock.begin();
        script.read();
        script
    }

    fn after(&mut self, span: Duration) -> &mut Self {
        self.now += span;
        self
    }

    fn read(&mut self) -> &mut Self {
        self.clock.read(self.now, READ_BYTES);
        self
    }

    fn found_nothing(&mut self) -> &mut Self {
        self.clock.found_nothing(self.now);
        self
    }

    fn look(&mut self, any: bool, missing_bytes_min: u64) -> RestOfRequest {
        let unread = UnreadPart { any, missing_bytes_min, buffered_bytes_max: BUFFERED_BYTES_MAX };
        self.clock.update(self.now, unread)
    }

    /// Since when the client may have been done, counted from the start.
    fn written_after(&self) -> Option<Duration> {
        self.clock.may_be_written_since().map(|since| since - self.start)
    }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Whose time runs in each state that the node can be in: the client's where it may be done, nobody's where it
/// certainly is not.
#[test]
fn the_time_of_a_client_runs_in_each_state_in_which_it_may_be_done() {
    use RestOfRequest::{MayBeWritten, Received, Unwritten};
    type Play = fn(&mut Script) -> RestOfRequest;
    let states: [(&str, Play, RestOfRequest); 10] = [
        ("reads, and finds nothing", |s| s.found_nothing().look(false, 1), Unwritten),
        ("reads on, and has not found nothing", |s| s.after(ms(5)).look(true, 1), MayBeWritten),
        ("does not read, few bytes lie there", |s| s.after(ms(400)).look(true, 1), MayBeWritten),
        ("does not read, nothing lies there", |s| s.after(ms(400)).look(false, 1), Unwritten),
        ("has just read, nothing lies there yet", |s| s.after(ms(1)).look(false, 1), MayBeWritten),
        (
            "does not read, as much is missing as the buffers hold",
            |s| s.after(ms(400)).look(true, BUFFERED_BYTES_MAX),
            MayBeWritten,
        ),
        (
            "does not read, more is missing than the buffers hold",
            |s| s.after(ms(400)).look(true, BUFFERED_BYTES_MAX + 1),
            Unwritten,
        ),
        (
            "reads again after its server took nothing, and finds nothing yet",
            |s| s.after(ms(400)).read().found_nothing().after(ms(1)).look(false, 1),
            MayBeWritten,
        ),
        (
            "the same, and nothing has arrived for longer than what was held back takes",
            |s| s.after(ms(400)).read().found_nothing().after(ARRIVAL_TIME).look(false, 1),
            Unwritten,
        ),
        (
            "has read the last byte, and waits for the next request",
            |s| {
                s.clock.finish();
                s.found_nothing().after(ms(400)).look(false, 0)
            },
            Received,
        ),
    ];
    for (state, play, expected) in states {
        let mut script = Script::new();
        assert_eq!(play(&mut script), expected, "{state}");
        let runs_from = (expected != Unwritten).then_some(Duration::ZERO);
        assert_eq!(script.written_after(), runs_from, "{state}");
    }
}

/// Guards against the time of a client beginning anew at each look at the same unread bytes.
#[test]
fn unread_bytes_that_stay_the_same_do_not_begin_the_time_anew() {
    let mut script = Script::new();
    for _ in 0..500 {
        assert_eq!(script.after(ms(20)).look(true, 100_000), RestOfRequest::MayBeWritten);
        assert_eq!(script.written_after(), Some(Duration::ZERO));
    }
}

/// Guards against each bit that a server takes beginning the time of the client anew, also where the node then has
/// room again and finds nothing before the rest arrives.
#[test]
fn a_server_that_takes_a_little_now_and_then_does_not_begin_the_time_anew() {
    let mut script = Script::new();
    for _ in 0..50 {
        script.after(ms(50)).read().found_nothing();
        script.after(ms(1)).read();
        assert_eq!(script.look(true, 100_000), RestOfRequest::MayBeWritten);
        assert_eq!(script.written_after(), Some(Duration::ZERO));
    }
}

/// Guards against a client that writes slowly, in small pieces, being taken for one that is done.
#[test]
fn a_client_that_writes_slowly_is_not_done_while_the_node_keeps_up_with_it() {
    for interval in [ms(2), ms(50), ms(1000)] {
        let mut script = Script::new();
        script.found_nothing();
        for piece in 1..100 {
            script.after(interval).read();
            assert_eq!(
                script.written_after(),
                Some(interval * piece),
                "with the piece itself it may be done"
            );
            assert_eq!(script.found_nothing().look(false, 1), RestOfRequest::Unwritten, "{interval:?}");
        }
    }
}

/// Guards against such a client being taken for one that is done since a time at which the server took nothing.
#[test]
fn a_client_that_writes_on_after_a_pause_of_its_server_has_its_time_from_then() {
    let mut script = Script::new();
    script.after(ms(300)).read().found_nothing();
    script.after(ms(50)).read();
    assert_eq!(script.written_after(), Some(ms(350)));
}

/// Guards against the time of a client beginning late where its server has read all but the last part.
#[test]
fn the_time_begins_when_no_more_is_missing_than_the_buffers_hold() {
    let mut script = Script::new();
    assert_eq!(script.after(ms(400)).look(true, BUFFERED_BYTES_MAX + 1), RestOfRequest::Unwritten);
    script.after(ms(100)).read();
    assert_eq!(script.look(true, BUFFERED_BYTES_MAX), RestOfRequest::MayBeWritten);
    assert_eq!(script.written_after(), Some(ms(500)));
}

/// Guards against a long upload without a length being given up while its client writes, and against the memory that
/// is kept for it growing.
#[test]
fn what_is_read_beyond_the_buffers_was_written_later() {
    let mut script = Script::new();
    let reads_of_buffers = BUFFERED_BYTES_MAX / READ_BYTES as u64;
    let reads_of_mark = MARK_INTERVAL_BYTES / READ_BYTES as u64;
    for read in 1..10 * reads_of_buffers {
        script.after(ms(10)).read();
        script.look(true, 1);
        let written_after = script.written_after().expect("bytes lie there");
        let earliest = ms(10) * u32::try_from(read.saturating_sub(reads_of_buffers)).expect("a few");
        let latest = earliest + ms(10);
        let oldest = earliest.saturating_sub(ms(10) * u32::try_from(reads_of_mark).expect("a few"));
        assert!((oldest..=latest).contains(&written_after), "read {read}: {written_after:?} of {earliest:?}");
        assert!(script.clock.marks.len() as u64 <= BUFFERED_BYTES_MAX / MARK_INTERVAL_BYTES + 2);
    }
}

/// Guards against a request's time running since the one before it on the connection.
#[test]
fn the_next_request_has_its_own_time() {
    let mut script = Script::new();
    script.clock.finish();
    script.after(ms(400)).found_nothing();
    script.clock.begin();
    script.after(ms(400)).read();
    assert_eq!(script.written_after(), Some(ms(800)));
}

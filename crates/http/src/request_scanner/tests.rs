use super::*;

const GET: &str = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const WITH_LENGTH: &str = "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nGET /";
const CHUNKED: &str = "\r\n\nPOST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n\
    5;name=\"v\"\r\nGET /\r\nA \r\n0\r\n\r\nPOST \r\n0;x\r\nX-Sum: 1\r\nContent-Length: 7\r\n\r\n";

/// Scans the text in pieces of every length, and runs the check on each scanner.
fn for_all_piece_lengths(text: &str, check: impl Fn(&mut RequestScanner)) {
    for piece in 1..=text.len() {
        let mut scanner = RequestScanner::default();
        text.as_bytes().chunks(piece).for_each(|bytes| scanner.scan(bytes));
        check(&mut scanner);
    }
}

#[test]
fn requests_end_where_their_framing_says_however_they_are_split() {
    for one in [GET, WITH_LENGTH, CHUNKED] {
        for_all_piece_lengths(one, |scanner| {
            assert!(scanner.has_next_request(), "a request has arrived and was not taken");
            assert!(
                scanner.next_is_unambiguous() && !scanner.has_next_request(),
                "{one:?}: nothing follows it"
            );
        });
        for next in ["\r\n", "G", GET, CHUNKED] {
            for_all_piece_lengths(&format!("{one}{next}"), |scanner| {
                assert!(scanner.next_is_unambiguous());
                assert_eq!(scanner.has_next_request(), next != "\r\n", "{one:?} {next:?}");
            });
        }
        // An incomplete request does not count as a next one, whether its head is complete or not.
        for_all_piece_lengths(&one[..one.len() - 1], |scanner| {
            assert_eq!(scanner.next_is_unambiguous(), one != GET);
            assert!(!scanner.has_next_request() && !scanner.is_request_complete());
        });
        for_all_piece_lengths(one, |scanner| {
            assert!(scanner.next_is_unambiguous() && scanner.is_request_complete())
        });
    }
    for_all_piece_lengths(&format!("{CHUNKED}{WITH_LENGTH}{GET}"), |scanner| {
        assert!(
            (0..3).all(|_| scanner.has_next_request() && scanner.next_is_unambiguous())
                && !scanner.has_next_request()
        );
    });
}

#[test]
fn ambiguous_framing_is_detected_in_any_header_order() {
    for lines in [
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "content-length : 5\r\nTRANSFER-ENCODING: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5, 5\r\n",
        "Content-Length: -1\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
    ] {
        for_all_piece_lengths(&format!("POST / HTTP/1.1\r\n{lines}\r\n0\r\n\r\n{GET}"), |scanner| {
            assert!(!scanner.next_is_unambiguous(), "{lines:?}");
        });
    }
    let mut scanner = RequestScanner::default();
    scanner.scan(&vec![b'x'; LINE_MAX_BYTES + 1]);
    assert!(
        scanner.line.len() <= LINE_MAX_BYTES && !scanner.next_is_unambiguous(),
        "the buffer for a line is bounded"
    );
}

/// Guards against the scanner keeping a long line that arrives in pieces, and against it misreading one.
#[test]
fn a_long_line_is_kept_in_part_and_read_as_before() {
    let long = "x".repeat(LINE_MAX_BYTES / 2);
    let scan = |line: &str| {
        let mut scanner = RequestScanner::default();
        let head = format!("POST / HTTP/1.1\r\n{line}\r\nContent-Length: 3\r\n\r\nabc{GET}");
        for piece in head.as_bytes().chunks(1000) {
            scanner.scan(piece);
            assert!(scanner.line.capacity() <= 2 * LINE_KEPT_BYTES, "{} bytes", scanner.line.capacity());
        }
        scanner
    };
    for line in [format!("a: {long}"), format!("{long}: a"), format!("a: {}1", " ".repeat(long.len()))] {
        let mut scanner = scan(&line);
        assert!(scanner.next_is_unambiguous() && scanner.has_next_request() && scanner.next_is_unambiguous());
    }
    for line in [format!("Transfer-Encoding: chunked, {long}"), format!("Content-Length: {long}")] {
        assert!(!scan(&line).next_is_unambiguous(), "{}", &line[..20]);
    }
}

/// Guards against a client that is still writing its request being taken for one that waits for its response,
/// and the other way round.
#[test]
fn a_request_misses_no_bytes_only_once_its_end_has_arrived() {
    for text in [WITH_LENGTH, CHUNKED] {
        let head = text.find("\r\n\r\n").expect("a head") + 4;
        for at in head..=text.len() {
            let mut scanner = RequestScanner::default();
            scanner.scan(&text.as_bytes()[..at]);
            scanner.next_is_unambiguous();
            let (missing, missing_min) = ((text.len() - at) as u64, scanner.missing_bytes_min());
            assert!(missing_min <= missing, "{text:?} {at}: {missing_min}");
            assert!(text == CHUNKED || missing_min == missing, "{text:?} {at}: {missing_min}");
            let complete = missing == 0;
            assert_eq!(missing_min == 0, complete, "{text:?} {at}");
            assert_eq!(scanner.is_between_requests(), complete, "{text:?} {at}");
            assert_eq!(scanner.is_request_complete(), complete, "{text:?} {at}");
        }
    }
}

/// Guards against the length of a chunk that is arriving counting for nothing.
#[test]
fn the_rest_of_a_chunk_is_missing() {
    let mut scanner = RequestScanner::default();
    scanner.scan(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\nab");
    assert_eq!(scanner.missing_bytes_min(), 0x10_0000 - 2 + 7);
}

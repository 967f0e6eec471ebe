use super::*;

const GET: &str = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const LONG: &str = "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nGET /";
const CHUNKS: &str = "\r\n\nPOST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n\
    5;name=\"v\"\r\nGET /\r\nA \r\n0\r\n\r\nPOST \r\n0;x\r\nX-Sum: 1\r\nContent-Length: 7\r\n\r\n";

/// Feeds the text in pieces of each length; gives each time how many requests were seen, and what is known of the last.
fn in_pieces(text: &str, check: impl Fn(&mut RequestScanner)) {
    for piece in 1..=text.len() {
        let mut scan = RequestScanner::default();
        text.as_bytes().chunks(piece).for_each(|bytes| scan.came(bytes));
        check(&mut scan);
    }
}

#[test]
fn requests_end_where_their_framing_says_however_they_come() {
    for one in [GET, LONG, CHUNKS] {
        in_pieces(one, |scan| {
            assert!(scan.ahead(), "one has come that nobody asked for");
            assert!(scan.next() && !scan.ahead(), "{one:?}: nothing is behind it");
        });
        for next in ["\r\n", "G", GET, CHUNKS] {
            in_pieces(&format!("{one}{next}"), |scan| {
                assert!(scan.next());
                assert_eq!(scan.ahead(), next != "\r\n", "{one:?} {next:?}");
            });
        }
        // One that is not whole yet is not behind itself; nor is one whose head is not.
        in_pieces(&one[..one.len() - 1], |scan| {
            assert_eq!(scan.next(), one != GET);
            assert!(!scan.ahead() && !scan.whole());
        });
        in_pieces(one, |scan| assert!(scan.next() && scan.whole()));
    }
    in_pieces(&format!("{CHUNKS}{LONG}{GET}"), |scan| {
        assert!((0..3).all(|_| scan.ahead() && scan.next()) && !scan.ahead());
    });
}

#[test]
fn what_ends_in_two_ways_is_seen_whichever_comes_first() {
    for lines in [
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "content-length : 5\r\nTRANSFER-ENCODING: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5, 5\r\n",
        "Content-Length: -1\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
    ] {
        in_pieces(&format!("POST / HTTP/1.1\r\n{lines}\r\n0\r\n\r\n{GET}"), |scan| {
            assert!(!scan.next(), "{lines:?}");
        });
    }
    let mut scan = RequestScanner::default();
    scan.came(&vec![b'x'; LINE_MOST + 1]);
    assert!(scan.line.len() <= LINE_MOST && !scan.next(), "a line without an end is bounded");
}

use super::*;

#[test]
fn lines_are_complete_however_the_stream_is_split() {
    let text = b"one\r\n\ntwo \nthree";
    for piece in 1..=text.len() {
        let (mut lines, mut out) = (LineSplitter::default(), Vec::new());
        for data in text.chunks(piece) {
            assert!(lines.push(data).is_ok());
            out.extend(std::iter::from_fn(|| lines.next()));
        }
        assert_eq!(out, [&b"one"[..], b"", b"two"], "in pieces of {piece}");
    }
    let mut lines = LineSplitter::default();
    assert!(lines.push(&vec![b'x'; MAX_LINE_BYTES]).is_ok());
    assert!(
        lines.next().is_none() && lines.push(b"x").is_err(),
        "the size of a line without an end is limited"
    );
}

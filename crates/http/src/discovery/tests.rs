use super::*;

#[test]
fn lines_come_out_whole_however_they_came_in() {
    let text = b"one\r\n\ntwo \nthree";
    for piece in 1..=text.len() {
        let (mut lines, mut out) = (Lines::default(), Vec::new());
        for data in text.chunks(piece) {
            assert!(lines.push(data).is_ok());
            out.extend(std::iter::from_fn(|| lines.next()));
        }
        assert_eq!(out, [&b"one"[..], b"", b"two"], "in pieces of {piece}");
    }
    let mut lines = Lines::default();
    assert!(lines.push(&vec![b'x'; LINE_MOST]).is_ok());
    assert!(lines.next().is_none() && lines.push(b"x").is_err(), "a line without an end is bounded");
}

use super::*;

#[test]
fn lines_read_back_as_they_were_written_and_others_are_refused() {
    for text in
        ["announce route 192.0.2.10/32 next-hop self med 100", "withdraw route 192.0.2.10/32 next-hop self"]
    {
        assert_eq!(Line::parse(text).map(|l| l.to_string()).as_deref(), Some(text));
    }
    assert_eq!(Line::parse("announce route 192.0.2.10/32 next-hop self med 1 more"), None);
}

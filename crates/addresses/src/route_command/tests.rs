use super::*;

#[test]
fn commands_round_trip_and_other_lines_are_rejected() {
    for text in
        ["announce route 192.0.2.10/32 next-hop self med 100", "withdraw route 192.0.2.10/32 next-hop self"]
    {
        assert_eq!(RouteCommand::parse(text).map(|l| l.to_string()).as_deref(), Some(text));
    }
    assert_eq!(RouteCommand::parse("announce route 192.0.2.10/32 next-hop self med 1 more"), None);
}

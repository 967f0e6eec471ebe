use super::*;

#[test]
fn a_router_drops_the_routes_of_a_speaker_that_closed_or_fell_silent() {
    let ms = Duration::from_millis;
    let (a, b) = (Name::new("a").expect("a name"), Name::new("b").expect("a name"));
    let mut r = Router::new(ms(1500));
    let up = "announce route 192.0.2.10/32 next-hop self med 100";
    assert!(r.line(ms(0), 1, &a, up) && r.line(ms(0), 2, &b, up) && !r.line(ms(0), 2, &b, "announce all"));
    assert_eq!(r.sites("192.0.2.10/32").len(), 2);
    assert!(r.steer("192.0.2.10/32", 0) != r.steer("192.0.2.10/32", 1));
    r.line(ms(1000), 1, &a, up);
    r.tick(ms(1500));
    assert_eq!(r.steer("192.0.2.10/32", 7), Some(&a));
    r.closed(ms(1600), 1);
    assert_eq!(r.steer("192.0.2.10/32", 7), None);
    assert_eq!(r.take_records().len(), 4);
}

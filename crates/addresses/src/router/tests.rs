use super::*;

#[test]
fn router_drops_routes_of_a_closed_or_silent_session() {
    let ms = Duration::from_millis;
    let (a, b) = (Name::new("a").expect("a name"), Name::new("b").expect("a name"));
    let mut router = Router::new(ms(1500));
    let announce = "announce route 192.0.2.10/32 next-hop self med 100";
    assert!(
        router.receive_line(ms(0), 1, &a, announce)
            && router.receive_line(ms(0), 2, &b, announce)
            && !router.receive_line(ms(0), 2, &b, "announce all")
    );
    assert_eq!(router.best_sites("192.0.2.10/32").len(), 2);
    assert!(router.select_site("192.0.2.10/32", 0) != router.select_site("192.0.2.10/32", 1));
    router.receive_line(ms(1000), 1, &a, announce);
    router.tick(ms(1500));
    assert_eq!(router.select_site("192.0.2.10/32", 7), Some(&a));
    router.close_session(ms(1600), 1);
    assert_eq!(router.select_site("192.0.2.10/32", 7), None);
    assert_eq!(router.take_records().len(), 4);
}

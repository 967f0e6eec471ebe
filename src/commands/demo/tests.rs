use magpietally_site::examples;

#[test]
fn the_embedded_demo_is_a_valid_site() {
    let site = examples::site("demo").expect("it is embedded and valid");
    assert_eq!((site.nodes.count, site.box_count(), site.clients.classes.len()), (2, 6, 3));
}

use super::*;

#[test]
fn a_wrong_rule_is_refused_by_the_name_of_its_field() {
    let site = Name::new("lhr-gulberg").expect("a name");
    let rule = |prefix: &str| AddressRule {
        prefix: prefix.into(),
        kind: Kind::Shared,
        med: 100,
        sites: vec![site.clone()],
    };
    let good = Rules { addresses: vec![rule("192.0.2.10/32"), rule("2001:db8::1/128")], ..Rules::default() };
    assert_eq!(good.check(), Ok(()));
    let field = |r: &Rules| r.check().expect_err("wrong").field;
    for prefix in ["192.0.2.10", "192.0.2.10/33", "192.0.2.10/32\nwithdraw", "192.0.2.10/032"] {
        assert_eq!(field(&Rules { addresses: vec![rule(prefix)], ..good.clone() }), "addresses[0].prefix");
    }
    let twice = vec![rule("192.0.2.10/32"), rule("192.0.2.10/32")];
    assert_eq!(field(&Rules { addresses: twice, ..good.clone() }), "addresses[1].prefix");
    assert_eq!(field(&Rules { settling: 0, ..good.clone() }), "settling");
    assert_eq!(field(&Rules { hold_up_max: 1, ..good.clone() }), "hold_up_max");
    assert_eq!(field(&Rules { floor: 900, ..good }), "floor");
}

use super::*;

#[test]
fn validation_names_the_invalid_field() {
    let site = Name::new("lhr-gulberg").expect("a name");
    let rule = |prefix: &str| AddressRule {
        prefix: prefix.into(),
        kind: AddressKind::Shared,
        med: 100,
        sites: vec![site.clone()],
    };
    let valid = Rules { addresses: vec![rule("192.0.2.10/32"), rule("2001:db8::1/128")], ..Rules::default() };
    assert_eq!(valid.validate(), Ok(()));
    let field = |r: &Rules| r.validate().expect_err("wrong").field;
    for prefix in ["192.0.2.10", "192.0.2.10/33", "192.0.2.10/32\nwithdraw", "192.0.2.10/032"] {
        assert_eq!(field(&Rules { addresses: vec![rule(prefix)], ..valid.clone() }), "addresses[0].prefix");
    }
    let twice = vec![rule("192.0.2.10/32"), rule("192.0.2.10/32")];
    assert_eq!(field(&Rules { addresses: twice, ..valid.clone() }), "addresses[1].prefix");
    assert_eq!(field(&Rules { settling: 0, ..valid.clone() }), "settling");
    assert_eq!(field(&Rules { hold_up_max: 1, ..valid.clone() }), "hold_up_max");
    assert_eq!(field(&Rules { floor: 900, ..valid }), "floor");
}

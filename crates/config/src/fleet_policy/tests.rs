use super::*;

fn base_settings() -> BaseSettings {
    let class = |effect| magpietally_policy::Class { aim: 300.0, worth: 1.0, late_worth: 0.0, effect };
    let mut settings = Settings {
        nodes: 1,
        classes: vec![
            class(Effect::Safe),
            class(Effect::Unsafe),
            class(Effect::Keyed { scope: DedupScope::Zone, memory: 1200.0 }),
        ],
        tenants: vec![magpietally_policy::Tenant { quota_per_s: 100.0 }; 2],
        ..Settings::default()
    };
    settings.limits.attempts = 3;
    settings.limits.max_retry_after = 2000.0;
    let names = |all: &[&str]| all.iter().map(ToString::to_string).collect();
    BaseSettings {
        settings,
        classes: names(&["lookup", "signup", "fee-payment"]),
        tenants: names(&["punjab-clubs", "karachi-clubs"]),
    }
}

#[test]
fn the_shipped_document_is_valid() {
    let shipped = std::fs::read(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/fleet-policy.toml"));
    let document = parse(&shipped.expect("the file exists"), &base_settings()).expect("it is valid");
    assert_eq!(document.quotas.tenants.len(), 1);
    assert!(document.settings.is_some_and(|s| s.limits.attempts == 2));
}

#[test]
fn a_document_changes_what_it_names_and_leaves_the_rest() {
    assert!(parse(b"", &base_settings()).expect("an empty document is valid").settings.is_none());
    let text = "[classes.lookup]\neffect = \"once\"\n[retry]\nshare = 0.05\n\
                [tenants.karachi-clubs]\nrate_per_s = 200.0005\nburst = 400\ncost.signup = 5\n\
                kept.fee-payment = { rate_per_s = 20.0, burst = 40 }\nper_day.signup = 1000\n";
    let document = parse(text.as_bytes(), &base_settings()).expect("valid");
    let settings = document.settings.expect("it changes some");
    assert_eq!(settings.classes[0].effect, Effect::Unsafe);
    assert_eq!((settings.tuning.retry_share, settings.tuning.retry_most), (0.05, 10.0));
    let tenant = &document.quotas.tenants[0];
    assert_eq!((tenant.rate_milli, tenant.burst), (200_000, 400), "a rate is rounded down");
    assert_eq!(tenant.per_day, [("signup".to_string(), 1000)]);
    // Repeating a base setting changes nothing, so that the running decision module is kept.
    assert!(parse(b"[classes.lookup]\neffect = \"safe\"\n", &base_settings())
        .expect("valid")
        .settings
        .is_none());
}

#[test]
fn an_invalid_document_is_rejected_with_its_line_and_field() {
    for (text, expected) in [
        ("[classes]\nx =", "line 2: "),
        ("\n[limit]\n", "line 2: unknown field `limit`"),
        ("[classes.refund]\neffect = \"once\"\n", "line 1: classes.refund: no such class"),
        ("[classes.signup]\neffect = \"safe\"\n", "line 2: classes.signup.effect: wider than"),
        ("[classes.fee-payment]\n\nmemory_ms = 5000\n", "line 3: classes.fee-payment.memory_ms: 5000 is"),
        ("[classes.fee-payment]\ngroup = \"all\"\n", "line 2: classes.fee-payment.group: wider"),
        ("[classes.lookup]\ngroup = \"all\"\n", "line 2: classes.lookup.group: only for"),
        ("[classes.lookup]\naim_ms = 0\n", "line 1: classes: classes[0].aim: must be above 0"),
        ("[limits]\nattempts = 4\n", "line 2: limits.attempts: 4 is more than the platform's 3"),
        ("[limits]\nattempts = 0\n", "line 1: limits: limits.attempts: no attempts"),
        ("[limits]\nsecond_copies = true\n", "line 2: limits.second_copies: the platform"),
        ("[ejection]\nat_most = 1.5\n", "line 1: ejection: tuning.eject_at_most: 1.5 is a share"),
        ("[retry]\nmost = -1.0\n", "line 1: retry: tuning.retry_most: -1"),
        ("[tenants.x]\nburst = 1\n", "line 1: tenants.x: no such tenant"),
        ("[tenants.punjab-clubs]\nburst = 4\n", "line 1: tenants.punjab-clubs.rate_per_s: a quota needs"),
        (
            "[tenants.punjab-clubs]\nrate_per_s = -2\nburst = 4\n",
            "line 2: tenants.punjab-clubs.rate_per_s: -2 is outside",
        ),
        (
            "[tenants.punjab-clubs]\nrate_per_s = 2\nburst = 4\n[tenants.punjab-clubs.per_day]\nx = 3\n",
            "line 5: tenants.punjab-clubs.per_day.x: no such class",
        ),
        (
            "[tenants.punjab-clubs]\nrate_per_s = 2\nburst = 4\ncost.signup = 5\n",
            "line 1: tenants: tenant punjab-clubs: a signup costs more than",
        ),
        ("\u{0}", "line 1: "),
    ] {
        let message = parse(text.as_bytes(), &base_settings()).map(|_| ()).expect_err(text).to_string();
        assert!(message.starts_with(expected), "{text}: {message}");
    }
    assert!(parse(&[0xff], &base_settings()).is_err());
}

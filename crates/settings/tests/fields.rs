//! Every field of the settings that is read, spoilt in every way: one error that names it by its path.

use magpietally_policy::{DedupScope, Discovery, Effect, Weights};
use magpietally_settings::{parse, parse_named};
use serde_json::{json, Value};

/// Two classes that are keyed and unsafe, one tenant, and a key that no page names in each object.
fn good() -> Value {
    json!({
        "Classes": [
            {"Name": "seat", "Slo": 100, "Deadline": 500, "Idempotency": "token", "DedupScope": "zone",
             "MemorySpan": 700, "Value": 10, "LateValue": 0.5, "Shade": "red"},
            {"Name": "scan", "Slo": 90.5, "Deadline": 400.0, "Idempotency": "side_effect", "Value": 3,
             "LateValue": 0.0}
        ],
        "Customers": [{"Name": "west", "QuotaPerS": 50.0, "Share": 1.0, "Shade": "red"}],
        "Contract": {"AskWithin": 9000, "ColdShare": 0.15, "DrainGrace": 250, "Fall": 1000, "FallMultiple": 4,
                     "WarmWithin": 23000, "Shade": "red"},
        "Discovery": "subscribe",
        "Goal": {"Whole": 0.5, "WorstWindow": 0.1, "WorstClass": 0.3, "WorstTenant": 0.2, "Shade": "red"},
        "Limits": {"AttemptsCap": 3, "Cancel": true, "ConnectTimeout": 50, "MayDuplicate": false, "Probes": false,
                   "RetryAfter": true, "MaxRetryAfter": 900, "Keepalive": 4000, "OpenCap": 77, "Shade": "red"},
        "Me": 1, "OverShareWorth": 0.2, "PeersTotal": 2, "Shade": {"of": "red"}, "Tick": 2.0, "Weights": "rough"
    })
}

/// What is set in place of a field.
#[derive(Clone)]
enum To {
    Gone,
    This(Value),
}

fn spoilt(path: &str, to: &To) -> Value {
    let mut settings = good();
    let (parent, key) = path.rsplit_once('/').expect("a path");
    let parent = settings.pointer_mut(parent).expect("an object").as_object_mut().expect("an object");
    match to {
        To::Gone => drop(parent.remove(key)),
        To::This(value) => drop(parent.insert(key.to_string(), value.clone())),
    }
    settings
}

/// How a field is named: `/Classes/1/Slo` is `settings.Classes[1].Slo`.
fn named(path: &str) -> String {
    let mut name = "settings".to_string();
    for part in path.split('/').skip(1) {
        match part.parse::<usize>() {
            Ok(n) => name.push_str(&format!("[{n}]")),
            Err(_) => name.push_str(&format!(".{part}")),
        }
    }
    name
}

/// What a field may not be, by its kind.
#[derive(Clone, Copy)]
enum Kind {
    Positive,
    Amount,
    Share,
    /// A whole number, this at least.
    Count(u64),
    Flag,
    Word,
    Name,
    Object,
}

impl Kind {
    fn wrong(self) -> Vec<(Value, &'static str)> {
        let number = [
            (json!("5"), "number expected"),
            (json!(true), "number expected"),
            (json!([]), "number expected"),
        ];
        let own: Vec<(Value, &str)> = match self {
            Self::Positive => vec![(json!(0), "must be above 0"), (json!(-0.5), "must be above 0")],
            Self::Amount => {
                vec![(json!(-0.5), "must not be negative"), (json!(-1e300), "must not be negative")]
            }
            Self::Share => {
                vec![(json!(-0.01), "a share is from 0 to 1"), (json!(1.01), "a share is from 0 to 1")]
            }
            Self::Count(least) => {
                let mut wrong: Vec<(Value, &str)> =
                    [json!(1.5), json!(-1), json!("1"), json!({}), json!(false)]
                        .into_iter()
                        .map(|v| (v, "whole number expected"))
                        .collect();
                if least > 0 {
                    wrong.push((json!(0), "1 is needed at least"));
                }
                return wrong;
            }
            Self::Flag => {
                return [json!(1), json!("true"), json!({})].map(|v| (v, "true or false expected")).into()
            }
            Self::Word => {
                return vec![
                    (json!("other"), "other is unknown, known are "),
                    (json!("Pure"), "Pure is unknown, known are "),
                    (json!(""), " is unknown, known are "),
                    (json!(1), "text expected"),
                ]
            }
            Self::Name => return vec![(json!(7), "text expected"), (json!(""), "empty")],
            Self::Object => return [json!(1), json!([]), json!("x")].map(|v| (v, "object expected")).into(),
        };
        own.into_iter().chain(number).collect()
    }
}

const FIELDS: [(&str, Kind); 42] = [
    ("/Classes/0/Name", Kind::Name),
    ("/Classes/0/Slo", Kind::Positive),
    ("/Classes/0/Deadline", Kind::Positive),
    ("/Classes/0/Idempotency", Kind::Word),
    ("/Classes/0/DedupScope", Kind::Word),
    ("/Classes/0/MemorySpan", Kind::Positive),
    ("/Classes/0/Value", Kind::Amount),
    ("/Classes/0/LateValue", Kind::Share),
    ("/Classes/1/Name", Kind::Name),
    ("/Classes/1/Slo", Kind::Positive),
    ("/Classes/1/Deadline", Kind::Positive),
    ("/Classes/1/Idempotency", Kind::Word),
    ("/Classes/1/Value", Kind::Amount),
    ("/Classes/1/LateValue", Kind::Share),
    ("/Customers/0/Name", Kind::Name),
    ("/Customers/0/QuotaPerS", Kind::Amount),
    ("/Contract", Kind::Object),
    ("/Contract/AskWithin", Kind::Positive),
    ("/Contract/ColdShare", Kind::Share),
    ("/Contract/WarmWithin", Kind::Amount),
    ("/Contract/FallMultiple", Kind::Positive),
    ("/Contract/Fall", Kind::Positive),
    ("/Contract/DrainGrace", Kind::Amount),
    ("/Discovery", Kind::Word),
    ("/Goal", Kind::Object),
    ("/Goal/Whole", Kind::Amount),
    ("/Goal/WorstWindow", Kind::Amount),
    ("/Goal/WorstClass", Kind::Amount),
    ("/Goal/WorstTenant", Kind::Amount),
    ("/Limits", Kind::Object),
    ("/Limits/AttemptsCap", Kind::Count(1)),
    ("/Limits/Cancel", Kind::Flag),
    ("/Limits/ConnectTimeout", Kind::Positive),
    ("/Limits/MayDuplicate", Kind::Flag),
    ("/Limits/Probes", Kind::Flag),
    ("/Limits/RetryAfter", Kind::Flag),
    ("/Limits/MaxRetryAfter", Kind::Amount),
    ("/Limits/Keepalive", Kind::Amount),
    ("/Limits/OpenCap", Kind::Count(1)),
    ("/OverShareWorth", Kind::Share),
    ("/Tick", Kind::Amount),
    ("/Weights", Kind::Word),
];

#[test]
fn every_field_that_is_missing_of_another_type_or_out_of_range_is_named() {
    for (path, kind) in FIELDS {
        let name = named(path);
        for gone in [To::Gone, To::This(Value::Null)] {
            assert_eq!(parse(&spoilt(path, &gone)).err(), Some(format!("{name} is missing")));
        }
        for (value, words) in kind.wrong() {
            let error =
                parse(&spoilt(path, &To::This(value.clone()))).expect_err(&format!("{name}: {value}"));
            assert!(error.starts_with(&format!("{name}: ")), "{name}: {value}: {error}");
            assert!(error.contains(words) && error.lines().count() == 1, "{name}: {value}: {error}");
        }
    }
}

#[test]
fn what_does_not_go_together_is_named() {
    for (path, to, words) in [
        ("/Classes", To::Gone, "settings.Classes: no classes"),
        ("/Classes", To::This(json!([])), "settings.Classes: no classes"),
        ("/Classes", To::This(json!({})), "settings.Classes: array expected"),
        ("/Classes/1/Name", To::This(json!("seat")), "settings.Classes[1].Name: seat comes twice"),
        ("/Customers", To::This(json!("west")), "settings.Customers: array expected"),
        ("/Customers", To::This(json!([7])), "settings.Customers[0]: object expected"),
        (
            "/Customers",
            To::This(json!([{"Name": "a", "QuotaPerS": 1}, {"Name": "a", "QuotaPerS": 1}])),
            "settings.Customers[1].Name: a comes twice",
        ),
        ("/Customers/0/Share", To::This(json!(0)), "settings.Customers[0].Share: 0: must be above 0"),
        ("/Customers/0/Share", To::This(json!(1.5)), "settings.Customers[0].Share: 1.5: a share is"),
        ("/Customers/0/Share", To::This(json!("all")), "settings.Customers[0].Share: number expected"),
        ("/Me", To::Gone, "settings.Me is missing"),
        ("/Me", To::This(json!(-1)), "settings.Me: whole number expected"),
        ("/Me", To::This(json!(2)), "settings.Me: 2: own number must be below the count of nodes"),
        ("/PeersTotal", To::This(json!(0)), "settings.PeersTotal: 0: 1 is needed at least"),
        ("/PeersTotal", To::This(json!(1_000_001)), "settings.PeersTotal: 1000001 is more than"),
        ("/PeersTotal", To::This(json!(1e300)), "settings.PeersTotal: "),
    ] {
        let error = parse(&spoilt(path, &to)).expect_err(words);
        assert!(error.starts_with(words), "{words}: {error}");
    }
    assert_eq!(parse(&json!([])).err().as_deref(), Some("settings: object expected"));
    assert_eq!(
        parse_named(&json!({}), "Options").err().as_deref(),
        Some("Options.Classes: no classes, one is needed at least")
    );
}

/// What a page says may be absent, or what has no meaning beside the rest; keys that are added.
#[test]
fn what_may_be_absent_and_what_is_added_is_no_error() {
    let read = |settings: &Value| parse(settings).unwrap_or_else(|e| panic!("{e}"));
    let plain = read(&good());
    assert_eq!(plain.classes, ["seat", "scan"]);
    assert_eq!(plain.deadlines, [500.0, 400.0]);
    assert_eq!((plain.longest_deadline(), plain.keepalive, plain.open_cap), (500.0, 4000.0, 77));
    assert_eq!(plain.settings.classes[0].effect, Effect::Keyed { scope: DedupScope::Zone, memory: 700.0 });
    assert_eq!((plain.settings.discovery, plain.settings.weights), (Discovery::Polled, Weights::Listed));
    let set = |settings: &mut Value, path: &str, to: Value| *settings.pointer_mut(path).expect(path) = to;
    for none in [Value::Null, json!([])] {
        let mut settings = good();
        set(&mut settings, "/Customers", none);
        assert!(read(&settings).tenants.is_empty(), "a site may have none");
    }
    let mut settings = good();
    set(&mut settings, "/Classes/0/Idempotency", json!("pure"));
    set(&mut settings, "/Classes/0/DedupScope", Value::Null);
    set(&mut settings, "/Classes/0/MemorySpan", json!(0));
    set(&mut settings, "/Discovery", json!("automatic"));
    set(&mut settings, "/Limits/RetryAfter", json!(false));
    set(&mut settings, "/Limits/MaxRetryAfter", Value::Null);
    set(&mut settings, "/Customers/0/Share", Value::Null);
    let read = read(&settings).settings;
    assert_eq!((read.discovery, read.limits.max_retry_after), (Discovery::Pushed, 0.0));
    assert_eq!(read.classes[0].effect, Effect::Safe);
}

/// All that two settings differ in comes from them: nothing is left over from one deployment.
#[test]
fn each_figure_comes_from_its_own_field() {
    let figures = |settings: &Value| {
        let t = parse(settings).expect("good settings");
        format!("{t:?}")
    };
    let plain = figures(&good());
    for (path, kind) in FIELDS {
        let old = good().pointer(path).expect(path).clone();
        let new = match (&old, kind) {
            (Value::Bool(b), _) => json!(!b),
            (Value::Number(n), Kind::Count(_)) => json!(n.as_u64().expect("whole") + 1),
            (Value::Number(n), _) => json!(n.as_f64().expect("a number") * 0.5 + 0.125),
            (Value::String(_), Kind::Name) => json!("other"),
            (Value::String(word), _) => json!(match word.as_str() {
                "token" | "side_effect" => "pure",
                "zone" => "all",
                "subscribe" => "automatic",
                _ => "live",
            }),
            _ => continue,
        };
        assert_ne!(figures(&spoilt(path, &To::This(new.clone()))), plain, "{path} as {new}");
    }
}

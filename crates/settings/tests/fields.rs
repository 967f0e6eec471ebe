//! Makes every field of the settings invalid in every way and checks for a one-line error that names its
//! path.

use magpietally_policy::{DedupScope, Discovery, Effect, Weights};
use magpietally_settings::{parse, parse_named};
use serde_json::{json, Value};

/// A keyed and an unsafe class, one tenant, and in each object an unknown key.
fn valid() -> Value {
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

/// How a field is changed.
#[derive(Clone)]
enum Change {
    Remove,
    Set(Value),
}

fn changed(path: &str, change: &Change) -> Value {
    let mut settings = valid();
    let (parent, key) = path.rsplit_once('/').expect("a path");
    let parent = settings.pointer_mut(parent).expect("an object").as_object_mut().expect("an object");
    match change {
        Change::Remove => drop(parent.remove(key)),
        Change::Set(value) => drop(parent.insert(key.to_string(), value.clone())),
    }
    settings
}

/// The path of a field in error messages: for `/Classes/1/Slo` it is `settings.Classes[1].Slo`.
fn error_path(path: &str) -> String {
    let mut name = "settings".to_string();
    for part in path.split('/').skip(1) {
        match part.parse::<usize>() {
            Ok(n) => name.push_str(&format!("[{n}]")),
            Err(_) => name.push_str(&format!(".{part}")),
        }
    }
    name
}

/// The kind of a field, which determines the invalid values.
#[derive(Clone, Copy)]
enum Kind {
    Positive,
    NonNegative,
    Share,
    /// A whole number with this minimum.
    Count(u64),
    Flag,
    Choice,
    Name,
    Object,
}

impl Kind {
    fn invalid_values(self) -> Vec<(Value, &'static str)> {
        let number = [
            (json!("5"), "number expected"),
            (json!(true), "number expected"),
            (json!([]), "number expected"),
        ];
        let own: Vec<(Value, &str)> = match self {
            Self::Positive => vec![(json!(0), "must be above 0"), (json!(-0.5), "must be above 0")],
            Self::NonNegative => {
                vec![(json!(-0.5), "must not be negative"), (json!(-1e300), "must not be negative")]
            }
            Self::Share => {
                vec![(json!(-0.01), "a share is from 0 to 1"), (json!(1.01), "a share is from 0 to 1")]
            }
            Self::Count(min) => {
                let mut invalid: Vec<(Value, &str)> =
                    [json!(1.5), json!(-1), json!("1"), json!({}), json!(false)]
                        .into_iter()
                        .map(|v| (v, "whole number expected"))
                        .collect();
                if min > 0 {
                    invalid.push((json!(0), "1 is needed at least"));
                }
                return invalid;
            }
            Self::Flag => {
                return [json!(1), json!("true"), json!({})].map(|v| (v, "true or false expected")).into()
            }
            Self::Choice => {
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
    ("/Classes/0/Idempotency", Kind::Choice),
    ("/Classes/0/DedupScope", Kind::Choice),
    ("/Classes/0/MemorySpan", Kind::Positive),
    ("/Classes/0/Value", Kind::NonNegative),
    ("/Classes/0/LateValue", Kind::Share),
    ("/Classes/1/Name", Kind::Name),
    ("/Classes/1/Slo", Kind::Positive),
    ("/Classes/1/Deadline", Kind::Positive),
    ("/Classes/1/Idempotency", Kind::Choice),
    ("/Classes/1/Value", Kind::NonNegative),
    ("/Classes/1/LateValue", Kind::Share),
    ("/Customers/0/Name", Kind::Name),
    ("/Customers/0/QuotaPerS", Kind::NonNegative),
    ("/Contract", Kind::Object),
    ("/Contract/AskWithin", Kind::Positive),
    ("/Contract/ColdShare", Kind::Share),
    ("/Contract/WarmWithin", Kind::NonNegative),
    ("/Contract/FallMultiple", Kind::Positive),
    ("/Contract/Fall", Kind::Positive),
    ("/Contract/DrainGrace", Kind::NonNegative),
    ("/Discovery", Kind::Choice),
    ("/Goal", Kind::Object),
    ("/Goal/Whole", Kind::NonNegative),
    ("/Goal/WorstWindow", Kind::NonNegative),
    ("/Goal/WorstClass", Kind::NonNegative),
    ("/Goal/WorstTenant", Kind::NonNegative),
    ("/Limits", Kind::Object),
    ("/Limits/AttemptsCap", Kind::Count(1)),
    ("/Limits/Cancel", Kind::Flag),
    ("/Limits/ConnectTimeout", Kind::Positive),
    ("/Limits/MayDuplicate", Kind::Flag),
    ("/Limits/Probes", Kind::Flag),
    ("/Limits/RetryAfter", Kind::Flag),
    ("/Limits/MaxRetryAfter", Kind::NonNegative),
    ("/Limits/Keepalive", Kind::NonNegative),
    ("/Limits/OpenCap", Kind::Count(1)),
    ("/OverShareWorth", Kind::Share),
    ("/Tick", Kind::NonNegative),
    ("/Weights", Kind::Choice),
];

#[test]
fn the_error_names_a_field_that_is_missing_of_another_type_or_out_of_range() {
    for (path, kind) in FIELDS {
        let name = error_path(path);
        for change in [Change::Remove, Change::Set(Value::Null)] {
            assert_eq!(parse(&changed(path, &change)).err(), Some(format!("{name} is missing")));
        }
        for (value, words) in kind.invalid_values() {
            let error =
                parse(&changed(path, &Change::Set(value.clone()))).expect_err(&format!("{name}: {value}"));
            assert!(error.starts_with(&format!("{name}: ")), "{name}: {value}: {error}");
            assert!(error.contains(words) && error.lines().count() == 1, "{name}: {value}: {error}");
        }
    }
}

#[test]
fn the_error_names_fields_that_are_inconsistent() {
    for (path, change, words) in [
        ("/Classes", Change::Remove, "settings.Classes: no classes"),
        ("/Classes", Change::Set(json!([])), "settings.Classes: no classes"),
        ("/Classes", Change::Set(json!({})), "settings.Classes: array expected"),
        ("/Classes/1/Name", Change::Set(json!("seat")), "settings.Classes[1].Name: seat comes twice"),
        ("/Customers", Change::Set(json!("west")), "settings.Customers: array expected"),
        ("/Customers", Change::Set(json!([7])), "settings.Customers[0]: object expected"),
        (
            "/Customers",
            Change::Set(json!([{"Name": "a", "QuotaPerS": 1}, {"Name": "a", "QuotaPerS": 1}])),
            "settings.Customers[1].Name: a comes twice",
        ),
        ("/Customers/0/Share", Change::Set(json!(0)), "settings.Customers[0].Share: 0: must be above 0"),
        ("/Customers/0/Share", Change::Set(json!(1.5)), "settings.Customers[0].Share: 1.5: a share is"),
        ("/Customers/0/Share", Change::Set(json!("all")), "settings.Customers[0].Share: number expected"),
        ("/Me", Change::Remove, "settings.Me is missing"),
        ("/Me", Change::Set(json!(-1)), "settings.Me: whole number expected"),
        ("/Me", Change::Set(json!(2)), "settings.Me: 2: own number must be below the count of nodes"),
        ("/PeersTotal", Change::Set(json!(0)), "settings.PeersTotal: 0: 1 is needed at least"),
        ("/PeersTotal", Change::Set(json!(1_000_001)), "settings.PeersTotal: 1000001 is more than"),
        ("/PeersTotal", Change::Set(json!(1e300)), "settings.PeersTotal: "),
    ] {
        let error = parse(&changed(path, &change)).expect_err(words);
        assert!(error.starts_with(words), "{words}: {error}");
    }
    assert_eq!(parse(&json!([])).err().as_deref(), Some("settings: object expected"));
    assert_eq!(
        parse_named(&json!({}), "Options").err().as_deref(),
        Some("Options.Classes: no classes, one is needed at least")
    );
}

/// Optional fields may be absent, fields without effect may be null, and unknown keys are ignored.
#[test]
fn optional_fields_and_unknown_keys_are_no_error() {
    let read = |settings: &Value| parse(settings).unwrap_or_else(|e| panic!("{e}"));
    let parsed = read(&valid());
    assert_eq!(parsed.classes, ["seat", "scan"]);
    assert_eq!(parsed.deadlines, [500.0, 400.0]);
    assert_eq!((parsed.longest_deadline(), parsed.keepalive, parsed.open_cap), (500.0, 4000.0, 77));
    assert_eq!(parsed.settings.classes[0].effect, Effect::Keyed { scope: DedupScope::Zone, memory: 700.0 });
    assert_eq!((parsed.settings.discovery, parsed.settings.weights), (Discovery::Polled, Weights::Listed));
    let set = |settings: &mut Value, path: &str, to: Value| *settings.pointer_mut(path).expect(path) = to;
    for none in [Value::Null, json!([])] {
        let mut settings = valid();
        set(&mut settings, "/Customers", none);
        assert!(read(&settings).tenants.is_empty(), "there may be no tenants");
    }
    let mut settings = valid();
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

/// A change of any field changes the result: no value is fixed in the code.
#[test]
fn each_value_comes_from_its_own_field() {
    let debug_text = |settings: &Value| {
        let settings = parse(settings).expect("good settings");
        format!("{settings:?}")
    };
    let original = debug_text(&valid());
    for (path, kind) in FIELDS {
        let old = valid().pointer(path).expect(path).clone();
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
        assert_ne!(debug_text(&changed(path, &Change::Set(new.clone()))), original, "{path} as {new}");
    }
}

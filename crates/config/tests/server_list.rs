//! Server lists: their problems, and when they are applied.

use std::time::Duration;

use magpietally_config::reload::{FileCheck, ReloadAction, ReloadRules, ReloadTracker};
use magpietally_config::server_list::{expected_sum, parse, ServerList, FILE_MAX_BYTES};
use magpietally_config::watch::FileWatcher;
use proptest::prelude::*;

fn entry(name: &str, port: u16, more: &str) -> String {
    format!("[[box]]\nname = {name:?}\naddress = \"127.0.0.1:{port}\"\n{more}")
}

fn list(names: &[&str]) -> String {
    let boxes: String = (1..).zip(names).map(|(port, name)| entry(name, port, "")).collect();
    format!("count = {}\n{boxes}", names.len())
}

fn problems(text: &[u8]) -> Vec<String> {
    parse(text).expect_err("the list is invalid").iter().map(ToString::to_string).collect()
}

#[test]
fn every_problem_is_reported_with_its_line() {
    for (text, expected) in [
        (format!("count = 2\n{}", entry("a", 1, "")), "line 1: count is 2, and there are 1 boxes"),
        (format!("count = 0\n{}", entry("a", 1, "")), "line 1: count is 0, and there are 1 boxes"),
        ("count = 0\n".into(), "line 1: no boxes; where that is meant"),
        ("count = -1\n".into(), "line 1: "),
        (String::new(), "line 1: missing field `count`"),
        (format!("count = 1\nfoo = 1\n{}", entry("a", 1, "")), "line 2: unknown field `foo`"),
        (format!("count = 1\n{}", entry("a", 1, "wight = 2\n")), "line 5: unknown field `wight`"),
        (
            format!("count = 1\n{}", entry("a", 1, "weight = 0.0\n")),
            "line 5: weight: 0 is not within 0.001 to 1000; a box",
        ),
        (format!("count = 1\n{}", entry("a", 1, "weight = nan\n")), "line 5: weight: NaN"),
        (format!("count = 1\n{}", entry("a", 1, "weight = \"1\"\n")), "line 5: "),
        (format!("count = 1\n{}", entry("a", 1, "state = \"up\"\n")), "line 5: unknown variant `up`"),
        (
            format!("count = 1\n{}", entry("a", 1, "started_ms = -5.0\n")),
            "line 5: started_ms: -5 is no Unix time",
        ),
        (format!("count = 1\n{}", entry("a", 0, "")), "line 4: address: 127.0.0.1:0 is nowhere"),
        (format!("count = 1\n{}", entry("a b", 1, "")), "line 3: name: 1 to 128 visible"),
        (format!("count = 1\n{}", entry("", 1, "")), "line 3: name: 1 to 128 visible"),
        (
            "count = 1\n[[box]]\nname = \"a\"\naddress = \"app-1:80\"\n".into(),
            "line 4: address: IP address and port",
        ),
        ("count = 1\n[[box]]\nname = \"a\"\n".into(), "line 2: missing field `address`"),
        (
            format!("count = 1\nsum = \"00000000\"\n{}", entry("a", 1, "")),
            "line 2: sum is 00000000, and the file's is",
        ),
        (format!("{}[[box]\n", list(&["a"])), "line 5: "),
    ] {
        let told = problems(text.as_bytes());
        assert!(told[0].starts_with(expected), "{text}\n{told:?}");
        assert_eq!(told.len(), 1, "{told:?}");
    }
    let many = format!("count = 9\n{}{}", entry("a", 1, "weight = 0.0\n"), entry("a", 1, ""));
    let told = problems(many.as_bytes());
    let lines: Vec<&str> = told.iter().filter_map(|p| p.split(':').next()).collect();
    assert_eq!(
        lines,
        ["line 1", "line 5", "line 7", "line 8"],
        "a duplicate name and a duplicate address: {told:?}"
    );
}

#[test]
fn unusual_encodings_are_parsed_or_reported() {
    let good = list(&["a", "b"]);
    let marked = [b"\xEF\xBB\xBF", good.replace('\n', "\r\n").as_bytes()].concat();
    assert_eq!(parse(&marked), parse(good.as_bytes()), "a byte order mark and CRLF change nothing");
    let tabbed = good.replace("name =", "\tname\t=");
    assert_eq!(parse(tabbed.as_bytes()), parse(good.as_bytes()));
    let cut = format!("{good}# Gulberg, ü");
    assert_eq!(problems(&cut.as_bytes()[..cut.len() - 1])[0].split(':').next(), Some("line 8"));
    assert!(problems(&vec![b'#'; FILE_MAX_BYTES + 1])[0].contains("are the most"));
    let deep = format!("count = {}1{}", "[".repeat(10_000), "]".repeat(10_000));
    assert_eq!(problems(deep.as_bytes()).len(), 1, "10,000 deep");
}

#[test]
fn a_sum_holds_for_the_whole_file() {
    let draft = list(&["a", "b"]).replacen('\n', "\nsum = \"\"\n", 1);
    let sum = expected_sum(draft.as_bytes()).expect("it has one");
    let good = draft.replace("sum = \"\"", &format!("sum = \"{sum}\""));
    assert_eq!(parse(good.as_bytes()).expect("good").servers.len(), 2);
    // The head of one list and the tail of another with the correct count, as a write in place may leave.
    let mixed = good.replace("127.0.0.1:2", "127.0.0.1:9");
    assert!(problems(mixed.as_bytes())[0].contains("is the copy whole?"));
}

const RULES: ReloadRules = ReloadRules {
    hold: Duration::from_secs(10),
    quiet_period: Duration::from_millis(250),
    report_interval: Duration::from_secs(30),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn names(step: &ReloadAction) -> Vec<String> {
    match step {
        ReloadAction::Apply(ServerList { servers, .. }) => servers.iter().map(|b| b.name.clone()).collect(),
        other => panic!("{other:?}"),
    }
}

fn replaced(names: &[&str]) -> FileCheck {
    FileCheck::Replaced(list(names).into_bytes())
}

#[test]
fn a_file_that_is_being_written_is_applied_once_it_stays_unchanged() {
    let mut tracker = ReloadTracker::new(RULES);
    let whole = list(&["a", "b", "c"]).into_bytes();
    for (n, end) in (10..whole.len()).step_by(9).enumerate() {
        let step = tracker.observe(ms(100 * n as u64), FileCheck::Modified(whole[..end].to_vec()));
        assert_eq!(step, ReloadAction::None, "an unfinished list is not reported");
    }
    assert_eq!(tracker.observe(ms(5000), FileCheck::Modified(whole)), ReloadAction::None);
    assert_eq!(tracker.observe(ms(5100), FileCheck::Unchanged), ReloadAction::None);
    assert_eq!(names(&tracker.observe(ms(5250), FileCheck::Unchanged)), ["a", "b", "c"]);
    // A writer that stops half way is reported; the last valid list stays.
    let half = list(&["a", "b", "c", "d"])[..60].to_string().into_bytes();
    assert_eq!(tracker.observe(ms(6000), FileCheck::Modified(half)), ReloadAction::None);
    let ReloadAction::Report(lines) = tracker.observe(ms(6300), FileCheck::Unchanged) else {
        panic!("the list is incomplete")
    };
    assert_eq!(lines.last().map(String::as_str), Some("the last good list stays: 3 boxes, since 1 s"));
    assert_eq!(tracker.observe(ms(7000), FileCheck::Unchanged), ReloadAction::None, "reported once");
    assert!(
        matches!(tracker.observe(ms(37_000), FileCheck::Unchanged), ReloadAction::Report(_)),
        "and again after the interval"
    );
    assert_eq!(tracker.last_valid().map(|g| g.servers.len()), Some(3));
}

#[test]
fn a_replaced_file_is_applied_at_once() {
    let mut tracker = ReloadTracker::new(RULES);
    assert_eq!(names(&tracker.observe(ms(0), replaced(&["a", "b"]))), ["a", "b"]);
    assert_eq!(
        names(&tracker.observe(ms(1), replaced(&["a", "b", "c"]))),
        ["a", "b", "c"],
        "within a millisecond"
    );
    assert_eq!(
        tracker.observe(ms(2), replaced(&["a", "b", "c"])),
        ReloadAction::None,
        "the same list is no change"
    );
    assert!(
        matches!(tracker.observe(ms(3), replaced(&[])), ReloadAction::Report(_)),
        "an empty list is rejected"
    );
    let meant = FileCheck::Replaced(b"count = 0\nempty_is_meant = true\n".to_vec());
    assert_eq!(names(&tracker.observe(ms(4), meant)), [""; 0], "unless it is on purpose");
}

#[test]
fn a_list_that_drops_most_servers_is_held_unless_it_is_on_purpose() {
    let mut tracker = ReloadTracker::new(RULES);
    let before = ["a", "b", "c", "d", "e"];
    tracker.observe(ms(0), replaced(&before));
    // A renamed server counts as removed.
    let ReloadAction::Report(lines) = tracker.observe(ms(100), replaced(&["a", "b", "x", "y", "z"])) else {
        panic!("held")
    };
    assert!(lines[0].starts_with("it takes away 3 of 5 boxes in service; held for 10 s"), "{lines:?}");
    // The mistake is corrected before the list is applied.
    assert_eq!(tracker.observe(ms(5000), replaced(&before)), ReloadAction::None);
    assert_eq!(tracker.observe(ms(20_000), FileCheck::Unchanged), ReloadAction::None);
    // A list that stays is applied after the time for which it is held.
    assert!(matches!(tracker.observe(ms(21_000), replaced(&["a"])), ReloadAction::Report(_)));
    assert_eq!(tracker.observe(ms(30_900), FileCheck::Unchanged), ReloadAction::None);
    assert_eq!(names(&tracker.observe(ms(31_000), FileCheck::Unchanged)), ["a"]);
    tracker.observe(ms(32_000), replaced(&before));
    let meant = list(&["b"]).replacen('\n', "\nshrink_is_meant = true\n", 1);
    assert_eq!(names(&tracker.observe(ms(33_000), FileCheck::Replaced(meant.into_bytes()))), ["b"]);
    tracker.observe(ms(34_000), replaced(&before));
    let drained: String = (1..).zip(before).map(|(p, n)| entry(n, p, "state = \"draining\"\n")).collect();
    let drained = format!("count = 5\n{drained}").into_bytes();
    assert!(
        matches!(tracker.observe(ms(35_000), FileCheck::Replaced(drained)), ReloadAction::Report(_)),
        "draining servers count as removed, too"
    );
}

#[test]
fn an_unreadable_file_changes_nothing() {
    let mut tracker = ReloadTracker::new(RULES);
    tracker.observe(ms(0), replaced(&["a"]));
    let gone = || FileCheck::Unreadable("can't be read: permission denied".into());
    assert!(matches!(tracker.observe(ms(100), gone()), ReloadAction::Report(_)));
    assert_eq!(tracker.observe(ms(200), gone()), ReloadAction::None);
    assert_eq!(tracker.observe(ms(300), FileCheck::Modified(list(&["a"]).into_bytes())), ReloadAction::None);
    assert_eq!(
        tracker.observe(ms(600), FileCheck::Unchanged),
        ReloadAction::None,
        "the file is back with the same list"
    );
    assert_eq!(
        tracker.observe(ms(60_000), FileCheck::Unchanged),
        ReloadAction::None,
        "there is no problem any more"
    );
}

/// A real file that is replaced, modified in place, swapped behind a symbolic link, deleted and created
/// again.
#[test]
fn a_replaced_file_is_distinguished_from_one_modified_in_place() {
    let directory = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("eye");
    // An earlier run may have left it.
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).expect("a directory");
    let (file, next, link) = (directory.join("list"), directory.join("next"), directory.join("link"));
    let mut watcher = FileWatcher::new(link.clone());
    assert!(matches!(watcher.check(), FileCheck::Unreadable(_)));
    std::fs::write(&file, "one").expect("a file");
    std::os::unix::fs::symlink(&file, &link).expect("a link");
    assert_eq!(watcher.check(), FileCheck::Modified(b"one".to_vec()));
    assert_eq!(watcher.check(), FileCheck::Unchanged);
    // The same length, and perhaps the same time stamp.
    std::fs::write(&file, "two").expect("a file");
    assert_eq!(watcher.check(), FileCheck::Modified(b"two".to_vec()));
    std::fs::write(&next, "three").expect("a file");
    std::fs::rename(&next, &file).expect("the same directory");
    assert_eq!(watcher.check(), FileCheck::Replaced(b"three".to_vec()));
    std::fs::write(&next, "four").expect("a file");
    std::fs::remove_file(&link).expect("it is there");
    std::os::unix::fs::symlink(&next, &link).expect("a link");
    assert_eq!(watcher.check(), FileCheck::Replaced(b"four".to_vec()));
    std::fs::remove_file(&next).expect("it is there");
    assert!(matches!(watcher.check(), FileCheck::Unreadable(_)));
    std::fs::create_dir(&next).expect("a directory");
    assert!(matches!(watcher.check(), FileCheck::Unreadable(_)), "a directory is not a list");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// No truncated list is accepted as a list, and corrupted bytes cause no panic.
    #[test]
    fn a_truncated_list_is_rejected(count in 1usize..30, cut in 0usize..4000, flip in 0usize..4000, bits in 1u8..) {
        let names: Vec<String> = (0..count).map(|n| format!("app-{n}")).collect();
        let whole = list(&names.iter().map(String::as_str).collect::<Vec<_>>()).into_bytes();
        prop_assert_eq!(parse(&whole).map(|l| l.servers.len()), Ok(count));
        let cut = cut % whole.len();
        if let Ok(part) = parse(&whole[..cut]) {
            // Only the last line feed is missing.
            prop_assert!(cut == whole.len() - 1 && part.servers.len() == count);
        }
        let mut corrupted = whole.clone();
        corrupted[flip % whole.len()] ^= bits;
        if let Ok(list) = parse(&corrupted) {
            prop_assert!(list.servers.len() == count);
        }
    }
}

/// Guards against a pipe without a writer in place of the file, which would block the watcher forever, so
/// that no later list would be applied.
#[test]
fn a_pipe_in_place_of_the_list_is_reported_and_the_next_list_is_read() {
    let path = std::env::temp_dir().join(format!("magpietally-pipe-{}", std::process::id()));
    // An earlier run may have left it.
    let _ = std::fs::remove_file(&path);
    assert!(std::process::Command::new("mkfifo").arg(&path).status().expect("mkfifo runs").success());
    let (tell, told) = std::sync::mpsc::channel();
    let look = path.clone();
    std::thread::spawn(move || {
        let mut watcher = FileWatcher::new(look.clone());
        tell.send(watcher.check()).expect("the test waits");
        std::fs::remove_file(&look).expect("it is there");
        std::fs::write(&look, list(&["a"])).expect("a file");
        tell.send(watcher.check()).expect("the test waits");
    });
    let wait = Duration::from_secs(20);
    assert_eq!(told.recv_timeout(wait), Ok(FileCheck::Unreadable("can't be read: not a file".into())));
    assert!(
        matches!(told.recv_timeout(wait), Ok(FileCheck::Modified(bytes)) if bytes == list(&["a"]).as_bytes())
    );
    std::fs::remove_file(&path).expect("it was there");
}

/// A known gap: docs/review-of-parts.md, finding 14. A copy truncated within the optional lines of its last
/// server still has the right count, and the missing lines are lost. `sum` detects it, but is optional.
#[test]
#[should_panic(expected = "a cut copy was read as a whole list")]
fn a_copy_truncated_in_the_optional_lines_of_its_last_server_is_rejected() {
    let whole = format!("count = 1\n{}", entry("a", 1, "weight = 2.0\nstate = \"draining\"\n"));
    let cut = whole.len() - "state = \"draining\"\n".len();
    assert!(parse(whole.as_bytes()).is_ok());
    assert!(parse(&whole.as_bytes()[..cut]).is_err(), "a cut copy was read as a whole list");
}

/// Guards against a truncated copy that lacks the draining state of the last server and would bring it back
/// into service.
#[test]
fn a_prefix_of_the_list_in_use_is_held() {
    let hold = Duration::from_secs(10);
    let rules = ReloadRules {
        hold,
        quiet_period: Duration::from_millis(250),
        report_interval: Duration::from_secs(30),
    };
    let mut tracker = ReloadTracker::new(rules);
    let whole = format!("count = 1\n{}", entry("a", 1, "weight = 2.0\nstate = \"draining\"\n"));
    let cut = whole.as_bytes()[..whole.len() - "state = \"draining\"\n".len()].to_vec();
    let s = Duration::from_secs;
    assert!(matches!(
        tracker.observe(s(1), FileCheck::Replaced(whole.clone().into())),
        ReloadAction::Apply(_)
    ));
    let ReloadAction::Report(lines) = tracker.observe(s(2), FileCheck::Replaced(cut.clone())) else {
        panic!("it was applied")
    };
    assert!(lines[0].contains("is the copy whole?"), "{lines:?}");
    assert_eq!(
        tracker.observe(s(3), FileCheck::Replaced(whole.into())),
        ReloadAction::None,
        "the complete list is back"
    );
    // A change on purpose is applied after the time for which it is held.
    assert!(matches!(tracker.observe(s(4), FileCheck::Replaced(cut)), ReloadAction::Report(_)));
    assert_eq!(tracker.observe(s(13), FileCheck::Unchanged), ReloadAction::None);
    assert!(matches!(tracker.observe(s(14), FileCheck::Unchanged), ReloadAction::Apply(_)));
}

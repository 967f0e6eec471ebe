use super::*;

#[test]
fn each_start_has_a_later_session_whatever_the_wall_clock() {
    let directory = std::env::temp_dir().join(format!("session-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let first = next_session(&directory).expect("a number");
    assert!(first.0 > 1_700_000_000, "the first session is the wall clock in seconds");
    let ahead = u64::from(u32::MAX) * 4;
    std::fs::write(directory.join(SESSION_FILE), format!("{ahead}\n")).expect("written");
    assert_eq!(next_session(&directory).expect("a number"), Session(ahead + 1));
    assert_eq!(next_session(&directory).expect("a number"), Session(ahead + 2));
    std::fs::write(directory.join(SESSION_FILE), "soon\n").expect("written");
    assert!(next_session(&directory).is_err_and(|e| e.to_string().contains("soon")));
    std::fs::remove_dir_all(&directory).expect("the directory exists");
}

use super::*;

#[test]
fn each_start_is_a_later_session_whatever_the_wall_clock_says() {
    let folder = std::env::temp_dir().join(format!("session-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a directory");
    let first = next(&folder).expect("a number");
    assert!(first.0 > 1_700_000_000, "the wall clock's seconds at first");
    let ahead = u64::from(u32::MAX) * 4;
    std::fs::write(folder.join(FILE), format!("{ahead}\n")).expect("written");
    assert_eq!(next(&folder).expect("a number"), Session(ahead + 1));
    assert_eq!(next(&folder).expect("a number"), Session(ahead + 2));
    std::fs::write(folder.join(FILE), "soon\n").expect("written");
    assert!(next(&folder).is_err_and(|e| e.to_string().contains("soon")));
    std::fs::remove_dir_all(&folder).expect("it was there");
}

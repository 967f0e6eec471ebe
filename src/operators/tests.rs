use super::*;

#[test]
fn the_file_that_is_shipped_is_good_and_bad_ones_are_named() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/operators.toml");
    assert!(read(shipped).is_ok_and(|o| o.ledger.is_some() && o.boxes.is_some()));
    let file = std::env::temp_dir().join(format!("operators-{}.toml", std::process::id()));
    let name = file.display().to_string();
    for (text, words) in [
        ("[ledger]\ndirectory = \"x\"\npromise = \"none\"\n", "line 3: unknown variant"),
        ("[ledger]\ndirectory = \"x\"\n", "line 1: missing field `promise`"),
        ("[ledger]\nplace = \"x\"\n", "line 2: unknown field `place`"),
        ("[ledger]\ndirectory = \"x\"\npromise = \"power-loss\"\nstall_ms = 1\n", "ledger.stall_ms: 1 is"),
        ("[ledger]\ndirectory = \"\"\npromise = \"power-loss\"\n", "ledger.directory: empty"),
        ("[boxes]\nfile = \"x\"\nhold_s = -1.0\n", "boxes.hold_s: -1 is"),
    ] {
        std::fs::write(&file, text).expect("a file");
        let Err(Failure::Wrong(told)) = read(&name) else { panic!("{text}") };
        assert!(told.starts_with(&format!("{name}: {words}")), "{told}");
    }
    std::fs::remove_file(&file).expect("it was there");
    assert!(matches!(read(&name), Err(Failure::Wrong(_))), "no file, no node");
}

use super::*;

#[test]
fn the_shipped_file_is_valid_and_invalid_ones_name_their_error() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/operators.toml");
    assert!(read(shipped).is_ok_and(|o| o.ledger.is_some() && o.server_list.is_some()));
    let file = std::env::temp_dir().join(format!("operators-{}.toml", std::process::id()));
    let name = file.display().to_string();
    for (text, expected) in [
        ("[ledger]\ndirectory = \"x\"\npromise = \"none\"\n", "line 3: unknown variant"),
        ("[ledger]\ndirectory = \"x\"\n", "line 1: missing field `promise`"),
        ("[ledger]\nplace = \"x\"\n", "line 2: unknown field `place`"),
        ("[ledger]\ndirectory = \"x\"\npromise = \"power-loss\"\nstall_ms = 1\n", "ledger.stall_ms: 1 is"),
        ("[ledger]\ndirectory = \"\"\npromise = \"power-loss\"\n", "ledger.directory: empty"),
        ("[boxes]\nfile = \"x\"\nhold_s = -1.0\n", "boxes.hold_s: -1 is"),
    ] {
        std::fs::write(&file, text).expect("a file");
        let Err(CommandError::InvalidInput(message)) = read(&name) else { panic!("{text}") };
        assert!(message.starts_with(&format!("{name}: {expected}")), "{message}");
    }
    std::fs::remove_file(&file).expect("the file exists");
    assert!(matches!(read(&name), Err(CommandError::InvalidInput(_))), "a missing file is an error");
}

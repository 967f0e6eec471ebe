use super::*;

#[test]
fn the_shipped_file_is_valid_and_invalid_ones_name_their_error() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/fleet.toml");
    assert!(read(shipped).is_ok_and(|o| o.voters.len() == 3 && o.peers.len() == 2));
    let file = std::env::temp_dir().join(format!("fleet-{}.toml", std::process::id()));
    let path = file.display().to_string();
    let valid = "fleet = \"f\"\nvoters = [\"a\", \"b\", \"c\"]\nstore = \"/tmp\"\n\
                datagrams = \"127.0.0.1:0\"\nstreams = \"127.0.0.1:0\"\n";
    for (text, expected) in [
        (valid.replace("fleet = \"f\"", "fleet = \"\""), "fleet: a name of"),
        (valid.replace("\"c\"", "\"a\""), "voters: voter \"a\" is empty or named twice"),
        (valid.replace(", \"c\"", ""), "voters: 2 voters are named"),
        (valid.replace("\"c\"", "\"c d\""), "voters: \"c d\": a node's name"),
        (valid.replace("127.0.0.1:0\"\nst", "here\"\nst"), "line 4: "),
        (format!("{valid}lease_ms = 10\n"), "lease_ms: term is"),
        (format!("{valid}lease = 10\n"), "line 6: unknown field `lease`"),
        (
            format!("{valid}[peers.b]\ndatagrams = \"127.0.0.1:0\"\nstreams = \"127.0.0.1:1\"\n"),
            "peers.b: a peer",
        ),
    ] {
        std::fs::write(&file, &text).expect("a file");
        let Err(CommandError::InvalidInput(message)) = read(&path) else { panic!("{text}") };
        assert!(message.starts_with(&format!("{path}: {expected}")), "{message}");
    }
    std::fs::remove_file(&file).expect("the file exists");
}

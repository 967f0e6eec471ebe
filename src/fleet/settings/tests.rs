use super::*;

#[test]
fn the_file_that_is_shipped_is_good_and_bad_ones_are_named() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/fleet.toml");
    assert!(read(shipped).is_ok_and(|o| o.voters.len() == 3 && o.peers.len() == 2));
    let file = std::env::temp_dir().join(format!("fleet-{}.toml", std::process::id()));
    let path = file.display().to_string();
    let good = "fleet = \"f\"\nvoters = [\"a\", \"b\", \"c\"]\nstore = \"/tmp\"\n\
                datagrams = \"127.0.0.1:0\"\nstreams = \"127.0.0.1:0\"\n";
    for (text, words) in [
        (good.replace("fleet = \"f\"", "fleet = \"\""), "fleet: a name of"),
        (good.replace("\"c\"", "\"a\""), "voters: voter \"a\" is empty or named twice"),
        (good.replace(", \"c\"", ""), "voters: 2 voters are named"),
        (good.replace("\"c\"", "\"c d\""), "voters: \"c d\": a node's name"),
        (good.replace("127.0.0.1:0\"\nst", "here\"\nst"), "line 4: "),
        (format!("{good}lease_ms = 10\n"), "lease_ms: term is"),
        (format!("{good}lease = 10\n"), "line 6: unknown field `lease`"),
        (
            format!("{good}[peers.b]\ndatagrams = \"127.0.0.1:0\"\nstreams = \"127.0.0.1:1\"\n"),
            "peers.b: a peer",
        ),
    ] {
        std::fs::write(&file, &text).expect("a file");
        let Err(CommandError::InvalidInput(told)) = read(&path) else { panic!("{text}") };
        assert!(told.starts_with(&format!("{path}: {words}")), "{told}");
    }
    std::fs::remove_file(&file).expect("it was there");
}

use super::*;

#[test]
fn a_file_with_1024_seeds_is_read() {
    let file = std::env::temp_dir().join(format!("membership-{}.toml", std::process::id()));
    let seeds: String = (0..1024).map(|n| format!("    \"255.255.255.255:{}\",\n", 64_000 + n)).collect();
    std::fs::write(&file, format!("listen = \"127.0.0.1:0\"\nseeds = [\n{seeds}]\n")).expect("a file");
    let result = read(&file.display().to_string());
    std::fs::remove_file(&file).expect("the file exists");
    assert_eq!(result.map(|o| o.seeds.len()).map_err(|_| "refused"), Ok(1024));
}

use super::*;

fn status(n: u64) -> ServerStatus {
    ServerStatus {
        server: ServerId(n),
        in_flight: 0,
        limit: 4.0,
        learned_weight: 1.0,
        warmth: 1.0,
        ejected: false,
    }
}

fn line(all: &[ServerStatus]) -> String {
    let names: Vec<String> = (0..5000).map(|n| format!("box-{n}")).collect();
    servers(all, |id| names.get(id.0 as usize).map(String::as_str))
}

#[test]
fn few_servers_are_listed_one_by_one() {
    let mut all: Vec<ServerStatus> = (0..3).map(status).collect();
    (all[1].warmth, all[2].ejected, all[2].in_flight) = (0.5, true, 2);
    assert_eq!(
        line(&all),
        "; box-0 out 0 limit 4.00 share 1.00; box-1 out 0 limit 4.00 share 1.00 warmth 0.50; \
         box-2 out 2 limit 4.00 share 1.00 ejected"
    );
    assert_eq!(line(&[]), "");
}

#[test]
fn many_servers_are_summarized_and_outliers_are_listed() {
    let mut all: Vec<ServerStatus> = (0..5000).map(status).collect();
    assert_eq!(
        line(&all),
        "; 5000 servers: ejected 0 cold 0 full 0 out 0, limits 4.00/4.00/4.00 shares 1.00/1.00/1.00"
    );
    (all[4711].ejected, all[17].learned_weight, all[300].limit, all[8].in_flight) = (true, 0.5, 0.25, 4);
    let text = line(&all);
    assert!(
        text.starts_with("; 5000 servers: ejected 1 cold 0 full 1 out 4, limits 0.25/4.00/4.00"),
        "{text}"
    );
    let named: Vec<&str> =
        text.split("; ").filter_map(|part| part.split(' ').next()?.strip_prefix("box-")).collect();
    assert_eq!(named, ["4711", "300", "17"]);
    all.iter_mut().step_by(2).for_each(|s| s.ejected = true);
    let text = line(&all);
    assert!(text.len() < 800 && text.contains("more stand out"), "{} long", text.len());
}

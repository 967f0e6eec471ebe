use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::*;

#[test]
fn peers_up_to_the_transport_limit_are_all_used() {
    let names = |of: &str, count: usize| -> Vec<Name> {
        (0..count).map(|n| Name::new(&format!("{of}{n}")).expect("valid name")).collect()
    };
    let voters = names("v", 3);
    let settings = Settings::new(voters.clone(), 1);
    let mut learner = Learner::new(Duration::ZERO, &settings, &mut Pcg64::seed_from_u64(1));
    learner.set_peers(&voters[0], &voters, &names("n", 4000));
    assert_eq!(learner.peers.len(), 4002, "the other voters and the peers");
}

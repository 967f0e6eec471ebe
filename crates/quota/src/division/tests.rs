use super::*;

fn claim(demand: u32) -> Claim {
    Claim { demand, min_share: 1, held: 0 }
}

#[test]
fn no_claim_gets_more_than_its_demand_while_another_gets_less_than_its_own() {
    let t = targets(&[claim(100_000), claim(WHOLE_PPM), claim(900_000), claim(0)]);
    assert_eq!(t, [100_000, 450_000, 450_000, 0]);
}

#[test]
fn what_is_left_over_is_distributed_in_proportion_to_demand() {
    assert_eq!(targets(&[claim(100_000), claim(300_000)]), [250_000, 750_000]);
}

#[test]
fn a_pool_too_small_for_all_serves_as_many_claims_as_possible_holders_first() {
    let min_share = 400_000;
    let c = |demand, held| Claim { demand, min_share, held };
    assert_eq!(targets(&[c(WHOLE_PPM, 0), c(5, 0), c(7, 1)]), [600_000, 0, 400_000]);
}

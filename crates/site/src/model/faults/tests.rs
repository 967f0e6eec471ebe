use super::*;

/// With overlapping faults a box stays down until the last fault that names it ends.
#[test]
fn overlapping_faults_end_with_the_last_one() {
    let mut active = ActiveEffects::default();
    let toggle = |at, on| Toggle { at, on, effect: Effect::Down(1) };
    assert!(active.toggle(&toggle(1, true)));
    assert!(!active.toggle(&toggle(2, true)), "it was down already");
    assert!(!active.toggle(&toggle(3, false)), "the other still holds");
    assert!(active.contains(Effect::Down(1)));
    assert!(active.toggle(&toggle(4, false)));
    assert!(!active.contains(Effect::Down(1)));
}

#[test]
fn shares_and_factors_of_overlapping_faults_combine() {
    let mut active = ActiveEffects::default();
    for effect in [Effect::Lost(0.5), Effect::Lost(0.2), Effect::Slow(0, 0.5), Effect::Slow(0, 0.4)] {
        active.toggle(&Toggle { at: 0, on: true, effect });
    }
    let lost = active.share(|e| if let Effect::Lost(s) = e { Some(*s) } else { None });
    assert!((lost - 0.6).abs() < 1e-12);
    let slow = active.factor(|e| if let Effect::Slow(0, f) = e { Some(*f) } else { None });
    assert!((slow - 0.2).abs() < 1e-12);
}

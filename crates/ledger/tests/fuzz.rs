//! Bytes bent in every way: recovery panics at none and takes nothing for a record that was not written. More cases by
//! `PROPTEST_CASES`, as `docs/measurements/ledger.sh` does.

mod common;

use std::collections::BTreeMap;

use common::*;
use magpietally_ledger::directory::ReadScope;
use magpietally_ledger::journal::Durability;
use magpietally_ledger::recovery::RecoveryLimits;
use magpietally_ledger::sim::SimDisk;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Bend {
    Flip { file: usize, at: usize, bits: u8 },
    Cut { file: usize, at: usize },
    Insert { file: usize, at: usize, bytes: Vec<u8> },
    Repeat { file: usize, from: usize, length: usize, to: usize },
    Swap { one: usize, other: usize },
    Remove { file: usize },
    Zero { file: usize, at: usize, length: usize },
}

fn bend() -> impl Strategy<Value = Bend> {
    let (file, at) = (0usize..64, 0usize..4096);
    prop_oneof![
        4 => (file.clone(), at.clone(), 1u8..).prop_map(|(file, at, bits)| Bend::Flip { file, at, bits }),
        2 => (file.clone(), at.clone()).prop_map(|(file, at)| Bend::Cut { file, at }),
        1 => (file.clone(), at.clone(), prop::collection::vec(any::<u8>(), 1..80))
            .prop_map(|(file, at, bytes)| Bend::Insert { file, at, bytes }),
        1 => (file.clone(), at.clone(), 1usize..400, at.clone())
            .prop_map(|(file, from, length, to)| Bend::Repeat { file, from, length, to }),
        1 => (file.clone(), file.clone()).prop_map(|(one, other)| Bend::Swap { one, other }),
        1 => file.clone().prop_map(|file| Bend::Remove { file }),
        1 => (file, at, 1usize..300).prop_map(|(file, at, length)| Bend::Zero { file, at, length }),
    ]
}

fn apply(files: &mut BTreeMap<String, Vec<u8>>, bend: &Bend) {
    let names: Vec<String> = files.keys().cloned().collect();
    let Some(count) = (!names.is_empty()).then_some(names.len()) else { return };
    let mut with = |file: usize, change: &mut dyn FnMut(&mut Vec<u8>)| {
        if let Some(content) = files.get_mut(&names[file % count]).filter(|c| !c.is_empty()) {
            change(content);
        }
    };
    match bend {
        Bend::Flip { file, at, bits } => with(*file, &mut |c| {
            let at = at % c.len();
            c[at] ^= bits;
        }),
        Bend::Cut { file, at } => with(*file, &mut |c| c.truncate(at % c.len())),
        Bend::Insert { file, at, bytes } => with(*file, &mut |c| {
            let at = at % c.len();
            c.splice(at..at, bytes.iter().copied());
        }),
        Bend::Repeat { file, from, length, to } => with(*file, &mut |c| {
            let from = from % c.len();
            let piece = c[from..(from + length).min(c.len())].to_vec();
            let to = to % c.len();
            c.splice(to..to, piece);
        }),
        Bend::Zero { file, at, length } => with(*file, &mut |c| {
            let at = at % c.len();
            let end = (at + length).min(c.len());
            c[at..end].fill(0);
        }),
        Bend::Swap { one, other } => {
            let (one, other) = (&names[one % count], &names[other % count]);
            let (a, b) = (files[one].clone(), files[other].clone());
            files.insert(one.clone(), b);
            files.insert(other.clone(), a);
        }
        Bend::Remove { file } => {
            files.remove(&names[file % count]);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn nothing_that_was_not_written_is_read(bends in prop::collection::vec(bend(), 1..6), roomy: bool) {
        let disk = SimDisk::default();
        let mut journal_options = journal_options(Durability::ProcessCrash, 100);
        if roomy {
            journal_options.segment_bytes = 1 << 20;
        }
        play(&disk, journal_options);
        let good = disk.files();
        let (_, written) = read(&good, ReadScope::All);
        let mut files = good.clone();
        bends.iter().for_each(|b| apply(&mut files, b));
        for reach in [ReadScope::All, ReadScope::Checkpoint] {
            let (recovered, seen) = read(&files, reach);
            for s in &seen {
                let was = written.iter().any(|w| (w.segment, w.seq, &w.record) == (s.segment, s.seq, &s.record));
                prop_assert!(was, "{s:?} was not written");
            }
            prop_assert!(recovered.open.len() <= RecoveryLimits::default().open);
            prop_assert!(recovered.findings.len() <= RecoveryLimits::default().findings);
        }
        // And a node starts from it.
        live_on(&files, journal_options);
    }

    #[test]
    fn any_bytes_are_read_without_harm(bytes in prop::collection::vec(any::<u8>(), 0..3000), headed: bool) {
        let disk = SimDisk::default();
        play(&disk, journal_options(Durability::ProcessCrash, 100));
        let mut files = disk.files();
        let last = files.keys().next_back().cloned().expect("there are some");
        let mut content = if headed { files[&last][..68].to_vec() } else { Vec::new() };
        content.extend(bytes);
        files.insert(last, content);
        let (recovered, seen) = read(&files, ReadScope::All);
        prop_assert!(seen.len() as u64 == recovered.records);
    }
}

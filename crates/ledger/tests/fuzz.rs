//! Corrupts segments in many ways: recovery never panics and returns no record that was not written.
//! `PROPTEST_CASES` sets the number of cases, as in `docs/measurements/ledger.sh`.

mod common;

use std::collections::BTreeMap;

use common::*;
use magpietally_ledger::directory::ReadScope;
use magpietally_ledger::journal::Durability;
use magpietally_ledger::recovery::RecoveryLimits;
use magpietally_ledger::sim::SimDisk;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Corruption {
    Flip { file: usize, at: usize, bits: u8 },
    Cut { file: usize, at: usize },
    Insert { file: usize, at: usize, bytes: Vec<u8> },
    Repeat { file: usize, from: usize, length: usize, to: usize },
    Swap { one: usize, other: usize },
    Remove { file: usize },
    Zero { file: usize, at: usize, length: usize },
}

fn corruption() -> impl Strategy<Value = Corruption> {
    let (file, at) = (0usize..64, 0usize..4096);
    prop_oneof![
        4 => (file.clone(), at.clone(), 1u8..).prop_map(|(file, at, bits)| Corruption::Flip { file, at, bits }),
        2 => (file.clone(), at.clone()).prop_map(|(file, at)| Corruption::Cut { file, at }),
        1 => (file.clone(), at.clone(), prop::collection::vec(any::<u8>(), 1..80))
            .prop_map(|(file, at, bytes)| Corruption::Insert { file, at, bytes }),
        1 => (file.clone(), at.clone(), 1usize..400, at.clone())
            .prop_map(|(file, from, length, to)| Corruption::Repeat { file, from, length, to }),
        1 => (file.clone(), file.clone()).prop_map(|(one, other)| Corruption::Swap { one, other }),
        1 => file.clone().prop_map(|file| Corruption::Remove { file }),
        1 => (file, at, 1usize..300).prop_map(|(file, at, length)| Corruption::Zero { file, at, length }),
    ]
}

fn apply(files: &mut BTreeMap<String, Vec<u8>>, corruption: &Corruption) {
    let names: Vec<String> = files.keys().cloned().collect();
    let Some(count) = (!names.is_empty()).then_some(names.len()) else { return };
    let mut change_file = |file: usize, change: &mut dyn FnMut(&mut Vec<u8>)| {
        if let Some(content) = files.get_mut(&names[file % count]).filter(|c| !c.is_empty()) {
            change(content);
        }
    };
    match corruption {
        Corruption::Flip { file, at, bits } => change_file(*file, &mut |c| {
            let at = at % c.len();
            c[at] ^= bits;
        }),
        Corruption::Cut { file, at } => change_file(*file, &mut |c| c.truncate(at % c.len())),
        Corruption::Insert { file, at, bytes } => change_file(*file, &mut |c| {
            let at = at % c.len();
            c.splice(at..at, bytes.iter().copied());
        }),
        Corruption::Repeat { file, from, length, to } => change_file(*file, &mut |c| {
            let from = from % c.len();
            let piece = c[from..(from + length).min(c.len())].to_vec();
            let to = to % c.len();
            c.splice(to..to, piece);
        }),
        Corruption::Zero { file, at, length } => change_file(*file, &mut |c| {
            let at = at % c.len();
            let end = (at + length).min(c.len());
            c[at..end].fill(0);
        }),
        Corruption::Swap { one, other } => {
            let (one, other) = (&names[one % count], &names[other % count]);
            let (a, b) = (files[one].clone(), files[other].clone());
            files.insert(one.clone(), b);
            files.insert(other.clone(), a);
        }
        Corruption::Remove { file } => {
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
    fn no_record_is_read_that_was_not_written(corruptions in prop::collection::vec(corruption(), 1..6), one_segment: bool) {
        let disk = SimDisk::default();
        let mut journal_options = journal_options(Durability::ProcessCrash, 100);
        if one_segment {
            journal_options.segment_bytes = 1 << 20;
        }
        run_workload(&disk, journal_options);
        let good = disk.files();
        let (_, written) = read(&good, ReadScope::All);
        let mut files = good.clone();
        corruptions.iter().for_each(|b| apply(&mut files, b));
        for scope in [ReadScope::All, ReadScope::Checkpoint] {
            let (recovered, seen) = read(&files, scope);
            for s in &seen {
                let was = written.iter().any(|w| (w.segment, w.seq, &w.record) == (s.segment, s.seq, &s.record));
                prop_assert!(was, "{s:?} was not written");
            }
            prop_assert!(recovered.open.len() <= RecoveryLimits::default().open);
            prop_assert!(recovered.findings.len() <= RecoveryLimits::default().findings);
        }
        // A node can also start on these files.
        restart(&files, journal_options);
    }

    #[test]
    fn arbitrary_bytes_are_read_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..3000), with_header: bool) {
        let disk = SimDisk::default();
        run_workload(&disk, journal_options(Durability::ProcessCrash, 100));
        let mut files = disk.files();
        let last = files.keys().next_back().cloned().expect("there are segments");
        let mut content = if with_header { files[&last][..68].to_vec() } else { Vec::new() };
        content.extend(bytes);
        files.insert(last, content);
        let (recovered, seen) = read(&files, ReadScope::All);
        prop_assert!(seen.len() as u64 == recovered.records);
    }
}

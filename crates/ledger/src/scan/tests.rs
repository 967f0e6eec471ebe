use super::*;
use crate::record::encode;

const OWNER: Owner = Owner([5; 16]);

fn segment(count: u64) -> (Vec<u8>, Vec<usize>) {
    let mut bytes = Vec::new();
    let header = Header { owner: OWNER, number: 1, first_seq: 10, boot: 1, wall_us: 0, synced: false };
    header.write(&mut bytes);
    let mut begins = Vec::new();
    for seq in 10..10 + count {
        begins.push(bytes.len());
        encode(&Record::Doubt { segment: 1, from: seq }, seq, Salt::of(OWNER.0, 1), &mut bytes);
    }
    (bytes, begins)
}

fn items(bytes: &[u8], step: usize) -> Vec<ScanEvent> {
    let mut all = Vec::new();
    let mut scanner = Scanner::new(OWNER, 1);
    bytes.chunks(step).for_each(|piece| scanner.push(piece, &mut |item| all.push(item)));
    scanner.end(&mut |item| all.push(item));
    all
}

fn seqs(items: &[ScanEvent]) -> Vec<u64> {
    items
        .iter()
        .filter_map(|i| if let ScanEvent::Record { seq, .. } = i { Some(*seq) } else { None })
        .collect()
}

#[test]
fn pieces_of_any_size_give_the_same() {
    let (mut bytes, begins) = segment(5);
    bytes[begins[2] + 9] ^= 1;
    bytes.truncate(bytes.len() - 3);
    let whole = items(&bytes, usize::MAX);
    assert_eq!(seqs(&whole), [10, 11, 13]);
    let (from, to) = (begins[2] as u64, begins[3] as u64);
    assert!(whole.contains(&ScanEvent::Damage { from, to }));
    assert!(whole.contains(&ScanEvent::Gap { expected: 12, found: 13 }));
    let from = begins[4] as u64;
    assert_eq!(whole.last(), Some(&ScanEvent::Tail { from, length: bytes.len() as u64 - from }));
    for step in [1, 7, 64, 100] {
        assert_eq!(items(&bytes, step), whole, "pieces of {step}");
    }
}

#[test]
fn a_piece_of_the_file_in_a_second_place_is_damage() {
    let (mut bytes, begins) = segment(4);
    let again = bytes[begins[1]..begins[2]].to_vec();
    bytes.extend(again);
    let all = items(&bytes, 4096);
    assert_eq!(seqs(&all), [10, 11, 12, 13]);
    assert!(matches!(all.last(), Some(ScanEvent::Tail { .. })));
}

#[test]
fn a_damaged_header_hides_no_frames_and_a_foreign_one_all() {
    let (bytes, _) = segment(3);
    let mut bent = bytes.clone();
    bent[40] ^= 1;
    let all = items(&bent, 4096);
    assert_eq!((&all[0], seqs(&all).len()), (&ScanEvent::Header(Err(HeaderError::Damaged)), 3));
    for (at, value) in [(20, 0xFF), (0, b'x'), (8, 9)] {
        let mut other = bytes.clone();
        other[at] = value;
        if at == 20 {
            // A header that is good in itself.
            let sum = crc32fast::hash(&other[..64]);
            other[64..68].copy_from_slice(&sum.to_le_bytes());
        }
        assert_eq!(seqs(&items(&other, 4096)).len(), 0, "byte {at}");
    }
}

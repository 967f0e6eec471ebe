use super::*;
use crate::record::encode;

const OWNER: Owner = Owner([5; 16]);

fn segment(count: u64) -> (Vec<u8>, Vec<usize>) {
    let mut bytes = Vec::new();
    let header = Header { owner: OWNER, number: 1, first_seq: 10, boot: 1, wall_us: 0, synced: false };
    header.write(&mut bytes);
    let mut starts = Vec::new();
    for seq in 10..10 + count {
        starts.push(bytes.len());
        encode(&Record::Doubt { segment: 1, from: seq }, seq, Salt::of(OWNER.0, 1), &mut bytes);
    }
    (bytes, starts)
}

fn events(bytes: &[u8], step: usize) -> Vec<ScanEvent> {
    let mut all = Vec::new();
    let mut scanner = Scanner::new(OWNER, 1);
    bytes.chunks(step).for_each(|piece| scanner.push(piece, &mut |event| all.push(event)));
    scanner.end(&mut |event| all.push(event));
    all
}

fn seqs(events: &[ScanEvent]) -> Vec<u64> {
    events
        .iter()
        .filter_map(|event| if let ScanEvent::Record { seq, .. } = event { Some(*seq) } else { None })
        .collect()
}

#[test]
fn the_size_of_the_pieces_does_not_matter() {
    let (mut bytes, starts) = segment(5);
    bytes[starts[2] + 9] ^= 1;
    bytes.truncate(bytes.len() - 3);
    let whole = events(&bytes, usize::MAX);
    assert_eq!(seqs(&whole), [10, 11, 13]);
    let (from, to) = (starts[2] as u64, starts[3] as u64);
    assert!(whole.contains(&ScanEvent::Damage { from, to }));
    assert!(whole.contains(&ScanEvent::Gap { expected: 12, found: 13 }));
    let from = starts[4] as u64;
    assert_eq!(whole.last(), Some(&ScanEvent::Tail { from, length: bytes.len() as u64 - from }));
    for step in [1, 7, 64, 100] {
        assert_eq!(events(&bytes, step), whole, "pieces of {step}");
    }
}

#[test]
fn a_repeated_frame_is_damage() {
    let (mut bytes, starts) = segment(4);
    let repeated = bytes[starts[1]..starts[2]].to_vec();
    bytes.extend(repeated);
    let all = events(&bytes, 4096);
    assert_eq!(seqs(&all), [10, 11, 12, 13]);
    assert!(matches!(all.last(), Some(ScanEvent::Tail { .. })));
}

#[test]
fn frames_are_read_after_a_damaged_header_but_not_after_a_foreign_one() {
    let (bytes, _) = segment(3);
    let mut damaged = bytes.clone();
    damaged[40] ^= 1;
    let all = events(&damaged, 4096);
    assert_eq!((&all[0], seqs(&all).len()), (&ScanEvent::Header(Err(HeaderError::Damaged)), 3));
    for (at, value) in [(20, 0xFF), (0, b'x'), (8, 9)] {
        let mut other = bytes.clone();
        other[at] = value;
        if at == 20 {
            // A valid header of another owner.
            let checksum = crc32fast::hash(&other[..64]);
            other[64..68].copy_from_slice(&checksum.to_le_bytes());
        }
        assert_eq!(seqs(&events(&other, 4096)).len(), 0, "byte {at}");
    }
}

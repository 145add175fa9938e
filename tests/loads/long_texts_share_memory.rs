//! Guards against memory that the texts of many long samples fill, and against samples
//! that discard each other's texts for ever.

use chicoryreach::core::batch::TextMemory;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const MAX_BYTES: usize = 4_000_000;
const TEXT_BYTES: usize = 900_000;
const EVENT_BYTES: usize = 4_000;

/// Runs samples at once, of which a discarded one starts again, until all are complete.
#[rstest]
fn all_texts_complete_within_the_memory(#[values(1, 2, 3, 4)] seed: u64) {
    const SAMPLES: usize = 48;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut memory = TextMemory::new(MAX_BYTES);
    let mut running: Vec<(u64, usize)> = (0..SAMPLES).map(|_| (memory.open(), 0)).collect();
    let mut events = 0;
    while !running.is_empty() {
        let index = rng.random_range(0..running.len());
        let (id, bytes) = running[index];
        let grown = bytes + EVENT_BYTES;
        if !memory.resize(id, grown) {
            assert!(memory.resize(id, 0), "a text can always be discarded");
            running[index] = (id, 0);
        } else if grown >= TEXT_BYTES {
            memory.close(id);
            running.remove(index);
        } else {
            running[index] = (id, grown);
        }
        // The longest text goes beyond the limit.
        assert!(memory.total_bytes() <= MAX_BYTES + TEXT_BYTES);
        events += 1;
        assert!(events < 10_000_000, "{} samples do not end", running.len());
    }
    assert_eq!(memory.total_bytes(), 0);
}

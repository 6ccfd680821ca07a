//! Bodies in segments: the bytes are those that arrived, and what is held is what is counted.

use bytes::Bytes;
use http_body_util::BodyExt;
use mosshead_data_plane::{BodyCollector, BodyKind, MemoryBudget, OutOfMemory, SegmentedBody};
use quickcheck::{TestResult, quickcheck};

const LIMIT: usize = 1 << 20;
/// No segment is longer, so that the allocator can use freed ones again.
const MAX_SEGMENT_BYTES: usize = 64 * 1024;

async fn segments_of(mut body: SegmentedBody) -> Vec<Bytes> {
    let mut segments = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        segments.extend(frame.into_data());
    }
    segments
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().build().expect("a runtime").block_on(future)
}

quickcheck! {
    /// For any pieces, and a length that is stated or not. Guards against the former buffers of growing bodies
    /// (review/5).
    fn a_body_is_collected_without_growing_by_copies(lengths: Vec<u16>, is_stated: bool) -> TestResult {
        let budget = MemoryBudget::new(LIMIT);
        let total: usize = lengths.iter().map(|length| usize::from(*length)).sum();
        let stated = if is_stated { total } else { 0 };
        let Some(reservation) = budget.try_reserve(BodyKind::Request, stated) else { return TestResult::discard() };
        let mut collector = BodyCollector::new(stated, reservation);
        let mut expected = Vec::new();
        for (index, length) in lengths.iter().enumerate() {
            let piece = vec![index as u8; usize::from(*length)];
            match collector.append(&piece) {
                Ok(()) => expected.extend_from_slice(&piece),
                Err(OutOfMemory) => {
                    drop(collector);
                    return TestResult::from_bool(!is_stated && budget.used() == 0);
                }
            }
            // Never more than twice the bytes, besides the first segment.
            let is_bounded = budget.used() >= collector.len()
                && budget.used() <= stated.max(2 * collector.len() + MAX_SEGMENT_BYTES)
                && budget.used() <= budget.limit();
            if !is_bounded {
                return TestResult::failed();
            }
        }
        let body = collector.finish();
        let (length, contiguous) = (body.len(), body.clone().into_bytes());
        let segments = block_on(segments_of(body));
        let is_right = length == total && contiguous == expected && segments.concat() == expected
            && segments.iter().all(|segment| segment.len() <= MAX_SEGMENT_BYTES);
        drop(contiguous);
        let held = budget.used();
        drop(segments);
        TestResult::from_bool(is_right && held >= total && budget.used() == 0)
    }
}

#[test]
fn the_memory_of_a_segment_is_released_with_it() {
    let budget = MemoryBudget::new(LIMIT);
    let reservation = budget.try_reserve(BodyKind::Response, 4 * MAX_SEGMENT_BYTES).expect("room");
    let mut collector = BodyCollector::new(4 * MAX_SEGMENT_BYTES, reservation);
    collector.append(&vec![1; 4 * MAX_SEGMENT_BYTES]).expect("room");
    let mut segments = block_on(segments_of(collector.finish()));
    for left in (0..4).rev() {
        drop(segments.pop());
        assert_eq!(budget.used(), left * MAX_SEGMENT_BYTES);
    }
}

#[test]
fn a_body_in_one_piece_is_counted_too() {
    let budget = MemoryBudget::new(LIMIT);
    let reservation = || budget.try_reserve(BodyKind::Request, 0).expect("room");
    let piece = Bytes::from(vec![1; 1000]);
    let body = BodyCollector::new(0, reservation()).finish_with(piece.clone()).expect("room");
    assert_eq!((budget.used(), body.clone().into_bytes()), (1000, piece));
    drop(body);
    assert_eq!(budget.used(), 0);
    let too_long = Bytes::from(vec![1; LIMIT + 1]);
    assert!(BodyCollector::new(0, reservation()).finish_with(too_long).is_err());
    assert_eq!(budget.used(), 0);
}

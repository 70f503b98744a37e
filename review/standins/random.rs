//! Pseudo-random numbers, different in each process.

use std::sync::atomic::{AtomicU64, Ordering};

static STATE: AtomicU64 = AtomicU64::new(0);

/// Returns a number below `limit`.
pub fn below(limit: u64) -> u64 {
    let state = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
    let mixed = state.wrapping_add(u64::from(std::process::id()).wrapping_mul(0xd129_1a2b_55c6_1f93));
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % limit
}

//! Tests of the bytes of request bodies in flight to one upstream.

use baobabfall_core::upload_share::{SMALL_BODY_BYTES, UploadShare};
use quickcheck::{Gen, QuickCheck};

const LARGE: u64 = 4 << 20;
const FLEET: u64 = 16 << 20;

/// Guards against an upstream that crashes under the bodies that it holds. Load: 4 routers, each
/// with 64 bodies of 4 MiB for one upstream.
#[test]
fn admit_routers_together_keep_the_fleet_bound() {
    let mut routers = vec![UploadShare::new(FLEET); 4];
    let mut admitted = 0;
    for _ in 0..64 {
        for share in &mut routers {
            admitted += u64::from(share.admit("u1", 1, LARGE, 4));
        }
    }
    assert_eq!(admitted * LARGE, FLEET);
}

/// Guards against small requests that wait for large ones, and against a size that no share admits.
#[test]
fn admit_small_bodies_and_single_large_ones_always_go() {
    let mut share = UploadShare::new(FLEET);
    assert!(share.admit("u1", 1, 3 * FLEET, 100));
    assert!(!share.admit("u1", 1, SMALL_BODY_BYTES + 1, 100));
    for _ in 0..10_000 {
        assert!(share.admit("u1", 1, SMALL_BODY_BYTES, 100));
    }
    assert!(share.admit("u1", 2, LARGE, 100), "a new incarnation holds nothing");
    share.release("u1", 1, 3 * FLEET);
    assert!(share.admit("u1", 1, LARGE, 100));
}

/// Guards against a count that is lost or kept after its request has ended.
#[test]
fn release_undoes_admit() {
    fn is_undone(sizes: Vec<u32>) -> bool {
        let mut share = UploadShare::new(u64::MAX);
        let sizes: Vec<u64> = sizes.into_iter().map(u64::from).collect();
        for size in &sizes {
            share.admit("u1", 1, *size, 1);
        }
        for size in &sizes {
            share.release("u1", 1, *size);
        }
        // Only an upstream without bodies in flight gets one that is larger than the share.
        share.admit("u1", 1, u64::MAX, 2)
    }
    QuickCheck::new().rng(Gen::new(200)).quickcheck(is_undone as fn(Vec<u32>) -> bool);
}

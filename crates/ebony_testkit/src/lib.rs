//! Runs property tests with a fixed list of seeds, so that every run gives the same result.

use arbitrary::Unstructured;

/// The result of a property for one seed.
pub type Result<T, E = arbitrary::Error> = std::result::Result<T, E>;

/// Runs a property once for each of `cases` seeds, with `bytes` bytes of random input each. A failure prints the seed.
///
/// `arbtest` by itself runs for a time budget, so that the number of cases depends on the speed of the machine.
///
/// ```
/// ebony_testkit::check_seeds(16, 64, |input| {
///     let number: u32 = input.arbitrary()?;
///     assert_eq!(number.swap_bytes().swap_bytes(), number);
///     Ok(())
/// });
/// ```
pub fn check_seeds(cases: u32, bytes: u32, mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    for case in 1..=cases {
        let seed = (u64::from(case) << 32) | u64::from(bytes);
        arbtest::arbtest(&mut property).seed(seed).run();
    }
}

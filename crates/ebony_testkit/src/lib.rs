//! Runs properties for a fixed list of seeds, so that tests give the same verdict every time.

use arbitrary::Unstructured;

/// The result of one case of a property.
pub type Result<T, E = arbitrary::Error> = std::result::Result<T, E>;

/// Runs a property once for each of `cases` seeds, with `bytes` bytes of input each. A failure prints the seed.
///
/// `arbtest` alone searches for a length of time, which makes the number of cases depend on the machine.
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

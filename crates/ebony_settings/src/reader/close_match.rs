//! Finds the word that a misspelled one most likely stands for.

/// Returns the closest of `words`, if one is close enough to be a likely misspelling.
///
/// A third of the letters may differ, which finds swapped, missing and doubled letters but no unrelated word.
pub(super) fn find_close<'w>(text: &str, words: impl Iterator<Item = &'w str>) -> Option<&'w str> {
    let allowed = (text.chars().count() / 3).clamp(1, 4);
    let lower = text.to_lowercase();
    words
        // The distance takes quadratic time, and a much longer text cannot be close.
        .filter(|word| word.len().abs_diff(lower.len()) <= allowed)
        .map(|word| (strsim::osa_distance(&lower, word), word))
        .filter(|(distance, _)| *distance <= allowed)
        .min()
        .map(|(_, word)| word)
}

//! Finds the known word that a misspelled one most likely means.

/// Returns the closest of `words`, if one is close enough to be a likely misspelling.
///
/// A third of the letters may differ. This finds swapped, missing and doubled letters but no unrelated words.
pub(super) fn find_close_match<'w>(text: &str, words: impl Iterator<Item = &'w str>) -> Option<&'w str> {
    let allowed = (text.chars().count() / 3).clamp(1, 4);
    let lower = text.to_lowercase();
    words
        // Computing the distance takes quadratic time. Words of very different length cannot match.
        .filter(|word| word.len().abs_diff(lower.len()) <= allowed)
        .map(|word| (strsim::osa_distance(&lower, word), word))
        .filter(|(distance, _)| *distance <= allowed)
        .min()
        .map(|(_, word)| word)
}

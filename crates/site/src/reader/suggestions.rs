//! Names that a mistyped one may have been meant to be.

/// How many letters a mistyped name may differ by.
const MAX_DISTANCE: usize = 2;

/// The names that a mistyped one is nearest to, if it is near any.
pub(super) fn nearest_names<'n>(known: impl Iterator<Item = &'n str>, mistyped: &str) -> Vec<&'n str> {
    let known: Vec<(usize, &str)> = known.map(|name| (edit_distance(name, mistyped), name)).collect();
    let min_distance = known.iter().map(|(distance, _)| *distance).min().unwrap_or(usize::MAX);
    // A name of which every letter would change is no near miss.
    let is_near = min_distance <= MAX_DISTANCE && min_distance < mistyped.chars().count();
    known
        .into_iter()
        .filter(|(distance, _)| is_near && *distance == min_distance)
        .map(|(_, name)| name)
        .collect()
}

/// The Levenshtein distance: how many letters are replaced, inserted or removed.
fn edit_distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    // The distances of the letters of `one` so far from each beginning of `other`.
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (index, letter) in one.chars().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], index + 1);
        for (column, other_letter) in other.iter().enumerate() {
            let replaced = diagonal + usize::from(letter != *other_letter);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[other.len()]
}

//! Lists of names in records and messages, which rows refer to by place.

/// The place of a name in the list, where it is put if it is not there yet.
pub(super) fn place_of(names: &mut Vec<String>, name: &str) -> u32 {
    let known = names.iter().position(|known| known == name);
    let place = known.unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    });
    place as u32
}

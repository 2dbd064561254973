//! Name tables of records and messages. Rows refer to a name by its index in the table.

/// Returns the index of a name in the table and appends the name if it is not there yet.
pub(super) fn intern_name(names: &mut Vec<String>, name: &str) -> u32 {
    let known = names.iter().position(|known| known == name);
    let index = known.unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    });
    index as u32
}

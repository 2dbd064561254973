//! A table of named values, each of which has a stable index until it is removed.
//!
//! Indices are never reused: in-flight calls and other components hold indices, and a stale index
//! must resolve to nothing rather than to another value. A removed value leaves nothing behind,
//! so that memory is bounded by the values present, not by all values ever added.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

#[derive(Debug)]
struct Entry<T> {
    name: Arc<str>,
    value: T,
}

/// A table with two keys: an external name and an internal index.
#[derive(Debug)]
pub struct NamedTable<I, T> {
    indices: HashMap<Arc<str>, I>,
    entries: BTreeMap<I, Entry<T>>,
    next_index: u32,
}

impl<I, T> Default for NamedTable<I, T> {
    fn default() -> Self {
        NamedTable { indices: HashMap::new(), entries: BTreeMap::new(), next_index: 0 }
    }
}

impl<I: Copy + Ord + From<u32>, T> NamedTable<I, T> {
    /// Returns the index of the value with this name.
    pub fn index_of(&self, name: &str) -> Option<I> {
        self.indices.get(name).copied()
    }

    /// Returns the value with this name and its index, inserting the result of `make` if there is
    /// none.
    pub fn get_or_insert_with(&mut self, name: &str, make: impl FnOnce() -> T) -> (I, &mut T) {
        let index = match self.indices.get(name) {
            Some(index) => *index,
            None => {
                let index = I::from(self.next_index);
                self.next_index += 1;
                self.indices.insert(name.into(), index);
                index
            }
        };
        let entry =
            self.entries.entry(index).or_insert_with(|| Entry { name: name.into(), value: make() });
        (index, &mut entry.value)
    }

    /// Returns the value with this index.
    pub fn get(&self, index: I) -> Option<&T> {
        self.entries.get(&index).map(|entry| &entry.value)
    }

    /// Returns a mutable reference to the value with this index.
    pub fn get_mut(&mut self, index: I) -> Option<&mut T> {
        self.entries.get_mut(&index).map(|entry| &mut entry.value)
    }

    /// Removes and returns the value with this index.
    pub fn remove(&mut self, index: I) -> Option<T> {
        let entry = self.entries.remove(&index)?;
        self.indices.remove(&entry.name);
        Some(entry.value)
    }

    /// Iterates over all values with their indices, in the order of insertion.
    pub fn iter(&self) -> impl Iterator<Item = (I, &T)> {
        self.entries.iter().map(|(index, entry)| (*index, &entry.value))
    }

    /// Iterates mutably over all values with their indices, in the order of insertion.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (I, &mut T)> {
        self.entries.iter_mut().map(|(index, entry)| (*index, &mut entry.value))
    }

    /// Iterates over all values in the order of insertion.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.entries.values().map(|entry| &entry.value)
    }

    /// Iterates mutably over all values in the order of insertion.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.entries.values_mut().map(|entry| &mut entry.value)
    }

    /// Returns all indices in ascending order.
    pub fn indices(&self) -> Vec<I> {
        self.entries.keys().copied().collect()
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

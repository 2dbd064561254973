//! Things with a name, kept under an index for as long as they are there.
//!
//! An index is never used a second time: calls under way and notes of other parts
//! keep indices, and one that was kept too long must lead to nothing and not to
//! something else. What is removed leaves nothing behind, so that memory follows
//! from what is there and not from what ever was.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

#[derive(Debug)]
struct Entry<T> {
    name: Arc<str>,
    value: T,
}

/// A table with two keys: a name from outside and an index of our own.
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
    /// The index of what has this name.
    pub fn index_of(&self, name: &str) -> Option<I> {
        self.indices.get(name).copied()
    }

    /// What has this name, or what `make` makes for it, with its index.
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

    /// What has this index.
    pub fn get(&self, index: I) -> Option<&T> {
        self.entries.get(&index).map(|entry| &entry.value)
    }

    /// What has this index, to be changed.
    pub fn get_mut(&mut self, index: I) -> Option<&mut T> {
        self.entries.get_mut(&index).map(|entry| &mut entry.value)
    }

    /// Removes what has this index.
    pub fn remove(&mut self, index: I) -> Option<T> {
        let entry = self.entries.remove(&index)?;
        self.indices.remove(&entry.name);
        Some(entry.value)
    }

    /// Everything with its index, what came first first.
    pub fn iter(&self) -> impl Iterator<Item = (I, &T)> {
        self.entries.iter().map(|(index, entry)| (*index, &entry.value))
    }

    /// Everything with its index, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (I, &mut T)> {
        self.entries.iter_mut().map(|(index, entry)| (*index, &mut entry.value))
    }

    /// Everything, what came first first.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.entries.values().map(|entry| &entry.value)
    }

    /// Everything, to be changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.entries.values_mut().map(|entry| &mut entry.value)
    }

    /// All indices, the smallest first.
    pub fn indices(&self) -> Vec<I> {
        self.entries.keys().copied().collect()
    }

    /// How many things there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is nothing.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

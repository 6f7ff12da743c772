//! A map by message id that knows the total size of its values.

use std::collections::BTreeMap;

/// A value with a size in bytes, which may change with the value.
pub trait ByteSize {
    /// Approximate size in bytes.
    fn size(&self) -> usize;
}

/// Values by message id, and their total size.
#[derive(Debug)]
pub struct SizedMap<V> {
    values: BTreeMap<String, V>,
    bytes: usize,
}

impl<V> Default for SizedMap<V> {
    fn default() -> SizedMap<V> {
        SizedMap { values: BTreeMap::new(), bytes: 0 }
    }
}

impl<V: ByteSize> SizedMap<V> {
    /// Total size of the values in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether there are no values.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// The value of an id.
    pub fn get(&self, id: &str) -> Option<&V> {
        self.values.get(id)
    }

    /// Whether there is a value of this id.
    pub fn contains(&self, id: &str) -> bool {
        self.values.contains_key(id)
    }

    /// All ids with their values, in the order of the ids.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &V)> {
        self.values.iter()
    }

    /// All values, in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.values.values()
    }

    /// Sets the value of an id and returns the former one.
    pub fn insert(&mut self, id: String, value: V) -> Option<V> {
        self.bytes += value.size();
        let former = self.values.insert(id, value);
        self.bytes -= former.as_ref().map_or(0, V::size);
        former
    }

    /// Changes the value of an id; `None` if there is none.
    pub fn update<R>(&mut self, id: &str, change: impl FnOnce(&mut V) -> R) -> Option<R> {
        let value = self.values.get_mut(id)?;
        let before = value.size();
        let result = change(value);
        self.bytes = self.bytes - before + value.size();
        Some(result)
    }

    /// Removes and returns the value of an id.
    pub fn remove(&mut self, id: &str) -> Option<V> {
        let former = self.values.remove(id)?;
        self.bytes -= former.size();
        Some(former)
    }
}

//! A generational arena. Its small `Copy` keys let routing code refer to items without cloning
//! their names.

use std::fmt;
use std::marker::PhantomData;

/// A key to one item of an [`ItemArena`]. It is valid only for the arena that issued it.
pub struct ArenaKey<T> {
    slot: u32,
    generation: u32,
    marker: PhantomData<fn() -> T>,
}

impl<T> Clone for ArenaKey<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for ArenaKey<T> {}

impl<T> PartialEq for ArenaKey<T> {
    fn eq(&self, other: &Self) -> bool {
        self.slot == other.slot && self.generation == other.generation
    }
}

impl<T> Eq for ArenaKey<T> {}

impl<T> std::hash::Hash for ArenaKey<T> {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.slot.hash(state);
        self.generation.hash(state);
    }
}

impl<T> fmt::Debug for ArenaKey<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "#{}.{}", self.slot, self.generation)
    }
}

impl<T> ArenaKey<T> {
    /// The slot index. Indexes are dense and are reused after a removal.
    pub fn slot(self) -> usize {
        self.slot as usize
    }
}

struct ArenaSlot<T> {
    generation: u32,
    item: Option<T>,
}

/// A generational arena whose items are addressed by [`ArenaKey`]s. The key of a removed item finds
/// nothing, even after its slot is reused, because each removal increments the slot's generation.
pub struct ItemArena<T> {
    slots: Vec<ArenaSlot<T>>,
    free: Vec<u32>,
}

impl<T> Default for ItemArena<T> {
    fn default() -> Self {
        ItemArena { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> ItemArena<T> {
    /// Creates an empty arena.
    pub fn new() -> Self {
        Self::default()
    }

    /// Inserts `item` and returns its key.
    pub fn insert(&mut self, item: T) -> ArenaKey<T> {
        if let Some(slot) = self.free.pop() {
            let entry = &mut self.slots[slot as usize];
            entry.item = Some(item);
            return ArenaKey { slot, generation: entry.generation, marker: PhantomData };
        }
        let slot = u32::try_from(self.slots.len()).unwrap_or(u32::MAX);
        self.slots.push(ArenaSlot { generation: 0, item: Some(item) });
        ArenaKey { slot, generation: 0, marker: PhantomData }
    }

    /// Returns the item of `key`, or `None` if it was removed.
    pub fn get(&self, key: ArenaKey<T>) -> Option<&T> {
        let entry = self.slots.get(key.slot())?;
        if entry.generation != key.generation {
            return None;
        }
        entry.item.as_ref()
    }

    /// Returns a mutable reference to the item of `key`, or `None` if it was removed.
    pub fn get_mut(&mut self, key: ArenaKey<T>) -> Option<&mut T> {
        let entry = self.slots.get_mut(key.slot())?;
        if entry.generation != key.generation {
            return None;
        }
        entry.item.as_mut()
    }

    /// Removes and returns the item of `key`, and invalidates the key.
    pub fn remove(&mut self, key: ArenaKey<T>) -> Option<T> {
        let entry = self.slots.get_mut(key.slot())?;
        if entry.generation != key.generation {
            return None;
        }
        let item = entry.item.take()?;
        entry.generation = entry.generation.wrapping_add(1);
        self.free.push(key.slot);
        Some(item)
    }

    /// Iterates over all items and their keys in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (ArenaKey<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(slot, entry)| {
            let item = entry.item.as_ref()?;
            let key =
                ArenaKey { slot: slot as u32, generation: entry.generation, marker: PhantomData };
            Some((key, item))
        })
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Returns whether the arena has no items.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

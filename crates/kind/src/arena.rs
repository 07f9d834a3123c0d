//! Small `Copy` keys into arenas, so that decisions pass four bytes instead of names.

use std::fmt;
use std::marker::PhantomData;

/// A key to one item of an [`ItemArena`]. It is valid only for the arena that made it.
pub struct ArenaKey<T> {
    slot: u32,
    generation: u32,
    kind: PhantomData<fn() -> T>,
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
    /// The slot number: dense, reused after a removal.
    pub fn slot(self) -> usize {
        self.slot as usize
    }
}

struct ArenaSlot<T> {
    generation: u32,
    item: Option<T>,
}

/// Items that are named by [`ArenaKey`]s. A key of a removed item finds nothing, even after its
/// slot was used again: each reuse raises the slot's generation.
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
    /// An empty arena.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps `item` and returns its key.
    pub fn insert(&mut self, item: T) -> ArenaKey<T> {
        if let Some(slot) = self.free.pop() {
            let place = &mut self.slots[slot as usize];
            place.item = Some(item);
            return ArenaKey { slot, generation: place.generation, kind: PhantomData };
        }
        let slot = u32::try_from(self.slots.len()).unwrap_or(u32::MAX);
        self.slots.push(ArenaSlot { generation: 0, item: Some(item) });
        ArenaKey { slot, generation: 0, kind: PhantomData }
    }

    /// The item of `key`, if it is still there.
    pub fn get(&self, key: ArenaKey<T>) -> Option<&T> {
        let place = self.slots.get(key.slot())?;
        if place.generation != key.generation {
            return None;
        }
        place.item.as_ref()
    }

    /// The item of `key` for change, if it is still there.
    pub fn get_mut(&mut self, key: ArenaKey<T>) -> Option<&mut T> {
        let place = self.slots.get_mut(key.slot())?;
        if place.generation != key.generation {
            return None;
        }
        place.item.as_mut()
    }

    /// Takes the item of `key` out and makes the key void.
    pub fn remove(&mut self, key: ArenaKey<T>) -> Option<T> {
        let place = self.slots.get_mut(key.slot())?;
        if place.generation != key.generation {
            return None;
        }
        let item = place.item.take()?;
        place.generation = place.generation.wrapping_add(1);
        self.free.push(key.slot);
        Some(item)
    }

    /// All items with their keys, by slot.
    pub fn iter(&self) -> impl Iterator<Item = (ArenaKey<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(slot, place)| {
            let item = place.item.as_ref()?;
            let key =
                ArenaKey { slot: slot as u32, generation: place.generation, kind: PhantomData };
            Some((key, item))
        })
    }

    /// How many items are kept.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether no item is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

//! A table by small numbers that are given in rising order and never again, with gaps where some have left.
//!
//! Entries lie densely in pages, each of which knows by a bit a number which of its numbers are there: an entry costs
//! its own size and little more, however many numbers between have left. It decides nothing.

use std::collections::BTreeMap;

/// Numbers a page.
const NUMBERS: u32 = u64::BITS;
/// A page gives room back where no more than this part of it is used.
const SPARSE: usize = 4;

/// Entries by number, walked in the order of their numbers.
#[derive(Clone, Debug)]
pub struct Table<T> {
    pages: BTreeMap<u32, Page<T>>,
    len: usize,
}

#[derive(Clone, Debug)]
struct Page<T> {
    /// One bit for each number that is there.
    present: u64,
    /// Their entries, in the order of their numbers.
    entries: Vec<T>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Table { pages: BTreeMap::new(), len: 0 }
    }
}

impl<T> Table<T> {
    /// The entry of a number.
    pub fn get(&self, number: u32) -> Option<&T> {
        let page = self.pages.get(&(number / NUMBERS))?;
        page.place(number).ok().map(|place| &page.entries[place])
    }

    /// The entry of a number, to be changed.
    pub fn get_mut(&mut self, number: u32) -> Option<&mut T> {
        let page = self.pages.get_mut(&(number / NUMBERS))?;
        page.place(number).ok().map(|place| &mut page.entries[place])
    }

    /// Sets the entry of a number; returns what was there.
    pub fn insert(&mut self, number: u32, entry: T) -> Option<T> {
        let page = self.pages.entry(number / NUMBERS).or_default();
        match page.place(number) {
            Ok(place) => Some(std::mem::replace(&mut page.entries[place], entry)),
            Err(place) => {
                page.entries.insert(place, entry);
                page.present |= bit(number);
                self.len += 1;
                None
            }
        }
    }

    /// Takes the entry of a number out; an empty page goes with it.
    pub fn remove(&mut self, number: u32) -> Option<T> {
        let page = self.pages.get_mut(&(number / NUMBERS))?;
        let entry = page.entries.remove(page.place(number).ok()?);
        page.present &= !bit(number);
        self.len -= 1;
        if page.present == 0 {
            self.pages.remove(&(number / NUMBERS));
        } else if page.entries.len() * SPARSE <= page.entries.capacity() {
            page.entries.shrink_to(page.entries.len() * 2);
        }
        Some(entry)
    }

    /// All entries with their numbers, in the order of these.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        self.pages.iter().flat_map(|(at, page)| {
            let numbers = (0..NUMBERS).filter(|i| page.present & bit(*i) != 0);
            numbers.map(move |i| at * NUMBERS + i).zip(&page.entries)
        })
    }

    /// Entries that are there.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none is there.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Pages that are there: none of them is empty.
    pub fn pages(&self) -> usize {
        self.pages.len()
    }
}

impl<T> Default for Page<T> {
    fn default() -> Self {
        Page { present: 0, entries: Vec::new() }
    }
}

impl<T> Page<T> {
    /// Where the entry of a number is, or would be.
    fn place(&self, number: u32) -> Result<usize, usize> {
        let place = (self.present & (bit(number) - 1)).count_ones() as usize;
        match self.present & bit(number) {
            0 => Err(place),
            _ => Ok(place),
        }
    }
}

/// The bit of a number in its page.
fn bit(number: u32) -> u64 {
    1 << (number % NUMBERS)
}

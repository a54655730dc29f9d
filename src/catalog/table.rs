//! A table by number in pages: numbers are never given again, so a page goes once all of its numbers are free.

use std::collections::BTreeMap;

/// Numbers in a page.
pub(super) const PAGE: u32 = 64;

#[derive(Debug)]
struct Page<T> {
    used: u32,
    slots: Box<[Option<T>]>,
}

impl<T> Page<T> {
    fn empty() -> Page<T> {
        Page { used: 0, slots: (0..PAGE).map(|_| None).collect() }
    }
}

/// Values by number.
#[derive(Debug)]
pub(super) struct PagedTable<T> {
    pages: BTreeMap<u32, Page<T>>,
}

impl<T> Default for PagedTable<T> {
    fn default() -> Self {
        PagedTable { pages: BTreeMap::new() }
    }
}

fn place(number: u32) -> (u32, usize) {
    (number / PAGE, (number % PAGE) as usize)
}

impl<T> PagedTable<T> {
    pub fn is_empty(&self) -> bool {
        self.pages.is_empty()
    }

    pub fn get(&self, number: u32) -> Option<&T> {
        let (page, slot) = place(number);
        self.pages.get(&page)?.slots[slot].as_ref()
    }

    pub fn get_mut(&mut self, number: u32) -> Option<&mut T> {
        let (page, slot) = place(number);
        self.pages.get_mut(&page)?.slots[slot].as_mut()
    }

    pub fn insert(&mut self, number: u32, value: T) -> Option<T> {
        let (page, slot) = place(number);
        let page = self.pages.entry(page).or_insert_with(Page::empty);
        let before = page.slots[slot].replace(value);
        page.used += u32::from(before.is_none());
        before
    }

    pub fn remove(&mut self, number: u32) -> Option<T> {
        let (number, slot) = place(number);
        let page = self.pages.get_mut(&number)?;
        let before = page.slots[slot].take()?;
        page.used -= 1;
        if page.used == 0 {
            self.pages.remove(&number);
        }
        Some(before)
    }

    /// All values in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        self.pages_from(0).flat_map(|(_, values)| values)
    }

    /// The pages from this one on: the number of each, and the values on it by their numbers.
    pub fn pages_from(&self, first: u32) -> impl Iterator<Item = (u32, impl Iterator<Item = (u32, &T)>)> {
        self.pages.range(first..).map(|(page, values)| {
            let numbered = (page * PAGE..).zip(&values.slots);
            (*page, numbered.filter_map(|(number, value)| Some((number, value.as_ref()?))))
        })
    }
}

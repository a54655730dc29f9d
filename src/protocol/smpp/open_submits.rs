//! Which messages have a submit out on an open bind: one submit of a message at a time, whatever bind or SMSC it is on.

use crate::routing::TransactionNo;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// Messages of which a submit is out.
#[derive(Debug, Default)]
pub struct OpenSubmits(RefCell<HashSet<TransactionNo>>);

/// Leave to submit a message, held until that submit is over.
#[derive(Debug)]
pub struct SubmitPermit {
    open: Rc<OpenSubmits>,
    no: TransactionNo,
}

impl OpenSubmits {
    /// Leave to submit this message; none while an earlier submit of it is out.
    pub fn permit(self: &Rc<Self>, no: TransactionNo) -> Option<SubmitPermit> {
        let is_first = self.0.borrow_mut().insert(no);
        is_first.then(|| SubmitPermit { open: self.clone(), no })
    }
}

impl Drop for SubmitPermit {
    fn drop(&mut self) {
        self.open.0.borrow_mut().remove(&self.no);
    }
}

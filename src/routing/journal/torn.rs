//! What the last record of a journal may have said, of which only a part was written before the process was killed.

use super::super::values::TransactionNo;
use super::record::{BACK, CODE_AT, ENDING, ENDING_LEN, HEAD, NO_AT, OVER};

/// Whose attempt, or whose whole life, a record may have ended that is not whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TornEnd {
    /// Nobody's.
    #[default]
    Nobody,
    /// That of this transaction.
    One(TransactionNo),
    /// Too little was written to tell.
    Anybody,
}

impl TornEnd {
    /// What the bytes behind the last whole record may have said.
    pub fn of(bytes: &[u8]) -> TornEnd {
        let field = |at: usize, len: usize| bytes.get(at..at + len);
        let len = field(0, 4).and_then(|bytes| bytes.try_into().ok()).map(u32::from_le_bytes);
        let no = field(NO_AT, 8).and_then(|bytes| bytes.try_into().ok()).map(u64::from_le_bytes);
        let is_end = match (bytes.get(CODE_AT), len) {
            (Some(code), _) => matches!(*code, BACK | OVER | ENDING),
            // None that ends anything is longer.
            (None, Some(len)) => len as usize <= ENDING_LEN,
            (None, None) => !bytes.is_empty(),
        };
        match no {
            _ if !is_end => TornEnd::Nobody,
            Some(no) => TornEnd::One(no),
            None => TornEnd::Anybody,
        }
    }
}

const _: () = assert!(NO_AT == HEAD);

//! The beginning of a frame, as what it may be the beginning of: the answer to a submit.

use rusmpp::{CommandId, CommandStatus};

/// Where the fields of a frame's head begin, each of four bytes: its length, what it is, its status, its sequence number.
const ID: usize = 4;
const STATUS: usize = 8;
const SEQUENCE: usize = 12;
const FIELD: usize = 4;

/// As much as has come of what may be the answer to a submit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutAnswer {
    /// Its status, if that has come whole.
    pub status: Option<CommandStatus>,
}

impl CutAnswer {
    /// What these bytes may say to the submit with this sequence number; none where they are no answer to it.
    pub fn of(bytes: &[u8], sequence: u32) -> Option<CutAnswer> {
        if bytes.is_empty() {
            return None;
        }
        let may_be = |at: usize, field: u32| {
            let came = bytes.get(at..).unwrap_or_default();
            came.iter().zip(field.to_be_bytes()).all(|(came, field)| *came == field)
        };
        if !may_be(ID, CommandId::SubmitSmResp.into()) || !may_be(SEQUENCE, sequence) {
            return None;
        }
        let status = bytes.get(STATUS..STATUS + FIELD).and_then(|bytes| bytes.try_into().ok());
        Some(CutAnswer { status: status.map(|bytes| CommandStatus::from(u32::from_be_bytes(bytes))) })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards submits from a cut answer to another one: as far as it has come it names its own.
    #[test]
    fn a_cut_answer_is_that_of_the_submits_that_it_may_name() {
        let mut answer = vec![0, 0, 0, 18];
        for field in [u32::from(CommandId::SubmitSmResp), 11, 0x0102] {
            answer.extend(field.to_be_bytes());
        }
        let rejected = Some(CommandStatus::from(11));
        assert_eq!(CutAnswer::of(&answer, 0x0102), Some(CutAnswer { status: rejected }));
        assert_eq!(CutAnswer::of(&answer, 0x0103), None);
        assert_eq!(CutAnswer::of(&answer[..15], 0x0103), Some(CutAnswer { status: rejected }));
        assert_eq!(CutAnswer::of(&answer[..11], 9), Some(CutAnswer { status: None }));
        assert_eq!(CutAnswer::of(&answer[..2], 9), Some(CutAnswer { status: None }));
        assert_eq!(CutAnswer::of(&[], 9), None);
        let mut other = answer;
        other[ID..STATUS].copy_from_slice(&u32::from(CommandId::EnquireLink).to_be_bytes());
        assert_eq!(CutAnswer::of(&other, 0x0102), None);
    }
}

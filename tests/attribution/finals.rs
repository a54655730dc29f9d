//! Final answers that deliver nothing, as an endpoint may put them on the wire: whole, cut, late, or in odd forms.
#![allow(dead_code)]

use std::time::Duration;

/// What a final answer says of its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Says {
    /// 410, or `expired` in a batch: the message is over, and nothing more is owed.
    Over,
    /// 504, or `no_more`: no attempt is left, and its end is owed.
    NoMore,
}

/// How the answer to a call of one message comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Form {
    Whole,
    WithClose,
    /// Its end is that of the connection.
    WithoutLength,
    Http10,
    Chunked,
    BehindInformational,
    Twice,
    /// Its body comes 0.4 s behind its head.
    BodyLate,
    /// The connection ends within the digits of the status.
    CutInStatus,
    CutInFirstLine,
    CutBehindFirstLine,
    CutInHead,
    CutInBody,
    CutInChunk,
    CutBehindInformational,
    /// Nothing follows its head, and the connection stays open.
    SilentBehindHead,
}

impl Form {
    /// Those that come whole, so that what they say is certain.
    pub const WHOLE: [Form; 8] = [
        Form::Whole,
        Form::WithClose,
        Form::WithoutLength,
        Form::Http10,
        Form::Chunked,
        Form::BehindInformational,
        Form::Twice,
        Form::BodyLate,
    ];
    pub const CUT: [Form; 8] = [
        Form::CutInStatus,
        Form::CutInFirstLine,
        Form::CutBehindFirstLine,
        Form::CutInHead,
        Form::CutInBody,
        Form::CutInChunk,
        Form::CutBehindInformational,
        Form::SilentBehindHead,
    ];
}

/// How the answer to a batch comes of which some messages have their final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BatchForm {
    Whole,
    /// The connection ends right behind the first line that is a final answer.
    CutBehindLine,
    /// The same within that line, behind the id.
    CutInLine,
    /// The same before it.
    CutBeforeLine,
    /// The first final answer stands there twice, the second time as accepted.
    NamedTwice,
    /// The line before the first final answer is missing.
    Unnamed,
}

impl BatchForm {
    pub const ALL: [BatchForm; 6] = [
        BatchForm::Whole,
        BatchForm::CutBehindLine,
        BatchForm::CutInLine,
        BatchForm::CutBeforeLine,
        BatchForm::NamedTwice,
        BatchForm::Unnamed,
    ];
}

/// Which messages have had their final answer before they are called, and how that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finals {
    /// Of a hundred messages.
    pub percent: u32,
    pub says: Says,
    pub form: Form,
    pub batch: BatchForm,
}

/// What happens behind the bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    GoesOn,
    Closes,
}

/// The parts of an answer, each with the pause before it.
pub struct Written {
    pub parts: Vec<(Duration, Vec<u8>)>,
    pub after: After,
    /// Messages that it says were accepted, in a body that is whole.
    pub delivers: Vec<String>,
}

impl Says {
    pub fn line(self) -> &'static str {
        match self {
            Says::Over => "HTTP/1.1 410 Gone\r\n",
            Says::NoMore => "HTTP/1.1 504 No More\r\n",
        }
    }

    pub fn word(self) -> &'static str {
        match self {
            Says::Over => "expired",
            Says::NoMore => "no_more",
        }
    }
}

fn now(text: String) -> Vec<(Duration, Vec<u8>)> {
    vec![(Duration::ZERO, text.into_bytes())]
}

/// The answer to a call of one message. All of one form read alike.
pub fn single(says: Says, form: Form, asked_to_close: bool) -> Written {
    let line = says.line();
    let close = if asked_to_close || form == Form::WithClose { "Connection: close\r\n" } else { "" };
    let head = format!("{line}{close}Content-Length: 4\r\n\r\n");
    let parts = match form {
        Form::Whole | Form::WithClose => now(format!("{line}{close}Content-Length: 0\r\n\r\n")),
        Form::WithoutLength => now(format!("{line}Connection: close\r\n\r\nover")),
        Form::Http10 => now(format!("{}Content-Length: 0\r\n\r\n", line.replace("1.1", "1.0"))),
        Form::Chunked => {
            now(format!("{line}{close}Transfer-Encoding: chunked\r\n\r\n4\r\nover\r\n0\r\n\r\n"))
        }
        Form::BehindInformational => now(format!("HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n{head}over")),
        Form::Twice => now(format!("{head}over{head}over")),
        Form::BodyLate => {
            vec![(Duration::ZERO, head.into_bytes()), (Duration::from_millis(400), b"over".to_vec())]
        }
        Form::CutInStatus => now(line[..11].to_string()),
        Form::CutInFirstLine => now(line[..14].to_string()),
        Form::CutBehindFirstLine => now(line.to_string()),
        Form::CutInHead => now(format!("{line}Content-Le")),
        Form::CutInBody => now(format!("{head}ov")),
        Form::CutInChunk => now(format!("{line}Transfer-Encoding: chunked\r\n\r\n4\r\nov")),
        Form::CutBehindInformational => now(format!("HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n{line}")),
        Form::SilentBehindHead => now(head),
    };
    let closes = !close.is_empty() || matches!(form, Form::WithoutLength | Form::Http10);
    let is_cut = Form::CUT.contains(&form) && form != Form::SilentBehindHead;
    let after = if closes || is_cut { After::Closes } else { After::GoesOn };
    Written { parts, after, delivers: Vec::new() }
}

/// The answer to a batch, of which some messages have had their final answer; the others are accepted.
pub fn batch(says: Says, form: BatchForm, ids: &[String], is_final: impl Fn(&str) -> bool) -> Written {
    let end = |id: &String| if is_final(id) { says.word() } else { "accepted" };
    let mut lines: Vec<String> = ids.iter().map(|id| format!("{id} {}\r\n", end(id))).collect();
    let first = ids.iter().position(|id| is_final(id)).expect("one has had its final answer");
    let mut accepted: Vec<String> = ids.iter().filter(|id| !is_final(id)).cloned().collect();
    let before: usize = lines[..first].iter().map(String::len).sum();
    let whole = lines.concat();
    let cut_at = match form {
        // A cut behind the last line would be no cut.
        BatchForm::CutBehindLine => Some((before + lines[first].len()).min(whole.len() - 1)),
        BatchForm::CutInLine => Some(before + ids[first].len() + 3),
        BatchForm::CutBeforeLine => Some(before),
        BatchForm::Whole | BatchForm::NamedTwice | BatchForm::Unnamed => None,
    };
    if let Some(at) = cut_at {
        let parts = now(headed(&whole[..at], whole.len()));
        return Written { parts, after: After::Closes, delivers: Vec::new() };
    }
    match form {
        BatchForm::NamedTwice => lines.push(format!("{} accepted\r\n", ids[first])),
        BatchForm::Unnamed if !accepted.is_empty() => {
            let unnamed = accepted.remove(0);
            lines.retain(|line| !line.starts_with(&format!("{unnamed} ")));
        }
        _ => {}
    }
    let body = lines.concat();
    Written { parts: now(headed(&body, body.len())), after: After::GoesOn, delivers: accepted }
}

fn headed(body: &str, length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

//! `proxy_next_upstream`: after which outcomes nginx passes a request on to a next server, and what the relay makes of that.
//!
//! Requests come to the relay as POST, so nginx passes one that was sent on only beside `non_idempotent`. A class of the relay may
//! be repeated after every outcome after which a message may have run, or after none.

use crate::configuration::settings::RepeatForm;

/// A word of the directive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Error,
    Timeout,
    InvalidHeader,
    Http500,
    Http502,
    Http503,
    Http504,
    Http403,
    Http404,
    Http429,
    NonIdempotent,
    Off,
}

impl Word {
    /// All that nginx knows.
    pub const ALL: [Word; 12] = [
        Word::Error,
        Word::Timeout,
        Word::InvalidHeader,
        Word::Http500,
        Word::Http502,
        Word::Http503,
        Word::Http504,
        Word::Http403,
        Word::Http404,
        Word::Http429,
        Word::NonIdempotent,
        Word::Off,
    ];

    /// As it stands in the file.
    pub fn text(self) -> &'static str {
        match self {
            Word::Error => "error",
            Word::Timeout => "timeout",
            Word::InvalidHeader => "invalid_header",
            Word::Http500 => "http_500",
            Word::Http502 => "http_502",
            Word::Http503 => "http_503",
            Word::Http504 => "http_504",
            Word::Http403 => "http_403",
            Word::Http404 => "http_404",
            Word::Http429 => "http_429",
            Word::NonIdempotent => "non_idempotent",
            Word::Off => "off",
        }
    }
}

/// The words that a directive lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Words(u16);

impl Default for Words {
    /// What holds in nginx where nothing is said.
    fn default() -> Words {
        [Word::Error, Word::Timeout].into_iter().collect()
    }
}

impl FromIterator<Word> for Words {
    fn from_iter<I: IntoIterator<Item = Word>>(words: I) -> Words {
        Words(words.into_iter().fold(0, |bits, word| bits | 1 << word as u16))
    }
}

impl Words {
    /// What a directive's arguments list; an error says which of them nginx does not know.
    pub fn parse(arguments: &[String]) -> Result<Words, String> {
        if arguments.is_empty() {
            return Err("invalid number of arguments".to_string());
        }
        let word = |text: &String| {
            let known = Word::ALL.into_iter().find(|word| word.text() == text);
            known.ok_or_else(|| format!("invalid value `{text}`"))
        };
        arguments.iter().map(word).collect()
    }

    fn has(self, word: Word) -> bool {
        self.0 & (1 << word as u16) != 0
    }
}

/// What may become of a request at a server, other than that it is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    NotConnected,
    ConnectTimedOut,
    Broken,
    TimedOut,
    Unreadable,
    Answered(Word),
}

impl Fate {
    const ALL: [Fate; 12] = [
        Fate::NotConnected,
        Fate::ConnectTimedOut,
        Fate::Broken,
        Fate::TimedOut,
        Fate::Unreadable,
        Fate::Answered(Word::Http500),
        Fate::Answered(Word::Http502),
        Fate::Answered(Word::Http503),
        Fate::Answered(Word::Http504),
        Fate::Answered(Word::Http403),
        Fate::Answered(Word::Http404),
        Fate::Answered(Word::Http429),
    ];

    /// The word that has nginx pass a request on after it.
    fn word(self) -> Word {
        match self {
            Fate::NotConnected | Fate::Broken => Word::Error,
            Fate::ConnectTimedOut | Fate::TimedOut => Word::Timeout,
            Fate::Unreadable => Word::InvalidHeader,
            Fate::Answered(word) => word,
        }
    }

    fn was_sent(self) -> bool {
        !matches!(self, Fate::NotConnected | Fate::ConnectTimedOut)
    }

    /// Whether the message may have run, by the relay's protocol: 429 and 503 say that it has not.
    fn may_have_run(self) -> bool {
        self.was_sent() && !matches!(self, Fate::Answered(Word::Http429 | Word::Http503))
    }

    /// Whether the relay sends a message of a class with this form again after it. A 504 says that there are no tries left.
    fn is_repeated(self, form: RepeatForm) -> bool {
        match self {
            Fate::Answered(Word::Http504) => false,
            fate if fate.may_have_run() => form == RepeatForm::Pure,
            _ => true,
        }
    }

    fn text(self) -> String {
        match self {
            Fate::NotConnected => "a refused connection".to_string(),
            Fate::ConnectTimedOut => "a connection that does not come up in time".to_string(),
            Fate::Broken => "a connection that breaks behind the request".to_string(),
            Fate::TimedOut => "an answer that does not come in time".to_string(),
            Fate::Unreadable => "an answer that cannot be read".to_string(),
            Fate::Answered(word) => word.text().replace("http_", "a "),
        }
    }
}

/// What nginx goes by at a location.
#[derive(Clone, Copy, Debug)]
pub struct Passing {
    /// The directive's words.
    pub words: Words,
    /// Servers that it may go to: nginx tries each of them once.
    pub servers: usize,
    /// `proxy_next_upstream_tries`; 0: any number.
    pub tries: u64,
    /// Requests are passed on for as long as the class gives them.
    pub lasts: bool,
}

impl Passing {
    /// Whether nginx passes a request on after this.
    fn passes_on(&self, fate: Fate) -> bool {
        let is_off = self.words.has(Word::Off) || self.tries == 1 || self.servers < 2;
        let may_go = !fate.was_sent() || self.words.has(Word::NonIdempotent);
        !is_off && may_go && self.words.has(fate.word())
    }

    /// The repeat form of the location's class: never one that has a message sent again that may have run where nginx would
    /// not pass it on.
    pub fn repeat_form(&self) -> RepeatForm {
        let is_listed = |fate: Fate| !fate.may_have_run() || self.passes_on(fate);
        if self.lasts && Fate::ALL.into_iter().all(is_listed) {
            RepeatForm::Pure
        } else {
            RepeatForm::SideEffect
        }
    }

    /// What the relay does otherwise than nginx, in words for a note; none where it does the same.
    pub fn differences(&self) -> Option<String> {
        let form = self.repeat_form();
        let after = |relay: bool| {
            let differs = |fate: &Fate| fate.is_repeated(form) == relay && self.passes_on(*fate) != relay;
            Fate::ALL.into_iter().filter(differs).collect::<Vec<_>>()
        };
        let (more, less) = (after(true), after(false));
        let mut notes = Vec::new();
        if !less.is_empty() {
            let mut words: Vec<&str> = less.iter().map(|fate| fate.word().text()).collect();
            words.dedup();
            notes.push(format!(
                "`{}` is not carried over: not sent again after {}",
                words.join(" "),
                list(&less)
            ));
        }
        if !more.is_empty() {
            let off = if self.words.has(Word::Off) { "`off`: " } else { "" };
            notes.push(format!("{off}the relay goes on after {} too, as it has not run", list(&more)));
        }
        if self.words.has(Word::Http429) && self.passes_on(Fate::Answered(Word::Http429)) {
            notes.push("`http_429`: the relay heeds the wait that is told first".to_string());
        }
        if form == RepeatForm::Pure {
            let text = "the relay sends again after statuses that no word names, too, and to a server that was tried";
            notes.push(text.to_string());
        }
        (!notes.is_empty()).then(|| notes.join("; "))
    }
}

fn list(fates: &[Fate]) -> String {
    fates.iter().map(|fate| fate.text()).collect::<Vec<_>>().join(", ")
}

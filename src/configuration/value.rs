//! Values of the file's form, each with its kind and its range.

use serde::de::{Deserialize, Deserializer, Error};
use serde::{Serialize, Serializer};
use serde_json::Value;
use std::marker::PhantomData;

/// The longest span that a configuration may name, in nanoseconds: ten years.
pub const SPAN_MOST: u64 = 10 * 365 * 24 * 3_600 * 1_000_000_000;
/// The largest count that a configuration may name.
pub const COUNT_MOST: u64 = 1_000_000_000;
/// Above this a number without a fraction cannot be told from its neighbours.
const EXACT_MOST: f64 = 9_007_199_254_740_992.0;

/// A whole number from `LEAST` to `MOST`, whether or not it is written with a fraction of zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Whole<const LEAST: u64, const MOST: u64>(u64);

/// A span that is not empty, in nanoseconds.
pub type Span = Whole<1, SPAN_MOST>;
/// A span, in nanoseconds.
pub type SpanOrNone = Whole<0, SPAN_MOST>;
/// How many there are, one at least.
pub type Count = Whole<1, COUNT_MOST>;
/// A place in a list, or a number that may be zero.
pub type Place = Whole<0, COUNT_MOST>;
/// Any whole number that JSON writers agree on.
pub type Id = Whole<0, { EXACT_MOST as u64 }>;

impl<const LEAST: u64, const MOST: u64> Whole<LEAST, MOST> {
    /// The number.
    pub fn get(self) -> u64 {
        self.0
    }

    /// The number, as a size.
    pub fn size(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }

    /// A number within the range; the nearest one for others.
    pub fn clamped(number: u64) -> Self {
        Whole(number.clamp(LEAST, MOST))
    }
}

/// What a JSON value is as a whole number.
pub(super) fn whole(value: &Value) -> Option<u64> {
    let of_float = |number: f64| {
        let is_whole = number.fract() == 0.0 && (0.0..=EXACT_MOST).contains(&number);
        is_whole.then_some(number as u64)
    };
    value.as_u64().or_else(|| of_float(value.as_f64()?))
}

impl<'de, const LEAST: u64, const MOST: u64> Deserialize<'de> for Whole<LEAST, MOST> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(from)?;
        let number = whole(&value).filter(|number| (LEAST..=MOST).contains(number));
        let expected = || match MOST {
            COUNT_MOST.. => format!("a whole number, {LEAST} at least"),
            _ => format!("a whole number from {LEAST} to {MOST}"),
        };
        number
            .map(Whole)
            .ok_or_else(|| Error::custom(format!("is {}, expected {}", brief(&value), expected())))
    }
}

impl<const LEAST: u64, const MOST: u64> Serialize for Whole<LEAST, MOST> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(self.0)
    }
}

/// The bounds of a number with a fraction.
pub trait Bounds {
    /// The least number.
    const LEAST: f64;
    /// The largest number.
    const MOST: f64;
    /// Whether the least number itself is out of range.
    const IS_ABOVE_LEAST: bool;
}

/// A finite number within bounds.
#[derive(Debug)]
pub struct Number<B>(f64, PhantomData<B>);

impl<B> Clone for Number<B> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<B> Copy for Number<B> {}

/// From 0 to 1.
#[derive(Debug)]
pub enum ZeroToOne {}
/// Above 0, to 1.
#[derive(Debug)]
pub enum AboveZeroToOne {}
/// Above 0.
#[derive(Debug)]
pub enum AboveZero {}
/// 0 or above.
#[derive(Debug)]
pub enum FromZero {}

/// A share of something.
pub type Share = Number<ZeroToOne>;
/// A share that is not empty.
pub type SomeShare = Number<AboveZeroToOne>;
/// A figure above zero.
pub type Positive = Number<AboveZero>;
/// A figure that may be zero.
pub type Figure = Number<FromZero>;

impl Bounds for ZeroToOne {
    const LEAST: f64 = 0.0;
    const MOST: f64 = 1.0;
    const IS_ABOVE_LEAST: bool = false;
}

impl Bounds for AboveZeroToOne {
    const LEAST: f64 = 0.0;
    const MOST: f64 = 1.0;
    const IS_ABOVE_LEAST: bool = true;
}

impl Bounds for AboveZero {
    const LEAST: f64 = 0.0;
    const MOST: f64 = f64::MAX;
    const IS_ABOVE_LEAST: bool = true;
}

impl Bounds for FromZero {
    const LEAST: f64 = 0.0;
    const MOST: f64 = f64::MAX;
    const IS_ABOVE_LEAST: bool = false;
}

impl<B: Bounds> Number<B> {
    /// The number.
    pub fn get(self) -> f64 {
        self.0
    }

    /// A number within the bounds; the nearest one for others.
    pub fn clamped(number: f64) -> Self {
        Number(number.clamp(B::LEAST, B::MOST), PhantomData)
    }
}

impl<'de, B: Bounds> Deserialize<'de> for Number<B> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(from)?;
        let is_within = |n: &f64| (B::LEAST..=B::MOST).contains(n) && (*n > B::LEAST || !B::IS_ABOVE_LEAST);
        let number = value.as_f64().filter(is_within);
        let least = if B::IS_ABOVE_LEAST { "above" } else { "from" };
        let most = if B::MOST == f64::MAX { String::new() } else { format!(" to {}", B::MOST) };
        let expected = || format!("a number {least} {}{most}", B::LEAST);
        let number =
            number.ok_or_else(|| Error::custom(format!("is {}, expected {}", brief(&value), expected())));
        number.map(|number| Number(number, PhantomData))
    }
}

impl<B> Serialize for Number<B> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_f64(self.0)
    }
}

/// A text that is not empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Text(String);

/// A text that may be the first part of a path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Word(String);

impl Text {
    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Word {
    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<String> for Text {
    fn from(text: String) -> Text {
        Text(text)
    }
}

impl From<String> for Word {
    fn from(text: String) -> Word {
        Word(text)
    }
}

/// A text of which `is` holds.
fn text<'de, D: Deserializer<'de>>(
    from: D,
    is: impl Fn(&str) -> bool,
    expected: &str,
) -> Result<String, D::Error> {
    let value = Value::deserialize(from)?;
    let text = value.as_str().filter(|text| is(text)).map(str::to_string);
    text.ok_or_else(|| Error::custom(format!("is {}, expected {expected}", brief(&value))))
}

impl<'de> Deserialize<'de> for Text {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        text(from, |text| !text.is_empty(), "a text").map(Text)
    }
}

impl<'de> Deserialize<'de> for Word {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let is_word =
            |text: &str| !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || "/?#".contains(c));
        text(from, is_word, "a text without blanks, slashes and the like").map(Word)
    }
}

/// An enumeration that is written as one of a few words.
macro_rules! words {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $word:literal),+ $(,)? }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)+
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let known = [$(($word, $name::$variant)),+];
                $crate::configuration::value::one_of(from, &known)
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                match self {
                    $($name::$variant => to.serialize_str($word),)+
                }
            }
        }
    };
}
pub(super) use words;

/// What one of these words stands for.
pub(super) fn one_of<'de, D: Deserializer<'de>, T: Copy>(
    from: D,
    known: &[(&str, T)],
) -> Result<T, D::Error> {
    let value = Value::deserialize(from)?;
    let found = known.iter().find(|(word, _)| value.as_str() == Some(word)).map(|(_, meaning)| *meaning);
    let expected = || known.iter().map(|(word, _)| format!("{word:?}")).collect::<Vec<_>>().join(" or ");
    found.ok_or_else(|| Error::custom(format!("is {}, expected {}", brief(&value), expected())))
}

/// Characters of a wrong value that are shown.
const BRIEF: usize = 40;

/// A wrong value as it is shown in a fault.
pub fn brief(value: &Value) -> String {
    match value {
        Value::Array(_) => "a list".to_string(),
        Value::Object(_) => "an object".to_string(),
        other => {
            let text = other.to_string();
            match text.char_indices().nth(BRIEF) {
                Some((cut, _)) => format!("{}...", &text[..cut]),
                None => text,
            }
        }
    }
}

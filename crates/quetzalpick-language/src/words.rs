//! The words of a line, and a cursor that takes them one by one and says what it expected.

use std::ops::RangeInclusive;
use std::str::FromStr;

use winnow::ascii::{digit1, multispace0};
use winnow::combinator::{opt, preceded, repeat, terminated};
use winnow::prelude::*;
use winnow::token::take_till;

use crate::errors::{Result, syntax_error};

/// `Word` is a run of characters without white space.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Word<'a> {
    /// Column of its first character, counted from 1.
    column: usize,
    text: &'a str,
}

/// `Words` is a cursor over the words of a line.
#[derive(Debug)]
pub(crate) struct Words<'a> {
    line: &'a str,
    words: Vec<Word<'a>>,
    at: usize,
}

/// Splits a line into words.
fn split<'a>(input: &mut &'a str) -> winnow::Result<Vec<&'a str>> {
    let word = take_till(1.., char::is_whitespace);
    preceded(multispace0, repeat(0.., terminated(word, multispace0))).parse_next(input)
}

/// Parses `N` or `N..M`.
fn span(input: &mut &str) -> winnow::Result<(u32, u32)> {
    let low: u32 = digit1.parse_to().parse_next(input)?;
    let high: Option<u32> = opt(preceded("..", digit1.parse_to())).parse_next(input)?;
    Ok((low, high.unwrap_or(low)))
}

impl<'a> Words<'a> {
    /// Splits a line.
    pub(crate) fn new(line: &'a str) -> Self {
        let texts = split.parse(line).unwrap_or_default();
        let words = texts
            .into_iter()
            .map(|text| Word {
                column: column_of(line, text),
                text,
            })
            .collect();
        Self { line, words, at: 0 }
    }

    /// Returns the next word without taking it.
    fn peek(&self) -> Option<Word<'a>> {
        self.words.get(self.at).copied()
    }

    /// Fails at the next word.
    pub(crate) fn fail<T>(&self, expected: &[&str]) -> Result<T> {
        let expected = expected.iter().map(|text| (*text).to_owned()).collect();
        match self.peek() {
            Some(word) => syntax_error(word.column, expected, format!("'{}'", word.text)),
            None => syntax_error(
                self.line.trim_end().chars().count() + 1,
                expected,
                "the end of the line",
            ),
        }
    }

    /// Takes the next word if it is this keyword.
    pub(crate) fn accept(&mut self, keyword: &str) -> bool {
        let found = self
            .peek()
            .is_some_and(|word| word.text.eq_ignore_ascii_case(keyword));
        if found {
            self.at += 1;
        }
        found
    }

    /// Takes one of these keywords.
    pub(crate) fn keyword(&mut self, keywords: &[&'static str]) -> Result<&'static str> {
        for keyword in keywords {
            if self.accept(keyword) {
                return Ok(keyword);
            }
        }
        self.fail(keywords)
    }

    /// Takes a word that `parse` understands; `expected` describes it.
    pub(crate) fn value<T>(
        &mut self,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Result<T> {
        let Some(value) = self.peek().and_then(|word| parse(word.text)) else {
            return self.fail(&[expected]);
        };
        self.at += 1;
        Ok(value)
    }

    /// Takes a name; `what` says of what.
    pub(crate) fn name<T: TryFrom<String>>(&mut self, what: &str) -> Result<T> {
        self.value(&format!("the name of {what}"), |text| {
            T::try_from(text.to_owned()).ok()
        })
    }

    /// Takes a whole number within a range.
    pub(crate) fn number<T>(&mut self, unit: &str, range: RangeInclusive<T>) -> Result<T>
    where
        T: FromStr + PartialOrd + std::fmt::Display,
    {
        let expected = format!("{unit} from {} to {}", range.start(), range.end());
        self.value(&expected, |text| {
            text.parse().ok().filter(|number| range.contains(number))
        })
    }

    /// Takes `yes` or `no`.
    pub(crate) fn yes(&mut self) -> Result<bool> {
        self.keyword(&["yes", "no"]).map(|word| word == "yes")
    }

    /// Takes names separated by commas, sorted and without repeats; `all` is `None`.
    pub(crate) fn names<T: TryFrom<String> + Ord>(&mut self, what: &str) -> Result<Option<Vec<T>>> {
        if self.accept("all") {
            return Ok(None);
        }
        let parse = |text: &str| {
            let names: Option<Vec<T>> = text
                .split(',')
                .map(|name| T::try_from(name.to_owned()).ok())
                .collect();
            names.map(|mut names| {
                names.sort();
                names.dedup();
                names
            })
        };
        self.value(
            &format!("names of {what}, separated by commas, or 'all'"),
            parse,
        )
        .map(Some)
    }

    /// Takes `N` or `N..M` with `1 <= N <= M`.
    pub(crate) fn span(&mut self, unit: &str) -> Result<(u32, u32)> {
        let expected = format!("{unit} as N or MIN..MAX, at least 1");
        self.value(&expected, |text| {
            span.parse(text)
                .ok()
                .filter(|(low, high)| 1 <= *low && low <= high)
        })
    }

    /// Tells whether the next word begins a condition.
    pub(crate) fn at_condition(&self) -> bool {
        self.peek()
            .is_some_and(|word| word.text.eq_ignore_ascii_case("if"))
    }

    /// Tells whether all words were taken.
    pub(crate) fn is_done(&self) -> bool {
        self.at >= self.words.len()
    }

    /// Fails unless all words were taken.
    pub(crate) fn done(&self) -> Result<()> {
        if self.is_done() {
            Ok(())
        } else {
            self.fail(&["the end of the line"])
        }
    }
}

/// Returns the column of a part of a line, counted in characters from 1.
fn column_of(line: &str, part: &str) -> usize {
    let start = part.as_ptr() as usize - line.as_ptr() as usize;
    line[..start].chars().count() + 1
}

//! Splits a line into words, and parses them one by one with errors that describe the expected input.

use std::ops::RangeInclusive;
use std::str::FromStr;

use winnow::ascii::{digit1, multispace0};
use winnow::combinator::{opt, preceded, repeat, terminated};
use winnow::prelude::*;
use winnow::token::take_till;

use crate::errors::{Result, syntax_error};

/// `Word` holds a run of characters without white space, and its column.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Word<'a> {
    /// Column of its first character, counted from 1.
    column: usize,
    text: &'a str,
}

/// `Words` iterates over the words of a line and parses each as the requested type.
#[derive(Debug)]
pub(crate) struct Words<'a> {
    line: &'a str,
    words: Vec<Word<'a>>,
    /// Index of the next word.
    position: usize,
}

/// Splits a line into words.
fn split_words<'a>(input: &mut &'a str) -> winnow::Result<Vec<&'a str>> {
    let word = take_till(1.., char::is_whitespace);
    preceded(multispace0, repeat(0.., terminated(word, multispace0))).parse_next(input)
}

/// Parses `N` or `N..M`.
fn parse_range(input: &mut &str) -> winnow::Result<(u32, u32)> {
    let low: u32 = digit1.parse_to().parse_next(input)?;
    let high: Option<u32> = opt(preceded("..", digit1.parse_to())).parse_next(input)?;
    Ok((low, high.unwrap_or(low)))
}

impl<'a> Words<'a> {
    /// Splits a line into words and starts at the first one.
    pub(crate) fn new(line: &'a str) -> Self {
        let texts = split_words.parse(line).unwrap_or_default();
        let words = texts
            .into_iter()
            .map(|text| Word {
                column: column_of(line, text),
                text,
            })
            .collect();
        Self {
            line,
            words,
            position: 0,
        }
    }

    /// Returns the next word without consuming it.
    fn peek(&self) -> Option<Word<'a>> {
        self.words.get(self.position).copied()
    }

    /// Returns a syntax error at the next word, or at the end of the line if there is none.
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

    /// Consumes the next word if it is this keyword, ignoring ASCII case, and returns whether it was.
    pub(crate) fn accept(&mut self, keyword: &str) -> bool {
        let found = self
            .peek()
            .is_some_and(|word| word.text.eq_ignore_ascii_case(keyword));
        if found {
            self.position += 1;
        }
        found
    }

    /// Consumes one of these keywords and returns it.
    pub(crate) fn keyword(&mut self, keywords: &[&'static str]) -> Result<&'static str> {
        for keyword in keywords {
            if self.accept(keyword) {
                return Ok(keyword);
            }
        }
        self.fail(keywords)
    }

    /// Consumes the next word if `parse` accepts it; `expected` describes the input in the error.
    pub(crate) fn value<T>(
        &mut self,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Result<T> {
        let Some(value) = self.peek().and_then(|word| parse(word.text)) else {
            return self.fail(&[expected]);
        };
        self.position += 1;
        Ok(value)
    }

    /// Parses a name; `object` describes the named object in the error.
    pub(crate) fn name<T: TryFrom<String>>(&mut self, object: &str) -> Result<T> {
        self.value(&format!("the name of {object}"), |text| {
            T::try_from(text.to_owned()).ok()
        })
    }

    /// Parses an integer within a range.
    pub(crate) fn number<T>(&mut self, unit: &str, range: RangeInclusive<T>) -> Result<T>
    where
        T: FromStr + PartialOrd + std::fmt::Display,
    {
        let expected = format!("{unit} from {} to {}", range.start(), range.end());
        self.value(&expected, |text| {
            text.parse().ok().filter(|number| range.contains(number))
        })
    }

    /// Parses `yes` or `no`.
    pub(crate) fn yes_or_no(&mut self) -> Result<bool> {
        self.keyword(&["yes", "no"]).map(|word| word == "yes")
    }

    /// Parses names separated by commas, and returns them sorted and without duplicates, or `None` for `all`.
    pub(crate) fn names<T: TryFrom<String> + Ord>(
        &mut self,
        objects: &str,
    ) -> Result<Option<Vec<T>>> {
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
            &format!("names of {objects}, separated by commas, or 'all'"),
            parse,
        )
        .map(Some)
    }

    /// Parses `N` or `N..M` with `1 <= N <= M`.
    pub(crate) fn range(&mut self, unit: &str) -> Result<(u32, u32)> {
        let expected = format!("{unit} as N or MIN..MAX, at least 1");
        self.value(&expected, |text| {
            parse_range
                .parse(text)
                .ok()
                .filter(|(low, high)| 1 <= *low && low <= high)
        })
    }

    /// Returns whether the next word begins an `if revision` condition.
    pub(crate) fn at_condition(&self) -> bool {
        self.peek()
            .is_some_and(|word| word.text.eq_ignore_ascii_case("if"))
    }

    /// Returns whether all words were consumed.
    pub(crate) fn is_at_end(&self) -> bool {
        self.position >= self.words.len()
    }

    /// Returns a syntax error unless all words were consumed.
    pub(crate) fn expect_end(&self) -> Result<()> {
        if self.is_at_end() {
            Ok(())
        } else {
            self.fail(&["the end of the line"])
        }
    }
}

/// Returns the column of a slice of a line, counted in characters from 1.
fn column_of(line: &str, part: &str) -> usize {
    let start = part.as_ptr() as usize - line.as_ptr() as usize;
    line[..start].chars().count() + 1
}

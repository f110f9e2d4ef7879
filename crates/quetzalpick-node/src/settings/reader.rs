//! Reads settings key by key, so that one description serves for reading, checking and printing.

use std::fmt::{Display, Write as _};
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use strum::VariantNames;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::settings::problem::{Problem, Problems};

/// `Section` is a table of settings that can be read.
///
/// Plain keys are read before nested sections, as the printed form needs that order.
pub trait Section: Sized {
    /// Reads the section; a bad or missing value is noted and a usable one stands in for it.
    fn read(reader: &mut Reader<'_>) -> Self;
}

/// Reads a whole settings file.
///
/// # Errors
///
/// `Problems` with every fault: syntax, unknown keys, wrong types and values out of range.
pub fn load<S: Section>(file: &str, text: &str) -> Result<S, Problems> {
    let (document, faults) = DeTable::parse_recoverable(text);
    let mut notes = Notes::default();
    for fault in faults {
        let line = line_of(text, fault.span().map_or(0, |span| span.start));
        notes.add(line, "syntax", fault.message());
    }
    let settings = Reader::visit(text, "", Some(document.get_ref()), 1, &mut notes, S::read);
    if notes.problems.is_empty() {
        return Ok(settings);
    }
    notes
        .problems
        .sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
    Err(Problems {
        file: file.to_owned(),
        list: notes.problems,
    })
}

/// Returns a settings file with every key at its default, or with an example where a key is required.
pub fn print_default<S: Section>() -> String {
    let mut notes = Notes {
        printing: true,
        ..Notes::default()
    };
    Reader::visit("", "", None, 0, &mut notes, S::read);
    notes.printed.trim_start().to_owned()
}

/// Returns the line of a byte position, counted from 1.
fn line_of(text: &str, at: usize) -> usize {
    let before = text.as_bytes().iter().take(at);
    1 + before.filter(|byte| **byte == b'\n').count()
}

/// `Notes` collects what is found while sections are read.
#[derive(Debug, Default)]
struct Notes {
    problems: Vec<Problem>,
    printing: bool,
    printed: String,
}

impl Notes {
    /// Notes a problem.
    fn add(&mut self, line: usize, key: impl Into<String>, message: impl Into<String>) {
        self.problems.push(Problem {
            line,
            key: key.into(),
            message: message.into(),
        });
    }
}

/// `Reader` reads the keys of one section.
#[derive(Debug)]
pub struct Reader<'a> {
    text: &'a str,
    path: &'a str,
    table: Option<&'a DeTable<'a>>,
    line: usize,
    known: Vec<&'static str>,
    notes: &'a mut Notes,
}

impl<'a> Reader<'a> {
    /// Reads one section with a function and notes the keys that it did not ask for.
    fn visit<S>(
        text: &str,
        path: &str,
        table: Option<&DeTable<'_>>,
        line: usize,
        notes: &mut Notes,
        read: impl FnOnce(&mut Reader<'_>) -> S,
    ) -> S {
        let mut reader = Reader {
            text,
            path,
            table,
            line,
            known: Vec::new(),
            notes,
        };
        let section = read(&mut reader);
        reader.refuse_unknown();
        section
    }

    /// Notes every key of the table that was not asked for.
    fn refuse_unknown(&mut self) {
        let Some(table) = self.table else { return };
        for name in table.keys() {
            if !self.known.contains(&name.get_ref().as_ref()) {
                let line = line_of(self.text, name.span().start);
                let key = self.full(name.get_ref());
                let known = self.known.join(", ");
                let message = format!("unknown key; known here: {known}");
                self.notes.add(line, key, message);
            }
        }
    }

    /// Returns the full form of a key.
    fn full(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Returns a key's value and line.
    fn find(&mut self, key: &'static str) -> Option<(&'a Spanned<DeValue<'a>>, usize)> {
        self.known.push(key);
        let value = self.table?.get(key)?;
        Some((value, line_of(self.text, value.span().start)))
    }

    /// Prints a key with its default and what is allowed, if this is a printing run.
    fn print(&mut self, key: &str, value: impl Display, allowed: &str) {
        if self.notes.printing {
            // Writing to a string cannot fail.
            let _ = writeln!(self.notes.printed, "{key} = {value}  # {allowed}");
        }
    }

    /// Notes a problem of a key, for rules between keys.
    pub fn problem(&mut self, key: &str, message: impl Into<String>) {
        let value = self.table.and_then(|table| table.get(key));
        let line = value.map_or(self.line, |v| line_of(self.text, v.span().start));
        if !self.notes.printing {
            self.notes.add(line, self.full(key), message);
        }
    }

    /// Reads a key with `take`, which returns nothing for a value that is not allowed.
    fn take<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        required: bool,
        take: impl FnOnce(&DeValue<'_>) -> Option<T>,
    ) -> Option<T> {
        let Some((value, line)) = self.find(key) else {
            if required {
                self.problem(key, format!("missing; must be {allowed}"));
            }
            return None;
        };
        let taken = take(value.get_ref());
        if taken.is_none() {
            let key = self.full(key);
            self.notes.add(line, key, format!("must be {allowed}"));
        }
        taken
    }

    /// Reads a whole number.
    pub fn number(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
        unit: &str,
    ) -> u64 {
        let allowed = format!("{} to {} {unit}", range.start(), range.end());
        self.print(key, default, &allowed);
        let number = |value: &DeValue<'_>| {
            let digits = value.as_integer()?;
            let number = u64::from_str_radix(digits.as_str(), digits.radix()).ok()?;
            range.contains(&number).then_some(number)
        };
        self.take(key, &allowed, false, number).unwrap_or(default)
    }

    /// Reads a time in milliseconds; the key should end in `_ms`.
    pub fn millis(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(key, default, range, "ms"))
    }

    /// Reads a time in seconds; the key should end in `_s`.
    pub fn seconds(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_secs(self.number(key, default, range, "s"))
    }

    /// Reads `true` or `false`.
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        let allowed = "true or false";
        self.print(key, default, allowed);
        self.take(key, allowed, false, |value: &DeValue<'_>| value.as_bool())
            .unwrap_or(default)
    }

    /// Reads one of an enum's names.
    pub fn choice<T: FromStr + VariantNames + Display>(
        &mut self,
        key: &'static str,
        default: T,
    ) -> T {
        let allowed = T::VARIANTS.join(", ");
        self.print(key, format!("\"{default}\""), &allowed);
        let parse = |value: &DeValue<'_>| value.as_str()?.parse().ok();
        let allowed = format!("one of {allowed}");
        self.take(key, &allowed, false, parse).unwrap_or(default)
    }

    /// Reads text that a function must understand; without a value the default text is used.
    pub fn parsed<T>(
        &mut self,
        key: &'static str,
        default: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.print(key, format!("\"{default}\""), allowed);
        let taken = self.take(key, allowed, false, |value| parse(value.as_str()?));
        taken.or_else(|| parse(default))
    }

    /// Reads text that must be set; `example` is printed, and stands in where the value is not usable.
    ///
    /// # Panics
    ///
    /// If `parse` does not understand the example.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        example: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        self.print(
            key,
            format!("\"{example}\""),
            &format!("{allowed}; required"),
        );
        let taken = self.take(key, allowed, true, |value| parse(value.as_str()?));
        let example = || parse(example).expect("the example is written to be understood");
        taken.unwrap_or_else(example)
    }

    /// Reads a list of texts that a function must understand.
    pub fn list<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        let allowed = format!("a list, each {allowed}");
        self.print(key, "[]", &allowed);
        let items = |value: &DeValue<'_>| {
            let items = value.as_array()?.iter();
            items.map(|item| parse(item.get_ref().as_str()?)).collect()
        };
        self.take(key, &allowed, false, items).unwrap_or_default()
    }

    /// Reads a table of names and texts that a function must understand, sorted by name.
    pub fn table<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Vec<(String, T)> {
        let allowed = format!("a table of names, each {allowed}");
        self.print(key, "{}", &allowed);
        let rows = |value: &DeValue<'_>| {
            let rows = value.as_table()?.iter();
            let row = |(name, value): (&Spanned<_>, &Spanned<DeValue<'_>>)| {
                let name: &std::borrow::Cow<'_, str> = name.get_ref();
                Some((name.clone().into_owned(), parse(value.get_ref().as_str()?)?))
            };
            rows.map(row).collect::<Option<Vec<_>>>()
        };
        let mut rows = self.take(key, &allowed, false, rows).unwrap_or_default();
        rows.sort_by(|a, b| a.0.cmp(&b.0));
        rows
    }

    /// Reads a nested section.
    pub fn section<S: Section>(&mut self, key: &'static str) -> S {
        let path = self.full(key);
        if self.notes.printing {
            // Writing to a string cannot fail.
            let _ = writeln!(self.notes.printed, "\n[{path}]");
        }
        let found = self.find(key);
        let (table, line) = match found {
            None => (None, self.line),
            Some((value, line)) => (value.get_ref().as_table(), line),
        };
        if found.is_some() && table.is_none() {
            self.notes.add(line, path.clone(), "must be a table");
        }
        Reader::visit(self.text, &path, table, line, self.notes, S::read)
    }
}

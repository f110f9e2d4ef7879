//! Reads settings key by key; the same code reads and checks a file and prints the default one.

use std::fmt::{Display, Write as _};
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use strum::VariantNames;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::settings::problem::{Problem, Problems};

/// `Section` is implemented by types that are read from a table of settings.
///
/// Plain keys must be read before nested sections, because TOML requires that order in the printed file.
pub trait Section: Sized {
    /// Reads the section; an invalid or missing value is reported and replaced by a valid one.
    fn read(reader: &mut Reader<'_>) -> Self;
}

/// Reads the text of a settings file; `file` is its name in problems.
///
/// # Errors
///
/// `Problems` with every problem: syntax errors, unknown keys, wrong types and values out of range.
pub fn load<S: Section>(file: &str, text: &str) -> Result<S, Problems> {
    let (document, errors) = DeTable::parse_recoverable(text);
    let mut findings = Findings::default();
    for error in errors {
        let line = line_of(text, error.span().map_or(0, |span| span.start));
        findings.add(line, "syntax", error.message());
    }
    let settings = Reader::read_section(
        text,
        "",
        Some(document.get_ref()),
        1,
        &mut findings,
        S::read,
    );
    if findings.problems.is_empty() {
        return Ok(settings);
    }
    findings
        .problems
        .sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
    Err(Problems {
        file: file.to_owned(),
        list: findings.problems,
    })
}

/// Returns a settings file with each key at its default, or at an example value if it is required.
pub fn print_default<S: Section>() -> String {
    let mut findings = Findings {
        printing: true,
        ..Findings::default()
    };
    Reader::read_section("", "", None, 0, &mut findings, S::read);
    findings.printed.trim_start().to_owned()
}

/// Returns the line number, from 1, of a byte position.
fn line_of(text: &str, position: usize) -> usize {
    let before = text.as_bytes().iter().take(position);
    1 + before.filter(|byte| **byte == b'\n').count()
}

/// `Findings` collects the problems found while sections are read, or the text of the default file.
#[derive(Debug, Default)]
struct Findings {
    problems: Vec<Problem>,
    printing: bool,
    printed: String,
}

impl Findings {
    /// Adds a problem.
    fn add(&mut self, line: usize, key: impl Into<String>, message: impl Into<String>) {
        self.problems.push(Problem {
            line,
            key: key.into(),
            message: message.into(),
        });
    }
}

/// `Reader` reads, checks and prints the keys of one section.
#[derive(Debug)]
pub struct Reader<'a> {
    text: &'a str,
    path: &'a str,
    table: Option<&'a DeTable<'a>>,
    line: usize,
    known_keys: Vec<&'static str>,
    findings: &'a mut Findings,
}

impl<'a> Reader<'a> {
    /// Reads one section with a function and reports keys that the function did not read.
    fn read_section<S>(
        text: &str,
        path: &str,
        table: Option<&DeTable<'_>>,
        line: usize,
        findings: &mut Findings,
        read: impl FnOnce(&mut Reader<'_>) -> S,
    ) -> S {
        let mut reader = Reader {
            text,
            path,
            table,
            line,
            known_keys: Vec::new(),
            findings,
        };
        let section = read(&mut reader);
        reader.report_unknown_keys();
        section
    }

    /// Reports every key of the table that was not read.
    fn report_unknown_keys(&mut self) {
        let Some(table) = self.table else { return };
        for name in table.keys() {
            if !self.known_keys.contains(&name.get_ref().as_ref()) {
                let line = line_of(self.text, name.span().start);
                let key = self.full_key(name.get_ref());
                let known = self.known_keys.join(", ");
                let message = format!("unknown key; known here: {known}");
                self.findings.add(line, key, message);
            }
        }
    }

    /// Returns a key with the path of the section, such as `peers.secret`.
    fn full_key(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Marks a key as known and returns its value and line number.
    fn find(&mut self, key: &'static str) -> Option<(&'a Spanned<DeValue<'a>>, usize)> {
        self.known_keys.push(key);
        let value = self.table?.get(key)?;
        Some((value, line_of(self.text, value.span().start)))
    }

    /// Prints a key with its default and the allowed values, if the default file is being printed.
    fn print(&mut self, key: &str, value: impl Display, allowed: &str) {
        if self.findings.printing {
            // Writing to a string cannot fail.
            let _ = writeln!(self.findings.printed, "{key} = {value}  # {allowed}");
        }
    }

    /// Reports a problem with a key, for rules that involve several keys.
    pub fn problem(&mut self, key: &str, message: impl Into<String>) {
        let value = self.table.and_then(|table| table.get(key));
        let line = value.map_or(self.line, |v| line_of(self.text, v.span().start));
        if !self.findings.printing {
            self.findings.add(line, self.full_key(key), message);
        }
    }

    /// Reads a key with `parse`, which returns `None` for a value that is not allowed.
    fn read_value<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        required: bool,
        parse: impl FnOnce(&DeValue<'_>) -> Option<T>,
    ) -> Option<T> {
        let Some((value, line)) = self.find(key) else {
            if required {
                self.problem(key, format!("missing; must be {allowed}"));
            }
            return None;
        };
        let parsed = parse(value.get_ref());
        if parsed.is_none() {
            let key = self.full_key(key);
            self.findings.add(line, key, format!("must be {allowed}"));
        }
        parsed
    }

    /// Reads an integer in a range.
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
        self.read_value(key, &allowed, false, number)
            .unwrap_or(default)
    }

    /// Reads a duration in milliseconds; the key should end in `_ms`.
    pub fn millis(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(key, default, range, "ms"))
    }

    /// Reads a duration in seconds; the key should end in `_s`.
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
        self.read_value(key, allowed, false, |value: &DeValue<'_>| value.as_bool())
            .unwrap_or(default)
    }

    /// Reads the name of an enum's variant.
    pub fn choice<T: FromStr + VariantNames + Display>(
        &mut self,
        key: &'static str,
        default: T,
    ) -> T {
        let allowed = T::VARIANTS.join(", ");
        self.print(key, format!("\"{default}\""), &allowed);
        let parse = |value: &DeValue<'_>| value.as_str()?.parse().ok();
        let allowed = format!("one of {allowed}");
        self.read_value(key, &allowed, false, parse)
            .unwrap_or(default)
    }

    /// Reads a string that `parse` accepts; a missing or invalid value is replaced by the parsed default.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        default: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.print(key, format!("\"{default}\""), allowed);
        let value = self.read_value(key, allowed, false, |value| parse(value.as_str()?));
        value.or_else(|| parse(default))
    }

    /// Reads a required string that `parse` accepts; `example` is printed, and replaces a missing or invalid value.
    ///
    /// # Panics
    ///
    /// If `parse` rejects the example.
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
        let value = self.read_value(key, allowed, true, |value| parse(value.as_str()?));
        let example = || parse(example).expect("the example is valid");
        value.unwrap_or_else(example)
    }

    /// Reads a list of strings, each of which `parse` must accept.
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
        self.read_value(key, &allowed, false, items)
            .unwrap_or_default()
    }

    /// Reads a table of strings, each of which `parse` must accept, and sorts it by key.
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
        let mut rows = self
            .read_value(key, &allowed, false, rows)
            .unwrap_or_default();
        rows.sort_by(|a, b| a.0.cmp(&b.0));
        rows
    }

    /// Reads a nested section.
    pub fn section<S: Section>(&mut self, key: &'static str) -> S {
        let path = self.full_key(key);
        if self.findings.printing {
            // Writing to a string cannot fail.
            let _ = writeln!(self.findings.printed, "\n[{path}]");
        }
        let found = self.find(key);
        let (table, line) = match found {
            None => (None, self.line),
            Some((value, line)) => (value.get_ref().as_table(), line),
        };
        if found.is_some() && table.is_none() {
            self.findings.add(line, path.clone(), "must be a table");
        }
        Reader::read_section(self.text, &path, table, line, self.findings, S::read)
    }
}

use std::cell::RefCell;
use std::ops::Range;

use lentilcart_util::{DurationText, Micros, Name, Set};
use toml_edit::{Item, TableLike};

use crate::error::FieldError;

/// Collects the faults of a file.
pub(crate) struct Reader<'a> {
    source: &'a str,
    faults: RefCell<Vec<FieldError>>,
}

/// One table of the file, with the path that its faults are reported under.
pub(crate) struct Fields<'a> {
    reader: &'a Reader<'a>,
    path: String,
    table: Option<&'a dyn TableLike>,
    span: Option<Range<usize>>,
    known: RefCell<Set<&'static str>>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(source: &'a str) -> Self {
        Self {
            source,
            faults: RefCell::default(),
        }
    }

    pub(crate) fn root(&'a self, table: &'a dyn TableLike) -> Fields<'a> {
        self.fields(String::new(), Some(table), None)
    }

    pub(crate) fn fault(&self, span: Option<Range<usize>>, field: &str, reason: String) {
        let span = span.unwrap_or(0..0);
        let line = self.source[..span.start].matches('\n').count() + 1;
        let value = self.source[span]
            .lines()
            .next()
            .unwrap_or_default()
            .trim()
            .to_owned();
        let value = if value.starts_with('[') {
            String::new()
        } else {
            value
        };
        self.faults.borrow_mut().push(FieldError {
            line,
            field: field.to_owned(),
            value,
            reason,
        });
    }

    pub(crate) fn into_errors(self) -> Vec<FieldError> {
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|f| f.line);
        faults
    }

    fn fields(
        &'a self,
        path: String,
        table: Option<&'a dyn TableLike>,
        span: Option<Range<usize>>,
    ) -> Fields<'a> {
        Fields {
            reader: self,
            path,
            table,
            span,
            known: RefCell::default(),
        }
    }
}

impl<'a> Fields<'a> {
    /// Returns the text of a field, or reports that it is missing.
    pub(crate) fn text(&self, key: &'static str) -> Name {
        if let Some(item) = self.item(key) {
            self.read(key, item, item.as_str(), "expected a text")
                .unwrap_or("")
        } else {
            self.missing(key);
            ""
        }
        .into()
    }

    pub(crate) fn text_or(&self, key: &'static str, default: &str) -> Name {
        match self.item(key) {
            Some(item) => self
                .read(key, item, item.as_str(), "expected a text")
                .unwrap_or(default),
            None => default,
        }
        .into()
    }

    pub(crate) fn whole(&self, key: &'static str, default: u64, allowed: Range<u64>) -> u64 {
        let Some(item) = self.item(key) else {
            return default;
        };
        let value = item.as_integer().and_then(|n| u64::try_from(n).ok());
        let value = value.filter(|n| allowed.contains(n));
        let reason = format!(
            "expected a whole number from {} to {}",
            allowed.start,
            allowed.end - 1
        );
        self.read(key, item, value, &reason).unwrap_or(default)
    }

    pub(crate) fn number(&self, key: &'static str, default: f64, allowed: Range<f64>) -> f64 {
        let Some(item) = self.item(key) else {
            return default;
        };
        let value = item
            .as_float()
            .or_else(|| item.as_integer().map(|n| n as f64));
        let value = value.filter(|n| *n >= allowed.start && *n <= allowed.end);
        let reason = format!(
            "expected a number from {} to {}",
            allowed.start, allowed.end
        );
        self.read(key, item, value, &reason).unwrap_or(default)
    }

    pub(crate) fn span(&self, key: &'static str, default: Micros) -> Micros {
        let Some(item) = self.item(key) else {
            return default;
        };
        let value = item
            .as_str()
            .and_then(|text| DurationText::parse(text).ok());
        let reason = "expected a time above zero with its unit, such as \"250ms\" or \"2s\"";
        let value = value.filter(|length| *length > Micros::ZERO);
        self.read(key, item, value, reason).unwrap_or(default)
    }

    pub(crate) fn choice<T: Copy>(
        &self,
        key: &'static str,
        default: Option<T>,
        allowed: &[(&str, T)],
    ) -> Option<T> {
        let Some(item) = self.item(key) else {
            if default.is_none() {
                self.missing(key);
            }
            return default;
        };
        let found = item
            .as_str()
            .and_then(|text| allowed.iter().find(|(name, _)| *name == text));
        let names: Vec<&str> = allowed.iter().map(|(name, _)| *name).collect();
        let reason = format!("expected one of {}", names.join(", "));
        self.read(key, item, found.map(|(_, value)| *value), &reason)
            .or(default)
    }

    /// Returns the elements of an array, read one by one.
    pub(crate) fn list<T>(
        &self,
        key: &'static str,
        reason: &str,
        each: impl Fn(&toml_edit::Value) -> Option<T>,
    ) -> Vec<T> {
        let Some(item) = self.item(key) else {
            return Vec::new();
        };
        let Some(array) = item.as_array() else {
            self.report(key, item.span(), reason.to_owned());
            return Vec::new();
        };
        let read = |value: &toml_edit::Value| {
            let read = each(value);
            if read.is_none() {
                self.report(key, value.span(), reason.to_owned());
            }
            read
        };
        array.iter().filter_map(read).collect()
    }

    /// Returns a table of this table, empty where it is not written.
    pub(crate) fn table(&self, key: &'static str) -> Fields<'a> {
        let item = self.item(key);
        let table = item.and_then(Item::as_table_like);
        let path = self.path_of(key);
        match item {
            Some(item) if table.is_none() => {
                self.report(key, item.span(), "expected a table".to_owned());
            }
            _ => {}
        }
        self.reader.fields(path, table, item.and_then(Item::span))
    }

    /// Returns the tables of an array, each under a path that ends in its name or its index.
    pub(crate) fn tables(&self, key: &'static str, name: &str) -> Vec<Fields<'a>> {
        let rows: Vec<(&dyn TableLike, Option<Range<usize>>)> = match self.item(key) {
            None => Vec::new(),
            Some(Item::ArrayOfTables(array)) => array
                .iter()
                .map(|t| (t as &dyn TableLike, t.span()))
                .collect(),
            Some(item) if item.is_array() => {
                let values = item.as_array().into_iter().flatten();
                let row = |value: &'a toml_edit::Value| {
                    if let Some(table) = value.as_inline_table() {
                        Some((table as &dyn TableLike, value.span()))
                    } else {
                        self.report(key, value.span(), "expected a table".to_owned());
                        None
                    }
                };
                values.filter_map(row).collect()
            }
            Some(item) => {
                self.report(key, item.span(), "expected an array of tables".to_owned());
                Vec::new()
            }
        };
        let fields = |(index, (table, span)): (usize, (&'a dyn TableLike, _))| {
            let label = table.get(name).and_then(Item::as_str).map(str::to_owned);
            let label = label.unwrap_or_else(|| index.to_string());
            let path = format!("{}[{label}]", self.path_of(key));
            self.reader.fields(path, Some(table), span)
        };
        rows.into_iter().enumerate().map(fields).collect()
    }

    /// Reports a fault of one of this table's fields.
    pub(crate) fn fault(&self, key: &'static str, reason: impl Into<String>) {
        let span = self
            .item(key)
            .and_then(Item::span)
            .or_else(|| self.span.clone());
        self.report(key, span, reason.into());
    }

    /// Reports the fields that no call has read.
    pub(crate) fn finish(&self) {
        let known = self.known.borrow();
        let mut names: Vec<&str> = known.iter().copied().collect();
        names.sort_unstable();
        let entries = self.table.into_iter().flat_map(|table| table.iter());
        for (key, item) in entries.filter(|(key, _)| !known.contains(key)) {
            let reason = format!("unknown field; known ones are {}", names.join(", "));
            let span = self
                .table
                .and_then(|t| t.key(key))
                .and_then(toml_edit::Key::span);
            self.reader
                .fault(span.or_else(|| item.span()), &self.path_of(key), reason);
        }
    }

    fn missing(&self, key: &'static str) {
        self.report(
            key,
            self.span.clone(),
            "missing; it has no default".to_owned(),
        );
    }

    fn read<T>(&self, key: &'static str, item: &Item, value: Option<T>, why: &str) -> Option<T> {
        if value.is_none() {
            self.report(key, item.span(), why.to_owned());
        }
        value
    }

    fn report(&self, key: &str, span: Option<Range<usize>>, reason: String) {
        self.reader.fault(span, &self.path_of(key), reason);
    }

    fn path_of(&self, key: &str) -> String {
        match self.path.as_str() {
            "" => key.to_owned(),
            path => format!("{path}.{key}"),
        }
    }

    fn item(&self, key: &'static str) -> Option<&'a Item> {
        self.known.borrow_mut().insert(key);
        self.table.and_then(|table| table.get(key))
    }
}

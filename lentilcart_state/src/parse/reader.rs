use std::cell::RefCell;
use std::ops::Range;

use lentilcart_util::{DurationText, Micros, Name, Set};
use toml_edit::{Item, TableLike};

use crate::error::FieldError;

/// Collects the errors of a file.
pub(crate) struct ErrorCollector<'a> {
    /// Text of the file.
    source: &'a str,
    errors: RefCell<Vec<FieldError>>,
}

/// Reads the fields of one table of the file. An invalid field is reported and read as its default.
pub(crate) struct TableReader<'a> {
    collector: &'a ErrorCollector<'a>,
    /// Path of the table, with which the paths of its fields begin; empty for the whole file.
    path: String,
    /// The table; `None` where it is missing.
    table: Option<&'a dyn TableLike>,
    /// Bytes of the file that the table takes up.
    span: Option<Range<usize>>,
    /// Names of the fields asked for so far; after all reads, the fields that the table may have.
    known_fields: RefCell<Set<&'static str>>,
}

impl<'a> ErrorCollector<'a> {
    /// Creates a collector for the text of a file.
    pub(crate) fn new(source: &'a str) -> Self {
        Self {
            source,
            errors: RefCell::default(),
        }
    }

    /// Returns the reader of the file's top-level table.
    pub(crate) fn get_root(&'a self, table: &'a dyn TableLike) -> TableReader<'a> {
        self.get_reader(String::new(), Some(table), None)
    }

    /// Adds an error of a field. `span` gives the bytes of the value in the file; `None` reports
    /// the first line. The error holds the first line of these bytes, or nothing where they begin
    /// with a square bracket (an array or a table header).
    pub(crate) fn report(&self, span: Option<Range<usize>>, field: &str, reason: String) {
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
        self.errors.borrow_mut().push(FieldError {
            line,
            field: field.to_owned(),
            value,
            reason,
        });
    }

    /// Returns the errors in the order of their lines.
    pub(crate) fn into_errors(self) -> Vec<FieldError> {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|e| e.line);
        errors
    }

    /// Returns the reader of a table at a path.
    fn get_reader(
        &'a self,
        path: String,
        table: Option<&'a dyn TableLike>,
        span: Option<Range<usize>>,
    ) -> TableReader<'a> {
        TableReader {
            collector: self,
            path,
            table,
            span,
            known_fields: RefCell::default(),
        }
    }
}

impl<'a> TableReader<'a> {
    /// Reads a required string; reports an error and returns an empty one where it is missing or of
    /// another type.
    pub(crate) fn read_text(&self, key: &'static str) -> Name {
        if let Some(item) = self.get_item(key) {
            self.or_report(key, item, item.as_str(), "expected a string")
                .unwrap_or("")
        } else {
            self.report_missing(key);
            ""
        }
        .into()
    }

    /// Reads an optional string.
    pub(crate) fn read_text_or(&self, key: &'static str, default: &str) -> Name {
        match self.get_item(key) {
            Some(item) => self
                .or_report(key, item, item.as_str(), "expected a string")
                .unwrap_or(default),
            None => default,
        }
        .into()
    }

    /// Reads an optional whole number; `allowed_half_open` excludes its end.
    pub(crate) fn read_integer(
        &self,
        key: &'static str,
        default: u64,
        allowed_half_open: Range<u64>,
    ) -> u64 {
        let Some(item) = self.get_item(key) else {
            return default;
        };
        let value = item.as_integer().and_then(|n| u64::try_from(n).ok());
        let value = value.filter(|n| allowed_half_open.contains(n));
        let reason = format!(
            "expected a whole number from {} to {}",
            allowed_half_open.start,
            allowed_half_open.end - 1
        );
        self.or_report(key, item, value, &reason).unwrap_or(default)
    }

    /// Reads an optional number; `allowed_closed` includes its end.
    pub(crate) fn read_number(
        &self,
        key: &'static str,
        default: f64,
        allowed_closed: Range<f64>,
    ) -> f64 {
        let Some(item) = self.get_item(key) else {
            return default;
        };
        let value = item
            .as_float()
            .or_else(|| item.as_integer().map(|n| n as f64));
        let value = value.filter(|n| *n >= allowed_closed.start && *n <= allowed_closed.end);
        let reason = format!(
            "expected a number from {} to {}",
            allowed_closed.start, allowed_closed.end
        );
        self.or_report(key, item, value, &reason).unwrap_or(default)
    }

    /// Reads an optional duration above zero, written with its unit.
    pub(crate) fn read_duration(&self, key: &'static str, default: Micros) -> Micros {
        let Some(item) = self.get_item(key) else {
            return default;
        };
        let value = item
            .as_str()
            .and_then(|text| DurationText::parse(text).ok());
        let reason = "expected a time above zero with its unit, such as \"250ms\" or \"2s\"";
        let value = value.filter(|duration| *duration > Micros::ZERO);
        self.or_report(key, item, value, reason).unwrap_or(default)
    }

    /// Reads one of the allowed names and returns its value. The field is required where there is
    /// no default; returns `None` where such a field is missing or invalid.
    pub(crate) fn read_choice<T: Copy>(
        &self,
        key: &'static str,
        default: Option<T>,
        allowed: &[(&str, T)],
    ) -> Option<T> {
        let Some(item) = self.get_item(key) else {
            if default.is_none() {
                self.report_missing(key);
            }
            return default;
        };
        let found = item
            .as_str()
            .and_then(|text| allowed.iter().find(|(name, _)| *name == text));
        let names: Vec<&str> = allowed.iter().map(|(name, _)| *name).collect();
        let reason = format!("expected one of {}", names.join(", "));
        self.or_report(key, item, found.map(|(_, value)| *value), &reason)
            .or(default)
    }

    /// Reads an optional array with the given function for each element. Leaves out and reports the
    /// elements for which the function returns `None`.
    pub(crate) fn read_list<T>(
        &self,
        key: &'static str,
        reason: &str,
        each: impl Fn(&toml_edit::Value) -> Option<T>,
    ) -> Vec<T> {
        let Some(item) = self.get_item(key) else {
            return Vec::new();
        };
        let Some(array) = item.as_array() else {
            self.report_at(key, item.span(), reason.to_owned());
            return Vec::new();
        };
        let read_element = |value: &toml_edit::Value| {
            let element = each(value);
            if element.is_none() {
                self.report_at(key, value.span(), reason.to_owned());
            }
            element
        };
        array.iter().filter_map(read_element).collect()
    }

    /// Returns the reader of a table in this table; all fields of a missing one are missing.
    pub(crate) fn read_table(&self, key: &'static str) -> TableReader<'a> {
        let item = self.get_item(key);
        let table = item.and_then(Item::as_table_like);
        let path = self.get_path(key);
        match item {
            Some(item) if table.is_none() => {
                self.report_at(key, item.span(), "expected a table".to_owned());
            }
            _ => {}
        }
        self.collector
            .get_reader(path, table, item.and_then(Item::span))
    }

    /// Returns the readers of the tables in an array. Each path ends in the value of the field
    /// `label_key`, or in the index where that is missing.
    pub(crate) fn read_tables(&self, key: &'static str, label_key: &str) -> Vec<TableReader<'a>> {
        let tables: Vec<(&dyn TableLike, Option<Range<usize>>)> = match self.get_item(key) {
            None => Vec::new(),
            Some(Item::ArrayOfTables(array)) => array
                .iter()
                .map(|t| (t as &dyn TableLike, t.span()))
                .collect(),
            Some(item) if item.is_array() => {
                let values = item.as_array().into_iter().flatten();
                let to_table = |value: &'a toml_edit::Value| {
                    if let Some(table) = value.as_inline_table() {
                        Some((table as &dyn TableLike, value.span()))
                    } else {
                        self.report_at(key, value.span(), "expected a table".to_owned());
                        None
                    }
                };
                values.filter_map(to_table).collect()
            }
            Some(item) => {
                self.report_at(key, item.span(), "expected an array of tables".to_owned());
                Vec::new()
            }
        };
        let to_reader = |(index, (table, span)): (usize, (&'a dyn TableLike, _))| {
            let label = table
                .get(label_key)
                .and_then(Item::as_str)
                .map(str::to_owned);
            let label = label.unwrap_or_else(|| index.to_string());
            let path = format!("{}[{label}]", self.get_path(key));
            self.collector.get_reader(path, Some(table), span)
        };
        tables.into_iter().enumerate().map(to_reader).collect()
    }

    /// Reports an error of one of this table's fields.
    pub(crate) fn report(&self, key: &'static str, reason: impl Into<String>) {
        let span = self
            .get_item(key)
            .and_then(Item::span)
            .or_else(|| self.span.clone());
        self.report_at(key, span, reason.into());
    }

    /// Reports the fields of the table that no call has read as unknown. Called after all reads.
    pub(crate) fn report_unknown_fields(&self) {
        let known_fields = self.known_fields.borrow();
        let mut names: Vec<&str> = known_fields.iter().copied().collect();
        names.sort_unstable();
        let entries = self.table.into_iter().flat_map(|table| table.iter());
        for (key, item) in entries.filter(|(key, _)| !known_fields.contains(key)) {
            let reason = format!("unknown field; expected one of {}", names.join(", "));
            let span = self
                .table
                .and_then(|t| t.key(key))
                .and_then(toml_edit::Key::span);
            self.collector
                .report(span.or_else(|| item.span()), &self.get_path(key), reason);
        }
    }

    /// Reports that a required field is missing.
    fn report_missing(&self, key: &'static str) {
        self.report_at(key, self.span.clone(), "missing required field".to_owned());
    }

    /// Returns a value; reports the reason where it is `None`.
    fn or_report<T>(
        &self,
        key: &'static str,
        item: &Item,
        value: Option<T>,
        reason: &str,
    ) -> Option<T> {
        if value.is_none() {
            self.report_at(key, item.span(), reason.to_owned());
        }
        value
    }

    /// Adds an error of a field to the collector.
    fn report_at(&self, key: &str, span: Option<Range<usize>>, reason: String) {
        self.collector.report(span, &self.get_path(key), reason);
    }

    /// Returns the path of a field.
    fn get_path(&self, key: &str) -> String {
        match self.path.as_str() {
            "" => key.to_owned(),
            path => format!("{path}.{key}"),
        }
    }

    /// Returns a field, `None` where it is missing, and marks its name as known.
    fn get_item(&self, key: &'static str) -> Option<&'a Item> {
        self.known_fields.borrow_mut().insert(key);
        self.table.and_then(|table| table.get(key))
    }
}

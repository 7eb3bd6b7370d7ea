use std::fmt;

/// An invalid field of a ticket file: its position, its value, and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Line in the file, counted from 1.
    pub line: usize,
    /// Path of the field, such as `service[catalogue].route[/cart].deadline`: a service is labelled
    /// by its `name`, a route by its `path` and a server by its `address`, or by the index where
    /// that is missing. `file` for a syntax error.
    pub field: String,
    /// First line of the text in the file that the error points at: the value, or the key of an
    /// unknown field, or the whole line of a syntax error. Empty for an array, a table header or a
    /// missing value.
    pub value: String,
    /// Reason why the field is invalid, and what is allowed.
    pub reason: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            line,
            field,
            value,
            reason,
        } = self;
        if value.is_empty() {
            write!(f, "line {line}: {field}: {reason}")
        } else {
            write!(f, "line {line}: {field} = {value}: {reason}")
        }
    }
}

/// All errors of a ticket file, in the order of their lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketFileError {
    /// Errors, at least one.
    pub errors: Vec<FieldError>,
}

impl fmt::Display for TicketFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.errors.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for TicketFileError {}

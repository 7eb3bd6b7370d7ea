use std::fmt;

/// One fault of a ticket file: the field, its value, where it stands, and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Line of the file, counted from 1.
    pub line: usize,
    /// Path of the field, such as `service[catalogue].route[0].deadline`.
    pub field: String,
    /// Value as written in the file.
    pub value: String,
    /// What is wrong and what is allowed.
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

/// Every fault of a ticket file, in the order of their lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketError {
    /// Faults, never empty.
    pub errors: Vec<FieldError>,
}

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.errors.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for TicketError {}

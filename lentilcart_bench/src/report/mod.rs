//! Output of the bench: JSON lines, a table and a plot.

mod plot;
mod table;

pub use self::plot::plot;
pub use self::table::table;

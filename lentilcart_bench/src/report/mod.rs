//! Reports of the bench: a text table and an SVG plot of the results.

mod plot;
mod table;

pub use self::plot::write_plot;
pub use self::table::format_table;

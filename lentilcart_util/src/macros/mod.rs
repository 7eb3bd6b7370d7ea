//! Macros for sets of derives that the workspace repeats.

/// Declares a type with one of the workspace's common sets of derives.
///
/// The first argument selects the set, and the declaration of the type follows it:
///
/// - `message`, for a type that is sent or stored: `Debug`, `Clone`, `PartialEq`, `Serialize` and
///   `Deserialize`.
/// - `value`, for a small type that is neither: `Debug`, `Clone`, `Copy`, `PartialEq`, `Eq`, `Hash`,
///   `PartialOrd` and `Ord`.
///
/// A crate that declares messages depends on `serde` with its `derive` feature.
#[macro_export]
macro_rules! common {
    (message, $($item:tt)*) => {
        #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
        $($item)*
    };
    (value, $($item:tt)*) => {
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        $($item)*
    };
}

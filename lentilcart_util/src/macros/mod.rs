//! Macros for derives that the workspace repeats.

/// Declares a type with one of the workspace's common sets of derives.
///
/// `message` is a type that is sent or stored; `value` is a small comparable type that is not.
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

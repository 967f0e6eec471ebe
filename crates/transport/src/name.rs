//! A node's name.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The longest name a node may have, in bytes; it bounds every message that carries it.
pub const NAME_MAX_BYTES: usize = 64;

/// A node's name: at most [`NAME_MAX_BYTES`] bytes of letters, digits, `.`, `_` and `-`. Empty only where a
/// node is not known by name yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

/// Why a name was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NameError {
    /// No name at all.
    Empty,
    /// More than [`NAME_MAX_BYTES`] bytes.
    TooLong(usize),
    /// A character outside letters, digits, `.`, `_` and `-`.
    Character(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a node's name may not be empty"),
            Self::TooLong(n) => {
                write!(f, "a node's name has {n} bytes, at most {NAME_MAX_BYTES} are allowed")
            }
            Self::Character(c) => {
                write!(f, "a node's name may hold letters, digits, '.', '_' and '-', not {c:?}")
            }
        }
    }
}

impl std::error::Error for NameError {}

impl Name {
    /// A name as given.
    ///
    /// # Errors
    /// See [`NameError`] for what is refused.
    pub fn new(name: &str) -> Result<Self, NameError> {
        if name.is_empty() {
            return Err(NameError::Empty);
        }
        Self::new_or_empty(name)
    }

    /// The same checks, but empty is allowed: what a message may carry.
    ///
    /// # Errors
    /// See [`NameError`].
    pub fn new_or_empty(name: &str) -> Result<Self, NameError> {
        if name.len() > NAME_MAX_BYTES {
            return Err(NameError::TooLong(name.len()));
        }
        if let Some(c) = name.chars().find(|c| !(c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'))) {
            return Err(NameError::Character(c));
        }
        Ok(Self(name.to_owned()))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(name: String) -> Result<Self, NameError> {
        Self::new_or_empty(&name)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0
    }
}

#[cfg(test)]
mod tests;

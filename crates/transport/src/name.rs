//! Names of nodes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The maximum length of a node name, in bytes; it bounds the size of the messages that contain names.
pub const NAME_MAX_BYTES: usize = 64;

/// The name of a node: at most [`NAME_MAX_BYTES`] bytes of ASCII letters, digits, `.`, `_` and `-`. It is
/// empty only where the node's name is not known yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

/// Why a name was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NameError {
    /// The name is empty.
    Empty,
    /// The name is longer than [`NAME_MAX_BYTES`]; holds its length in bytes.
    TooLong(usize),
    /// The name contains a character other than ASCII letters, digits, `.`, `_` and `-`.
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
    /// Checks and creates a name, which must not be empty.
    ///
    /// # Errors
    /// See [`NameError`].
    pub fn new(name: &str) -> Result<Self, NameError> {
        if name.is_empty() {
            return Err(NameError::Empty);
        }
        Self::new_or_empty(name)
    }

    /// Like [`Name::new`], but the name may be empty, as in messages.
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

    /// Returns the name as text.
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

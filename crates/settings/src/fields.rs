//! Readers for the fields of a JSON object, whose errors name the field and the expected value.

use std::borrow::Cow;

use serde_json::{Map, Value};

/// Why a value is missing or invalid: a message that begins with the path of the field.
pub type FieldError = String;

/// Reads a number.
///
/// # Errors
/// The value has another type; the message contains `name` and the expected type.
pub fn number(value: &Value, name: &str) -> Result<f64, FieldError> {
    value.as_f64().ok_or_else(|| format!("{name}: number expected"))
}

/// Reads a whole number, which may be written as a decimal.
///
/// # Errors
/// The value has another type; the message contains `name` and the expected type.
pub fn integer(value: &Value, name: &str) -> Result<u64, FieldError> {
    let float = || value.as_f64().filter(|f| *f >= 0.0 && f.fract() == 0.0).map(|f| f as u64);
    value.as_u64().or_else(float).ok_or_else(|| format!("{name}: whole number expected"))
}

/// Reads a number or null.
///
/// # Errors
/// The value has another type; the message contains `name` and the expected type.
pub fn optional_number(value: &Value, name: &str) -> Result<Option<f64>, FieldError> {
    if value.is_null() {
        Ok(None)
    } else {
        number(value, name).map(Some)
    }
}

/// Reads a string.
///
/// # Errors
/// The value has another type; the message contains `name` and the expected type.
pub fn string<'a>(value: &'a Value, name: &str) -> Result<&'a str, FieldError> {
    value.as_str().ok_or_else(|| format!("{name}: text expected"))
}

/// Reads an array.
///
/// # Errors
/// The value has another type; the message contains `name` and the expected type.
pub fn list<'a>(value: &'a Value, name: &str) -> Result<&'a Vec<Value>, FieldError> {
    value.as_array().ok_or_else(|| format!("{name}: array expected"))
}

/// The valid range of a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Range {
    /// Above 0.
    Positive,
    /// 0 or above.
    NonNegative,
    /// From 0 to 1.
    Share,
}

impl Range {
    /// Returns the error for a number outside the range; `None` if it is inside.
    fn violation(self, value: f64) -> Option<&'static str> {
        let (inside, message) = match self {
            Self::Positive => (value > 0.0, "must be above 0"),
            Self::NonNegative => (value >= 0.0, "must not be negative"),
            Self::Share => ((0.0..=1.0).contains(&value), "a share is from 0 to 1"),
        };
        if !value.is_finite() {
            return Some("must be finite");
        }
        (!inside).then_some(message)
    }
}

/// The fields of a JSON object and its path, for error messages.
pub struct Fields<'a> {
    map: &'a Map<String, Value>,
    path: Cow<'a, str>,
}

impl<'a> Fields<'a> {
    /// Reads an object at a path.
    ///
    /// # Errors
    /// The value is not an object.
    pub fn from_value(value: &'a Value, path: impl Into<Cow<'a, str>>) -> Result<Self, FieldError> {
        let path = path.into();
        let map = value.as_object().ok_or_else(|| format!("{path}: object expected"))?;
        Ok(Self { map, path })
    }

    /// The path of a field.
    pub fn path(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }

    /// The value of a field; `None` if it is absent or null.
    pub fn get(&self, key: &str) -> Option<&'a Value> {
        self.map.get(key).filter(|v| !v.is_null())
    }

    /// The value of a required field.
    ///
    /// # Errors
    /// The field is absent or null.
    pub fn require(&self, key: &str) -> Result<&'a Value, FieldError> {
        self.get(key).ok_or_else(|| format!("{} is missing", self.path(key)))
    }

    /// Passes a required field to `reader`, whose error message must begin with the key that it is given.
    fn read<T>(
        &self,
        key: &str,
        reader: impl FnOnce(&'a Value, &str) -> Result<T, FieldError>,
    ) -> Result<T, FieldError> {
        reader(self.require(key)?, key).map_err(|e| format!("{}.{e}", self.path))
    }

    /// Reads a required number.
    ///
    /// # Errors
    /// The field is missing or invalid; the message names it and the expected value.
    pub fn number(&self, key: &str) -> Result<f64, FieldError> {
        self.read(key, number)
    }

    /// Reads a required number within a range.
    ///
    /// # Errors
    /// The field is missing or invalid; the message names it and the expected value.
    pub fn number_in(&self, key: &str, range: Range) -> Result<f64, FieldError> {
        let value = self.number(key)?;
        match range.violation(value) {
            None => Ok(value),
            Some(message) => Err(format!("{}: {value}: {message}", self.path(key))),
        }
    }

    /// Reads a number within a range, if the field is present.
    ///
    /// # Errors
    /// The field is missing or invalid; the message names it and the expected value.
    pub fn optional_number_in(&self, key: &str, range: Range) -> Result<Option<f64>, FieldError> {
        self.get(key).map(|_| self.number_in(key, range)).transpose()
    }

    /// Reads a required whole number that is at least `min`.
    ///
    /// # Errors
    /// The field is missing or invalid; the message names it and the expected value.
    pub fn integer_at_least(&self, key: &str, min: u64) -> Result<u64, FieldError> {
        let value = self.read(key, integer)?;
        if value < min {
            return Err(format!("{}: {value}: {min} is needed at least", self.path(key)));
        }
        Ok(value)
    }

    /// Reads a required boolean.
    ///
    /// # Errors
    /// The field is missing or invalid; the message names it and the expected value.
    pub fn flag(&self, key: &str) -> Result<bool, FieldError> {
        let flag = |v: &Value, key: &str| v.as_bool().ok_or_else(|| format!("{key}: true or false expected"));
        self.read(key, flag)
    }

    /// Reads a required string.
    ///
    /// # Errors
    /// The field is missing or invalid; the message names it and the expected value.
    pub fn string(&self, key: &str) -> Result<&'a str, FieldError> {
        self.read(key, string)
    }

    /// Reads a required string that must be one of `choices`, and returns what it stands for.
    ///
    /// # Errors
    /// The field is missing or invalid; the message names it and the expected value.
    pub fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, FieldError> {
        let choice = self.string(key)?;
        choices.iter().find(|(name, _)| *name == choice).map(|(_, meaning)| *meaning).ok_or_else(|| {
            let known: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
            format!("{}: {choice} is unknown, known are {}", self.path(key), known.join(", "))
        })
    }

    /// Reads an array; an absent one counts as empty.
    ///
    /// # Errors
    /// The field is missing or invalid; the message names it and the expected value.
    pub fn list(&self, key: &str) -> Result<&'a [Value], FieldError> {
        self.get(key).map_or(Ok(&[]), |_| self.read(key, list).map(Vec::as_slice))
    }

    /// Reads an array of objects; an absent one counts as empty.
    ///
    /// # Errors
    /// The field is missing or invalid; the message names it and the expected value.
    pub fn objects(&self, key: &str) -> Result<Vec<Fields<'a>>, FieldError> {
        let of = |(n, value)| Fields::from_value(value, format!("{}[{n}]", self.path(key)));
        self.list(key)?.iter().enumerate().map(of).collect()
    }

    /// Reads a required object.
    ///
    /// # Errors
    /// The field is missing or invalid; the message names it and the expected value.
    pub fn object(&self, key: &str) -> Result<Fields<'a>, FieldError> {
        Fields::from_value(self.require(key)?, self.path(key))
    }
}

/// Reads the field `Name` of each object.
///
/// # Errors
/// A name is missing, empty or a duplicate; the message names the field.
pub fn names(objects: &[Fields]) -> Result<Vec<String>, FieldError> {
    let mut names: Vec<String> = Vec::with_capacity(objects.len());
    for object in objects {
        let name = object.string("Name")?;
        if name.is_empty() {
            return Err(format!("{}: empty", object.path("Name")));
        }
        if names.iter().any(|n| n == name) {
            return Err(format!("{}: {name} comes twice", object.path("Name")));
        }
        names.push(name.to_string());
    }
    Ok(names)
}
